//! Entries of the direct mode in virtual time: the decisions that ship, and around them
//! messages that take a millisecond, engines, and callers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::asking::ANSWER_WITHIN_MS;
use sardinewood::direct::asking::Asking;
use sardinewood::direct::asking::Next;
use sardinewood::direct::directory::Upstream;
use sardinewood::direct::dispatch::Dispatcher;
use sardinewood::direct::dispatch::short_name;
use sardinewood::direct::door;
use sardinewood::direct::door::Ask;
use sardinewood::direct::door::AskId;
use sardinewood::direct::door::Asker;
use sardinewood::direct::door::Doors;
use sardinewood::direct::health::Ended;
use sardinewood::direct::job::Job;
use sardinewood::direct::peer_message::Heartbeat;
use sardinewood::direct::peer_message::Message;
use sardinewood::direct::peer_table::PeerTable;
use sardinewood::direct::report::RunningPart;
use sardinewood::numbers;

use super::engine::Engine;
use super::load::Offer;
use super::load::Offered;
use super::load::Pattern;
use super::load::STEP_MS;

/// Time of a message between two hosts of a region.
const WAY_MS: u64 = 1;
/// Tokens in one event of a stream.
const EVENT_TOKENS: f64 = 5.0;
/// How long a killed entry is away.
const AWAY_MS: u64 = 1_000;
/// Callers leave after this time without a first event.
const PATIENCE_MS: u64 = 2_400;
/// How often a waiting request looks for room where entries know loads only.
const LOOK_MS: u64 = 10;
/// Unit of worth in questions to doors.
const EQUAL_WORTH: u32 = 1_000;
const SERVICE: &str = "pool";

/// Which mechanism is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// None: what ships.
    Shipped,
    /// Doors: each entry goes by the loads that peers tell.
    WithoutDoors,
    /// Order by worth: doors grant who asked first.
    WithoutOrder,
    /// What callers say of sizes and lengths.
    WithoutSizes,
    /// A second try by callers that were refused.
    WithoutReturns,
}

impl Variant {
    /// All variants and their names.
    pub const ALL: [(&'static str, Self); 5] = [
        ("shipped", Self::Shipped),
        ("without-doors", Self::WithoutDoors),
        ("without-order", Self::WithoutOrder),
        ("without-sizes", Self::WithoutSizes),
        ("without-returns", Self::WithoutReturns),
    ];
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Entries.
    pub entries: usize,
    /// Engines; every third is 4.4 times slower than the others, as on the users' sites.
    pub engines: usize,
    /// Requests at a time at each engine.
    pub slots: u32,
    /// Part of the engines' capacity that is offered outside bursts.
    pub load: f64,
    /// How it comes.
    pub pattern: Pattern,
    /// How long callers send.
    pub for_ms: u64,
    /// Part of all messages that are lost.
    pub lost_part: f64,
    /// Whether an entry is killed every two seconds.
    pub has_kills: bool,
    /// Which mechanism is taken out.
    pub variant: Variant,
}

impl Setup {
    /// Time for entries to hear of each other before load begins.
    pub const QUIET_MS: u64 = 5_000;

    fn slowness(number: usize) -> f64 {
        if number % 3 == 2 { 3.0 } else { 0.68 }
    }

    /// Slot time of speed 1 that the engines have in a millisecond.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        (0..self.engines)
            .map(|number| f64::from(self.slots) / Self::slowness(number))
            .sum()
    }

