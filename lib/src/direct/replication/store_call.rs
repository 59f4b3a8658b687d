//! Calls to the store, one after the other or, while it does not answer, overlapping.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::store::ObjectList;
use crate::store::ReadError;
use crate::store::WatchBatch;
use crate::store::position::StorePosition;

/// Time after an answer is due at which another call begins beside the one that has none. A call that hangs
/// for its whole timeout tells nothing of whether the store has returned meanwhile.
const OVERLAP_PAUSE: Duration = Duration::from_millis(300);
/// Calls that are open at a time.
const MAX_OPEN_CALLS: usize = 5;

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
}

/// How a call to the store has ended.
#[derive(Debug)]
pub(super) struct StoreCall {
    /// When it began.
    pub(super) asked_at: Instant,
    /// How long it let the store wait for changes.
    wait_ms: u64,
    pub(super) result: Result<StoreAnswer, ReadError>,
}

impl StoreCall {
    /// Makes a call that lets the store wait for changes.
    pub(super) async fn make(
        call: impl AsyncFn(u64) -> Result<StoreAnswer, ReadError>,
        wait_ms: u64,
    ) -> Self {
        let asked_at = Instant::now();
        let result = call(wait_ms).await;
        Self {
            asked_at,
            wait_ms,
            result,
        }
    }

    /// Returns whether the store has answered, if only that it can't say.
    pub(super) fn is_answered(&self) -> bool {
        matches!(
            self.result,
            Ok(_) | Err(ReadError::TooOld | ReadError::OtherEra { .. })
        )
    }

    /// Returns the latest time of which it is certain that the answer tells all changes before it.
    ///
    /// An answer may be long on its way, so the time at which it arrives says nothing. An answer
    /// without changes was made when the wait was over.
    pub(super) fn covered_until(&self) -> Instant {
        let waited_until = self.asked_at + Duration::from_millis(self.wait_ms);
        let has_waited = matches!(
            &self.result,
            Ok(StoreAnswer::Changes(batch)) if batch.events.is_empty()
        );
        if has_waited && waited_until <= Instant::now() {
            waited_until
        } else {
            self.asked_at
        }
    }

    /// Makes a call that lets the store wait for changes, and, while no answer comes and this entry may call
    /// the store, calls beside it that do not wait, until one of them ends. `on_failure` is told when
    /// calls began that have got no answer by the time at which another one begins, or fails.
    pub(super) async fn make_overlapping(
        call: impl AsyncFn(u64) -> Result<StoreAnswer, ReadError>,
        mut wait_ms: u64,
        may_call: impl Fn() -> bool,
        on_failure: impl Fn(Instant),
    ) -> Self {
        let mut open = FuturesUnordered::new();
        loop {
            let asked_at = Instant::now();
            open.push(Self::make(&call, wait_ms));
            let pause = Duration::from_millis(wait_ms) + OVERLAP_PAUSE;
            tokio::select! {
                Some(ended) = open.next() => {
                    if !ended.is_answered() {
                        on_failure(asked_at);
                    }
                    return ended;
                }
                () = sleep(pause), if open.len() < MAX_OPEN_CALLS && may_call() => {}
            }
            on_failure(asked_at);
            wait_ms = 0;
        }
    }
}
