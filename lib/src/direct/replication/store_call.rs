//! One call to the store, and how it has ended.

use std::time::Duration;

use tokio::time::Instant;

use crate::store::ObjectList;
use crate::store::ReadError;
use crate::store::WatchBatch;
use crate::store::position::StorePosition;

/// What the store has sent.
#[derive(Debug)]
pub(super) enum StoreAnswer {
    /// All objects.
    List(ObjectList),
    /// The changes after a position.
    Changes(WatchBatch),
}

impl StoreAnswer {
    pub(super) fn position(&self) -> StorePosition {
        match self {
            Self::List(list) => list.position,
            Self::Changes(batch) => batch.position,
        }
    }

    /// Returns whether more changes may follow at once.
    pub(super) fn has_news(&self) -> bool {
        matches!(self, Self::Changes(batch) if !batch.events.is_empty())
    }

    /// Returns the latest time of which it is certain that the answer tells all changes before it.
    ///
    /// An answer may be long on its way, so the time at which it arrives says nothing. An answer
    /// without changes was made when the wait was over.
    pub(super) fn covered_until(&self, asked_at: Instant, wait_ms: u64) -> Instant {
        let waited_until = asked_at + Duration::from_millis(wait_ms);
        let has_waited = matches!(self, Self::Changes(batch) if batch.events.is_empty());
        if has_waited && waited_until <= Instant::now() {
            waited_until
        } else {
            asked_at
        }
    }
}

/// How a call to the store has ended.
#[derive(Debug)]
pub(super) struct StoreCall {
    /// When it began.
    pub(super) asked_at: Instant,
    pub(super) result: Result<StoreAnswer, ReadError>,
}

impl StoreCall {
    /// Makes a call.
    pub(super) async fn make(call: impl Future<Output = Result<StoreAnswer, ReadError>>) -> Self {
        let asked_at = Instant::now();
        let result = call.await;
        Self { asked_at, result }
    }

    /// Returns whether the store has answered, if only that it can't say.
    pub(super) fn is_answered(&self) -> bool {
        matches!(
            self.result,
            Ok(_) | Err(ReadError::TooOld | ReadError::OtherEra { .. })
        )
    }
}
