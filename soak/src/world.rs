//! The fleet of a run, and how faults strike it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use platform_testkit::fault_proxy::FaultProxy;
use platform_testkit::fault_proxy::Link;
use platform_testkit::node::KEY;
use platform_testkit::node::Node;
use platform_testkit::node::Ports;
use platform_testkit::node::configuration;
use platform_testkit::node::configure;
use platform_testkit::node::entry;
use platform_testkit::node::settings;
use platform_testkit::node::with_keys;
use platform_testkit::peer_switch;
use platform_testkit::peer_switch::Datagrams;
use platform_testkit::peer_switch::PeerSwitch;
use platform_testkit::rollout_scene::SERVICE;
use platform_testkit::store_stand_in::Mood;
use platform_testkit::store_stand_in::StoreStandIn;
use platform_testkit::worker_stand_in::Beginning;
use platform_testkit::worker_stand_in::CrashingPart;
use platform_testkit::worker_stand_in::Flaw;
use platform_testkit::worker_stand_in::Manner;
use platform_testkit::worker_stand_in::Seen;
use platform_testkit::worker_stand_in::WorkerStandIn;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::callers::Callers;
use crate::callers::DEADLY;
use crate::callers::DEADLY_PART;
use crate::callers::Deadly;
use crate::callers::Load;
use crate::checker::EVENTS;
use crate::copies;
use crate::copies::Copies;
use crate::leavings;
use crate::leavings::Departure;
use crate::leavings::Disturbances;
use crate::leavings::Part;
use crate::leavings::STOPPED_WITHIN;
use crate::notices::Notices;
use crate::plan::FIRST_SEED_WITH_COPIES;
use crate::plan::FIRST_SEED_WITH_DEADLY;
use crate::plan::FIRST_SEED_WITH_LINKS;
use crate::plan::FIRST_SEED_WITH_NOTICES;
use crate::plan::FIRST_SEED_WITH_PARTS;
use crate::plan::FIRST_SEED_WITH_ROLLOUT;
use crate::plan::FIRST_SEED_WITH_TORN_STREAMS;
use crate::plan::FIRST_SEED_WITH_VERSIONS;
use crate::plan::Fault;
use crate::plan::Step;
use crate::record::Leaving;
use crate::record::Records;
use crate::record::Rollout;
use crate::record::Run;

/// How a worker behaves when nothing is wrong with it.
const WELL: Manner = Manner::ByRoute {
    after_ms: 0,
    events: EVENTS,
    pause_ms: 4,
};
/// Time for everything to be found again after the last fault: longer than the longest pause
/// of an upstream, a peer's silence and the store's grace together.
const RECOVERY: Duration = Duration::from_secs(6);
/// How long a worker that ended by a request is gone.
const GONE: Duration = Duration::from_millis(400);
/// How long callers press after that.
const CALM: Duration = Duration::from_secs(2);
/// Time after the store's return at which what it has lost is written again.
const REWRITTEN_AFTER: Duration = Duration::from_millis(800);
/// Time after a worker has said that it leaves at which an earlier write of it is carried out.
const LATE_WRITE_AFTER: Duration = Duration::from_millis(400);
/// When workers start first; any number will do.
const FIRST_BORN_MS: u64 = 1_000;
/// The version that serves first, and the one that is ordered.
const OLD: &str = "v1";
const NEW: &str = "v2";
/// The order's window, and part of its requests that a bad version fails.
const WINDOW: Duration = Duration::from_secs(10);
const FAILED_PART: f64 = 0.5;
/// Time before the order.
const BEFORE_ORDER: Duration = Duration::from_secs(2);
/// Bad answers after which a version has to be left alone, and how soon.
const BAD_ANSWERS: usize = 50;
const STOP_WITHIN: Duration = Duration::from_secs(5);
/// How long a worker that was stopped for good is gone.
const FOR_GOOD: Duration = Duration::from_secs(600);
/// Time until an answer has told the entries what a worker says.
const CONTACT: Duration = Duration::from_millis(500);
/// Time after which a worker that has said that it leaves may get nothing more.
const DRAIN: Duration = Duration::from_secs(2);

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Workers.
    pub workers: usize,
    /// Callers at each entry.
    pub callers: usize,
}

