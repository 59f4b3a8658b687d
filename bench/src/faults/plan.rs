//! What happens in a run: the load and the faults, drawn from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

use super::work::Path;
use super::work::Work;
use super::work::WorkId;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// An entry dies and is started again.
    EntryKilled,
    /// An agent dies beside its living upstream and is started again.
    AgentKilled,
    /// An entry is stopped for a while and goes on.
    EntryPaused,
    /// An agent is stopped for a while and goes on.
    AgentPaused,
    /// A link breaks, and each end learns of it in its own time.
    LinkCut,
    /// A link carries nothing any more, and no end is told.
    LinkSilent,
    /// An upstream dies and is started again, empty.
    UpstreamKilled,
    /// An upstream is much slower for a while.
    UpstreamSlow,
    /// An upstream is told to leave, and to stay again later.
    UpstreamLeaving,
    /// A host with its agent and its upstream is gone for good.
    HostGone,
    /// A caller goes away.
    CallerGone,
    /// An entry is told to shut down, and is started again.
    EntryShutDown,
    /// The store answers nothing; some writes take effect all the same.
    StoreDown,
    /// The store takes long for each answer.
    StoreSlow,
    /// The store loses some answers.
    StoreForgetful,
    /// The store shows some reads an earlier state.
    StoreStale,
}

/// All kinds of faults.
pub const FAULT_KINDS: [FaultKind; 16] = [
    FaultKind::EntryKilled,
    FaultKind::AgentKilled,
    FaultKind::EntryPaused,
    FaultKind::AgentPaused,
    FaultKind::LinkCut,
    FaultKind::LinkSilent,
    FaultKind::UpstreamKilled,
    FaultKind::UpstreamSlow,
    FaultKind::UpstreamLeaving,
    FaultKind::HostGone,
    FaultKind::CallerGone,
    FaultKind::EntryShutDown,
    FaultKind::StoreDown,
    FaultKind::StoreSlow,
    FaultKind::StoreForgetful,
    FaultKind::StoreStale,
];

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it comes.
    pub at_ms: u64,
    /// What goes wrong.
    pub kind: FaultKind,
    /// Which entry, if it concerns one.
    pub entry: usize,
    /// Which agent or upstream, if it concerns one.
    pub agent: usize,
    /// How long it lasts, if it does not end at once.
    pub lasts_ms: u64,
}

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Agents, each with its upstream; the last two are plain services.
    pub agents: usize,
    /// Requests.
    pub requests: u64,
    /// The pause between two requests, on average.
    pub gap_ms: u64,
    /// The pause between two faults, on average; 0 for none.
    pub fault_gap_ms: u64,
    /// Whether names are claimed and orders kept in the store.
    pub claims: bool,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            entries: 3,
            agents: 6,
            requests: 500,
            gap_ms: 40,
            fault_gap_ms: 700,
            claims: true,
        }
    }
}

/// How many agents stand beside plain services.
pub const SERVICES: usize = 2;

/// The load and the faults of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed of everything that is random in the run.
    pub seed: u64,
    /// How large it is.
    pub size: Size,
    /// What callers want, with the entry that each turns to.
    pub works: Vec<(Work, usize)>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a plan.
    ///
    /// ```
    /// use sardinewood_bench::faults::plan::{Plan, Size};
    ///
    /// let plan = Plan::draw(7, Size { requests: 20, ..Size::default() });
    /// assert_eq!(plan.works.len(), 20);
    /// assert_eq!(plan.faults, Plan::draw(7, plan.size).faults);
    /// ```
    #[must_use]
    pub fn draw(seed: u64, size: Size) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut at_ms = 1_000;
        let mut works = Vec::new();
        for number in 0..size.requests {
            at_ms += random.random_range(0..=size.gap_ms * 2);
            let work = draw_work(&mut random, number, at_ms);
            works.push((work, random.random_range(0..size.entries)));
        }
        let faults = draw_faults(&mut random, size, at_ms);
        Self {
            seed,
            size,
            works,
            faults,
        }
    }
}

fn draw_work(random: &mut StdRng, number: u64, at_ms: u64) -> Work {
    let path = match random.random_range(0..10) {
        0..3 => Path::Service,
        3..7 => Path::Model,
        _ => Path::Stream,
    };
    let often_once = if path == Path::Service { 0.7 } else { 0.3 };
    Work {
        id: WorkId(number),
        at_ms,
        tier: random.random_range(0..4),
        deadline_ms: random.random_range(3_000..12_000),
        non_idempotent: random.random_bool(often_once),
        path,
        parts: random.random_range(1..40),
        is_named: random.random_bool(0.5),
        order: random.random_bool(0.15).then(|| random.random_range(0..4)),
    }
}

fn draw_faults(random: &mut StdRng, size: Size, last_ms: u64) -> Vec<Fault> {
    let mut faults = Vec::new();
    if size.fault_gap_ms == 0 {
        return faults;
    }
    let mut at_ms = 1_000;
    while at_ms < last_ms {
        at_ms += random.random_range(0..=size.fault_gap_ms * 2);
        let kind = FAULT_KINDS[random.random_range(0..FAULT_KINDS.len())];
        // A host that is gone stays gone; one per run leaves enough to work with.
        let is_again = faults
            .iter()
            .any(|fault: &Fault| fault.kind == FaultKind::HostGone);
        if kind == FaultKind::HostGone && is_again {
            continue;
        }
        faults.push(Fault {
            at_ms,
            kind,
            entry: random.random_range(0..size.entries),
            agent: random.random_range(0..size.agents),
            lasts_ms: draw_duration(random),
        });
    }
    faults
}

/// Shorter than a grant's life, longer than it, or longer than a silent link's.
fn draw_duration(random: &mut StdRng) -> u64 {
    match random.random_range(0..3) {
        0 => random.random_range(5..900),
        1 => random.random_range(900..2_500),
        _ => random.random_range(2_500..9_000),
    }
}
