//! Counts retries in sliding windows as a platform that limits them does.

/// Retries that a platform allows in each window.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries.
    pub slack_retries: f64,
    /// Length of the window.
    pub window_ms: u64,
}

/// A window and what was counted in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Its beginning.
    pub from_ms: u64,
    /// Retries in it.
    pub retries: usize,
    /// Retries that are allowed in it.
    pub allowed: f64,
}

impl Window {
    /// Returns how many retries are in the window beyond those allowed; less than zero if some are left.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of a test")]
    pub fn excess(&self) -> f64 {
        self.retries as f64 - self.allowed
    }
}

/// Returns the window with the largest excess of retries, among those that begin with a retry. The
/// requests are those of the window, of the one before it or of the one half a window before it,
/// whichever has most.
///
/// ```
/// use testutils::retry_windows::{Allowance, worst_window};
///
/// let allowance = Allowance { ratio: 0.5, slack_retries: 1.0, window_ms: 1_000 };
/// let worst = worst_window(&[100, 200], &[300, 400, 500], allowance).unwrap();
/// assert_eq!((worst.from_ms, worst.retries), (300, 3));
/// assert!((worst.excess() - 1.0).abs() < 1e-9);
/// ```
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts of a test")]
pub fn worst_window(
    requests_ms: &[u64],
    retries_ms: &[u64],
    allowance: Allowance,
) -> Option<Window> {
    let requests_ms = sorted(requests_ms);
    let retries_ms = sorted(retries_ms);
    let window_ms = allowance.window_ms;
    let judge = |from_ms: &u64| {
        let befores_ms = [0, window_ms / 2, window_ms];
        let requests = befores_ms
            .map(|before_ms| count_from(&requests_ms, from_ms.saturating_sub(before_ms), window_ms))
            .into_iter()
            .max()
            .unwrap_or_default();
        Window {
            from_ms: *from_ms,
            retries: count_from(&retries_ms, *from_ms, window_ms),
            allowed: requests as f64 * allowance.ratio + allowance.slack_retries,
        }
    };
    let windows = retries_ms.iter().map(judge);
    windows.max_by(|one, other| one.excess().total_cmp(&other.excess()))
}

fn sorted(times_ms: &[u64]) -> Vec<u64> {
    let mut sorted = times_ms.to_vec();
    sorted.sort_unstable();
    sorted
}

fn count_from(sorted_ms: &[u64], from_ms: u64, window_ms: u64) -> usize {
    let before = |until_ms| sorted_ms.partition_point(|at_ms| *at_ms < until_ms);
    before(from_ms + window_ms) - before(from_ms)
}
