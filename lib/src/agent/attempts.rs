//! What an agent knows of the attempts that were dispatched to it.
//!
//! An attempt is recorded before its call is opened, so that nothing can be sent twice
//! by this incarnation. Records outlive their attempts, within a bound; what an agent
//! answers about one whose record is gone is never a guess.

use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::agent::events::LinkId;
use crate::agent::retained_answers::RetainedAnswers;
use crate::config::objects::Target;
use crate::config::objects::Tier;
use crate::ids::AttemptId;
use crate::ids::RequestId;
use crate::link::wire::Call;
use crate::link::wire::Reservation;
use crate::link::wire::Settlement;

/// What the agent has to know of a request while it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptInfo {
    /// What it asks for; unknown for an attempt of an earlier incarnation.
    pub target: Option<Target>,
    /// Its importance.
    pub tier: Tier,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens that it is expected to take.
    pub expected_output_tokens: u32,
    /// Output tokens at which it is cut off.
    pub max_output_tokens: u32,
    /// Whether it may run at most once; if so it is never cancelled by the agent.
    pub non_idempotent: bool,
    /// Whether its answer is kept for a repeated key.
    pub retain: bool,
}

impl AttemptInfo {
    /// The facts of a reservation that was granted.
    #[must_use]
    pub fn of(reservation: &Reservation, retain: bool) -> Self {
        AttemptInfo {
            target: Some(reservation.target.clone()),
            tier: reservation.tier,
            prompt_tokens: reservation.prompt_tokens,
            expected_output_tokens: reservation.expected_output_tokens,
            max_output_tokens: reservation.max_output_tokens,
            non_idempotent: reservation.non_idempotent,
            retain,
        }
    }

    /// An attempt of an earlier incarnation. It is taken for a non-idempotent one of the
    /// highest tier, since nothing may be done to it that would be wrong for such a one.
    #[must_use]
    pub fn unknown() -> Self {
        AttemptInfo {
            target: None,
            tier: Tier(0),
            prompt_tokens: 0,
            expected_output_tokens: 0,
            max_output_tokens: u32::MAX,
            non_idempotent: true,
            retain: true,
        }
    }

    /// Tokens of the KV cache that it is expected to fill.
    #[must_use]
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.expected_output_tokens)
    }
}

/// How far a running attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunProgress {
    /// When its call was opened.
    pub opened_ms: u64,
    /// When its last token came.
    pub last_progress_ms: u64,
    /// Output tokens so far.
    pub tokens: u32,
    /// Whether its first token has come.
    pub first_seen: bool,
    /// Whether a part of the answer went to the entry.
    pub delivered: bool,
    /// Whether a cancellation is under way.
    pub cancelling: bool,
}

/// Where an attempt stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for the slot that its grant was made ahead of.
    Ready(Box<Call>),
    /// Its call is open.
    Running(RunProgress),
    /// The upstream does not tell what became of it.
    InDoubt {
        /// Whether it may occupy a slot of the upstream. That of a plain service is not
        /// held, since nothing would ever free it.
        holds_slot: bool,
        /// When the upstream is asked again; a plain service can't be asked.
        ask_ms: Option<u64>,
        /// Who waits for the outcome.
        reply_to: Option<LinkId>,
    },
    /// The whole answer came; it can be read again while it is kept.
    Finished,
    /// It does not run any more, and there is no whole answer.
    Ended,
    /// It was not sent and never will be.
    NotSent,
}

impl Phase {
    /// A call that was just opened.
    #[must_use]
    pub fn running(now_ms: u64) -> Self {
        Self::Running(RunProgress {
            opened_ms: now_ms,
            last_progress_ms: now_ms,
            tokens: 0,
            first_seen: false,
            delivered: false,
            cancelling: false,
        })
    }

    /// Whether it may be using a slot of the upstream now.
    #[must_use]
    pub fn is_in_upstream(&self) -> bool {
        matches!(
            self,
            Self::Running(_)
                | Self::InDoubt {
                    holds_slot: true,
                    ..
                }
        )
    }

    /// Whether nothing more happens to it, so that its record may age.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(
            self,
            Self::Finished | Self::Ended | Self::NotSent | Self::InDoubt { ask_ms: None, .. }
        )
    }
}

/// The record of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// What is known of the request.
    pub info: AttemptInfo,
    /// The sequence of its grant, if this incarnation made it.
    pub granted: Option<u64>,
    /// The link of the entry that waits for it.
    pub link: Option<LinkId>,
    /// Since when no entry waits for it.
    pub detached_ms: u64,
    /// Where it stands.
    pub phase: Phase,
}

impl Attempt {
    /// Whether its answer is on its way to the entry, and went on within `quiet_ms`.
    #[must_use]
    pub fn is_talking(&self, now_ms: u64, quiet_ms: u64) -> bool {
        match &self.phase {
            Phase::Running(progress) => {
                progress.delivered && now_ms < progress.last_progress_ms + quiet_ms
            }
            _ => false,
        }
    }
}

