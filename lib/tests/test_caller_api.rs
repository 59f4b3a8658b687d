//! Tests of the entry's caller API over real sockets, with an agent that grants every
//! reservation at once unless its behaviour says otherwise.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use reqwest::StatusCode;
use sardinewood::answer::reader::checksum;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::spread_message::PeerKeys;
use sardinewood::entry::control::EntryStatus;
use sardinewood::entry::server::EntryHandle;
use sardinewood::entry::server::spawn;
use sardinewood::entry::settings::EntrySettings;
use sardinewood::entry::state::EntryCounts;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::link::frames::AgentEnd;
use sardinewood::link::frames::FrameReader;
use sardinewood::link::frames::write_frames;
use sardinewood::link::proof::prove_as_agent;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Call;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::Hello;
use sardinewood::link::wire::PROTOCOL_VERSION;
use sardinewood::metrics::Metrics;
use sardinewood::store::position::StorePosition;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;

const INCARNATION: Incarnation = Incarnation(7);
const KEY: &str = "key-of-rundu";
/// Timeout of a wait. It is long, so that it expires only if the condition never condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How the test's agent answers a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Answers with the call as JSON.
    Echo,
    /// Answers with two events and `[DONE]`.
    Stream,
    /// Sends one event, and then nothing until the attempt is cancelled.
    Stuck,
    /// Sends one event and then breaks off.
    Break,
    /// Sends a complete answer whose checksum doesn't match its body.
    WrongChecksum,
    /// Grants reservations, and answers each dispatch with `NotSent`.
    Lapsed,
    /// Doesn't answer reservations.
    Silent,
}

#[derive(Debug, Default)]
struct Counts {
    reserved: AtomicUsize,
    withdrawn: AtomicUsize,
    dispatched: AtomicUsize,
    cancelled: AtomicUsize,
}

/// An entry that is linked to a test agent.
struct TestEntry {
    entry: EntryHandle,
    counts: Arc<Counts>,
    client: reqwest::Client,
    _catalog: watch::Sender<Arc<Catalog>>,
}

impl TestEntry {
    async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let counts = Arc::new(Counts::default());
        tokio::spawn(serve_links(listener, behaviour, counts.clone()));
        let catalog = Arc::new(catalog(&address.to_string()));
        let (sender, receiver) = watch::channel(catalog);
        let settings = EntrySettings {
            max_body_bytes: 1_000,
            max_header_bytes: 2_000,
            shutdown_grace_ms: 10_000,
            ..EntrySettings::default()
        };
        let entry = spawn(&settings, receiver, Metrics::disabled()).expect("an entry");
        let test = Self {
            entry,
            counts,
            client: reqwest::Client::new(),
            _catalog: sender,
        };
        test.wait("a link", |status| status.counts.links == 1).await;
        test
    }

    async fn wait(&self, what: &str, condition: impl Fn(&EntryStatus) -> bool) {
        let polling = async {
            while !self
                .entry
                .ask_status()
                .await
                .is_some_and(|now| condition(&now))
            {
                tokio::task::yield_now().await;
            }
        };
        assert!(timeout(WAIT_TIMEOUT, polling).await.is_ok(), "no {what}");
    }

    async fn assert_nothing_left(&self) {
        let none = EntryCounts {
            links: 1,
            ..EntryCounts::default()
        };
        self.wait("empty queues", |status| {
            status.counts == none && status.readers == 0
        })
        .await;
    }

    fn post(&self, path: &str, body: impl Into<reqwest::Body>) -> reqwest::RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.entry.address()))
            .bearer_auth(KEY)
            .body(body)
    }

    fn chat(&self) -> reqwest::RequestBuilder {
        self.post("/v1/chat/completions", chat_body().to_string())
    }
}

fn chat_body() -> Value {
    json!({"model": "small", "messages": [{"role": "user", "content": "hello"}]})
}

