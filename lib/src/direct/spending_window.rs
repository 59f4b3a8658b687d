//! What was spent in the last some seconds, as a platform counts it.

use std::collections::VecDeque;

use crate::numbers;

/// Parts that the window is kept in. The oldest part counts whole until all of it has passed,
/// so the sum is too high by a thirty-second at most, never too low.
const PARTS: u32 = 32;

/// Units spent in a sliding window.
///
/// ```
/// use sardinewood::direct::spending_window::SpendingWindow;
///
/// let mut window = SpendingWindow::new(8_000.0, 0.0, 0);
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
    /// A window that begins now.
    ///
    /// What was spent before time zero, when the process started, is not known. It is taken to be
    /// `units_per_ms`: if all entries were killed at once and each began with an empty
    /// window, a customer could spend two windows' worth within one.
    ///
    /// ```
    /// # use sardinewood::direct::spending_window::SpendingWindow;
    /// assert!(SpendingWindow::new(8_000.0, 1.0, 0).spent(0) >= 8_000.0);
    /// ```
    #[must_use]
    pub fn new(window_ms: f64, units_per_ms: f64, now_ms: u64) -> Self {
        let part_ms = numbers::whole_u64(window_ms / f64::from(PARTS)).max(1);
        let newest = now_ms / part_ms;
        let known = newest.saturating_add(1).min(u64::from(PARTS) + 1);
        let unknown = u64::from(PARTS) + 1 - known;
        let units = units_per_ms * numbers::as_f64(part_ms);
        let parts: VecDeque<f64> = (0..unknown)
            .map(|_| units)
            .chain((0..known).map(|_| 0.0))
            .collect();
        Self {
            part_ms,
            sum: parts.iter().sum(),
            parts,
            newest,
        }
    }

    /// Notes that units were spent.
    ///
    /// ```
    /// # use sardinewood::direct::spending_window::SpendingWindow;
    /// SpendingWindow::new(8_000.0, 0.0, 0).spend(5.0, 10);
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
    /// # use sardinewood::direct::spending_window::SpendingWindow;
    /// assert!(SpendingWindow::new(8_000.0, 0.0, 0).spent(10) < 1e-9);
    /// ```
    pub fn spent(&mut self, now_ms: u64) -> f64 {
        self.pass(now_ms);
        self.sum
    }

    /// Time until no more than these units lie in the window, if nothing is added.
    ///
    /// ```
    /// # use sardinewood::direct::spending_window::SpendingWindow;
    /// let mut window = SpendingWindow::new(8_000.0, 0.0, 0);
    /// window.spend(5.0, 0);
    /// assert_eq!(window.ms_until(5.0, 0), 0);
    /// assert!(window.ms_until(4.0, 0) >= 8_000);
    /// ```
    pub fn ms_until(&mut self, units: f64, now_ms: u64) -> u64 {
        self.pass(now_ms);
        let mut left = self.sum;
        for (index, part) in self.parts.iter().enumerate() {
            if left <= units {
                return self.ms_until_passed(index as u64, now_ms);
            }
            left -= part;
        }
        self.ms_until_passed(self.parts.len() as u64, now_ms)
    }

    fn ms_until_passed(&self, parts: u64, now_ms: u64) -> u64 {
        if parts == 0 {
            return 0;
        }
        ((self.newest + parts) * self.part_ms).saturating_sub(now_ms)
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