/// The records of attempts, those that are over within a bound.
///
/// ```
/// use sardinewood::agent::attempts::Attempts;
/// use sardinewood::ids::{AttemptId, RequestId};
///
/// let attempts = Attempts::new(10);
/// assert!(attempts.get(AttemptId { request: RequestId(1), number: 1 }).is_none());
/// assert!(!attempts.was_sent(RequestId(1)));
/// ```
#[derive(Debug)]
pub struct Attempts {
    limit: usize,
    records: IndexMap<AttemptId, Attempt>,
    /// Attempts that are not over.
    live: IndexSet<AttemptId>,
    /// Answers of finished attempts that can be read again.
    pub answers: RetainedAnswers,
    /// Attempts that were sent, by request.
    sent: IndexMap<RequestId, AttemptId>,
    /// Attempts that are over, the oldest first, with when they were.
    over: VecDeque<(u64, AttemptId)>,
    /// The highest grant whose record was dropped: what is asked about a grant up to this
    /// one can't be answered from memory.
    dropped_through: Option<u64>,
}

impl Attempts {
    /// No records, and at most `limit` of attempts that are over.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Attempts {
            limit,
            records: IndexMap::new(),
            live: IndexSet::new(),
            answers: RetainedAnswers::default(),
            sent: IndexMap::new(),
            over: VecDeque::new(),
            dropped_through: None,
        }
    }

    /// The record of an attempt.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.records.get(&attempt)
    }

    /// The record of an attempt, to be changed. Phases are changed by
    /// [`Attempts::set_phase`].
    pub fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        self.records.get_mut(&attempt)
    }

    /// The attempts that are not over.
    pub fn live(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.live
            .iter()
            .filter_map(|id| self.records.get(id).map(|attempt| (*id, attempt)))
    }

    /// The attempts that are running.
    pub fn running(&self) -> impl Iterator<Item = (AttemptId, &Attempt, &RunProgress)> {
        self.live()
            .filter_map(|(id, attempt)| match &attempt.phase {
                Phase::Running(progress) => Some((id, attempt, progress)),
                _ => None,
            })
    }

    /// The attempts that the entry on `link` waits for.
    pub fn ids_on(&self, link: LinkId) -> impl Iterator<Item = AttemptId> {
        let unread = self.answers.unread();
        self.live.iter().copied().chain(unread).filter(move |id| {
            self.records
                .get(id)
                .is_some_and(|one| one.link == Some(link))
        })
    }

    /// Whether an attempt of `request` that is not over is recorded.
    #[must_use]
    pub fn is_live(&self, request: RequestId) -> bool {
        self.live.iter().any(|id| id.request == request)
    }

    /// What an entry is told that asks.
    #[must_use]
    pub fn settlement(&self, id: AttemptId) -> Option<Settlement> {
        let settlement = match self.records.get(&id)?.phase {
            Phase::Ready(_) | Phase::Running(_) => Settlement::Running,
            Phase::InDoubt { .. } => Settlement::InDoubt,
            Phase::Finished if self.answers.is_retained(id) => Settlement::Finished,
            Phase::Finished | Phase::Ended => Settlement::Ended,
            Phase::NotSent => Settlement::NeverSent,
        };
        Some(settlement)
    }

    /// Whether some attempt of the request was sent to the upstream.
    #[must_use]
    pub fn was_sent(&self, request: RequestId) -> bool {
        self.sent.contains_key(&request)
    }

    /// Whether a record of a grant up to `sequence` may have been dropped.
    #[must_use]
    pub fn may_have_dropped(&self, sequence: u64) -> bool {
        self.dropped_through
            .is_some_and(|through| sequence <= through)
    }

    /// Records an attempt.
    pub fn insert(&mut self, id: AttemptId, attempt: Attempt, now_ms: u64) {
        let phase = attempt.phase.clone();
        self.records.insert(id, attempt);
        self.set_phase(id, phase, now_ms);
    }

    /// Moves an attempt on.
    pub fn set_phase(&mut self, id: AttemptId, phase: Phase, now_ms: u64) {
        let Some(attempt) = self.records.get_mut(&id) else {
            return;
        };
        match phase {
            Phase::Ready(_) => {}
            // No connection was made: the request may come here again.
            Phase::NotSent => {
                if self.sent.get(&id.request) == Some(&id) {
                    self.sent.swap_remove(&id.request);
                }
            }
            _ => {
                self.sent.insert(id.request, id);
            }
        }
        if phase.is_over() {
            self.live.swap_remove(&id);
            self.over.push_back((now_ms, id));
        } else {
            self.live.insert(id);
        }
        attempt.phase = phase;
    }

    /// Drops the records of attempts that were over by `before_ms`, and the oldest beyond
    /// the bound. An attempt whose answer is kept stays.
    pub fn drop_old(&mut self, before_ms: u64) {
        while let Some((over_ms, id)) = self.over.front().copied() {
            let is_due = over_ms <= before_ms || self.over.len() > self.limit;
            if !is_due || self.answers.is_retained(id) {
                break;
            }
            self.over.pop_front();
            self.drop_record(id);
        }
    }

    fn drop_record(&mut self, id: AttemptId) {
        let Some(attempt) = self.records.get(&id) else {
            return;
        };
        if !attempt.phase.is_over() {
            return;
        }
        if attempt.phase != Phase::NotSent {
            self.dropped_through = self.dropped_through.max(attempt.granted);
            if self.sent.get(&id.request) == Some(&id) {
                self.sent.swap_remove(&id.request);
            }
        }
        self.records.swap_remove(&id);
    }
}
