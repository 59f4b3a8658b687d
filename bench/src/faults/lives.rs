//! Where each request is in its life, so that a run can tell which steps a fault met.

use indexmap::IndexMap;
use sardinewood::ids::RequestId;

use super::plan::Fault;
use super::plan::FaultKind;

/// A step of a request's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// It waits in its entry: for its turn, a grant, or its claim.
    Waits,
    /// Its dispatch is on the way to the upstream.
    Dispatched,
    /// The upstream works on it.
    Runs,
    /// The upstream is done, and its caller has not heard yet.
    Answering,
    /// Its caller has heard; its name and its answer are kept.
    Over,
}

/// All steps, in order.
pub const STEPS: [Step; 5] = [
    Step::Waits,
    Step::Dispatched,
    Step::Runs,
    Step::Answering,
    Step::Over,
];

#[derive(Clone, Copy, Debug)]
struct Life {
    entry: usize,
    agent: Option<usize>,
    step: Step,
}

/// Where the requests of a run are, and which steps were met by which fault.
#[derive(Debug, Default)]
pub struct Lives {
    lives: IndexMap<RequestId, Life>,
    met: IndexMap<(FaultKind, Step), u64>,
}

impl Lives {
    /// A request came to an entry.
    pub fn arrive(&mut self, request: RequestId, entry: usize) {
        let life = Life {
            entry,
            agent: None,
            step: Step::Waits,
        };
        self.lives.insert(request, life);
    }

    /// A request was dispatched to an agent.
    pub fn dispatch(&mut self, request: RequestId, agent: usize) {
        if let Some(life) = self.lives.get_mut(&request) {
            life.agent = Some(agent);
            life.step = Step::Dispatched;
        }
    }

    /// A request reached a step.
    pub fn reach(&mut self, request: RequestId, step: Step) {
        if let Some(life) = self.lives.get_mut(&request) {
            life.step = step;
        }
    }

    /// A fault came.
    pub fn meet(&mut self, fault: Fault) {
        for life in self.lives.values() {
            if concerns(fault, *life) {
                *self.met.entry((fault.kind, life.step)).or_default() += 1;
            }
        }
    }

    /// How many requests at each step each fault met.
    #[must_use]
    pub fn met(&self) -> &IndexMap<(FaultKind, Step), u64> {
        &self.met
    }
}

/// Whether a fault hits something that the request depends on. One that waits may depend
/// on any agent.
fn concerns(fault: Fault, life: Life) -> bool {
    let is_its_entry = life.entry == fault.entry;
    let is_its_agent = life.agent.is_none_or(|agent| agent == fault.agent);
    match fault.kind {
        FaultKind::EntryKilled
        | FaultKind::EntryPaused
        | FaultKind::EntryShutDown
        | FaultKind::CallerGone => is_its_entry,
        FaultKind::LinkCut | FaultKind::LinkSilent => is_its_entry && is_its_agent,
        FaultKind::AgentKilled
        | FaultKind::AgentPaused
        | FaultKind::UpstreamKilled
        | FaultKind::UpstreamSlow
        | FaultKind::UpstreamLeaving
        | FaultKind::HostGone => is_its_agent,
        FaultKind::StoreDown
        | FaultKind::StoreSlow
        | FaultKind::StoreForgetful
        | FaultKind::StoreStale => true,
    }
}