struct Entry {
    ports: Ports,
    /// Before its way to the store, so that it ends before the port of that is free.
    node: Option<Node>,
    store: FaultProxy,
    /// Whether it was told to stop and has to be started again when it has.
    is_ending: bool,
}

struct Worker {
    name: String,
    stand_in: WorkerStandIn,
    /// When it started, in milliseconds of the run: only later than before, and never a time of day.
    born_ms: u64,
    way: FaultProxy,
    is_leaving: bool,
    /// How often it had ended when its entry was last written.
    known_ends: usize,
    version: &'static str,
    /// Whether its version was stopped.
    is_stopped: bool,
}

impl Worker {
    fn state(&self) -> &'static str {
        if self.is_leaving { "draining" } else { "ready" }
    }
}

/// Something that ends by itself.
enum Healing {
    Start(usize),
    Wake(usize),
    Worker(usize),
    /// A worker says nothing of itself any more.
    Unsaid(usize),
    WayToWorker(usize),
    WayToStore(usize),
    /// A way to the store that was cut opens.
    OpenToStore(usize),
    Datagrams(usize),
    PeerConnections(usize),
    Store,
    /// The store returns from a copy.
    Return,
    /// Workers and the operator write again what the store has lost.
    Rewrite,
    Entry(usize),
    /// A worker that ended by a request is back.
    Back(usize),
    /// An earlier write of a worker that leaves is carried out.
    LateWrite(usize),
}

/// The fleet of one run.
///
/// Entries come first, so that they end first: an entry that outlives its store would call
/// whoever is given the store's port next.
pub struct World {
    entries: Vec<Entry>,
    store: StoreStandIn,
    workers: Vec<Worker>,
    healings: Vec<(Instant, Healing)>,
    leavings: Vec<(String, Instant)>,
    /// The worker that says in its answers that it leaves when all is calm, and since when.
    said_leaving: Option<(usize, Instant)>,
    last_fault: Instant,
    version: u64,
    /// What ends the workers that run it, if anything does.
    deadly: Option<Deadly>,
    /// What workers have written of an answer when a part crashes them, in turn.
    beginnings: [Beginning; 3],
    /// Whether workers of two versions serve side by side, without an order.
    has_versions: bool,
    /// The version that new workers have.
    version_served: &'static str,
    /// Whether the ordered version fails requests, and when it was ordered; none if none is.
    order: Option<(bool, Instant)>,
    /// What workers say of themselves when all is calm, if they do.
    notices: Option<Notices>,
    /// Copies of the store, if it returns from them.
    copies: Option<Copies>,
    /// Links the entries, if these are disturbed.
    switch: Option<PeerSwitch>,
    disturbances: Disturbances,
    departures: Vec<Departure>,
}