fn catalog(agent_address: &str) -> Catalog {
    let mut catalog = Catalog {
        revision: StorePosition::new(0, 1),
        ..Catalog::default()
    };
    let upstream = json!({
        "name": "lang-1", "data_centre": "local", "url": "http://127.0.0.1:1",
        "agent_address": agent_address, "serves": {"models": ["small"]}, "slots": 8,
    });
    let upstream = serde_json::from_value(upstream).expect("an upstream");
    catalog
        .upstreams
        .insert("lang-1".into(), Arc::new(upstream));
    let profile = json!({"name": "lookup", "tier": 2, "deadline_ms": 15_000});
    let profile = serde_json::from_value(profile).expect("a profile");
    catalog.profiles.insert("lookup".into(), Arc::new(profile));
    let digest = format!("{:x}", Sha256::digest(KEY.as_bytes()));
    let customer = json!({
        "name": "rundu", "weight": 1, "default_profile": "lookup", "key_sha256": [digest],
    });
    let customer = serde_json::from_value(customer).expect("a customer");
    catalog.customers.insert("rundu".into(), Arc::new(customer));
    catalog
}

async fn serve_links(listener: TcpListener, behaviour: Behaviour, counts: Arc<Counts>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_link(stream, behaviour, counts.clone()));
    }
}

async fn serve_link(mut stream: TcpStream, behaviour: Behaviour, counts: Arc<Counts>) {
    let keys = PeerKeys::new(&[]);
    prove_as_agent(&mut stream, &keys, &[1; 32])
        .await
        .expect("an entry");
    let (read, write) = stream.into_split();
    let mut reader = FrameReader::<AgentEnd, _>::new(read);
    let (sender, queue) = mpsc::channel(1_000);
    let (_bulk, bulk_queue) = mpsc::channel(1);
    tokio::spawn(write_frames::<AgentEnd, _>(write, queue, bulk_queue));
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        incarnation: INCARNATION,
        name: "lang-1".into(),
        data_centre: "local".into(),
    };
    let _sent = sender.send(AgentMessage::Hello(hello)).await;
    let mut grants = 0;
    while let Ok(Some(message)) = reader.next().await {
        for answer in agent_responses(message, behaviour, &mut grants, &counts) {
            let _sent = sender.send(answer).await;
        }
    }
}

fn agent_responses(
    message: EntryMessage,
    behaviour: Behaviour,
    grants: &mut u64,
    counts: &Counts,
) -> Vec<AgentMessage> {
    match message {
        EntryMessage::Heartbeat { sequence, revision } => vec![AgentMessage::Heartbeat {
            sequence,
            revision,
            load: sardinewood::link::wire::Load::default(),
        }],
        EntryMessage::Reserve(reservation) => {
            counts.reserved.fetch_add(1, Ordering::SeqCst);
            if behaviour == Behaviour::Silent {
                return Vec::new();
            }
            *grants += 1;
            let grant = GrantId {
                agent: INCARNATION,
                sequence: *grants,
            };
            vec![AgentMessage::Grant {
                request: reservation.request,
                grant,
                valid_ms: 1_000,
            }]
        }
        EntryMessage::Withdraw { .. } => {
            counts.withdrawn.fetch_add(1, Ordering::SeqCst);
            Vec::new()
        }
        EntryMessage::Dispatch { attempt, call, .. } => {
            counts.dispatched.fetch_add(1, Ordering::SeqCst);
            run_call(attempt, &call, behaviour)
        }
        EntryMessage::Cancel { attempt } => {
            counts.cancelled.fetch_add(1, Ordering::SeqCst);
            vec![AgentMessage::End {
                attempt,
                end: AnswerEnd::Cancelled,
            }]
        }
        _ => Vec::new(),
    }
}

fn run_call(attempt: AttemptId, call: &Call, behaviour: Behaviour) -> Vec<AgentMessage> {
    match behaviour {
        Behaviour::Echo => {
            let headers: Vec<_> = call.headers.iter().map(|(name, _)| &**name).collect();
            let body = json!({
                "method": &*call.method, "path": &*call.path, "headers": headers,
                "body": String::from_utf8_lossy(&call.body),
            });
            complete_answer(attempt, "application/json", &body.to_string())
        }
        Behaviour::Stream => {
            let body = "id: 0\ndata: {}\n\nid: 1\ndata: {}\n\ndata: [DONE]\n\n";
            complete_answer(attempt, "text/event-stream", body)
        }
        Behaviour::Stuck => first_event(attempt),
        Behaviour::Break => {
            let mut messages = first_event(attempt);
            let reason = "reset".into();
            messages.push(AgentMessage::End {
                attempt,
                end: AnswerEnd::Broken { reason },
            });
            messages
        }
        Behaviour::WrongChecksum => {
            let mut messages = complete_answer(attempt, "application/json", "{}");
            messages.pop();
            let end = AnswerEnd::Complete {
                length_bytes: 2,
                checksum: checksum(b"{ "),
            };
            messages.push(AgentMessage::End { attempt, end });
            messages
        }
        Behaviour::Lapsed => vec![AgentMessage::End {
            attempt,
            end: AnswerEnd::NotSent,
        }],
        Behaviour::Silent => Vec::new(),
    }
}

