//! Crowds of callers that don't behave before an entry with agents: it lives, stays within the memory and the
//! descriptors of its host, and answers an ordinary request while the crowd is there and afterwards.

#[expect(dead_code, reason = "other tests use the rest")]
mod programs;

use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use reqwest::StatusCode;
use serde_json::json;
use testutils::caller_crowd::CallerCrowd;
use testutils::caller_crowd::Script;
use testutils::caller_crowd::chunk;
use testutils::caller_crowd::filled;
use testutils::caller_crowd::send_and_read;
use testutils::engine_settings::EngineSettings;
use testutils::engine_stand_in::EngineStandIn;
use testutils::process_usage::HostLimits;
use testutils::process_usage::UsageSampler;
use testutils::store_stand_in::StoreStandIn;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::programs::CAP;
use crate::programs::KEY;
use crate::programs::Program;
use crate::programs::seed_upstream;
use crate::programs::store;

/// Longest legal body of a request.
const MAX_BODY_BYTES: usize = 4 << 20;
/// A body beyond that, as an honest mistake.
const TOO_LONG_BODY_BYTES: usize = 6 << 20;
/// How long a crowd stays after all of it has acted.
const STAY: Duration = Duration::from_secs(2);
/// Long bodies that don't fit into the smallest host together.
const LONG_BODIES: usize = 40;

static ALONE: Mutex<()> = Mutex::const_new(());

/// An entry on a small host before an engine and its agent.
struct Scene {
    entry: Program,
    engine: EngineStandIn,
    host: HostLimits,
    sampler: UsageSampler,
    _agent: Program,
    _store: StoreStandIn,
    _alone: MutexGuard<'static, ()>,
}

impl Scene {
    async fn start(host: HostLimits) -> Self {
        let alone = ALONE.lock().await;
        let store = store().await;
        let engine = EngineStandIn::spawn(EngineSettings::default()).await;
        let engine = engine.expect("an engine");
        let agent = Program::agent("lang-1", "127.0.0.1:0", &store);
        let serves = json!({"models": ["small"]});
        seed_upstream(&store, "lang-1", &engine.url(), &serves, agent.address);
        let variables = [
            ("SARDINEWOOD_MEMORY_MB", host.memory_mb.to_string()),
            ("SARDINEWOOD_MAX_DESCRIPTORS", host.descriptors.to_string()),
        ];
        let entry = Program::entry_with("entry-1", &store, &variables);
        let scene = Self {
            sampler: UsageSampler::start(entry.process_id(), vec![entry.address]),
            entry,
            engine,
            host,
            _agent: agent,
            _store: store,
            _alone: alone,
        };
        scene.answers("before the crowd").await;
        scene
    }

    /// Lets a crowd act, and checks what has to hold while it is there and afterwards.
    async fn withstands(&mut self, callers: usize, script: &Script) {
        let crowd = CallerCrowd::start(self.entry.address, callers, script);
        crowd.wait_acted().await;
        sleep(STAY).await;
        self.check_usage();
        self.engine.set_stalled(false);
        self.answers("during the crowd").await;
        crowd.leave().await;
        self.answers("after the crowd").await;
        self.check_usage();
    }

    /// Waits until an ordinary caller, which returns when it is refused, has its answer.
    async fn answers(&self, what: &str) {
        let body = json!({
            "model": "small", "max_tokens": 4,
            "messages": [{"role": "user", "content": "a summary of the dispute"}],
        });
        let url = format!("http://{}/v1/chat/completions", self.entry.address);
        let until = Instant::now() + CAP;
        while Instant::now() < until {
            let call = Client::new().post(&url).bearer_auth(KEY).json(&body);
            let answer = call.send().await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("no answer {what}");
    }

    fn check_usage(&mut self) {
        assert!(self.entry.is_running(), "the entry has ended");
        self.host.check(self.sampler.peak());
    }
}

fn head() -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: returns.example\r\n\
         Authorization: Bearer {KEY}\r\nContent-Type: application/json\r\n"
    )
}

fn head_with_length(bytes: usize) -> String {
    format!("{}Content-Length: {bytes}\r\n\r\n", head())
}

fn head_with_chunks() -> String {
    format!("{}Transfer-Encoding: chunked\r\n\r\n", head())
}

