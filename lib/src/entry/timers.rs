//! Times at which a request needs attention, kept in order.

use std::collections::BTreeSet;

use crate::ids::RequestId;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// The caller has no use for the answer any more.
    Deadline,
    /// Candidates that refused may be asked again.
    Reserve,
    /// The agent is asked again what became of an attempt.
    Ask,
    /// A caller that left has not come back for its answer.
    Cancel,
    /// An attempt that nobody waits for is forgotten.
    Forget,
}

/// The timers of all requests; each kind is set at most once for a request by its owner.
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

    /// Takes a timer back.
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

    /// When the next timer is due.
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

    /// Takes out the earliest timer that is due.
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
