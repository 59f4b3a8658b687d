//! The project's own policy: the entries' and agents' real decision code, with links,
//! calls and clocks in virtual time around it.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;
use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::AgentStep;
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
use sardinewood::entry::state::EntryStep;
use sardinewood::ids::AttemptId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Call;
use sardinewood::link::wire::EntryMessage;
use sardinewood::upstream::report::Found;
use sardinewood::upstream::report::Probe;

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
            revision: 1,
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

/// Entries.
impl OwnPolicy {
    fn entry_event(&mut self, world: &mut World, entry: usize, event: EntryEvent) {
        let now_ms = world.now_us / 1000;
        let steps = self.entries[entry].handle(now_ms, event);
        for step in steps {
            self.entry_step(world, entry, step);
        }
        self.schedule_entry(world, entry);
    }

    fn schedule_entry(&mut self, world: &mut World, entry: usize) {
        let Some(at_ms) = self.entries[entry].next_tick_ms() else {
            return;
        };
        if self.entry_wakes_ms[entry].is_some_and(|earlier_ms| earlier_ms <= at_ms) {
            return;
        }
        self.entry_wakes_ms[entry] = Some(at_ms);
        let delay_us = (at_ms * 1000).saturating_sub(world.now_us);
        world.send_after(delay_us, Message::EntryWakes { entry, at_ms });
    }

    fn entry_wakes(&mut self, world: &mut World, entry: usize, at_ms: u64) {
        if self.entry_wakes_ms[entry] != Some(at_ms) {
            return;
        }
        self.entry_wakes_ms[entry] = None;
        self.entry_event(world, entry, EntryEvent::Tick);
    }

    fn entry_step(&mut self, world: &mut World, entry: usize, step: EntryStep) {
        match step {
            EntryStep::Send { agent, message } => {
                self.send_to_agent(world, entry, &agent, message);
            }
            EntryStep::Resume { attempt, agent } => {
                let message = EntryMessage::Resume {
                    attempt,
                    from_bytes: 0,
                };
                self.send_to_agent(world, entry, &agent, message);
            }
            EntryStep::Begin { attempt, .. } => {
                self.readers.insert(attempt, Reader { passed: false });
            }
            EntryStep::End { attempt, end } => self.read_end(world, attempt, end, None),
            EntryStep::Fail { request, .. } => self.fail(world, request),
            EntryStep::Dial { agent, .. } => {
                if let Some(upstream) = self.upstreams.get_index_of(&agent) {
                    self.wanted.insert((entry, upstream));
                    self.dial(world, entry, upstream);
                }
            }
            EntryStep::HangUp { agent } => {
                if let Some(upstream) = self.upstreams.get_index_of(&agent) {
                    self.wanted.swap_remove(&(entry, upstream));
                    self.drop_link(world, entry, upstream);
                }
            }
            EntryStep::Claim { .. }
            | EntryStep::Vouch { .. }
            | EntryStep::AwaitTurn { .. }
            | EntryStep::Finished { .. } => {}
        }
    }

    fn fail(&mut self, world: &mut World, request: RequestId) {
        self.readers.retain(|attempt, _| attempt.request != request);
        let request = request_index(request);
        let client_us = world.fleet.client_us;
        // A refusal at the deadline tells a caller nothing that it does not see itself.
        if world.now_us / 1000 < (world.requests[request].deadline_us + client_us) / 1000 {
            world.tally.refused(request);
        }
    }

    fn send_to_agent(
        &mut self,
        world: &mut World,
        entry: usize,
        agent: &Arc<str>,
        message: EntryMessage,
    ) {
        let Some(upstream) = self.upstreams.get_index_of(agent) else {
            return;
        };
        let Some(link) = self.links.get(&(entry, upstream)) else {
            return;
        };
        let delay_us = world.fleet.latency_us(entry, upstream);
        let message = Message::ToAgent {
            link: link.id,
            message: Box::new(message),
        };
        world.send_to_agent(upstream, delay_us, message);
    }

    fn at_entry(&mut self, world: &mut World, link: LinkId, message: AgentMessage) {
        let Some((entry, upstream)) = self.live_link(link) else {
            return;
        };
        if let AgentMessage::End { attempt, end } = message {
            self.read_end(world, attempt, end, Some(upstream));
            return;
        }
        let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
        self.entry_event(world, entry, EntryEvent::Agent { agent, message });
    }

