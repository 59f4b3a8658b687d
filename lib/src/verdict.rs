//! What a caller is told when its request is not answered, and what is true about it.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request that failed may have run.
///
/// ```
/// use sardinewood::verdict::Outcome;
///
/// assert_eq!(serde_json::to_string(&Outcome::NotRun).unwrap(), "\"not_run\"");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It did not run, and nothing can still run it later.
    NotRun,
    /// It may have run, in part or whole.
    Unknown,
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The queue is full of work that is at least as important.
    QueueFull,
    /// It gave way to more important work while it waited.
    GaveWay,
    /// The deadline passed before it was answered.
    DeadlinePassed,
    /// No upstream could answer it before its deadline.
    TooLate,
    /// No upstream serves what it asks for.
    NotServed,
    /// This process is shutting down.
    ShuttingDown,
    /// Its profile's limits are used up.
    LimitReached,
    /// The upstream failed while it ran.
    UpstreamFailed,
    /// Nobody can tell what became of it.
    InDoubt,
    /// The same `Idempotency-Key` came before with another body.
    KeyReused,
    /// The same `Idempotency-Key` has run, and its answer is kept no more.
    AnswerGone,
    /// The platform's store, which a safe start needs, does not answer.
    StoreDown,
    /// What became of an earlier request of the same order key is unknown.
    PredecessorUnknown,
}

/// The final answer to a request that was not answered whole.
///
/// ```
/// use sardinewood::verdict::{Failure, FailureReason, Outcome};
///
/// let failure = Failure::not_run(FailureReason::QueueFull).retry_after(1_500);
/// assert_eq!(failure.outcome, Outcome::NotRun);
/// assert_eq!(failure.retry_after_ms, Some(1_500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether it may have run.
    pub outcome: Outcome,
    /// Why it was not answered.
    pub reason: FailureReason,
    /// When a retry makes sense.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// A failure of a request that did not run and never will.
    ///
    /// ```
    /// use sardinewood::verdict::{Failure, FailureReason, Outcome};
    ///
    /// assert_eq!(Failure::not_run(FailureReason::TooLate).outcome, Outcome::NotRun);
    /// ```
    #[must_use]
    pub fn not_run(reason: FailureReason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after_ms: None,
        }
    }

    /// A failure of a request that may have run.
    ///
    /// ```
    /// use sardinewood::verdict::{Failure, FailureReason, Outcome};
    ///
    /// assert_eq!(Failure::unknown(FailureReason::InDoubt).outcome, Outcome::Unknown);
    /// ```
    #[must_use]
    pub fn unknown(reason: FailureReason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after_ms: None,
        }
    }

    /// The same failure with the time after which a retry makes sense.
    ///
    /// ```
    /// use sardinewood::verdict::{Failure, FailureReason};
    ///
    /// let failure = Failure::not_run(FailureReason::GaveWay).retry_after(500);
    /// assert_eq!(failure.retry_after_ms, Some(500));
    /// ```
    #[must_use]
    pub fn retry_after(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }
}
