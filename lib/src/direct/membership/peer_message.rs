//! The messages that entries send each other as datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::direct::membership::heartbeat_payload::LoadChunk;
use crate::direct::notices::limit_end::LimitReport;
use crate::direct::notices::upstream_state::NoticeUpdate;
use crate::direct::quarantine::suspect::ContentUpdate;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::replication::spread::SpreadMessage;
use crate::direct::rollout::message::RolloutMessage;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::admission::SlotRelease;
use crate::direct::sharing::admission::SlotRequest;
use crate::direct::sharing::quota::ChargeOutcome;
use crate::direct::sharing::quota::Contention;
use crate::direct::sharing::quota::RequestCost;
use crate::direct::sharing::return_order::ReturnKey;
use crate::direct::store_view::answer_history::Answered;
use crate::direct::streams::origin::OriginRecord;
use crate::direct::streams::origin::OriginReply;
use crate::direct::streams::origin::OriginRequest;
use crate::store::position::StorePosition;

/// First byte of every datagram: the version of the message format.
const FORMAT_VERSION: u8 = 5;
/// Level of the builds that know messages about the origins of streams.
pub const STREAM_ORIGINS_LEVEL: u8 = 1;
/// Level of the builds that know messages about suspect features.
pub const SUSPECTS_LEVEL: u8 = 2;
/// Level of the builds that tell how old their replicas are, and lend whole retries.
pub const REPLICA_AGES_LEVEL: u8 = 3;
/// Level of the builds that tell since when the store has answered them.
pub const ANSWERED_LEVEL: u8 = 4;
/// The level from which on a build knows [`PeerMessage::RemovedUpstreams`].
pub const REMOVALS_LEVEL: u8 = 5;
/// Level of the builds that tell which upstreams they have excluded after invalid answers.
pub const EXCLUSIONS_LEVEL: u8 = 6;
/// Most excluded upstreams in one heartbeat. One takes 5 bytes. If there are more, the next heartbeats
/// name the others.
pub const MAX_EXCLUSIONS: usize = 6;
/// Level of the builds that know messages about expected returns.
pub const RETURNS_LEVEL: u8 = 7;
/// Level of the builds that lend parts of a retry.
pub const RETRY_PARTS_LEVEL: u8 = 8;
/// Level of the builds that know [`PeerMessage::LimitReport`].
pub const LIMIT_REPORTS_LEVEL: u8 = 9;
/// Level of this build.
pub const MESSAGE_LEVEL: u8 = LIMIT_REPORTS_LEVEL;
/// Age beyond which an answer of the store is not told any more. Upstreams that an outage has concerned
/// are back or removed by then.
const MAX_ANSWER_AGE_MS: u32 = 60_000;
/// Longest datagram that is sent. It fits into one packet of a common network.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// What an entry has spent of a customer's quota since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerSpending {
    /// The customer's name.
    pub customer: Arc<str>,
    /// Tokens or requests.
    pub units: u64,
}

/// What one entry runs at an upstream, and how the upstream does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Running requests.
    pub requests: u16,
    /// Time between two events of a stream there, or 0 if not known.
    pub event_us: u32,
    /// What the entry has found out about the upstream.
    pub condition: UpstreamCondition,
}

/// The condition of an upstream, shared so that other entries need not find it out themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamCondition {
    /// Nothing is wrong.
    #[default]
    Healthy,
    /// The upstream has left a request without an answer for far too long.
    Stalled,
    /// Another process answers at the upstream's address.
    Replaced,
}

/// Position of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CatalogPosition {
    /// Position of its object in the store.
    pub at: StorePosition,
    /// The operator's version number. It decides between two configurations at one position: one
    /// that entries had in force, and the older one that the store has returned with.
    pub version: u64,
}

/// How far an entry's replica of the platform's store has advanced.
///
/// Builds without eras read and write the two revisions alone; the rest is sent beside the message,
/// as [`RevisionEras`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "BareRevisions", into = "BareRevisions")]
pub struct Revisions {
    /// Position of the configuration in force.
    pub catalog: CatalogPosition,
    /// Position of the newest change in the list of upstreams.
    pub directory: StorePosition,
}

/// [`Revisions`] as builds without eras know them.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct BareRevisions {
    catalog: u64,
    directory: u64,
}

impl From<BareRevisions> for Revisions {
    fn from(bare: BareRevisions) -> Self {
        Self {
            catalog: CatalogPosition {
                at: StorePosition::new(0, bare.catalog),
                version: 0,
            },
            directory: StorePosition::new(0, bare.directory),
        }
    }
}

