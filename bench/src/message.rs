//! What the processes of a policy tell each other in virtual time.

use sardinewood::agent::events::LinkId;
use sardinewood::ids::AttemptId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::EntryMessage;

use crate::engine_model::EngineEvent;

/// A message on its way, or a timer of the one who sent it to itself.
#[derive(Clone, Debug)]
pub enum Message {
    /// An entry pushes a request to an upstream.
    Push { request: usize, upstream: usize },
    /// An entry takes a pushed request back.
    TakeBack { request: usize, upstream: usize },
    /// An entry finds that it can't reach an upstream.
    Unreachable { request: usize, upstream: usize },
    /// An entry finds that the attempt of a request died with its host.
    Broken { request: usize, upstream: usize },
    /// The whole answer reaches the entry.
    Answer {
        request: usize,
        upstream: usize,
        job: u64,
    },
    /// Upstreams report their load now.
    ReportDue,
    /// A report of load reaches the entries: work there, by upstream.
    Report(Vec<Option<usize>>),
    /// A process beside an engine hears from it.
    AgentHears { upstream: usize, event: EngineEvent },
    /// A message on a link to an agent.
    ToAgent {
        link: LinkId,
        message: Box<EntryMessage>,
    },
    /// A message on a link to an entry.
    ToEntry {
        link: LinkId,
        message: Box<AgentMessage>,
    },
    /// An entry's next timer is due.
    EntryWakes { entry: usize, at_ms: u64 },
    /// An agent looks at the time.
    AgentWakes { upstream: usize },
    /// An entry dials an agent.
    Dial { entry: usize, upstream: usize },
    /// An agent hears hello on a new link.
    Dialled { link: LinkId },
    /// An entry hears hello back.
    LinkOpen { link: LinkId },
    /// An agent sees that a link is closed.
    LinkClosed { link: LinkId },
    /// Nothing may have come from an agent for too long.
    Silent { upstream: usize },
    /// The host list shows that a host is gone.
    HostListed { upstream: usize },
    /// An agent sends its heartbeats.
    HeartbeatDue { upstream: usize },
    /// An engine answers its agent's probe.
    Probed { upstream: usize },
    /// The first part of an answer reaches the entry, which passes it on.
    Passed { attempt: AttemptId },
    /// The entry has acknowledged the whole answer.
    Acknowledged { upstream: usize, attempt: AttemptId },
}