    /// What callers send.
    #[must_use]
    pub fn offer(&self) -> Offer {
        Offer {
            load: self.load,
            capacity: self.capacity(),
            from_ms: Self::QUIET_MS,
            to_ms: Self::QUIET_MS + self.for_ms,
            entries: self.entries,
            pattern: self.pattern,
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Whole, its first event in time.
    InTime,
    /// Whole, its first event late.
    Late,
    /// Its time was up in the middle.
    Cut,
    /// Told that it has not run.
    Refused,
    /// Its entry or engine was lost.
    Lost,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// How each request ended; several ends would be several answers.
    pub ends: Vec<Vec<End>>,
    /// The most that any engine had at a time.
    pub most_at_engine: usize,
    /// The same in the last quarter of the run.
    pub most_at_engine_late: usize,
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
        message: Message,
    },
    Silence {
        request: usize,
        life: u64,
    },
    Look {
        request: usize,
        life: u64,
    },
    WaitOver {
        request: usize,
        life: u64,
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
}

struct Entry {
    life: u64,
    is_up: bool,
    sequence: u64,
    dispatcher: Dispatcher,
    doors: Doors,
    peers: PeerTable,
    asks: IndexMap<AskId, (usize, Arc<str>, Asker)>,
    waiting: IndexMap<usize, Asking>,
}

struct Run {
    request: usize,
    entry: usize,
    engine: usize,
    is_granted: bool,
    since_ms: u64,
    first_at_ms: Option<u64>,
    is_over: bool,
}

/// The fleet of one run.
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
    offered: Vec<Offered>,
    returned: Vec<bool>,
    runs: Vec<Run>,
    outcome: Outcome,
}

fn address(entry: usize) -> SocketAddr {
    let [high, low] = u16::try_from(entry).unwrap_or(u16::MAX).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let octets = address.ip().octets();
            u16::from_be_bytes([octets[2], octets[3]]).into()
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Fleet {
    /// A fleet that has not begun.
    #[must_use]
    pub fn new(setup: Setup, seed: u64) -> Self {
        let upstreams: Vec<Arc<Upstream>> = (0..setup.engines)
            .map(|number| {
                Arc::new(Upstream {
                    instance: format!("i-{number}").into(),
                    service: SERVICE.into(),
                    address: SocketAddr::from(([10, 1, 0, 1], 80)),
                    data_centre: "hall".into(),
                    slots: setup.slots,
                    is_leaving: false,
                })
            })
            .collect();
        let offered = setup.offer().draw(seed);
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
            upstreams,
            returned: vec![false; offered.len()],
            outcome: Outcome {
                ends: vec![Vec::new(); offered.len()],
                ..Outcome::default()
            },
            offered,
            runs: Vec::new(),
        };
        fleet.begin();
        fleet
    }

    /// The requests of the run.
    #[must_use]
    pub fn offered(&self) -> &[Offered] {
        &self.offered
    }

    fn begin(&mut self) {
        for entry in 0..self.setup.entries {
            let entry_state = self.started(entry, 1);
            self.entries.push(entry_state);
            self.at(first_heartbeat_ms(entry), Event::Heartbeat { entry });
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
    }

    /// An entry that has just started; it knows the first entry's address.
    fn started(&self, entry: usize, life: u64) -> Entry {
        let mut dispatcher = Dispatcher::default();
        dispatcher.set_upstreams(&self.upstreams);
        let mut doors = Doors::default();
        let engines = self.upstreams.iter();
        doors.set_engines(engines.map(|up| (Arc::clone(&up.instance), up.slots)));
        let seeds = [address(0), address(self.setup.entries / 2)];
        Entry {
            life,
            is_up: true,
            sequence: 0,
            dispatcher,
            doors,
            peers: PeerTable::new(address(entry), &seeds),
            asks: IndexMap::new(),
            waiting: IndexMap::new(),
        }
    }

    /// Plays to the end of the last request.
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

    fn tell(&mut self, from: usize, to: SocketAddr, message: Message) {
        if self.random.random::<f64>() < self.setup.lost_part {
            return;
        }
        let event = Event::Deliver {
            to: number(to),
            from,
            message,
        };
        self.at(self.now_ms + WAY_MS, event);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Offer { request, is_return } => self.arrive(request, is_return),
            Event::Deliver { to, from, message } => self.hear(to, from, message),
            Event::Silence { request, life } => self.silence(request, life),
            Event::Look { request, life } => self.look(request, life),
            Event::WaitOver { request, life } => self.wait_over(request, life),
            Event::Reach { run } => self.reach(run),
            Event::First { run } => self.first(run),
            Event::Last { run } => self.last(run),
            Event::TimeUp { run } => self.end_run(run, Ended::Failed, End::Cut),
            Event::Heartbeat { entry } => self.heartbeat(entry),
            Event::Kill => self.kill(),
            Event::Restart { entry } => {
                let life = self.entries[entry].life + 1;
                self.entries[entry] = self.started(entry, life);
                self.heartbeat(entry);
            }
            Event::LoseEngines => self.lose_engines(),
            Event::ReturnEngines => self.list_engines(),
        }
    }
}

/// Entries start within a short time of each other, and their heartbeats fall apart.
fn first_heartbeat_ms(entry: usize) -> u64 {
    const WITHIN_MS: u64 = 50;
    (entry as u64).wrapping_mul(7) % WITHIN_MS
}

/// Callers.
impl Fleet {
    fn job(&self, request: usize) -> Job {
        let offered = &self.offered[request];
        let kind = offered.kind();
        let usual_ms = kind.output_tokens + kind.prompt_tokens / 100.0;
        let hold = f64::from(offered.hint_tokens) + f64::from(offered.prompt_tokens) / 100.0;
        let knows_sizes = self.setup.variant != Variant::WithoutSizes;
        let known = |size: f64| if knows_sizes { size } else { 1.0 };
        Job {
            id: request as u64,
            service: SERVICE.into(),
            tier: kind.tier,
            customer_tier: 0,
            prompt_tokens: offered.prompt_tokens,
            expected_output_tokens: knows_sizes.then_some(offered.hint_tokens),
            relative_size: known(offered.relative_size()),
            relative_hold: known(hold / usual_ms),
            arrived_ms: self.now_ms,
            objective_at_ms: self.now_ms + kind.objective_ms,
            give_up_at_ms: offered.at_ms + kind.deadline_ms,
            leaves_at_ms: self.now_ms + PATIENCE_MS,
            tried: Vec::new(),
        }
    }

