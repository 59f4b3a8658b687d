//! Whether the store answers an entry, and since when it does not.

use tokio::time::Instant;

use crate::logging::Level;
use crate::logging::Line;
use crate::store::ReadError;

/// Tracks and logs an outage of the store.
#[derive(Debug, Default)]
pub(super) struct Outage {
    since: Option<Instant>,
    /// Time of the last answer; none if this entry has not called the store before the outage.
    last_answer: Option<Instant>,
}

impl Outage {
    pub(super) fn is_ongoing(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the time since the last answer, which is at least as long as the outage. It is unbounded
    /// if this entry can't tell.
    pub(super) fn unanswered_ms(&self) -> u64 {
        self.last_answer.map_or(u64::MAX, |last_answer| {
            u64::try_from(last_answer.elapsed().as_millis()).unwrap_or(u64::MAX)
        })
    }

    pub(super) fn record_error(&mut self, kind: &str, error: &ReadError) {
        if self.since.is_none() {
            self.since = Some(Instant::now());
            Line::new(Level::Warn, "store does not answer")
                .field("kind", kind)
                .field("error", error.to_string())
                .send();
        }
    }

    pub(super) fn left(&mut self, kind: &str) {
        self.last_answer = None;
        if self.since.take().is_some() {
            Line::new(Level::Info, "store is left to other entries")
                .field("kind", kind)
                .send();
        }
    }

    pub(super) fn record_answer(&mut self, kind: &str) {
        self.last_answer = Some(Instant::now());
        if let Some(since) = self.since.take() {
            Line::new(Level::Info, "store answers again")
                .field("kind", kind)
                .field("after_ms", since.elapsed().as_millis())
                .send();
        }
    }
}
