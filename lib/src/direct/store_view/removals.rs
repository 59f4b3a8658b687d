//! The removals of upstreams that an entry can tell to others, and where it does not know them all.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::store::position::StorePosition;

/// Removals that are remembered. Covers some minutes in a large fleet.
const MAX_REMOVALS: usize = 1_000;
/// Gaps that are remembered.
const MAX_GAPS: usize = 16;

/// Removals by position, for entries that lag.
///
/// An entry that lags is told the changes after its position. What a list lacks was removed or never
/// there, so an entry that has read a list knows only the removals of the upstreams that it had known
/// before. Entries whose positions are within that gap get the whole list.
///
/// ```
/// use sardinewood::direct::store_view::removals::RemovalHistory;
/// use sardinewood::store::position::StorePosition;
///
/// let at = |revision| StorePosition::new(0, revision);
/// let mut history = RemovalHistory::default();
/// history.record_gap(at(4), at(9));
/// assert!(history.is_complete_since(at(4)) && history.is_complete_since(at(9)));
/// assert!(!history.is_complete_since(at(6)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RemovalHistory {
    /// Names with the positions of their removals, the earliest recorded first.
    removals: VecDeque<(StorePosition, Arc<str>)>,
    /// Positions between which removals may be missing.
    gaps: VecDeque<(StorePosition, StorePosition)>,
    /// Position before which removals have been dropped.
    known_from: StorePosition,
}

impl RemovalHistory {
    /// Records a removal, unless it or a later one of the same upstream is known.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::removals::RemovalHistory;
    /// # use sardinewood::store::position::StorePosition;
    /// let mut history = RemovalHistory::default();
    /// history.record("i-1".into(), StorePosition::new(0, 7));
    /// history.record("i-1".into(), StorePosition::new(0, 7));
    /// assert_eq!(history.since(StorePosition::default()).count(), 1);
    /// ```
    pub fn record(&mut self, name: Arc<str>, position: StorePosition) {
        if self.is_removed(&name, position) {
            return;
        }
        self.removals.push_back((position, name));
        if self.removals.len() > MAX_REMOVALS
            && let Some((dropped, _)) = self.removals.pop_front()
        {
            self.known_from = self.known_from.max(dropped);
        }
    }

    /// Records that a list has replaced what was known at `from`.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::removals::RemovalHistory;
    /// # use sardinewood::store::position::StorePosition;
    /// let mut history = RemovalHistory::default();
    /// history.record_gap(StorePosition::default(), StorePosition::new(0, 9));
    /// assert!(!history.is_complete_since(StorePosition::new(0, 8)));
    /// ```
    pub fn record_gap(&mut self, from: StorePosition, to: StorePosition) {
        if from >= to {
            return;
        }
        self.gaps.push_back((from, to));
        if self.gaps.len() > MAX_GAPS
            && let Some((_, dropped)) = self.gaps.pop_front()
        {
            self.known_from = self.known_from.max(dropped);
        }
    }

    /// Forgets all removals, and begins anew at a position.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::removals::RemovalHistory;
    /// # use sardinewood::store::position::StorePosition;
    /// let mut history = RemovalHistory::default();
    /// history.restart(StorePosition::new(1, 3));
    /// assert!(!history.is_complete_since(StorePosition::new(1, 2)));
    /// ```
    pub fn restart(&mut self, at: StorePosition) {
        *self = Self {
            known_from: at,
            ..Self::default()
        };
    }

    /// Returns whether all removals after a position are known.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::removals::RemovalHistory;
    /// assert!(RemovalHistory::default().is_complete_since(Default::default()));
    /// ```
    #[must_use]
    pub fn is_complete_since(&self, after: StorePosition) -> bool {
        let is_within = |(from, to): &(StorePosition, StorePosition)| *from < after && after < *to;
        after >= self.known_from && !self.gaps.iter().any(is_within)
    }

    /// Returns the removals after a position.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::removals::RemovalHistory;
    /// assert_eq!(RemovalHistory::default().since(Default::default()).count(), 0);
    /// ```
    pub fn since(&self, after: StorePosition) -> impl Iterator<Item = &(StorePosition, Arc<str>)> {
        self.removals
            .iter()
            .filter(move |(position, _)| *position > after)
    }

    /// Returns whether an upstream was removed at a position or later.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::removals::RemovalHistory;
    /// assert!(!RemovalHistory::default().is_removed("i-1", Default::default()));
    /// ```
    #[must_use]
    pub fn is_removed(&self, name: &str, position: StorePosition) -> bool {
        let mut removals = self.removals.iter();
        removals.any(|(removed_at, removed)| *removed_at >= position && **removed == *name)
    }
}