impl From<Revisions> for BareRevisions {
    fn from(revisions: Revisions) -> Self {
        Self {
            catalog: revisions.catalog.at.revision,
            directory: revisions.directory.revision,
        }
    }
}

/// The part of [`Revisions`] that builds without eras do not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionEras {
    catalog: u32,
    catalog_version: u64,
    directory: u32,
}

impl Revisions {
    /// Returns what is sent beside the revisions.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_message::{RevisionEras, Revisions};
    ///
    /// assert_eq!(Revisions::default().eras(), RevisionEras::default());
    /// ```
    #[must_use]
    pub fn eras(self) -> RevisionEras {
        RevisionEras {
            catalog: self.catalog.at.era,
            catalog_version: self.catalog.version,
            directory: self.directory.era,
        }
    }

    /// Returns the revisions with what was sent beside them.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_message::{RevisionEras, Revisions};
    ///
    /// let revisions = Revisions::default().with_eras(RevisionEras::default());
    /// assert_eq!(revisions, Revisions::default());
    /// ```
    #[must_use]
    pub fn with_eras(mut self, eras: RevisionEras) -> Self {
        self.catalog.at.era = eras.catalog;
        self.catalog.version = eras.catalog_version;
        self.directory.era = eras.directory;
        self
    }

    /// Returns the revisions as if no configuration at this position had a later version.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_message::Revisions;
    ///
    /// assert_eq!(Revisions::default().with_latest_version().catalog.version, u64::MAX);
    /// ```
    #[must_use]
    pub fn with_latest_version(mut self) -> Self {
        self.catalog.version = u64::MAX;
        self
    }

    /// Returns whether a replica at these revisions has something that one at `other` lacks.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_message::Revisions;
    /// use sardinewood::store::position::StorePosition;
    ///
    /// let newer = Revisions { directory: StorePosition::new(0, 1), ..Revisions::default() };
    /// assert!(newer.is_ahead_of(Revisions::default()));
    /// ```
    #[must_use]
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.catalog > other.catalog || self.directory > other.directory
    }
}

/// The host of an entry, by which its peers choose who does work for the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    /// Hash of the data centre's name.
    pub data_centre: u32,
    /// The smaller one of the host's shares of a core and of a link of 1 Gbit/s, in hundredths.
    pub capacity: u16,
}

impl EntryHost {
    /// Returns a host of the data centre with this name.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_message::EntryHost;
    ///
    /// assert_ne!(EntryHost::new("east", 9), EntryHost::new("west", 9));
    /// ```
    #[must_use]
    pub fn new(data_centre: &str, capacity: u16) -> Self {
        Self {
            data_centre: twox_hash::XxHash32::oneshot(0, data_centre.as_bytes()),
            capacity,
        }
    }
}

/// The state of one entry, which it sends to all others many times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// A random number that identifies this run of the process.
    pub incarnation: u64,
    /// The number of the heartbeat within this run of the process.
    pub sequence: u64,
    /// Whether the process exits now.
    pub is_last: bool,
    /// The revisions that the entry's replica has reached.
    pub revisions: Revisions,
    /// Whether the process will exit soon, and owns no upstream's queue and no quota.
    pub is_leaving: bool,
    /// How long the process has run.
    pub age_s: u16,
    /// How many entries it knows, itself included.
    pub known_entries: u16,
    /// How long ago the store answered the entry, if it watches the store.
    pub store_age_ms: Option<u32>,
    /// Addresses of other entries that it knows.
    pub peer_addresses: Vec<SocketAddr>,
    /// Its running requests by upstream, or a part of them if there are many.
    pub loads: LoadChunk,
    /// What customers have spent at this entry. If there are many, it contains those that were sent
    /// least often since they changed.
    pub spent: Vec<CustomerSpending>,
    /// The entry's host; none if the sender's build does not know the field. It follows the message
    /// in the datagram, where such builds ignore it.
    #[serde(skip)]
    pub host: Option<EntryHost>,
    /// Whether the sender's build knows the store's eras. Without them, its revisions are of era 0.
    #[serde(skip)]
    pub knows_eras: bool,
    /// Messages that the sender's build knows besides those of the first builds; see
    /// [`STREAM_ORIGINS_LEVEL`] and [`SUSPECTS_LEVEL`].
    #[serde(skip)]
    pub message_level: u8,
    /// How old the store's word to the sender is that its revisions are the newest; sent from
    /// [`REPLICA_AGES_LEVEL`] on.
    #[serde(skip)]
    pub replica_ages: ReplicaAges,
    /// When the store answered the sender; sent from [`ANSWERED_LEVEL`] on.
    #[serde(skip)]
    pub answered_ages: Option<AnsweredAges>,
    /// Hashes of upstreams that the sender has excluded after invalid answers; sent from
    /// [`EXCLUSIONS_LEVEL`] on. They are no further [`UpstreamCondition`], as builds below that level
    /// could not decode a message with one.
    #[serde(skip)]
    pub excluded: Vec<u32>,
}

