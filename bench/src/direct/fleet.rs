//! Entries of the direct mode in virtual time. They decide by the modules that ship; messages,
//! engines and callers are modelled.

mod admission;
mod callers;
mod deadly;
mod need;
mod returns;
mod runs;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::load_policy::LoadPolicy;
use sardinewood::direct::membership::gossip;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_table::PeerTable;
use sardinewood::direct::notices::upstream_notices::UpstreamNotices;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::health::AttemptOutcome;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::quarantine::feature::Feature;
use sardinewood::direct::quarantine::recent_survivals::RecentSurvivals;
use sardinewood::direct::quarantine::suspects::CrashedRun;
use sardinewood::direct::quarantine::suspects::Suspects;
use sardinewood::direct::sharing::admission::AdmissionController;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::return_order::ExpectedReturns;
use sardinewood::direct::sharing::return_order::ReturnOrder;
use sardinewood::direct::sharing::size_fairness::SizeFairness;
use sardinewood::direct::sharing::size_stats::SizeClass;
use sardinewood::direct::sharing::size_stats::SizeStats;
use sardinewood::direct::store_view::directory::Upstream;
use sardinewood::store::position::StorePosition;

pub use self::deadly::DeadlyOutcome;
pub use self::need::Need;
use super::engine::Engine;
use super::load::Mix;
use super::load::Offer;
use super::load::Offered;
use super::load::Pattern;
use crate::entry_address;

/// Delay of a message between two hosts of a region.
const ROUND_TRIP_MS: u64 = 1;
/// Port of all entries.
const PORT: u16 = 7_000;
const SERVICE: &str = "pool";

/// The mechanism that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// None.
    Shipped,
    /// Admission queues: each entry chooses by the loads that peers report.
    WithoutAdmissionQueues,
    /// Order by worth: admission queues grant in order of arrival.
    WithoutOrder,
    /// Sizes and lengths that callers state.
    WithoutSizes,
    /// Retries of refused callers.
    WithoutReturns,
    /// The quarantine of requests under which engines crashed.
    WithoutQuarantine,
    /// Notices of engines.
    WithoutNotices,
    /// None; retry delays are ordered and returning requests go first.
    OrderReturns,
    /// None; requests that can't be in time yield to those that can.
    SkipLateStarts,
    /// None; both of these.
    HardLoad,
}

impl Variant {
    /// All variants and their names.
    pub const ALL: [(&'static str, Self); 10] = [
        ("shipped", Self::Shipped),
        ("without-doors", Self::WithoutAdmissionQueues),
        ("without-order", Self::WithoutOrder),
        ("without-sizes", Self::WithoutSizes),
        ("without-returns", Self::WithoutReturns),
        ("without-quarantine", Self::WithoutQuarantine),
        ("without-notices", Self::WithoutNotices),
        ("order-returns", Self::OrderReturns),
        ("skip-late-starts", Self::SkipLateStarts),
        ("hard-load", Self::HardLoad),
    ];

    /// Returns the optional decisions under load that entries make.
    #[must_use]
    pub fn load_policy(self) -> LoadPolicy {
        LoadPolicy {
            orders_returns: matches!(self, Self::OrderReturns | Self::HardLoad),
            skips_late_starts: matches!(self, Self::SkipLateStarts | Self::HardLoad),
            ..LoadPolicy::default()
        }
    }
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines. Every third is 4.4 times slower than the others.
    pub engines: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Offered load outside bursts, as a share of the engines' capacity.
    pub load: f64,
    /// The mix of request kinds.
    pub mix: &'static Mix,
    /// The pattern of arrivals.
    pub pattern: Pattern,
    /// Time for which callers send requests.
    pub for_ms: u64,
    /// Share of messages that are lost.
    pub lost_part: f64,
    /// Whether an entry is killed every two seconds.
    pub has_kills: bool,
    /// Time between two attempts of a deadly request, if there is one.
    pub deadly_every_ms: Option<u64>,
    /// Whether these attempts are different requests that share a part of their prompts.
    pub has_deadly_part: bool,
    /// The notice that some engines send for a time, if any.
    pub need: Option<Need>,
    /// The mechanism that is disabled.
    pub variant: Variant,
}

impl Setup {
    /// Time before the first request, in which entries discover each other.
    pub const QUIET_MS: u64 = 5_000;

