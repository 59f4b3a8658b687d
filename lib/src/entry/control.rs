//! The thread of control of an entry: takes events, decides, and carries the decisions out.

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
use crate::verdict::Failure;

/// Events taken together before timers are looked at.
const BATCH_EVENTS: usize = 256;
/// The longest sleep, when no timer is set.
const IDLE: Duration = Duration::from_secs(3_600);

/// The pace of each open link.
type LinkPaces = IndexMap<Arc<str>, LinkPace>;

/// What an entry knows of one agent.
///
/// ```
/// use sardinewood::entry::control::AgentStatus;
///
/// assert!(!AgentStatus::default().is_linked);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentStatus {
    /// Whether there is a link to it.
    pub is_linked: bool,
    /// Whether it gets new work from here.
    pub takes_work: bool,
    /// The newest configuration revision that it said it has.
    pub revision: u64,
    /// How long ago it was last heard; absent if it never was.
    pub heard_ms_ago: Option<u64>,
    /// The load that it reported last.
    pub load: Load,
}

/// What others may know of the entry's state.
///
/// ```
/// use sardinewood::entry::control::EntryStatus;
///
/// assert!(!EntryStatus::default().is_ready);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryStatus {
    /// Whether new requests are taken.
    pub is_ready: bool,
    /// Whether no caller waits any more.
    pub is_drained: bool,
    /// How many requests are where.
    pub counts: EntryCounts,
    /// How many answers have a reader.
    pub readers: usize,
    /// What is known of each agent.
    pub agents: IndexMap<Arc<str>, AgentStatus>,
}

/// A question to the control thread.
#[derive(Debug)]
pub enum EntryQuery {
    /// The status after all events that came before.
    Status(oneshot::Sender<EntryStatus>),
    /// What was decided about a request; nothing if it is not remembered.
    Explain {
        /// The request.
        request: RequestId,
        /// Where the answer goes.
        answer: oneshot::Sender<Vec<Decision>>,
    },
}

/// Everything that the control thread works with.
pub struct EntryControl {
    /// The decisions.
    pub state: EntryState,
    /// Events from links, bounded: a link that brings too many waits.
    pub link_events: mpsc::Receiver<EntryEvent>,
    /// Events from callers, a few for each of a bounded number of connections.
    pub caller_events: mpsc::UnboundedReceiver<EntryEvent>,
    /// The configuration.
    pub catalog: watch::Receiver<Arc<Catalog>>,
    /// What links are made of.
    pub link: LinkContext,
    /// Where link tasks run.
    pub traffic: Handle,
    /// Claims and orders.
    pub records: StoreRecords,
    /// What came of calls to the store.
    pub record_answers: mpsc::UnboundedReceiver<RecordAnswer>,
    /// Questions that want an answer from the state as it is now.
    pub queries: mpsc::Receiver<EntryQuery>,
    /// Where the status is published.
    pub status: watch::Sender<EntryStatus>,
    /// Where figures go.
    pub metrics: Metrics,
    /// Rounds of heartbeats so far.
    pub beats: u64,
    /// The start of the entry's time.
    pub started: Instant,
    /// The same by the clock, in milliseconds since 1970, for operators to read.
    pub started_unix_ms: u64,
    /// How often the status is published.
    pub status_every: Duration,
    /// Ends the thread.
    pub stop: CancellationToken,
}

impl EntryControl {
    /// Runs until it is stopped.
    pub async fn run(mut self) {
        let mut links = IndexMap::new();
        let mut batch = Vec::with_capacity(BATCH_EVENTS);
        let first = EntryEvent::CatalogChanged(self.catalog.borrow_and_update().clone());
        batch.push(first);
        let mut next_status = Instant::now();
        let mut paces = LinkPaces::default();
        let heartbeat = Duration::from_millis(self.link.pace.heartbeat_ms);
        let mut beat_at = Instant::now();
        loop {
            for event in batch.drain(..) {
                self.take(event, &mut links);
            }
            if Instant::now() >= next_status {
                self.publish();
                next_status = Instant::now() + self.status_every;
            }
            if Instant::now() >= beat_at {
                self.keep_pace(&mut paces);
                beat_at = Instant::now() + heartbeat;
            }
            if !self.wait(&mut batch, next_status.min(beat_at)).await {
                break;
            }
        }
        for (_, link) in links {
            link.abort();
        }
    }

    /// Waits for events; false when the thread is to end.
    async fn wait(&mut self, batch: &mut Vec<EntryEvent>, wake_at: Instant) -> bool {
        let ticks = [self.state.next_tick_ms(), self.records.next_tick_ms()];
        let tick_at = ticks.into_iter().flatten().min().map_or_else(
            || Instant::now() + IDLE,
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
                self.answer(query);
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

    /// Takes what is ready of both channels, in turn.
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

    fn take(&mut self, event: EntryEvent, links: &mut IndexMap<Arc<str>, JoinHandle<()>>) {
        let now_ms = elapsed_ms(self.started);
        let publishes = matches!(event, EntryEvent::ShutDown | EntryEvent::CatalogChanged(_));
        let mut events = VecDeque::from(self.hear_settled(now_ms, &event));
        events.push_front(event);
        while let Some(event) = events.pop_front() {
            for step in self.state.handle(now_ms, event) {
                events.extend(self.carry_out(now_ms, step, links));
            }
        }
        if publishes {
            self.publish();
        }
    }

    /// Orders may wait for an agent's word about an attempt of another entry.
    fn hear_settled(&mut self, now_ms: u64, event: &EntryEvent) -> Vec<EntryEvent> {
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

    /// Carries a step out; what is decided at once comes back as events.
    fn carry_out(
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
            other => self.pass_on(other),
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
        let earlier = links.insert(agent, self.traffic.spawn(task));
        if let Some(earlier) = earlier {
            earlier.abort();
        }
    }

    /// Passes a step on to links and callers.
    fn pass_on(&self, step: EntryStep) {
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

    /// Sends the heartbeats that are due, and gives up links that are silent.
    fn keep_pace(&mut self, paces: &mut LinkPaces) {
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
            let (tell, hear) = watched(known);
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
                    let beat = EntryMessage::Heartbeat { sequence, revision };
                    self.link.links.send(agent, beat);
                }
                PaceStep::GiveUp => self.link.links.close(agent),
            }
        }
    }

    fn answer(&self, query: EntryQuery) {
        match query {
            EntryQuery::Status(answer) => {
                // Who has gone away does not want the answer.
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
        self.status.send_replace(self.current_status());
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

/// How a link is watched: what an agent says, by its heartbeats or by the answer itself, is
/// missed by a caller at once. What this entry says of a running attempt is only missed when
/// it has died, and then costs the upstream some work that nobody waits for.
fn watched(agent: &Agent) -> (Watch, Watch) {
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

/// Milliseconds since the entry's start.
#[must_use]
pub fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