    /// The reader of an answer comes to its end.
    fn read_end(
        &mut self,
        world: &mut World,
        attempt: AttemptId,
        end: AnswerEnd,
        upstream: Option<usize>,
    ) {
        let entry = world.requests[request_index(attempt.request)].entry;
        let reader = self.readers.swap_remove(&attempt);
        let passed = reader.is_some_and(|reader| reader.passed);
        if let AnswerEnd::Complete { .. } = end {
            self.whole_answer(world, attempt, reader, upstream);
        }
        if reader.is_none() {
            // Nobody reads: the state hears of the end itself.
            let message = AgentMessage::End { attempt, end };
            let upstream = upstream.unwrap_or_default();
            let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
            self.entry_event(world, entry, EntryEvent::Agent { agent, message });
            return;
        }
        let event = EntryEvent::Ended {
            attempt,
            end,
            passed,
        };
        self.entry_event(world, entry, event);
    }

    fn whole_answer(
        &mut self,
        world: &mut World,
        attempt: AttemptId,
        reader: Option<Reader>,
        upstream: Option<usize>,
    ) {
        let request = request_index(attempt.request);
        let offered = &world.requests[request];
        let entry = offered.entry;
        let output_tokens = offered.output_tokens;
        let event = EntryEvent::Measured {
            request: attempt.request,
            output_tokens,
        };
        self.entry_event(world, entry, event);
        let Some(upstream) = upstream else {
            return;
        };
        let delay_us = world.fleet.latency_us(entry, upstream);
        world.send_to_agent(
            upstream,
            delay_us,
            Message::Acknowledged { upstream, attempt },
        );
        if let (Some(_), Some(job)) = (reader, self.jobs.get(&(upstream, attempt))) {
            world.answer(request, *job);
        }
    }
}

/// Agents.
impl OwnPolicy {
    fn agent_event(&mut self, world: &mut World, upstream: usize, event: AgentEvent) {
        let now_ms = world.now_us / 1000;
        let steps = self.agents[upstream].step(now_ms, event);
        for step in steps {
            self.agent_step(world, upstream, step);
        }
    }

    fn agent_wakes(&mut self, world: &mut World, upstream: usize) {
        if world.hosts[upstream].lost {
            return;
        }
        self.agent_event(world, upstream, AgentEvent::Tick);
        if world.now_us < world.fleet.end_us + SILENT_US {
            world.send_to_agent(upstream, AGENT_TICK_US, Message::AgentWakes { upstream });
        }
    }

    fn at_agent(&mut self, world: &mut World, link: LinkId, message: Box<EntryMessage>) {
        let Some(&(_, upstream)) = self.link_ends.get(&link) else {
            return;
        };
        if world.hosts[upstream].lost {
            return;
        }
        self.agent_event(world, upstream, AgentEvent::Received { link, message });
    }

    fn agent_step(&mut self, world: &mut World, upstream: usize, step: AgentStep) {
        match step {
            AgentStep::Send { link, message } => self.send_to_entry(world, link, message),
            AgentStep::OpenCall { attempt, link, .. } => {
                self.open_call(world, upstream, attempt, link);
            }
            AgentStep::CancelCall { attempt, cause } => {
                self.cancel_call(world, upstream, attempt, cause);
            }
            AgentStep::AttachCall { attempt, link, .. } => {
                self.attach_call(world, upstream, attempt, link);
            }
            AgentStep::Probe => {
                world.send_to_agent(upstream, PROBE_US, Message::Probed { upstream });
            }
            AgentStep::Investigate { attempt } => {
                // Whatever an earlier process had started died with its host.
                let found = Found::Gone;
                let event = AgentEvent::Investigated { attempt, found };
                self.agent_event(world, upstream, event);
            }
            AgentStep::CloseLink { .. }
            | AgentStep::AdoptCall { .. }
            | AgentStep::ForgetCall { .. } => {}
        }
    }

    fn send_to_entry(&mut self, world: &mut World, link: LinkId, message: AgentMessage) {
        let Some(&(entry, upstream)) = self.link_ends.get(&link) else {
            return;
        };
        let delay_us = world.fleet.latency_us(entry, upstream);
        let message = Box::new(message);
        world.send_after(delay_us, Message::ToEntry { link, message });
    }

    fn open_call(&mut self, world: &mut World, upstream: usize, attempt: AttemptId, link: LinkId) {
        let request = request_index(attempt.request);
        let Some(job) = world.submit(upstream, request) else {
            return;
        };
        let call = OpenCall {
            upstream,
            attempt,
            link: Some(link),
            opened_us: world.now_us,
            cause: None,
            is_delivered: false,
            end: None,
            untold: (0, 0),
        };
        self.calls.insert(job, call);
        self.jobs.insert((upstream, attempt), job);
    }