fn head(attempt: AttemptId, content_type: &'static str) -> AgentMessage {
    let value = Bytes::from_static(content_type.as_bytes());
    AgentMessage::Head {
        attempt,
        status: 200,
        headers: vec![("content-type".into(), value)],
    }
}

fn data(attempt: AttemptId, offset_bytes: u64, bytes: &str) -> AgentMessage {
    AgentMessage::Data {
        attempt,
        offset_bytes,
        bytes: Bytes::copy_from_slice(bytes.as_bytes()),
    }
}

fn first_event(attempt: AttemptId) -> Vec<AgentMessage> {
    vec![
        head(attempt, "text/event-stream"),
        data(attempt, 0, "id: 0\ndata: {}\n\n"),
    ]
}

fn complete_answer(
    attempt: AttemptId,
    content_type: &'static str,
    body: &str,
) -> Vec<AgentMessage> {
    let (first, second) = body.split_at(body.len() / 2);
    let end = AnswerEnd::Complete {
        length_bytes: body.len() as u64,
        checksum: checksum(body.as_bytes()),
    };
    vec![
        head(attempt, content_type),
        data(attempt, 0, first),
        data(attempt, first.len() as u64, second),
        AgentMessage::End { attempt, end },
    ]
}

async fn error_of(response: reqwest::Response) -> (StatusCode, Value) {
    let status = response.status();
    let id = response.headers().get("x-sardinewood-request-id").cloned();
    let body: Value = response.json().await.expect("a JSON error");
    let named = body["error"]["request_id"].as_str().expect("a request id");
    assert_eq!(id.expect("a request id"), named);
    (status, body["error"].clone())
}

#[tokio::test]
async fn chat_plain_is_whole() {
    let test = TestEntry::start(Behaviour::Echo).await;
    let response = test.chat().send().await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    assert!(response.headers().contains_key("x-sardinewood-request-id"));
    let echo: Value = response.json().await.expect("JSON");
    assert_eq!(echo["path"], "/v1/chat/completions");
    assert_eq!(echo["body"], chat_body().to_string(), "byte for byte");
    let headers = echo["headers"].as_array().expect("headers");
    assert!(!headers.contains(&json!("authorization")), "{headers:?}");
    test.assert_nothing_left().await;
}

#[tokio::test]
async fn chat_stream_passes_events() {
    let test = TestEntry::start(Behaviour::Stream).await;
    let response = test.chat().send().await.expect("an answer");
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    let body = response.text().await.expect("a whole body");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    assert_eq!(body.matches("id: ").count(), 2);
    test.assert_nothing_left().await;
}

#[tokio::test]
async fn chat_stream_broken_ends_with_error_event() {
    // The engine breaks off after the caller has received the first event. The caller's client
    // library must not take the events for a complete answer, so the stream ends with an error
    // event and without `[DONE]`.
    let test = TestEntry::start(Behaviour::Break).await;
    let response = test.chat().send().await.expect("an answer");
    let body = response.text().await.expect("a body");
    let last = body.trim_end().lines().last().expect("a line");
    let error: Value = last
        .strip_prefix("data: ")
        .and_then(|json| serde_json::from_str(json).ok())
        .expect("an error event");
    assert_eq!(error["error"]["outcome"], "unknown");
    assert!(!body.contains("[DONE]"));
    test.assert_nothing_left().await;
}

#[tokio::test]
async fn chat_wrong_checksum_is_error() {
    let test = TestEntry::start(Behaviour::WrongChecksum).await;
    let response = test.chat().send().await.expect("an answer");
    let (status, error) = error_of(response).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(error["outcome"], "unknown");
    assert_eq!(test.counts.dispatched.load(Ordering::SeqCst), 1);
    test.assert_nothing_left().await;
}