/// How old an entry's list of upstreams is, in reply to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListWord {
    /// When the receiver has asked, by its own clock.
    pub asked_ms: u32,
    /// Era of the list's position.
    pub era: u32,
    /// Revision of the list's position.
    pub revision: u64,
    /// How long ago it was certain that the list was the newest.
    pub age_ms: u32,
}

/// How long ago it was certain that an entry's replica was the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAges {
    /// Age of its configuration; none if the store has not told the entry of it.
    pub catalog_ms: Option<u32>,
    /// Age of its list of upstreams.
    pub list_ms: Option<u32>,
}

/// How long ago the store answered an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredAges {
    /// When the store began to answer it without a gap in which entries of upstreams lapse.
    pub first_ms: u32,
    /// Up to when its last answer holds.
    pub latest_ms: u32,
}

impl AnsweredAges {
    /// Returns the ages of a time in which the store answered, unless that was long ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sardinewood::direct::membership::peer_message::AnsweredAges;
    /// use sardinewood::direct::store_view::answer_history::Answered;
    /// use tokio::time::Instant;
    ///
    /// let from = Instant::now();
    /// let until = from + Duration::from_secs(2);
    /// let now = from + Duration::from_secs(3);
    /// let answered = Answered { from, until };
    /// let ages = AnsweredAges::new(answered, now).expect("recent");
    /// assert_eq!((ages.first_ms, ages.latest_ms), (3_000, 1_000));
    /// assert_eq!(ages.answered(now), Some(answered));
    /// ```
    #[must_use]
    pub fn new(answered: Answered, now: Instant) -> Option<Self> {
        let ages = Self {
            first_ms: whole_ms(now.duration_since(answered.from)),
            latest_ms: whole_ms(now.duration_since(answered.until)),
        };
        (ages.latest_ms <= MAX_ANSWER_AGE_MS).then_some(ages)
    }

    /// Returns when the store answered, given when the ages have arrived; none if that was before the
    /// clock of this host began.
    ///
    /// ```
    /// # use sardinewood::direct::membership::peer_message::AnsweredAges;
    /// let ages = AnsweredAges { first_ms: 0, latest_ms: 0 };
    /// assert!(ages.answered(tokio::time::Instant::now()).is_some());
    /// ```
    #[must_use]
    pub fn answered(self, now: Instant) -> Option<Answered> {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let until = at(self.latest_ms)?;
        let from = at(self.first_ms).unwrap_or(until);
        Some(Answered { from, until })
    }
}

/// Returns a time in whole milliseconds, or the longest one that can be sent.
pub(crate) fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Asks the receiver, who owns the customer's quota, to charge a request to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeRequest {
    /// Identifies this message in the reply.
    pub id: PeerRequestId,
    /// The customer's name.
    pub customer: Arc<str>,
    /// What the request costs.
    pub cost: RequestCost,
    /// Whether other requests wait at the sender.
    pub contention: Contention,
}

/// When the caller of a refused request was told to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnNotice {
    /// Identifies the request's content.
    pub key: ReturnKey,
    /// Time until the caller is expected.
    pub delay_ms: u32,
}

