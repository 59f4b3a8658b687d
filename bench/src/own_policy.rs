//! The project's own policy: the entries' and agents' real decision code, with links,
//! calls and clocks in virtual time around it.

mod agents;
mod entries;
mod links;

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;
use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::CallProgress;
use sardinewood::agent::events::CancelCause;
use sardinewood::agent::events::LinkId;
use sardinewood::agent::state::AgentLimits;
use sardinewood::agent::state::AgentState;
use sardinewood::caller::submission::Submission;
use sardinewood::caller::submission::WorkEstimate;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::objects::Activity;
use sardinewood::config::objects::Customer;
use sardinewood::config::objects::Profile;
use sardinewood::config::objects::Upstream;
use sardinewood::entry::prefix_hints::BLOCK_TOKENS;
use sardinewood::entry::state::EntryEvent;
use sardinewood::entry::state::EntryRules;
use sardinewood::entry::state::EntryState;
use sardinewood::ids::AttemptId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Call;
use sardinewood::store::position::StorePosition;

use crate::engine_model::EngineEvent;
use crate::message::Message;
use crate::scenario::Experiment;
use crate::scenario::Reports;
use crate::workload::Request;
use crate::world::World;

/// How often an agent looks at the time.
const AGENT_TICK_US: u64 = 50_000;
/// Heartbeats on each link.
const HEARTBEAT_US: u64 = 500_000;
/// A link on which nothing comes for so long is dropped.
const SILENT_US: u64 = 2_000_000;
/// The pause before a lost link is dialled again.
const DIAL_AGAIN_US: u64 = 500_000;
/// How long an engine takes to answer a probe.
const PROBE_US: u64 = 1_000;
/// Blocks of a prompt that have a fingerprint.
const MAX_BLOCKS: u32 = 16;
/// Spreads the fingerprints of blocks that no other request shares (an odd constant).
const OWN_BLOCK_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Progress of a call is told to its agent when so much has gathered.
const PROGRESS_US: u64 = 100_000;
/// Taken for the answers of a profile of which too few were seen.
const UNKNOWN_OUTPUT_TOKENS: u32 = 256;

/// What is varied between the lines of a measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Variant {
    /// Whether the entries are told how long each answer will be.
    pub told_lengths: bool,
    /// What the entries' decisions depend on.
    pub expected_percent: Option<usize>,
    /// The agents' bounds and times.
    pub agent: AgentLimits,
    /// How many agents are asked for a grant at one time.
    pub candidates: usize,
}

impl Default for Variant {
    fn default() -> Self {
        Self {
            told_lengths: false,
            expected_percent: Some(70),
            agent: AgentLimits::default(),
            candidates: 4,
        }
    }
}

/// A link between an entry and an agent.
#[derive(Clone, Copy, Debug)]
struct Link {
    id: LinkId,
    /// The entry has heard hello on it.
    is_up: bool,
}

/// A call that an agent has opened.
#[derive(Clone, Debug)]
struct OpenCall {
    upstream: usize,
    attempt: AttemptId,
    link: Option<LinkId>,
    opened_us: u64,
    cause: Option<CancelCause>,
    is_delivered: bool,
    end: Option<AnswerEnd>,
    /// Tokens and time that the agent has not been told of.
    untold: (u32, u64),
}

/// What reads the answer of an attempt for its caller.
#[derive(Clone, Copy, Debug)]
struct Reader {
    passed: bool,
}

/// All entries and agents.
pub struct OwnPolicy {
    variant: Variant,
    reports: Reports,
    host_list_lag_us: Option<u64>,
    entries: Vec<EntryState>,
    entry_wakes_ms: Vec<Option<u64>>,
    agents: Vec<AgentState>,
    incarnations: Vec<Incarnation>,
    upstreams: IndexMap<Arc<str>, Arc<Upstream>>,
    profiles: IndexMap<Arc<str>, Arc<Profile>>,
    customers: IndexMap<Arc<str>, Arc<Customer>>,
    wanted: IndexSet<(usize, usize)>,
    links: IndexMap<(usize, usize), Link>,
    link_ends: IndexMap<LinkId, (usize, usize)>,
    calls: IndexMap<u64, OpenCall>,
    jobs: IndexMap<(usize, AttemptId), u64>,
    readers: IndexMap<AttemptId, Reader>,
    next_link: u64,
    next_incarnation: u64,
}

impl OwnPolicy {
    /// Starts all processes.
    #[must_use]
    pub fn new(experiment: &Experiment, variant: Variant, world: &mut World) -> Self {
        let upstreams = upstreams(world);
        let mut policy = Self {
            reports: experiment.scenario.load_reports.clone(),
            host_list_lag_us: (!experiment.scenario.store_down)
                .then_some(experiment.scenario.host_list_lag_ms * 1000),
            entries: entries(world, &variant),
            entry_wakes_ms: vec![None; world.fleet.entries.len()],
            agents: Vec::new(),
            incarnations: Vec::new(),
            upstreams,
            profiles: profiles(experiment),
            customers: customers(world),
            wanted: IndexSet::new(),
            links: IndexMap::new(),
            link_ends: IndexMap::new(),
            calls: IndexMap::new(),
            jobs: IndexMap::new(),
            readers: IndexMap::new(),
            next_link: 0,
            next_incarnation: 0,
            variant,
        };
        policy.start(world);
        policy
    }

