//! Counts of what happened lately, by equal parts of time.

use std::collections::VecDeque;

/// Counts by equal parts of time, for as many parts as are kept.
///
/// ```
/// use sardinewood::direct::sharing::part_counts::PartCounts;
///
/// let mut counts = PartCounts::new(100, 3, 0);
/// counts.add(2, 50);
/// counts.add(1, 250);
/// assert!(counts.newest_first().eq([1, 0, 2]));
/// counts.advance(300);
/// assert!(counts.newest_first().eq([0, 1, 0]));
/// ```
#[derive(Clone, Debug)]
pub struct PartCounts {
    part_ms: u64,
    /// Count of each part, the newest first.
    parts: VecDeque<u64>,
    /// Number of the newest part since time zero.
    newest: u64,
}

impl PartCounts {
    /// Creates counts that are zero, of parts of this length.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::part_counts::PartCounts;
    /// assert!(PartCounts::new(100, 3, 0).newest_first().eq([0, 0, 0]));
    /// ```
    #[must_use]
    pub fn new(part_ms: u64, kept_parts: usize, now_ms: u64) -> Self {
        let part_ms = part_ms.max(1);
        Self {
            part_ms,
            parts: std::iter::repeat_n(0, kept_parts).collect(),
            newest: now_ms / part_ms,
        }
    }

    /// Adds to the count of the current part.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::part_counts::PartCounts;
    /// PartCounts::new(100, 3, 0).add(5, 10);
    /// ```
    pub fn add(&mut self, count: u64, now_ms: u64) {
        self.advance(now_ms);
        if let Some(newest) = self.parts.front_mut() {
            *newest += count;
        }
    }

    /// Begins the parts that have passed since the latest call.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::part_counts::PartCounts;
    /// let mut counts = PartCounts::new(100, 2, 0);
    /// counts.add(5, 10);
    /// counts.advance(150);
    /// assert!(counts.newest_first().eq([0, 5]));
    /// ```
    pub fn advance(&mut self, now_ms: u64) {
        let newest = now_ms / self.part_ms;
        let passed = newest.saturating_sub(self.newest);
        for _ in 0..passed.min(self.parts.len() as u64) {
            self.parts.pop_back();
            self.parts.push_front(0);
        }
        self.newest += passed;
    }

    /// Returns the counts, that of the current part first.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::part_counts::PartCounts;
    /// let mut counts = PartCounts::new(100, 2, 0);
    /// counts.add(5, 10);
    /// assert!(counts.newest_first().eq([5, 0]));
    /// ```
    pub fn newest_first(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().copied()
    }
}
