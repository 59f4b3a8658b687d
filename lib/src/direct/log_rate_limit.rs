//! How many log lines may be written in a second, and whose go first.

use indexmap::IndexMap;

/// Lines of one kind of failure in one second. Ten kinds at this rate cost about a hundredth
/// of a small host's processor.
const FAILURES_PER_S: u32 = 40;
/// Lines of one kind of success in one second: a sample, since counters and histograms tell
/// the rest.
const SUCCESSES_PER_S: u32 = 10;
const SECOND_MS: u64 = 1_000;

/// What a line tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogCategory {
    /// A request that went well, of which a sample is enough.
    Success,
    /// A request that did not, or a change of what the process believes.
    Failure,
}

#[derive(Clone, Copy, Debug, Default)]
struct Used {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Counts the lines of each kind, so that a flood of one kind costs a bounded time and does
/// not push out the others.
///
/// Whoever looks for a failed request must find it: while lines of failures are left out, no
/// success is written at all, so a failure never gives way to a success beside it.
///
/// ```
/// use sardinewood::direct::log_rate_limit::{LogRateLimiter, LogCategory};
///
/// let mut budget = LogRateLimiter::default();
/// assert_eq!(budget.take("request failed", LogCategory::Failure, 0), Some(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogRateLimiter {
    kinds: IndexMap<&'static str, Used>,
    failures_left_out_at: Option<u64>,
}

impl LogRateLimiter {
    /// Whether a line may be written; if so, how many of its kind were left out before it.
    ///
    /// ```
    /// # use sardinewood::direct::log_rate_limit::{LogRateLimiter, LogCategory};
    /// let mut budget = LogRateLimiter::default();
    /// let write = |budget: &mut LogRateLimiter, at| budget.take("k", LogCategory::Failure, at);
    /// let written = (0..100).filter(|_| write(&mut budget, 0).is_some()).count();
    /// assert_eq!(write(&mut budget, 1_000), Some(100 - written as u64));
    /// ```
    pub fn take(&mut self, kind: &'static str, outcome: LogCategory, now_ms: u64) -> Option<u64> {
        let second = now_ms / SECOND_MS;
        let most = match outcome {
            LogCategory::Failure => FAILURES_PER_S,
            LogCategory::Success if self.leaves_out_failures(second) => 0,
            LogCategory::Success => SUCCESSES_PER_S,
        };
        let used = self.kinds.entry(kind).or_default();
        if used.second != second {
            used.second = second;
            used.lines = 0;
        }
        if used.lines < most {
            used.lines += 1;
            return Some(std::mem::take(&mut used.left_out));
        }
        used.left_out += 1;
        if outcome == LogCategory::Failure {
            self.failures_left_out_at = Some(second);
        }
        None
    }

    fn leaves_out_failures(&self, second: u64) -> bool {
        self.failures_left_out_at
            .is_some_and(|left_out| second <= left_out + 1)
    }
}
