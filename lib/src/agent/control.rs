//! The control thread of an agent: it feeds the decisions and carries their steps out.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::agent::call_task::AnswerSender;
use crate::agent::call_task::CallCommand;
use crate::agent::call_task::CallTask;
use crate::agent::call_task::CallTaskParts;
use crate::agent::call_task_registry::CallTaskRegistry;
use crate::agent::events::AgentEvent;
use crate::agent::events::AgentStep;
use crate::agent::events::LinkId;
use crate::agent::events::settled_message;
use crate::agent::link::LinkEvent;
use crate::agent::link::LinkHandle;
use crate::agent::state::AgentState;
use crate::config::catalog::Catalog;
use crate::config::objects::Upstream;
use crate::ids::AttemptId;
use crate::link::pace::LinkPace;
use crate::link::pace::LinkView;
use crate::link::pace::PaceRules;
use crate::link::pace::PaceStep;
use crate::link::wire::AgentMessage;
use crate::link::wire::Call;
use crate::link::wire::Settlement;
use crate::logging::Level;
use crate::logging::Line;
use crate::metrics::Metrics;
use crate::upstream::client::UpstreamClient;
use crate::upstream::health::UpstreamHealth;
use crate::upstream::http::UpstreamHttp;

/// How often the decisions are told the time.
const TICK: Duration = Duration::from_millis(25);

/// How long what was sent last may take to leave at the end of a shutdown.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// What the control thread works with.
#[derive(Debug)]
pub struct ControlParts {
    /// The name of the upstream.
    pub upstream: Arc<str>,
    /// The decisions.
    pub state: AgentState,
    /// The configuration in force.
    pub catalog: watch::Receiver<Arc<Catalog>>,
    /// The start of the agent's time.
    pub started: Instant,
    /// When heartbeats are due, and when a silent link is given up.
    pub pace: PaceRules,
    /// How long a shutdown waits for what is in flight.
    pub shutdown_grace: Duration,
    /// The window of an answer.
    pub window_bytes: u64,
    /// Where metrics go.
    pub metrics: Metrics,
    /// Sends requests, once.
    pub http: UpstreamHttp,
    /// Where traffic runs.
    pub traffic: Handle,
    /// The pumps of attempts.
    pub pumps: CallTaskRegistry,
    /// What links tell.
    pub link_events: mpsc::Receiver<LinkEvent>,
    /// Asks for a graceful end.
    pub shut_down: CancellationToken,
    /// Ends everything at once.
    pub stop: CancellationToken,
}

/// The control thread.
#[derive(Debug)]
pub struct AgentControl {
    parts: ControlParts,
    links: IndexMap<LinkId, LinkHandle>,
    paces: IndexMap<LinkId, LinkPace>,
    object: Option<Arc<Upstream>>,
    client: Option<UpstreamClient>,
    call_events: mpsc::Sender<AgentEvent>,
    sequence: u64,
    health: UpstreamHealth,
}

/// Events of calls that may wait for the control thread; pumps wait for room.
const CALL_EVENTS: usize = 1_024;

/// What the control thread wakes up for.
enum Wake {
    Link(LinkEvent),
    Call(AgentEvent),
    Catalog,
    Heartbeat,
    Tick,
    ShutDown,
    Stop,
}

impl AgentControl {
    /// Runs until it is stopped, or shut down and idle.
    pub async fn run(parts: ControlParts) {
        let (call_events, mut calls) = mpsc::channel(CALL_EVENTS);
        let mut control = AgentControl {
            paces: IndexMap::new(),
            links: IndexMap::new(),
            object: None,
            client: None,
            call_events,
            sequence: 0,
            health: UpstreamHealth::default(),
            parts,
        };
        control.read_catalog();
        let stop = control.parts.stop.clone();
        control.serve(&mut calls).await;
        // Writers of links get the time to send what was said last.
        let _stopped = timeout(FLUSH_TIME, stop.cancelled()).await;
        stop.cancel();
    }

