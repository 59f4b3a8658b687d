//! When the store last answered this entry or a peer, and up to when its answers cover the replica; shared
//! between the control and the traffic thread.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

use crate::direct::membership::peer_message::CatalogPosition;
use crate::direct::membership::peer_message::ReplicaAges;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::membership::peer_message::whole_ms;
use crate::direct::store_view::answer_history::AnswerHistory;
use crate::direct::store_view::lapses::Lapses;
use crate::direct::store_view::list_use;
use crate::store::position::StorePosition;

/// A time at which the store had nothing newer than a position.
#[derive(Clone, Copy, Debug)]
struct Covered<P> {
    position: P,
    as_of: Instant,
}

/// The latest such time, and the latest one of the position before.
#[derive(Clone, Copy, Debug)]
struct Coverage<P> {
    latest: Option<Covered<P>>,
    before: Option<Covered<P>>,
    answered_at: Option<Instant>,
}

impl<P> Default for Coverage<P> {
    fn default() -> Self {
        Self {
            latest: None,
            before: None,
            answered_at: None,
        }
    }
}

impl<P: Copy + Ord> Coverage<P> {
    fn record(&mut self, position: P, as_of: Instant) {
        self.answered_at = Some(Instant::now());
        match &mut self.latest {
            Some(latest) if latest.position == position => latest.as_of = latest.as_of.max(as_of),
            Some(latest) if latest.position > position => {}
            _ => {
                self.before = self.latest;
                self.latest = Some(Covered { position, as_of });
            }
        }
    }

    /// Returns the latest time at which there was nothing newer than the position that a reader has.
    fn as_of(&self, own: P) -> Option<Instant> {
        [self.latest, self.before]
            .into_iter()
            .flatten()
            .find(|covered| covered.position <= own)
            .map(|covered| covered.as_of)
    }
}

#[derive(Debug, Default)]
struct Coverages {
    catalog: Coverage<CatalogPosition>,
    list: Coverage<StorePosition>,
    answers: AnswerHistory,
}

/// When the store last answered this entry, and up to when its answers cover the configuration and the
/// list of upstreams.
///
/// The control thread records an answer when it has applied it, which may be a moment before the
/// traffic thread uses it. A reader therefore names the positions that it uses, and is not told of
/// answers that cover later ones.
///
/// ```
/// use sardinewood::direct::membership::peer_message::Revisions;
/// use sardinewood::direct::replication::last_response::LastStoreResponse;
/// use sardinewood::store::position::StorePosition;
/// use tokio::time::Instant;
///
/// let response = LastStoreResponse::default();
/// response.record_list(StorePosition::new(0, 7), Instant::now());
/// let behind = Revisions { directory: StorePosition::new(0, 6), ..Revisions::default() };
/// assert_eq!(response.list_as_of(behind), None);
/// let there = Revisions { directory: StorePosition::new(0, 7), ..Revisions::default() };
/// assert!(response.list_as_of(there).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct LastStoreResponse {
    coverages: Arc<Mutex<Coverages>>,
}

impl LastStoreResponse {
    fn coverages(&self) -> MutexGuard<'_, Coverages> {
        // A record is whole or absent, whatever ended the thread that held the lock.
        self.coverages
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store had no newer configuration than this one at a time.
    ///
    /// ```
    /// # use sardinewood::direct::replication::last_response::LastStoreResponse;
    /// LastStoreResponse::default().record_catalog(Default::default(), tokio::time::Instant::now());
    /// ```
    pub fn record_catalog(&self, position: CatalogPosition, as_of: Instant) {
        self.coverages().catalog.record(position, as_of);
    }

    /// Records that the store had no newer list of upstreams than this one at a time.
    ///
    /// ```
    /// # use sardinewood::direct::replication::last_response::LastStoreResponse;
    /// LastStoreResponse::default().record_list(Default::default(), tokio::time::Instant::now());
    /// ```
    pub fn record_list(&self, position: StorePosition, as_of: Instant) {
        self.coverages().list.record(position, as_of);
    }

    /// Returns when the store last had no newer configuration than a reader uses, as far as it has told
    /// this entry.
    ///
    /// ```
    /// # use sardinewood::direct::replication::last_response::LastStoreResponse;
    /// assert_eq!(LastStoreResponse::default().catalog_as_of(Default::default()), None);
    /// ```
    #[must_use]
    pub fn catalog_as_of(&self, own: Revisions) -> Option<Instant> {
        self.coverages().catalog.as_of(own.catalog)
    }

    /// Returns the same for the list of upstreams.
    ///
    /// ```
    /// # use sardinewood::direct::replication::last_response::LastStoreResponse;
    /// assert_eq!(LastStoreResponse::default().list_as_of(Default::default()), None);
    /// ```
    #[must_use]
    pub fn list_as_of(&self, own: Revisions) -> Option<Instant> {
        self.coverages().list.as_of(own.directory)
    }

    /// Returns how long ago the store last answered about the configuration or about the upstreams,
    /// whichever is longer, or none if it never has.
    ///
    /// ```
    /// # use sardinewood::direct::replication::last_response::LastStoreResponse;
    /// assert_eq!(LastStoreResponse::default().answer_age_ms(), None);
    /// ```
    #[must_use]
    pub fn answer_age_ms(&self) -> Option<u32> {
        let coverages = self.coverages();
        let answered_at = coverages
            .catalog
            .answered_at?
            .min(coverages.list.answered_at?);
        Some(whole_ms(answered_at.elapsed()))
    }

    /// Reads or updates what is known of the store's answers to this entry and its peers.
    ///
    /// ```
    /// # use sardinewood::direct::replication::last_response::LastStoreResponse;
    /// let response = LastStoreResponse::default();
    /// assert_eq!(response.with_answers(|answers| answers.own_answered()), None);
    /// ```
    pub fn with_answers<T>(&self, use_answers: impl FnOnce(&mut AnswerHistory) -> T) -> T {
        use_answers(&mut self.coverages().answers)
    }

    /// Returns whether upstreams that the store does not list may have lapsed in an outage, given the time after
    /// an upstream's removal within which requests may still reach it.
    ///
    /// ```
    /// # use sardinewood::direct::replication::last_response::LastStoreResponse;
    /// # use sardinewood::direct::store_view::lapses::Lapses;
    /// assert_eq!(LastStoreResponse::default().lapses(2_000), Lapses::Excluded);
    /// ```
    #[must_use]
    pub fn lapses(&self, drain_bound_ms: u64) -> Lapses<Instant> {
        let keep = Duration::from_millis(list_use::latest_use_ms(drain_bound_ms));
        self.with_answers(|answers| answers.lapses(Instant::now(), keep))
    }

    /// Returns how old the store's word is that a reader uses the newest configuration and list.
    ///
    /// ```
    /// # use sardinewood::direct::replication::last_response::LastStoreResponse;
    /// let ages = LastStoreResponse::default().ages(Default::default());
    /// assert_eq!((ages.catalog_ms, ages.list_ms), (None, None));
    /// ```
    #[must_use]
    pub fn ages(&self, own: Revisions) -> ReplicaAges {
        let age_ms = |as_of: Instant| whole_ms(as_of.elapsed());
        ReplicaAges {
            catalog_ms: self.catalog_as_of(own).map(age_ms),
            list_ms: self.list_as_of(own).map(age_ms),
        }
    }
}
