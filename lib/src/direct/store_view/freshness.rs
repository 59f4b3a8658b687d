//! How old this entry's picture of the configuration is.

use crate::logging::Line;

/// Time within which a change has to be in force, if the platform does not say.
pub const DEFAULT_CONFIG_BOUND_MS: u64 = 2_000;

/// When an entry last knew that its configuration was the newest one: by an answer of the store, or
/// by the word of an entry that watches the store and has nothing newer.
///
/// ```
/// use sardinewood::direct::store_view::freshness::{CatalogFreshness, FreshnessStep};
///
/// let mut freshness = CatalogFreshness::default();
/// freshness.confirm(1_000);
/// assert_eq!(freshness.age_ms(1_700), Some(700));
/// assert_eq!(freshness.check(3_500, 2_000), FreshnessStep::BecameStale { age_ms: 2_500 });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogFreshness {
    confirmed_at_ms: Option<u64>,
    is_stale: bool,
}

/// The configuration by which a request was handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogMark {
    /// The operator's version; none if there is no configuration yet.
    pub version: Option<u64>,
    /// Its age; none if it was never confirmed.
    pub age_ms: Option<u64>,
}

impl CatalogMark {
    /// Adds the fields to a log line about a request.
    ///
    /// ```
    /// use sardinewood::direct::store_view::freshness::CatalogMark;
    /// use sardinewood::logging::{Level, Line};
    ///
    /// let mark = CatalogMark { version: Some(7), age_ms: Some(20) };
    /// let line = mark.add_log_fields(Line::new(Level::Info, "no route"));
    /// assert!(line.json().contains(r#""catalog_version":7,"catalog_age_ms":20"#));
    /// ```
    pub fn add_log_fields(self, line: Line) -> Line {
        line.field("catalog_version", self.version)
            .field("catalog_age_ms", self.age_ms)
    }
}

/// What has changed about the age of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessStep {
    /// Nothing.
    Unchanged,
    /// The age has passed the bound.
    BecameStale {
        /// The age.
        age_ms: u64,
    },
    /// The configuration is confirmed again.
    BecameFresh,
}

impl CatalogFreshness {
    /// Records that the configuration was the newest one at a time.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::freshness::CatalogFreshness;
    /// let mut freshness = CatalogFreshness::default();
    /// freshness.confirm(5);
    /// freshness.confirm(3);
    /// assert_eq!(freshness.age_ms(5), Some(0));
    /// ```
    pub fn confirm(&mut self, at_ms: u64) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(at_ms));
    }

    /// Returns the age of the configuration, or none if it was never confirmed.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::freshness::CatalogFreshness;
    /// assert_eq!(CatalogFreshness::default().age_ms(5), None);
    /// ```
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed_at_ms = self.confirmed_at_ms?;
        Some(now_ms.saturating_sub(confirmed_at_ms))
    }

    /// Returns whether the configuration is older than the time within which changes have to be in
    /// force, as of the last check.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::freshness::CatalogFreshness;
    /// assert!(!CatalogFreshness::default().is_stale());
    /// ```
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Compares the age with the time within which changes have to be in force.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::freshness::{CatalogFreshness, FreshnessStep};
    /// let step = CatalogFreshness::default().check(9_000, 2_000);
    /// assert_eq!(step, FreshnessStep::Unchanged);
    /// ```
    pub fn check(&mut self, now_ms: u64, bound_ms: u64) -> FreshnessStep {
        let Some(age_ms) = self.age_ms(now_ms) else {
            return FreshnessStep::Unchanged;
        };
        let was_stale = std::mem::replace(&mut self.is_stale, age_ms > bound_ms);
        match (was_stale, self.is_stale) {
            (false, true) => FreshnessStep::BecameStale { age_ms },
            (true, false) => FreshnessStep::BecameFresh,
            _ => FreshnessStep::Unchanged,
        }
    }
}
