//! A fleet of entries in virtual time before one upstream that limits its requests, and does not always
//! say so. Datagrams between entries are late, reordered and lost, and entries are killed and replaced.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::membership::gossip;
use sardinewood::direct::notices::limit_end::LimitReport;
use sardinewood::direct::notices::limit_end::LimitStep;
use sardinewood::direct::notices::notice::NoticeField;
use sardinewood::direct::notices::notice::UpstreamNotice;
use sardinewood::direct::notices::upstream_notices::ANSWER_RESEND_MS;
use sardinewood::direct::notices::upstream_notices::REQUEST_RESEND_MS;
use sardinewood::direct::notices::upstream_notices::UpstreamNotices;
use sardinewood::direct::notices::upstream_state::NoticeUpdate;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::sharing::admission;
use sardinewood::direct::sharing::admission::AdmissionController;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::admission::SlotRelease;
use sardinewood::direct::sharing::admission::SlotRequest;

const UPSTREAM: &str = "i-1";
/// Period in which arrivals are counted against a limit.
const SPAN_MS: u64 = 4_000;
/// Requests that wait at any time.
const WAITING: u64 = 70;
/// Time after which a request that waits is cancelled, and comes again at another entry.
const PATIENCE_MS: u64 = 500;
/// Time after which entries take a silent one for dead, and longest time more.
const SILENCE_MS: u64 = 500;
const DISCOVERY_MS: u64 = 200;
/// Time between two updates of rates and checks of limits.
const STEP_MS: u64 = 100;
/// Time after its first answer with the limit from which an entry's starts count.
const TOLD_AFTER_MS: u64 = 500;
const REPLACED_AFTER_MS: u64 = 3_000;

/// What the upstream does, and what goes wrong between the entries.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub entries: usize,
    pub limit_per_1000_s: u32,
    pub slots: u32,
    /// Time until the upstream answers, or sends the head of a stream.
    pub answer_ms: u64,
    /// Time from then on until a stream ends.
    pub stream_ms: u64,
    /// Part of the answers that do not state the limit.
    pub omitted_part: f64,
    /// What an answer without the limit counts as.
    pub omission: LimitReport,
    /// From when on none states it.
    pub ended_ms: u64,
    pub max_delay_ms: u64,
    pub lost_part: f64,
    /// Time between two kills.
    pub kill_every_ms: Option<u64>,
    /// Time between two stalls, in which the upstream reads nothing, and how long they last.
    pub stalls: Option<(u64, u64)>,
    /// Time after which an entry gives up an unanswered request.
    pub timeout_ms: u64,
}

/// An upstream that states its limit in all answers, and three entries that lose nothing.
pub const STEADY: Setup = Setup {
    entries: 3,
    limit_per_1000_s: 1_400,
    slots: 13,
    answer_ms: 80,
    stream_ms: 0,
    omitted_part: 0.0,
    omission: LimitReport::Omitted,
    ended_ms: u64::MAX,
    max_delay_ms: 5,
    lost_part: 0.0,
    kill_every_ms: None,
    stalls: None,
    timeout_ms: 5_000,
};

enum Event {
    SlotRequest {
        from: usize,
        id: PeerRequestId,
    },
    Cancel {
        from: usize,
        id: PeerRequestId,
    },
    Grant {
        from: usize,
        id: PeerRequestId,
    },
    Release {
        from: usize,
        release: SlotRelease,
    },
    Report(LimitReport),
    Updates(Vec<NoticeUpdate>),
    PeerUp(usize),
    PeerDown(usize),
    /// The upstream answers a request that this owner of the queue has granted.
    Answer {
        owner: usize,
    },
    GaveUp(PeerRequestId),
    /// A request that this owner of the queue has granted was not answered in time.
    TimedOut {
        owner: usize,
    },
}

struct Waiting {
    id: PeerRequestId,
    entry: usize,
    owner: usize,
}

struct Entry {
    /// Counts its processes.
    run: u64,
    killed_ms: Option<u64>,
    /// When it first received the limit from the upstream.
    told_ms: Option<u64>,
    notices: UpstreamNotices,
    admission: AdmissionController,
    /// Entries that it takes for alive.
    alive: Vec<bool>,
}

