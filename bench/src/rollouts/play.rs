//! One order in virtual time: entries with their books, upstreams of two versions, a store.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;
use sardinewood::direct::rollout::exposure::ExposureLimit;
use sardinewood::direct::rollout::message::RolloutMessage;
use sardinewood::direct::rollout::message::coordinators;
use sardinewood::direct::rollout::object::Rollout;
use sardinewood::direct::rollout::object::RolloutId;
use sardinewood::direct::rollout::object::RolloutStatus;
use sardinewood::direct::rollout::old_version::OldVersionSight;
use sardinewood::direct::rollout::progress::FleetSnapshot;
use sardinewood::direct::rollout::progress::RequestTarget;
use sardinewood::direct::rollout::progress::RolloutAction;
use sardinewood::direct::rollout::progress::RolloutProgress;
use sardinewood::direct::rollout::table::EligibleUpstreams;
use sardinewood::direct::rollout::table::RolloutTable;
use sardinewood::direct::rollout::table::RunOutcome;
use sardinewood::direct::store_view::directory::DEFAULT_SILENCE_MS;
use sardinewood::direct::store_view::directory::Upstream;
use sardinewood::numbers;
use sardinewood::store::position::StorePosition;

use crate::entry_address;

/// Port of all entries.
const PORT: u16 = 7;
const SERVICE: &str = "s";
const ALLOWANCE: ExposureLimit = ExposureLimit {
    share: 0.1,
    slack_requests: 50.0,
};
/// Bad answers after which the version has to be left alone, and how soon.
const BAD_ANSWERS: usize = 50;
const STOP_WITHIN_MS: u64 = 5_000;
/// Time before the order, in which entries learn what is usual.
const BEFORE_MS: u64 = 10_000;
/// Time after the window until which a play may end.
const AFTER_MS: u64 = 6_000;
const STEP_MS: u64 = 50;
const MESSAGE_MS: u64 = 2;
const WRITE_MS: u64 = 5;
/// Part of the messages that are lost.
const LOST_PART: f64 = 0.01;
const ROUTES: usize = 10;
/// Upstreams differ in speed as on the deployments: two fast ones to each slow one.
const SLOWNESS: [f64; 3] = [0.68, 0.68, 3.0];
const SLOTS: u32 = 5;
/// Usual time of a request at an upstream of middling speed.
const USUAL_MS: f64 = 160.0;
const SPREAD: f64 = 0.5;
/// Part of the upstreams of either version that fail by themselves, and part of what they fail.
const GREY_PART: f64 = 0.06;
const GREY_FAILED: f64 = 0.4;
/// Routes whose requests fail by themselves at any upstream, and how often.
const FAILING_ROUTE: usize = 0;
const ROUTE_FAILED: f64 = 0.14;
const BASE_FAILED: f64 = 0.004;
/// Restart of a killed entry.
const RESTART_MS: u64 = 800;

/// When a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// From its start.
    AtOnce,
    /// From some moment within the window.
    Later,
    /// While more than half of an upstream's slots are taken.
    Loaded,
    /// On one route.
    OneRoute,
}

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flaw {
    part: f64,
    /// 1 if the requests fail.
    slower: f64,
    when: When,
}

impl Flaw {
    /// A part of the requests fails.
    #[must_use]
    pub const fn fails(part: f64, when: When) -> Self {
        Self {
            part,
            slower: 1.0,
            when,
        }
    }

    /// A part of the requests takes so many times as long.
    #[must_use]
    pub const fn slow(part: f64, slower: f64, when: When) -> Self {
        Self { part, slower, when }
    }
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Entries.
    pub entries: usize,
    /// Requests of all callers.
    pub requests_per_s: u64,
    /// The order's window.
    pub window_s: u64,
    /// What is wrong with the new version.
    pub flaw: Option<Flaw>,
    /// Part of the entries that are killed, one after the other.
    pub killed_part: f64,
    /// Whether all are killed at one moment.
    pub are_all_killed: bool,
}

