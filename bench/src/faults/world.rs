//! The fleet in virtual time: what is on its way, and what happens when it arrives.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::objects::Serves;
use sardinewood::config::objects::Upstream as UpstreamObject;
use sardinewood::ids::AttemptId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::store::position::StorePosition;

use super::checker::Heard;
use super::checker::Record;
use super::checker::Seen;
use super::checker::Verdict;
use super::engine::Upstream;
use super::fleet_agent::AgentInput;
use super::fleet_agent::FleetAgent;
use super::fleet_entry::EntryInput;
use super::fleet_entry::FleetEntry;
use super::fleet_entry::catalog_event;
use super::fleet_store::FleetStore;
use super::fleet_store::StoreRequest;
use super::link::Links;
use super::lives::Lives;
use super::lives::Step;
use super::plan::Fault;
use super::plan::FaultKind;
use super::plan::Plan;
use super::plan::SERVICES;
use super::work::Work;
use super::work::WorkId;

/// The pause before an entry dials again.
const REDIAL_MS: u64 = 50;
/// The pause between two ticks of an agent.
const AGENT_TICK_MS: u64 = 20;
/// How long after the last request everything must be over.
const SETTLING_MS: u64 = 60_000;
/// How often a caller asks under one name.
const MAX_ASKED: u32 = 4;
/// How often the balancer knows that an entry is not ready.
const BALANCER_KNOWS: f64 = 0.8;

/// Something that is on its way.
#[derive(Clone, Debug)]
pub enum Event {
    /// To an entry, if it is still the same process.
    Entry {
        entry: usize,
        start: u32,
        input: Box<EntryInput>,
    },
    /// To an agent, if it is still the same process.
    Agent {
        agent: usize,
        start: u32,
        input: Box<AgentInput>,
    },
    /// A call arrives at an upstream.
    Open {
        agent: usize,
        start: u32,
        attempt: AttemptId,
        work: WorkId,
    },
    /// An upstream has worked on a request.
    MakePart {
        upstream: usize,
        start: u32,
        request: RequestId,
    },
    /// A call arrives at the store.
    Store { call: Box<StoreRequest> },
    /// A caller sends a request.
    Submit { work: WorkId, entry: usize },
    /// An entry dials an agent.
    Dial { entry: usize, agent: usize },
    /// Something goes wrong.
    Fault(Fault),
    /// A fault ends.
    Heal(Fault),
}

/// The fleet.
#[derive(Debug)]
pub struct World {
    pub(super) now_ms: u64,
    pub(super) random: StdRng,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    pub(super) entries: Vec<FleetEntry>,
    pub(super) agents: Vec<FleetAgent>,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) links: Links,
    pub(super) catalog: Catalog,
    pub(super) works: IndexMap<WorkId, Work>,
    pub(super) record: Record,
    pub(super) gone: Vec<bool>,
    pub(super) store: FleetStore,
    pub(super) store_calls: u64,
    requests: u128,
    max_asked: u32,
    asked: IndexMap<WorkId, u32>,
    pub(super) unanswered: IndexMap<RequestId, WorkId>,
    pub(super) tamper: Tamper,
    pub(super) faults: IndexMap<FaultKind, u64>,
    pub(super) lives: Lives,
    end_ms: u64,
}

/// Changes what agents say; for tests that see whether a broken rule is noticed.
pub type Tamper = fn(AgentMessage) -> AgentMessage;

