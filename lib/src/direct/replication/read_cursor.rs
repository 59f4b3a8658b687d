//! From where a follower reads the store next.

use crate::store::position::StorePosition;

/// Failed watches in a row after which the list is read instead. Something between here and the store
/// may fail watches alone, or the answer that is due may be one that can't be read.
const MAX_FAILED_WATCHES: u32 = 2;

/// Whether a follower watches from a position or lists.
///
/// ```
/// use sardinewood::direct::replication::read_cursor::ReadCursor;
/// use sardinewood::store::position::StorePosition;
///
/// let mut cursor = ReadCursor::default();
/// assert_eq!(cursor.watch_after(None), None, "it lists first");
/// cursor.advance(StorePosition::new(0, 7));
/// cursor.record_failure();
/// assert_eq!(cursor.watch_after(None), Some(StorePosition::new(0, 7)));
/// cursor.record_failure();
/// assert_eq!(cursor.watch_after(None), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadCursor {
    next: NextRead,
    failed_watches: u32,
}

/// What a follower reads next.
#[derive(Clone, Copy, Debug, Default)]
enum NextRead {
    /// The changes after the position of what peers have told, or the list if they have told nothing.
    #[default]
    AfterPeers,
    /// The list.
    List,
    /// The changes after a position.
    After(StorePosition),
}

impl ReadCursor {
    /// Returns the position to watch from, or none if the list is to be read. `told` is the position of
    /// what peers have told. A list has only the last of the changes after it, which may have replaced
    /// an upstream's announcement that it leaves.
    ///
    /// ```
    /// # use sardinewood::direct::replication::read_cursor::ReadCursor;
    /// # use sardinewood::store::position::StorePosition;
    /// let told = Some(StorePosition::new(0, 7));
    /// let mut cursor = ReadCursor::default();
    /// assert_eq!(cursor.watch_after(told), told);
    /// cursor.restart();
    /// assert_eq!(cursor.watch_after(told), None, "the store has no history from there on");
    /// ```
    #[must_use]
    pub fn watch_after(&self, told: Option<StorePosition>) -> Option<StorePosition> {
        match self.next {
            NextRead::AfterPeers => told,
            NextRead::List => None,
            NextRead::After(position) => Some(position),
        }
    }

    /// Records an answer that leads to a position.
    ///
    /// ```
    /// # use sardinewood::direct::replication::read_cursor::ReadCursor;
    /// ReadCursor::default().advance(Default::default());
    /// ```
    pub fn advance(&mut self, position: StorePosition) {
        *self = Self {
            next: NextRead::After(position),
            failed_watches: 0,
        };
    }

    /// Records that the store has no history from the position on.
    ///
    /// ```
    /// # use sardinewood::direct::replication::read_cursor::ReadCursor;
    /// ReadCursor::default().restart();
    /// ```
    pub fn restart(&mut self) {
        *self = Self {
            next: NextRead::List,
            failed_watches: 0,
        };
    }

    /// Records a call without an answer that can be used.
    ///
    /// ```
    /// # use sardinewood::direct::replication::read_cursor::ReadCursor;
    /// ReadCursor::default().record_failure();
    /// ```
    pub fn record_failure(&mut self) {
        self.failed_watches += 1;
        if self.failed_watches >= MAX_FAILED_WATCHES {
            self.next = NextRead::List;
        }
    }
}
