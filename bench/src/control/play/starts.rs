//! Scenes in which entries start: who calls the store, and how lists reach all.
//!
//! The role of an entry and the peer that it pulls from come from the modules that ship. The calls
//! and pulls that follow from them are modelled after the followers of the store.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::membership::heartbeat_round::HeartbeatRound;
use sardinewood::direct::membership::peer_message::CatalogPosition;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::Revisions;
use sardinewood::direct::membership::peer_table::PeerTable;
use sardinewood::direct::membership::store_role::StoreRole;
use sardinewood::direct::replication::spread::SpreadMessage;
use sardinewood::direct::replication::spread::SpreadStep;
use sardinewood::store::position::StorePosition;
use serde::Serialize;

use super::CROSS_DATA_CENTRE_US;
use super::Event;
use super::Host;
use super::LISTED_UPSTREAM_BYTES;
use super::LONG_CHANGE_BYTES;
use super::PULL_US;
use super::Play;
use super::QUIET_MS;
use super::SHORT_CHANGE_BYTES;
use super::Scene;
use super::UPSTREAMS_OF_ENTRY;
use super::US_PER_MS;
use super::seeds;
use crate::entry_address;

/// Time within which all entries start.
const START_SPAN_MS: u64 = 300;
const LONGEST_START_MS: u64 = 20_000;
/// Rounds in which the whole fleet is restarted, and their time in all.
const STEPS: usize = 20;
const RESTART_MS: u64 = 60_000;
const DOWN_MS: u64 = 500;
const CHANGE_INTERVAL_MS: usize = 500;
/// Time of the first change after the first stop, so that changes fall on all phases of a step.
const FIRST_CHANGE_MS: u64 = 50;
/// Time for the last change and the last restarted entries.
const TAIL_MS: u64 = 5_000;
const US_PER_S: u64 = 1_000 * US_PER_MS;

/// Kinds of objects that are listed and watched, each by calls of its own.
const KINDS: usize = 2;
const CATALOG: usize = 0;
const UPSTREAMS: usize = 1;
/// Time of a call to the store besides the transfer.
const STORE_CALL_US: u64 = 20_000;
/// How long a watch waits, by kind, and the pauses of the store's follower after its first list and
/// after a batch of changes.
const WATCH_WAIT_US: [u64; KINDS] = [1_000_000, 750_000];
const STARTUP_PAUSE_US: u64 = 400_000;
const BATCH_PAUSE_US: u64 = 200_000;
/// Time within which changes are in force everywhere.
const BOUND_MS: u64 = 13_000;

/// Limits of a pull, as those of `peer_pull` and of the store's follower.
const PULL_TIMEOUT_US: u64 = 800_000;
const PULL_DELAY_US: u64 = 300_000;
const PULL_PAUSE_US: u64 = 50_000;
const MAX_LONG_SENDS: usize = 4;
const MAX_NAMED_PEERS: usize = 16;
const MAX_BUSY_PEERS: u8 = 4;
/// Changes up to which a spread update reaches back.
const SPREAD_CHANGES: u64 = 2;

/// What the busiest and the middle entry send or receive in their worst second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WorstSecond {
    /// Messages that the middle and the busiest entry send, a list counted as one.
    pub sent: [u64; 2],
    /// Bytes that they send, headers of datagrams included.
    pub sent_bytes: [u64; 2],
    /// Messages that the middle and the busiest entry receive.
    pub received: [u64; 2],
    /// Their bytes.
    pub received_bytes: [u64; 2],
}

/// What a start of all entries within 0.3 s came to.
#[derive(Clone, Debug, Serialize)]
pub struct StartReport {
    /// Entries of the fleet.
    pub entries: usize,
    /// The scene's name.
    pub scene: &'static str,
    /// Time from the first start until each entry knows all others; none if it took over 20 s.
    pub all_known_ms: Option<u64>,
    /// The same until each has the list of upstreams and the configuration.
    pub all_listed_ms: Option<u64>,
    /// Calls to the store until both.
    pub store_calls: u64,
    /// Entries that have made them.
    pub store_callers: usize,
    /// Traffic until both.
    pub worst_second: WorstSecond,
}

