//! The control thread of an agent: passes events to the state machine and executes its steps.

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

/// Interval of the state machine's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// How long the writers of links may take to send the last messages of a shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Inputs of the control thread.
#[derive(Debug)]
pub struct ControlParts {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// The state machine.
    pub state: AgentState,
    /// The configuration in force.
    pub catalog: watch::Receiver<Arc<Catalog>>,
    /// Start of the agent's clock.
    pub started: Instant,
    /// Rules for when heartbeats are due and when a silent link is dropped.
    pub pace: PaceRules,
    /// How long a shutdown waits for requests in flight.
    pub shutdown_grace: Duration,
    /// Maximum number of unacknowledged bytes of one answer.
    pub window_bytes: u64,
    /// Receives metrics.
    pub metrics: Metrics,
    /// HTTP client that sends each request once.
    pub http: UpstreamHttp,
    /// Runtime of the traffic threads.
    pub traffic: Handle,
    /// Call tasks of attempts.
    pub call_tasks: CallTaskRegistry,
    /// Events of links.
    pub link_events: mpsc::Receiver<LinkEvent>,
    /// Requests a graceful shutdown when cancelled.
    pub shut_down: CancellationToken,
    /// Stops the agent at once when cancelled.
    pub stop: CancellationToken,
}

/// State of the control thread.
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

/// Capacity of the queue of call events. When it is full, call tasks wait.
const CALL_EVENT_QUEUE: usize = 1_024;