    fn arrive(&mut self, request: usize, is_return: bool) {
        // The balancer leads a caller to another entry if its own is away, and one that
        // comes back always.
        let shift = usize::from(is_return);
        let up = (0..self.entries.len())
            .map(|step| (self.offered[request].entry + shift + step) % self.entries.len())
            .find(|entry| self.entries[*entry].is_up);
        let Some(entry) = up else {
            self.outcome.ends[request].push(End::Lost);
            return;
        };
        self.offered[request].entry = entry;
        let job = self.job(request);
        let until_ms = job.waits_until_ms();
        let life = self.entries[entry].life;
        let asking = Asking::new(job);
        self.entries[entry].waiting.insert(request, asking);
        self.at(until_ms, Event::WaitOver { request, life });
        if self.setup.variant == Variant::WithoutDoors {
            self.look(request, life);
            return;
        }
        let now_ms = self.now_ms;
        let random = &mut self.random;
        let state = &mut self.entries[entry];
        let next = state.waiting[&request].begin(&state.dispatcher, now_ms, || random.random());
        self.carry_out(entry, request, next);
        self.at(now_ms + ANSWER_WITHIN_MS, Event::Silence { request, life });
    }

    /// Whether the request still waits in that life of its entry.
    fn waits(&self, request: usize, life: u64) -> bool {
        let entry = &self.entries[self.offered[request].entry];
        entry.is_up && entry.life == life && entry.waiting.contains_key(&request)
    }

    fn silence(&mut self, request: usize, life: u64) {
        if !self.waits(request, life) {
            return;
        }
        let entry = self.offered[request].entry;
        let now_ms = self.now_ms;
        let random = &mut self.random;
        let state = &mut self.entries[entry];
        let next = state.waiting[&request].silence(&state.dispatcher, now_ms, || random.random());
        self.carry_out(entry, request, next);
        self.at(now_ms + ANSWER_WITHIN_MS, Event::Silence { request, life });
    }

    /// Looks for room by the loads that peers have told.
    fn look(&mut self, request: usize, life: u64) {
        if !self.waits(request, life) {
            return;
        }
        let entry = self.offered[request].entry;
        let now_ms = self.now_ms;
        let random = &mut self.random;
        let state = &self.entries[entry];
        let job = &state.waiting[&request].job;
        let draw = || usize::from(random.random::<u16>());
        let chosen = state.dispatcher.choose(job, &[], now_ms, draw);
        let roomy = chosen.filter(|up| state.dispatcher.has_room(&up.instance, now_ms));
        match roomy {
            Some(upstream) => self.start(entry, request, &upstream.instance, false),
            None => self.at(now_ms + LOOK_MS, Event::Look { request, life }),
        }
    }

    fn wait_over(&mut self, request: usize, life: u64) {
        if self.waits(request, life) {
            self.refuse(request);
        }
    }

    fn refuse(&mut self, request: usize) {
        let entry = self.offered[request].entry;
        let Some(asking) = self.entries[entry].waiting.get(&request) else {
            return;
        };
        let comes_back_ms = self.now_ms + asking.job.retry_after_ms(self.now_ms);
        self.stop_waiting(entry, request);
        let may_return = !self.returned[request] && self.setup.variant != Variant::WithoutReturns;
        if may_return {
            self.returned[request] = true;
            self.at(
                comes_back_ms,
                Event::Offer {
                    request,
                    is_return: true,
                },
            );
        } else {
            self.outcome.ends[request].push(End::Refused);
        }
    }