#[derive(Debug, Clone, Copy, Default)]
struct Second {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
}

/// Messages and bytes of an entry by second.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    seconds: Vec<Second>,
}

impl Traffic {
    fn second(&mut self, now_us: u64) -> &mut Second {
        let index = usize::try_from(now_us / US_PER_S).unwrap_or_default();
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }

    pub(super) fn count_sent(&mut self, now_us: u64, bytes: u64) {
        let second = self.second(now_us);
        second.sent += 1;
        second.sent_bytes += bytes;
    }

    pub(super) fn count_received(&mut self, now_us: u64, bytes: u64) {
        let second = self.second(now_us);
        second.received += 1;
        second.received_bytes += bytes;
    }
}

/// Calls of one kind of objects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum CallState {
    #[default]
    Idle,
    /// Calls at a random time unless the role changes.
    Probing,
    Open,
    Pausing,
}

#[derive(Debug, Clone, Copy, Default)]
struct Calls {
    state: CallState,
    /// Number of the step that is awaited; others are out of date.
    step: u64,
    has_listed: bool,
}

/// What an entry does to follow the store.
#[derive(Debug, Default)]
pub(super) struct Follower {
    role: StoreRole,
    calls: [Calls; KINDS],
    answered_us: Option<u64>,
    is_pulling: bool,
    long_sends: usize,
    served: VecDeque<usize>,
    pub(super) traffic: Traffic,
}

impl Follower {
    pub(super) fn store_age_ms(&self, now_us: u64) -> Option<u32> {
        let age_ms = (now_us - self.answered_us?) / US_PER_MS;
        u32::try_from(age_ms).ok()
    }
}

/// The store.
#[derive(Debug, Default)]
pub(super) struct Store {
    revisions: Revisions,
    calls: u64,
    /// Entries that have called it.
    callers: BTreeSet<usize>,
    /// Revision of the list before the changes.
    first_revision: u64,
    /// When each change of the list was made.
    changed_us: Vec<u64>,
    /// Time from the start of each entry until it had a list.
    listed_after_us: Vec<u64>,
}

/// A process of an entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct Process {
    number: usize,
    incarnation: u64,
}

#[derive(Debug, Clone, Copy)]
pub(super) enum StartEvent {
    Start(usize),
    Stop(usize),
    Change,
    /// A call is due, is answered, or its pause is over.
    Call {
        by: Process,
        kind: usize,
        step: u64,
    },
    Ask {
        by: Process,
        peer: usize,
        tries: u8,
    },
    Sent {
        to: Process,
        from: Process,
        revisions: Revisions,
        is_long: bool,
        is_late: bool,
    },
    PullOver(Process),
}

/// Plays a start of all entries within 0.3 s. They know the three seeds only.
///
/// ```
/// use sardinewood_bench::control::play::starts::all_started;
///
/// assert!(all_started(10, 1).all_listed_ms.is_some());
/// ```
#[must_use]
pub fn all_started(entries: usize, seed: u64) -> StartReport {
    let mut fleet = Play::starting(entries, seed);
    let mut all_known_ms = None;
    let mut all_listed_ms = None;
    for now_ms in 1..=LONGEST_START_MS {
        fleet.run_until(now_ms);
        let hosts = &fleet.hosts;
        if all_known_ms.is_none()
            && hosts
                .iter()
                .all(|host| host.table.known_entries() == entries)
        {
            all_known_ms = Some(now_ms);
        }
        let has_all = |host: &Host| !Play::store_of(&fleet).is_ahead_of(host.revisions);
        if all_listed_ms.is_none() && hosts.iter().all(has_all) {
            all_listed_ms = Some(now_ms);
        }
        if all_known_ms.is_some() && all_listed_ms.is_some() {
            break;
        }
    }
    let store = fleet.store.take().unwrap_or_default();
    StartReport {
        entries,
        scene: ALL_STARTED,
        all_known_ms,
        all_listed_ms,
        store_calls: store.calls,
        store_callers: store.callers.len(),
        worst_second: fleet.worst_second(0),
    }
}

