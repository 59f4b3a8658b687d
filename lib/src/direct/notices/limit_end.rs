//! Decides when an upstream's limit has ended.
//!
//! An upstream states its limit in its answers for as long as the limit applies. An answer that does
//! not state it is no statement that the limit has ended: rejections and failures may be written by
//! whatever stands before the upstream, and single answers may lack headers. So a limit ends after
//! several answers in a row without it, whichever entries received them.

use serde::Deserialize;
use serde::Serialize;

use crate::direct::notices::upstream_state::InstantMs;

/// Number of successful answers in a row, without the limit, after which it may have ended.
const MIN_OMISSIONS: u32 = 4;
/// Maximum number that an upstream which omits its limit at times has to reach.
const MAX_OMISSIONS: u32 = 12;
/// Time since the limit was last stated after which successful answers may end it.
pub const QUIET_MS: InstantMs = 1_000;
/// The same for an upstream that has answered with failures and rejections only.
const FAILING_QUIET_MS: InstantMs = 30_000;
/// Time after its end within which a restated limit shows that it had not ended.
const CONTRADICTION_MS: InstantMs = 10_000;

/// What an answer of a limited upstream said of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitReport {
    /// It stated the limit.
    Stated,
    /// It was a success and did not state the limit.
    Omitted,
    /// It was a failure or a rejection and did not state the limit.
    OmittedByFailure,
}

impl LimitReport {
    /// Returns the name of the report in metrics.
    ///
    /// ```
    /// use sardinewood::direct::notices::limit_end::LimitReport;
    ///
    /// assert_eq!(LimitReport::OmittedByFailure.name(), "failure");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Stated => "stated",
            Self::Omitted => "success",
            Self::OmittedByFailure => "failure",
        }
    }
}

/// What a report means for the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStep {
    /// The limit is in force.
    Keep,
    /// The limit may have ended. More answers are needed soon.
    Probe,
    /// The limit has ended.
    End,
    /// The limit seemed to have ended, and is in force again.
    Resume,
}

/// The reports about a limit since it was last stated.
///
/// ```
/// use sardinewood::direct::notices::limit_end::{LimitEvidence, LimitReport, LimitStep};
///
/// let mut evidence = LimitEvidence::default();
/// assert_eq!(evidence.record(LimitReport::Stated, 0), LimitStep::Keep);
/// assert_eq!(evidence.record(LimitReport::OmittedByFailure, 2_000), LimitStep::Keep);
/// for _ in 0..3 {
///     assert_eq!(evidence.record(LimitReport::Omitted, 2_000), LimitStep::Probe);
/// }
/// assert_eq!(evidence.record(LimitReport::Omitted, 2_000), LimitStep::End);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitEvidence {
    stated_at_ms: InstantMs,
    /// When the latest answer without the limit was reported.
    omitted_at_ms: InstantMs,
    /// Successful answers without it since it was last stated.
    omissions: u32,
    /// Failures and rejections without it since then.
    failures: u32,
    /// Most omissions in a row before the limit was stated again.
    longest_gap: u32,
    ended_at_ms: Option<InstantMs>,
}

impl LimitEvidence {
    /// Records an answer, and returns what it means for the limit.
    pub fn record(&mut self, report: LimitReport, now_ms: InstantMs) -> LimitStep {
        match report {
            LimitReport::Stated => self.record_statement(now_ms),
            LimitReport::Omitted => self.omissions = self.omissions.saturating_add(1),
            LimitReport::OmittedByFailure => self.failures = self.failures.saturating_add(1),
        }
        if report != LimitReport::Stated {
            self.omitted_at_ms = now_ms;
        }
        self.step(now_ms)
    }

    /// Returns what the answers so far mean for the limit.
    ///
    /// ```
    /// use sardinewood::direct::notices::limit_end::{LimitEvidence, LimitStep};
    ///
    /// assert_eq!(LimitEvidence::default().step(60_000), LimitStep::Keep);
    /// ```
    #[must_use]
    pub fn step(&self, now_ms: InstantMs) -> LimitStep {
        let quiet_ms = now_ms.saturating_sub(self.stated_at_ms);
        let needed = (2 * self.longest_gap).clamp(MIN_OMISSIONS, MAX_OMISSIONS);
        if self.omissions >= needed && quiet_ms >= QUIET_MS
            || self.omissions() >= needed && quiet_ms >= FAILING_QUIET_MS
        {
            LimitStep::End
        } else if self.omissions > 0 {
            LimitStep::Probe
        } else {
            LimitStep::Keep
        }
    }

    /// Returns the number of answers in a row that did not state the limit.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::notices::limit_end::LimitEvidence::default().omissions(), 0);
    /// ```
    #[must_use]
    pub fn omissions(&self) -> u32 {
        self.omissions.saturating_add(self.failures)
    }

    /// Records that the limit was stated at a time.
    ///
    /// Entries resend the latest statement that they know, so it may be older than answers that were
    /// reported since. Those still count then.
    pub(super) fn record_statement(&mut self, at_ms: InstantMs) {
        if self.omissions() > 0 && at_ms < self.omitted_at_ms {
            self.stated_at_ms = self.stated_at_ms.max(at_ms);
            return;
        }
        let ended_ms_ago = self.ended_at_ms.take().map(|ended| at_ms - ended);
        if ended_ms_ago.is_none_or(|ago_ms| ago_ms < CONTRADICTION_MS) {
            let gap = self.omissions.min(MAX_OMISSIONS);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.stated_at_ms = self.stated_at_ms.max(at_ms);
        self.omissions = 0;
        self.failures = 0;
    }

    /// Records that the limit has ended.
    pub(super) fn record_end(&mut self, now_ms: InstantMs) {
        self.ended_at_ms = Some(now_ms);
    }
}
