//! Processes that spread their configuration in virtual time, over a network that loses.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::config::spread::Spread;
use sardinewood::config::spread::SpreadAction;
use sardinewood::config::spread::SpreadTimings;
use sardinewood::config::spread_message::Datagram;
use sardinewood::config::spread_message::Identity;
use sardinewood::config::spread_message::Purpose;
use sardinewood::config::spread_message::Report;
use sardinewood::config::spread_message::Role;
use sardinewood::config::spread_message::SPREAD_PROTOCOL;
use sardinewood::config::state::ConfigState;
use sardinewood::ids::Incarnation;
use sardinewood::store::position::StorePosition;

/// How long one step of the network takes.
const STEP_MS: u64 = 5;

pub struct Process {
    pub spread: Spread,
    pub state: ConfigState,
    pub unreachable: bool,
    pub wants_list: bool,
    next_tick_ms: u64,
}

enum Message {
    Datagram(Datagram),
    Fetch { after: StorePosition },
}

pub struct Network {
    pub processes: Vec<Process>,
    pub now_ms: u64,
    pub datagrams: u64,
    pub fetches: u64,
    pub loss: f64,
    under_way: Vec<(usize, usize, Message)>,
    random: StdRng,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + u16::try_from(index).unwrap()))
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}

fn report(index: usize, state: &ConfigState) -> Report {
    Report {
        identity: Identity {
            name: format!("entry-{index}").into(),
            role: Role::Entry,
            data_centre: "wdh-1".into(),
            incarnation: Incarnation(index as u64),
        },
        digest: state.digest(),
        above: state.above(),
    }
}

impl Network {
    /// As many processes, each of which knows the first two to begin with.
    pub fn new(count: usize, random_seed: u64) -> Self {
        let mut network = Self {
            processes: Vec::new(),
            now_ms: 0,
            datagrams: 0,
            fetches: 0,
            loss: 0.0,
            under_way: Vec::new(),
            random: StdRng::seed_from_u64(random_seed),
        };
        for _ in 0..count {
            network.add(ConfigState::default());
        }
        network
    }

    pub fn add(&mut self, state: ConfigState) -> usize {
        let index = self.processes.len();
        let seeds = [address(0), address(1)];
        let incarnation = Incarnation(index as u64);
        let timings = SpreadTimings::default();
        let spread = Spread::new(incarnation, &seeds, timings, self.random.random());
        self.processes.push(Process {
            spread,
            state,
            unreachable: false,
            wants_list: false,
            next_tick_ms: self.now_ms + self.random.random_range(0..timings.tick_ms),
        });
        index
    }

    /// Changes what a process holds and lets it tell the others.
    pub fn change(&mut self, index: usize, change: impl FnOnce(&mut ConfigState)) {
        let process = &mut self.processes[index];
        let before = process.state.digest();
        change(&mut process.state);
        let after = process.state.digest();
        if (before.newest, before.hash) != (after.newest, after.hash) {
            let actions = self.processes[index].spread.changed();
            let process = &mut self.processes[index];
            let pause_ms = process.spread.tick_ms(&after);
            process.next_tick_ms = process.next_tick_ms.min(self.now_ms + pause_ms);
            self.carry_out(index, actions);
        }
    }

    /// Runs until `done` or for at most `limit_ms`; returns the time that it took.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let started_ms = self.now_ms;
        while !done(self) && self.now_ms < started_ms + limit_ms {
            self.step();
        }
        self.now_ms - started_ms
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for (from, to, message) in std::mem::take(&mut self.under_way) {
            let cut = self.processes[from].unreachable || self.processes[to].unreachable;
            match message {
                Message::Datagram(datagram) => {
                    if !cut && !self.random.random_bool(self.loss) {
                        self.hear(to, address(from), datagram);
                    }
                }
                Message::Fetch { after } => self.fetch(from, to, after, cut),
            }
        }
        for index in 0..self.processes.len() {
            if self.processes[index].next_tick_ms <= self.now_ms {
                let process = &mut self.processes[index];
                process.next_tick_ms =
                    self.now_ms + process.spread.tick_ms(&process.state.digest());
                let actions = process.spread.tick();
                self.carry_out(index, actions);
            }
        }
    }

    fn hear(&mut self, to: usize, from: SocketAddr, datagram: Datagram) {
        let process = &mut self.processes[to];
        let own = process.state.digest();
        let actions = process.spread.heard(self.now_ms, from, datagram, &own);
        self.carry_out(to, actions);
    }

    fn fetch(&mut self, asker: usize, answerer: usize, after: StorePosition, cut: bool) {
        self.processes[asker].spread.fetch_ended();
        if !cut {
            let answer = self.processes[answerer].state.answer_peer(after);
            self.change(asker, |state| state.apply_peer(&answer));
        }
    }

    fn carry_out(&mut self, index: usize, actions: Vec<SpreadAction>) {
        for action in actions {
            match action {
                SpreadAction::Send { to, purpose } => self.send(index, to, purpose),
                SpreadAction::Fetch { from, after } => {
                    self.fetches += 1;
                    let message = Message::Fetch { after };
                    self.under_way.push((index, self::index(from), message));
                }
                SpreadAction::Agree(digest) => self.processes[index].state.agree(&digest),
                SpreadAction::ListAgain => self.processes[index].wants_list = true,
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, purpose: Purpose) {
        self.datagrams += 1;
        let process = &mut self.processes[from];
        let datagram = Datagram {
            protocol: SPREAD_PROTOCOL,
            report: report(from, &process.state),
            purpose,
            introduced: process.spread.introduced(),
        };
        let message = Message::Datagram(datagram);
        self.under_way.push((from, index(to), message));
    }
}