/// Name of the scene of [`all_started`].
pub const ALL_STARTED: &str = "all-started";

/// Name of the scene of [`rolling_restart`].
pub const ROLLING_RESTART: &str = "rolling-restart";

/// What a restart of all entries in turn came to.
#[derive(Clone, Debug, Serialize)]
pub struct RestartReport {
    /// Entries of the fleet.
    pub entries: usize,
    /// The scene's name.
    pub scene: &'static str,
    /// Rounds in which a part of the fleet is stopped, over a minute.
    pub steps: usize,
    /// Entries that have come back.
    pub restarted: usize,
    /// Changes of the store meanwhile.
    pub changes: usize,
    /// Middle and longest time from a change until no entry with a list lacks it any more.
    pub change_ms: [u64; 2],
    /// Middle and longest time from the start of an entry until it has the lists.
    pub listed_ms: [u64; 2],
    /// Calls to the store in that time.
    pub store_calls: u64,
    /// Entries that have made them.
    pub store_callers: usize,
    /// Traffic in that time.
    pub worst_second: WorstSecond,
}

/// Plays a restart of all entries in turn, over a minute in which the list of upstreams changes
/// twice a second. Each announces its exit and comes back half a second later under its address.
///
/// ```
/// use sardinewood_bench::control::play::starts::rolling_restart;
///
/// assert_eq!(rolling_restart(10, 1).restarted, 10);
/// ```
#[must_use]
pub fn rolling_restart(entries: usize, seed: u64) -> RestartReport {
    let mut fleet = Play::starting(entries, seed);
    fleet.run_until(QUIET_MS);
    if let Some(store) = fleet.store.as_mut() {
        store.calls = 0;
        store.callers.clear();
        store.listed_after_us.clear();
    }
    for number in 0..entries {
        let step = (number * STEPS / entries) as u64;
        let stopped_ms = QUIET_MS + step * RESTART_MS / STEPS as u64;
        fleet.at(
            stopped_ms * US_PER_MS,
            Event::Start(StartEvent::Stop(number)),
        );
    }
    for changed_ms in (0..RESTART_MS).step_by(CHANGE_INTERVAL_MS) {
        let changed_us = (QUIET_MS + FIRST_CHANGE_MS + changed_ms) * US_PER_MS;
        fleet.at(changed_us, Event::Start(StartEvent::Change));
    }
    let mut lags_ms: Vec<u64> = Vec::new();
    for now_ms in QUIET_MS..QUIET_MS + RESTART_MS + TAIL_MS {
        fleet.run_until(now_ms + 1);
        fleet.record_lags(&mut lags_ms);
    }
    let store = fleet.store.take().unwrap_or_default();
    let listed_ms = store.listed_after_us.iter().map(|us| us / US_PER_MS);
    RestartReport {
        entries,
        scene: ROLLING_RESTART,
        steps: STEPS.min(entries),
        restarted: store.listed_after_us.len(),
        changes: lags_ms.len(),
        change_ms: middle_and_most(lags_ms.into_iter()),
        listed_ms: middle_and_most(listed_ms),
        store_calls: store.calls,
        store_callers: store.callers.len(),
        worst_second: fleet.worst_second(QUIET_MS),
    }
}

/// Returns the middle and the highest value.
fn middle_and_most(values: impl Iterator<Item = u64>) -> [u64; 2] {
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    let at = |index: usize| values.get(index).copied().unwrap_or_default();
    [at(values.len() / 2), at(values.len().saturating_sub(1))]
}

