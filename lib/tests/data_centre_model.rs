//! Entries and engines of several data centres in virtual time, for the tests of the choice between
//! data centres. Entries decide by the modules that ship. Each engine's queue is in its own data centre,
//! every message takes a millisecond, and engines hold a slot for a fixed time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
use sardinewood::direct::placement::data_centres::data_centre_hash;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::placement::health::AttemptOutcome;
use sardinewood::direct::placement::job::Job;
use sardinewood::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use sardinewood::direct::placement::slot_search::SearchStep;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::sharing::admission::AdmissionController;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::admission::SlotRelease;
use sardinewood::direct::sharing::admission::SlotRequest;
use sardinewood::direct::store_view::directory::Upstream;

use crate::direct_fixture::job;
use crate::direct_fixture::random_numbers;
use crate::direct_fixture::upstream;

const MESSAGE_MS: u64 = 1;
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time for which a usual engine holds a slot, and after which its first event comes.
pub const HOLD_MS: u64 = 300;
const FIRST_EVENT_MS: u64 = 60;

/// One data centre of the model.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Entries.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Engines among them that take four times as long.
    pub slow: usize,
    /// Slots of each engine.
    pub slots: u32,
}

impl Site {
    /// A data centre with one entry and five engines of five slots.
    pub const USUAL: Self = Self {
        entries: 1,
        engines: 5,
        slow: 0,
        slots: 5,
    };

    /// Returns the requests per second that the engines can serve.
    pub fn capacity(&self) -> f64 {
        let usual = f64::from(u32::try_from(self.engines - self.slow).expect("few engines"));
        let slow = f64::from(u32::try_from(self.slow).expect("few engines"));
        (usual + slow / 4.0) * f64::from(self.slots) * 1_000.0 / 300.0
    }
}

#[derive(Clone, Debug)]
enum Message {
    Request(usize, SlotRequest),
    Cancel(usize, u32, PeerRequestId),
    Queued(usize, PeerRequestId, u32),
    Granted(usize, PeerRequestId, u32),
    Release(usize, u32, SlotRelease),
    FirstEvent(usize, Arc<str>, u64),
    End(usize, Arc<str>, u64, AttemptOutcome),
    Timeout(usize, u64),
}

struct Entry {
    site: usize,
    dispatcher: Dispatcher,
    waiting: IndexMap<u64, SlotSearch>,
    asks: IndexMap<PeerRequestId, (u64, Arc<str>)>,
}

/// What became of the requests that arrived at a data centre within some time.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that started, by data centre.
    pub started: IndexMap<usize, usize>,
    /// Their waits.
    pub waits_ms: Vec<u64>,
    /// Requests that had their first event before their objective.
    pub in_time: usize,
    /// Requests that were refused.
    pub refused: usize,
    /// Requests that were sent to an engine that could not be reached.
    pub failed: usize,
}

impl Tally {
    /// Returns the share of the started requests that left the data centre.
    pub fn left(&self, site: usize) -> f64 {
        let all: usize = self.started.values().sum();
        let stayed = self.started.get(&site).copied().unwrap_or_default();
        1.0 - sardinewood::numbers::ratio(stayed, all.max(1))
    }

    /// Returns the number of requests that started.
    pub fn count(&self) -> usize {
        self.started.values().sum()
    }

    /// Returns the wait that this percentage of the requests did not exceed.
    pub fn wait_ms(&self, percent: usize) -> u64 {
        let mut waits = self.waits_ms.clone();
        waits.sort_unstable();
        waits
            .get(waits.len().saturating_sub(1) * percent / 100)
            .copied()
            .unwrap_or_default()
    }
}

/// The model.
pub struct Model {
    sites: Vec<Site>,
    /// Time of the model.
    pub now_ms: u64,
    entries: Vec<Entry>,
    upstreams: Vec<Arc<Upstream>>,
    slowness: IndexMap<Arc<str>, u64>,
    site_of: IndexMap<Arc<str>, usize>,
    admission: AdmissionController,
    messages: BTreeMap<u64, Vec<Message>>,
    random: Box<dyn FnMut() -> u64>,
    next_job: u64,
    /// Data centres that are cut off from the others.
    pub cut_off: Vec<usize>,
    /// Data centres whose entries send no heartbeats.
    pub silent: Vec<usize>,
    /// Time between two heartbeats.
    pub heartbeat_ms: u64,
    /// Tier of the requests.
    pub tier: u8,
    /// Tallies by data centre; taken and begun anew by [`Self::take`].
    tallies: Vec<Tally>,
}