    /// A request reaches its entry.
    pub fn arrived(&mut self, world: &mut World, request: usize) {
        let submission = self.submission(world, request);
        let entry = world.requests[request].entry;
        let event = EntryEvent::Submitted(Box::new(submission));
        self.entry_event(world, entry, event);
    }

    /// A caller has left.
    pub fn caller_left(&mut self, world: &mut World, request: usize) {
        let entry = world.requests[request].entry;
        let request = request_id(request);
        self.readers.retain(|attempt, _| attempt.request != request);
        self.entry_event(world, entry, EntryEvent::CallerGone { request });
    }

    /// An engine tells something; the agent reads it when it runs.
    pub fn engine_said(&mut self, world: &mut World, upstream: usize, event: EngineEvent) {
        world.send_to_agent(upstream, 0, Message::AgentHears { upstream, event });
    }

    /// A host died with these jobs.
    pub fn host_lost(&mut self, world: &mut World, upstream: usize, jobs: &[u64]) {
        for job in jobs {
            if let Some(call) = self.calls.swap_remove(job) {
                self.jobs.swap_remove(&(upstream, call.attempt));
            }
        }
        expect_silence(world, upstream);
        if let Some(lag_us) = self.host_list_lag_us {
            world.send_after(lag_us, Message::HostListed { upstream });
        }
    }

    /// An agent does not run for a while.
    pub fn agent_paused(&mut self, world: &mut World, upstream: usize) {
        expect_silence(world, upstream);
    }

    /// A host is back, with a new process.
    pub fn host_returned(&mut self, world: &mut World, upstream: usize) {
        self.start_agent(world, upstream);
    }

    /// A message arrives.
    pub fn message(&mut self, world: &mut World, message: Message) {
        match message {
            Message::ToAgent { link, message } => self.at_agent(world, link, message),
            Message::ToEntry { link, message } => self.at_entry(world, link, *message),
            Message::EntryWakes { entry, at_ms } => self.entry_wakes(world, entry, at_ms),
            Message::AgentWakes { upstream } => self.agent_wakes(world, upstream),
            Message::Dial { entry, upstream } => self.dial(world, entry, upstream),
            Message::Dialled { link } => self.dialled(world, link),
            Message::LinkOpen { link } => self.link_open(world, link),
            Message::LinkClosed { link } => self.link_closed(world, link),
            Message::Silent { upstream } => self.silent(world, upstream),
            Message::HostListed { upstream } => self.host_listed(world, upstream),
            Message::HeartbeatDue { upstream } => self.heartbeat(world, upstream),
            Message::Probed { upstream } => self.probed(world, upstream),
            Message::AgentHears { upstream, event } => self.agent_hears(world, upstream, &event),
            Message::Passed { attempt } => {
                if let Some(reader) = self.readers.get_mut(&attempt) {
                    reader.passed = true;
                }
            }
            Message::Acknowledged { upstream, attempt } => {
                let progress = CallProgress::Acknowledged;
                self.agent_event(world, upstream, AgentEvent::Call { attempt, progress });
            }
            _ => {}
        }
    }
}

/// Starting.
impl OwnPolicy {
    fn start(&mut self, world: &mut World) {
        for upstream in 0..world.hosts.len() {
            self.start_agent(world, upstream);
            world.send_to_agent(upstream, HEARTBEAT_US, Message::HeartbeatDue { upstream });
        }
        let catalog = Arc::new(Catalog {
            revision: StorePosition::new(0, 1),
            profiles: self.profiles.clone(),
            upstreams: self.upstreams.clone(),
            customers: self.customers.clone(),
            ..Catalog::default()
        });
        for entry in 0..self.entries.len() {
            let event = EntryEvent::CatalogChanged(Arc::clone(&catalog));
            self.entry_event(world, entry, event);
        }
    }

    fn start_agent(&mut self, world: &mut World, upstream: usize) {
        self.next_incarnation += 1;
        let incarnation = Incarnation(self.next_incarnation);
        let agent = AgentState::new(incarnation, self.variant.agent.clone());
        if upstream < self.agents.len() {
            self.agents[upstream] = agent;
            self.incarnations[upstream] = incarnation;
        } else {
            self.agents.push(agent);
            self.incarnations.push(incarnation);
        }
        let object = Some(Arc::clone(&self.upstreams[upstream]));
        self.agent_event(world, upstream, AgentEvent::UpstreamChanged(object));
        self.agent_event(world, upstream, AgentEvent::Tick);
        world.send_to_agent(upstream, AGENT_TICK_US, Message::AgentWakes { upstream });
    }