/// One run of a fleet.
pub struct LimitFleet {
    setup: Setup,
    random: StdRng,
    now_ms: u64,
    entries: Vec<Entry>,
    /// What happens at an entry, by time and number. It concerns one process of the entry.
    events: BTreeMap<(u64, u64), (usize, u64, Event)>,
    next_event: u64,
    waiting: Vec<Waiting>,
    next_id: u64,
    /// Arrivals at the upstream from entries that it has told its limit.
    arrivals_ms: Vec<u64>,
    /// When and with how many answers without it an owner took the limit to have ended.
    pub ends: Vec<(u64, u32)>,
}

fn upstream() -> u32 {
    upstream_hash(UPSTREAM)
}

fn address(entry: usize) -> SocketAddr {
    let entry = u32::try_from(entry).expect("few entries");
    ((0x0a00_0000 + entry).to_be_bytes(), 7).into()
}

fn number(entry: SocketAddr) -> usize {
    let SocketAddr::V4(entry) = entry else {
        panic!("{entry}");
    };
    usize::try_from(entry.ip().to_bits() - 0x0a00_0000).expect("an entry")
}

fn stated(limit_per_1000_s: u32) -> UpstreamNotice {
    UpstreamNotice {
        limit_per_1000_s: NoticeField::Value(limit_per_1000_s),
        ..UpstreamNotice::default()
    }
}

