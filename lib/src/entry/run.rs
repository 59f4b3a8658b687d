//! The state of one request in an entry: its phase and its attempts so far.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::caller::submission::Submission;
use crate::claims::object::Holder;
use crate::entry::admission::QueuedRequest;
use crate::ids::AttemptId;
use crate::ids::GrantId;
use crate::link::wire::AnswerEnd;
use crate::verdict::Outcome;

/// The attempt of a request that may still be running; there is at most one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt's id.
    pub id: AttemptId,
    /// The agent that sent the grant.
    pub agent: Arc<str>,
    /// The grant that this attempt uses.
    pub grant: GrantId,
}

/// The phase of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No attempt is running; the request waits for a grant.
    Waiting,
    /// An attempt may be running, and the caller waits for its answer.
    Running(Attempt),
    /// The outcome of the attempt is unknown, and the caller still waits.
    InDoubt(Attempt),
    /// An attempt may be running, but the caller no longer waits for its answer.
    Abandoned(Attempt),
    /// The attempt belongs to another request with the same idempotency key, and this request
    /// reads its answer.
    Following(Attempt),
}

impl Phase {
    /// Returns the attempt that may still be running.
    #[must_use]
    pub fn attempt(&self) -> Option<&Attempt> {
        match self {
            Self::Waiting => None,
            Self::Running(attempt)
            | Self::InDoubt(attempt)
            | Self::Abandoned(attempt)
            | Self::Following(attempt) => Some(attempt),
        }
    }
}

/// A request and the state of its execution.
#[derive(Debug)]
pub struct Run {
    /// The request as the caller submitted it.
    pub submission: Submission,
    /// When the request arrived.
    pub arrived_ms: u64,
    /// The current phase.
    pub phase: Phase,
    /// Whether an earlier request with the same order key is unfinished.
    pub awaits_turn: bool,
    /// A grant that is held until the claim on the request's idempotency key is decided.
    pub held_grant: Option<(Arc<str>, GrantId)>,
    /// The attempt of another request with the same idempotency key that is known to have ended.
    pub settled: Option<Holder>,
    /// Agents that hold a reservation for this request.
    pub reserved: IndexSet<Arc<str>>,
    /// Agents that refused, each with the time until which it is not asked again.
    pub refused: IndexMap<Arc<str>, u64>,
    /// The number of agents that can't answer before the deadline.
    pub too_late: usize,
    /// Agents where an attempt may have reached the upstream.
    pub tried: IndexSet<Arc<str>>,
    /// The number of dispatched attempts.
    pub attempts: u32,
    /// When candidates are asked again, if a retry is scheduled.
    pub reserve_at_ms: Option<u64>,
    /// Whether the request counts among its profile's placed or running requests.
    pub is_active: bool,
    /// Whether the caller's reader has started to read the followed attempt's answer.
    pub reads: bool,
    /// How the attempt ended, until the caller's reader has reached that end.
    pub unread_end: Option<AnswerEnd>,
}

impl Run {
    /// Creates the state of a request that has just arrived.
    #[must_use]
    pub fn new(submission: Submission, now_ms: u64, awaits_turn: bool) -> Self {
        Self {
            submission,
            arrived_ms: now_ms,
            phase: Phase::Waiting,
            awaits_turn,
            held_grant: None,
            settled: None,
            reserved: IndexSet::new(),
            refused: IndexMap::new(),
            too_late: 0,
            tried: IndexSet::new(),
            attempts: 0,
            reserve_at_ms: None,
            is_active: false,
            reads: false,
            unread_end: None,
        }
    }

    /// Returns the request's entry in the queue of waiting requests.
    #[must_use]
    pub fn place(&self) -> QueuedRequest {
        QueuedRequest {
            request: self.submission.request,
            tier: self.submission.tier(),
            arrived_ms: self.arrived_ms,
            body_bytes: self.submission.call.body.len(),
        }
    }

    /// Returns the outcome to report if the request ends now without an answer.
    ///
    /// This is [`Outcome::NotRun`] exactly when no attempt is running or may have reached an
    /// upstream: `tried` keeps each agent that was sent a dispatch until that dispatch is
    /// settled as never sent, and a followed attempt may also have run.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        let follows = matches!(self.phase, Phase::Following(_));
        if self.tried.is_empty() && !follows {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }

    /// Returns whether another attempt is allowed after the end of one that may have run.
    #[must_use]
    pub fn may_move(&self, now_ms: u64) -> bool {
        !self.submission.non_idempotent && now_ms < self.submission.deadline_at_ms
    }

    /// Returns whether `agent` must not be asked for a grant now.
    #[must_use]
    pub fn excludes(&self, agent: &str, now_ms: u64) -> bool {
        self.reserved.contains(agent)
            || self.tried.contains(agent)
            || self
                .refused
                .get(agent)
                .is_some_and(|until_ms| *until_ms > now_ms)
    }
}
