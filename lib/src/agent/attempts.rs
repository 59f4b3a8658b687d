//! Records of the attempts that were dispatched to an agent.
//!
//! An attempt is recorded before its call is opened, so that this incarnation can't send it
//! twice. Records are kept after their attempts have ended, up to a limit. Once a record is
//! dropped, the agent asks the upstream about the attempt instead of guessing.

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

/// Properties of a request that the agent needs while the request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptInfo {
    /// Requested model or service; `None` for an attempt of an earlier incarnation.
    pub target: Option<Target>,
    /// Priority of the request.
    pub tier: Tier,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub expected_output_tokens: u32,
    /// Number of output tokens at which the upstream cuts the answer off.
    pub max_output_tokens: u32,
    /// Whether the request may run at most once; the agent never cancels such a request
    /// by itself.
    pub non_idempotent: bool,
    /// Whether the answer is retained for a repeated idempotency key.
    pub retain: bool,
}

impl AttemptInfo {
    /// Returns the properties of a granted reservation.
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

    /// Returns the properties assumed for an attempt of an earlier incarnation.
    ///
    /// They are those of a non-idempotent request of the highest tier, so that the agent
    /// does nothing to the attempt that would be wrong for any request.
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

    /// Returns the expected use of the KV cache in tokens.
    #[must_use]
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.expected_output_tokens)
    }
}

/// Progress of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunProgress {
    /// Time at which the call was opened.
    pub opened_ms: u64,
    /// Time at which the last token was received.
    pub last_progress_ms: u64,
    /// Number of output tokens so far.
    pub tokens: u32,
    /// Whether the first token was received.
    pub first_seen: bool,
    /// Whether a part of the answer was sent to the entry.
    pub delivered: bool,
    /// Whether a cancellation is in progress.
    pub cancelling: bool,
}

/// Phase of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The attempt was granted ahead and waits for a free slot.
    Ready(Box<Call>),
    /// The call is open.
    Running(RunProgress),
    /// The outcome is unknown to the agent.
    InDoubt {
        /// Whether the attempt counts as occupying a slot of the upstream. It doesn't at a
        /// plain service, since nothing would ever free the slot.
        holds_slot: bool,
        /// Time of the next query to the upstream; `None` at a plain service, which can't
        /// be queried.
        query_at_ms: Option<u64>,
        /// Link on which an entry waits for the outcome.
        reply_to: Option<LinkId>,
    },
    /// The whole answer was received; it can be replayed while it is retained.
    Finished,
    /// The attempt has ended without a whole answer.
    Ended,
    /// The request was not sent and never will be by this attempt.
    NotSent,
}

impl Phase {
    /// Returns the phase of a call that was just opened.
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

    /// Returns whether the attempt may be using a slot of the upstream.
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

    /// Returns whether the phase is final, so that the record may expire.
    #[must_use]
    pub fn is_terminal(&self) -> bool {
        matches!(
            self,
            Self::Finished
                | Self::Ended
                | Self::NotSent
                | Self::InDoubt {
                    query_at_ms: None,
                    ..
                }
        )
    }
}

/// The record of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Properties of the request.
    pub info: AttemptInfo,
    /// Sequence number of the grant, if this incarnation issued it.
    pub grant_sequence: Option<u64>,
    /// Link of the entry that waits for the answer.
    pub link: Option<LinkId>,
    /// Time since which no entry waits for the answer.
    pub detached_ms: u64,
    /// Current phase.
    pub phase: Phase,
}

impl Attempt {
    /// Returns whether the answer is being delivered and has made progress within the last
    /// `quiet_ms`.
    #[must_use]
    pub fn is_delivering(&self, now_ms: u64, quiet_ms: u64) -> bool {
        match &self.phase {
            Phase::Running(progress) => {
                progress.delivered && now_ms < progress.last_progress_ms + quiet_ms
            }
            _ => false,
        }
    }
}

