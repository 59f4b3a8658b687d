//! What was spent in the last some seconds, as a platform counts it.

use std::collections::VecDeque;

use crate::numbers;

/// Parts that the window is kept in. The oldest part counts whole until all of it has passed,
/// so the sum is too high by a thirty-second at most, never too low.
const PARTS: u32 = 32;

/// Units spent in a sliding window.
///
/// ```
/// use sardinewood::direct::sharing::spending_window::SpendingWindow;
///
/// let mut window = SpendingWindow::new(8_000.0, 0);
/// window.spend(50.0, 100);
/// assert!((window.spent(7_000) - 50.0).abs() < 1e-9);
/// assert!(window.spent(9_000) < 1e-9);
/// ```
#[derive(Clone, Debug)]
pub struct SpendingWindow {
    part_ms: u64,
    /// Units by part, the newest last.
    parts: VecDeque<f64>,
    /// Number of the newest part since time zero.
    newest: u64,
    sum: f64,
}

impl SpendingWindow {
    /// An empty window that begins now.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::spending_window::SpendingWindow;
    /// assert!(SpendingWindow::new(8_000.0, 0).spent(0) < 1e-9);
    /// ```
    #[must_use]
    pub fn new(window_ms: f64, now_ms: u64) -> Self {
        let part_ms = numbers::whole_u64(window_ms / f64::from(PARTS)).max(1);
        Self {
            part_ms,
            parts: (0..=PARTS).map(|_| 0.0).collect(),
            newest: now_ms / part_ms,
            sum: 0.0,
        }
    }

    /// Notes that units were spent.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::spending_window::SpendingWindow;
    /// SpendingWindow::new(8_000.0, 0).spend(5.0, 10);
    /// ```
    pub fn spend(&mut self, units: f64, now_ms: u64) {
        self.pass(now_ms);
        if let Some(newest) = self.parts.back_mut() {
            *newest += units;
            self.sum += units;
        }
    }

    /// What was spent in the window that ends now.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::spending_window::SpendingWindow;
    /// assert!(SpendingWindow::new(8_000.0, 0).spent(10) < 1e-9);
    /// ```
    pub fn spent(&mut self, now_ms: u64) -> f64 {
        self.pass(now_ms);
        self.sum
    }

    fn pass(&mut self, now_ms: u64) {
        let newest = now_ms / self.part_ms;
        let passed = newest.saturating_sub(self.newest);
        for _ in 0..passed.min(self.parts.len() as u64) {
            self.parts.pop_front();
            self.parts.push_back(0.0);
        }
        if passed > 0 {
            // Summed anew, so that rounding does not pile up.
            self.sum = self.parts.iter().sum();
            self.newest = newest;
        }
    }
}
