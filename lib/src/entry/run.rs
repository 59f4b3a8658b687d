//! One request in an entry: where it is in its life, and what has happened to it.

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

/// The one attempt that may be alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its id.
    pub id: AttemptId,
    /// The agent that granted it.
    pub agent: Arc<str>,
    /// The grant that was answered with it.
    pub grant: GrantId,
}

/// Where a request is in its life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No attempt is alive; it waits for a grant.
    Waiting,
    /// An attempt may be alive, and the caller waits for it.
    Running(Attempt),
    /// Nobody can tell what became of the attempt, and the caller still waits.
    InDoubt(Attempt),
    /// An attempt may be alive, but nobody waits for it any more.
    Abandoned(Attempt),
    /// Another request of the same name has this attempt, whose answer is read instead.
    Following(Attempt),
}

impl Phase {
    /// The attempt that may be alive.
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

/// A request and what has happened to it.
#[derive(Debug)]
pub struct Run {
    /// What the caller asked for.
    pub submission: Submission,
    /// When it came.
    pub arrived_ms: u64,
    /// Where it is in its life.
    pub phase: Phase,
    /// Whether an earlier request of the same order key is not done yet.
    pub awaits_turn: bool,
    /// A grant that waits until the claim on the request's name is decided.
    pub held_grant: Option<(Arc<str>, GrantId)>,
    /// The attempt of another request of the same name that is known not to be alive.
    pub settled: Option<Holder>,
    /// Agents that hold a reservation.
    pub reserved: IndexSet<Arc<str>>,
    /// Agents that refused, and until when they are not asked again.
    pub refused: IndexMap<Arc<str>, u64>,
    /// Agents that can't answer before the deadline.
    pub too_late: usize,
    /// Agents where an attempt may have reached the upstream.
    pub tried: IndexSet<Arc<str>>,
    /// How many attempts were dispatched.
    pub attempts: u32,
    /// When candidates are asked again, if that is set.
    pub reserve_at_ms: Option<u64>,
    /// Whether it counts among the placed or running requests of its profile.
    pub is_active: bool,
    /// Whether the caller's reader has begun on the answer that is followed.
    pub reads: bool,
    /// The end of the attempt, while the caller's reader has not come to it.
    pub unread_end: Option<AnswerEnd>,
}

impl Run {
    /// A request that has just come.
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

    /// Its place in the queue of requests that wait.
    #[must_use]
    pub fn place(&self) -> QueuedRequest {
        QueuedRequest {
            request: self.submission.request,
            tier: self.submission.tier(),
            arrived_ms: self.arrived_ms,
            body_bytes: self.submission.call.body.len(),
        }
    }

    /// What is true of it if it ends now without an answer.
    ///
    /// No attempt is alive or may have reached an upstream exactly when this is
    /// [`Outcome::NotRun`]: `tried` keeps each agent that was sent a dispatch until that
    /// dispatch is settled as never sent, and a followed attempt may have run, too.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        let follows = matches!(self.phase, Phase::Following(_));
        if self.tried.is_empty() && !follows {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }

    /// Whether a next attempt may be made after one that may have run has ended.
    #[must_use]
    pub fn may_move(&self, now_ms: u64) -> bool {
        !self.submission.non_idempotent && now_ms < self.submission.deadline_at_ms
    }

    /// Whether `agent` may not be asked for a grant now.
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
