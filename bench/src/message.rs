//! What the processes of a policy tell each other in virtual time.

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
}