/// A message from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The state of the sender.
    Heartbeat(Heartbeat),
    /// The sender requests a slot at an engine whose queue the receiver owns.
    RequestSlot(SlotRequest),
    /// The sender cancels a slot request.
    Cancel {
        /// Hash of the engine's name.
        upstream: u32,
        /// The request that is cancelled.
        request_id: PeerRequestId,
    },
    /// The sender grants the receiver the slot that it requested.
    Grant {
        /// The request that is granted.
        request_id: PeerRequestId,
        /// Hash of the engine's name.
        upstream: u32,
    },
    /// The receiver's slot request waits in the queue.
    Queued {
        /// The request that waits.
        request_id: PeerRequestId,
        /// How long the request is expected to wait.
        wait_ms: u32,
    },
    /// The sender releases a slot that the receiver had granted.
    Released {
        /// Hash of the engine's name.
        upstream: u32,
        /// How the slot was used.
        release: SlotRelease,
    },
    /// The sender asks the receiver to charge a request to a customer's quota.
    ChargeRequest(ChargeRequest),
    /// The reply to a charge request.
    ChargeReply {
        /// The charge request.
        request_id: PeerRequestId,
        /// Whether the request was charged.
        charge: ChargeOutcome,
    },
    /// What the sender knows about requests under which upstreams have crashed, for builds that do not
    /// know [`Self::Suspects`].
    SuspectRequests(Vec<ContentUpdate>),
    /// The state of a rollout, its removal, or the sender's evidence about it.
    Rollout(RolloutMessage),
    /// What upstreams have announced about themselves.
    UpstreamNotices(Vec<NoticeUpdate>),
    /// A change of the replica. It is sent only to peers whose heartbeats tell their host, as older
    /// builds can't decode it.
    Spread(SpreadMessage),
    /// Where streams began, for an entry that keeps their records. This and the two below are sent only
    /// to peers whose heartbeats say that they know them.
    StreamOrigins(Vec<OriginRecord>),
    /// The sender asks where a stream began.
    OriginRequest(OriginRequest),
    /// The reply to such a question.
    OriginReply {
        /// The question.
        request_id: PeerRequestId,
        /// What the sender knows.
        reply: OriginReply,
    },
    /// What the sender knows about features of requests under which upstreams have crashed.
    Suspects(Vec<SuspectUpdate>),
    /// The sender asks whether its list of upstreams is the newest. This and the reply are sent only to
    /// peers that know [`REPLICA_AGES_LEVEL`].
    ListQuestion {
        /// When it asks, by a clock of its own.
        asked_ms: u32,
    },
    /// The reply: the sender's list, and how old it was at the time of the question at most.
    ListWord(ListWord),
    /// The sender asks for a retry of the receiver's share. Only builds below [`RETRY_PARTS_LEVEL`] ask; they
    /// may send it too late to be counted, so none is lent.
    BorrowRetry {
        /// Identifies this message in the reply.
        request_id: PeerRequestId,
        /// The service.
        service: Arc<str>,
    },
    /// The reply: whether a retry is lent.
    RetryLent {
        /// The question.
        request_id: PeerRequestId,
        /// Whether the receiver may retry once.
        is_lent: bool,
    },
    /// Incarnations of upstreams that were removed lately and that the sender does not use. Sent only to
    /// peers that know [`REMOVALS_LEVEL`].
    RemovedUpstreams(Vec<Arc<str>>),
    /// The receiver keeps the record that a caller was told to return. This and the two below are sent
    /// only to peers that know [`RETURNS_LEVEL`].
    ExpectReturn(ReturnNotice),
    /// The sender asks whether a waiting request is one that returns as told.
    AskReturn {
        /// Identifies this message in the reply.
        request_id: PeerRequestId,
        /// Identifies the request's content.
        key: ReturnKey,
    },
    /// The reply to such a question.
    ReturnReply {
        /// The question.
        request_id: PeerRequestId,
        /// Whether the caller was told to return about now.
        is_expected: bool,
    },
    /// The sender asks for a part of a retry of the receiver's share. This and the reply are sent only to
    /// peers that know [`RETRY_PARTS_LEVEL`].
    BorrowRetryPart {
        /// Identifies this message in the reply.
        request_id: PeerRequestId,
        /// The service.
        service: Arc<str>,
        /// Thousandths of a retry that the sender lacks.
        wanted_millis: u16,
    },
    /// The reply: how much is lent.
    RetryPartLent {
        /// The question.
        request_id: PeerRequestId,
        /// Thousandths of a retry.
        millis: u16,
    },
    /// The sender received an answer of a limited upstream whose admission queue the receiver owns. It is
    /// sent only to peers that know [`LIMIT_REPORTS_LEVEL`].
    LimitReport {
        /// Hash of the upstream.
        upstream: u32,
        /// What the answer said of the limit.
        report: LimitReport,
    },
}

