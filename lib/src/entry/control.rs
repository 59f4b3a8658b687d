//! The control loop of an entry: receives events, passes them to [`EntryState`] and executes
//! the resulting steps.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use crate::answer::routes::CallerNote;
use crate::caller::memory::CallerMemory;
use crate::config::catalog::Catalog;
use crate::entry::candidates::Agent;
use crate::entry::link::LinkContext;
use crate::entry::link::keep_link;
use crate::entry::state::EntryCounts;
use crate::entry::state::EntryEvent;
use crate::entry::state::EntryState;
use crate::entry::state::EntryStep;
use crate::entry::store_records::RecordAnswer;
use crate::entry::store_records::StoreRecords;
use crate::ids::RequestId;
use crate::link::pace::LinkPace;
use crate::link::pace::LinkView;
use crate::link::pace::PaceStep;
use crate::link::pace::Watch;
use crate::link::wire::AgentMessage;
use crate::link::wire::EntryMessage;
use crate::link::wire::Load;
use crate::logging::Level;
use crate::logging::Line;
use crate::metrics::Metrics;
use crate::operator::messages::Decision;
use crate::store::position::StorePosition;
use crate::verdict::Failure;

/// The maximum number of events handled in one batch before timers are checked.
const BATCH_EVENTS: usize = 256;
/// How long the control loop sleeps when no timer is set.
const MAX_SLEEP: Duration = Duration::from_secs(3_600);

/// The heartbeat state of each open link, by agent.
type LinkPaces = IndexMap<Arc<str>, LinkPace>;

/// The status of one agent as an entry knows it.
///
/// ```
/// use sardinewood::entry::control::AgentStatus;
///
/// assert!(!AgentStatus::default().is_linked);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentStatus {
    /// Whether a link to the agent is open.
    pub is_linked: bool,
    /// Whether this entry sends new work to the agent.
    pub takes_work: bool,
    /// The newest configuration revision that the agent reported.
    pub revision: StorePosition,
    /// How long ago the last message from the agent arrived; absent if none has.
    pub heard_ms_ago: Option<u64>,
    /// The load that the agent last reported.
    pub load: Load,
}

/// The entry's state as it is published to its other parts.
///
/// ```
/// use sardinewood::entry::control::EntryStatus;
///
/// assert!(!EntryStatus::default().is_ready);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryStatus {
    /// Whether the entry accepts new requests.
    pub is_ready: bool,
    /// Whether no caller is waiting.
    pub is_drained: bool,
    /// Counts of requests, reservations and links.
    pub counts: EntryCounts,
    /// The number of answers that have a reader.
    pub readers: usize,
    /// The status of each agent.
    pub agents: IndexMap<Arc<str>, AgentStatus>,
}

/// A query to the control thread.
#[derive(Debug)]
pub enum EntryQuery {
    /// Asks for the status after all events handled so far.
    Status(oneshot::Sender<EntryStatus>),
    /// Asks for the decisions about a request; the reply is empty if none are recorded.
    Explain {
        /// The request.
        request: RequestId,
        /// The channel for the reply.
        answer: oneshot::Sender<Vec<Decision>>,
    },
}

/// The control loop's state and channels.
pub struct EntryControl {
    /// The state machine that makes the decisions.
    pub state: EntryState,
    /// Events from links. The channel is bounded, so that a link that sends too many waits.
    pub link_events: mpsc::Receiver<EntryEvent>,
    /// Events from callers. The channel needs no bound: each connection sends only a few, and
    /// the number of connections is bounded.
    pub caller_events: mpsc::UnboundedReceiver<EntryEvent>,
    /// The configuration.
    pub catalog: watch::Receiver<Arc<Catalog>>,
    /// What link tasks need, shared by all links.
    pub link: LinkContext,
    /// The runtime on which link tasks run.
    pub traffic: Handle,
    /// Claims and order queues in the store.
    pub records: StoreRecords,
    /// Results of calls to the store.
    pub record_answers: mpsc::UnboundedReceiver<RecordAnswer>,
    /// Queries that are answered from the current state.
    pub queries: mpsc::Receiver<EntryQuery>,
    /// The channel on which the status is published.
    pub status: watch::Sender<EntryStatus>,
    /// What callers hold.
    pub caller_memory: CallerMemory,
    /// The metrics client.
    pub metrics: Metrics,
    /// The number of heartbeat rounds so far.
    pub beats: u64,
    /// When the entry started; its times in milliseconds count from here.
    pub started: Instant,
    /// The same as wall-clock time in milliseconds since 1970, shown to operators.
    pub started_unix_ms: u64,
    /// How often the status is published.
    pub status_every: Duration,
    /// Stops the control loop.
    pub stop: CancellationToken,
}