impl World {
    /// A fleet at rest, with a plan before it.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        let size = plan.size;
        let mut random = StdRng::seed_from_u64(plan.seed ^ 0x5eed);
        let objects: Vec<_> = (0..size.agents)
            .map(|agent| upstream_object(agent, size.agents))
            .collect();
        let catalog = Catalog {
            revision: StorePosition::new(0, 1),
            upstreams: objects
                .iter()
                .map(|object| (object.name.clone(), Arc::new(object.clone())))
                .collect(),
            ..Catalog::default()
        };
        let upstreams = objects
            .iter()
            .map(|object| Upstream::new(matches!(object.serves, Serves::Service(_))))
            .collect();
        let agents = objects
            .into_iter()
            .map(|object| FleetAgent::new(object, Incarnation(random.random())))
            .collect();
        let entries = (0..size.entries)
            .map(|entry| FleetEntry::new(entry, size.agents, random.random(), size.claims))
            .collect();
        let last_ms = plan.works.last().map_or(0, |(work, _)| work.at_ms);
        let mut world = Self {
            now_ms: 0,
            random,
            queue: BTreeMap::new(),
            sequence: 0,
            entries,
            agents,
            upstreams,
            links: Links::default(),
            catalog,
            works: IndexMap::new(),
            record: Record::default(),
            gone: vec![false; size.agents],
            store: FleetStore::default(),
            store_calls: 0,
            requests: 0,
            max_asked: MAX_ASKED,
            asked: IndexMap::new(),
            unanswered: IndexMap::new(),
            tamper: |message| message,
            faults: IndexMap::new(),
            lives: Lives::default(),
            end_ms: last_ms + SETTLING_MS,
        };
        world.start(plan);
        world
    }

    fn start(&mut self, plan: &Plan) {
        for agent in 0..self.agents.len() {
            self.start_agent(agent);
        }
        for entry in 0..self.entries.len() {
            self.post_to_entry(entry, 0, EntryInput::Event(catalog_event(&self.catalog)));
        }
        for (work, entry) in &plan.works {
            self.works.insert(work.id, work.clone());
            let submit = Event::Submit {
                work: work.id,
                entry: *entry,
            };
            self.schedule(work.at_ms, submit);
        }
        for fault in &plan.faults {
            self.schedule(fault.at_ms, Event::Fault(*fault));
        }
    }

    /// Lets everything happen, and judges it.
    pub fn run(&mut self) -> Verdict {
        while let Some(((at_ms, _), event)) = self.queue.pop_first() {
            if at_ms > self.end_ms {
                break;
            }
            self.now_ms = at_ms;
            self.take(event);
        }
        self.record.verdict(&self.works)
    }

    /// Sends a request for some work now.
    pub fn send(&mut self, work: Work, entry: usize) {
        let id = work.id;
        self.works.insert(id, work);
        self.submit_to(id, entry);
    }

    /// Lets something go wrong now.
    pub fn inject(&mut self, fault: Fault) {
        self.fault(fault);
    }

    /// Lets what is due in the next while happen.
    pub fn advance(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > until_ms {
                break;
            }
            self.now_ms = next.key().0;
            let event = next.remove();
            self.take(event);
        }
        self.now_ms = until_ms;
    }

    /// Leaves it to the test whether a caller asks again.
    pub fn callers_give_up(&mut self) {
        self.max_asked = 0;
    }

    /// The time of the run.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Has agents say something else than they decided.
    pub fn tamper_with_agents(&mut self, tamper: Tamper) {
        self.tamper = tamper;
    }

    /// What callers and upstreams saw.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What the callers want.
    #[must_use]
    pub fn works(&self) -> &IndexMap<WorkId, Work> {
        &self.works
    }

    /// How often entries called the store.
    #[must_use]
    pub fn store_calls(&self) -> u64 {
        self.store_calls
    }

    /// Which steps of requests' lives each fault met.
    #[must_use]
    pub fn met(&self) -> &IndexMap<(FaultKind, Step), u64> {
        self.lives.met()
    }

    /// How often each fault came.
    #[must_use]
    pub fn faults(&self) -> &IndexMap<FaultKind, u64> {
        &self.faults
    }

    pub(super) fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        let at_ms = at_ms.max(self.now_ms);
        self.queue.insert((at_ms, self.sequence), event);
    }

    pub(super) fn post_to_entry(&mut self, entry: usize, after_ms: u64, input: EntryInput) {
        let event = Event::Entry {
            entry,
            start: self.entries[entry].process.start,
            input: Box::new(input),
        };
        self.schedule(self.now_ms + after_ms, event);
    }

    pub(super) fn post_to_agent(&mut self, agent: usize, after_ms: u64, input: AgentInput) {
        let event = Event::Agent {
            agent,
            start: self.agents[agent].process.start,
            input: Box::new(input),
        };
        self.schedule(self.now_ms + after_ms, event);
    }

    /// A time on the wire.
    pub(super) fn latency_ms(&mut self) -> u64 {
        self.random.random_range(1..=3)
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Entry {
                entry,
                start,
                input,
            } => {
                if let Some(input) = self.entries[entry].process.admit(start, *input) {
                    self.take_entry_input(entry, input);
                }
            }
            Event::Agent {
                agent,
                start,
                input,
            } => {
                if let Some(input) = self.agents[agent].process.admit(start, *input) {
                    self.take_agent_input(agent, input);
                }
            }
            Event::Open {
                agent,
                start,
                attempt,
                work,
            } => self.call_arrives(agent, start, attempt, work),
            Event::MakePart {
                upstream,
                start,
                request,
            } => self.make_part(upstream, start, request),
            Event::Store { call } => self.store_takes(*call),
            Event::Submit { work, entry } => self.submit_to(work, entry),
            Event::Dial { entry, agent } => self.dial(entry, agent),
            Event::Fault(fault) => self.fault(fault),
            Event::Heal(fault) => self.heal(fault),
        }
    }

    /// The entry that the platform's balancer chooses in place of one that is not ready.
    fn balance(&mut self, entry: usize) -> usize {
        let is_ready = |entry: &FleetEntry| {
            entry.process.condition != super::process::Condition::Dead && entry.state.is_ready()
        };
        if is_ready(&self.entries[entry]) || !self.random.random_bool(BALANCER_KNOWS) {
            return entry;
        }
        self.entries.iter().position(is_ready).unwrap_or(entry)
    }

    /// A caller's request reaches whatever process has the entry's address.
    fn submit_to(&mut self, work: WorkId, entry: usize) {
        let entry = self.balance(entry);
        self.requests += 1;
        let request = RequestId(self.requests);
        *self.asked.entry(work).or_default() += 1;
        self.unanswered.insert(request, work);
        self.lives.arrive(request, entry);
        self.record.note(self.now_ms, Seen::Sent { request, work });
        if self.entries[entry].process.condition == super::process::Condition::Dead {
            self.hear(request, Heard::ConnectionLost);
            return;
        }
        let input = EntryInput::Submit { request, work };
        let start = self.entries[entry].process.start;
        if let Some(input) = self.entries[entry].process.admit(start, input) {
            self.take_entry_input(entry, input);
        }
    }

    /// Opens a link, if both ends are there to open it.
    fn dial(&mut self, entry: usize, agent: usize) {
        let is_wanted =
            self.entries[entry].dialled[agent] && !self.entries[entry].links.contains_key(&agent);
        if !is_wanted || self.entries[entry].process.condition == super::process::Condition::Dead {
            return;
        }
        let can_open =
            self.entries[entry].process.is_running() && self.agents[agent].process.is_running();
        if !can_open || self.gone[agent] {
            self.schedule(self.now_ms + REDIAL_MS, Event::Dial { entry, agent });
            return;
        }
        let link = self.links.open(entry, agent);
        self.entries[entry].links.insert(agent, link);
        let incarnation = self.agents[agent].incarnation;
        self.post_to_agent(agent, 1, AgentInput::LinkUp { link });
        let up = EntryInput::LinkUp {
            agent,
            link,
            incarnation,
        };
        self.post_to_entry(entry, 2, up);
    }

    pub(super) fn start_agent(&mut self, agent: usize) {
        let object = self.agents[agent].object.clone();
        let revision = self.catalog.revision;
        self.post_to_agent(agent, 0, AgentInput::Object { revision, object });
        self.post_to_agent(agent, 0, AgentInput::Tick);
    }

    /// Breaks a link; each end learns of it in its own time.
    pub(super) fn cut(&mut self, link: u64, entry_after_ms: u64, agent_after_ms: u64) {
        let Some((entry, agent)) = self.links.get(link).map(|one| (one.entry, one.agent)) else {
            return;
        };
        self.links.cut(link);
        self.post_to_entry(entry, entry_after_ms, EntryInput::LinkLost { agent, link });
        self.post_to_agent(agent, agent_after_ms, AgentInput::LinkLost { link });
    }

    /// A caller gets its last word. One that named its work and lost its connection, or
    /// heard "not run", asks again under the same name, through any entry.
    pub(super) fn hear(&mut self, request: RequestId, heard: Heard) {
        self.lives.reach(request, Step::Over);
        let work = self.unanswered.swap_remove(&request);
        if let Some(work) = work
            && matches!(heard, Heard::ConnectionLost | Heard::NotRun)
            && self.works.get(&work).is_some_and(|work| work.is_named)
            && self
                .asked
                .get(&work)
                .is_some_and(|asked| *asked < self.max_asked)
        {
            let entry = self.random.random_range(0..self.entries.len());
            let after_ms = self.random.random_range(1..1_500);
            self.schedule(self.now_ms + after_ms, Event::Submit { work, entry });
        }
        self.record
            .note(self.now_ms, Seen::Heard { request, heard });
    }

    pub(super) fn tick_agent_later(&mut self, agent: usize) {
        self.post_to_agent(agent, AGENT_TICK_MS, AgentInput::Tick);
    }

    pub(super) fn redial_later(&mut self, entry: usize, agent: usize) {
        self.schedule(self.now_ms + REDIAL_MS, Event::Dial { entry, agent });
    }

    /// The number of an agent by its name.
    pub(super) fn agent_number(&self, name: &str) -> Option<usize> {
        self.agents
            .iter()
            .position(|agent| *agent.object.name == *name)
    }
}

fn upstream_object(agent: usize, agents: usize) -> UpstreamObject {
    let serves = if agent + SERVICES >= agents {
        Serves::Service("refunds".into())
    } else {
        Serves::Models(vec!["small".into()])
    };
    UpstreamObject {
        name: format!("upstream-{agent}").into(),
        data_centre: "wdh-1".into(),
        url: "http://127.0.0.1:9000".into(),
        agent_address: ([127, 0, 0, 1], 9_100).into(),
        serves,
        slots: 6,
        kv_capacity_tokens: None,
        activity: sardinewood::config::objects::Activity::Active,
        checks_fencing: false,
    }
}