    fn slowness(number: usize) -> f64 {
        if number % 3 == 2 { 3.0 } else { 0.68 }
    }

    /// Returns the capacity of all engines: slot milliseconds at speed 1 per millisecond.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        (0..self.engines)
            .map(|number| f64::from(self.slots) / Self::slowness(number))
            .sum()
    }

    /// Returns the load that callers offer.
    #[must_use]
    pub fn offer(&self) -> Offer {
        Offer {
            mix: self.mix,
            load: self.load,
            capacity: self.capacity(),
            from_ms: Self::QUIET_MS,
            to_ms: Self::QUIET_MS + self.for_ms,
            entries: self.entries,
            pattern: self.pattern,
        }
    }
}

/// The outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Complete, with the first event in time.
    InTime,
    /// Complete, with the first event late.
    Late,
    /// Cut at its deadline.
    Cut,
    /// Refused as not run.
    Refused,
    /// Lost with its entry or engine.
    Lost,
}

/// Outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Outcomes of each request. More than one would be more than one answer.
    pub ends: Vec<Vec<End>>,
    /// Maximum number of concurrent requests at any engine.
    pub most_at_engine: usize,
    /// The same in the last quarter of the run.
    pub most_at_engine_late: usize,
    /// Outcome of the deadly request.
    pub deadly: DeadlyOutcome,
    /// For each request, whether its caller was refused and told to return.
    pub was_told: Vec<bool>,
    /// For each request, whether it was started when its entry took it to be late.
    pub was_late_at_start: Vec<bool>,
    /// For each request, whether the first event came in time, counted from its caller's last attempt.
    pub last_attempt_in_time: Vec<bool>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Offer {
        request: usize,
        is_return: bool,
    },
    Deliver {
        to: usize,
        from: usize,
        message: PeerMessage,
    },
    Silence {
        request: usize,
        incarnation: u64,
    },
    Look {
        request: usize,
        incarnation: u64,
    },
    WaitOver {
        request: usize,
        incarnation: u64,
    },
    Reach {
        run: usize,
    },
    First {
        run: usize,
    },
    Last {
        run: usize,
    },
    TimeUp {
        run: usize,
    },
    Heartbeat {
        entry: usize,
    },
    Kill,
    Restart {
        entry: usize,
    },
    LoseEngines,
    ReturnEngines,
    EndEngine {
        run: usize,
    },
    Survived {
        run: usize,
    },
    EngineBack {
        engine: usize,
    },
    Proven {
        entry: usize,
        upstream: u32,
        features: Vec<Feature>,
        content: u8,
        trial_claim: Option<u32>,
        began_ms: u64,
        broke_at_ms: u64,
    },
    RetryPolicy {
        entry: usize,
    },
    RateAllows {
        entry: usize,
    },
    EndLeaving,
}

struct Entry {
    incarnation: u64,
    is_up: bool,
    sequence: u64,
    dispatcher: Dispatcher,
    admission: AdmissionController,
    peers: PeerTable,
    asks: IndexMap<PeerRequestId, (usize, Arc<str>, EntryRef)>,
    waiting: IndexMap<usize, SlotSearch>,
    sizes: SizeStats,
    floor: SizeFairness,
    suspects: Suspects,
    survivals: RecentSurvivals,
    notices: UpstreamNotices,
    rate_wakeup_at_ms: Option<u64>,
    return_order: ReturnOrder,
    expected_returns: ExpectedReturns,
    return_questions: IndexMap<PeerRequestId, usize>,
}

struct Run {
    request: usize,
    entry: usize,
    engine: usize,
    is_granted: bool,
    /// Until when the first event meets the objective of the caller's last attempt.
    objective_at_ms: u64,
    since_ms: u64,
    first_at_ms: Option<u64>,
    is_over: bool,
}

/// State of one run.
pub struct Fleet {
    setup: Setup,
    now_ms: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    bodies: Vec<Option<Event>>,
    random: StdRng,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    upstreams: Vec<Arc<Upstream>>,
    /// Upstreams that are listed.
    listed: Vec<Arc<Upstream>>,
    /// Engines that have crashed and not restarted.
    gone: Vec<usize>,
    offered: Vec<Offered>,
    /// Index of the first deadly request; they follow all others.
    first_deadly: usize,
    /// Claims of trials, by request.
    trial_claims: IndexMap<usize, u32>,
    returned: Vec<bool>,
    size_classes: Vec<SizeClass>,
    runs: Vec<Run>,
    outcome: Outcome,
}

