//! When the store is known to have answered an entry, whichever one, and when it did not answer this one.
//!
//! The store drops the entries of upstreams that can't renew them because it is away. An entry whose
//! own way to the store is cut sees the same as in an outage of the store, but others are answered
//! meanwhile, and upstreams that disappear then were removed. So entries tell each other when they
//! were answered, and only a time without an answer to any of them counts as an outage.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::direct::store_view::directory::DEFAULT_SILENCE_MS;
use crate::direct::store_view::directory::lapse_after_ms;
use crate::direct::store_view::lapses::Lapses;

/// Times with answers that are remembered.
const MAX_ANSWERED: usize = 8;
/// Failed calls of this entry that are remembered.
const MAX_FAILED: usize = 64;

/// A time in which the store answered an entry, without a gap in which entries of upstreams lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// When the first answer arrived.
    pub from: Instant,
    /// Up to when the last answer holds. A single answer holds up to a time before it arrived.
    pub until: Instant,
}

/// When the store answered this entry and its peers, and when it did not answer this entry.
///
/// ```
/// use std::time::Duration;
/// use sardinewood::direct::store_view::answer_history::{AnswerHistory, Answered};
/// use sardinewood::direct::store_view::lapses::Lapses;
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let at = |seconds| start + Duration::from_secs(seconds);
/// let keep = Duration::from_secs(2);
/// let mut history = AnswerHistory::default();
/// history.record_answer(at(0), Answered { from: at(1), until: at(1) });
/// history.record_failure(at(5));
/// history.record_answer(at(6), Answered { from: at(6), until: at(6) });
/// assert_eq!(history.lapses(at(6), keep), Lapses::Until(at(7)));
///
/// history.record_peer_answer(Answered { from: at(0), until: at(6) });
/// assert_eq!(history.lapses(at(6), keep), Lapses::Excluded, "only this entry had no answer");
/// ```
#[derive(Clone, Debug)]
pub struct AnswerHistory {
    /// Shortest time without answers in which entries of upstreams lapse.
    lapse_after: Duration,
    /// When the store answered anybody, the earliest first, further apart than `lapse_after`.
    answered: Vec<Answered>,
    /// The latest time in which it answered this entry.
    own_answered: Option<Answered>,
    /// When calls of this entry began that got no answer, the earliest first.
    failed: VecDeque<Instant>,
}

impl Default for AnswerHistory {
    fn default() -> Self {
        Self {
            lapse_after: Duration::from_millis(lapse_after_ms(DEFAULT_SILENCE_MS)),
            answered: Vec::new(),
            own_answered: None,
            failed: VecDeque::new(),
        }
    }
}

impl AnswerHistory {
    /// Sets the time without a heartbeat after which the store drops an upstream's entry.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::answer_history::AnswerHistory;
    /// AnswerHistory::default().set_upstream_silence_ms(9_000);
    /// ```
    pub fn set_upstream_silence_ms(&mut self, silence_ms: u64) {
        self.lapse_after = Duration::from_millis(lapse_after_ms(silence_ms));
    }

    /// Records that the store answered a call of this entry that began at a time. Calls that began later and
    /// have no answer yet do not tell that the store was away.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::answer_history::{AnswerHistory, Answered};
    /// # let now = tokio::time::Instant::now();
    /// let mut history = AnswerHistory::default();
    /// history.record_answer(now, Answered { from: now, until: now });
    /// assert!(history.own_answered().is_some());
    /// ```
    pub fn record_answer(&mut self, asked_at: Instant, answered: Answered) {
        self.failed.retain(|failed_at| *failed_at < asked_at);
        let joined = self.own_answered.and_then(|own| self.joined(own, answered));
        self.own_answered = Some(joined.unwrap_or(answered));
        self.insert(answered);
    }

    /// Records that the store has not answered a call of this entry, or not yet.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::answer_history::AnswerHistory;
    /// AnswerHistory::default().record_failure(tokio::time::Instant::now());
    /// ```
    pub fn record_failure(&mut self, asked_at: Instant) {
        let later = self.failed.partition_point(|known| *known < asked_at);
        if self.failed.get(later) == Some(&asked_at) {
            return;
        }
        self.failed.insert(later, asked_at);
        if self.failed.len() > MAX_FAILED {
            self.failed.pop_front();
        }
    }

    /// Records that the store answered a peer. Its failed calls do not count: the way of the peers that
    /// call the store may be cut while it serves all others.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::answer_history::{AnswerHistory, Answered};
    /// # let now = tokio::time::Instant::now();
    /// AnswerHistory::default().record_peer_answer(Answered { from: now, until: now });
    /// ```
    pub fn record_peer_answer(&mut self, answered: Answered) {
        self.insert(answered);
    }

    /// Returns when the store answered this entry, for its peers.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::answer_history::AnswerHistory;
    /// assert_eq!(AnswerHistory::default().own_answered(), None);
    /// ```
    #[must_use]
    pub fn own_answered(&self) -> Option<Answered> {
        self.own_answered
    }

    /// Returns whether upstreams that the store does not list may have lapsed in its latest outage, which is a
    /// gap between its answers to anybody.
    ///
    /// When the last call of this entry began that failed in the gap, the store was still away. It may have
    /// been back, and may have removed upstreams, right after that, so they are used for `keep` from then on:
    /// the time for which a removed upstream may still be used.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use sardinewood::direct::store_view::{answer_history::AnswerHistory, lapses::Lapses};
    /// # let now = tokio::time::Instant::now();
    /// let lapses = AnswerHistory::default().lapses(now, Duration::from_secs(2));
    /// assert_eq!(lapses, Lapses::Excluded);
    /// ```
    #[must_use]
    pub fn lapses(&self, now: Instant, keep: Duration) -> Lapses<Instant> {
        let Some((latest, earlier)) = self.answered.split_last() else {
            return Lapses::Excluded;
        };
        let (began, ended) = if now.duration_since(latest.until) >= self.lapse_after {
            (latest.until, now)
        } else if let Some(before) = earlier.last() {
            (before.until, latest.from)
        } else {
            return Lapses::Excluded;
        };
        let failed = self.failed.iter().rev();
        let last_failed = failed.copied().find(|asked_at| *asked_at < ended);
        match last_failed {
            Some(asked_at) if asked_at >= began && now < asked_at + keep => {
                Lapses::Until(asked_at + keep)
            }
            _ if now.duration_since(ended) < self.lapse_after => Lapses::Possible,
            _ => Lapses::Excluded,
        }
    }

    /// Returns the time that covers both, unless entries may have lapsed between them.
    fn joined(&self, one: Answered, other: Answered) -> Option<Answered> {
        let pause = one
            .from
            .max(other.from)
            .duration_since(one.until.min(other.until));
        (pause < self.lapse_after).then(|| Answered {
            from: one.from.min(other.from),
            until: one.until.max(other.until),
        })
    }

    fn insert(&mut self, mut answered: Answered) {
        let known = std::mem::take(&mut self.answered);
        for other in known {
            match self.joined(answered, other) {
                Some(joined) => answered = joined,
                None => self.answered.push(other),
            }
        }
        self.answered.push(answered);
        self.answered.sort_unstable_by_key(|answered| answered.from);
        let superfluous = self.answered.len().saturating_sub(MAX_ANSWERED);
        self.answered.drain(..superfluous);
    }
}
