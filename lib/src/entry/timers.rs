//! The timers of all requests in an entry, ordered by time.

use std::collections::BTreeSet;

use crate::ids::RequestId;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// The deadline of the request has passed.
    Deadline,
    /// More agents may be asked for a grant, also those that refused.
    Reserve,
    /// The agent is queried again for the state of an attempt.
    Ask,
    /// The grace period for a disconnected caller to repeat its request has passed.
    Cancel,
    /// An abandoned attempt is forgotten.
    Forget,
}

/// The timers of all requests. The owner of a request sets each kind at most once at a time.
///
/// ```
/// use sardinewood::ids::RequestId;
/// use sardinewood::entry::timers::{TimerKind, Timers};
///
/// let mut timers = Timers::default();
/// timers.set(20, TimerKind::Deadline, RequestId(1));
/// assert_eq!(timers.next_ms(), Some(20));
/// assert_eq!(timers.pop_due(19), None);
/// assert_eq!(timers.pop_due(20), Some((TimerKind::Deadline, RequestId(1))));
/// ```
#[derive(Debug, Default)]
pub struct Timers {
    due: BTreeSet<(u64, TimerKind, RequestId)>,
}

impl Timers {
    /// Sets a timer.
    ///
    /// ```
    /// use sardinewood::ids::RequestId;
    /// use sardinewood::entry::timers::{TimerKind, Timers};
    ///
    /// let mut timers = Timers::default();
    /// timers.set(20, TimerKind::Reserve, RequestId(1));
    /// assert_eq!(timers.next_ms(), Some(20));
    /// ```
    pub fn set(&mut self, at_ms: u64, kind: TimerKind, request: RequestId) {
        self.due.insert((at_ms, kind, request));
    }

    /// Removes a timer.
    ///
    /// ```
    /// use sardinewood::ids::RequestId;
    /// use sardinewood::entry::timers::{TimerKind, Timers};
    ///
    /// let mut timers = Timers::default();
    /// timers.set(20, TimerKind::Reserve, RequestId(1));
    /// timers.clear(20, TimerKind::Reserve, RequestId(1));
    /// assert_eq!(timers.next_ms(), None);
    /// ```
    pub fn clear(&mut self, at_ms: u64, kind: TimerKind, request: RequestId) {
        self.due.remove(&(at_ms, kind, request));
    }

    /// Returns when the next timer is due.
    ///
    /// ```
    /// use sardinewood::entry::timers::Timers;
    ///
    /// assert_eq!(Timers::default().next_ms(), None);
    /// ```
    #[must_use]
    pub fn next_ms(&self) -> Option<u64> {
        self.due.first().map(|(at_ms, ..)| *at_ms)
    }

    /// Removes and returns the earliest timer that is due.
    ///
    /// ```
    /// use sardinewood::entry::timers::Timers;
    ///
    /// assert_eq!(Timers::default().pop_due(u64::MAX), None);
    /// ```
    pub fn pop_due(&mut self, now_ms: u64) -> Option<(TimerKind, RequestId)> {
        let (at_ms, kind, request) = *self.due.first()?;
        if at_ms > now_ms {
            return None;
        }
        self.due.pop_first();
        Some((kind, request))
    }
}
