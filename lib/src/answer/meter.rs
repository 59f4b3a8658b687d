//! Counts the answers of an entry by tier, which is its goodput, and times first bytes.

use tokio::time::Instant;

use crate::config::objects::Tier;
use crate::metrics::Metrics;
use crate::verdict::Failure;
use crate::verdict::Outcome;

/// The first HTTP status that tells of an error.
const FIRST_ERROR_STATUS: u16 = 400;

/// Follows one request from its arrival to the end of its answer.
///
/// ```
/// use sardinewood::answer::meter::AnswerMeter;
/// use sardinewood::metrics::Metrics;
/// use sardinewood::config::objects::Tier;
///
/// let mut meter = AnswerMeter::start(Metrics::disabled(), Tier(0));
/// meter.begun(200);
/// meter.whole();
/// ```
#[derive(Debug)]
pub struct AnswerMeter {
    metrics: Metrics,
    tier: Tier,
    arrived: Instant,
    /// The status of the answer, once it goes to the caller.
    status: Option<u16>,
}

impl AnswerMeter {
    /// A request has arrived.
    ///
    /// ```
    /// use sardinewood::answer::meter::AnswerMeter;
    /// use sardinewood::metrics::Metrics;
    /// use sardinewood::config::objects::Tier;
    ///
    /// let _meter = AnswerMeter::start(Metrics::disabled(), Tier(4));
    /// ```
    #[must_use]
    pub fn start(metrics: Metrics, tier: Tier) -> Self {
        metrics.count_tier("entry.accepted", tier, 1);
        Self {
            metrics,
            tier,
            arrived: Instant::now(),
            status: None,
        }
    }

    /// An answer of this status begins to go to the caller.
    ///
    /// ```
    /// # use sardinewood::{answer::meter::AnswerMeter, metrics::Metrics, config::objects::Tier};
    /// AnswerMeter::start(Metrics::disabled(), Tier(0)).begun(200);
    /// ```
    pub fn begun(&mut self, status: u16) {
        let name = "entry.first_byte";
        self.metrics.time_tier(name, self.tier, self.elapsed_ms());
        self.status = Some(status);
    }

    /// The caller has the whole answer. An upstream's own refusal is whole as well, but it
    /// is of no use and does not count as goodput.
    ///
    /// ```
    /// # use sardinewood::{answer::meter::AnswerMeter, metrics::Metrics, config::objects::Tier};
    /// let mut meter = AnswerMeter::start(Metrics::disabled(), Tier(0));
    /// meter.begun(200);
    /// meter.whole();
    /// ```
    pub fn whole(&self) {
        let is_useful = self
            .status
            .is_some_and(|status| status < FIRST_ERROR_STATUS);
        if !is_useful {
            self.metrics
                .count_tier("entry.upstream_error", self.tier, 1);
            return;
        }
        self.metrics.count_tier("entry.done", self.tier, 1);
        let name = "entry.whole_answer";
        self.metrics.time_tier(name, self.tier, self.elapsed_ms());
    }

    /// The caller has no whole answer.
    ///
    /// ```
    /// # use sardinewood::{answer::meter::AnswerMeter, metrics::Metrics, config::objects::Tier};
    /// use sardinewood::verdict::{Failure, FailureReason};
    ///
    /// let failure = Failure::unknown(FailureReason::InDoubt);
    /// AnswerMeter::start(Metrics::disabled(), Tier(0)).failed(failure);
    /// ```
    pub fn failed(&self, failure: Failure) {
        let name = match failure.outcome {
            Outcome::NotRun => "entry.not_run",
            Outcome::Unknown => "entry.unknown",
        };
        self.metrics.count_tier(name, self.tier, 1);
    }

    /// The caller went away before the end.
    ///
    /// ```
    /// # use sardinewood::{answer::meter::AnswerMeter, metrics::Metrics, config::objects::Tier};
    /// AnswerMeter::start(Metrics::disabled(), Tier(0)).caller_gone();
    /// ```
    pub fn caller_gone(&self) {
        self.metrics.count_tier("entry.caller_gone", self.tier, 1);
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
