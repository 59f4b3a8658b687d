//! Limits how many log lines with the same message are written in a second.

use indexmap::IndexMap;

use crate::logging::Line;

/// Lines per second of one failure message. Ten messages at this rate cost about 1% of a small
/// host's processor.
const FAILURES_PER_S: u32 = 40;
/// Lines per second of one success message. A sample is enough, since metrics cover all requests.
const SUCCESSES_PER_S: u32 = 10;
const SECOND_MS: u64 = 1_000;

/// Whether a log line reports a success or a failure, which have different limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogCategory {
    /// A request that succeeded.
    Success,
    /// A request that failed, or a change of the process's state.
    Failure,
}

/// Lines with one message.
#[derive(Clone, Copy, Debug, Default)]
struct MessageCount {
    /// Second of the latest line, since the start of the process.
    second: u64,
    /// Lines written in this second.
    lines: u32,
    /// Lines suppressed since the last one that was written.
    suppressed: u64,
}

/// Counts the lines of each message, so that a flood of one message takes a bounded time and
/// doesn't displace the others.
///
/// A failed request must be found in the log if possible. So while failure lines are suppressed,
/// and for one second after, no success lines are written.
///
/// ```
/// use sardinewood::direct::log_rate_limit::{LogRateLimiter, LogCategory};
///
/// let mut limiter = LogRateLimiter::default();
/// assert_eq!(limiter.admit("request failed", LogCategory::Failure, 0), Some(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogRateLimiter {
    messages: IndexMap<&'static str, MessageCount>,
    failures_suppressed_at: Option<u64>,
}

impl LogRateLimiter {
    /// Returns none if a line must be suppressed, and otherwise how many lines with its message
    /// were suppressed before it.
    ///
    /// ```
    /// # use sardinewood::direct::log_rate_limit::{LogRateLimiter, LogCategory};
    /// let mut limiter = LogRateLimiter::default();
    /// let write = |limiter: &mut LogRateLimiter, at| limiter.admit("k", LogCategory::Failure, at);
    /// let written = (0..100).filter(|_| write(&mut limiter, 0).is_some()).count();
    /// assert_eq!(write(&mut limiter, 1_000), Some(100 - written as u64));
    /// ```
    pub fn admit(
        &mut self,
        message: &'static str,
        category: LogCategory,
        now_ms: u64,
    ) -> Option<u64> {
        let second = now_ms / SECOND_MS;
        let limit = match category {
            LogCategory::Failure => FAILURES_PER_S,
            LogCategory::Success if self.has_suppressed_failures(second) => 0,
            LogCategory::Success => SUCCESSES_PER_S,
        };
        let count = self.messages.entry(message).or_default();
        if count.second != second {
            count.second = second;
            count.lines = 0;
        }
        if count.lines < limit {
            count.lines += 1;
            return Some(std::mem::take(&mut count.suppressed));
        }
        count.suppressed += 1;
        if category == LogCategory::Failure {
            self.failures_suppressed_at = Some(second);
        }
        None
    }

    fn has_suppressed_failures(&self, second: u64) -> bool {
        self.failures_suppressed_at
            .is_some_and(|suppressed| second <= suppressed + 1)
    }
}

/// Writes a line that [`LogRateLimiter::admit`] has admitted, with the number of lines suppressed
/// before it.
pub(super) fn send(line: Line, suppressed: u64) {
    match suppressed {
        0 => line.send(),
        count => line.field("left_out_lines", count).send(),
    }
}
