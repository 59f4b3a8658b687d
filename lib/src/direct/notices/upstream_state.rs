//! What is known of one upstream by its answers, here and as entries tell it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::notices::notice::NoticeField;
use crate::numbers::signed;

/// What entries tell each other that an upstream has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeUpdate {
    /// Short name of the upstream.
    pub upstream: u32,
    /// Its limit, if it ever named one.
    pub limit: Option<LimitUpdate>,
    /// Whether it will end.
    pub is_leaving: bool,
}

/// A limit as entries tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Requests in 1,000 seconds; none if the upstream no longer names a limit.
    pub per_1000_s: Option<u32>,
    /// How long ago an answer said so.
    pub ago_ms: i64,
}

/// What holds of one upstream, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Shown {
    /// Requests in 1,000 seconds that it takes from all entries together.
    pub limit_per_1000_s: Option<u32>,
    /// For how long it wants nothing from this entry.
    pub rests_for_ms: u64,
    /// Whether it has said that it will end.
    pub is_leaving: bool,
    /// How long ago an answer or a peer last said anything.
    pub said_ms_ago: i64,
}

/// A moment by this entry's clock. What peers tell may have been before the process began.
pub(super) type MomentMs = i64;

/// What an upstream said last of its limit, and when.
#[derive(Clone, Copy, Debug)]
struct SaidLimit {
    per_1000_s: Option<u32>,
    at_ms: MomentMs,
}

/// What is known of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    limit: Option<SaidLimit>,
    unreadable: Option<Arc<str>>,
    pub(super) is_leaving: bool,
    /// Until when it wants nothing from this entry. Others were not asked, so they are not told.
    pub(super) rests_until_ms: u64,
    /// When an answer or a peer last said anything.
    heard_at_ms: MomentMs,
    /// When the keeper of its door was last told what an answer said.
    pub(super) repeated_at_ms: MomentMs,
}

/// What an answer says of a limit, compared with what was known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LimitNews {
    /// Nothing new.
    Same,
    /// Another limit, or none any more.
    Changed(Option<u32>),
    /// No limit can be read of it.
    Unreadable(Arc<str>),
}

impl Record {
    /// The limit that holds, in requests in 1,000 seconds.
    pub(super) fn limit_per_1000_s(&self) -> Option<u32> {
        self.limit?.per_1000_s
    }

    /// How long ago an answer or a peer last said anything.
    pub(super) fn age_ms(&self, now_ms: MomentMs) -> MomentMs {
        now_ms.saturating_sub(self.heard_at_ms)
    }

    /// Whether it matters for as long as the upstream is listed.
    pub(super) fn holds(&self) -> bool {
        self.limit_per_1000_s().is_some() || self.unreadable.is_some() || self.is_leaving
    }

    /// Notes that the upstream has said that it leaves; whether that is news.
    pub(super) fn leave(&mut self, now_ms: MomentMs) -> bool {
        self.heard_at_ms = now_ms;
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Notes that it wants nothing from this entry for a time; whether that is longer than known.
    pub(super) fn rest(&mut self, backoff_ms: u64, now_ms: u64) -> bool {
        self.heard_at_ms = signed(now_ms);
        let until_ms = now_ms.saturating_add(backoff_ms);
        let is_longer = until_ms > self.rests_until_ms;
        self.rests_until_ms = self.rests_until_ms.max(until_ms);
        is_longer
    }

    /// Takes what an answer says of the limit.
    pub(super) fn limit_said(&mut self, limit: &NoticeField<u32>, now_ms: MomentMs) -> LimitNews {
        self.heard_at_ms = now_ms;
        let per_1000_s = match limit {
            NoticeField::Absent => None,
            NoticeField::Value(limit) => Some(*limit),
            NoticeField::Invalid(text) => {
                let is_known = self.unreadable.replace(Arc::clone(text)).as_ref() == Some(text);
                return if is_known {
                    LimitNews::Same
                } else {
                    LimitNews::Unreadable(Arc::clone(text))
                };
            }
        };
        let before = self.limit_per_1000_s();
        if self.limit.is_some() || per_1000_s.is_some() {
            self.limit = Some(SaidLimit {
                per_1000_s,
                at_ms: now_ms,
            });
        }
        if before == per_1000_s {
            LimitNews::Same
        } else {
            LimitNews::Changed(per_1000_s)
        }
    }

    /// Takes a peer's word of the limit, if it is of a later answer; whether that changed it.
    pub(super) fn limit_told(&mut self, told: LimitUpdate, now_ms: MomentMs) -> bool {
        let at_ms = now_ms.saturating_sub(told.ago_ms.max(0));
        if self.limit.is_some_and(|limit| limit.at_ms >= at_ms) {
            return false;
        }
        let before = self.limit_per_1000_s();
        self.heard_at_ms = now_ms;
        self.limit = Some(SaidLimit {
            per_1000_s: told.per_1000_s,
            at_ms,
        });
        before != told.per_1000_s
    }

    /// What operators see of it, if anything holds.
    pub(super) fn shown(&self, now_ms: u64) -> Option<Shown> {
        let shown = Shown {
            limit_per_1000_s: self.limit_per_1000_s(),
            rests_for_ms: self.rests_until_ms.saturating_sub(now_ms),
            is_leaving: self.is_leaving,
            said_ms_ago: self.age_ms(signed(now_ms)),
        };
        let holds = shown.limit_per_1000_s.is_some() || shown.rests_for_ms > 0 || shown.is_leaving;
        holds.then_some(shown)
    }

    /// What peers are told of it, if anything concerns them.
    pub(super) fn told(&self, upstream: u32, now_ms: MomentMs) -> Option<NoticeUpdate> {
        let limit = self.limit.map(|limit| LimitUpdate {
            per_1000_s: limit.per_1000_s,
            ago_ms: now_ms.saturating_sub(limit.at_ms),
        });
        (limit.is_some() || self.is_leaving).then_some(NoticeUpdate {
            upstream,
            limit,
            is_leaving: self.is_leaving,
        })
    }
}
