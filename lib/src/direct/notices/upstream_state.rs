//! The state of one upstream by its notices, here and as entries send it to each other.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::notices::limit_end::LimitEvidence;
use crate::direct::notices::limit_end::LimitReport;
use crate::direct::notices::limit_end::LimitStep;
use crate::direct::notices::notice::NoticeField;
use crate::numbers;
use crate::numbers::signed;

/// What an upstream has stated, as entries send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeUpdate {
    /// Hash of the upstream.
    pub upstream: u32,
    /// The upstream's limit, if it ever stated one.
    pub limit: Option<LimitUpdate>,
    /// Whether the upstream is shutting down.
    pub is_leaving: bool,
}

/// A limit, as entries send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Requests in 1,000 seconds; none if the upstream no longer states a limit.
    pub per_1000_s: Option<u32>,
    /// Time since the answer that stated it.
    pub ago_ms: i64,
}

/// Who has told this entry first that an upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The upstream, in an answer.
    Answer,
    /// The platform's list.
    List,
    /// Another entry.
    Peer,
}

/// The state of one upstream, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct NoticeView {
    /// Limit of requests in 1,000 seconds that the upstream accepts from all entries together.
    pub limit_per_1000_s: Option<u32>,
    /// Time until the upstream wants requests from this entry again.
    pub rests_for_ms: u64,
    /// Whether the upstream has announced that it is shutting down.
    pub is_leaving: bool,
    /// Who has told this entry so first.
    pub leaving_told_by: Option<LeavingSource>,
    /// Time since the last answer or peer update.
    pub said_ms_ago: i64,
}

/// How long the state of an upstream that is not listed is kept. This entry may not know the
/// upstream yet.
pub(super) const UNLISTED_RETENTION_MS: InstantMs = 60_000;

/// Time by this entry's clock, in milliseconds since its start. It is signed because peers report
/// events from before the process started.
pub(super) type InstantMs = i64;

/// The latest limit that an upstream stated, or its end, and when.
#[derive(Clone, Copy, Debug)]
struct StatedLimit {
    /// Requests in 1,000 seconds; none if the limit has ended.
    per_1000_s: Option<u32>,
    at_ms: InstantMs,
}

/// Time by which an end must be later than a statement to revoke it. Times of relayed updates are late by
/// the time of their messages, so an end that peers still relay could seem later than a new statement.
const END_MARGIN_MS: InstantMs = 250;
/// How many times the rate doubles after a limit has ended, before it is free.
const DOUBLINGS: f64 = 5.0;
/// Bounds of the time in which it doubles.
const MIN_DOUBLING_MS: u64 = 200;
const MAX_DOUBLING_MS: u64 = 2_000;
/// Rate from which the rise begins, in requests in 1,000 seconds, if the limit was lower.
const MIN_RISING_PER_1000_S: u32 = 1_000;

/// The rise of an upstream's rate after the end of its limit. If it turns out that the limit has not
/// ended, the upstream has got little beyond it.
#[derive(Clone, Copy, Debug)]
struct RateRise {
    /// The limit that has ended.
    per_1000_s: u32,
    since_ms: InstantMs,
    /// Time in which the rate doubles. Only answers to the starts of this time tell whether the limit has
    /// ended.
    doubling_ms: u64,
}

impl RateRise {
    fn new(per_1000_s: u32, answer_ms: u64, now_ms: InstantMs) -> Self {
        Self {
            per_1000_s,
            since_ms: now_ms,
            doubling_ms: answer_ms.clamp(MIN_DOUBLING_MS, MAX_DOUBLING_MS),
        }
    }

    fn per_1000_s(self, now_ms: InstantMs) -> Option<u32> {
        let age_ms = now_ms.saturating_sub(self.since_ms).max(0).unsigned_abs();
        let doublings = numbers::as_f64(age_ms) / numbers::as_f64(self.doubling_ms);
        let per_1000_s = f64::from(self.per_1000_s.max(MIN_RISING_PER_1000_S)) * doublings.exp2();
        (doublings < DOUBLINGS).then(|| numbers::whole_u32(per_1000_s))
    }
}