    fn stop_waiting(&mut self, entry: usize, request: usize) {
        if let Some(mut asking) = self.entries[entry].waiting.swap_remove(&request) {
            let next = asking.end();
            self.carry_out(entry, request, next);
        }
    }

    fn carry_out(&mut self, entry: usize, request: usize, all: Vec<Next>) {
        for next in all {
            match next {
                Next::Ask { id, instance } => self.ask(entry, request, id, &instance),
                Next::TakeBack { id, instance } => self.take_back(entry, id, &instance),
                Next::GoUnasked { instance } => {
                    return self.start(entry, request, &instance, false);
                }
                Next::Refuse => return self.refuse(request),
            }
        }
    }
}

/// Doors.
impl Fleet {
    fn owner(&self, entry: usize, upstream: u32) -> Asker {
        let peers = &self.entries[entry].peers;
        match door::owner(upstream, peers.owners(false, self.now_ms)) {
            Some(owner) if owner != peers.own() => Asker::Peer(owner),
            Some(_) | None => Asker::Own,
        }
    }

    fn ask(&mut self, entry: usize, request: usize, id: AskId, instance: &Arc<str>) {
        let owner = self.owner(entry, short_name(instance));
        let state = &mut self.entries[entry];
        let Some(asking) = state.waiting.get(&request) else {
            return;
        };
        let mut ask = asking.question(id, instance, &state.dispatcher, self.now_ms);
        if self.setup.variant == Variant::WithoutOrder {
            ask.worth_micros = EQUAL_WORTH;
            ask.in_time_for_ms = i64::MAX / 2;
        }
        state
            .asks
            .insert(id, (request, Arc::clone(instance), owner));
        match owner {
            Asker::Own => self.asked(entry, Asker::Own, ask),
            Asker::Peer(peer) => self.tell(entry, peer, Message::Ask(ask)),
        }
    }

    fn take_back(&mut self, entry: usize, id: AskId, instance: &str) {
        let Some((_, _, owner)) = self.entries[entry].asks.swap_remove(&id) else {
            return;
        };
        let upstream = short_name(instance);
        match owner {
            Asker::Own => self.entries[entry].doors.cancel(Asker::Own, upstream, id),
            Asker::Peer(peer) => self.tell(entry, peer, Message::Cancel { upstream, ask: id }),
        }
    }

    fn asked(&mut self, entry: usize, from: Asker, ask: Ask) {
        let now_ms = self.now_ms;
        self.entries[entry].doors.ask(from, ask, now_ms);
        self.grant(entry);
        let doors = &self.entries[entry].doors;
        let Some(wait_ms) = doors.wait_ms(from, ask.upstream, ask.id, now_ms) else {
            return;
        };
        let ask = ask.id;
        match from {
            Asker::Own => self.busy(entry, ask, wait_ms),
            Asker::Peer(peer) => self.tell(entry, peer, Message::Busy { ask, wait_ms }),
        }
    }

    fn grant(&mut self, entry: usize) {
        while let Some(grant) = self.entries[entry].doors.next_grant(self.now_ms) {
            let (ask, upstream) = (grant.ask, grant.upstream);
            match grant.to {
                Asker::Own => self.granted(entry, ask, upstream),
                Asker::Peer(peer) => self.tell(entry, peer, Message::Grant { ask, upstream }),
            }
        }
    }

    fn granted(&mut self, entry: usize, ask: AskId, upstream: u32) {
        match self.entries[entry].asks.swap_remove(&ask) {
            Some((request, instance, _)) => self.start(entry, request, &instance, true),
            None => self.give_back(entry, upstream, None),
        }
    }

    fn busy(&mut self, entry: usize, ask: AskId, wait_ms: u32) {
        let now_ms = self.now_ms;
        let random = &mut self.random;
        let state = &mut self.entries[entry];
        let Some((request, _, _)) = state.asks.get(&ask) else {
            return;
        };
        let request = *request;
        let Some(asking) = state.waiting.get_mut(&request) else {
            return;
        };
        let draw = || random.random();
        let next = asking.busy(ask, wait_ms, &state.dispatcher, now_ms, draw);
        self.carry_out(entry, request, next);
    }