#[tokio::test]
async fn long_bodies_that_stop_short() {
    // Guards against memory that grows with the number of unfinished bodies.
    let mut scene = Scene::start(HostLimits::SMALL_MEMORY).await;
    let script = Script::unfinished(head_with_length(MAX_BODY_BYTES), MAX_BODY_BYTES);
    scene.withstands(LONG_BODIES, &script).await;
}

#[tokio::test]
async fn one_long_chunk_that_stops_short() {
    // Guards against the same without a declared length.
    let mut scene = Scene::start(HostLimits::SMALL_MEMORY).await;
    let script = Script::unfinished(
        format!("{}{MAX_BODY_BYTES:x}\r\n", head_with_chunks()),
        MAX_BODY_BYTES,
    );
    scene.withstands(LONG_BODIES, &script).await;
}

#[tokio::test]
async fn long_bodies_that_wait() {
    // Guards against memory that grows with the number of whole bodies that wait.
    let mut scene = Scene::start(HostLimits::SMALL_MEMORY).await;
    scene.engine.set_stalled(true);
    let begin = r#"{"model":"small","max_tokens":4,"messages":[{"role":"user","content":""#;
    let end = r#""}]}"#;
    let prompt = "x ".repeat((MAX_BODY_BYTES - begin.len() - end.len()) / 2);
    let body = format!("{begin}{prompt}{end}");
    let script = Script {
        begin: head_with_length(body.len()).into(),
        piece: body.into(),
        pieces: 1,
        ..Script::default()
    };
    scene.withstands(LONG_BODIES, &script).await;
}

#[tokio::test]
async fn chunks_far_over_the_limit() {
    // Guards against bodies that turn out to be too long.
    let mut scene = Scene::start(HostLimits::SMALL_MEMORY).await;
    let script = Script {
        begin: head_with_chunks().into(),
        piece: chunk(256 << 10),
        pieces: 80,
        ..Script::default()
    };
    scene.withstands(LONG_BODIES, &script).await;
}

#[tokio::test]
async fn short_bodies_by_the_thousand_that_stop_short() {
    // Guards against what each unfinished request holds beside its body.
    let mut scene = Scene::start(HostLimits::SMALL_MEMORY).await;
    let script = Script::unfinished(head_with_length(64 << 10), 64 << 10);
    scene.withstands(1_200, &script).await;
}

#[tokio::test]
async fn long_heads_that_stop_short() {
    // Guards against what unfinished heads hold.
    let mut scene = Scene::start(HostLimits::SMALL_MEMORY).await;
    let script = Script {
        begin: format!("{}Some: ", head()).into(),
        piece: filled(300 << 10),
        pieces: 1,
        ..Script::default()
    };
    scene.withstands(300, &script).await;
}

#[tokio::test]
async fn silent_connections_beyond_the_descriptors() {
    // Guards against callers that take all descriptors and leave none for other callers and for agents.
    let mut scene = Scene::start(HostLimits::FEW_DESCRIPTORS).await;
    scene.withstands(600, &Script::default()).await;
}

/// Checks that callers, one after another, are told why they are refused.
async fn refusal_seen(parts: &[Bytes], status: &str) {
    const CALLERS: usize = 10;
    let scene = Scene::start(HostLimits::SMALL_MEMORY).await;
    for number in 0..CALLERS {
        let answer = send_and_read(scene.entry.address, parts).await;
        let answer = answer.unwrap_or_else(|error| panic!("{number}: {error}"));
        let expected = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&expected), "{number}: {answer:?}");
    }
    scene.answers("after the refusals").await;
}

#[tokio::test]
async fn refusal_of_an_unknown_key_seen() {
    // Guards against a connection that is reset before its caller has read why it was refused.
    let head = head_with_length(MAX_BODY_BYTES).replace(KEY, "unknown");
    refusal_seen(&[head.into(), filled(MAX_BODY_BYTES)], "401").await;
}

#[tokio::test]
async fn refusal_of_an_announced_length_seen() {
    // Guards against the same for a body that is announced too long.
    let head = head_with_length(TOO_LONG_BODY_BYTES);
    refusal_seen(&[head.into(), filled(TOO_LONG_BODY_BYTES)], "413").await;
}

#[tokio::test]
async fn refusal_of_a_chunked_body_seen() {
    // Guards against the same for a chunked body that turns out to be too long.
    let parts = [
        head_with_chunks().into(),
        chunk(TOO_LONG_BODY_BYTES),
        "0\r\n\r\n".into(),
    ];
    refusal_seen(&parts, "413").await;
}