/// How a play ended.
#[derive(Clone, Debug, Default)]
pub struct Ended {
    /// Whether the new version serves; none if nothing final was written.
    pub is_completed: Option<bool>,
    /// Whether that was within the window.
    pub is_in_time: bool,
    /// Requests that reached the service within the window.
    pub requests: usize,
    /// Those of them at the new version.
    pub at_new: usize,
    /// Bad answers of the new version.
    pub bad_answers: usize,
    /// Requests there that came too long after the fiftieth of them.
    pub too_late: usize,
    /// Requests that the end of the old version cut.
    pub cut: usize,
    /// Requests that ran on elsewhere then.
    pub moved: usize,
    /// Why it ended.
    pub reason: &'static str,
}

impl Ended {
    fn allowed(&self) -> f64 {
        ALLOWANCE.share * numbers::as_f64(self.requests as u64) + ALLOWANCE.slack_requests
    }

    /// What the new version had, as a part of what it may have.
    #[must_use]
    pub fn exposure(&self) -> f64 {
        numbers::as_f64(self.at_new as u64) / self.allowed()
    }

    /// Whether a bad version had more than it may.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.exposure() > 1.0 || self.too_late > 0
    }
}

#[derive(Debug)]
enum Event {
    Request,
    Ended(Box<Run>),
    Message(usize, usize, Box<RolloutMessage>),
    WriteStatus(usize, Box<Rollout>, RolloutStatus),
    Step(usize),
    Rollout,
    Kill(usize),
    Start(usize),
}

#[derive(Clone, Debug)]
struct Run {
    id: u64,
    entry: usize,
    incarnation: u64,
    upstream: usize,
    route: usize,
    is_pinned: bool,
    is_bad: bool,
    has_failed: bool,
    began_ms: u64,
}

struct Entry {
    table: RolloutTable,
    incarnation: u64,
    is_up: bool,
    eligible: EligibleUpstreams,
}

/// One order in virtual time.
pub struct Play {
    setup: Setup,
    rng: StdRng,
    now_ms: u64,
    next: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: IndexMap<u64, Event>,
    upstreams: Vec<Arc<Upstream>>,
    old: usize,
    slowness: Vec<f64>,
    is_grey: Vec<bool>,
    running: Vec<u32>,
    runs: IndexMap<u64, Run>,
    entries: Vec<Entry>,
    rollout: Option<Rollout>,
    turns_bad_ms: u64,
    fiftieth_ms: Option<u64>,
    ended: Ended,
}

fn address(entry: usize) -> SocketAddr {
    entry_address::address(entry, PORT)
}