/// The state of one upstream by its notices.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamState {
    limit: Option<StatedLimit>,
    limit_evidence: LimitEvidence,
    rate_rise: Option<RateRise>,
    /// The text of the latest invalid limit.
    invalid_limit: Option<Arc<str>>,
    pub(super) leaving: Option<LeavingSource>,
    /// Whether the list says that the upstream takes requests though it leaves.
    pub(super) is_revoked: bool,
    /// Id of the incarnation, if this entry has heard of it from the list or from an answer.
    pub(super) instance: Option<Arc<str>>,
    /// Until when the upstream wants no requests from this entry. The other entries were not asked to
    /// back off, so they are not informed.
    pub(super) backoff_until_ms: u64,
    /// When the last answer arrived, or a peer update that said something new.
    updated_at_ms: InstantMs,
    /// Whether the upstream was listed at the last expiry of states.
    pub(super) is_listed: bool,
    /// When the state was last resent to the owner of the upstream's admission queue, unless it is due.
    pub(super) resent_at_ms: Option<InstantMs>,
}

/// How a stated limit differs from the known one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LimitChange {
    /// The limit is the same.
    Unchanged,
    /// The limit is another one.
    Changed(u32),
    /// The stated text is not a valid limit.
    Invalid(Arc<str>),
}

impl UpstreamState {
    /// Returns the limit in force, in requests in 1,000 seconds.
    pub(super) fn limit_per_1000_s(&self) -> Option<u32> {
        self.limit?.per_1000_s
    }

    /// Returns the time since the last answer or peer update.
    pub(super) fn age_ms(&self, now_ms: InstantMs) -> InstantMs {
        now_ms.saturating_sub(self.updated_at_ms)
    }

    /// Returns whether the state has to be kept for as long as the upstream is listed.
    pub(super) fn is_in_force(&self) -> bool {
        self.limit_per_1000_s().is_some() || self.invalid_limit.is_some() || self.leaving.is_some()
    }

    /// Records that the upstream is shutting down. Returns whether that was unknown.
    pub(super) fn record_leaving(&mut self, source: LeavingSource, now_ms: InstantMs) -> bool {
        let is_new = self.leaving.is_none();
        if is_new {
            self.leaving = Some(source);
            self.updated_at_ms = now_ms;
        }
        is_new
    }

    /// Records that the upstream wants no requests from this entry for a time. Returns whether that
    /// extends the known backoff.
    pub(super) fn record_backoff(&mut self, backoff_ms: u64, now_ms: u64) -> bool {
        self.updated_at_ms = signed(now_ms);
        let until_ms = now_ms.saturating_add(backoff_ms);
        let is_longer = until_ms > self.backoff_until_ms;
        self.backoff_until_ms = self.backoff_until_ms.max(until_ms);
        is_longer
    }

    /// Returns the rate of starts to keep to, in requests in 1,000 seconds: the limit in force, or more
    /// for a while after its end.
    pub(super) fn rate_per_1000_s(&self, now_ms: InstantMs) -> Option<u32> {
        let rising = || self.rate_rise?.per_1000_s(now_ms);
        self.limit_per_1000_s().or_else(rising)
    }

    /// Records what an answer that this entry or a peer received said of the limit in force, and returns
    /// what that means for it. The upstream answers after `answer_ms`.
    pub(super) fn record_limit_report(
        &mut self,
        report: LimitReport,
        answer_ms: u64,
        now_ms: InstantMs,
    ) -> LimitStep {
        if self.limit_per_1000_s().is_some() {
            self.limit_evidence.record(report, now_ms);
            return self.check_limit(answer_ms, now_ms);
        }
        match self.rate_rise {
            // A peer that has not heard of the end received an answer that states the limit.
            Some(ended) if report == LimitReport::Stated => {
                self.set_limit(ended.per_1000_s, now_ms);
                LimitStep::Resume
            }
            _ => LimitStep::Keep,
        }
    }

    /// Sets the limit that the upstream stated at a time.
    fn set_limit(&mut self, per_1000_s: u32, at_ms: InstantMs) {
        self.limit = Some(StatedLimit {
            per_1000_s: Some(per_1000_s),
            at_ms,
        });
        self.limit_evidence.record_statement(at_ms);
        self.rate_rise = None;
    }

