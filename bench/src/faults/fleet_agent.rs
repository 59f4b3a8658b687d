//! An agent of the fleet: the real decisions, and what carries its calls, in virtual time.

use bytes::Bytes;
use indexmap::IndexMap;
use sardinewood::agent::answer_buffer::AnswerBuffer;
use sardinewood::agent::events::CallProgress;
use sardinewood::agent::events::CancelCause;
use sardinewood::agent::events::LinkId;
use sardinewood::agent::state::AgentLimits;
use sardinewood::agent::state::AgentState;
use sardinewood::config::objects::Upstream;
use sardinewood::ids::AttemptId;
use sardinewood::ids::Incarnation;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::EntryMessage;
use sardinewood::store::position::StorePosition;
use sardinewood::upstream::report::Found;
use sardinewood::upstream::report::Probe;

use super::process::Process;
use super::work::WorkId;

/// What reaches an agent.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// An entry opened a link.
    LinkUp { link: u64 },
    /// A link is gone.
    LinkLost { link: u64 },
    /// A message from an entry.
    Message { link: u64, message: EntryMessage },
    /// The upstream's object at a revision of the configuration.
    Object {
        revision: StorePosition,
        object: Upstream,
    },
    /// The process is told to end.
    ShutDown,
    /// The upstream said something about a call.
    Call { attempt: AttemptId, news: CallNews },
    /// The upstream answered a probe.
    Probed(Probe),
    /// The upstream said what became of a request.
    Found { attempt: AttemptId, found: Found },
    /// Time has passed.
    Tick,
}

/// What the upstream said about a call.
#[derive(Clone, Debug)]
pub enum CallNews {
    /// It takes no connections.
    Refused,
    /// So many parts of the answer are there, of so many.
    Made { work: WorkId, made: u32, parts: u32 },
    /// The connection broke.
    Broke,
    /// What the call came to.
    Over(AnswerEnd),
    /// A cancellation is confirmed.
    Cancelled(CancelCause),
}

/// The answer of one attempt in an agent.
#[derive(Debug)]
pub struct Pump {
    /// The bytes.
    pub log: AnswerBuffer,
    /// The link that they go to.
    pub link: Option<u64>,
    /// How many parts were read.
    pub read: u32,
    /// Whether the head went to the present link.
    pub is_head_sent: bool,
    /// Whether anything ever went to a link.
    pub has_begun: bool,
    /// How it ended.
    pub end: Option<AnswerEnd>,
    /// Whether the end went to the present link.
    pub is_end_sent: bool,
}

/// Unacknowledged bytes after which an agent reads no further; more than any answer here.
const WINDOW_BYTES: u64 = 1 << 20;

impl Pump {
    /// A pump that has read nothing.
    #[must_use]
    pub fn new(link: Option<u64>, buffer_whole: bool) -> Self {
        Self {
            log: AnswerBuffer::new(WINDOW_BYTES, buffer_whole),
            link,
            read: 0,
            is_head_sent: false,
            has_begun: false,
            end: None,
            is_end_sent: false,
        }
    }

    /// The frames that can go out now.
    pub fn frames(&mut self, attempt: AttemptId) -> Vec<AgentMessage> {
        let mut frames = Vec::new();
        if !self.is_head_sent && self.log.len_bytes() > 0 {
            self.is_head_sent = true;
            frames.push(AgentMessage::Head {
                attempt,
                status: 200,
                headers: Vec::new(),
            });
        }
        while let Some((offset_bytes, bytes)) = self.log.next_unsent() {
            self.log.mark_sent();
            frames.push(AgentMessage::Data {
                attempt,
                offset_bytes,
                bytes,
            });
        }
        if let Some(end) = self.end.clone().filter(|_| !self.is_end_sent) {
            self.is_end_sent = true;
            frames.push(AgentMessage::End { attempt, end });
        }
        frames
    }

    /// Takes the next parts of the answer in.
    pub fn read(&mut self, parts: impl Iterator<Item = Bytes>) -> u32 {
        let mut count = 0;
        for part in parts {
            self.log.append(part);
            self.read += 1;
            count += 1;
        }
        count
    }

    /// Sends from an offset on another link.
    pub fn attach(&mut self, link: u64, from_bytes: u64) -> bool {
        let from_bytes = from_bytes.min(self.log.len_bytes());
        if self.log.rewind(from_bytes).is_err() {
            return false;
        }
        self.link = Some(link);
        self.is_head_sent = false;
        self.is_end_sent = false;
        true
    }
}

/// An agent.
#[derive(Debug)]
pub struct FleetAgent {
    /// Whether it runs.
    pub process: Process<AgentInput>,
    /// Its decisions.
    pub state: AgentState,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The answers that it carries.
    pub pumps: IndexMap<AttemptId, Pump>,
    /// The object of its upstream, as the agent knows it.
    pub object: Upstream,
    /// The newest revision that it knows. The configuration of a process never goes back.
    pub revision: StorePosition,
}

impl FleetAgent {
    /// An agent that has just started.
    #[must_use]
    pub fn new(object: Upstream, incarnation: Incarnation) -> Self {
        Self {
            process: Process::default(),
            state: AgentState::new(incarnation, AgentLimits::default()),
            incarnation,
            pumps: IndexMap::new(),
            object,
            revision: StorePosition::default(),
        }
    }

    /// Starts it again, with nothing remembered.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.state = AgentState::new(incarnation, AgentLimits::default());
        self.incarnation = incarnation;
        self.pumps.clear();
        self.revision = StorePosition::default();
        self.process.condition = super::process::Condition::Running;
    }
}

/// The name of a link as the decisions know it.
#[must_use]
pub fn link_id(link: u64) -> LinkId {
    LinkId(link)
}

/// The report about the first of the parts that were read.
#[must_use]
pub fn first_part() -> CallProgress {
    CallProgress::FirstToken { after_us: 20_000 }
}