    async fn serve(&mut self, calls: &mut mpsc::Receiver<AgentEvent>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heartbeats = interval(Duration::from_millis(self.parts.pace.heartbeat_ms));
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leave_by = None;
        loop {
            // Calls go before links: a pump reports the end of its call before it sends it, so
            // an entry that asks about an end which it has read is never told "running".
            let wake = tokio::select! {
                biased;
                () = self.parts.stop.cancelled() => Wake::Stop,
                () = self.parts.shut_down.cancelled(), if leave_by.is_none() => Wake::ShutDown,
                _ = heartbeats.tick() => Wake::Heartbeat,
                _ = ticks.tick() => Wake::Tick,
                Ok(()) = self.parts.catalog.changed() => Wake::Catalog,
                Some(event) = calls.recv() => Wake::Call(event),
                Some(event) = self.parts.link_events.recv() => Wake::Link(event),
            };
            match wake {
                Wake::Link(event) => self.take_link_event(event),
                Wake::Call(event) => self.decide(event),
                Wake::Catalog => self.read_catalog(),
                Wake::Heartbeat => self.keep_pace(),
                Wake::Tick => self.decide(AgentEvent::Tick),
                Wake::ShutDown => {
                    leave_by = Some(Instant::now() + self.parts.shutdown_grace);
                    Line::new(Level::Info, "shutting down").send();
                    self.decide(AgentEvent::ShutDown);
                }
                Wake::Stop => return,
            }
            if leave_by.is_some_and(|leave_by| self.can_leave(leave_by)) {
                return;
            }
        }
    }

    fn can_leave(&self, leave_by: Instant) -> bool {
        if self.parts.state.is_idle() {
            return true;
        }
        let is_late = Instant::now() >= leave_by;
        if is_late {
            Line::new(Level::Warn, "shutdown grace is over with work in flight")
                .field("running", self.parts.state.running())
                .send();
        }
        is_late
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.parts.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn decide(&mut self, event: AgentEvent) {
        let now_ms = self.now_ms();
        for step in self.parts.state.step(now_ms, event) {
            self.carry_out(step);
        }
        self.log_health();
    }

    fn log_health(&mut self) {
        let health = self.parts.state.health();
        if std::mem::discriminant(&health) != std::mem::discriminant(&self.health) {
            Line::new(Level::Info, "upstream health changed")
                .field("from", format!("{:?}", self.health))
                .field("to", format!("{health:?}"))
                .send();
        }
        self.health = health;
    }

    fn read_catalog(&mut self) {
        let catalog = Arc::clone(&self.parts.catalog.borrow_and_update());
        let object = catalog.upstreams.get(&self.parts.upstream).cloned();
        if object == self.object {
            return;
        }
        let http = &self.parts.http;
        self.client = object
            .as_deref()
            .map(|upstream| UpstreamClient::new(http.clone(), upstream));
        self.object.clone_from(&object);
        Line::new(Level::Info, "upstream object changed")
            .field("activity", object.as_ref().map(|one| one.activity))
            .revision(catalog.revision)
            .send();
        self.decide(AgentEvent::UpstreamChanged(object));
    }

    fn take_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened { link, handle } => {
                Line::new(Level::Info, "link opened")
                    .field("entry", &handle.entry)
                    .send();
                self.links.insert(link, handle);
                self.decide(AgentEvent::LinkUp { link });
            }
            LinkEvent::Received { link, message } => {
                self.decide(AgentEvent::Received { link, message });
            }
            LinkEvent::Lost { link, reason } => self.drop_link(link, &reason),
        }
    }

    fn drop_link(&mut self, link: LinkId, reason: &str) {
        let Some(handle) = self.links.swap_remove(&link) else {
            return;
        };
        self.paces.swap_remove(&link);
        handle.close.cancel();
        self.parts.metrics.count("agent.link_lost", 1);
        Line::new(Level::Warn, "link lost")
            .field("entry", &handle.entry)
            .field("reason", reason)
            .send();
        self.decide(AgentEvent::LinkLost { link });
    }

    /// Sends the heartbeats that are due, and gives up links that are silent.
    fn keep_pace(&mut self) {
        self.parts.pumps.sweep();
        self.sequence += 1;
        let load = self.parts.state.load();
        let beat = AgentMessage::Heartbeat {
            sequence: self.sequence,
            revision: self.parts.catalog.borrow().revision,
            load,
        };
        for (link, step) in self.due_on_links() {
            match step {
                PaceStep::Rest => {}
                PaceStep::Beat => self.send(link, beat.clone()),
                PaceStep::GiveUp => self.drop_link(link, "the entry is silent"),
            }
        }
        let metrics = &self.parts.metrics;
        metrics.gauge("agent.running", self.parts.state.running() as u64);
        metrics.gauge("agent.waiting", u64::from(load.waiting));
        metrics.gauge("agent.free_slots", u64::from(load.free_slots));
        metrics.gauge("agent.step_us", u64::from(load.step_us));
    }

    fn due_on_links(&mut self) -> Vec<(LinkId, PaceStep)> {
        let now_ms = self.now_ms();
        let rules = self.parts.pace;
        let watched = self.parts.state.watched_links(now_ms, rules.heartbeat_ms);
        let links = self.links.len();
        let revision = self.parts.catalog.borrow().revision;
        let mut due = Vec::with_capacity(links);
        for (link, handle) in &self.links {
            let (tell, hear) = watched.get(link).copied().unwrap_or_default();
            let view = LinkView {
                tell,
                hear,
                heard_at_ms: handle.heard.at_ms(),
                links,
                revision,
            };
            let pace = self.paces.entry(*link).or_default();
            due.push((*link, pace.next(now_ms, view, rules)));
        }
        due
    }
}