/// Reason for which the control thread wakes up.
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
    /// Runs until the agent is stopped, or shut down and idle.
    pub async fn run(parts: ControlParts) {
        let (call_events, mut calls) = mpsc::channel(CALL_EVENT_QUEUE);
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
        control.apply_catalog();
        let stop = control.parts.stop.clone();
        control.serve(&mut calls).await;
        // Gives the writers of links time to send the last messages.
        let _stopped = timeout(FLUSH_TIMEOUT, stop.cancelled()).await;
        stop.cancel();
    }

    async fn serve(&mut self, calls: &mut mpsc::Receiver<AgentEvent>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heartbeats = interval(Duration::from_millis(self.parts.pace.heartbeat_ms));
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut exit_deadline = None;
        loop {
            // Calls have priority over links: a call task reports the end of its call before it
            // sends the end to the entry, so an entry that has read the end and asks about the
            // attempt never gets "running".
            let wake = tokio::select! {
                biased;
                () = self.parts.stop.cancelled() => Wake::Stop,
                () = self.parts.shut_down.cancelled(), if exit_deadline.is_none() => Wake::ShutDown,
                _ = heartbeats.tick() => Wake::Heartbeat,
                _ = ticks.tick() => Wake::Tick,
                Ok(()) = self.parts.catalog.changed() => Wake::Catalog,
                Some(event) = calls.recv() => Wake::Call(event),
                Some(event) = self.parts.link_events.recv() => Wake::Link(event),
            };
            match wake {
                Wake::Link(event) => self.handle_link_event(event),
                Wake::Call(event) => self.handle_event(event),
                Wake::Catalog => self.apply_catalog(),
                Wake::Heartbeat => self.send_heartbeats(),
                Wake::Tick => self.handle_event(AgentEvent::Tick),
                Wake::ShutDown => {
                    exit_deadline = Some(Instant::now() + self.parts.shutdown_grace);
                    Line::new(Level::Info, "shutting down").send();
                    self.handle_event(AgentEvent::ShutDown);
                }
                Wake::Stop => return,
            }
            if exit_deadline.is_some_and(|exit_deadline| self.can_exit(exit_deadline)) {
                return;
            }
        }
    }

    fn can_exit(&self, exit_deadline: Instant) -> bool {
        if self.parts.state.is_idle() {
            return true;
        }
        let is_overdue = Instant::now() >= exit_deadline;
        if is_overdue {
            Line::new(Level::Warn, "shutdown grace ended with requests running")
                .field("running", self.parts.state.running())
                .send();
        }
        is_overdue
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.parts.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn handle_event(&mut self, event: AgentEvent) {
        let now_ms = self.now_ms();
        for step in self.parts.state.step(now_ms, event) {
            self.execute_step(step);
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

    fn apply_catalog(&mut self) {
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
            .field(
                "activity",
                object.as_ref().map(|upstream| upstream.activity),
            )
            .revision(catalog.revision)
            .send();
        self.handle_event(AgentEvent::UpstreamChanged(object));
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened { link, handle } => {
                Line::new(Level::Info, "link opened")
                    .field("entry", &handle.entry)
                    .send();
                self.links.insert(link, handle);
                self.handle_event(AgentEvent::LinkUp { link });
            }
            LinkEvent::Received { link, message } => {
                self.handle_event(AgentEvent::Received { link, message });
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
        self.handle_event(AgentEvent::LinkLost { link });
    }

    /// Sends the heartbeats that are due and drops silent links.
    fn send_heartbeats(&mut self) {
        self.parts.call_tasks.sweep();
        self.sequence += 1;
        let load = self.parts.state.load();
        let beat = AgentMessage::Heartbeat {
            sequence: self.sequence,
            revision: self.parts.catalog.borrow().revision,
            load,
        };
        for (link, step) in self.heartbeat_steps() {
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

    fn heartbeat_steps(&mut self) -> Vec<(LinkId, PaceStep)> {
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

/// Execution of steps.
impl AgentControl {
    fn execute_step(&mut self, step: AgentStep) {
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
                if let Some(parts) = self.call_task_parts(attempt, buffer_whole, is_retryable) {
                    self.open_call(parts, link, call);
                }
            }
            AgentStep::AdoptCall { attempt } => {
                if let Some(parts) = self.call_task_parts(attempt, true, false) {
                    self.spawn(CallTask::adopt(parts).run());
                }
            }
            AgentStep::CancelCall { attempt, cause } => {
                // Fails only if the call task has ended; it needs no cancellation then.
                let _ended = self
                    .parts
                    .call_tasks
                    .send(attempt, CallCommand::Cancel(cause));
            }
            AgentStep::AttachCall {
                attempt,
                link,
                from_bytes,
            } => {
                self.attach(attempt, link, from_bytes);
            }
            AgentStep::DropAnswer { attempt } => {
                // Fails only if the call task has ended; its answer is dropped already then.
                let _ended = self.parts.call_tasks.send(attempt, CallCommand::DropAnswer);
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
            self.drop_link(link, "the entry does not read its control messages");
        }
    }

    fn answer_sender(&self, link: LinkId) -> Option<AnswerSender> {
        self.links.get(&link).map(|handle| handle.bulk.clone())
    }

    /// Attaches a call task to a link. If the task has just ended, its report is still in the
    /// queue, so the entry gets `InDoubt` and asks again.
    fn attach(&mut self, attempt: AttemptId, link: LinkId, from_bytes: u64) {
        let Some(answer_sender) = self.answer_sender(link) else {
            return;
        };
        let command = CallCommand::Attach {
            answer_sender,
            from_bytes,
        };
        if self.parts.call_tasks.send(attempt, command).is_err() {
            self.send(link, settled_message(attempt, Settlement::InDoubt));
        }
    }

    fn open_call(&self, parts: CallTaskParts, link: LinkId, call: Call) {
        self.parts.metrics.count("agent.dispatched", 1);
        Line::new(Level::Debug, "call opened")
            .attempt(parts.attempt)
            .send();
        let answer_sender = self.answer_sender(link);
        self.spawn(CallTask::open(parts, answer_sender, call).run());
    }

    fn call_task_parts(
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
            commands: self.parts.call_tasks.add(attempt),
        })
    }

    fn probe(&self) {
        let Some(client) = self.client.clone() else {
            return;
        };
        let events = self.call_events.clone();
        self.spawn(async move {
            let probe = client.probe().await;
            // Fails only if the control thread has stopped; the agent is ending then.
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
            // Fails only if the control thread has stopped; the agent is ending then.
            let _stopped = events.send(event).await;
        });
    }

    /// Spawns a task on the traffic threads that runs until the agent stops.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.parts.stop.clone();
        self.parts
            .traffic
            .spawn(async move { stop.run_until_cancelled(task).await });
    }
}