    fn give_back(&mut self, entry: usize, upstream: u32, held_ms: Option<u32>) {
        match self.owner(entry, upstream) {
            Asker::Own => {
                let doors = &mut self.entries[entry].doors;
                doors.done(Asker::Own, upstream, held_ms);
                self.grant(entry);
            }
            Asker::Peer(peer) => self.tell(entry, peer, Message::Done { upstream, held_ms }),
        }
    }

    fn hear(&mut self, entry: usize, from: usize, message: Message) {
        if !self.entries[entry].is_up {
            return;
        }
        let peer = address(from);
        match message {
            Message::Heartbeat(heartbeat) => self.hear_heartbeat(entry, peer, &heartbeat),
            Message::Ask(ask) => self.asked(entry, Asker::Peer(peer), ask),
            Message::Cancel { upstream, ask } => {
                let doors = &mut self.entries[entry].doors;
                doors.cancel(Asker::Peer(peer), upstream, ask);
            }
            Message::Grant { ask, upstream } => self.granted(entry, ask, upstream),
            Message::Busy { ask, wait_ms } => self.busy(entry, ask, wait_ms),
            Message::Done { upstream, held_ms } => {
                let doors = &mut self.entries[entry].doors;
                doors.done(Asker::Peer(peer), upstream, held_ms);
                self.grant(entry);
            }
        }
    }

    fn hear_heartbeat(&mut self, entry: usize, peer: SocketAddr, heartbeat: &Heartbeat) {
        let now_ms = self.now_ms;
        let state = &mut self.entries[entry];
        if state.peers.heard(peer, heartbeat, now_ms).is_idle {
            return;
        }
        state.doors.reconcile(peer, &heartbeat.running, now_ms);
        let life = heartbeat.incarnation;
        let running = &heartbeat.running;
        state.dispatcher.set_peer_load(life, running, now_ms);
        self.grant(entry);
    }

    fn heartbeat(&mut self, entry: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.entries[entry];
        if !state.is_up {
            return;
        }
        state.peers.sweep(now_ms);
        state.doors.sweep(None, now_ms);
        state.sequence += 1;
        let heartbeat = Heartbeat {
            incarnation: (entry as u64) << 32 | state.life,
            sequence: state.sequence,
            others: state.peers.named(state.sequence),
            running: RunningPart::of(state.dispatcher.running(now_ms).collect(), state.sequence),
            ..Heartbeat::default()
        };
        let targets: Vec<SocketAddr> = state.peers.targets().collect();
        let next_ms = now_ms + state.peers.heartbeat_ms(false);
        for target in targets {
            self.tell(entry, target, Message::Heartbeat(heartbeat.clone()));
        }
        self.grant(entry);
        self.at(next_ms, Event::Heartbeat { entry });
    }
}

/// Runs at engines.
impl Fleet {
    fn start(&mut self, entry: usize, request: usize, instance: &Arc<str>, is_granted: bool) {
        let state = &mut self.entries[entry];
        if !state.waiting.contains_key(&request) || state.dispatcher.began(instance).is_none() {
            if is_granted {
                self.give_back(entry, short_name(instance), None);
            }
            return;
        }
        let prompt_tokens = self.offered[request].prompt_tokens;
        let run = self.runs.len();
        state
            .dispatcher
            .sent(instance, run as u64, prompt_tokens, self.now_ms);
        let give_up_at_ms = state.waiting[&request].job.give_up_at_ms;
        self.stop_waiting(entry, request);
        let engine = self
            .upstreams
            .iter()
            .position(|upstream| upstream.instance == *instance)
            .unwrap_or_default();
        self.runs.push(Run {
            request,
            entry,
            engine,
            is_granted,
            since_ms: self.now_ms,
            first_at_ms: None,
            is_over: false,
        });
        self.at(self.now_ms + WAY_MS, Event::Reach { run });
        self.at(give_up_at_ms.max(self.now_ms), Event::TimeUp { run });
    }

    fn reach(&mut self, run: usize) {
        if !self.runs[run].is_over && self.engines[self.runs[run].engine].take(run) {
            self.begin_run(run);
        }
    }

    fn begin_run(&mut self, run: usize) {
        let slowness = self.engines[self.runs[run].engine].slowness;
        let offered = &self.offered[self.runs[run].request];
        let first_ms = numbers::whole_u64(offered.prefill_ms() * slowness) + 1;
        let whole_ms = numbers::whole_u64(offered.cost_ms() * slowness) + 2;
        self.at(self.now_ms + first_ms, Event::First { run });
        self.at(self.now_ms + whole_ms, Event::Last { run });
    }