fn address(entry: usize) -> SocketAddr {
    entry_address::address(entry, PORT)
}

impl Fleet {
    /// Creates a fleet before its first event.
    #[must_use]
    pub fn new(setup: Setup, seed: u64) -> Self {
        let upstreams: Vec<Arc<Upstream>> = (0..setup.engines)
            .map(|number| {
                Arc::new(Upstream {
                    instance: format!("i-{number}").into(),
                    name: format!("i-{number}").into(),
                    born_ms: None,
                    service: SERVICE.into(),
                    address: SocketAddr::from(([10, 1, 0, 1], 80)),
                    data_centre: "hall".into(),
                    slots: setup.slots,
                    version: "v1".into(),
                    revision: StorePosition::new(0, 1),
                    is_leaving: false,
                })
            })
            .collect();
        let mut offered = setup.offer().draw(seed);
        let first_deadly = offered.len();
        if let Some(every_ms) = setup.deadly_every_ms {
            offered.extend(Self::draw_deadly(&setup, every_ms));
        }
        let slots = usize::try_from(setup.slots).unwrap_or(usize::MAX);
        let mut fleet = Self {
            setup,
            now_ms: 0,
            order: 0,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            random: StdRng::seed_from_u64(seed ^ 0x5eed),
            entries: Vec::new(),
            engines: (0..setup.engines)
                .map(|number| Engine::new(slots, Setup::slowness(number)))
                .collect(),
            listed: upstreams.clone(),
            upstreams,
            returned: vec![false; offered.len()],
            size_classes: vec![SizeClass::Usual; offered.len()],
            outcome: Outcome {
                ends: vec![Vec::new(); offered.len()],
                was_told: vec![false; offered.len()],
                was_late_at_start: vec![false; offered.len()],
                last_attempt_in_time: vec![false; offered.len()],
                ..Outcome::default()
            },
            gone: Vec::new(),
            offered,
            first_deadly,
            trial_claims: IndexMap::new(),
            runs: Vec::new(),
        };
        fleet.begin();
        fleet
    }

    /// Returns the requests of the run, without the deadly ones.
    #[must_use]
    pub fn offered(&self) -> &[Offered] {
        &self.offered[..self.first_deadly]
    }

    fn begin(&mut self) {
        for entry in 0..self.setup.entries {
            let entry_state = self.started(entry, 1);
            self.entries.push(entry_state);
            self.at(first_heartbeat_ms(entry), Event::Heartbeat { entry });
            if self.setup.deadly_every_ms.is_some() {
                let first_ms = entry as u64 % gossip::RESEND_INTERVAL_MS;
                self.at(first_ms, Event::RetryPolicy { entry });
            }
        }
        for request in 0..self.offered.len() {
            let at_ms = self.offered[request].at_ms;
            self.at(
                at_ms,
                Event::Offer {
                    request,
                    is_return: false,
                },
            );
        }
        if self.setup.has_kills {
            for second in (1..self.setup.for_ms / 1_000).step_by(2) {
                self.at(Setup::QUIET_MS + second * 1_000, Event::Kill);
            }
        }
        if self.setup.pattern == Pattern::HalfLost {
            let (from_ms, to_ms) = self.setup.offer().middle_ms();
            self.at(from_ms, Event::LoseEngines);
            self.at(to_ms, Event::ReturnEngines);
        }
        if self.setup.need == Some(Need::Leaving) {
            let (_, to_ms) = self.setup.offer().middle_ms();
            self.at(to_ms, Event::EndLeaving);
        }
    }

