//! Counter of the tokens of a call that decides when to report them.

use std::time::Duration;

use tokio::time::Instant;

use super::micros;
use crate::agent::events::CallProgress;

/// Minimum time between two token reports of a call.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Counts the tokens of one call.
#[derive(Debug)]
pub(super) struct TokenReport {
    total: u64,
    unreported: u32,
    since: Instant,
    /// Whether reading was paused since the last report, so that the elapsed time says
    /// nothing about the engine's speed.
    was_paused: bool,
}

impl TokenReport {
    pub(super) fn new(now: Instant) -> Self {
        TokenReport {
            total: 0,
            unreported: 0,
            since: now,
            was_paused: false,
        }
    }

    pub(super) fn total(&self) -> u64 {
        self.total
    }

    pub(super) fn mark_paused(&mut self) {
        self.was_paused = true;
    }

    /// Counts tokens and returns a report when one is due. The first tokens only start the
    /// measurement, since their time is mostly spent on the prompt.
    pub(super) fn count(&mut self, tokens: u32, now: Instant) -> Option<CallProgress> {
        if tokens == 0 {
            return None;
        }
        let is_first = self.total == 0;
        self.total += u64::from(tokens);
        if is_first {
            self.since = now;
            self.was_paused = false;
            return None;
        }
        self.unreported += tokens;
        if now.duration_since(self.since) < REPORT_INTERVAL {
            return None;
        }
        self.report(now)
    }

    /// Returns a report of the tokens counted since the last one, if there are any.
    pub(super) fn report(&mut self, now: Instant) -> Option<CallProgress> {
        if self.unreported == 0 {
            return None;
        }
        let elapsed_us = if self.was_paused {
            0
        } else {
            micros(now.duration_since(self.since))
        };
        let count = std::mem::take(&mut self.unreported);
        self.was_paused = false;
        self.since = now;
        Some(CallProgress::Tokens { count, elapsed_us })
    }
}
