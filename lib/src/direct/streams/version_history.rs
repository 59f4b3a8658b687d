//! Which versions of each service's software were listed, and when.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

/// Time for which a version that is no longer listed is remembered. No stream lasts longer.
const RETENTION_MS: u64 = 180_000;

/// A version of a service's software.
pub type ServiceVersion = (Arc<str>, Arc<str>);

/// The versions that were listed since this entry has started.
///
/// ```
/// use sardinewood::direct::streams::version_history::VersionHistory;
///
/// let mut history = VersionHistory::default();
/// history.update(&[("pool".into(), "v1".into())].into(), 1_000);
/// assert_eq!(history.only_version("pool", 5_000, 5_999), None, "it may have had another one before");
/// assert_eq!(history.only_version("pool", 5_000, 6_000).as_deref(), Some("v1"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Time of the first list.
    known_since_ms: Option<u64>,
    /// Versions with the times at which they were last listed; none while they are.
    versions: IndexMap<ServiceVersion, Option<u64>>,
}

impl VersionHistory {
    /// Applies the versions of all listed upstreams, also of those that leave. Returns the services that
    /// have another version now.
    ///
    /// ```
    /// # use sardinewood::direct::streams::version_history::VersionHistory;
    /// let mut history = VersionHistory::default();
    /// history.update(&[("pool".into(), "v1".into())].into(), 0);
    /// let both = [("pool".into(), "v1".into()), ("pool".into(), "v2".into())].into();
    /// assert!(history.update(&both, 10).contains("pool"));
    /// assert!(history.update(&both, 20).is_empty());
    /// ```
    pub fn update(&mut self, listed: &IndexSet<ServiceVersion>, now_ms: u64) -> IndexSet<Arc<str>> {
        self.known_since_ms.get_or_insert(now_ms);
        for (version, last_listed_ms) in &mut self.versions {
            if !listed.contains(version) {
                last_listed_ms.get_or_insert(now_ms);
            }
        }
        let is_remembered = |last_listed_ms: &mut Option<u64>| {
            last_listed_ms.is_none_or(|at_ms| now_ms < at_ms + RETENTION_MS)
        };
        self.versions
            .retain(|_, last_listed_ms| is_remembered(last_listed_ms));
        let mut changed = IndexSet::new();
        for version in listed {
            let before = self.versions.insert(version.clone(), None);
            if before.is_none() {
                changed.insert(Arc::clone(&version.0));
            }
        }
        changed
    }

    /// Returns the only version that a service has had for some time; none if it has had several, or
    /// if the time goes back to before the first list.
    ///
    /// ```
    /// # use sardinewood::direct::streams::version_history::VersionHistory;
    /// assert_eq!(VersionHistory::default().only_version("pool", 0, 0), None);
    /// ```
    #[must_use]
    pub fn only_version(&self, service: &str, for_ms: u64, now_ms: u64) -> Option<Arc<str>> {
        if now_ms < self.known_since_ms? + for_ms {
            return None;
        }
        let mut versions = self
            .versions
            .iter()
            .filter(|((of, _), _)| **of == *service)
            .filter(|(_, last_listed_ms)| {
                last_listed_ms.is_none_or(|at_ms| now_ms < at_ms + for_ms)
            })
            .map(|((_, version), _)| version);
        let only = versions.next()?;
        versions.next().is_none().then(|| Arc::clone(only))
    }
}
