//! How old this entry's picture of the configuration and of the list of upstreams is.

use std::fmt;
use std::net::SocketAddr;

use crate::logging::Line;
use crate::store::position::StorePosition;

/// Time within which a change has to be in force, if the platform does not say.
pub const DEFAULT_CONFIG_BOUND_MS: u64 = 2_000;

/// Who confirmed that a part of the replica was the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmedBy {
    /// The store, which answered this entry.
    Store,
    /// An entry that watches the store and has nothing newer.
    Peer(SocketAddr),
}

impl fmt::Display for ConfirmedBy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Peer(peer) => peer.fmt(formatter),
        }
    }
}

/// When a part of an entry's replica was last known to be the newest one, and by whom.
///
/// ```
/// use sardinewood::direct::store_view::freshness::{ConfirmedBy, Freshness, FreshnessStep};
///
/// let mut freshness = Freshness::default();
/// freshness.confirm(1_000, ConfirmedBy::Store);
/// assert_eq!(freshness.age_ms(1_700), Some(700));
/// assert_eq!(freshness.check(3_500, 2_000), FreshnessStep::BecameStale { age_ms: 2_500 });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed: Option<(u64, ConfirmedBy)>,
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

/// The list of upstreams by which a request was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListMark {
    /// Position of its newest change.
    pub revision: StorePosition,
    /// Its age; none if it was never confirmed.
    pub age_ms: Option<u64>,
    /// Who confirmed it; none if nobody did.
    pub confirmed_by: Option<ConfirmedBy>,
}

impl ListMark {
    /// Adds the fields to a log line about a request.
    ///
    /// ```
    /// use sardinewood::direct::store_view::freshness::{ConfirmedBy, ListMark};
    /// use sardinewood::logging::{Level, Line};
    ///
    /// let mark = ListMark { age_ms: Some(20), confirmed_by: Some(ConfirmedBy::Store), ..ListMark::default() };
    /// let line = mark.add_log_fields(Line::new(Level::Info, "no room in time"));
    /// assert!(line.json().contains(r#""list_age_ms":20,"list_confirmed_by":"store""#));
    /// ```
    pub fn add_log_fields(self, line: Line) -> Line {
        let confirmed_by = self
            .confirmed_by
            .map(|confirmed_by| confirmed_by.to_string());
        line.field("list_revision", self.revision)
            .field("list_age_ms", self.age_ms)
            .field("list_confirmed_by", confirmed_by)
    }
}

/// What has changed about the age of a part of the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessStep {
    /// Nothing.
    Unchanged,
    /// The age has passed the bound.
    BecameStale {
        /// The age.
        age_ms: u64,
    },
    /// It is confirmed again.
    BecameFresh,
}

impl Freshness {
    /// Records that the replica was the newest one at a time.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::freshness::{ConfirmedBy, Freshness};
    /// let mut freshness = Freshness::default();
    /// freshness.confirm(5, ConfirmedBy::Store);
    /// freshness.confirm(3, ConfirmedBy::Peer("127.0.0.1:80".parse().unwrap()));
    /// assert_eq!(freshness.age_ms(5), Some(0));
    /// assert_eq!(freshness.confirmed_by(), Some(ConfirmedBy::Store));
    /// ```
    pub fn confirm(&mut self, at_ms: u64, by: ConfirmedBy) {
        if self.confirmed.is_none_or(|(known_ms, _)| at_ms > known_ms) {
            self.confirmed = Some((at_ms, by));
        }
    }

    /// Returns the time since the last confirmation, or none if there was none.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::freshness::Freshness;
    /// assert_eq!(Freshness::default().age_ms(5), None);
    /// ```
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let (confirmed_at_ms, _) = self.confirmed?;
        Some(now_ms.saturating_sub(confirmed_at_ms))
    }

    /// Returns who confirmed it last.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::freshness::Freshness;
    /// assert_eq!(Freshness::default().confirmed_by(), None);
    /// ```
    #[must_use]
    pub fn confirmed_by(&self) -> Option<ConfirmedBy> {
        self.confirmed.map(|(_, by)| by)
    }

    /// Returns whether the age was over the bound at the last check.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::freshness::Freshness;
    /// assert!(!Freshness::default().is_stale());
    /// ```
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Compares the age with a bound.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::freshness::{Freshness, FreshnessStep};
    /// let step = Freshness::default().check(9_000, 2_000);
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