impl EntryControl {
    /// Runs the control loop until `stop` is cancelled.
    pub async fn run(mut self) {
        let mut links = IndexMap::new();
        let mut batch = Vec::with_capacity(BATCH_EVENTS);
        let first = EntryEvent::CatalogChanged(self.catalog.borrow_and_update().clone());
        batch.push(first);
        let mut next_status = Instant::now();
        let mut paces = LinkPaces::default();
        let heartbeat = Duration::from_millis(self.link.pace.heartbeat_ms);
        let mut heartbeat_at = Instant::now();
        loop {
            for event in batch.drain(..) {
                self.handle_event(event, &mut links);
            }
            if Instant::now() >= next_status {
                self.publish();
                next_status = Instant::now() + self.status_every;
            }
            if Instant::now() >= heartbeat_at {
                self.maintain_links(&mut paces);
                heartbeat_at = Instant::now() + heartbeat;
            }
            if !self.wait(&mut batch, next_status.min(heartbeat_at)).await {
                break;
            }
        }
        for (_, link) in links {
            link.abort();
        }
    }

    /// Waits for events; returns false when the control loop must stop.
    async fn wait(&mut self, batch: &mut Vec<EntryEvent>, wake_at: Instant) -> bool {
        let ticks = [self.state.next_tick_ms(), self.records.next_tick_ms()];
        let tick_at = ticks.into_iter().flatten().min().map_or_else(
            || Instant::now() + MAX_SLEEP,
            |at_ms| self.started + Duration::from_millis(at_ms),
        );
        tokio::select! {
            () = self.stop.cancelled() => false,
            Some(event) = self.caller_events.recv() => {
                batch.push(event);
                self.take_ready(batch);
                true
            }
            Some(event) = self.link_events.recv() => {
                batch.push(event);
                self.take_ready(batch);
                true
            }
            Some(answer) = self.record_answers.recv() => {
                let now_ms = elapsed_ms(self.started);
                batch.extend(self.records.answered(now_ms, answer));
                true
            }
            Some(query) = self.queries.recv() => {
                self.answer_query(query);
                true
            }
            Ok(()) = self.catalog.changed() => {
                let catalog = self.catalog.borrow_and_update().clone();
                batch.push(EntryEvent::CatalogChanged(catalog));
                true
            }
            () = sleep_until(tick_at) => {
                batch.push(EntryEvent::Tick);
                batch.extend(self.records.tick(elapsed_ms(self.started)));
                true
            }
            () = sleep_until(wake_at) => true,
        }
    }

    /// Adds the events that are ready to the batch, alternating between callers and links.
    fn take_ready(&mut self, batch: &mut Vec<EntryEvent>) {
        while batch.len() < BATCH_EVENTS {
            let from_caller = self.caller_events.try_recv().ok();
            let from_link = self.link_events.try_recv().ok();
            if from_caller.is_none() && from_link.is_none() {
                return;
            }
            batch.extend(from_caller);
            batch.extend(from_link);
        }
    }

    fn handle_event(&mut self, event: EntryEvent, links: &mut IndexMap<Arc<str>, JoinHandle<()>>) {
        let now_ms = elapsed_ms(self.started);
        let publishes = matches!(event, EntryEvent::ShutDown | EntryEvent::CatalogChanged(_));
        let mut events = VecDeque::from(self.apply_settlement(now_ms, &event));
        events.push_front(event);
        while let Some(event) = events.pop_front() {
            for step in self.state.handle(now_ms, event) {
                events.extend(self.execute(now_ms, step, links));
            }
        }
        if publishes {
            self.publish();
        }
    }

