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
/// assert_eq!(cursor.watch_after(), None, "it lists first");
/// cursor.advance(StorePosition::new(0, 7));
/// cursor.record_failure();
/// assert_eq!(cursor.watch_after(), Some(StorePosition::new(0, 7)));
/// cursor.record_failure();
/// assert_eq!(cursor.watch_after(), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadCursor {
    after: Option<StorePosition>,
    failed_watches: u32,
}

impl ReadCursor {
    /// Returns the position to watch from, or none if the list is to be read.
    ///
    /// ```
    /// # use sardinewood::direct::replication::read_cursor::ReadCursor;
    /// assert_eq!(ReadCursor::default().watch_after(), None);
    /// ```
    #[must_use]
    pub fn watch_after(&self) -> Option<StorePosition> {
        self.after
    }

    /// Records an answer that leads to a position.
    ///
    /// ```
    /// # use sardinewood::direct::replication::read_cursor::ReadCursor;
    /// ReadCursor::default().advance(Default::default());
    /// ```
    pub fn advance(&mut self, position: StorePosition) {
        *self = Self {
            after: Some(position),
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
        *self = Self::default();
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
            self.after = None;
        }
    }
}
