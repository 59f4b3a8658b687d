//! What an entry reacts to, and what it does next.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::caller::submission::Submission;
use crate::claims::ClaimDecision;
use crate::claims::ClaimRequest;
use crate::claims::idempotency::IdempotencyKey;
use crate::claims::object::Holder;
use crate::config::catalog::Catalog;
use crate::ids::AttemptId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::link::wire::AgentMessage;
use crate::link::wire::AnswerEnd;
use crate::link::wire::EntryMessage;
use crate::ordering::queue::OrderKey;
use crate::ordering::queue::Place;
use crate::verdict::Failure;
use crate::verdict::Outcome;

/// What an entry's decisions react to.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller's request, checked and complete.
    Submitted(Box<Submission>),
    /// The claim that [`EntryStep::Claim`] asked for is decided.
    Claimed {
        request: RequestId,
        decision: ClaimDecision,
    },
    /// The turn that [`EntryStep::AwaitTurn`] asked for has come, or never will.
    TurnDecided {
        request: RequestId,
        refused: Option<Failure>,
    },
    /// An agent said something that is not part of an answer with a reader.
    Agent {
        agent: Arc<str>,
        message: AgentMessage,
    },
    /// A link is open and both sides have said hello.
    LinkUp {
        agent: Arc<str>,
        incarnation: Incarnation,
    },
    /// A link is gone.
    LinkLost { agent: Arc<str> },
    /// The reader of an answer that belongs to another request of the same name has come
    /// to its end.
    FollowerEnded {
        request: RequestId,
        end: AnswerEnd,
        passed: bool,
    },
    /// Ask the agent what became of an attempt that this entry did not dispatch.
    QueryAttempt { holder: Holder },
    /// The reader of an answer has come to its end.
    Ended {
        attempt: AttemptId,
        end: AnswerEnd,
        /// Whether the caller has got any part of it.
        passed: bool,
    },
    /// The whole answer of a request had so many tokens. Comes before its end.
    Measured {
        request: RequestId,
        output_tokens: u32,
    },
    /// The caller has gone away.
    CallerGone { request: RequestId },
    /// A host is gone for good, so nothing runs on it any more.
    HostGone { agent: Arc<str> },
    /// A new configuration is in force.
    CatalogChanged(Arc<Catalog>),
    /// No new requests; those that wait go on until [`EntryEvent::GracePeriodEnded`].
    ShutDown,
    /// What still waits is handed back.
    GracePeriodEnded,
    /// Time has passed.
    Tick,
}

/// What an entry does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryStep {
    /// Send a message on the link to an agent; without a link it is lost.
    Send {
        agent: Arc<str>,
        message: EntryMessage,
    },
    /// Read the answer of this attempt for the request's caller. Comes before its dispatch.
    Begin {
        request: RequestId,
        attempt: AttemptId,
        agent: Arc<str>,
    },
    /// Ask the agent for the answer from where its reader is.
    Resume { attempt: AttemptId, agent: Arc<str> },
    /// Tell the reader of this attempt how it ended.
    End { attempt: AttemptId, end: AnswerEnd },
    /// Tell the caller that there is no answer.
    Fail {
        request: RequestId,
        failure: Failure,
    },
    /// Claim the name of a request for the attempt that would be dispatched.
    Claim(ClaimRequest),
    /// Look whether the name may have run through another entry before its caller hears
    /// that it did not.
    ConfirmNotRun {
        request: RequestId,
        name: IdempotencyKey,
        failure: Failure,
    },
    /// Find out when the request's turn under its order key has come.
    AwaitTurn { order: OrderKey, place: Place },
    /// The request is over here; what was kept for it elsewhere can go.
    Finished {
        request: RequestId,
        order: Option<OrderKey>,
        outcome: RequestOutcome,
    },
    /// Keep a link to this agent.
    Dial {
        agent: Arc<str>,
        address: SocketAddr,
    },
    /// Close the link to this agent.
    CloseLink { agent: Arc<str> },
}

/// How a request ended, for those who keep its name or its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer went to the caller.
    Answered,
    /// It did not run and never will.
    NotRun,
    /// It may have run, and does not run any more.
    Unknown,
    /// It may still run.
    InDoubt,
}

impl From<Outcome> for RequestOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        }
    }
}
