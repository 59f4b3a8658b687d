//! A model engine that batches continuously in real time, and its fault switches.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::engine_core::EngineCore;
use crate::engine_face;
use crate::engine_settings::EngineCounts;
use crate::engine_settings::EngineLoad;
use crate::engine_settings::EngineSettings;
use crate::faulty_listener::Connections;
use crate::http_server;
use crate::http_server::HttpServer;

/// The runtime's timers are no finer than this; shorter steps are computed several at a time.
const MIN_TICK_US: u64 = 1_000;

/// How far behind its steps an engine may fall before it runs slower instead.
const MAX_LATE_TICKS: u64 = 4;

/// How often an idle engine looks at its clock, so that its load report moves on.
const IDLE_TICK_MS: u64 = 100;

/// An order that the engine took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AcceptedOrder {
    /// The fencing number that came with it.
    pub fencing: u64,
    /// The order.
    pub order: Value,
}

/// What the HTTP face, the step loop and the handle share.
#[derive(Debug)]
pub(crate) struct Shared {
    started: Instant,
    work: Notify,
    state: Mutex<State>,
}

/// What changes.
#[derive(Debug)]
pub(crate) struct State {
    /// The batching.
    pub(crate) core: EngineCore,
    /// Answers each new request with this status, if set.
    pub(crate) refuse_with: Option<u16>,
    /// The highest fencing number seen.
    pub(crate) fencing: u64,
    /// The orders taken.
    pub(crate) orders: Vec<AcceptedOrder>,
    speed: f64,
    stalled: bool,
    reported: (u64, EngineLoad),
    sampled: (u64, EngineLoad),
}

impl Shared {
    /// Milliseconds since the engine started.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The state, for a short time.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the step loop.
    pub(crate) fn wake(&self) {
        self.work.notify_one();
    }
}

impl State {
    /// The load as it is reported, and its age.
    pub(crate) fn late_load(&mut self, now_ms: u64) -> (EngineLoad, u64) {
        self.sample_load(now_ms);
        (self.reported.1, now_ms - self.reported.0)
    }

    fn sample_load(&mut self, now_ms: u64) {
        if now_ms < self.sampled.0 + self.core.settings().load_lag_ms {
            return;
        }
        self.reported = self.sampled;
        self.sampled = (now_ms, self.core.load());
    }

    fn step_us(&self) -> Option<u64> {
        if self.stalled || self.core.is_idle() {
            return None;
        }
        let step = Duration::from_micros(self.core.settings().step_us).div_f64(self.speed);
        u64::try_from(step.as_micros())
            .ok()
            .map(|step_us| step_us.max(1))
    }
}

/// A running stand-in engine; dropping it is a crash.
///
/// ```
/// use testutils::engine_settings::EngineSettings;
/// use testutils::engine_stand_in::EngineStandIn;
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let engine = EngineStandIn::spawn(EngineSettings::default()).await.unwrap();
/// engine.set_speed(4.0);
/// let body = serde_json::json!({"model": "small", "prompt": "hello", "max_tokens": 3});
/// let request = reqwest::Client::new()
///     .post(format!("{}/v1/completions", engine.url()))
///     .header("X-Request-Id", "r1")
///     .json(&body);
/// assert!(request.send().await.unwrap().status().is_success());
/// assert_eq!(engine.dispatches("r1"), 1);
/// assert_eq!(engine.counts().output_tokens, 3);
/// engine.restart();
/// assert_eq!(engine.dispatches("r1"), 1, "the counts stay");
/// # });
/// ```
#[derive(Debug)]
pub struct EngineStandIn {
    shared: Arc<Shared>,
    server: HttpServer,
    steps: JoinHandle<()>,
}

impl EngineStandIn {
    /// Starts an engine on a free loopback port, inside the current runtime.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn spawn(settings: EngineSettings) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            started: Instant::now(),
            work: Notify::new(),
            state: Mutex::new(State {
                core: EngineCore::new(settings),
                refuse_with: None,
                fencing: 0,
                orders: Vec::new(),
                speed: 1.0,
                stalled: false,
                reported: (0, EngineLoad::default()),
                sampled: (0, EngineLoad::default()),
            }),
        });
        let server = http_server::serve(engine_face::routes(&shared)).await?;
        let steps = tokio::spawn(run_steps(shared.clone()));
        Ok(Self {
            shared,
            server,
            steps,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base URL.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// How often this engine's id of a request was dispatched to it.
    #[must_use]
    pub fn dispatches(&self, id: &str) -> u64 {
        self.shared.lock().core.dispatches(id)
    }

    /// How often each id was dispatched.
    #[must_use]
    pub fn dispatches_by_id(&self) -> IndexMap<Arc<str>, u64> {
        self.shared.lock().core.dispatches_by_id().clone()
    }

    /// What was counted since the start.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().core.counts()
    }

    /// The load at this moment, unlike the reported one.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        self.shared.lock().core.load()
    }

    /// The orders that were taken.
    #[must_use]
    pub fn orders(&self) -> Vec<AcceptedOrder> {
        self.shared.lock().orders.clone()
    }

    /// Makes each step that much faster (2.0) or slower (0.5).
    ///
    /// # Panics
    ///
    /// When the factor is not positive.
    pub fn set_speed(&self, factor: f64) {
        assert!(factor > 0.0, "an engine that stands still is stalled");
        self.shared.lock().speed = factor;
    }

    /// Freezes the steps, or lets them go on. Calls are still taken and answered.
    pub fn set_stalled(&self, stalled: bool) {
        self.shared.lock().stalled = stalled;
        self.shared.wake();
    }

    /// Refuses new requests with this status, or takes them again.
    pub fn refuse_with(&self, status: Option<u16>) {
        self.shared.lock().refuse_with = status;
    }

    /// The switches of its connections.
    #[must_use]
    pub fn connections(&self) -> &Connections {
        self.server.connections()
    }

    /// Restarts on the same address: requests, bars and cache are forgotten, connections close.
    pub fn restart(&self) {
        self.shared.lock().core.forget_all();
        self.server.connections().close_all();
    }

    /// Stops for good.
    pub fn stop(&self) {
        self.steps.abort();
        self.server.stop();
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The one loop that computes all requests of an engine.
async fn run_steps(shared: Arc<Shared>) {
    let mut next = Instant::now();
    loop {
        let step_us = shared.lock().step_us();
        let Some(step_us) = step_us else {
            wait_for_work(&shared).await;
            next = Instant::now();
            continue;
        };
        let steps = MIN_TICK_US.div_ceil(step_us).max(1);
        let tick = Duration::from_micros(steps * step_us);
        next = (next + tick).max(late_limit(tick));
        tokio::time::sleep_until(next).await;
        let now_ms = shared.now_ms();
        let mut state = shared.lock();
        for _ in 0..steps {
            let step_us = state.core.settings().step_us;
            state.core.step(step_us, now_ms);
        }
        state.sample_load(now_ms);
    }
}

/// The earliest moment at which the next tick may be due, lest a machine that was busy for long
/// lets the engine run a burst of steps no real engine could.
fn late_limit(tick: Duration) -> Instant {
    let late = tick * u32::try_from(MAX_LATE_TICKS).unwrap_or(1);
    Instant::now()
        .checked_sub(late)
        .unwrap_or_else(Instant::now)
}

async fn wait_for_work(shared: &Shared) {
    let idle = tokio::time::sleep(Duration::from_millis(IDLE_TICK_MS));
    tokio::select! {
        () = shared.work.notified() => {}
        () = idle => {}
    }
    let now_ms = shared.now_ms();
    shared.lock().sample_load(now_ms);
}