#[tokio::test]
async fn chat_caller_gone_cancels() {
    // The caller disconnects in the middle of a stream. The engine must not keep running the
    // request, so the attempt is cancelled, and no queue place, slot or route is left behind.
    let test = TestEntry::start(Behaviour::Stuck).await;
    let response = test.chat().send().await.expect("an answer");
    let mut body = response.bytes_stream();
    assert!(body.next().await.is_some_and(|bytes| bytes.is_ok()));
    test.wait("a running request", |status| status.counts.running == 1)
        .await;
    drop(body);
    test.assert_nothing_left().await;
    assert_eq!(test.counts.cancelled.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn chat_caller_gone_while_waiting_withdraws() {
    let test = TestEntry::start(Behaviour::Silent).await;
    let waiting = tokio::spawn(test.chat().send());
    test.wait("a waiting request", |status| status.counts.waiting == 1)
        .await;
    waiting.abort();
    test.assert_nothing_left().await;
    let counts = &test.counts;
    let withdrawn = async {
        while counts.withdrawn.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
    };
    assert!(
        timeout(WAIT_TIMEOUT, withdrawn).await.is_ok(),
        "no withdrawal"
    );
    assert_eq!(counts.dispatched.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn chat_deadline_is_not_run() {
    let test = TestEntry::start(Behaviour::Silent).await;
    let request = test.chat().header("x-sardinewood-deadline-ms", "30");
    let response = request.send().await.expect("an answer");
    assert!(response.headers().contains_key("retry-after"));
    let (status, error) = error_of(response).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(error["outcome"], "not_run");
    assert_eq!(test.counts.dispatched.load(Ordering::SeqCst), 0);
    test.assert_nothing_left().await;
}

#[tokio::test]
async fn chat_lapsed_grants_until_deadline_is_not_run() {
    let test = TestEntry::start(Behaviour::Lapsed).await;
    let request = test.chat().header("x-sardinewood-deadline-ms", "300");
    let (status, error) = error_of(request.send().await.expect("an answer")).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(error["outcome"], "not_run");
    test.assert_nothing_left().await;
}

#[tokio::test]
async fn bad_input_is_refused_and_leaves_nothing() {
    let test = TestEntry::start(Behaviour::Echo).await;
    let chat = "/v1/chat/completions";
    let long = "x".repeat(2_100);
    let other_model = json!({"model": "large", "messages": []}).to_string();
    let no_messages = json!({"model": "small"}).to_string();
    let list = json!(["small", 1, 1, [], null]).to_string();
    let wrong_key = test.chat().bearer_auth("wrong");
    let mut wrong_key = wrong_key.build().expect("a request");
    wrong_key
        .headers_mut()
        .insert("authorization", "Bearer wrong".parse().expect("a value"));
    let requests = [
        (test.post(chat, "{").build(), 400, "invalid_json"),
        (test.post(chat, list).build(), 400, "invalid_json"),
        (test.post(chat, no_messages).build(), 400, "field_missing"),
        (test.post(chat, other_model).build(), 404, "not_served"),
        (test.post(chat, long.clone()).build(), 413, "body_too_large"),
        (Ok(wrong_key), 401, "invalid_api_key"),
        (
            test.chat().header("x-sardinewood-profile", "none").build(),
            400,
            "unknown_profile",
        ),
        (
            test.chat().header("x-other", long).build(),
            431,
            "headers_too_large",
        ),
        (
            test.chat()
                .header("x-sardinewood-deadline-ms", "-1")
                .build(),
            400,
            "invalid_header",
        ),
        (
            test.chat()
                .header("x-sardinewood-non-idempotent", "yes")
                .build(),
            400,
            "invalid_header",
        ),
        (test.post("/v1/other", "").build(), 404, "unknown_path"),
        (
            test.post("/v1/models", "").build(),
            405,
            "method_not_allowed",
        ),
        (test.post("/services/none/x", "").build(), 404, "not_served"),
    ];
    for (request, expected_status, expected_code) in requests {
        let request = request.expect("a request");
        let response = test.client.execute(request).await.expect("an answer");
        let (status, error) = error_of(response).await;
        assert_eq!(error["code"], expected_code);
        assert_eq!(status.as_u16(), expected_status, "{expected_code}");
        assert_eq!(error["outcome"], "not_run");
    }
    test.assert_nothing_left().await;
    assert_eq!(test.counts.reserved.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn models_lists_what_is_served() {
    let test = TestEntry::start(Behaviour::Echo).await;
    let url = format!("http://{}/v1/models", test.entry.address());
    let response = test.client.get(url).bearer_auth(KEY).send().await;
    let list: Value = response.expect("an answer").json().await.expect("JSON");
    assert_eq!(list["data"][0]["id"], "small");
}

#[tokio::test]
async fn shut_down_finishes_what_runs() {
    // The entry is shut down while a stream is open. It is no longer ready at once, and refuses
    // new requests as not run. The open stream goes on until its caller ends it.
    let test = TestEntry::start(Behaviour::Stuck).await;
    let response = test.chat().send().await.expect("an answer");
    let mut body = response.bytes_stream();
    assert!(body.next().await.is_some_and(|bytes| bytes.is_ok()));
    let mut status = test.entry.status();
    let address = test.entry.address();
    let stopping = tokio::spawn(test.entry.shut_down());
    let off = status.wait_for(|status| !status.is_ready);
    assert!(
        timeout(WAIT_TIMEOUT, off).await.is_ok(),
        "readiness stays on"
    );
    let ready = test.client.get(format!("http://{address}/readyz"));
    let ready = ready.send().await.expect("an answer");
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
    let refused = test
        .client
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(KEY)
        .body(chat_body().to_string());
    let (_, error) = error_of(refused.send().await.expect("an answer")).await;
    assert_eq!(error["code"], "shutting_down");
    assert_eq!(test.counts.cancelled.load(Ordering::SeqCst), 0);
    drop(body);
    assert!(
        timeout(WAIT_TIMEOUT, stopping).await.is_ok(),
        "it does not end"
    );
}

// A caller with a valid key reaches an entry that has just started and has no configuration from
// the platform's store yet. An answer that the key is invalid would make the caller give up, so
// the entry asks it to retry, and serves it once the configuration is there.
#[tokio::test]
async fn chat_before_first_configuration_is_not_ready() {
    let (sender, receiver) = watch::channel(Arc::new(Catalog::default()));
    let settings = EntrySettings::default();
    let entry = spawn(&settings, receiver, Metrics::disabled()).expect("an entry");
    let models = || {
        reqwest::Client::new()
            .get(format!("http://{}/v1/models", entry.address()))
            .bearer_auth(KEY)
            .send()
    };
    let early = models().await.expect("an answer");
    assert_eq!(early.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(early.headers()["retry-after"], "1");
    let error: Value = early.json().await.expect("an error");
    assert_eq!(error["error"]["code"], "not_ready");
    assert_eq!(error["error"]["outcome"], "not_run");
    sender.send_replace(Arc::new(catalog("127.0.0.1:1")));
    let answered = async {
        while models().await.expect("an answer").status() != StatusCode::OK {
            tokio::task::yield_now().await;
        }
    };
    assert!(
        timeout(WAIT_TIMEOUT, answered).await.is_ok(),
        "still not ready"
    );
}

// A caller of one service requests a path with `..` to reach other paths of the service's server.
// The HTTP client of the upstream would resolve the path to one outside the service's base URL, so
// the entry refuses it. The test writes the request to a socket itself, because its HTTP client
// would resolve the path too.
#[tokio::test]
async fn service_dot_segments_are_refused() {
    let test = TestEntry::start(Behaviour::Echo).await;
    for path in ["/a/../../v1/orders", "/%2e%2E/x", "/.", r"/a\..\b"] {
        let mut stream = TcpStream::connect(test.entry.address())
            .await
            .expect("a connection");
        let request = format!(
            "GET /services/refunds{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
             Authorization: Bearer {KEY}\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 400 "), "{path}: {answer}");
        assert!(answer.contains(r#""code":"invalid_path""#), "{path}");
    }
    test.assert_nothing_left().await;
    assert_eq!(test.counts.reserved.load(Ordering::SeqCst), 0);
}
