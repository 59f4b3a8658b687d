//! The typed messages between entries and agents.
//!
//! Each is a postcard value in a length-delimited frame on a TCP link that the entry
//! opens. The rules that both ends follow are in `docs/design/protocol.md`.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config::objects::Target;
use crate::config::objects::Tier;
use crate::ids::AttemptId;
use crate::ids::GrantId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::store::position::StorePosition;
use crate::store::position::revision_only;

/// Raised with each change of the messages that an older process could misread.
pub const PROTOCOL_VERSION: u32 = 1;

/// The first message of each side on a new link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol: u32,
    /// The sender's process.
    pub incarnation: Incarnation,
    /// The name of the host (entry) or of the upstream (agent).
    pub name: Arc<str>,
    /// Where the sender stands.
    pub data_centre: Arc<str>,
}

/// Asks an agent for a grant; holds what the agent needs to order it, not the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The request that waits in the entry.
    pub request: RequestId,
    /// What it asks for.
    pub target: Target,
    /// Its importance.
    pub tier: Tier,
    /// Whose request it is.
    pub customer: Arc<str>,
    /// The customer's share within the tier.
    pub weight: u32,
    /// How long it has waited in the entry when this is sent.
    pub waited_ms: u64,
    /// How long from now until the caller has no use for the answer.
    pub deadline_in_ms: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens that a request of its profile is expected to take, by quantile.
    pub expected_output_tokens: u32,
    /// Output tokens at which it is cut off.
    pub max_output_tokens: u32,
    /// Fingerprints of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// Whether it may run at most once.
    pub non_idempotent: bool,
    /// Whether it belongs to an appointment of which an earlier request has run.
    pub started_appointment: bool,
}

/// A call to an upstream, as the caller made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The HTTP method.
    pub method: Arc<str>,
    /// Path and query below the upstream's base URL.
    pub path: Arc<str>,
    /// End-to-end headers.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// What an entry tells an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Opens the link.
    Hello(Hello),
    /// The link is alive; carries the newest configuration revision the sender knows.
    Heartbeat {
        sequence: u64,
        #[serde(with = "revision_only")]
        revision: StorePosition,
    },
    /// Asks for a grant.
    Reserve(Reservation),
    /// Takes a reservation back; a grant under way is answered with [`Self::Decline`].
    Withdraw { request: RequestId },
    /// Answers a grant with the request. Sent at most once for a grant.
    Dispatch {
        grant: GrantId,
        attempt: AttemptId,
        /// Whether the whole answer is kept for a while, so that a repeated
        /// `Idempotency-Key` can have it again.
        retain: bool,
        call: Call,
    },
    /// Answers a grant with "gone".
    Decline { grant: GrantId },
    /// The answer is not wanted any more.
    Cancel { attempt: AttemptId },
    /// Everything below this offset of the answer has been passed on.
    Acknowledge {
        attempt: AttemptId,
        through_bytes: u64,
    },
    /// Asks what became of an attempt, and bars it if it has not begun.
    Settle {
        attempt: AttemptId,
        /// The grant that it was dispatched with. Another incarnation can't know what the
        /// granting one sent, so it never answers [`Settlement::NeverSent`]. The granting
        /// one sees by the sequence whether its record may have been dropped for age.
        grant: GrantId,
    },
    /// Asks for the answer of an attempt again, from an offset, on this link.
    Resume { attempt: AttemptId, from_bytes: u64 },
}

/// Why an agent takes no reservation, or gives one back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The upstream is draining, stopped, or the agent is shutting down.
    Leaving,
    /// The upstream does not serve the target.
    NotServed,
    /// More important work fills the agent's bounded queue.
    Crowded,
    /// It cannot be answered before its deadline here.
    TooLate,
    /// The upstream does not answer.
    UpstreamDown,
    /// An earlier attempt of the request was sent to this upstream, which gets each
    /// request at most once.
    AlreadySent,
}

/// What became of an attempt, as far as the agent can vouch for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Settlement {
    /// It was not sent to the upstream and never will be by this agent.
    NeverSent,
    /// It runs, and its answer can be resumed.
    Running,
    /// It ended and its answer can be resumed.
    Finished,
    /// It is not running any more, and no whole answer exists.
    Ended,
    /// An earlier incarnation may have sent it, and the upstream does not tell.
    InDoubt,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEnd {
    /// The whole answer: its length and the XXH64 of its bytes.
    Complete { length_bytes: u64, checksum: u64 },
    /// The grant had lapsed or was unknown, or no connection to the upstream could be
    /// made; the attempt was not sent and never will be.
    NotSent,
    /// The upstream stopped before the end, and the attempt is not running any more.
    Broken { reason: Arc<str> },
    /// Cancelled at the entry's wish, and confirmed by the upstream.
    Cancelled,
    /// Cancelled to make room for more important work, and confirmed by the upstream.
    Preempted,
    /// The upstream does not tell what became of it.
    InDoubt { reason: Arc<str> },
}

/// Load of an agent; a hint that is stale on arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Slots that are free now.
    pub free_slots: u32,
    /// Reservations that wait.
    pub waiting: u32,
    /// Learned time to run the work that waits and runs.
    pub backlog_ms: u32,
    /// Learned prompt tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Learned time between two tokens of one request.
    pub step_us: u32,
    /// Entries that have a link to the agent; limits of profiles are shared by so many.
    pub entries: u32,
}

/// What an agent tells an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Answers the entry's hello.
    Hello(Hello),
    /// The link is alive.
    Heartbeat {
        sequence: u64,
        #[serde(with = "revision_only")]
        revision: StorePosition,
        load: Load,
    },
    /// There is room for the request; lapses unless it is answered in time.
    Grant {
        request: RequestId,
        grant: GrantId,
        valid_ms: u64,
    },
    /// The reservation is not kept.
    Refuse {
        request: RequestId,
        reason: RefusalReason,
        retry_after_ms: u64,
    },
    /// Answers [`EntryMessage::Settle`].
    Settled {
        attempt: AttemptId,
        settlement: Settlement,
    },
    /// Status and headers of the upstream's answer.
    Head {
        attempt: AttemptId,
        status: u16,
        headers: Vec<(Arc<str>, Bytes)>,
    },
    /// The bytes of the answer's body from an offset.
    Data {
        attempt: AttemptId,
        offset_bytes: u64,
        bytes: Bytes,
    },
    /// Nothing follows.
    End { attempt: AttemptId, end: AnswerEnd },
}
