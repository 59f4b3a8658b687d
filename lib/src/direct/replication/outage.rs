//! Whether the store answers this entry, and since when it does not.

use tokio::time::Instant;

use crate::logging::Level;
use crate::logging::Line;
use crate::store::ReadError;

/// Tracks and logs a time in which the store does not answer this entry, whether it answers others or not.
#[derive(Debug, Default)]
pub(super) struct Outage {
    since: Option<Instant>,
}

impl Outage {
    pub(super) fn is_ongoing(&self) -> bool {
        self.since.is_some()
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
        if self.since.take().is_some() {
            Line::new(Level::Info, "store is left to other entries")
                .field("kind", kind)
                .send();
        }
    }

    /// Records an answer, and logs for how long there was none. `kept_for_ms` is the time for which
    /// upstreams are used that disappear now; none if others were answered meanwhile.
    pub(super) fn record_answer(&mut self, kind: &str, kept_for_ms: Option<u64>) {
        if let Some(since) = self.since.take() {
            Line::new(Level::Info, "store answers again")
                .field("kind", kind)
                .field("after_ms", since.elapsed().as_millis())
                .field("missing_upstreams_kept_for_ms", kept_for_ms)
                .send();
        }
    }
}