/// Records of attempts. The number of records in a final phase is limited.
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
    /// Attempts that are not in a final phase.
    live: IndexSet<AttemptId>,
    /// Answers of finished attempts that can be replayed.
    pub answers: RetainedAnswers,
    /// Attempts that were sent to the upstream, by request.
    sent: IndexMap<RequestId, AttemptId>,
    /// Attempts in a final phase with the time at which they reached it, oldest first.
    terminal: VecDeque<(u64, AttemptId)>,
    /// Highest grant sequence whose record was dropped. Queries about grants up to this
    /// one can't be answered from the records.
    dropped_through: Option<u64>,
}

impl Attempts {
    /// Creates an empty table that holds at most `limit` records in a final phase.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Attempts {
            limit,
            records: IndexMap::new(),
            live: IndexSet::new(),
            answers: RetainedAnswers::default(),
            sent: IndexMap::new(),
            terminal: VecDeque::new(),
            dropped_through: None,
        }
    }

    /// Returns the record of an attempt.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.records.get(&attempt)
    }

    /// Returns the record of an attempt for modification. Phases must be changed with
    /// [`Attempts::set_phase`].
    pub fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        self.records.get_mut(&attempt)
    }

    /// Returns the attempts that are not in a final phase.
    pub fn live(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.live
            .iter()
            .filter_map(|id| self.records.get(id).map(|attempt| (*id, attempt)))
    }

    /// Returns the running attempts.
    pub fn running(&self) -> impl Iterator<Item = (AttemptId, &Attempt, &RunProgress)> {
        self.live()
            .filter_map(|(id, attempt)| match &attempt.phase {
                Phase::Running(progress) => Some((id, attempt, progress)),
                _ => None,
            })
    }

    /// Returns the attempts whose answers the entry on `link` waits for.
    pub fn ids_on_link(&self, link: LinkId) -> impl Iterator<Item = AttemptId> {
        let unacknowledged = self.answers.unacknowledged();
        self.live
            .iter()
            .copied()
            .chain(unacknowledged)
            .filter(move |id| {
                self.records
                    .get(id)
                    .is_some_and(|attempt| attempt.link == Some(link))
            })
    }

    /// Returns whether `request` has an attempt that is not in a final phase.
    #[must_use]
    pub fn is_live(&self, request: RequestId) -> bool {
        self.live.iter().any(|id| id.request == request)
    }

    /// Returns the settlement to send to an entry that asks about the attempt; `None`
    /// without a record.
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

    /// Returns whether an attempt of the request was sent to the upstream.
    #[must_use]
    pub fn was_sent(&self, request: RequestId) -> bool {
        self.sent.contains_key(&request)
    }

    /// Returns whether the record of the grant `sequence` may have been dropped.
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

    /// Changes the phase of an attempt.
    pub fn set_phase(&mut self, id: AttemptId, phase: Phase, now_ms: u64) {
        let Some(attempt) = self.records.get_mut(&id) else {
            return;
        };
        match phase {
            Phase::Ready(_) => {}
            // No connection was made, so the request may be dispatched here again.
            Phase::NotSent => {
                if self.sent.get(&id.request) == Some(&id) {
                    self.sent.swap_remove(&id.request);
                }
            }
            _ => {
                self.sent.insert(id.request, id);
            }
        }
        if phase.is_terminal() {
            self.live.swap_remove(&id);
            self.terminal.push_back((now_ms, id));
        } else {
            self.live.insert(id);
        }
        attempt.phase = phase;
    }

    /// Drops the records that reached a final phase by `before_ms`, and the oldest records
    /// above the limit. Stops at a record whose answer is retained.
    pub fn drop_expired(&mut self, before_ms: u64) {
        while let Some((terminal_ms, id)) = self.terminal.front().copied() {
            let is_due = terminal_ms <= before_ms || self.terminal.len() > self.limit;
            if !is_due || self.answers.is_retained(id) {
                break;
            }
            self.terminal.pop_front();
            self.drop_record(id);
        }
    }

    fn drop_record(&mut self, id: AttemptId) {
        let Some(attempt) = self.records.get(&id) else {
            return;
        };
        if !attempt.phase.is_terminal() {
            return;
        }
        if attempt.phase != Phase::NotSent {
            self.dropped_through = self.dropped_through.max(attempt.grant_sequence);
            if self.sent.get(&id.request) == Some(&id) {
                self.sent.swap_remove(&id.request);
            }
        }
        self.records.swap_remove(&id);
    }
}
