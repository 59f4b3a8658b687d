//! Which versions of each service's software were listed, and when.
//!
//! A stream of which nobody has a record may go on at the only version that its service has had since
//! before the stream began. The proof is a history without gaps: an entry knows nothing of the time before its
//! own start, nor of the time in which its list was old.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

/// Default of the longest time for which callers of resumable streams wait, over all their attempts.
pub const DEFAULT_LONGEST_STREAM_MS: u64 = 120_000;
/// Time for which a version that is no longer listed is remembered. A history is not asked for more.
const RETENTION_MS: u64 = 3_600_000;

/// A version of a service's software.
pub type ServiceVersion = (Arc<str>, Arc<str>);

/// Why the only version of a service is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoOnlyVersion {
    /// There is no list, or it may be old.
    ListMayBeOld,
    /// The history does not go back far enough.
    HistoryTooShort,
    /// The service has had several versions, or none.
    NotOne,
}

impl NoOnlyVersion {
    /// Returns the reason for logs and metrics.
    ///
    /// ```
    /// use sardinewood::direct::streams::version_history::NoOnlyVersion;
    ///
    /// assert_eq!(NoOnlyVersion::HistoryTooShort.name(), "history_too_short");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ListMayBeOld => "list_may_be_old",
            Self::HistoryTooShort => "history_too_short",
            Self::NotOne => "not_one_version",
        }
    }
}

/// The versions that were listed, from the time on since which nothing was missed.
///
/// ```
/// use sardinewood::direct::streams::version_history::{NoOnlyVersion, VersionHistory};
///
/// let mut history = VersionHistory::default();
/// history.set_longest_stream_ms(5_000);
/// history.update(&[("pool".into(), "v1".into())].into(), 1_000);
/// assert_eq!(history.only_version("pool", 0, 5_999), Err(NoOnlyVersion::HistoryTooShort));
/// assert_eq!(history.only_version("pool", 0, 6_000).as_deref(), Ok("v1"));
/// ```
#[derive(Clone, Debug)]
pub struct VersionHistory {
    /// Since when no list was missed.
    complete_since_ms: Option<u64>,
    /// Versions with the times at which they were last listed; none while they are.
    versions: IndexMap<ServiceVersion, Option<u64>>,
    /// The longest time for which callers of resumable streams wait.
    longest_stream_ms: u64,
}

impl Default for VersionHistory {
    fn default() -> Self {
        Self {
            complete_since_ms: None,
            versions: IndexMap::new(),
            longest_stream_ms: DEFAULT_LONGEST_STREAM_MS,
        }
    }
}

impl VersionHistory {
    /// Sets the longest time for which callers of resumable streams wait. See [`VersionHistory`].
    pub fn set_longest_stream_ms(&mut self, longest_stream_ms: u64) {
        self.longest_stream_ms = longest_stream_ms;
    }

    /// Notes how long a caller waits, which may be longer.
    ///
    /// ```
    /// # use sardinewood::direct::streams::version_history::{DEFAULT_LONGEST_STREAM_MS, VersionHistory};
    /// let mut history = VersionHistory::default();
    /// history.note_caller_wait(4_000);
    /// assert_eq!(history.longest_stream_ms(), DEFAULT_LONGEST_STREAM_MS);
    /// ```
    pub fn note_caller_wait(&mut self, wait_ms: u64) {
        self.longest_stream_ms = self.longest_stream_ms.max(wait_ms);
    }

    /// Returns the longest time for which callers wait. See [`Self::note_caller_wait`].
    #[must_use]
    pub fn longest_stream_ms(&self) -> u64 {
        self.longest_stream_ms
    }

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
        self.complete_since_ms.get_or_insert(now_ms);
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

    /// Records that lists may have been missed until now, so that the history begins anew. Returns whether
    /// it went back further before.
    ///
    /// ```
    /// # use sardinewood::direct::streams::version_history::VersionHistory;
    /// let mut history = VersionHistory::default();
    /// history.set_longest_stream_ms(5_000);
    /// history.update(&[("pool".into(), "v1".into())].into(), 0);
    /// assert!(history.record_gap(60_000));
    /// assert!(history.only_version("pool", 0, 64_999).is_err());
    /// assert!(history.only_version("pool", 0, 65_000).is_ok());
    /// ```
    pub fn record_gap(&mut self, now_ms: u64) -> bool {
        let Some(complete_since_ms) = &mut self.complete_since_ms else {
            return false;
        };
        let before_ms = std::mem::replace(complete_since_ms, now_ms);
        now_ms.saturating_sub(before_ms) >= self.longest_stream_ms
    }

    /// Returns the only version that a service has had for as long as a stream can last, which is at least
    /// `least_ms`.
    ///
    /// # Errors
    ///
    /// Returns why it is not known.
    ///
    /// ```
    /// # use sardinewood::direct::streams::version_history::{NoOnlyVersion, VersionHistory};
    /// let history = VersionHistory::default();
    /// assert_eq!(history.only_version("pool", 0, 0), Err(NoOnlyVersion::ListMayBeOld));
    /// ```
    pub fn only_version(
        &self,
        service: &str,
        least_ms: u64,
        now_ms: u64,
    ) -> Result<Arc<str>, NoOnlyVersion> {
        let complete_since_ms = self.complete_since_ms.ok_or(NoOnlyVersion::ListMayBeOld)?;
        let span_ms = self.longest_stream_ms.max(least_ms);
        if span_ms > RETENTION_MS || now_ms < complete_since_ms.saturating_add(span_ms) {
            return Err(NoOnlyVersion::HistoryTooShort);
        }
        let mut versions = self
            .versions
            .iter()
            .filter(|((of, _), _)| **of == *service)
            .filter(|(_, last_listed_ms)| {
                last_listed_ms.is_none_or(|at_ms| now_ms < at_ms.saturating_add(span_ms))
            })
            .map(|((_, version), _)| version);
        match (versions.next(), versions.next()) {
            (Some(only), None) => Ok(Arc::clone(only)),
            _ => Err(NoOnlyVersion::NotOne),
        }
    }
}