    /// Passes a settlement on to the store records: an order queue may wait for an agent to
    /// settle another entry's attempt.
    fn apply_settlement(&mut self, now_ms: u64, event: &EntryEvent) -> Vec<EntryEvent> {
        match event {
            EntryEvent::Agent {
                message:
                    AgentMessage::Settled {
                        attempt,
                        settlement,
                    },
                ..
            } => self.records.settled(now_ms, *attempt, *settlement),
            _ => Vec::new(),
        }
    }

    /// Executes a step; returns results that are available at once as events.
    fn execute(
        &mut self,
        now_ms: u64,
        step: EntryStep,
        links: &mut IndexMap<Arc<str>, JoinHandle<()>>,
    ) -> Vec<EntryEvent> {
        match step {
            EntryStep::Claim(asked) => return self.records.claim(now_ms, asked),
            EntryStep::ConfirmNotRun {
                request,
                name,
                failure,
            } => return self.records.vouch(now_ms, request, name, failure),
            EntryStep::AwaitTurn { order, place } => {
                return self.records.join(now_ms, order, place);
            }
            EntryStep::Finished {
                request,
                order,
                outcome,
            } => return self.records.finish(now_ms, request, order, outcome),
            EntryStep::Dial { agent, address } => self.dial(agent, address, links),
            EntryStep::CloseLink { agent } => {
                if let Some(link) = links.swap_remove(&agent) {
                    link.abort();
                }
            }
            other => self.forward(other),
        }
        Vec::new()
    }

    fn dial(
        &self,
        agent: Arc<str>,
        address: SocketAddr,
        links: &mut IndexMap<Arc<str>, JoinHandle<()>>,
    ) {
        let task = keep_link(agent.clone(), address, self.link.clone());
        let previous = links.insert(agent, self.traffic.spawn(task));
        if let Some(previous) = previous {
            previous.abort();
        }
    }

    /// Forwards a step to links and callers.
    fn forward(&self, step: EntryStep) {
        let routes = &self.link.routes;
        match step {
            EntryStep::Send { agent, message } => self.link.links.send(&agent, message),
            EntryStep::Begin {
                request,
                attempt,
                agent,
            } => {
                routes.follow(request, attempt.request);
                routes.tell(request, CallerNote::Begin { attempt, agent });
            }
            EntryStep::Resume { attempt, agent } => {
                routes.tell_readers(attempt.request, &CallerNote::Resume { attempt, agent });
            }
            EntryStep::End { attempt, end } => {
                routes.tell_readers(attempt.request, &CallerNote::End { attempt, end });
            }
            EntryStep::Fail { request, failure } => {
                self.report_failure(request, failure);
                routes.tell(request, CallerNote::Fail(failure));
            }
            EntryStep::Dial { .. }
            | EntryStep::CloseLink { .. }
            | EntryStep::Claim(_)
            | EntryStep::ConfirmNotRun { .. }
            | EntryStep::AwaitTurn { .. }
            | EntryStep::Finished { .. } => {}
        }
    }

    /// Sends due heartbeats and closes links that have been silent for too long.
    fn maintain_links(&mut self, paces: &mut LinkPaces) {
        let now_ms = elapsed_ms(self.started);
        let links = self.state.counts().links;
        let revision = self.catalog.borrow().revision;
        self.beats += 1;
        paces.retain(|agent, _| self.state.agents().get(agent).is_some());
        for (agent, known) in self.state.agents().iter() {
            let Some(heard_at_ms) = self.link.links.heard_at_ms(agent) else {
                paces.swap_remove(agent);
                continue;
            };
            let (tell, hear) = watch_levels(known);
            let view = LinkView {
                tell,
                hear,
                heard_at_ms,
                links,
                revision,
            };
            let pace = paces.entry(agent.clone()).or_default();
            match pace.next(now_ms, view, self.link.pace) {
                PaceStep::Rest => {}
                PaceStep::Beat => {
                    let sequence = self.beats;
                    let message = EntryMessage::Heartbeat { sequence, revision };
                    self.link.links.send(agent, message);
                }
                PaceStep::GiveUp => self.link.links.close(agent),
            }
        }
    }

