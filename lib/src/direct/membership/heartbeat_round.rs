//! Spreads the heartbeats of a round over the time until the next one.
//!
//! In a fleet of hundreds, a host with a small share of a core needs some tens of milliseconds to
//! send a heartbeat to each peer, and its requests wait meanwhile. Entries that have started
//! together would also send to each other at the same moment, second after second.

use std::net::SocketAddr;

/// Shortest time between two slices of a round.
const MIN_SLICE_MS: u64 = 50;

/// One heartbeat to each target, sent in slices of equal size.
///
/// ```
/// use sardinewood::direct::membership::heartbeat_round::HeartbeatRound;
///
/// let targets = vec!["10.0.0.1:7".parse().unwrap(), "10.0.0.2:7".parse().unwrap()];
/// let mut round = HeartbeatRound::new(targets, 100, 0);
/// assert_eq!(round.take_due(0).len(), 1);
/// assert_eq!(round.take_due(50).len(), 1);
/// assert!(round.is_over(100));
/// ```
#[derive(Clone, Debug)]
pub struct HeartbeatRound {
    targets: Vec<SocketAddr>,
    taken: usize,
    started_at_ms: u64,
    slices: u64,
    slice_ms: u64,
}

impl HeartbeatRound {
    /// Starts a round that takes `interval_ms`.
    ///
    /// ```
    /// # use sardinewood::direct::membership::heartbeat_round::HeartbeatRound;
    /// assert!(!HeartbeatRound::new(Vec::new(), 50, 0).is_over(49));
    /// ```
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>, interval_ms: u64, now_ms: u64) -> Self {
        let slices = (interval_ms / MIN_SLICE_MS).max(1);
        Self {
            targets,
            taken: 0,
            started_at_ms: now_ms,
            slices,
            slice_ms: (interval_ms / slices).max(1),
        }
    }

    /// Returns the targets that are due and have not been returned before.
    ///
    /// ```
    /// # use sardinewood::direct::membership::heartbeat_round::HeartbeatRound;
    /// assert!(HeartbeatRound::new(Vec::new(), 50, 0).take_due(0).is_empty());
    /// ```
    pub fn take_due(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let begun = (self.elapsed_slices(now_ms) + 1).min(self.slices);
        let due = (self.targets.len() as u64 * begun).div_ceil(self.slices);
        let due = usize::try_from(due).unwrap_or(usize::MAX);
        let first = self.taken.min(due);
        self.taken = due;
        self.targets[first..due].to_vec()
    }

    /// Returns the targets that are due, and begins the next round, with the given targets and
    /// interval, if this one is over. A process that was late for the last slices of a round sends
    /// them before the next round; its peers would take it for dead otherwise, the same ones each
    /// time.
    ///
    /// ```
    /// # use sardinewood::direct::membership::heartbeat_round::HeartbeatRound;
    /// let peer = "10.0.0.1:7".parse().unwrap();
    /// let mut round = HeartbeatRound::new(vec![peer], 50, 0);
    /// assert_eq!(round.advance(50, || (vec![peer], 50)).len(), 2);
    /// ```
    pub fn advance(
        &mut self,
        now_ms: u64,
        next: impl FnOnce() -> (Vec<SocketAddr>, u64),
    ) -> Vec<SocketAddr> {
        let mut due = self.take_due(now_ms);
        if self.is_over(now_ms) {
            let (targets, interval_ms) = next();
            *self = Self::new(targets, interval_ms, now_ms);
            due.extend(self.take_due(now_ms));
        }
        due
    }

    /// Returns when the next slice is due, or the next round if there is none left.
    ///
    /// ```
    /// # use sardinewood::direct::membership::heartbeat_round::HeartbeatRound;
    /// assert_eq!(HeartbeatRound::new(Vec::new(), 100, 7).next_due_ms(7), 57);
    /// ```
    #[must_use]
    pub fn next_due_ms(&self, now_ms: u64) -> u64 {
        let next = (self.elapsed_slices(now_ms) + 1).min(self.slices);
        self.started_at_ms + next * self.slice_ms
    }

    /// Returns whether the next round is due.
    ///
    /// ```
    /// # use sardinewood::direct::membership::heartbeat_round::HeartbeatRound;
    /// assert!(HeartbeatRound::new(Vec::new(), 50, 0).is_over(50));
    /// ```
    #[must_use]
    pub fn is_over(&self, now_ms: u64) -> bool {
        self.elapsed_slices(now_ms) >= self.slices
    }

    fn elapsed_slices(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_at_ms) / self.slice_ms
    }
}