impl Play {
    fn starting(entries: usize, seed: u64) -> Self {
        let mut play = Self::new(entries, Scene::Calm, seed);
        play.events.clear();
        play.bodies.clear();
        play.free.clear();
        let position = StorePosition::new(0, 1);
        play.store = Some(Store {
            revisions: Revisions {
                catalog: CatalogPosition {
                    at: position,
                    version: 1,
                },
                directory: position,
            },
            first_revision: position.revision,
            ..Store::default()
        });
        play.pulled_bytes =
            LONG_CHANGE_BYTES + LISTED_UPSTREAM_BYTES * UPSTREAMS_OF_ENTRY * entries;
        let mut random = StdRng::seed_from_u64(seed);
        for number in 0..entries {
            play.hosts[number].is_up = false;
            let started_us = random.random_range(0..START_SPAN_MS * US_PER_MS);
            play.at(started_us, Event::Start(StartEvent::Start(number)));
        }
        play
    }

    fn store_of(&self) -> Revisions {
        let store = self.store.as_ref();
        store.map(|store| store.revisions).unwrap_or_default()
    }

    /// Records for each change of the list for how long some running entry with a list lacks it.
    fn record_lags(&self, lags_ms: &mut Vec<u64>) {
        let Some(store) = &self.store else {
            return;
        };
        let first = usize::try_from(store.first_revision).unwrap_or_default();
        lags_ms.resize(store.changed_us.len(), 0);
        let running = self.hosts.iter().filter(|host| host.is_up);
        let listed = running.filter(|host| has_list(host.revisions));
        let revisions = listed.map(|host| host.revisions.directory.revision);
        let Some(lowest) = revisions.min() else {
            return;
        };
        let known = usize::try_from(lowest).unwrap_or_default() - first;
        for (lag_ms, changed_us) in lags_ms.iter_mut().zip(&store.changed_us).skip(known) {
            *lag_ms = (self.now_us - changed_us) / US_PER_MS;
        }
    }

    /// Returns the worst second of each entry from a time on.
    fn worst_second(&self, from_ms: u64) -> WorstSecond {
        let first = usize::try_from(from_ms / 1_000).unwrap_or_default();
        let worst = |figure: fn(&Second) -> u64| {
            middle_and_most(self.hosts.iter().map(|host| {
                let seconds = host.follower.traffic.seconds.iter().skip(first);
                seconds.map(figure).max().unwrap_or_default()
            }))
        };
        WorstSecond {
            sent: worst(|second| second.sent),
            sent_bytes: worst(|second| second.sent_bytes),
            received: worst(|second| second.received),
            received_bytes: worst(|second| second.received_bytes),
        }
    }

    fn process(&self, number: usize) -> Process {
        Process {
            number,
            incarnation: self.hosts[number].incarnation,
        }
    }

    fn is_running(&self, process: Process) -> bool {
        let host = &self.hosts[process.number];
        host.is_up && host.incarnation == process.incarnation
    }

    fn after(&mut self, delay_us: u64, event: StartEvent) {
        self.at(self.now_us + delay_us, Event::Start(event));
    }

    pub(super) fn handle_start(&mut self, event: StartEvent) {
        match event {
            StartEvent::Start(number) => self.start(number),
            StartEvent::Stop(number) => self.stop(number),
            StartEvent::Change => self.change_store(),
            StartEvent::Call { by, kind, step } => {
                let calls = &self.hosts[by.number].follower.calls[kind];
                if self.is_running(by) && calls.step == step {
                    self.next_step(by.number, kind);
                }
            }
            StartEvent::Ask { by, peer, tries } => {
                if self.is_running(by) {
                    self.ask(by, peer, tries);
                }
            }
            StartEvent::Sent {
                to,
                from,
                revisions,
                is_long,
                is_late,
            } => self.sent(to, from, revisions, is_long, is_late),
            StartEvent::PullOver(by) => {
                if self.is_running(by) {
                    self.hosts[by.number].follower.is_pulling = false;
                    self.pull_if_behind(by.number);
                }
            }
        }
    }