impl Play {
    /// Prepares a play.
    #[must_use]
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        // Enough for the load at six tenths of all slots.
        let busy = numbers::as_f64(setup.requests_per_s) * USUAL_MS * 1.45 / 1_000.0;
        let count = numbers::whole_u64((busy / f64::from(SLOTS) / 0.6).ceil()).max(3);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let upstream = |number: usize| {
            let is_new = number >= count;
            Arc::new(Upstream {
                instance: format!("i-{number}-{seed}").into(),
                name: format!("i-{number}-{seed}").into(),
                born_ms: None,
                service: SERVICE.into(),
                address: address(number),
                data_centre: "d".into(),
                slots: SLOTS,
                version: if is_new { "v2" } else { "v1" }.into(),
                revision: StorePosition::new(0, number as u64),
                is_leaving: false,
            })
        };
        let upstreams: Vec<Arc<Upstream>> = (0..2 * count).map(upstream).collect();
        let slowness = upstreams.iter().map(|_| SLOWNESS[rng.random_range(0..3)]);
        let slowness = slowness.collect();
        let is_grey = upstreams.iter().map(|_| rng.random_bool(GREY_PART));
        let is_grey = is_grey.collect();
        let window_ms = setup.window_s * 1_000;
        let later = rng.random_range(0.1..0.95);
        let turns_bad_ms = BEFORE_MS + numbers::whole_u64(numbers::as_f64(window_ms) * later);
        let mut play = Self {
            setup,
            rng,
            now_ms: 0,
            next: 0,
            queue: BinaryHeap::new(),
            events: IndexMap::new(),
            old: count,
            running: vec![0; upstreams.len()],
            upstreams,
            slowness,
            is_grey,
            runs: IndexMap::new(),
            entries: Vec::new(),
            rollout: None,
            turns_bad_ms,
            fiftieth_ms: None,
            ended: Ended::default(),
        };
        for entry in 0..setup.entries {
            let started = play.started();
            play.entries.push(started);
            play.at(entry as u64 % STEP_MS, Event::Step(entry));
        }
        play.at(0, Event::Request);
        play.at(BEFORE_MS, Event::Rollout);
        play.plan_kills(window_ms);
        play
    }

    fn plan_kills(&mut self, window_ms: u64) {
        let all_at_ms = BEFORE_MS + self.rng.random_range(0..window_ms);
        for entry in 0..self.setup.entries {
            if self.setup.are_all_killed {
                self.at(all_at_ms, Event::Kill(entry));
            } else if self.rng.random_bool(self.setup.killed_part) {
                let at_ms = BEFORE_MS + self.rng.random_range(0..window_ms);
                self.at(at_ms, Event::Kill(entry));
            }
        }
    }

    fn started(&mut self) -> Entry {
        let incarnation = self.rng.random();
        let mut table = RolloutTable::new(Some(ALLOWANCE), incarnation);
        table.set_upstreams(&self.upstreams[..self.old]);
        if self.rollout.is_some() {
            table.set_upstreams(&self.upstreams);
        }
        if let Some(rollout) = &self.rollout {
            let rollouts = [rollout.clone()];
            table.apply_stored(&rollouts, rollout.revision, self.setup.entries, self.now_ms);
        }
        let eligible = table.eligible_upstreams();
        Entry {
            table,
            incarnation,
            is_up: true,
            eligible,
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at_ms, self.next)));
        self.events.insert(self.next, event);
    }

    /// Plays until the order has ended and what runs as well.
    #[must_use]
    pub fn run(mut self) -> Ended {
        let end_ms = BEFORE_MS + self.setup.window_s * 1_000 + AFTER_MS;
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.events.swap_remove(&number) {
                self.handle(event);
            }
        }
        self.ended
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.request(),
            Event::Ended(run) => self.run_ended(&run),
            Event::Message(to, from, message) => self.handle_message(to, from, &message),
            Event::WriteStatus(entry, rollout, status) => self.write(entry, &rollout, status),
            Event::Step(entry) => self.step(entry),
            Event::Rollout => self.give_order(),
            Event::Kill(entry) => {
                self.entries[entry].is_up = false;
                self.at(self.now_ms + RESTART_MS, Event::Start(entry));
            }
            Event::Start(entry) => self.entries[entry] = self.started(),
        }
    }

    fn give_order(&mut self) {
        let rollout = Rollout {
            id: RolloutId {
                service: SERVICE.into(),
                to: "v2".into(),
                created: 1,
            },
            window_ms: self.setup.window_s * 1_000,
            revision: StorePosition::new(0, 1_000),
            status: RolloutStatus::Ordered,
        };
        self.rollout = Some(rollout);
        for entry in &mut self.entries {
            entry.table.set_upstreams(&self.upstreams);
        }
        self.show_order();
    }

    /// Shows the order to those that ask the store: the first three.
    fn show_order(&mut self) {
        let Some(rollout) = self.rollout.clone() else {
            return;
        };
        let up = (0..self.entries.len()).filter(|entry| self.entries[*entry].is_up);
        let askers: Vec<usize> = up.take(3).collect();
        for asker in askers {
            let entry = &mut self.entries[asker];
            let rollouts = [rollout.clone()];
            let entries = self.setup.entries;
            entry
                .table
                .apply_stored(&rollouts, rollout.revision, entries, self.now_ms);
            entry.eligible = entry.table.eligible_upstreams();
        }
    }

    fn step(&mut self, number: usize) {
        self.at(self.now_ms + STEP_MS, Event::Step(number));
        if !self.entries[number].is_up {
            return;
        }
        let up = (0..self.entries.len()).filter(|other| self.entries[*other].is_up);
        let up: Vec<SocketAddr> = up.map(address).collect();
        let coordinators = coordinators(up.iter().copied());
        let own = address(number);
        let facts = FleetSnapshot {
            coordinator_rank: coordinators
                .iter()
                .position(|coordinator| *coordinator == own),
            live_peers: up.iter().copied().filter(|other| *other != own).collect(),
            has_silent_peers: up.len() < self.entries.len(),
            old_version: OldVersionSight {
                list_as_of_ms: Some(self.now_ms),
                upstream_silence_ms: DEFAULT_SILENCE_MS,
                ..OldVersionSight::default()
            },
            ..FleetSnapshot::default()
        };
        let all = self.entries[number].table.step(&facts, self.now_ms);
        for (_, next) in all {
            self.carry_out(number, next, &coordinators);
        }
    }

    fn carry_out(&mut self, number: usize, next: RolloutAction, coordinators: &[SocketAddr]) {
        match next {
            RolloutAction::Broadcast(state) => {
                for other in 0..self.entries.len() {
                    self.send(number, other, RolloutMessage::State(state.clone()));
                }
            }
            RolloutAction::Report(report) => {
                for coordinator in coordinators {
                    let to = entry_address::number(*coordinator);
                    self.send(number, to, RolloutMessage::Report(report.clone()));
                }
            }
            RolloutAction::WriteStatus(status) => {
                let rollout = self.entries[number].table.progress(SERVICE);
                if let Some(rollout) = rollout.map(RolloutProgress::rollout).cloned() {
                    let event = Event::WriteStatus(number, Box::new(rollout), status);
                    self.at(self.now_ms + WRITE_MS, event);
                }
            }
            RolloutAction::UpdateEligibleUpstreams => {
                let entry = &mut self.entries[number];
                entry.eligible = entry.table.eligible_upstreams();
            }
            RolloutAction::Log(reason) => self.ended.reason = reason.name(),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: RolloutMessage) {
        if from != to && !self.rng.random_bool(LOST_PART) {
            let event = Event::Message(to, from, Box::new(message));
            self.at(self.now_ms + MESSAGE_MS, event);
        }
    }

    fn handle_message(&mut self, to: usize, from: usize, message: &RolloutMessage) {
        let entry = &mut self.entries[to];
        if !entry.is_up {
            return;
        }
        let entries = self.setup.entries;
        let next = entry
            .table
            .handle_message(address(from), message, entries, self.now_ms);
        if next.contains(&RolloutAction::UpdateEligibleUpstreams) {
            entry.eligible = entry.table.eligible_upstreams();
        }
    }

    fn write(&mut self, entry: usize, rollout: &Rollout, status: RolloutStatus) {
        let Some(known) = &mut self.rollout else {
            return;
        };
        if !self.entries[entry].is_up || known.revision != rollout.revision {
            return;
        }
        known.revision = known.revision.following();
        known.status = status;
        if status.is_final() {
            let deadline_ms = BEFORE_MS + self.setup.window_s * 1_000;
            self.ended.is_completed = Some(status == RolloutStatus::Completed);
            self.ended.is_in_time = self.now_ms <= deadline_ms;
        }
        if status == RolloutStatus::Completed {
            self.stop_old();
        }
        self.show_order();
    }

    /// The operator's side ends the old upstreams at once.
    fn stop_old(&mut self) {
        let cut: Vec<Run> = self
            .runs
            .values()
            .filter(|run| run.upstream < self.old)
            .cloned()
            .collect();
        for run in cut {
            self.runs.swap_remove(&run.id);
            if run.is_pinned {
                self.ended.cut += 1;
            } else {
                self.ended.moved += 1;
                self.count_at_new();
            }
        }
    }

    fn count_at_new(&mut self) {
        let deadline_ms = BEFORE_MS + self.setup.window_s * 1_000;
        if self.now_ms <= deadline_ms {
            self.ended.at_new += 1;
        }
        let is_too_late = |fiftieth_ms: u64| self.now_ms > fiftieth_ms + STOP_WITHIN_MS;
        self.ended.too_late += usize::from(self.fiftieth_ms.is_some_and(is_too_late));
    }

    fn request(&mut self) {
        let mean_ms = 1_000.0 / numbers::as_f64(self.setup.requests_per_s);
        // Several may come within a millisecond.
        let mut left_ms = 0.0;
        while left_ms < 1.0 {
            left_ms += -mean_ms * self.rng.random::<f64>().max(1e-9).ln();
            self.begin();
        }
        let pause_ms = numbers::whole_u64(left_ms).max(1);
        self.at(self.now_ms + pause_ms, Event::Request);
    }

    fn begin(&mut self) {
        let number = self.rng.random_range(0..self.entries.len());
        if !self.entries[number].is_up {
            return;
        }
        let route = self.rng.random_range(0..ROUTES);
        let is_pinned = route.is_multiple_of(3);
        let name = format!("r{route}");
        let random = self.rng.random();
        let target = self.entries[number].table.choose_target(
            SERVICE,
            &name,
            is_pinned,
            self.now_ms,
            random,
        );
        let Some(upstream) = self.choose(number, target) else {
            return;
        };
        let entry = &mut self.entries[number];
        entry
            .table
            .record_dispatch(&self.upstreams[upstream], &name, is_pinned);
        if is_pinned {
            entry.table.pin(&self.upstreams[upstream]);
        }
        let deadline_ms = BEFORE_MS + self.setup.window_s * 1_000;
        let is_within = (BEFORE_MS..=deadline_ms).contains(&self.now_ms);
        self.ended.requests += usize::from(is_within);
        self.running[upstream] += 1;
        self.start(number, upstream, route, is_pinned);
    }

    fn start(&mut self, number: usize, upstream: usize, route: usize, is_pinned: bool) {
        let is_new = upstream >= self.old;
        if is_new {
            self.count_at_new();
        }
        let flaw = self.setup.flaw.filter(|_| is_new);
        let flaw = flaw.filter(|flaw| self.hits(*flaw, upstream, route));
        let is_failed = flaw.is_some_and(|flaw| flaw.slower <= 1.0);
        let grey = if self.is_grey[upstream] {
            GREY_FAILED
        } else if route == FAILING_ROUTE {
            ROUTE_FAILED
        } else {
            BASE_FAILED
        };
        let has_failed = is_failed || self.rng.random_bool(grey);
        let spread = LogNormal::new(0.0, SPREAD).expect("a spread");
        let slower = flaw.map_or(1.0, |flaw| flaw.slower);
        let hold_ms = USUAL_MS * self.slowness[upstream] * spread.sample(&mut self.rng) * slower;
        self.next += 1;
        let run = Run {
            id: self.next,
            entry: number,
            incarnation: self.entries[number].incarnation,
            upstream,
            route,
            is_pinned,
            is_bad: flaw.is_some(),
            has_failed,
            began_ms: self.now_ms,
        };
        self.runs.insert(run.id, run.clone());
        let ends_ms = self.now_ms + numbers::whole_u64(hold_ms).max(1);
        self.at(ends_ms, Event::Ended(Box::new(run)));
    }

    fn hits(&mut self, flaw: Flaw, upstream: usize, route: usize) -> bool {
        let is_time = match flaw.when {
            When::AtOnce => true,
            When::Later => self.now_ms >= self.turns_bad_ms,
            When::Loaded => self.running[upstream] * 2 > SLOTS,
            When::OneRoute => route == 1,
        };
        is_time && self.rng.random_bool(flaw.part)
    }

    fn choose(&mut self, number: usize, target: RequestTarget) -> Option<usize> {
        let eligible = &self.entries[number].eligible;
        let fits = |upstream: &&Arc<Upstream>| {
            let is_trial = eligible.canaries.contains(&upstream.instance);
            is_trial == (target == RequestTarget::Canary)
        };
        let all: Vec<usize> = eligible
            .upstreams
            .iter()
            .filter(fits)
            .filter_map(|upstream| usize::try_from(upstream.revision.revision).ok())
            .collect();
        if all.is_empty() {
            return (target == RequestTarget::Canary)
                .then(|| self.choose(number, RequestTarget::Serving))?;
        }
        let drawn = (0..4).map(|_| all[self.rng.random_range(0..all.len())]);
        let drawn: Vec<usize> = drawn.collect();
        drawn
            .into_iter()
            .min_by_key(|upstream| self.running[*upstream])
    }

    fn run_ended(&mut self, run: &Run) {
        self.running[run.upstream] -= 1;
        if self.runs.swap_remove(&run.id).is_none() {
            return;
        }
        if run.is_bad {
            self.ended.bad_answers += 1;
            if self.ended.bad_answers == BAD_ANSWERS {
                self.fiftieth_ms = Some(self.now_ms);
            }
        }
        let entry = &mut self.entries[run.entry];
        if !entry.is_up || entry.incarnation != run.incarnation {
            return;
        }
        let upstream = &self.upstreams[run.upstream];
        if run.is_pinned {
            entry.table.unpin(upstream);
        }
        let came = if run.has_failed {
            RunOutcome::Failed
        } else {
            RunOutcome::Answered {
                ms_per_event: numbers::as_f64(self.now_ms - run.began_ms),
            }
        };
        entry
            .table
            .record_run_outcome(upstream, &format!("r{}", run.route), came);
    }
}