impl World {
    /// Starts the fleet of a seed and waits until it takes callers.
    pub async fn start(size: Size, seed: u64) -> Self {
        let store = StoreStandIn::start().await;
        let copies = (FIRST_SEED_WITH_COPIES..FIRST_SEED_WITH_VERSIONS)
            .contains(&seed)
            .then(|| Copies::of(&store));
        let mut world = Self {
            store,
            entries: Vec::new(),
            workers: Vec::new(),
            healings: Vec::new(),
            leavings: Vec::new(),
            said_leaving: None,
            last_fault: Instant::now(),
            version: 0,
            deadly: deadly(seed),
            beginnings: beginnings(seed),
            has_versions: (FIRST_SEED_WITH_VERSIONS..FIRST_SEED_WITH_PARTS).contains(&seed),
            version_served: OLD,
            order: (FIRST_SEED_WITH_ROLLOUT..FIRST_SEED_WITH_NOTICES)
                .contains(&seed)
                .then(|| (seed % 2 == 1, Instant::now())),
            notices: (FIRST_SEED_WITH_NOTICES..FIRST_SEED_WITH_PARTS)
                .contains(&seed)
                .then(Notices::default),
            copies,
            switch: None,
            disturbances: Disturbances::default(),
            departures: Vec::new(),
        };
        world.configure();
        for _ in 0..size.workers {
            world.add_worker(OLD, None).await;
        }
        for _ in 0..size.entries {
            let proxy = FaultProxy::start(world.store.address).await;
            world.entries.push(Entry {
                ports: Ports::free(),
                store: proxy,
                node: None,
                is_ending: false,
            });
        }
        if seed >= FIRST_SEED_WITH_LINKS {
            let entries = world.entries.iter();
            let entries: Vec<SocketAddr> = entries.map(|entry| entry.ports.peers).collect();
            world.switch = Some(PeerSwitch::start(&entries).await);
        }
        for index in 0..size.entries {
            world.start_entry(index);
        }
        for entry in &world.entries {
            if let Some(node) = &entry.node {
                node.wait_ready().await;
            }
        }
        world
    }