impl PeerMessage {
    /// Returns what the message is for, as metrics name it.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_message::PeerMessage;
    ///
    /// assert_eq!(PeerMessage::Suspects(Vec::new()).purpose(), "quarantine");
    /// ```
    #[must_use]
    pub fn purpose(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeats",
            Self::RequestSlot(_)
            | Self::Cancel { .. }
            | Self::Grant { .. }
            | Self::Queued { .. }
            | Self::Released { .. } => "slots",
            Self::ChargeRequest(_) | Self::ChargeReply { .. } => "quotas",
            Self::SuspectRequests(_) | Self::Suspects(_) => "quarantine",
            Self::Rollout(_) => "rollouts",
            Self::UpstreamNotices(_) | Self::RemovedUpstreams(_) | Self::LimitReport { .. } => {
                "notices"
            }
            Self::Spread(_) => "changes",
            Self::ListQuestion { .. } | Self::ListWord(_) => "confirmations",
            Self::BorrowRetry { .. }
            | Self::RetryLent { .. }
            | Self::BorrowRetryPart { .. }
            | Self::RetryPartLent { .. } => "retries",
            Self::ExpectReturn(_) | Self::AskReturn { .. } | Self::ReturnReply { .. } => "returns",
            Self::StreamOrigins(_) | Self::OriginRequest(_) | Self::OriginReply { .. } => "streams",
        }
    }

    /// Returns the name under which metrics count the message's bytes by destination.
    ///
    /// ```
    /// use sardinewood::direct::membership::peer_message::PeerMessage;
    ///
    /// let leaving = PeerMessage::RemovedUpstreams(Vec::new());
    /// assert_eq!(leaving.bytes_purpose(), "others");
    /// ```
    #[must_use]
    pub fn bytes_purpose(&self) -> &'static str {
        match self.purpose() {
            "changes" => "updates",
            purpose @ ("heartbeats" | "slots") => purpose,
            _ => "others",
        }
    }

    /// Encodes the message as a datagram, or returns none if it would be too long.
    ///
    /// What older builds do not know follows the message, where they ignore it.
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
        let bytes = postcard::to_extend(self, vec![FORMAT_VERSION]).ok()?;
        let bytes = match self {
            Self::Heartbeat(heartbeat) => encode_heartbeat_extension(heartbeat, bytes)?,
            Self::Spread(message) => postcard::to_extend(&message.revisions.eras(), bytes).ok()?,
            Self::Rollout(message) => postcard::to_extend(&message.position_era(), bytes).ok()?,
            _ => bytes,
        };
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a datagram, or returns none if it isn't a message of this format.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::membership::peer_message::PeerMessage::decode(b"?"), None);
    /// ```
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&FORMAT_VERSION, message) = bytes.split_first()? else {
            return None;
        };
        let (mut message, extension) = postcard::take_from_bytes(message).ok()?;
        match &mut message {
            Self::Heartbeat(heartbeat) => decode_heartbeat_extension(heartbeat, extension),
            Self::Spread(message) => {
                let eras = postcard::from_bytes(extension).unwrap_or_default();
                message.revisions = message.revisions.with_eras(eras);
            }
            Self::Rollout(message) => {
                message.set_position_era(postcard::from_bytes(extension).unwrap_or_default());
            }
            _ => {}
        }
        Some(message)
    }
}

fn encode_heartbeat_extension(heartbeat: &Heartbeat, bytes: Vec<u8>) -> Option<Vec<u8>> {
    let Some(host) = heartbeat.host else {
        return Some(bytes);
    };
    let bytes = postcard::to_extend(&host, bytes).ok()?;
    if !heartbeat.knows_eras {
        return Some(bytes);
    }
    let bytes = postcard::to_extend(&heartbeat.revisions.eras(), bytes).ok()?;
    if heartbeat.message_level == 0 {
        return Some(bytes);
    }
    let bytes = postcard::to_extend(&heartbeat.message_level, bytes).ok()?;
    if heartbeat.message_level < REPLICA_AGES_LEVEL {
        return Some(bytes);
    }
    let bytes = postcard::to_extend(&heartbeat.replica_ages, bytes).ok()?;
    if heartbeat.message_level < ANSWERED_LEVEL {
        return Some(bytes);
    }
    let bytes = postcard::to_extend(&heartbeat.answered_ages, bytes).ok()?;
    if heartbeat.message_level < EXCLUSIONS_LEVEL {
        return Some(bytes);
    }
    postcard::to_extend(&heartbeat.excluded, bytes).ok()
}

fn decode_heartbeat_extension(heartbeat: &mut Heartbeat, extension: &[u8]) {
    let Ok((host, eras)) = postcard::take_from_bytes(extension) else {
        return;
    };
    heartbeat.host = Some(host);
    let Ok((eras, message_level)) = postcard::take_from_bytes(eras) else {
        return;
    };
    heartbeat.revisions = heartbeat.revisions.with_eras(eras);
    heartbeat.knows_eras = true;
    let Ok((message_level, replica_ages)) = postcard::take_from_bytes(message_level) else {
        return;
    };
    heartbeat.message_level = message_level;
    let Ok((replica_ages, answered_ages)) = postcard::take_from_bytes(replica_ages) else {
        return;
    };
    heartbeat.replica_ages = replica_ages;
    let Ok((answered_ages, excluded)) = postcard::take_from_bytes(answered_ages) else {
        return;
    };
    heartbeat.answered_ages = answered_ages;
    heartbeat.excluded = postcard::from_bytes(excluded).unwrap_or_default();
}
