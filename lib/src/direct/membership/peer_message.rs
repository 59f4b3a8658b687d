//! What entries tell each other, as datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::membership::heartbeat_payload::LoadChunk;
use crate::direct::notices::upstream_state::NoticeUpdate;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::rollout::message::RolloutMessage;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::admission::SlotRelease;
use crate::direct::sharing::admission::SlotRequest;
use crate::direct::sharing::quota::ChargeOutcome;
use crate::direct::sharing::quota::Contention;
use crate::direct::sharing::quota::RequestCost;

/// First byte of every datagram; another form of the message gets another number.
const FORM: u8 = 5;
/// Longest datagram that is sent: it fits into one packet of a common network.
const MAX_BYTES: usize = 1_400;

/// What an entry has spent of a customer's allotment since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerSpending {
    /// The customer's name.
    pub customer: Arc<str>,
    /// Tokens or requests.
    pub units: u64,
}

/// What an entry runs at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Short name of the upstream.
    pub upstream: u32,
    /// Requests.
    pub requests: u16,
    /// Time between two events of a stream there, 0 if not known.
    pub event_us: u32,
    /// What is wrong there.
    pub condition: UpstreamCondition,
}

/// What an entry has found of an upstream that others should not have to find out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamCondition {
    /// Nothing is wrong.
    #[default]
    Healthy,
    /// A request has had no answer there for far too long.
    Stalled,
    /// Another process answers at its address.
    Replaced,
}

/// How far an entry has followed the platform's store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// Revision of the configuration in force.
    pub catalog: u64,
    /// Revision of the newest change in the list of upstreams.
    pub directory: u64,
}

/// The state of one entry, sent to all others many times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// A random number of this start of the process.
    pub incarnation: u64,
    /// Counts the heartbeats of this start.
    pub sequence: u64,
    /// Whether the process ends now.
    pub is_last: bool,
    /// How far it has followed the store.
    pub revisions: Revisions,
    /// Whether the process will end soon, and keeps no door.
    pub is_leaving: bool,
    /// How long it has run.
    pub age_s: u16,
    /// How many entries it has heard, itself included.
    pub known_entries: u16,
    /// How long ago the store answered it, if it asks the store.
    pub store_age_ms: Option<u32>,
    /// Other entries that it hears from.
    pub peer_addresses: Vec<SocketAddr>,
    /// Requests that it runs, by upstream; all of them, or a part if they are many.
    pub loads: LoadChunk,
    /// What customers have spent there; those told least of late if they are many.
    pub spent: Vec<CustomerSpending>,
}

/// A request that the receiver is asked to charge to a customer whose allotment it keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeRequest {
    /// Names the question.
    pub id: PeerRequestId,
    /// The customer's name.
    pub customer: Arc<str>,
    /// What the request asks of the allotment.
    pub cost: RequestCost,
    /// Whether others wait at the sender.
    pub contention: Contention,
}

/// Everything that entries send each other by datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The state of the sender.
    Heartbeat(Heartbeat),
    /// The sender wants room at an engine whose door the receiver keeps.
    RequestSlot(SlotRequest),
    /// The sender no longer wants it.
    Cancel {
        /// Short name of the engine.
        upstream: u32,
        /// The question that is taken back.
        request_id: PeerRequestId,
    },
    /// The receiver has room at the engine that it asked for.
    Grant {
        /// The question that is answered.
        request_id: PeerRequestId,
        /// Short name of the engine.
        upstream: u32,
    },
    /// The receiver's question waits.
    Queued {
        /// The question that is answered.
        request_id: PeerRequestId,
        /// How long it is expected to wait.
        wait_ms: u32,
    },
    /// Room that the receiver had granted is free again.
    Released {
        /// Short name of the engine.
        upstream: u32,
        /// How it was used.
        release: SlotRelease,
    },
    /// The sender wants to charge a request.
    ChargeRequest(ChargeRequest),
    /// The receiver's request was charged or not.
    ChargeReply {
        /// The question that is answered.
        request_id: PeerRequestId,
        /// The answer.
        charge: ChargeOutcome,
    },
    /// What the sender knows of requests under which upstreams ended.
    SuspectRequests(Vec<SuspectUpdate>),
    /// How far a roll-out has come, or what the sender has seen of it.
    Rollout(RolloutMessage),
    /// What upstreams have said of themselves.
    UpstreamNotices(Vec<NoticeUpdate>),
}

impl PeerMessage {
    /// The message as a datagram; none if it would be too long.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_message::{Heartbeat, PeerMessage};
    ///
    /// let message = PeerMessage::Heartbeat(Heartbeat::default());
    /// let bytes = message.encode().unwrap();
    /// assert_eq!(PeerMessage::decode(&bytes), Some(message));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![FORM]).ok()?;
        (bytes.len() <= MAX_BYTES).then_some(bytes)
    }

    /// Reads a datagram; none if it is not a message of ours.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::membership::peer_message::PeerMessage::decode(b"?"), None);
    /// ```
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match bytes.split_first() {
            Some((&FORM, message)) => postcard::from_bytes(message).ok(),
            _ => None,
        }
    }
}