    /// Where callers connect.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.ports.callers)
            .collect()
    }

    /// Carries out the steps while callers press, heals everything, and returns the records.
    pub async fn run(mut self, size: Size, steps: &[Step]) -> Records {
        let is_bad = self.order.take().map(|(is_bad, _)| is_bad);
        let load = Load {
            callers_each: size.callers,
            deadly: self.deadly,
            takes_up_streams: self.has_versions,
        };
        let callers = Callers::start(&self.entries(), load);
        if let Some(is_bad) = is_bad {
            self.pass(BEFORE_ORDER).await;
            self.give_order(is_bad, size.workers).await;
        }
        for step in steps {
            self.pass(step.after).await;
            self.strike(step.fault).await;
        }
        self.heal_all().await;
        self.say_when_calm().await;
        self.pass(RECOVERY).await;
        let healed = Instant::now();
        let late_entries = self.late_entries().await;
        self.pass(CALM).await;
        let requests = callers.stop().await;
        let (beyond_limit, beyond_rest) = self.beyond_notices();
        let runs = self.runs();
        let entry_of = |request: &str| {
            let port: u16 = request.split('-').next()?.parse().ok()?;
            let mut entries = self.entries.iter();
            entries.position(|entry| entry.ports.callers.port() == port)
        };
        Records {
            requests,
            late_after_leaving: leavings::late_runs(
                &self.departures,
                &self.disturbances,
                &runs,
                self.entries.len(),
                entry_of,
            ),
            runs,
            leavings: self.calm_leavings(),
            healed: Some(healed),
            has_deadly_part: self.deadly == Some(Deadly::Part),
            rollout: self.rollout(),
            beyond_limit,
            beyond_rest,
            late_entries,
        }
    }

    /// Changes the configuration, and returns at how many entries it is not in force in time.
    async fn late_entries(&mut self) -> usize {
        if self.copies.is_none() {
            return 0;
        }
        let before = self.version;
        self.configure();
        copies::late_entries(&self.entries(), self.version, before).await
    }

    /// Lets three workers say something of themselves: that they leave, a limit, and that they want
    /// rest.
    async fn say_when_calm(&mut self) {
        if self.notices.is_none() {
            return;
        }
        let usable = |index: &usize| !self.workers[*index].is_leaving;
        let workers: Vec<usize> = (0..self.workers.len()).filter(usable).take(3).collect();
        let [leaving, limited, resting] = workers[..] else {
            return;
        };
        self.leave_unlisted(leaving).await;
        self.said_leaving = Some((leaving, Instant::now()));
        let notices = Notices::begin(
            (limited, &self.workers[limited].stand_in),
            (resting, &self.workers[resting].stand_in),
        );
        self.notices = Some(notices);
        self.later(Notices::DECLINES_FOR, Healing::Worker(resting));
        self.later(Notices::DECLINES_FOR, Healing::Unsaid(resting));
    }

    fn beyond_notices(&self) -> (usize, usize) {
        let arrivals = |index: usize| self.workers[index].stand_in.arrivals();
        let notices = self.notices.as_ref();
        notices.map_or((0, 0), |notices| notices.beyond(arrivals))
    }

    /// A worker says in its answers that it leaves, and another one comes.
    async fn leave_unlisted(&mut self, index: usize) {
        self.workers[index].is_leaving = true;
        self.workers[index].stand_in.say(&["Server-Leaving: 1"]);
        self.add_worker(self.version_served, None).await;
    }

    /// Lists workers of another version, and orders it.
    async fn give_order(&mut self, is_bad: bool, workers: usize) {
        let flaw = is_bad.then(|| Flaw::fails(FAILED_PART));
        for _ in 0..workers {
            self.add_worker(NEW, flaw).await;
        }
        let order = json!({"service": SERVICE, "to": NEW, "durationS": WINDOW.as_secs()});
        self.store.put("rollouts", SERVICE, &order);
        self.order = Some((is_bad, Instant::now()));
    }

    fn states(&self) -> Vec<String> {
        let written = self.store.written(SERVICE);
        let state = |status: &Value| status["state"].as_str().unwrap_or_default().to_owned();
        written.iter().map(state).collect()
    }

    /// Stops the old version when the new one serves, and the new one when it was given up.
    fn notice_states(&mut self) {
        if self.order.is_none() {
            return;
        }
        let stopped = match self.states().last().map(String::as_str) {
            Some("completed") => OLD,
            Some("reverted") => NEW,
            _ => return,
        };
        if stopped == OLD {
            self.version_served = NEW;
        }
        for worker in &mut self.workers {
            if worker.version == stopped && !worker.is_stopped {
                worker.is_stopped = true;
                worker.is_leaving = true;
                worker.stand_in.end(FOR_GOOD);
                self.store.delete("servers", &worker.name);
            }
        }
    }

    fn rollout(&self) -> Option<Rollout> {
        let (is_bad, ordered) = self.order?;
        let within = ordered..ordered + WINDOW;
        let seen = |version: &'static str| {
            let workers = self.workers.iter();
            let workers = workers.filter(move |worker| worker.version == version);
            workers.flat_map(|worker| worker.stand_in.seen())
        };
        let count = |version| {
            seen(version)
                .filter(|seen| within.contains(&seen.at))
                .count()
        };
        let mut spoiled: Vec<Instant> = self
            .workers
            .iter()
            .flat_map(|worker| worker.stand_in.spoiled())
            .collect();
        spoiled.sort();
        let stop = spoiled.get(BAD_ANSWERS - 1).map(|at| *at + STOP_WITHIN);
        let is_late = |at: Instant| stop.is_some_and(|stop| at > stop);
        Some(Rollout {
            is_bad,
            states: self.states(),
            runs: count(OLD) + count(NEW),
            runs_at_new: count(NEW),
            late_runs: seen(NEW).filter(|seen| is_late(seen.at)).count(),
        })
    }

    fn runs(&self) -> Vec<Run> {
        let run = |worker: &Worker| {
            let name = worker.name.clone();
            let version = worker.version;
            let seen = worker.stand_in.seen().into_iter();
            let seen = seen.filter(|seen| !copies::is_of_check(seen.id()));
            let runs = seen.map(move |seen| Run {
                id: seen.id().to_owned(),
                worker: name.clone(),
                at: seen.at,
                customer: seen.customer().to_owned(),
                target: seen.target.clone(),
                has_key: seen.has_key(),
                first_attempt: first_attempt(&seen),
                after_event: seen.header("last-event-id").parse().unwrap_or(0),
                version,
            });
            runs.collect::<Vec<_>>()
        };
        self.workers.iter().flat_map(run).collect()
    }

    /// Leavings that no fault of an entry or the store was near.
    fn calm_leavings(&self) -> Vec<Leaving> {
        let listed = self.leavings.iter().filter(|(_, at)| *at > self.last_fault);
        let listed = listed.map(|(worker, at)| Leaving {
            worker: worker.clone(),
            closed: *at + DRAIN,
        });
        listed.chain(self.known_said_leaving()).collect()
    }

    /// The leaving that a worker says in its answers, from the first answer on. A worker that
    /// entries had paused as broken is called late, and nobody knows before.
    fn known_said_leaving(&self) -> Option<Leaving> {
        let (index, since) = self.said_leaving?;
        let worker = &self.workers[index];
        let runs = worker.stand_in.seen().into_iter().map(|seen| seen.at);
        let first = runs.filter(|at| *at >= since).min()?;
        Some(Leaving {
            worker: worker.name.clone(),
            closed: first + CONTACT + DRAIN,
        })
    }

    /// Lets time pass, and what ends by itself end.
    async fn pass(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let now = Instant::now();
            let (due, later) = std::mem::take(&mut self.healings)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.healings = later;
            for (_, healing) in due {
                self.heal(&healing);
            }
            self.notice_ends();
            self.notice_states();
            if let Some(copies) = &mut self.copies {
                copies.keep(&self.store);
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Kills an entry, which starts again after a pause.
    fn kill_for(&mut self, index: usize, pause: Duration) {
        self.kill(index);
        self.later(pause, Healing::Start(index));
    }

    /// Has a worker behave otherwise for a time.
    fn set_manner(&mut self, index: usize, manner: Manner, lasting: Duration) {
        self.workers[index].stand_in.set_manner(manner);
        self.later(lasting, Healing::Worker(index));
    }

    async fn strike(&mut self, fault: Fault) {
        println!("{fault:?}");
        self.last_fault = Instant::now();
        let entries = self.entries.len();
        let workers = self.workers.len();
        for (part, lasting) in leavings::disturbed_by(fault, entries, workers) {
            self.disturbances.record(part, lasting);
        }
        match fault {
            Fault::Kill(whom, pause) => self.kill_for(whom % entries, pause),
            Fault::KillAll => {
                let pause = Duration::from_millis(100);
                (0..entries).for_each(|index| self.kill_for(index, pause));
            }
            Fault::Pause(whom, lasting) => {
                self.signal(whom % entries, "STOP");
                self.later(lasting, Healing::Wake(whom % entries));
            }
            Fault::Terminate(whom) => {
                self.signal(whom % entries, "TERM");
                self.entries[whom % entries].is_ending = true;
                self.later(STOPPED_WITHIN, Healing::Start(whom % entries));
            }
            Fault::HangUp(whom) => self.signal(whom % entries, "HUP"),
            Fault::Worker(whom, manner, lasting) => {
                self.set_manner(whom % workers, manner, lasting);
            }
            Fault::AllWorkers(manner, lasting) => {
                (0..workers).for_each(|index| self.set_manner(index, manner, lasting));
            }
            Fault::WayToWorker(whom, link, lasting) => {
                self.workers[whom % workers].way.set_link(link);
                self.later(lasting, Healing::WayToWorker(whom % workers));
            }
            Fault::WayToStore(whom, link, lasting) => {
                self.entries[whom % entries].store.set_link(link);
                self.later(lasting, Healing::WayToStore(whom % entries));
            }
            Fault::Store(mood, lasting) => {
                self.store.set_mood(mood);
                self.later(lasting, Healing::Store);
            }
            Fault::Forget => self.store.forget_history(),
            Fault::Lose(away) => {
                self.store.set_mood(Mood::Away);
                self.later(away, Healing::Return);
            }
            Fault::Replace(whom) => self.replace(whom % workers).await,
            Fault::Restart(whom) => self.restart(whom % workers),
            Fault::Spoil(whom, lasting) => {
                self.spoil(whom % workers);
                self.later(lasting, Healing::Entry(whom % workers));
            }
            Fault::Configure => self.configure(),
            Fault::Say(whom, text, lasting) => {
                self.workers[whom % workers].stand_in.say(&[text]);
                self.later(lasting, Healing::Unsaid(whom % workers));
            }
            Fault::Rest(whom, lasting) => {
                let stand_in = &self.workers[whom % workers].stand_in;
                stand_in.say(&["Retry-After: 0.8"]);
                self.set_manner(whom % workers, Manner::Decline, lasting);
                self.later(lasting, Healing::Unsaid(whom % workers));
            }
            Fault::LeaveUnlisted(whom) if !self.workers[whom % workers].is_leaving => {
                self.leave_unlisted(whom % workers).await;
            }
            Fault::LeaveUnlisted(_) => {}
            Fault::Remove(whom) => self.remove(whom % workers).await,
            Fault::RemoveNext(whom) => {
                if let Some(index) = self.staying_from(whom % workers) {
                    self.remove(index).await;
                }
            }
            Fault::CutFromStore(whom, link, lasting) => {
                self.cut_from_store(whom % entries, link, lasting);
            }
            Fault::Datagrams(whom, [lost_in, lost_out], delay, lasting) => {
                if let Some(switch) = &self.switch {
                    let datagrams = Datagrams {
                        lost_in: f64::from(lost_in) / 100.0,
                        lost_out: f64::from(lost_out) / 100.0,
                        delay,
                    };
                    switch.set_datagrams(whom % entries, datagrams);
                }
                self.later(lasting, Healing::Datagrams(whom % entries));
            }
            Fault::PeerConnections(whom, link, lasting) => {
                if let Some(switch) = &self.switch {
                    switch.set_connections(whom % entries, link);
                }
                self.later(lasting, Healing::PeerConnections(whom % entries));
            }
        }
    }

    /// Cuts the way of an entry to the store. One that is cut already is cut for the new time.
    fn cut_from_store(&mut self, index: usize, link: Link, lasting: Duration) {
        self.healings
            .retain(|(_, healing)| !matches!(healing, Healing::OpenToStore(cut) if *cut == index));
        self.entries[index].store.set_link(link);
        self.later(lasting, Healing::OpenToStore(index));
    }

    /// Opens the way of an entry to the store again. Calls that hung stay so until their caller gives up.
    fn open_to_store(&mut self, index: usize) {
        let way = &self.entries[index].store;
        way.silence_open_connections();
        way.set_link(Link::Whole);
        self.disturbances.end(Part::WayToStore(index));
    }

    fn later(&mut self, after: Duration, healing: Healing) {
        self.healings.push((Instant::now() + after, healing));
    }

    fn heal(&mut self, healing: &Healing) {
        match *healing {
            Healing::Start(index) if self.is_ending(index) => {
                self.later(Duration::from_millis(100), Healing::Start(index));
            }
            Healing::Start(index) => self.start_entry(index),
            Healing::Wake(index) => self.signal(index, "CONT"),
            Healing::Worker(index) => self.workers[index].stand_in.set_manner(WELL),
            Healing::Unsaid(index) if self.workers[index].is_leaving => {}
            Healing::Unsaid(index) => self.workers[index].stand_in.say(&[]),
            Healing::WayToWorker(index) => self.workers[index].way.set_link(Link::Whole),
            Healing::WayToStore(index) => self.entries[index].store.set_link(Link::Whole),
            Healing::OpenToStore(index) => self.open_to_store(index),
            Healing::Datagrams(index) => {
                if let Some(switch) = &self.switch {
                    switch.set_datagrams(index, Datagrams::default());
                }
            }
            Healing::PeerConnections(index) => {
                if let Some(switch) = &self.switch {
                    switch.set_connections(index, Link::Whole);
                }
            }
            Healing::Entry(index) => {
                self.register(&self.workers[index], self.workers[index].state());
            }
            Healing::Store => self.store.set_mood(Mood::Up),
            Healing::Return => {
                if let Some(copies) = &mut self.copies {
                    copies.lose(&self.store);
                }
                self.later(REWRITTEN_AFTER, Healing::Rewrite);
            }
            Healing::Rewrite => self.rewrite(),
            Healing::Back(index) => self.register_anew(index),
            Healing::LateWrite(index) => self.register(&self.workers[index], "ready"),
        }
    }

    /// Workers and the operator write again what the store has lost.
    fn rewrite(&self) {
        for worker in &self.workers {
            if worker.is_stopped {
                self.store.delete("servers", &worker.name);
            }
            self.register(worker, worker.state());
        }
        self.write_configuration();
    }

    /// Lets workers that ended by a request be back under their names after some time.
    fn notice_ends(&mut self) {
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let ends = worker.stand_in.ends().len();
            if ends > worker.known_ends {
                worker.known_ends = ends;
                self.later(GONE, Healing::Back(index));
            }
        }
    }

    async fn heal_all(&mut self) {
        for (_, healing) in std::mem::take(&mut self.healings) {
            self.heal(&healing);
        }
        if self.copies.is_some() {
            self.rewrite();
        }
        for index in 0..self.entries.len() {
            self.signal(index, "CONT");
            while self.is_ending(index) {
                sleep(Duration::from_millis(50)).await;
            }
            self.start_entry(index);
        }
        self.healings.clear();
        // One more leaves now that all is calm, so that this is seen in every run.
        self.pass(Duration::from_secs(3)).await;
        self.replace(0).await;
    }

    fn kill(&mut self, index: usize) {
        self.entries[index].node = None;
    }

    fn signal(&self, index: usize, name: &str) {
        if let Some(node) = &self.entries[index].node {
            node.signal(name);
        }
    }

    fn is_ending(&mut self, index: usize) -> bool {
        let entry = &mut self.entries[index];
        entry.is_ending && entry.node.as_mut().is_some_and(Node::is_running)
    }

    /// The addresses of up to three entries, for one that starts. Behind a switch it does not know its own.
    fn seeds_of(&self, index: usize) -> Vec<SocketAddr> {
        let Some(switch) = &self.switch else {
            let entries = self.entries.iter();
            return entries.map(|entry| entry.ports.peers).take(3).collect();
        };
        let others = peer_switch::others(&switch.addresses, index);
        others.into_iter().take(3).collect()
    }

    /// Starts an entry that has ended.
    fn start_entry(&mut self, index: usize) {
        let seeds = self.seeds_of(index);
        let entry = &mut self.entries[index];
        if let Some(node) = &mut entry.node
            && node.is_running()
        {
            return;
        }
        self.disturbances.record(Part::Entry(index), Duration::ZERO);
        entry.is_ending = false;
        entry.node = None;
        let mut settings = settings(entry.ports, &seeds, entry.store.address);
        if self.has_versions {
            settings["contracts"] = json!([]);
        }
        entry.node = Some(Node::start_from(entry.ports, &settings));
    }

    async fn add_worker(&mut self, version: &'static str, flaw: Option<Flaw>) {
        let is_odd = !self.workers.len().is_multiple_of(2);
        let version = if self.has_versions && is_odd {
            NEW
        } else {
            version
        };
        let stand_in = WorkerStandIn::start(WELL).await;
        stand_in.set_flaw(flaw);
        match self.deadly {
            Some(Deadly::Body) => stand_in.end_on(DEADLY, GONE),
            Some(Deadly::Part) => stand_in.crash_on_part(CrashingPart {
                part: DEADLY_PART.to_owned(),
                beginning: self.beginnings[self.workers.len() % self.beginnings.len()],
                gone: GONE,
            }),
            None => {}
        }
        let way = FaultProxy::start(stand_in.address).await;
        let worker = Worker {
            name: format!("i-{}", self.workers.len()),
            stand_in,
            born_ms: FIRST_BORN_MS,
            way,
            is_leaving: false,
            known_ends: 0,
            version,
            is_stopped: false,
        };
        self.register(&worker, "ready");
        self.workers.push(worker);
    }

    fn register(&self, worker: &Worker, state: &str) {
        let mut entry = entry(worker.way.address, state);
        entry["born"] = worker.born_ms.into();
        entry["version"] = worker.version.into();
        if worker.is_stopped {
            return;
        }
        self.store.put("servers", &worker.name, &entry);
    }

    /// A worker ends with all that it runs and starts again under its name.
    fn restart(&mut self, index: usize) {
        self.workers[index].stand_in.restart();
        // What it said was of its former self.
        if !self.workers[index].is_leaving {
            self.workers[index].stand_in.say(&[]);
        }
        self.register_anew(index);
    }

    /// Writes the entry of a worker that has started again under its name.
    fn register_anew(&mut self, index: usize) {
        self.workers[index].born_ms += 1;
        let worker = &self.workers[index];
        self.register(worker, worker.state());
    }

    /// Another writer puts something that is no entry in a worker's place.
    fn spoil(&self, index: usize) {
        let worker = &self.workers[index];
        let mut entry = entry(worker.way.address, "warming");
        entry["slots"] = "four".into();
        self.store.put("servers", &worker.name, &entry);
    }

    /// The first worker from one on that does not leave.
    fn staying_from(&self, index: usize) -> Option<usize> {
        let workers = self.workers.len();
        (0..workers)
            .map(|step| (index + step) % workers)
            .find(|index| !self.workers[*index].is_leaving)
    }

    async fn replace(&mut self, index: usize) {
        let Some(index) = self.staying_from(index) else {
            return;
        };
        self.workers[index].is_leaving = true;
        self.register(&self.workers[index], "draining");
        let name = self.workers[index].name.clone();
        self.leavings.push((name, Instant::now()));
        self.record_departure(index);
        if self.has_versions {
            self.later(LATE_WRITE_AFTER, Healing::LateWrite(index));
        }
        self.add_worker(self.version_served, None).await;
    }

    /// A worker's entry is removed without a word, and another one comes.
    async fn remove(&mut self, index: usize) {
        if self.workers[index].is_leaving {
            return;
        }
        self.workers[index].is_leaving = true;
        self.workers[index].is_stopped = true;
        self.store.delete("servers", &self.workers[index].name);
        self.record_departure(index);
        self.add_worker(self.version_served, None).await;
    }

    /// Records that a worker has left, if leavings are held against their bound while all goes on.
    fn record_departure(&mut self, index: usize) {
        if self.switch.is_some() {
            self.departures.push(Departure {
                worker: index,
                name: self.workers[index].name.clone(),
                at: Instant::now(),
            });
        }
    }

    fn configure(&mut self) {
        self.version += 3;
        self.write_configuration();
    }

    fn write_configuration(&self) {
        let mut configuration = configuration(self.version);
        // Every other version has engines, so that doors come and go.
        if self.version.is_multiple_of(2) {
            configuration["services"][0]["engine"] = json!({"slots": 4});
        }
        if self.copies.is_some() {
            configuration = with_keys(configuration, &[KEY, &copies::key_of(self.version)]);
        }
        configure(&self.store, &configuration);
    }
}

/// What ends the workers of a seed.
fn deadly(seed: u64) -> Option<Deadly> {
    match seed {
        FIRST_SEED_WITH_DEADLY..FIRST_SEED_WITH_ROLLOUT => Some(Deadly::Body),
        FIRST_SEED_WITH_PARTS..FIRST_SEED_WITH_LINKS => Some(Deadly::Part),
        _ => None,
    }
}

/// What workers of a seed have written of an answer when the part crashes them.
fn beginnings(seed: u64) -> [Beginning; 3] {
    let until_closed = if seed < FIRST_SEED_WITH_TORN_STREAMS {
        Beginning::UntilClosed
    } else {
        Beginning::EventsUntilClosed
    };
    [Beginning::Chunks, until_closed, Beginning::Nothing]
}

/// The attempt that brought the first event of the stream that a request is a part of.
fn first_attempt(seen: &Seen) -> String {
    let resumes = seen.header("resumes");
    let first = if resumes.is_empty() {
        seen.id()
    } else {
        resumes
    };
    first.to_owned()
}
