//! A sum over a sliding window of time, as a platform counts requests and retries.

use std::collections::VecDeque;

use crate::numbers;

/// Parts of a window. The oldest part counts in full until all of it has passed, so the sum
/// covers up to a thirty-second of the window too much and never too little.
const PARTS: u32 = 32;

/// The sum of values that were added within a sliding window.
///
/// ```
/// use sardinewood::direct::sharing::sliding_window::SlidingWindow;
///
/// let mut window = SlidingWindow::new(8_000.0, 0);
/// window.add(50.0, 100);
/// assert!((window.sum(7_000) - 50.0).abs() < 1e-9);
/// assert!(window.sum(9_000) < 1e-9);
/// ```
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    part_ms: u64,
    /// Sum of each part, the newest last.
    parts: VecDeque<f64>,
    /// Number of the newest part since time zero.
    newest: u64,
    sum: f64,
}

impl SlidingWindow {
    /// Creates an empty window that ends now.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::sliding_window::SlidingWindow;
    /// assert!(SlidingWindow::new(8_000.0, 0).sum(0) < 1e-9);
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

    /// Adds a value at the current time.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::sliding_window::SlidingWindow;
    /// SlidingWindow::new(8_000.0, 0).add(5.0, 10);
    /// ```
    pub fn add(&mut self, units: f64, now_ms: u64) {
        self.advance(now_ms);
        if let Some(newest) = self.parts.back_mut() {
            *newest += units;
            self.sum += units;
        }
    }

    /// Returns the sum over the window that ends now.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::sliding_window::SlidingWindow;
    /// assert!(SlidingWindow::new(8_000.0, 0).sum(10) < 1e-9);
    /// ```
    pub fn sum(&mut self, now_ms: u64) -> f64 {
        self.advance(now_ms);
        self.sum
    }

    fn advance(&mut self, now_ms: u64) {
        let newest = now_ms / self.part_ms;
        let passed = newest.saturating_sub(self.newest);
        for _ in 0..passed.min(self.parts.len() as u64) {
            self.parts.pop_front();
            self.parts.push_back(0.0);
        }
        if passed > 0 {
            // Recomputed so that rounding errors do not accumulate.
            self.sum = self.parts.iter().sum();
            self.newest = newest;
        }
    }
}