/// Steps.
impl AgentControl {
    fn carry_out(&mut self, step: AgentStep) {
        match step {
            AgentStep::Send { link, message } => self.send(link, message),
            AgentStep::CloseLink { link, reason } => self.drop_link(link, &reason),
            AgentStep::OpenCall {
                attempt,
                link,
                call,
                buffer_whole,
                is_retryable,
            } => {
                if let Some(parts) = self.pump_parts(attempt, buffer_whole, is_retryable) {
                    self.open_call(parts, link, call);
                }
            }
            AgentStep::AdoptCall { attempt } => {
                if let Some(parts) = self.pump_parts(attempt, true, false) {
                    self.spawn(CallTask::adopt(parts).run());
                }
            }
            AgentStep::CancelCall { attempt, cause } => {
                // What has ended needs no cancellation.
                let _ended = self.parts.pumps.order(attempt, CallCommand::Cancel(cause));
            }
            AgentStep::AttachCall {
                attempt,
                link,
                from_bytes,
            } => {
                self.attach(attempt, link, from_bytes);
            }
            AgentStep::DropAnswer { attempt } => {
                // What has ended is forgotten already.
                let _ended = self.parts.pumps.order(attempt, CallCommand::Forget);
            }
            AgentStep::Probe => self.probe(),
            AgentStep::Investigate { attempt } => self.investigate(attempt),
        }
    }

    fn send(&mut self, link: LinkId, message: AgentMessage) {
        let Some(handle) = self.links.get(&link) else {
            return;
        };
        match &message {
            AgentMessage::Grant { .. } => self.parts.metrics.count("agent.granted", 1),
            AgentMessage::Refuse { .. } => self.parts.metrics.count("agent.refused", 1),
            _ => {}
        }
        if handle.control.try_send(message).is_err() {
            self.drop_link(link, "the entry does not read");
        }
    }

    fn outlet(&self, link: LinkId) -> Option<AnswerSender> {
        self.links.get(&link).map(|handle| handle.bulk.clone())
    }

    /// A pump that has just ended can't take the link any more; its report is on the way
    /// here, so the entry is told to ask again.
    fn attach(&mut self, attempt: AttemptId, link: LinkId, from_bytes: u64) {
        let Some(outlet) = self.outlet(link) else {
            return;
        };
        let order = CallCommand::Attach { outlet, from_bytes };
        if self.parts.pumps.order(attempt, order).is_err() {
            self.send(link, settled_message(attempt, Settlement::InDoubt));
        }
    }

    fn open_call(&self, parts: CallTaskParts, link: LinkId, call: Call) {
        self.parts.metrics.count("agent.dispatched", 1);
        Line::new(Level::Debug, "call opened")
            .attempt(parts.attempt)
            .send();
        let outlet = self.outlet(link);
        self.spawn(CallTask::open(parts, outlet, call).run());
    }

    fn pump_parts(
        &self,
        attempt: AttemptId,
        buffer_whole: bool,
        is_retryable: bool,
    ) -> Option<CallTaskParts> {
        Some(CallTaskParts {
            attempt,
            upstream: self.client.clone()?,
            window_bytes: self.parts.window_bytes,
            silent: self.parts.http.timings.silent(),
            buffer_whole,
            is_retryable,
            events: self.call_events.clone(),
            orders: self.parts.pumps.add(attempt),
        })
    }

    fn probe(&self) {
        let Some(client) = self.client.clone() else {
            return;
        };
        let events = self.call_events.clone();
        self.spawn(async move {
            let probe = client.probe().await;
            // Without a control thread nobody wants to know.
            let _stopped = events.send(AgentEvent::Probed(probe)).await;
        });
    }

    fn investigate(&self, attempt: AttemptId) {
        let Some(client) = self.client.clone() else {
            return;
        };
        let events = self.call_events.clone();
        self.spawn(async move {
            let found = client.investigate(attempt.request).await;
            let event = AgentEvent::Investigated { attempt, found };
            // Without a control thread nobody wants to know.
            let _stopped = events.send(event).await;
        });
    }

    /// Runs a task on the traffic threads until the agent stops.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.parts.stop.clone();
        self.parts
            .traffic
            .spawn(async move { stop.run_until_cancelled(task).await });
    }
}
