//! The real programs on real sockets under `kill -9`, SIGSTOP, SIGTERM and a connection that
//! is swallowed. Everything is judged by counts.

use std::time::Duration;

use futures_util::StreamExt;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use testutils::engine_settings::EngineSettings;
use testutils::engine_stand_in::EngineStandIn;
use testutils::service_stand_in::ServiceStandIn;
use testutils::store_stand_in::StoreStandIn;
use tokio::time::timeout;

use crate::programs::CAP;
use crate::programs::KEY;
use crate::programs::Program;
use crate::programs::seed_upstream;
use crate::programs::store;
use crate::swallowing_proxy::SwallowingProxy;

const TOKENS: usize = 40;

fn chat(entry: &Program, tokens: usize, stream: bool) -> RequestBuilder {
    let body = json!({
        "model": "small", "max_tokens": tokens, "stream": stream,
        "messages": [{"role": "user", "content": "a summary of the dispute"}],
    });
    let url = format!("http://{}/v1/chat/completions", entry.address);
    Client::new().post(url).bearer_auth(KEY).json(&body)
}

/// One engine, its agent and an entry.
struct Scene {
    store: StoreStandIn,
    engine: EngineStandIn,
    agent: Program,
    entry: Program,
}

impl Scene {
    async fn start() -> Self {
        let store = store().await;
        let engine = EngineStandIn::spawn(EngineSettings::default()).await;
        let engine = engine.expect("an engine");
        let agent = Program::agent("lang-1", "127.0.0.1:0", &store);
        let serves = json!({"models": ["small"]});
        seed_upstream(&store, "lang-1", &engine.url(), &serves, agent.address);
        let entry = Program::entry("entry-1", &store);
        wait_ready(&entry).await;
        Self {
            store,
            engine,
            agent,
            entry,
        }
    }

    /// Starts a stream and holds the engine after its first bytes.
    async fn held_stream(&self) -> HeldStream {
        let response = chat(&self.entry, TOKENS, true).send().await;
        let response = response.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        let mut held = HeldStream {
            response,
            text: String::new(),
        };
        held.read_some().await;
        self.engine.set_stalled(true);
        held
    }

    fn assert_dispatched_once(&self, requests: usize) {
        let dispatches = self.engine.dispatches_by_id();
        assert_eq!(dispatches.len(), requests, "{dispatches:?}");
        assert!(
            dispatches.values().all(|count| *count == 1),
            "{dispatches:?}"
        );
    }
}

struct HeldStream {
    response: Response,
    text: String,
}

impl HeldStream {
    async fn read_some(&mut self) -> bool {
        let chunk = timeout(CAP, self.response.chunk()).await.expect("bytes");
        let Some(bytes) = chunk.expect("an unbroken stream") else {
            return false;
        };
        self.text += &String::from_utf8_lossy(&bytes);
        true
    }

    /// Reads to the end; every token must have come once.
    async fn assert_whole(mut self) {
        while self.read_some().await {}
        let ids: Vec<_> = self
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse::<usize>().ok())
            .collect();
        let expected: Vec<_> = (0..ids.len()).collect();
        assert_eq!(ids, expected, "an event is missing or came twice");
        assert!(ids.len() >= TOKENS, "{}", self.text);
        assert!(self.text.trim_end().ends_with("data: [DONE]"));
    }
}

