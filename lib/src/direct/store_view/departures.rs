//! The incarnations of upstreams that have left the list lately, or have announced their end.

use std::sync::Arc;

use indexmap::IndexMap;

/// Time for which a departure is remembered. Late writes of an upstream, and copies that the store
/// returns from, are some seconds old.
const RETENTION_MS: u64 = 60_000;
/// Departures that are remembered at a time.
const MAX_DEPARTURES: usize = 4_096;

/// How an incarnation has left, from the weakest evidence to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Departure {
    /// Its entry disappeared around an outage of the store and did not return in time.
    Lapsed,
    /// Its entry was removed while the store answered.
    Removed,
    /// It has announced its end. A process that does so never takes requests again.
    Announced,
}

/// The known departures, by incarnation.
///
/// ```
/// use sardinewood::direct::store_view::departures::{Departure, Departures};
///
/// let mut departures = Departures::default();
/// departures.record("i-1", Departure::Announced, 0);
/// departures.record("i-1", Departure::Removed, 2_000);
/// assert_eq!(departures.of("i-1", 3_000), Some(Departure::Announced));
/// assert_eq!(departures.of("i-1", 90_000), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// Departures with the times of their latest records, the oldest first.
    by_instance: IndexMap<Arc<str>, (Departure, u64)>,
}

impl Departures {
    /// Records a departure. Weaker evidence does not replace stronger one.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::departures::{Departure, Departures};
    /// Departures::default().record("i-1", Departure::Removed, 0);
    /// ```
    pub fn record(&mut self, instance: &str, departure: Departure, now_ms: u64) {
        let departure = self
            .of(instance, now_ms)
            .unwrap_or(departure)
            .max(departure);
        self.by_instance.shift_remove(instance);
        self.by_instance
            .insert(instance.into(), (departure, now_ms));
        if self.by_instance.len() > MAX_DEPARTURES {
            self.by_instance.shift_remove_index(0);
        }
    }

    /// Drops the departures that are no longer remembered. Returns whether there were any.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::departures::{Departure, Departures};
    /// let mut departures = Departures::default();
    /// departures.record("i-1", Departure::Removed, 0);
    /// assert!(!departures.expire(59_999));
    /// assert!(departures.expire(60_000));
    /// ```
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let is_expired =
            |(_, (_, at_ms)): (&Arc<str>, &(Departure, u64))| now_ms >= at_ms + RETENTION_MS;
        let expired = self
            .by_instance
            .iter()
            .take_while(|oldest| is_expired(*oldest));
        let expired = expired.count();
        self.by_instance.drain(..expired);
        expired > 0
    }

    /// Returns how an incarnation has left, if it has.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::departures::Departures;
    /// assert_eq!(Departures::default().of("i-1", 0), None);
    /// ```
    #[must_use]
    pub fn of(&self, instance: &str, now_ms: u64) -> Option<Departure> {
        let (departure, at_ms) = self.by_instance.get(instance)?;
        (now_ms < at_ms + RETENTION_MS).then_some(*departure)
    }

    /// Returns the incarnations that have left in this way, the earliest record first.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::departures::{Departure, Departures};
    /// assert_eq!(Departures::default().having(Departure::Announced).count(), 0);
    /// ```
    #[must_use]
    pub fn having(&self, departure: Departure) -> impl DoubleEndedIterator<Item = &Arc<str>> {
        self.by_instance
            .iter()
            .filter(move |(_, (known, _))| *known == departure)
            .map(|(instance, _)| instance)
    }
}