impl LimitFleet {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut fleet = Self {
            setup,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            entries: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            waiting: Vec::new(),
            next_id: 0,
            arrivals_ms: Vec::new(),
            ends: Vec::new(),
        };
        for _ in 0..setup.entries {
            let mut entry = fleet.new_entry(0);
            entry
                .notices
                .record(UPSTREAM, &stated(setup.limit_per_1000_s), 0);
            fleet.entries.push(entry);
        }
        for entry in 0..setup.entries {
            fleet.apply(entry);
        }
        for _ in 0..WAITING {
            fleet.add_waiting();
        }
        fleet
    }

    fn new_entry(&self, run: u64) -> Entry {
        let mut admission = AdmissionController::default();
        admission.set_upstreams([(UPSTREAM.into(), self.setup.slots)]);
        Entry {
            run,
            killed_ms: None,
            told_ms: None,
            notices: UpstreamNotices::default(),
            admission,
            alive: self.live_entries(),
        }
    }

    fn live_entries(&self) -> Vec<bool> {
        let is_live = |entry| {
            let entry: Option<&Entry> = self.entries.get(entry);
            entry.is_none_or(|entry| entry.killed_ms.is_none())
        };
        (0..self.setup.entries).map(is_live).collect()
    }

    pub fn run(mut self, for_ms: u64) -> Self {
        while self.now_ms < for_ms {
            self.replace_entries();
            while let Some(first) = self.events.first_entry()
                && first.key().0 <= self.now_ms
            {
                let (entry, run, event) = first.remove();
                if self.entries[entry].run == run && self.entries[entry].killed_ms.is_none() {
                    self.handle(entry, event);
                }
            }
            if self.now_ms.is_multiple_of(STEP_MS) {
                self.step_all();
            }
            self.grant();
            self.now_ms += 1;
        }
        self
    }

    /// Returns how many entries have the limit in force.
    pub fn limited_entries(&self) -> usize {
        let entries = self.entries.iter();
        entries
            .filter(|entry| entry.killed_ms.is_none() && entry.notices.is_limited(upstream()))
            .count()
    }

    pub fn most_arrived_in_span(&self) -> f64 {
        let mut arrivals = self.arrivals_ms.clone();
        arrivals.sort_unstable();
        let within = |first: usize| {
            let later = arrivals[first..].iter();
            later
                .take_while(|at_ms| **at_ms < arrivals[first] + SPAN_MS)
                .count()
        };
        let most = (0..arrivals.len()).map(within).max().unwrap_or_default();
        f64::from(u32::try_from(most).expect("few arrivals"))
    }

    pub fn arrivals(&self) -> f64 {
        f64::from(u32::try_from(self.arrivals_ms.len()).expect("few arrivals"))
    }

    pub fn allowed_in_span(&self) -> f64 {
        6.0 * f64::from(self.setup.limit_per_1000_s) / 1_000.0 + 5.0
    }

    fn replace_entries(&mut self) {
        let Some(every_ms) = self.setup.kill_every_ms else {
            return;
        };
        if self.now_ms % every_ms == every_ms - 1 {
            let victim = self.random.random_range(0..self.entries.len());
            if self.entries[victim].killed_ms.is_none() {
                self.entries[victim].killed_ms = Some(self.now_ms);
                for peer in self.peers(victim) {
                    let delay_ms = SILENCE_MS + self.random.random_range(0..DISCOVERY_MS);
                    self.schedule(delay_ms, peer, Event::PeerDown(victim));
                }
            }
        }
        for entry in 0..self.entries.len() {
            let killed_ms = self.entries[entry].killed_ms;
            if killed_ms.is_some_and(|killed_ms| self.now_ms >= killed_ms + REPLACED_AFTER_MS) {
                let run = self.entries[entry].run + 1;
                self.entries[entry] = self.new_entry(run);
                for peer in self.peers(entry) {
                    let delay_ms = self.random.random_range(0..DISCOVERY_MS);
                    self.schedule(delay_ms, peer, Event::PeerUp(entry));
                }
            }
        }
    }

    fn peers(&self, entry: usize) -> Vec<usize> {
        (0..self.entries.len())
            .filter(|other| *other != entry)
            .collect()
    }

    fn schedule(&mut self, delay_ms: u64, entry: usize, event: Event) {
        let key = (self.now_ms + delay_ms, self.next_event);
        self.next_event += 1;
        let run = self.entries[entry].run;
        self.events.insert(key, (entry, run, event));
    }

    /// Sends a datagram, which may get lost unless it stays at its entry.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            self.schedule(0, to, event);
        } else if self.random.random::<f64>() >= self.setup.lost_part {
            let delay_ms = self.random.random_range(1..=self.setup.max_delay_ms);
            self.schedule(delay_ms, to, event);
        }
    }

    fn send_updates(&mut self, from: usize, updates: &[NoticeUpdate], most: usize) {
        if updates.is_empty() {
            return;
        }
        let mut peers = self.peers(from);
        while peers.len() > most {
            let index = self.random.random_range(0..peers.len());
            peers.swap_remove(index);
        }
        for peer in peers {
            self.send(from, peer, Event::Updates(updates.to_vec()));
        }
    }

    fn owner(&self, entry: usize) -> usize {
        let alive = &self.entries[entry].alive;
        let alive = (0..alive.len()).filter(|other| *other == entry || alive[*other]);
        let owner = admission::owner(upstream(), alive.map(address));
        number(owner.expect("the entry itself"))
    }

    fn add_waiting(&mut self) {
        let entry = self.random.random_range(0..self.entries.len());
        let id = PeerRequestId(self.next_id);
        self.next_id += 1;
        let owner = self.owner(entry);
        if self.entries[entry].notices.is_limited(upstream()) {
            self.resend_to(owner, entry, REQUEST_RESEND_MS);
        }
        self.waiting.push(Waiting { id, entry, owner });
        self.send(entry, owner, Event::SlotRequest { from: entry, id });
        let patience_ms = self.random.random_range(PATIENCE_MS / 2..PATIENCE_MS);
        self.schedule(patience_ms, entry, Event::GaveUp(id));
    }

    fn handle(&mut self, entry: usize, event: Event) {
        let entry_ref = |from: usize| {
            if from == entry {
                EntryRef::Local
            } else {
                EntryRef::Peer(address(from))
            }
        };
        match event {
            Event::SlotRequest { from, id } => {
                let slot_request = SlotRequest {
                    id,
                    upstream: upstream(),
                    worth_micros: 1_000,
                    objective_in_ms: 500,
                    waited_ms: 0,
                };
                let admission = &mut self.entries[entry].admission;
                admission.enqueue(entry_ref(from), slot_request, self.now_ms);
            }
            Event::Cancel { from, id } => {
                let admission = &mut self.entries[entry].admission;
                admission.cancel(entry_ref(from), upstream(), id);
            }
            Event::Release { from, release } => {
                let admission = &mut self.entries[entry].admission;
                admission.release(entry_ref(from), upstream(), release);
            }
            Event::Grant { from, id } => self.start_request(entry, from, id),
            Event::Answer { owner } => self.handle_answer(entry, owner),
            Event::Report(report) => self.handle_report(entry, report),
            Event::Updates(updates) => self.merge(entry, &updates),
            Event::PeerDown(peer) => {
                self.entries[entry].alive[peer] = false;
                let admission = &mut self.entries[entry].admission;
                admission.expire_peers(Some(address(peer)), self.now_ms);
            }
            Event::PeerUp(peer) => {
                self.entries[entry].alive[peer] = true;
                self.entries[entry].notices.make_resends_due();
                let random = self.random.random_range(0..usize::MAX);
                if gossip::should_sync(self.entries.len(), random) {
                    let updates = self.entries[entry].notices.next_updates(self.now_ms);
                    if !updates.is_empty() {
                        self.send(entry, peer, Event::Updates(updates));
                    }
                }
            }
            Event::TimedOut { owner } => self.release(entry, owner, SlotRelease::Unanswered),
            Event::GaveUp(id) => {
                if let Some(index) = self.waiting.iter().position(|waiting| waiting.id == id) {
                    let waiting = self.waiting.swap_remove(index);
                    self.send(entry, waiting.owner, Event::Cancel { from: entry, id });
                    self.add_waiting();
                }
            }
        }
    }

    fn start_request(&mut self, entry: usize, owner: usize, id: PeerRequestId) {
        let Some(index) = self.waiting.iter().position(|waiting| waiting.id == id) else {
            self.release(entry, owner, SlotRelease::Unused);
            return;
        };
        self.waiting.swap_remove(index);
        let told_ms = self.entries[entry].told_ms;
        if told_ms.is_some_and(|told_ms| self.now_ms >= told_ms + TOLD_AFTER_MS) {
            self.arrivals_ms.push(self.now_ms + self.stalled_for_ms());
        }
        let answered_in_ms = self.stalled_for_ms() + self.setup.answer_ms;
        if answered_in_ms <= self.setup.timeout_ms {
            self.schedule(answered_in_ms, entry, Event::Answer { owner });
        } else {
            self.schedule(self.setup.timeout_ms, entry, Event::TimedOut { owner });
        }
        self.add_waiting();
    }

    /// Returns for how long the upstream still reads nothing.
    fn stalled_for_ms(&self) -> u64 {
        let Some((every_ms, for_ms)) = self.setup.stalls else {
            return 0;
        };
        let since_ms = self.now_ms % every_ms;
        let has_begun = self.now_ms >= every_ms;
        if has_begun {
            for_ms.saturating_sub(since_ms)
        } else {
            0
        }
    }

    fn release(&mut self, entry: usize, owner: usize, release: SlotRelease) {
        let from = entry;
        self.send(entry, owner, Event::Release { from, release });
    }

    fn handle_answer(&mut self, entry: usize, owner: usize) {
        let is_omitted = self.now_ms >= self.setup.ended_ms
            || self.random.random::<f64>() < self.setup.omitted_part;
        let report = if is_omitted {
            self.setup.omission
        } else {
            LimitReport::Stated
        };
        if !is_omitted {
            self.record_statement(entry);
        }
        if self.entries[entry].notices.is_limited(upstream()) {
            let owner = self.owner(entry);
            if owner == entry {
                self.handle_report(entry, report);
            } else {
                self.send(entry, owner, Event::Report(report));
            }
        }
        let held_ms = u32::try_from(self.setup.answer_ms + self.setup.stream_ms);
        let held_ms = held_ms.expect("a short time");
        let release = if report == LimitReport::OmittedByFailure {
            SlotRelease::Unanswered
        } else {
            SlotRelease::Answered { held_ms }
        };
        let delay_ms = self.setup.stream_ms + self.random.random_range(0..=self.setup.max_delay_ms);
        self.schedule(
            delay_ms,
            owner,
            Event::Release {
                from: entry,
                release,
            },
        );
    }

    fn record_statement(&mut self, entry: usize) {
        let now_ms = self.now_ms;
        self.entries[entry].told_ms.get_or_insert(now_ms);
        let notices = &mut self.entries[entry].notices;
        let changes = notices.record(UPSTREAM, &stated(self.setup.limit_per_1000_s), now_ms);
        if changes.is_empty() {
            self.resend_to(self.owner(entry), entry, ANSWER_RESEND_MS);
            return;
        }
        let updates = notices.updates_for_instance(UPSTREAM, now_ms);
        self.send_updates(entry, &updates, usize::MAX);
        self.apply(entry);
    }

    fn resend_to(&mut self, owner: usize, entry: usize, interval_ms: u64) {
        let notices = &mut self.entries[entry].notices;
        if owner != entry && notices.take_due_resend(UPSTREAM, interval_ms, self.now_ms) {
            let updates = notices.updates_for_instance(UPSTREAM, self.now_ms);
            self.send(entry, owner, Event::Updates(updates));
        }
    }

    fn handle_report(&mut self, entry: usize, report: LimitReport) {
        let state = &mut self.entries[entry];
        let answer_ms = state.admission.usual_hold_ms(upstream());
        let notices = &mut state.notices;
        let step = notices.record_limit_report(upstream(), report, answer_ms, self.now_ms);
        state
            .admission
            .record_answer(upstream(), step == LimitStep::Probe);
        match step {
            LimitStep::Keep | LimitStep::Probe => {}
            LimitStep::End => self.end_limit(entry),
            LimitStep::Resume => self.announce(entry),
        }
    }

    fn end_limit(&mut self, entry: usize) {
        let notices = &self.entries[entry].notices;
        self.ends
            .push((self.now_ms, notices.limit_omissions(upstream())));
        self.announce(entry);
    }

    fn announce(&mut self, entry: usize) {
        let notices = &self.entries[entry].notices;
        let updates = notices.updates_for(&[upstream()], self.now_ms);
        self.send_updates(entry, &updates, usize::MAX);
        self.apply(entry);
    }

    fn merge(&mut self, entry: usize, updates: &[NoticeUpdate]) {
        let notices = &mut self.entries[entry].notices;
        let changed = notices.merge(updates, self.now_ms);
        let updates = notices.updates_for(&changed, self.now_ms);
        self.send_updates(entry, &updates, gossip::FORWARD_PEERS);
        if !changed.is_empty() {
            self.apply(entry);
        }
    }

    fn apply(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        let rates = state.notices.rates(self.now_ms);
        state.admission.set_limits(rates, self.now_ms);
    }

    fn step_all(&mut self) {
        for entry in 0..self.entries.len() {
            let state = &mut self.entries[entry];
            if state.killed_ms.is_some() {
                continue;
            }
            let answer_ms = state.admission.usual_hold_ms(upstream());
            let notices = &mut state.notices;
            if notices.check_limit(upstream(), answer_ms, self.now_ms) == LimitStep::End {
                self.end_limit(entry);
            }
            self.apply(entry);
            let offset_ms = STEP_MS * u64::try_from(entry).expect("few entries");
            if (self.now_ms + offset_ms).is_multiple_of(gossip::RESEND_INTERVAL_MS) {
                let updates = self.entries[entry].notices.next_updates(self.now_ms);
                self.send_updates(entry, &updates, gossip::RESEND_PEERS);
            }
        }
        // Requests of killed entries are gone, and their callers go elsewhere.
        let entries = &self.entries;
        let before = self.waiting.len();
        self.waiting
            .retain(|waiting| entries[waiting.entry].killed_ms.is_none());
        for _ in self.waiting.len()..before {
            self.add_waiting();
        }
    }

    fn grant(&mut self) {
        let mut grants = Vec::new();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            if entry.killed_ms.is_some() {
                continue;
            }
            while let Some(grant) = entry.admission.next_grant(self.now_ms) {
                grants.push((number, grant));
            }
        }
        for (owner, grant) in grants {
            let to = match grant.to {
                EntryRef::Local => owner,
                EntryRef::Peer(peer) => number(peer),
            };
            let id = grant.request_id;
            self.send(owner, to, Event::Grant { from: owner, id });
        }
    }
}