    /// Creates the state of an entry that has just started and knows the seeds' addresses.
    fn started(&self, entry: usize, incarnation: u64) -> Entry {
        let mut dispatcher = Dispatcher::default();
        dispatcher.set_upstreams(&self.upstreams);
        let mut admission = AdmissionController::default();
        let policy = self.setup.variant.load_policy();
        dispatcher.set_places_by_length(policy.skips_late_starts);
        admission.set_skips_late_starts(policy.skips_late_starts);
        let engines = self.upstreams.iter();
        admission.set_upstreams(engines.map(|up| (Arc::clone(&up.instance), up.slots)));
        let seeds = [address(0), address(self.setup.entries / 2)];
        Entry {
            incarnation,
            is_up: true,
            sequence: 0,
            dispatcher,
            admission,
            peers: PeerTable::new(address(entry), &seeds),
            asks: IndexMap::new(),
            waiting: IndexMap::new(),
            sizes: SizeStats::default(),
            floor: SizeFairness::default(),
            suspects: Suspects::default(),
            survivals: RecentSurvivals::new(entry as u64),
            notices: UpstreamNotices::default(),
            rate_wakeup_at_ms: None,
            return_order: ReturnOrder::default(),
            expected_returns: ExpectedReturns::default(),
            return_questions: IndexMap::new(),
        }
    }

    /// Runs until the last request has ended.
    #[must_use]
    pub fn play(mut self) -> Outcome {
        let late_from_ms = Setup::QUIET_MS + self.setup.for_ms * 3 / 4;
        let end_ms = Setup::QUIET_MS + self.setup.for_ms + 20_000;
        let mut is_late = false;
        while let Some(Reverse((at_ms, _, body))) = self.events.pop() {
            if at_ms > end_ms {
                break;
            }
            if at_ms >= late_from_ms && !is_late {
                is_late = true;
                for engine in &mut self.engines {
                    self.outcome.most_at_engine = self.outcome.most_at_engine.max(engine.most);
                    engine.most = 0;
                }
            }
            self.now_ms = at_ms;
            if let Some(event) = self.bodies[body].take() {
                self.take(event);
            }
        }
        let most = self.engines.iter().map(|engine| engine.most).max();
        self.outcome.most_at_engine_late = most.unwrap_or_default();
        self.outcome.most_at_engine = self
            .outcome
            .most_at_engine
            .max(self.outcome.most_at_engine_late);
        self.outcome
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.order += 1;
        self.bodies.push(Some(event));
        let body = self.bodies.len() - 1;
        self.events.push(Reverse((at_ms, self.order, body)));
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        if self.random.random::<f64>() < self.setup.lost_part {
            return;
        }
        let event = Event::Deliver {
            to: entry_address::number(to),
            from,
            message,
        };
        self.at(self.now_ms + ROUND_TRIP_MS, event);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Offer { request, is_return } => self.arrive(request, is_return),
            Event::Deliver { to, from, message } => self.receive(to, from, message),
            Event::Silence {
                request,
                incarnation,
            } => self.handle_timeout(request, incarnation),
            Event::Look {
                request,
                incarnation,
            } => self.look(request, incarnation),
            Event::WaitOver {
                request,
                incarnation,
            } => self.wait_over(request, incarnation),
            Event::Reach { run } => self.reach(run),
            Event::First { run } => self.first(run),
            Event::Last { run } => self.last(run),
            Event::TimeUp { run } => self.end_run(run, AttemptOutcome::Failed, End::Cut),
            Event::Heartbeat { entry } => self.heartbeat(entry),
            Event::Kill => self.kill(),
            Event::Restart { entry } => {
                let incarnation = self.entries[entry].incarnation + 1;
                self.entries[entry] = self.started(entry, incarnation);
                self.heartbeat(entry);
            }
            Event::LoseEngines => self.lose_engines(),
            Event::ReturnEngines => self.list_engines(),
            Event::EndEngine { run } => self.end_engine(run),
            Event::EngineBack { engine } => self.engine_back(engine),
            Event::Proven {
                entry,
                upstream,
                features,
                content,
                trial_claim,
                began_ms,
                broke_at_ms,
            } => {
                let run = CrashedRun {
                    features,
                    content,
                    started_at_ms: began_ms,
                    trial_claim,
                };
                self.proven(entry, upstream, run, broke_at_ms);
            }
            Event::Survived { run } => self.survived(run),
            Event::RetryPolicy { entry } => self.repeat_suspects(entry),
            Event::RateAllows { entry } => self.rate_allows(entry),
            Event::EndLeaving => self.end_leaving(),
        }
    }
}

/// Returns when an entry sends its first heartbeat. Entries start at slightly different times.
fn first_heartbeat_ms(entry: usize) -> u64 {
    const WITHIN_MS: u64 = 50;
    (entry as u64).wrapping_mul(7) % WITHIN_MS
}