    /// Starts a process, under the address of the one before it if there was one.
    fn start(&mut self, number: usize) {
        let entries = self.hosts.len();
        let mut host = Host::new(number, &seeds(entries));
        let previous = &mut self.hosts[number];
        host.incarnation = previous.incarnation + entries as u64;
        host.started_us = self.now_us;
        host.follower.traffic = std::mem::take(&mut previous.follower.traffic);
        host.round = HeartbeatRound::new(Vec::new(), 0, 0);
        *previous = host;
        self.slice(number);
    }

    fn stop(&mut self, number: usize) {
        let last = PeerMessage::Heartbeat(Heartbeat {
            is_last: true,
            ..Heartbeat::default()
        });
        let targets: Vec<_> = self.hosts[number].table.heartbeat_targets().collect();
        self.send(number, &targets, &last);
        self.hosts[number].is_up = false;
        self.after(DOWN_MS * US_PER_MS, StartEvent::Start(number));
    }

    fn change_store(&mut self) {
        let now_us = self.now_us;
        let Some(store) = self.store.as_mut() else {
            return;
        };
        store.revisions.directory = store.revisions.directory.following();
        store.changed_us.push(now_us);
        for number in 0..self.hosts.len() {
            let calls = &self.hosts[number].follower.calls[UPSTREAMS];
            if self.hosts[number].is_up && calls.state == CallState::Open && calls.has_listed {
                self.await_step(number, UPSTREAMS, CallState::Open, STORE_CALL_US / 2);
            }
        }
    }

    /// Decides at the begin of a round of heartbeats who calls the store.
    pub(super) fn update_role(&mut self, number: usize) {
        let now_us = self.now_us;
        let host = &mut self.hosts[number];
        let age_ms = host.follower.store_age_ms(now_us);
        let is_served = age_ms.is_some_and(PeerTable::is_recent_answer);
        let clock_ms = host.clock_ms(now_us);
        let role = host
            .table
            .store_role(host.revisions, is_served, BOUND_MS, clock_ms);
        if std::mem::replace(&mut host.follower.role, role) == role {
            return;
        }
        for kind in 0..KINDS {
            let state = self.hosts[number].follower.calls[kind].state;
            if matches!(state, CallState::Idle | CallState::Probing) {
                self.wait_for_call(number, kind);
            }
        }
    }

    fn await_step(&mut self, number: usize, kind: usize, state: CallState, delay_us: u64) {
        let calls = &mut self.hosts[number].follower.calls[kind];
        calls.state = state;
        calls.step += 1;
        let step = calls.step;
        let by = self.process(number);
        self.after(delay_us, StartEvent::Call { by, kind, step });
    }

    fn wait_for_call(&mut self, number: usize, kind: usize) {
        match self.hosts[number].follower.role {
            StoreRole::Watches => self.call(number, kind),
            StoreRole::Probes { pause_ms } => {
                let pause_us = self.random.random_range(0..=pause_ms) * US_PER_MS;
                self.await_step(number, kind, CallState::Probing, pause_us);
            }
            StoreRole::Listens => {
                let calls = &mut self.hosts[number].follower.calls[kind];
                calls.state = CallState::Idle;
                calls.step += 1;
            }
        }
    }