    /// Ends the limit if the answers so far show that it has ended. The upstream answers after `answer_ms`.
    pub(super) fn check_limit(&mut self, answer_ms: u64, now_ms: InstantMs) -> LimitStep {
        let Some(per_1000_s) = self.limit_per_1000_s() else {
            return LimitStep::Keep;
        };
        let step = self.limit_evidence.step(now_ms);
        if step == LimitStep::End {
            self.rate_rise = Some(RateRise::new(per_1000_s, answer_ms, now_ms));
            self.limit = Some(StatedLimit {
                per_1000_s: None,
                at_ms: now_ms,
            });
            self.limit_evidence.record_end(now_ms);
            self.updated_at_ms = now_ms;
        }
        step
    }

    /// Returns the number of answers in a row that did not state the limit.
    pub(super) fn limit_omissions(&self) -> u32 {
        self.limit_evidence.omissions()
    }

    /// Records the limit that an answer states, and returns how it differs from the known one. An answer
    /// that states none changes nothing; see [`Self::record_limit_report`].
    pub(super) fn record_limit(
        &mut self,
        limit: &NoticeField<u32>,
        now_ms: InstantMs,
    ) -> LimitChange {
        self.updated_at_ms = now_ms;
        let per_1000_s = match limit {
            NoticeField::Absent => return LimitChange::Unchanged,
            NoticeField::Value(limit) => *limit,
            NoticeField::Invalid(text) => {
                let is_known = self.invalid_limit.replace(Arc::clone(text)).as_ref() == Some(text);
                return if is_known {
                    LimitChange::Unchanged
                } else {
                    LimitChange::Invalid(Arc::clone(text))
                };
            }
        };
        let before = self.limit_per_1000_s();
        self.set_limit(per_1000_s, now_ms);
        if before == Some(per_1000_s) {
            LimitChange::Unchanged
        } else {
            LimitChange::Changed(per_1000_s)
        }
    }

    /// Adopts a peer's limit if it comes from a later answer. Returns whether the limit changed.
    pub(super) fn merge_limit(&mut self, update: LimitUpdate, now_ms: InstantMs) -> bool {
        let at_ms = now_ms.saturating_sub(update.ago_ms.max(0));
        let before = self.limit_per_1000_s();
        let margin_ms = if before.is_some() && update.per_1000_s.is_none() {
            END_MARGIN_MS
        } else {
            0
        };
        let is_outdated = |limit: StatedLimit| at_ms <= limit.at_ms.saturating_add(margin_ms);
        if self.limit.is_some_and(is_outdated) {
            return false;
        }
        self.updated_at_ms = now_ms;
        if let Some(per_1000_s) = update.per_1000_s {
            self.set_limit(per_1000_s, at_ms);
        } else {
            self.limit = Some(StatedLimit {
                per_1000_s: None,
                at_ms,
            });
            let rise = |per_1000_s| RateRise::new(per_1000_s, MIN_DOUBLING_MS, now_ms);
            self.rate_rise = before.map(rise).or(self.rate_rise);
        }
        before != update.per_1000_s
    }

    /// Converts the state for operators, if anything is in force.
    pub(super) fn to_view(&self, now_ms: u64) -> Option<NoticeView> {
        let view = NoticeView {
            limit_per_1000_s: self.limit_per_1000_s(),
            rests_for_ms: self.backoff_until_ms.saturating_sub(now_ms),
            is_leaving: self.leaving.is_some(),
            leaving_told_by: self.leaving,
            said_ms_ago: self.age_ms(signed(now_ms)),
        };
        let is_in_force =
            view.limit_per_1000_s.is_some() || view.rests_for_ms > 0 || view.is_leaving;
        is_in_force.then_some(view)
    }

    /// Converts the state to an update for peers, if anything concerns them.
    ///
    /// The state of an unlisted upstream is sent for a part of the time for which it is kept, so that
    /// entries do not learn it again from each other after they have dropped it.
    pub(super) fn to_update(&self, upstream: u32, now_ms: InstantMs) -> Option<NoticeUpdate> {
        if !self.is_listed && self.age_ms(now_ms) >= UNLISTED_RETENTION_MS / 2 {
            return None;
        }
        let limit = self.limit.map(|limit| LimitUpdate {
            per_1000_s: limit.per_1000_s,
            ago_ms: now_ms.saturating_sub(limit.at_ms),
        });
        let is_leaving = self.leaving.is_some();
        (limit.is_some() || is_leaving).then_some(NoticeUpdate {
            upstream,
            limit,
            is_leaving,
        })
    }
}
