//! A fleet of entries in virtual time whose requests fail, and what the platform counts of their retries.

use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use sardinewood::direct::sharing::retry_budget::LOAN_MS;
use sardinewood::direct::sharing::retry_budget::RETRY_MILLIS;
use sardinewood::direct::sharing::retry_budget::RetryBudget;
use sardinewood::direct::sharing::retry_budget::RetryLimits;
use sardinewood::numbers;
use testutils::retry_windows::Allowance;
use testutils::retry_windows::Window;
use testutils::retry_windows::worst_window;

const STEP_MS: u64 = 10;
const STEP_S: f64 = 0.01;
/// Time after its start in which an entry knows no others but the seeds.
const DISCOVERY_MS: u64 = 200;
const SEEDS: usize = 3;
/// Longest time from a caller's sending of a request to its arrival at an entry, and from there to an
/// upstream.
const LATENCY_MS: u64 = 20;
/// Peers that are asked for one retry.
const MAX_LENDERS: usize = 6;

pub const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack_retries: 52.0,
    window_s: 10.0,
};
pub const WINDOW_MS: u64 = 10_000;

/// Whether an entry takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Up,
    /// Its process has ended without a word; its peers still count it. It starts again at this time.
    Down {
        until_ms: u64,
    },
    /// It is suspended and keeps its state.
    Suspended {
        until_ms: u64,
    },
    /// It has told its peers that it ends, and does not come back.
    Left,
}

struct Entry {
    budget: RetryBudget,
    started_ms: u64,
    presence: Presence,
}

impl Entry {
    fn start(now_ms: u64) -> Self {
        Self {
            budget: RetryBudget::new(LIMITS),
            started_ms: now_ms,
            presence: Presence::Up,
        }
    }
}

/// A retry that was granted and waits for a slot.
struct WaitingRetry {
    entry: usize,
    sent_at_ms: u64,
    /// Start of the process that sends it.
    started_ms: u64,
    permit: Permit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Permit {
    reserved_millis: u64,
    /// When what was borrowed expires, if some was.
    until_ms: Option<u64>,
}

/// The load of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second, of all entries.
    pub requests_per_s: f64,
    /// Share of the attempts that fail.
    pub failing: f64,
    /// Longest time for which a retry waits for a slot.
    pub slot_wait_ms: u64,
}

pub struct RetryFleet {
    entries: Vec<Entry>,
    waiting: Vec<WaitingRetry>,
    requests_ms: Vec<u64>,
    retries_ms: Vec<u64>,
    failed: usize,
    now_ms: u64,
    random: StdRng,
    service: Arc<str>,
    pub load: Load,
    /// Whether entries can't reach each other.
    pub is_cut: bool,
}