    fn call(&mut self, number: usize, kind: usize) {
        let newest = self.store_of();
        if let Some(store) = self.store.as_mut() {
            store.calls += 1;
            store.callers.insert(number);
        }
        let now_us = self.now_us;
        let list_bytes = self.pulled_bytes as u64;
        let host = &mut self.hosts[number];
        let is_behind = kind == UPSTREAMS && newest.directory > host.revisions.directory;
        let wait_us = if !host.follower.calls[kind].has_listed {
            host.follower.traffic.count_received(now_us, list_bytes);
            let link_us = list_bytes * host.link_ns() / 1_000;
            host.receiving_until_us = host.receiving_until_us.max(now_us) + link_us;
            host.receiving_until_us - now_us
        } else if is_behind {
            0
        } else {
            WATCH_WAIT_US[kind]
        };
        self.await_step(number, kind, CallState::Open, wait_us + STORE_CALL_US);
    }

    fn next_step(&mut self, number: usize, kind: usize) {
        match self.hosts[number].follower.calls[kind].state {
            CallState::Probing => self.call(number, kind),
            CallState::Open => self.answered(number, kind),
            CallState::Idle | CallState::Pausing => self.wait_for_call(number, kind),
        }
    }

    fn answered(&mut self, number: usize, kind: usize) {
        let newest = self.store_of();
        let host = &mut self.hosts[number];
        host.follower.answered_us = Some(self.now_us);
        let is_first = !std::mem::replace(&mut host.follower.calls[kind].has_listed, true);
        let before = host.revisions;
        let mut reached = before;
        if kind == CATALOG {
            reached.catalog = newest.catalog;
        } else {
            reached.directory = newest.directory;
        }
        let has_news = reached.is_ahead_of(before);
        if has_news {
            self.reach(number, reached);
            self.spread_from(number, before);
        }
        let pause_us = if is_first {
            STARTUP_PAUSE_US
        } else if has_news {
            BATCH_PAUSE_US
        } else {
            0
        };
        self.await_step(number, kind, CallState::Pausing, pause_us);
    }

    /// Records what an entry has, and tells those for which it is a relay.
    fn reach(&mut self, number: usize, revisions: Revisions) {
        let now_us = self.now_us;
        let host = &mut self.hosts[number];
        let had_all = has_list(host.revisions);
        let own = &mut host.revisions;
        own.directory = own.directory.max(revisions.directory);
        own.catalog = own.catalog.max(revisions.catalog);
        let own = host.revisions;
        let next = host.relay.take_reached(own);
        let started_us = host.started_us;
        if let Some(store) = self.store.as_mut().filter(|_| !had_all && has_list(own)) {
            store.listed_after_us.push(now_us - started_us);
        }
        let message = SpreadMessage {
            revisions: own,
            ..SpreadMessage::default()
        };
        self.send(number, &next, &PeerMessage::Spread(message));
    }

    fn spread_from(&mut self, number: usize, before: Revisions) {
        let host = &self.hosts[number];
        let targets = host.table.spread_targets(host.clock_ms(self.now_us));
        let is_short = has_list(before);
        let update = vec![7; if is_short { SHORT_CHANGE_BYTES } else { 0 }];
        self.spread(number, targets, &update);
    }

    pub(super) fn receive_spread(&mut self, to: usize, from: usize, spread: &SpreadMessage) {
        let host = &mut self.hosts[to];
        let own = host.revisions;
        match host.relay.receive(spread.clone(), own) {
            SpreadStep::PassOn { to: next, message } => {
                let revisions = message.revisions;
                self.send(to, &next, &PeerMessage::Spread(message));
                let has_changes_before = has_list(own)
                    && own.directory.revision + SPREAD_CHANGES >= revisions.directory.revision;
                if has_changes_before {
                    self.reach(to, revisions);
                } else if revisions.is_ahead_of(own) {
                    self.begin_pull(to, from);
                }
            }
            SpreadStep::Pull => self.begin_pull(to, from),
        }
    }

    /// Begins a pull if a live peer has more and none is under way.
    pub(super) fn pull_if_behind(&mut self, number: usize) {
        let random = self.random.random::<u16>().into();
        let host = &self.hosts[number];
        let now_ms = host.clock_ms(self.now_us);
        if host.follower.is_pulling {
            return;
        }
        let ahead = host.table.peer_ahead_of(host.revisions, random, now_ms);
        if let Some(peer) = ahead {
            self.begin_pull(number, entry_address::number(peer));
        }
    }