    fn cancel_call(
        &mut self,
        world: &mut World,
        upstream: usize,
        attempt: AttemptId,
        cause: CancelCause,
    ) {
        let Some(&job) = self.jobs.get(&(upstream, attempt)) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&job) else {
            return;
        };
        if cause == CancelCause::MakeRoom && call.is_delivered {
            let progress = CallProgress::KeptRunning;
            self.agent_event(world, upstream, AgentEvent::Call { attempt, progress });
            return;
        }
        call.cause = Some(cause);
        world.cancel(upstream, job);
    }

    fn attach_call(
        &mut self,
        world: &mut World,
        upstream: usize,
        attempt: AttemptId,
        link: LinkId,
    ) {
        let job = self.jobs.get(&(upstream, attempt));
        let Some(call) = job.and_then(|job| self.calls.get_mut(job)) else {
            return;
        };
        call.link = Some(link);
        let is_delivered = call.is_delivered;
        if let Some(end) = call.end.clone() {
            self.send_to_entry(world, link, AgentMessage::End { attempt, end });
        } else if is_delivered {
            self.pass(world, attempt, link);
        }
    }

    /// The first part of the answer reaches the entry.
    fn pass(&mut self, world: &mut World, attempt: AttemptId, link: LinkId) {
        if let Some(&(entry, upstream)) = self.link_ends.get(&link) {
            let delay_us = world.fleet.latency_us(entry, upstream);
            world.send_after(delay_us, Message::Passed { attempt });
        }
    }

    fn agent_hears(&mut self, world: &mut World, upstream: usize, event: &EngineEvent) {
        if world.hosts[upstream].lost {
            return;
        }
        let (job, progress) = match *event {
            EngineEvent::FirstToken { at_us, id, .. } => {
                let Some(call) = self.calls.get(&id) else {
                    return;
                };
                let after_us = at_us - call.opened_us;
                (id, CallProgress::First { after_us })
            }
            EngineEvent::Tokens {
                id, count, gap_us, ..
            } => {
                let Some(call) = self.calls.get_mut(&id) else {
                    return;
                };
                call.untold.0 += count;
                call.untold.1 += u64::from(count) * gap_us;
                if call.untold.1 < PROGRESS_US {
                    return;
                }
                let (count, elapsed_us) = std::mem::take(&mut call.untold);
                (id, CallProgress::Tokens { count, elapsed_us })
            }
            EngineEvent::Finished { id, .. } => {
                let end = AnswerEnd::Complete {
                    length_bytes: 1,
                    checksum: 0,
                };
                (id, CallProgress::Ended { end })
            }
            EngineEvent::Cancelled { id, .. } => {
                let is_preempted = self
                    .calls
                    .get(&id)
                    .is_some_and(|call| call.cause == Some(CancelCause::MakeRoom));
                let end = if is_preempted {
                    AnswerEnd::Preempted
                } else {
                    AnswerEnd::Cancelled
                };
                (id, CallProgress::Ended { end })
            }
            EngineEvent::Stored { .. } | EngineEvent::Evicted { .. } => return,
        };
        self.call_went_on(world, upstream, job, progress);
    }

    fn call_went_on(
        &mut self,
        world: &mut World,
        upstream: usize,
        job: u64,
        progress: CallProgress,
    ) {
        let Some(call) = self.calls.get_mut(&job) else {
            return;
        };
        let attempt = call.attempt;
        let link = call.link;
        debug_assert_eq!(call.upstream, upstream);
        let is_first = matches!(progress, CallProgress::First { .. });
        let is_streamed = world.requests[request_index(attempt.request)].streamed;
        let is_delivered = is_first && is_streamed && call.cause.is_none();
        call.is_delivered |= is_delivered;
        let end = match &progress {
            CallProgress::Ended { end } => Some(end.clone()),
            _ => None,
        };
        call.end.clone_from(&end);
        self.agent_event(world, upstream, AgentEvent::Call { attempt, progress });
        if is_delivered {
            let progress = CallProgress::Delivered;
            self.agent_event(world, upstream, AgentEvent::Call { attempt, progress });
        }
        let Some(link) = link else {
            return;
        };
        if is_delivered {
            self.pass(world, attempt, link);
        }
        if let Some(end) = end {
            self.send_to_entry(world, link, AgentMessage::End { attempt, end });
        }
    }

    fn probed(&mut self, world: &mut World, upstream: usize) {
        if world.hosts[upstream].lost {
            return;
        }
        let running = self
            .calls
            .values()
            .filter(|call| call.upstream == upstream && call.end.is_none())
            .map(|call| call.attempt.request)
            .collect();
        let probe = Probe::Alive { running };
        self.agent_event(world, upstream, AgentEvent::Probed(probe));
    }

    /// Load is reported no fresher than the scenario says.
    fn heartbeat(&mut self, world: &mut World, upstream: usize) {
        let every_us = HEARTBEAT_US.max(self.reports.every_ms * 1000);
        if world.now_us < world.fleet.end_us {
            world.send_to_agent(upstream, every_us, Message::HeartbeatDue { upstream });
        }
        if world.hosts[upstream].lost {
            return;
        }
        let load = self.agents[upstream].load();
        let lag_us = self.reports.lag_ms * 1000;
        for entry in 0..self.entries.len() {
            if let Some(link) = self.links.get(&(entry, upstream)).copied() {
                let message = Box::new(AgentMessage::Heartbeat {
                    sequence: 0,
                    revision: 1,
                    load,
                });
                let delay_us = lag_us + world.fleet.latency_us(entry, upstream);
                let link = link.id;
                world.send_after(delay_us, Message::ToEntry { link, message });
            }
        }
    }
}