    fn answer_query(&self, query: EntryQuery) {
        match query {
            EntryQuery::Status(answer) => {
                // Fails if the receiver was dropped, which needs no handling.
                let _gone = answer.send(self.current_status());
            }
            EntryQuery::Explain { request, answer } => {
                let _gone = answer.send(self.decisions(request));
            }
        }
    }

    fn report_failure(&self, request: RequestId, failure: Failure) {
        Line::new(Level::Info, "request failed")
            .request(request)
            .field("outcome", failure.outcome)
            .field("reason", failure.reason)
            .revision(self.catalog.borrow().revision)
            .send();
    }

    fn decisions(&self, request: RequestId) -> Vec<Decision> {
        let Some(remembered) = self.state.explain(request) else {
            return Vec::new();
        };
        let mut decisions: Vec<_> = remembered
            .decisions
            .iter()
            .map(|(at_ms, decided)| Decision {
                at_ms: self.started_unix_ms + at_ms,
                process: self.link.hello.name.clone(),
                what: decided.what().into(),
                why: decided.why().into(),
            })
            .collect();
        if let Some(last) = decisions.last()
            && remembered.omitted > 0
        {
            decisions.push(Decision {
                what: format!("{} further decisions", remembered.omitted).into(),
                why: "the memory of one request is bounded".into(),
                ..last.clone()
            });
        }
        decisions
    }

    fn publish(&self) {
        let counts = self.state.counts();
        self.metrics.gauge("entry.waiting", counts.waiting as u64);
        self.metrics.gauge("entry.running", counts.running as u64);
        self.metrics.gauge("entry.links", counts.links as u64);
        self.publish_caller_memory();
        self.status.send_replace(self.current_status());
    }

    fn publish_caller_memory(&self) {
        let usage = self.caller_memory.usage();
        for (name, value) in [
            ("entry.caller_connections", usage.connections as u64),
            ("entry.caller_connection_bytes", usage.connection_bytes),
            ("entry.caller_body_bytes", usage.body_bytes),
            ("entry.caller_evicted", usage.evicted_connections),
            ("entry.caller_rejected", usage.rejected),
        ] {
            self.metrics.gauge(name, value);
        }
    }

    fn current_status(&self) -> EntryStatus {
        let now_ms = elapsed_ms(self.started);
        let agents = self
            .state
            .agents()
            .iter()
            .map(|(name, agent)| (name.clone(), agent_status(agent, now_ms)))
            .collect();
        EntryStatus {
            is_ready: self.state.is_ready(),
            is_drained: self.state.is_drained(),
            counts: self.state.counts(),
            readers: self.link.routes.len(),
            agents,
        }
    }
}

/// Returns how closely each side of a link watches the other: first the agent watching this
/// entry, then this entry watching the agent.
///
/// A caller notices at once when an agent's heartbeats or answers stop. If this entry dies
/// while an attempt runs, the only cost is upstream work whose answer no caller waits for.
fn watch_levels(agent: &Agent) -> (Watch, Watch) {
    if !agent.reserved.is_empty() {
        (Watch::Closely, Watch::Closely)
    } else if !agent.running.is_empty() {
        (Watch::Loosely, Watch::Closely)
    } else {
        (Watch::Idly, Watch::Idly)
    }
}

fn agent_status(agent: &Agent, now_ms: u64) -> AgentStatus {
    AgentStatus {
        is_linked: agent.linked.is_some(),
        takes_work: agent.takes_work(now_ms),
        revision: agent.revision,
        heard_ms_ago: agent.heard_at_ms.map(|heard| now_ms.saturating_sub(heard)),
        load: agent.load,
    }
}

/// Returns the milliseconds since the entry's start.
#[must_use]
pub fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
