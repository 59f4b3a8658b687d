//! The order in which an entry ends: when it refuses requests, answers those that are left, and exits.
//!
//! This module does no I/O: it takes the time and returns what to do.

use std::time::Duration;

/// How long requests are still accepted after the signal to stop. The balancer checks readiness
/// once a second and stops sending callers here after two failures.
///
/// Callers would otherwise keep using an open connection until the process ends, and a long
/// response that started late would be cut short. So idle connections are closed after this time,
/// and later requests are refused as not run.
const REFUSAL_DELAY: Duration = Duration::from_millis(2_400);
/// Shortest time for which late requests are refused before the process ends.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);
/// Time to write the last responses.
const ANSWER_PERIOD: Duration = Duration::from_millis(200);
/// Part of the shutdown timeout that is left unused, so that the process stops before the platform
/// kills it.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// What a stopping entry does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Serves requests, also new ones.
    Serve,
    /// Refuses new requests, and those that wait without a prospect of a slot.
    Refuse,
    /// Answers all requests but the streams that are being relayed.
    AnswerAll,
    /// Exits.
    Exit,
}

/// Times since the signal to stop at which a stopping entry takes its steps.
///
/// ```
/// use std::time::Duration;
/// use sardinewood::direct::shutdown::{ShutdownSchedule, ShutdownStep};
///
/// let schedule = ShutdownSchedule::new(Duration::from_secs(8));
/// assert_eq!(schedule.step(Duration::from_secs(1), 0), ShutdownStep::Serve);
/// assert_eq!(schedule.step(Duration::from_secs(3), 1), ShutdownStep::Refuse);
/// assert_eq!(schedule.step(Duration::from_secs(3), 0), ShutdownStep::Exit);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    refusal: Duration,
    answers: Duration,
    exit: Duration,
}

impl ShutdownSchedule {
    /// Divides the time between the signal to stop and the platform's kill. The last steps keep their
    /// times if it is short. See [`ShutdownSchedule`].
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let exit = timeout.saturating_sub(SHUTDOWN_MARGIN).max(timeout / 2);
        let answers = exit.saturating_sub(ANSWER_PERIOD).max(exit / 2);
        let refusal = answers.saturating_sub(REFUSAL_PERIOD);
        Self {
            refusal: refusal.min(REFUSAL_DELAY),
            answers,
            exit,
        }
    }

    /// Returns when all requests are answered that are not being relayed.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use sardinewood::direct::shutdown::ShutdownSchedule;
    /// let schedule = ShutdownSchedule::new(Duration::from_secs(8));
    /// assert_eq!(schedule.answer_after(), Duration::from_millis(7_400));
    /// ```
    #[must_use]
    pub fn answer_after(&self) -> Duration {
        self.answers
    }

    /// Returns what to do so long after the signal, with so many open requests. See
    /// [`ShutdownSchedule`].
    #[must_use]
    pub fn step(&self, passed: Duration, open_requests: usize) -> ShutdownStep {
        let is_idle = open_requests == 0 && passed >= self.refusal + REFUSAL_PERIOD;
        if is_idle || passed >= self.exit {
            ShutdownStep::Exit
        } else if passed >= self.answers {
            ShutdownStep::AnswerAll
        } else if passed >= self.refusal {
            ShutdownStep::Refuse
        } else {
            ShutdownStep::Serve
        }
    }
}

/// A request that waits for a slot while its entry refuses new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitAtShutdown {
    /// The time now.
    pub now_ms: u64,
    /// When all requests are answered that have no response.
    pub answers_at_ms: u64,
    /// How long the request is likely to run.
    pub expected_run_ms: u64,
    /// How long the admission queues expect it to wait for a slot; none if they don't know.
    pub expected_wait_ms: Option<u64>,
    /// Whether the caller can return to another entry.
    pub has_other_entries: bool,
}

impl WaitAtShutdown {
    /// Returns until when the request keeps waiting.
    ///
    /// A request that starts too late to end here would be cut off, and an unsafe one could not be
    /// repeated. One that can't start here in time is better off at another entry, at once, while its
    /// caller has most of its time left.
    ///
    /// ```
    /// use sardinewood::direct::shutdown::WaitAtShutdown;
    ///
    /// let wait = WaitAtShutdown {
    ///     now_ms: 2_400,
    ///     answers_at_ms: 7_400,
    ///     expected_run_ms: 400,
    ///     expected_wait_ms: Some(600),
    ///     has_other_entries: true,
    /// };
    /// assert_eq!(wait.until_ms(), 3_000);
    /// let is_only_entry = WaitAtShutdown { has_other_entries: false, ..wait };
    /// assert_eq!(is_only_entry.until_ms(), 7_000);
    /// ```
    #[must_use]
    pub fn until_ms(&self) -> u64 {
        let latest_start_ms = self.answers_at_ms.saturating_sub(self.expected_run_ms);
        if !self.has_other_entries {
            return latest_start_ms;
        }
        let granted_ms = self.expected_wait_ms.map(|wait_ms| self.now_ms + wait_ms);
        granted_ms
            .filter(|granted_ms| *granted_ms <= latest_start_ms)
            .unwrap_or(self.now_ms)
    }
}