async fn wait_ready(entry: &Program) {
    let url = format!("http://{}/readyz", entry.address);
    let ready = async {
        loop {
            let answer = reqwest::get(&url).await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    timeout(CAP, ready).await.expect("a ready entry");
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_and_started_again_stream_is_whole() {
    // The agent's process is killed while a stream passes through it, and started again at
    // the same address. The engine goes on; the new agent finds the request by its id, and
    // the caller gets every event once. The engine was given the request once.
    let mut scene = Scene::start().await;
    let held = scene.held_stream().await;
    let address = scene.agent.address.to_string();
    scene.agent.kill();
    scene.agent = Program::agent("lang-1", &address, &scene.store);
    scene.engine.set_stalled(false);
    held.assert_whole().await;
    scene.assert_dispatched_once(1);
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_stopped_and_continued_stream_is_whole() {
    // The agent is stopped for longer than a link may be silent, with a stream under way.
    // The entry gives the link up. When the agent goes on, the entry settles the attempt on a
    // new link and reads on.
    let scene = Scene::start().await;
    let held = scene.held_stream().await;
    scene.agent.signal("STOP");
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    scene.engine.set_stalled(false);
    scene.agent.signal("CONT");
    held.assert_whole().await;
    scene.assert_dispatched_once(1);
}

#[tokio::test(flavor = "multi_thread")]
async fn link_swallowed_stream_is_whole() {
    // Something between entry and agent loses track of their connection. Neither end is told;
    // new connections work. The entry notices the silence, dials again and reads on.
    let scene = Scene::start().await;
    let proxy = SwallowingProxy::start(scene.agent.address).await;
    let serves = json!({"models": ["small"]});
    let url = scene.engine.url();
    seed_upstream(&scene.store, "lang-1", &url, &serves, proxy.address());
    let entry = Program::entry("entry-2", &scene.store);
    wait_ready(&entry).await;
    let scene = Scene { entry, ..scene };
    let held = scene.held_stream().await;
    proxy.swallow();
    scene.engine.set_stalled(false);
    held.assert_whole().await;
    scene.assert_dispatched_once(1);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_refund_repeated_elsewhere_runs_once() {
    // A refund runs when its entry is killed. The caller repeats it under its key through
    // another entry, which finds the claim in the store and follows the run. The service
    // has been called once, and the caller has its answer.
    let store = store().await;
    let service = ServiceStandIn::spawn().await.expect("a service");
    service.set_delay(Duration::from_secs(2));
    let agent = Program::agent("refunds-1", "127.0.0.1:0", &store);
    let serves = json!({"service": "refunds"});
    seed_upstream(&store, "refunds-1", &service.url(), &serves, agent.address);
    let mut first = Program::entry("entry-1", &store);
    let second = Program::entry("entry-2", &store);
    wait_ready(&first).await;
    wait_ready(&second).await;
    let refund = |entry: &Program| {
        let url = format!("http://{}/services/refunds/credit", entry.address);
        let request = Client::new().post(url).bearer_auth(KEY).body("100");
        request
            .header("x-sardinewood-non-idempotent", "true")
            .header("idempotency-key", "refund-17")
            .send()
    };
    let lost = tokio::spawn(refund(&first));
    let called = async {
        while service.calls().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    timeout(CAP, called).await.expect("a call");
    first.kill();
    assert!(lost.await.expect("a task").is_err(), "the entry is dead");
    let again = timeout(CAP, refund(&second)).await.expect("in time");
    assert_eq!(again.expect("an answer").status(), StatusCode::OK);
    assert_eq!(service.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_terminated_under_load_cuts_nothing_off() {
    // SIGTERM comes while four requests run and more wait. Each caller hears a whole
    // answer or "not run"; the engine was given as many as were answered; the program ends
    // well.
    let mut scene = Scene::start().await;
    let chats: Vec<_> = (0..24)
        .map(|_| tokio::spawn(chat(&scene.entry, TOKENS, false).send()))
        .collect();
    let busy = async {
        while scene.engine.dispatches_by_id().len() < 4 {
            tokio::task::yield_now().await;
        }
    };
    timeout(CAP, busy).await.expect("a busy engine");
    scene.entry.signal("TERM");
    let mut answered = 0;
    let mut not_run = 0;
    let mut results = futures_util::stream::iter(chats).buffered(24);
    while let Some(result) = results.next().await {
        // A connection that was not made before the listener closed was never a request.
        let Ok(response) = result.expect("a task") else {
            continue;
        };
        let status = response.status();
        let body: Value = response.json().await.expect("a whole body");
        if status == StatusCode::OK {
            assert_eq!(body["usage"]["completion_tokens"], TOKENS, "{body}");
            answered += 1;
        } else {
            assert_eq!(body["error"]["outcome"], "not_run", "{body}");
            not_run += 1;
        }
    }
    assert!(answered >= 4, "{answered} answered, {not_run} not run");
    scene.assert_dispatched_once(answered);
    assert!(scene.entry.ended_well());
}