/// Links.
impl OwnPolicy {
    fn live_link(&self, link: LinkId) -> Option<(usize, usize)> {
        let ends = *self.link_ends.get(&link)?;
        let current = self.links.get(&ends)?;
        (current.id == link && current.is_up).then_some(ends)
    }

    fn dial(&mut self, world: &mut World, entry: usize, upstream: usize) {
        let is_wanted = self.wanted.contains(&(entry, upstream));
        if !is_wanted || self.links.contains_key(&(entry, upstream)) {
            return;
        }
        if world.hosts[upstream].lost {
            if world.now_us < world.fleet.end_us {
                world.send_after(DIAL_AGAIN_US, Message::Dial { entry, upstream });
            }
            return;
        }
        self.next_link += 1;
        let id = LinkId(self.next_link);
        self.links
            .insert((entry, upstream), Link { id, is_up: false });
        self.link_ends.insert(id, (entry, upstream));
        let delay_us = world.fleet.latency_us(entry, upstream);
        world.send_to_agent(upstream, delay_us, Message::Dialled { link: id });
    }

    /// The agent hears hello on a new link.
    fn dialled(&mut self, world: &mut World, link: LinkId) {
        let Some(&(entry, upstream)) = self.link_ends.get(&link) else {
            return;
        };
        if world.hosts[upstream].lost {
            self.drop_link(world, entry, upstream);
            return;
        }
        self.agent_event(world, upstream, AgentEvent::LinkUp { link });
        let delay_us = world.fleet.latency_us(entry, upstream);
        world.send_after(delay_us, Message::LinkOpen { link });
    }

    /// The entry hears hello back.
    fn link_open(&mut self, world: &mut World, link: LinkId) {
        let Some(&(entry, upstream)) = self.link_ends.get(&link) else {
            return;
        };
        match self.links.get_mut(&(entry, upstream)) {
            Some(current) if current.id == link => current.is_up = true,
            _ => return,
        }
        let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
        let incarnation = self.incarnations[upstream];
        self.entry_event(world, entry, EntryEvent::LinkUp { agent, incarnation });
    }

    /// The entry gives a link up, and dials again if it wants one.
    fn drop_link(&mut self, world: &mut World, entry: usize, upstream: usize) {
        let Some(link) = self.links.swap_remove(&(entry, upstream)) else {
            return;
        };
        let closed = Message::LinkClosed { link: link.id };
        world.send_to_agent(upstream, world.fleet.latency_us(entry, upstream), closed);
        let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
        self.entry_event(world, entry, EntryEvent::LinkLost { agent });
        if self.wanted.contains(&(entry, upstream)) && world.now_us < world.fleet.end_us {
            world.send_after(DIAL_AGAIN_US, Message::Dial { entry, upstream });
        }
    }

    /// The agent sees that a link is closed.
    fn link_closed(&mut self, world: &mut World, link: LinkId) {
        let Some((_, upstream)) = self.link_ends.swap_remove(&link) else {
            return;
        };
        for call in self.calls.values_mut() {
            if call.link == Some(link) {
                call.link = None;
            }
        }
        if !world.hosts[upstream].lost {
            self.agent_event(world, upstream, AgentEvent::LinkLost { link });
        }
    }

    fn silent(&mut self, world: &mut World, upstream: usize) {
        let host = &world.hosts[upstream];
        if !host.lost && host.paused_until_us <= world.now_us {
            return;
        }
        for entry in 0..self.entries.len() {
            self.drop_link(world, entry, upstream);
        }
    }

    fn host_listed(&mut self, world: &mut World, upstream: usize) {
        if !world.hosts[upstream].lost {
            return;
        }
        for entry in 0..self.entries.len() {
            let agent = Arc::clone(&world.fleet.upstreams[upstream].name);
            self.entry_event(world, entry, EntryEvent::HostGone { agent });
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
