//! What callers and workers saw of each request.

use std::time::Instant;

/// What a request is, and so what may happen to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Safe,
    /// It may run once at most.
    Unsafe,
    /// A stream that runs once at most.
    Stream,
    /// A stream that another worker may go on with.
    Resumable,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Stream, Self::Resumable];

    /// The path of its route.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Safe => "/safe/a",
            Self::Unsafe => "/unsafe/a",
            Self::Stream => "/stream/a",
            Self::Resumable => "/resumable/a",
        }
    }

    /// Whether it may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether its answer is a stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With an answer that looked whole.
    Answered {
        /// Its status.
        status: u16,
        /// Its body.
        body: String,
    },
    /// With an answer that broke off.
    BrokeOff {
        /// What had come of its body.
        body: String,
    },
    /// Without an answer.
    NoAnswer,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its name.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// Whether it ends the workers that run it.
    pub is_deadly: bool,
    /// When it was sent.
    pub sent: Instant,
    /// How it ended.
    pub ended: Ended,
}

/// A request as a worker saw it.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request's name.
    pub id: String,
    /// The worker.
    pub worker: String,
    /// When it began.
    pub at: Instant,
    /// The customer that the worker was told.
    pub customer: String,
    /// Method and path.
    pub target: String,
    /// Whether the caller's key came along.
    pub has_key: bool,
    /// The attempt that brought the first event, if the request resumes a stream; else its own name.
    pub first_attempt: String,
    /// The last event that its caller has; 0 if none.
    pub after_event: u64,
    /// Version of the worker.
    pub version: &'static str,
}

/// A worker that was said to leave.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The worker.
    pub worker: String,
    /// From when on nobody may send it anything.
    pub closed: Instant,
}

/// An order to move the service to another version, and what came of it.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Whether that version fails requests.
    pub is_bad: bool,
    /// The states that were written, in order.
    pub states: Vec<String>,
    /// Requests that reached workers within the window.
    pub runs: usize,
    /// Those of them at the new version.
    pub runs_at_new: usize,
    /// Requests that reached it later than it may be used after too many bad answers.
    pub late_runs: usize,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// By callers.
    pub requests: Vec<Request>,
    /// By workers.
    pub runs: Vec<Run>,
    /// Workers that left in a calm time.
    pub leavings: Vec<Leaving>,
    /// When the last fault was over; requests sent later should be served.
    pub healed: Option<Instant>,
    /// Whether the requests that end workers share one part of their prompts and nothing else.
    pub has_deadly_part: bool,
    /// The order, if there was one.
    pub rollout: Option<Rollout>,
    /// Of a worker that limited its requests in a calm time, arrivals beyond what that allows.
    pub beyond_limit: usize,
    /// Of a worker that asked for rest in a calm time, arrivals in it beyond what is allowed.
    pub beyond_rest: usize,
    /// Runs that entries in touch sent to workers later after their leaving than they may.
    pub late_after_leaving: Vec<String>,
    /// Entries at which a configuration of a calm time was not in force in time.
    pub late_entries: usize,
}