    fn submission(&self, world: &World, request: usize) -> Submission {
        let offered = &world.requests[request];
        let now_ms = world.now_us / 1000;
        let expected = if self.variant.told_lengths {
            offered.output_tokens
        } else {
            UNKNOWN_OUTPUT_TOKENS
        };
        Submission {
            request: request_id(request),
            target: offered.target.clone(),
            profile: Arc::clone(&self.profiles[&offered.profile]),
            customer: Arc::clone(&self.customers[&offered.customer]),
            deadline_at_ms: now_ms + (offered.deadline_us - offered.arrival_us) / 1000,
            non_idempotent: offered.non_idempotent,
            named: None,
            order: None,
            appointment: offered.appointment.map(|number| number.to_string().into()),
            estimate: WorkEstimate {
                prompt_tokens: offered.prompt_tokens,
                expected_output_tokens: expected.min(offered.max_output_tokens),
                max_output_tokens: offered.max_output_tokens,
                prefix: blocks(offered, request),
            },
            call: Call {
                method: "POST".into(),
                path: "/v1/completions".into(),
                headers: Vec::new(),
                body: Bytes::new(),
            },
        }
    }
}

/// Fingerprints of the prompt's blocks as an entry computes them: those that lie within the
/// shared parts are shared, the rest are the request's own.
fn blocks(offered: &Request, request: usize) -> Vec<u64> {
    let mut ends = Vec::new();
    let mut end_tokens = 0;
    for part in &*offered.prefix {
        end_tokens += part.tokens;
        ends.push((end_tokens, part.fingerprint));
    }
    let count = (offered.prompt_tokens / BLOCK_TOKENS).min(MAX_BLOCKS);
    let block = |number: u32| {
        let block_end = number * BLOCK_TOKENS;
        let part = ends.iter().find(|(end_tokens, _)| block_end <= *end_tokens);
        let own = (request as u64).wrapping_mul(OWN_BLOCK_FACTOR);
        let base = part.map_or(own, |(_, fingerprint)| *fingerprint);
        base ^ u64::from(number)
    };
    (1..=count).map(block).collect()
}

/// Links to a silent process are dropped after [`SILENT_US`].
fn expect_silence(world: &mut World, upstream: usize) {
    world.send_after(SILENT_US, Message::Silent { upstream });
}

/// Ids start at 1.
fn request_id(index: usize) -> RequestId {
    RequestId(index as u128 + 1)
}

fn request_index(id: RequestId) -> usize {
    usize::try_from(id.0 - 1).unwrap_or(usize::MAX)
}

fn entries(world: &World, variant: &Variant) -> Vec<EntryState> {
    let entries = world.fleet.entries.iter().enumerate();
    entries
        .map(|(index, data_centre)| {
            let name: Arc<str> = format!("entry-{index}").into();
            let data_centre = Arc::clone(&world.fleet.data_centres[*data_centre]);
            let mut rules = EntryRules::new(name, data_centre);
            rules.candidates = variant.candidates;
            rules.expected_percent = variant.expected_percent;
            EntryState::new(rules, index as u64)
        })
        .collect()
}

fn upstreams(world: &World) -> IndexMap<Arc<str>, Arc<Upstream>> {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let upstreams = world.fleet.upstreams.iter().map(|spec| {
        let upstream = Upstream {
            name: Arc::clone(&spec.name),
            data_centre: Arc::clone(&world.fleet.data_centres[spec.data_centre]),
            url: "http://127.0.0.1:1".into(),
            agent_address: address,
            serves: spec.serves.clone(),
            slots: spec.kind.slots,
            kv_capacity_tokens: Some(spec.kind.kv_capacity_tokens),
            activity: Activity::Active,
            checks_fencing: false,
        };
        (Arc::clone(&spec.name), Arc::new(upstream))
    });
    upstreams.collect()
}

fn profiles(experiment: &Experiment) -> IndexMap<Arc<str>, Arc<Profile>> {
    let profiles = experiment.deployment.profiles.iter().map(|offered| {
        let profile = Profile {
            name: Arc::clone(&offered.name),
            tier: offered.tier,
            deadline_ms: offered.deadline_ms,
            model: None,
            non_idempotent: offered.non_idempotent,
            limits: sardinewood::config::objects::ProfileLimits::default(),
        };
        (Arc::clone(&offered.name), Arc::new(profile))
    });
    profiles.collect()
}

fn customers(world: &World) -> IndexMap<Arc<str>, Arc<Customer>> {
    let mut customers = IndexMap::new();
    for request in &world.requests {
        customers
            .entry(Arc::clone(&request.customer))
            .or_insert_with(|| {
                Arc::new(Customer {
                    name: Arc::clone(&request.customer),
                    weight: request.weight,
                    default_profile: Arc::clone(&request.profile),
                    key_sha256: Vec::new(),
                })
            });
    }
    customers
}