    fn begin_pull(&mut self, number: usize, peer: usize) {
        let by = self.process(number);
        let follower = &mut self.hosts[number].follower;
        if std::mem::replace(&mut follower.is_pulling, true) {
            return;
        }
        let delay_us = if follower.role == StoreRole::Watches {
            PULL_DELAY_US
        } else {
            0
        };
        let tries = 0;
        self.after(delay_us, StartEvent::Ask { by, peer, tries });
    }

    fn ask(&mut self, by: Process, peer: usize, tries: u8) {
        let now_us = self.now_us;
        let own = self.hosts[by.number].revisions;
        let source = &self.hosts[peer];
        let (revisions, is_long) = (source.revisions, !has_list(own));
        if !source.is_up || !revisions.is_ahead_of(own) {
            return self.after(2 * PULL_PAUSE_US, StartEvent::PullOver(by));
        }
        if is_long && source.follower.long_sends >= MAX_LONG_SENDS {
            let served = &source.follower.served;
            let named = served.get(self.random.random_range(0..served.len().max(1)));
            let other = named.copied().filter(|other| *other != by.number);
            let event = match other {
                Some(peer) if tries + 1 < MAX_BUSY_PEERS => StartEvent::Ask {
                    by,
                    peer,
                    tries: tries + 1,
                },
                _ => StartEvent::PullOver(by),
            };
            let pause_us = if matches!(event, StartEvent::PullOver(_)) {
                PULL_PAUSE_US
            } else {
                0
            };
            return self.after(4 * CROSS_DATA_CENTRE_US + pause_us, event);
        }
        let bytes = if is_long {
            self.pulled_bytes as u64
        } else {
            SHORT_CHANGE_BYTES as u64
        };
        let source = &mut self.hosts[peer];
        source.follower.long_sends += usize::from(is_long);
        source.follower.traffic.count_sent(now_us, bytes);
        let link_us = bytes * source.link_ns() / 1_000;
        source.sending_until_us = source.sending_until_us.max(now_us) + link_us;
        let sent_us = source.sending_until_us;
        let reader = &mut self.hosts[by.number];
        reader.follower.traffic.count_received(now_us, bytes);
        let link_us = bytes * reader.link_ns() / 1_000;
        reader.receiving_until_us = (reader.receiving_until_us.max(now_us) + link_us).max(sent_us);
        let took_us = reader.receiving_until_us + PULL_US - now_us;
        let event = StartEvent::Sent {
            to: by,
            from: self.process(peer),
            revisions,
            is_long,
            is_late: took_us > PULL_TIMEOUT_US,
        };
        self.after(took_us.min(PULL_TIMEOUT_US), event);
    }

    fn sent(
        &mut self,
        to: Process,
        from: Process,
        revisions: Revisions,
        is_long: bool,
        is_late: bool,
    ) {
        let is_whole = self.is_running(from) && !is_late;
        if self.is_running(from) {
            let follower = &mut self.hosts[from.number].follower;
            follower.long_sends -= usize::from(is_long);
            if is_whole {
                if follower.served.len() >= MAX_NAMED_PEERS {
                    follower.served.pop_front();
                }
                follower.served.push_back(to.number);
            }
        }
        if !self.is_running(to) {
            return;
        }
        if is_whole {
            self.reach(to.number, revisions);
        }
        let pause_us = if is_whole { 1 } else { 2 } * PULL_PAUSE_US;
        self.after(pause_us, StartEvent::PullOver(to));
    }
}

/// Returns whether there are both the list of upstreams and the configuration.
fn has_list(revisions: Revisions) -> bool {
    let none = StorePosition::default();
    revisions.directory > none && revisions.catalog.at > none
}
