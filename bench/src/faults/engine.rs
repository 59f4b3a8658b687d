//! A small upstream: it begins what it is told to, makes the parts of answers, and, if it
//! is a model engine, can be asked after requests and told to stop them.

use indexmap::IndexMap;
use sardinewood::ids::RequestId;

use super::work::WorkId;

/// Where a request is in the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Parts come.
    Running,
    /// All parts are there.
    Finished,
    /// It was stopped.
    Cancelled,
}

/// One request in the upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRun {
    /// What it is for.
    pub work: WorkId,
    /// How many parts there are.
    pub made: u32,
    /// Where it is.
    pub state: RunState,
}

/// The upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Whether it is the plain service, which can't be asked.
    pub is_service: bool,
    /// Whether it takes connections.
    pub is_up: bool,
    /// Counts its starts.
    pub start: u32,
    /// How long a part takes.
    pub part_ms: u64,
    /// What it knows of.
    pub runs: IndexMap<RequestId, UpstreamRun>,
}

impl Upstream {
    /// An upstream that runs.
    #[must_use]
    pub fn new(is_service: bool) -> Self {
        Self {
            is_service,
            is_up: true,
            start: 1,
            part_ms: 20,
            runs: IndexMap::new(),
        }
    }

    /// Begins a request, unless its id was cancelled before it came. Says whether it did.
    pub fn begin(&mut self, request: RequestId, work: WorkId) -> bool {
        let is_barred = self
            .runs
            .get(&request)
            .is_some_and(|run| run.state == RunState::Cancelled);
        if is_barred {
            return false;
        }
        let run = UpstreamRun {
            work,
            made: 0,
            state: RunState::Running,
        };
        self.runs.insert(request, run);
        true
    }

    /// Makes the next part; the run is finished when all are made.
    pub fn make_part(&mut self, request: RequestId, parts: u32) {
        if let Some(run) = self.runs.get_mut(&request)
            && run.state == RunState::Running
        {
            run.made += 1;
            if run.made >= parts {
                run.state = RunState::Finished;
            }
        }
    }

    /// Stops a request, and bars its id.
    pub fn cancel(&mut self, request: RequestId) {
        let run = self.runs.entry(request).or_insert(UpstreamRun {
            work: WorkId(0),
            made: 0,
            state: RunState::Cancelled,
        });
        if run.state == RunState::Running {
            run.state = RunState::Cancelled;
        }
    }

    /// The requests that run.
    #[must_use]
    pub fn running(&self) -> Vec<RequestId> {
        self.runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Running)
            .map(|(request, _)| *request)
            .collect()
    }

    /// Dies, and forgets everything.
    pub fn kill(&mut self) {
        self.is_up = false;
        self.start += 1;
        self.runs.clear();
    }
}