impl RetryFleet {
    pub fn new(entries: usize, load: Load, seed: u64) -> Self {
        Self {
            entries: (0..entries).map(|_| Entry::start(0)).collect(),
            waiting: Vec::new(),
            requests_ms: Vec::new(),
            retries_ms: Vec::new(),
            failed: 0,
            now_ms: 0,
            random: StdRng::seed_from_u64(seed),
            service: "pool".into(),
            load,
            is_cut: false,
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the share of the failed attempts that were retried.
    pub fn retried_share(&self) -> f64 {
        numbers::ratio(self.retries_ms.len(), self.failed)
    }

    /// Returns the window with most retries beyond those that the platform allows.
    pub fn worst_window(&self) -> Window {
        let allowance = Allowance {
            ratio: LIMITS.ratio,
            slack_retries: LIMITS.slack_retries,
            window_ms: WINDOW_MS,
        };
        let none = Window {
            from_ms: 0,
            retries: 0,
            allowed: LIMITS.slack_retries,
        };
        worst_window(&self.requests_ms, &self.retries_ms, allowance).unwrap_or(none)
    }

    pub fn kill(&mut self, entry: usize, down_ms: u64) {
        let until_ms = self.now_ms + down_ms;
        self.entries[entry].presence = Presence::Down { until_ms };
    }

    pub fn suspend(&mut self, entry: usize, for_ms: u64) {
        if self.entries[entry].presence == Presence::Up {
            let until_ms = self.now_ms + for_ms;
            self.entries[entry].presence = Presence::Suspended { until_ms };
        }
    }

    pub fn leave(&mut self, entry: usize) {
        self.entries[entry].presence = Presence::Left;
    }

    pub fn join(&mut self) {
        self.entries.push(Entry::start(self.now_ms));
    }

    /// Reloads the settings of an entry with a window of another length, and then with the first one.
    pub fn reload(&mut self, entry: usize) {
        let own_ms = self.now_ms.saturating_sub(self.entries[entry].started_ms);
        let budget = &mut self.entries[entry].budget;
        let other = RetryLimits {
            window_s: LIMITS.window_s * 2.0,
            ..LIMITS
        };
        for limits in [other, LIMITS] {
            budget.set_limits(limits, own_ms);
        }
    }

    /// Lets some time pass.
    pub fn run_for(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.update_entries();
        self.send_waiting();
        // A draw for each part of the mean keeps the number of requests irregular.
        let mut left = self.load.requests_per_s * STEP_S;
        while left > 0.0 {
            if self.random.random_bool(left.min(1.0)) {
                self.request();
            }
            left -= 1.0;
        }
    }

    fn update_entries(&mut self) {
        let now_ms = self.now_ms;
        let members = self
            .entries
            .iter()
            .filter(|entry| entry.presence != Presence::Left)
            .count();
        for entry in &mut self.entries {
            match entry.presence {
                Presence::Down { until_ms } if now_ms >= until_ms => *entry = Entry::start(now_ms),
                Presence::Suspended { until_ms } if now_ms >= until_ms => {
                    entry.presence = Presence::Up;
                }
                _ => {}
            }
            let own_ms = now_ms - entry.started_ms;
            if entry.presence == Presence::Up {
                let known = if own_ms < DISCOVERY_MS {
                    members.min(SEEDS + 1)
                } else {
                    members
                };
                entry.budget.set_entry_count(known, own_ms);
            }
        }
    }

    fn up_entries(&self) -> Vec<usize> {
        (0..self.entries.len())
            .filter(|entry| self.entries[*entry].presence == Presence::Up)
            .collect()
    }

    fn request(&mut self) {
        let up = self.up_entries();
        let sent_ms = self.now_ms.saturating_sub(self.latency_ms());
        self.requests_ms.push(sent_ms);
        let Some(entry) = up.choose(&mut self.random).copied() else {
            return;
        };
        let own_ms = self.own_ms(entry);
        self.entries[entry]
            .budget
            .record_request(&self.service, own_ms);
        if !self.random.random_bool(self.load.failing) {
            return;
        }
        self.failed += 1;
        let Some(permit) = self.permit(entry) else {
            return;
        };
        let wait_ms = self.random.random_range(0..=self.load.slot_wait_ms);
        self.waiting.push(WaitingRetry {
            entry,
            sent_at_ms: self.now_ms + wait_ms,
            started_ms: self.entries[entry].started_ms,
            permit,
        });
    }

    fn own_ms(&self, entry: usize) -> u64 {
        self.now_ms - self.entries[entry].started_ms
    }

    fn permit(&mut self, entry: usize) -> Option<Permit> {
        let own_ms = self.own_ms(entry);
        let budget = &mut self.entries[entry].budget;
        let reserved_millis = budget.reserve(&self.service, RETRY_MILLIS, own_ms);
        let missing_millis = RETRY_MILLIS - reserved_millis;
        if missing_millis > 0 && !self.borrow(entry, missing_millis) {
            let budget = &mut self.entries[entry].budget;
            budget.release(&self.service, reserved_millis);
            return None;
        }
        Some(Permit {
            reserved_millis,
            until_ms: (missing_millis > 0).then_some(self.now_ms + LOAN_MS),
        })
    }

    fn borrow(&mut self, entry: usize, mut missing_millis: u64) -> bool {
        if self.is_cut {
            return false;
        }
        for _ in 0..MAX_LENDERS {
            let lender = self.random.random_range(0..self.entries.len());
            if lender == entry || self.entries[lender].presence != Presence::Up {
                continue;
            }
            let own_ms = self.own_ms(lender);
            let budget = &mut self.entries[lender].budget;
            missing_millis -= budget.lend(&self.service, missing_millis, own_ms);
            if missing_millis == 0 {
                return true;
            }
        }
        false
    }

    fn send_waiting(&mut self) {
        let now_ms = self.now_ms;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|retry| retry.sent_at_ms <= now_ms);
        self.waiting = waiting;
        for retry in due {
            let entry = &self.entries[retry.entry];
            if entry.presence == Presence::Up && entry.started_ms == retry.started_ms {
                self.send(&retry);
            }
        }
    }

    /// Sends a retry; one that was borrowed too long ago needs another permit.
    fn send(&mut self, retry: &WaitingRetry) {
        let is_expired = |until_ms| self.now_ms >= until_ms;
        let permit = if retry.permit.until_ms.is_some_and(is_expired) {
            let budget = &mut self.entries[retry.entry].budget;
            budget.release(&self.service, retry.permit.reserved_millis);
            self.permit(retry.entry)
        } else {
            Some(retry.permit)
        };
        let Some(permit) = permit else {
            return;
        };
        let own_ms = self.own_ms(retry.entry);
        let budget = &mut self.entries[retry.entry].budget;
        budget.record_sent(&self.service, permit.reserved_millis, own_ms);
        let arrives_ms = self.now_ms + self.latency_ms();
        self.retries_ms.push(arrives_ms);
    }

    fn latency_ms(&mut self) -> u64 {
        self.random.random_range(1..=LATENCY_MS)
    }
}
