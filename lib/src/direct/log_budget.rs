//! How many log lines of a kind may be written in a second.

use indexmap::IndexMap;

/// Lines of one kind in one second. A phone shows some hundred lines; ten kinds at this rate
/// cost about a hundredth of a small host's processor.
const LINES_PER_S: u32 = 20;
const SECOND_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Used {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Counts the lines of each kind, so that a flood of one kind costs a bounded time and does
/// not push out the others.
///
/// ```
/// use sardinewood::direct::log_budget::LogBudget;
///
/// let mut budget = LogBudget::default();
/// assert_eq!(budget.take("request failed", 0), Some(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogBudget {
    kinds: IndexMap<&'static str, Used>,
}

impl LogBudget {
    /// Whether a line may be written; if so, how many of its kind were left out before it.
    ///
    /// ```
    /// # use sardinewood::direct::log_budget::LogBudget;
    /// let mut budget = LogBudget::default();
    /// let written = (0..100).filter(|_| budget.take("k", 0).is_some()).count();
    /// assert_eq!(budget.take("k", 1_000), Some(100 - written as u64));
    /// ```
    pub fn take(&mut self, kind: &'static str, now_ms: u64) -> Option<u64> {
        let used = self.kinds.entry(kind).or_default();
        let second = now_ms / SECOND_MS;
        if used.second != second {
            used.second = second;
            used.lines = 0;
        }
        if used.lines >= LINES_PER_S {
            used.left_out += 1;
            return None;
        }
        used.lines += 1;
        Some(std::mem::take(&mut used.left_out))
    }
}
