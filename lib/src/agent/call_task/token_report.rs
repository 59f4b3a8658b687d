//! Counts the tokens of a call and says when to report them.

use std::time::Duration;

use tokio::time::Instant;

use super::micros;
use crate::agent::events::CallProgress;

/// How often the tokens of a call are reported.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// The tokens of one call.
#[derive(Debug)]
pub(super) struct TokenReport {
    total: u64,
    unreported: u32,
    since: Instant,
    /// Whether reading has been held up since the last report, so that its time says
    /// nothing about the engine.
    is_held_up: bool,
}

impl TokenReport {
    pub(super) fn new(now: Instant) -> Self {
        TokenReport {
            total: 0,
            unreported: 0,
            since: now,
            is_held_up: false,
        }
    }

    pub(super) fn total(&self) -> u64 {
        self.total
    }

    pub(super) fn hold_up(&mut self) {
        self.is_held_up = true;
    }

    /// Counts tokens; returns a report when one is due. The first tokens only start the
    /// clock, since their time is mostly that of the prompt.
    pub(super) fn count(&mut self, tokens: u32, now: Instant) -> Option<CallProgress> {
        if tokens == 0 {
            return None;
        }
        let is_first = self.total == 0;
        self.total += u64::from(tokens);
        if is_first {
            self.since = now;
            self.is_held_up = false;
            return None;
        }
        self.unreported += tokens;
        if now.duration_since(self.since) < REPORT_PERIOD {
            return None;
        }
        self.report(now)
    }

    /// The report of what was counted since the last one.
    pub(super) fn report(&mut self, now: Instant) -> Option<CallProgress> {
        if self.unreported == 0 {
            return None;
        }
        let elapsed_us = if self.is_held_up {
            0
        } else {
            micros(now.duration_since(self.since))
        };
        let count = std::mem::take(&mut self.unreported);
        self.is_held_up = false;
        self.since = now;
        Some(CallProgress::Tokens { count, elapsed_us })
    }
}