    fn first(&mut self, run: usize) {
        let Run { entry, engine, .. } = self.runs[run];
        if self.runs[run].is_over {
            return;
        }
        let now_ms = self.now_ms + WAY_MS;
        self.runs[run].first_at_ms = Some(now_ms);
        let after_ms = numbers::as_f64(now_ms - self.runs[run].since_ms);
        let prompt_tokens = self.offered[self.runs[run].request].prompt_tokens;
        let event_ms = STEP_MS * EVENT_TOKENS * self.engines[engine].slowness;
        let dispatcher = &mut self.entries[entry].dispatcher;
        let instance = &self.upstreams[engine].instance;
        dispatcher.answered(instance, run as u64);
        dispatcher.learn(instance, |health| {
            health.first_event(prompt_tokens, after_ms);
            health.next_event(event_ms, now_ms);
        });
    }

    fn last(&mut self, run: usize) {
        let offered = self.offered[self.runs[run].request];
        let in_time_until_ms = offered.at_ms + offered.kind().objective_ms;
        let first_at_ms = self.runs[run].first_at_ms;
        let is_in_time = first_at_ms.is_some_and(|at_ms| at_ms <= in_time_until_ms);
        let end = if is_in_time { End::InTime } else { End::Late };
        if !self.runs[run].is_over {
            let events = f64::from(offered.output_tokens) / EVENT_TOKENS;
            let dispatcher = &mut self.entries[self.runs[run].entry].dispatcher;
            let events = numbers::whole_u64(events.ceil());
            dispatcher.learn_length(&SERVICE.into(), offered.hint_tokens, events);
        }
        self.end_run(run, Ended::Answered, end);
    }

    fn end_run(&mut self, run: usize, ended: Ended, end: End) {
        if self.runs[run].is_over {
            return;
        }
        self.runs[run].is_over = true;
        let Run {
            request,
            entry,
            engine,
            is_granted,
            since_ms,
            ..
        } = self.runs[run];
        self.outcome.ends[request].push(end);
        if let Some(next) = self.engines[engine].end(run) {
            self.begin_run(next);
        }
        let instance = Arc::clone(&self.upstreams[engine].instance);
        let held_ms = self.now_ms - since_ms;
        let state = &mut self.entries[entry];
        state
            .dispatcher
            .finished(&instance, run as u64, ended, held_ms, self.now_ms);
        if is_granted {
            let held_ms = u32::try_from(held_ms).unwrap_or(u32::MAX);
            let held_ms = (ended == Ended::Answered).then_some(held_ms);
            self.give_back(entry, short_name(&instance), held_ms);
        }
    }

    /// Kills an entry; its callers lose what it had, its engines stop.
    fn kill(&mut self) {
        let entry = self.random.random_range(0..self.entries.len());
        if !self.entries[entry].is_up {
            return;
        }
        self.entries[entry].is_up = false;
        let waiting: Vec<usize> = self.entries[entry].waiting.keys().copied().collect();
        for request in waiting {
            self.outcome.ends[request].push(End::Lost);
        }
        self.entries[entry].waiting.clear();
        for run in 0..self.runs.len() {
            if self.runs[run].entry != entry || self.runs[run].is_over {
                continue;
            }
            self.runs[run].is_over = true;
            self.outcome.ends[self.runs[run].request].push(End::Lost);
            if let Some(next) = self.engines[self.runs[run].engine].end(run) {
                self.begin_run(next);
            }
        }
        self.at(self.now_ms + AWAY_MS, Event::Restart { entry });
    }

    fn lose_engines(&mut self) {
        for engine in (0..self.engines.len()).step_by(2) {
            for run in self.engines[engine].lose_all() {
                self.end_run(run, Ended::Broken, End::Lost);
            }
        }
        let left: Vec<Arc<Upstream>> = self.upstreams.iter().skip(1).step_by(2).cloned().collect();
        self.list(&left);
    }

    fn list_engines(&mut self) {
        let all = self.upstreams.clone();
        self.list(&all);
    }

    fn list(&mut self, upstreams: &[Arc<Upstream>]) {
        for entry in 0..self.entries.len() {
            let state = &mut self.entries[entry];
            state.dispatcher.set_upstreams(upstreams);
            let engines = upstreams.iter();
            state
                .doors
                .set_engines(engines.map(|up| (Arc::clone(&up.instance), up.slots)));
            self.grant(entry);
        }
    }
}