fn address(entry: usize) -> SocketAddr {
    let port = u16::try_from(1_000 + entry).expect("few entries");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn site_name(site: usize) -> String {
    format!("site-{site}")
}

impl Model {
    /// Creates a model whose entries have this price of a transfer.
    pub fn new(sites: &[Site], price_ms: Option<u64>) -> Self {
        let mut upstreams = Vec::new();
        let mut slowness = IndexMap::new();
        let mut site_of = IndexMap::new();
        for (number, site) in sites.iter().enumerate() {
            for engine in 0..site.engines {
                let name = format!("e-{number}-{engine}");
                let engine_state = Arc::new(Upstream {
                    data_centre: site_name(number).into(),
                    ..Upstream::clone(&upstream(&name, site.slots))
                });
                let factor = if engine < site.slow { 4 } else { 1 };
                slowness.insert(Arc::clone(&engine_state.instance), factor);
                site_of.insert(Arc::clone(&engine_state.instance), number);
                upstreams.push(engine_state);
            }
        }
        let mut admission = AdmissionController::default();
        admission.set_upstreams(
            upstreams
                .iter()
                .map(|up| (Arc::clone(&up.instance), up.slots)),
        );
        let mut entries = Vec::new();
        for (number, site) in sites.iter().enumerate() {
            for _ in 0..site.entries {
                let mut dispatcher = Dispatcher::default();
                dispatcher.set_upstreams(&upstreams);
                dispatcher
                    .data_centres_mut()
                    .set_policy(data_centre_hash(&site_name(number)), price_ms);
                entries.push(Entry {
                    site: number,
                    dispatcher,
                    waiting: IndexMap::new(),
                    asks: IndexMap::new(),
                });
            }
        }
        Self {
            sites: sites.to_vec(),
            now_ms: 0,
            entries,
            upstreams,
            slowness,
            site_of,
            admission,
            messages: BTreeMap::new(),
            random: Box::new(random_numbers()),
            next_job: 0,
            cut_off: Vec::new(),
            silent: Vec::new(),
            heartbeat_ms: 50,
            tier: 0,
            tallies: vec![Tally::default(); sites.len()],
        }
    }

    /// Returns the tallies since the last call, by data centre.
    pub fn take(&mut self) -> Vec<Tally> {
        let empty = vec![Tally::default(); self.sites.len()];
        std::mem::replace(&mut self.tallies, empty)
    }

    /// Returns the share that leaves one data centre for another, by its first entry.
    pub fn share(&self, from: usize, to: usize) -> f64 {
        let entry = self.entries.iter().find(|entry| entry.site == from);
        let dispatcher = &entry.expect("an entry").dispatcher;
        let to = data_centre_hash(&site_name(to));
        dispatcher.data_centres().share("pool", to, self.now_ms)
    }

    /// Changes the upstreams that all entries use.
    pub fn set_upstreams(&mut self, is_kept: impl Fn(&Upstream) -> bool) {
        let kept: Vec<Arc<Upstream>> = self
            .upstreams
            .iter()
            .filter(|up| is_kept(up))
            .cloned()
            .collect();
        for entry in &mut self.entries {
            entry.dispatcher.set_upstreams(&kept);
        }
    }

    /// Runs for some time; `load` is the load by data centre, relative to its own usual capacity, at a
    /// time since the start of this call.
    pub fn run(&mut self, for_ms: u64, load: impl Fn(usize, u64) -> f64) {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + for_ms {
            for message in self.messages.remove(&self.now_ms).unwrap_or_default() {
                self.handle(message);
            }
            if self.now_ms.is_multiple_of(self.heartbeat_ms) {
                self.exchange_heartbeats();
            }
            for site in 0..self.sites.len() {
                let per_ms = load(site, self.now_ms - start_ms) * Site::USUAL.capacity() / 1_000.0;
                let scale = sardinewood::numbers::ratio(self.sites[site].engines.max(1), 5);
                let per_ms = per_ms
                    * if self.sites[site].engines == 0 {
                        1.0
                    } else {
                        scale
                    };
                self.arrivals(site, per_ms);
            }
            self.now_ms += 1;
        }
    }

    fn arrivals(&mut self, site: usize, per_ms: f64) {
        let mut due = per_ms;
        while due > 0.0 {
            let random = sardinewood::numbers::as_f64((self.random)() & 0xffff) / 65_536.0;
            if random < due {
                self.arrive(site);
            }
            due -= 1.0;
        }
    }

    fn arrive(&mut self, site: usize) {
        let at_site: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].site == site)
            .collect();
        let random = usize::try_from((self.random)()).expect("a small number");
        let entry = at_site[random % at_site.len()];
        self.next_job += 1;
        let id = self.next_job;
        let job = Job {
            arrived_ms: self.now_ms,
            read_at_ms: self.now_ms,
            objective_at_ms: self.now_ms + 500,
            deadline_at_ms: self.now_ms + 10_000,
            caller_leaves_at_ms: self.now_ms + 2_400,
            ..job(id, self.tier)
        };
        let state = &mut self.entries[entry];
        state
            .dispatcher
            .data_centres_mut()
            .record_size(job.prompt_tokens);
        let mut search = SlotSearch::new(job);
        let steps = search.start(&state.dispatcher, self.now_ms, &mut self.random);
        state.waiting.insert(id, search);
        self.carry_out(entry, id, steps);
        self.send(REPLY_TIMEOUT_MS, Message::Timeout(entry, id));
    }

    fn send(&mut self, after_ms: u64, message: Message) {
        let at_ms = self.now_ms + after_ms.max(1);
        self.messages.entry(at_ms).or_default().push(message);
    }

    fn is_cut(&self, entry: usize, site: usize) -> bool {
        let own = self.entries[entry].site;
        own != site && (self.cut_off.contains(&own) || self.cut_off.contains(&site))
    }

    fn carry_out(&mut self, entry: usize, id: u64, steps: Vec<SearchStep>) {
        let now_ms = self.now_ms;
        for step in steps {
            let state = &mut self.entries[entry];
            let Some(search) = state.waiting.get(&id) else {
                return;
            };
            match step {
                SearchStep::RequestSlot { id: ask, instance } => {
                    let slot_request =
                        search.slot_request(ask, &instance, &state.dispatcher, now_ms);
                    let is_forced = state.dispatcher.is_forced_elsewhere(&search.job, now_ms);
                    state.dispatcher.record_asked(&instance, is_forced, now_ms);
                    state.asks.insert(ask, (id, Arc::clone(&instance)));
                    if !self.is_cut(entry, self.site_of[&instance]) {
                        self.send(MESSAGE_MS, Message::Request(entry, slot_request));
                    }
                }
                SearchStep::CancelSlotRequest { id: ask, instance } => {
                    state.asks.swap_remove(&ask);
                    self.send(
                        MESSAGE_MS,
                        Message::Cancel(entry, upstream_hash(&instance), ask),
                    );
                }
                SearchStep::StartWithoutGrant { instance } => {
                    self.start(entry, id, &instance, false);
                    return;
                }
                SearchStep::Refuse => {
                    let site = state.site;
                    self.tallies[site].refused += 1;
                    self.stop(entry, id);
                    return;
                }
            }
        }
    }

    fn stop(&mut self, entry: usize, id: u64) -> Option<Job> {
        let mut search = self.entries[entry].waiting.swap_remove(&id)?;
        for step in search.cancel_all() {
            if let SearchStep::CancelSlotRequest { id: ask, instance } = step {
                self.entries[entry].asks.swap_remove(&ask);
                self.send(
                    MESSAGE_MS,
                    Message::Cancel(entry, upstream_hash(&instance), ask),
                );
            }
        }
        Some(search.job)
    }

    fn start(&mut self, entry: usize, id: u64, instance: &Arc<str>, is_granted: bool) {
        let now_ms = self.now_ms;
        let state = &mut self.entries[entry];
        if state.dispatcher.occupy_slot(instance, now_ms).is_none() {
            return;
        }
        let Some(job) = self.stop(entry, id) else {
            return;
        };
        let (site, to) = (self.entries[entry].site, self.site_of[instance]);
        let tally = &mut self.tallies[site];
        tally.waits_ms.push(now_ms - job.arrived_ms);
        let (hold_ms, outcome) = if self.is_cut(entry, to) {
            self.tallies[site].failed += 1;
            (CONNECT_TIMEOUT_MS, AttemptOutcome::Broken)
        } else {
            let factor = self.slowness[instance];
            let first_ms = FIRST_EVENT_MS * factor;
            let tally = &mut self.tallies[site];
            *tally.started.entry(to).or_default() += 1;
            tally.in_time += usize::from(now_ms + first_ms <= job.objective_at_ms);
            self.entries[entry]
                .dispatcher
                .sent(instance, id, job.prompt_tokens, now_ms);
            self.send(
                first_ms,
                Message::FirstEvent(entry, Arc::clone(instance), id),
            );
            (HOLD_MS * factor, AttemptOutcome::Answered)
        };
        self.send(
            hold_ms,
            Message::End(entry, Arc::clone(instance), id, outcome),
        );
        if is_granted {
            let release = SlotRelease::Answered {
                held_ms: u32::try_from(hold_ms).expect("a short time"),
            };
            let upstream = upstream_hash(instance);
            self.send(hold_ms, Message::Release(entry, upstream, release));
        }
    }

    fn grant(&mut self) {
        while let Some(grant) = self.admission.next_grant(self.now_ms) {
            if let EntryRef::Peer(peer) = grant.to {
                let entry = usize::from(peer.port()) - 1_000;
                let message = Message::Granted(entry, grant.request_id, grant.upstream);
                self.send(MESSAGE_MS, message);
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::Request(entry, slot_request) => {
                let from = EntryRef::Peer(address(entry));
                self.admission.enqueue(from, slot_request, now_ms);
                self.grant();
                let upstream = slot_request.upstream;
                let wait_ms =
                    self.admission
                        .expected_wait_ms(from, upstream, slot_request.id, now_ms);
                if let Some(wait_ms) = wait_ms {
                    self.send(MESSAGE_MS, Message::Queued(entry, slot_request.id, wait_ms));
                }
            }
            Message::Cancel(entry, upstream, ask) => {
                let from = EntryRef::Peer(address(entry));
                self.admission.cancel(from, upstream, ask);
            }
            Message::Release(entry, upstream, release) => {
                let from = EntryRef::Peer(address(entry));
                self.admission.release(from, upstream, release);
                self.grant();
            }
            Message::Queued(entry, ask, wait_ms) => {
                let state = &mut self.entries[entry];
                let Some((id, _)) = state.asks.get(&ask).cloned() else {
                    return;
                };
                let Some(search) = state.waiting.get_mut(&id) else {
                    return;
                };
                search.record_queued(ask, wait_ms, &mut state.dispatcher, now_ms);
                let steps =
                    search.handle_queued(ask, wait_ms, &state.dispatcher, now_ms, &mut self.random);
                self.carry_out(entry, id, steps);
            }
            Message::Granted(entry, ask, upstream) => {
                let state = &mut self.entries[entry];
                let Some((id, instance)) = state.asks.swap_remove(&ask) else {
                    self.send(
                        MESSAGE_MS,
                        Message::Release(entry, upstream, SlotRelease::Unused),
                    );
                    return;
                };
                if let Some(search) = state.waiting.get(&id) {
                    search.record_granted(&instance, &mut state.dispatcher, now_ms);
                }
                self.start(entry, id, &instance, true);
            }
            Message::FirstEvent(entry, instance, id) => {
                let dispatcher = &mut self.entries[entry].dispatcher;
                dispatcher.answered(&instance, id, now_ms);
                let factor = self.slowness[&instance];
                let first_ms = sardinewood::numbers::as_f64(FIRST_EVENT_MS * factor);
                let event_ms = sardinewood::numbers::as_f64(8 * factor);
                dispatcher.learn(&instance, |health| {
                    health.first_event(1_000, first_ms);
                    health.next_event(event_ms, now_ms);
                });
            }
            Message::End(entry, instance, id, outcome) => {
                let held_ms = HOLD_MS * self.slowness[&instance];
                let dispatcher = &mut self.entries[entry].dispatcher;
                dispatcher.finished(&instance, id, outcome, held_ms, now_ms);
            }
            Message::Timeout(entry, id) => self.time_out(entry, id),
        }
    }

    fn time_out(&mut self, entry: usize, id: u64) {
        let now_ms = self.now_ms;
        let state = &mut self.entries[entry];
        let Some(search) = state.waiting.get_mut(&id) else {
            return;
        };
        if now_ms >= search.job.waits_until_ms() {
            self.carry_out(entry, id, vec![SearchStep::Refuse]);
            return;
        }
        let steps = search.handle_timeout(&state.dispatcher, now_ms, &mut self.random);
        self.carry_out(entry, id, steps);
        self.send(REPLY_TIMEOUT_MS, Message::Timeout(entry, id));
    }

    fn exchange_heartbeats(&mut self) {
        let now_ms = self.now_ms;
        let reports: Vec<(usize, LoadChunk)> = self
            .entries
            .iter()
            .map(|entry| {
                let running = entry.dispatcher.running(now_ms).collect();
                (entry.site, LoadChunk::whole(running))
            })
            .collect();
        for to in 0..self.entries.len() {
            for (from, (site, report)) in reports.iter().enumerate() {
                if from == to || self.silent.contains(site) || self.is_cut(to, *site) {
                    continue;
                }
                let dispatcher = &mut self.entries[to].dispatcher;
                dispatcher.set_peer_load(from as u64, report, now_ms);
                let data_centre = data_centre_hash(&site_name(*site));
                dispatcher.record_peer_data_centre(from as u64, data_centre, now_ms);
            }
        }
        self.admission.expire_peers(None, 0);
    }
}
