//! Caller, entry, agent, upstream and back on real sockets, judged by the upstreams' own
//! counts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use indexmap::IndexMap;
use reqwest::Method;
use reqwest::StatusCode;
use sardinewood::agent_server;
use sardinewood::agent_server::AgentHandle;
use sardinewood::agent_settings::AgentSettings;
use sardinewood::catalog::Catalog;
use sardinewood::entry_server;
use sardinewood::entry_server::EntryHandle;
use sardinewood::entry_settings::EntrySettings;
use sardinewood::entry_state::EntryCounts;
use sardinewood::metrics::Metrics;
use sardinewood::objects::Upstream;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use testutils::engine_settings::EngineSettings;
use testutils::engine_stand_in::EngineStandIn;
use testutils::service_stand_in::ServiceStandIn;
use tokio::sync::watch;
use tokio::time::timeout;

const KEY: &str = "key-of-rundu";
/// Generous, so that it is reached only when what is waited for never comes.
const CAP: Duration = Duration::from_secs(30);

/// An entry, agents, and the configuration that they share.
struct Fleet {
    entry: EntryHandle,
    agents: IndexMap<String, AgentHandle>,
    catalog: watch::Sender<Arc<Catalog>>,
    client: reqwest::Client,
}

impl Fleet {
    /// A fleet with an agent for each upstream: its name, URL and what it serves.
    async fn start(upstreams: &[(&str, String, Value)]) -> Self {
        let (catalog, receiver) = watch::channel(Arc::new(callers_catalog()));
        for (name, url, serves) in upstreams {
            let upstream = json!({
                "name": name, "data_centre": "local", "url": url, "serves": serves,
                "agent_address": "127.0.0.1:1", "slots": 4,
            });
            let upstream = serde_json::from_value(upstream).expect("an upstream");
            change(&catalog, |known| {
                known.upstreams.insert((*name).into(), Arc::new(upstream));
            });
        }
        let settings = EntrySettings::default();
        let entry = entry_server::spawn(&settings, receiver, Metrics::disabled());
        let mut fleet = Self {
            entry: entry.expect("an entry"),
            agents: IndexMap::new(),
            catalog,
            client: reqwest::Client::new(),
        };
        for (name, ..) in upstreams {
            fleet.start_agent(name).await;
        }
        fleet.wait_for_links(upstreams.len()).await;
        fleet
    }

    async fn start_agent(&mut self, upstream: &str) {
        let settings = AgentSettings {
            upstream: upstream.into(),
            ..AgentSettings::default()
        };
        let catalog = self.catalog.subscribe();
        let agent = agent_server::spawn(settings, catalog, Metrics::disabled()).await;
        let agent = agent.expect("an agent");
        let agent_address = agent.address();
        change(&self.catalog, |catalog| {
            move_agent(catalog, upstream, agent_address);
        });
        self.agents.insert(upstream.into(), agent);
    }

    async fn wait_for_links(&self, count: usize) {
        let links = async {
            while self.counts().await.links != count {
                tokio::task::yield_now().await;
            }
        };
        assert!(timeout(CAP, links).await.is_ok(), "no links");
    }

    async fn counts(&self) -> EntryCounts {
        let status = self.entry.ask_status().await;
        status.expect("a running entry").counts
    }

    async fn assert_nothing_left(&self) {
        let empty = async {
            loop {
                let counts = self.counts().await;
                if counts.waiting + counts.running + counts.reservations == 0 {
                    break;
                }
                tokio::task::yield_now().await;
            }
        };
        assert!(timeout(CAP, empty).await.is_ok(), "something is left");
    }

    fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.entry.address());
        self.client.request(method, url).bearer_auth(KEY)
    }

    fn chat(&self, max_tokens: u32, stream: bool) -> reqwest::RequestBuilder {
        let body = json!({
            "model": "small", "max_tokens": max_tokens, "stream": stream,
            "messages": [{"role": "user", "content": "a summary of the dispute"}],
        });
        self.request(Method::POST, "/v1/chat/completions")
            .json(&body)
    }
}

fn change(catalog: &watch::Sender<Arc<Catalog>>, change: impl FnOnce(&mut Catalog)) {
    catalog.send_modify(|catalog| {
        let mut next = Catalog::clone(catalog);
        next.revision += 1;
        change(&mut next);
        *catalog = Arc::new(next);
    });
}

fn move_agent(catalog: &mut Catalog, upstream: &str, agent_address: SocketAddr) {
    let known = catalog.upstreams.get(upstream).expect("an upstream");
    let moved = Upstream {
        agent_address,
        ..Upstream::clone(known)
    };
    catalog.upstreams.insert(upstream.into(), Arc::new(moved));
}

fn callers_catalog() -> Catalog {
    let mut catalog = Catalog {
        revision: 1,
        ..Catalog::default()
    };
    let profile = json!({"name": "summary", "tier": 0, "deadline_ms": 25_000});
    let profile = serde_json::from_value(profile).expect("a profile");
    catalog.profiles.insert("summary".into(), Arc::new(profile));
    let digest = format!("{:x}", Sha256::digest(KEY.as_bytes()));
    let customer = json!({
        "name": "rundu", "weight": 1, "default_profile": "summary", "key_sha256": [digest],
    });
    let customer = serde_json::from_value(customer).expect("a customer");
    catalog.customers.insert("rundu".into(), Arc::new(customer));
    catalog
}

async fn engine() -> EngineStandIn {
    let engine = EngineStandIn::spawn(EngineSettings::default()).await;
    engine.expect("an engine")
}

fn models(engine: &EngineStandIn) -> (String, Value) {
    (engine.url(), json!({"models": ["small"]}))
}

fn events(body: &str) -> usize {
    body.lines().filter(|line| line.starts_with("id: ")).count()
}

#[tokio::test]
async fn chat_answered_whole_and_once() {
    let engine = engine().await;
    let (url, serves) = models(&engine);
    let fleet = Fleet::start(&[("lang-1", url, serves)]).await;
    for stream in [false, true] {
        let response = fleet.chat(20, stream).send().await.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        let id = response.headers()["x-sardinewood-request-id"].clone();
        let body = response.text().await.expect("a whole body");
        if stream {
            assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
            assert!(events(&body) >= 20, "{body}");
        } else {
            let body: Value = serde_json::from_str(&body).expect("JSON");
            assert_eq!(body["usage"]["completion_tokens"], 20);
        }
        assert_eq!(engine.dispatches(id.to_str().expect("an id")), 1);
    }
    fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn service_call_kept_whole_both_ways() {
    let service = ServiceStandIn::spawn().await.expect("a service");
    let serves = json!({"service": "refunds"});
    let fleet = Fleet::start(&[("refunds-1", service.url(), serves)]).await;
    let body = vec![0_u8, 255, 10, 13];
    let response = fleet
        .request(Method::PATCH, "/services/refunds/credit/17?dry=1")
        .header("x-depot", "rundu")
        .header("x-sardinewood-non-idempotent", "true")
        .body(body.clone())
        .send()
        .await
        .expect("an answer");
    let id = response.headers()["x-sardinewood-request-id"].clone();
    let calls = service.calls();
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].request_id(), id);
    assert_eq!(calls[0].method, "PATCH");
    assert_eq!(calls[0].path, "/credit/17?dry=1");
    assert_eq!(calls[0].headers["x-depot"], "rundu");
    assert_eq!(calls[0].body, body);
    assert!(!calls[0].headers.contains_key("authorization"));
    fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn agent_restarted_mid_stream_answer_is_whole() {
    // The agent is killed while a stream runs through it, and a new one starts beside the
    // living engine. The caller sees a pause and then the rest: the new agent picks the
    // run up from the engine, the entry resumes from the byte that it has, and the engine
    // has seen one dispatch.
    let engine = engine().await;
    let (url, serves) = models(&engine);
    let mut fleet = Fleet::start(&[("lang-1", url, serves)]).await;
    let response = fleet.chat(200, true).send().await.expect("an answer");
    let id = response.headers()["x-sardinewood-request-id"].clone();
    let mut parts = response.bytes_stream();
    let first = parts.next().await.expect("a part").expect("bytes");
    let mut body = first.to_vec();
    drop(fleet.agents.swap_remove("lang-1"));
    fleet.start_agent("lang-1").await;
    while let Some(part) = timeout(CAP, parts.next()).await.expect("an end") {
        body.extend_from_slice(&part.expect("bytes"));
    }
    let body = String::from_utf8(body).expect("text");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    assert!(events(&body) >= 200, "{}", events(&body));
    assert_eq!(engine.dispatches(id.to_str().expect("an id")), 1);
    fleet.assert_nothing_left().await;
}

#[tokio::test]
async fn caller_gone_mid_stream_frees_the_engine() {
    // The caller leaves while its stream runs. The cancel goes through to the engine, so
    // that its slot is free again long before the answer would have ended.
    let engine = engine().await;
    let (url, serves) = models(&engine);
    let fleet = Fleet::start(&[("lang-1", url, serves)]).await;
    let response = fleet.chat(5_000, true).send().await.expect("an answer");
    let mut parts = response.bytes_stream();
    assert!(parts.next().await.is_some_and(|part| part.is_ok()));
    drop(parts);
    fleet.assert_nothing_left().await;
    let idle = async {
        while engine.load().running != 0 {
            tokio::task::yield_now().await;
        }
    };
    assert!(timeout(CAP, idle).await.is_ok(), "the engine still runs it");
}

#[tokio::test]
async fn engine_broken_moves_to_the_other() {
    // One of two engines breaks every connection that it gets. A plain answer that was
    // under way there is made by the other one; the caller sees one whole answer, and
    // neither engine has got the request twice.
    let (first, second) = (engine().await, engine().await);
    let fleet = {
        let (url, serves) = models(&first);
        let (other_url, other_serves) = models(&second);
        Fleet::start(&[("lang-1", url, serves), ("lang-2", other_url, other_serves)]).await
    };
    let answer = tokio::spawn(fleet.chat(400, false).send());
    let running = async {
        loop {
            if first.load().running == 1 {
                break &first;
            }
            if second.load().running == 1 {
                break &second;
            }
            tokio::task::yield_now().await;
        }
    };
    let hit = timeout(CAP, running).await.expect("a running request");
    hit.stop();
    let response = timeout(CAP, answer)
        .await
        .expect("in time")
        .expect("a task");
    let response = response.expect("an answer");
    let id = response.headers()["x-sardinewood-request-id"].clone();
    assert_eq!(response.status(), StatusCode::OK);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["usage"]["completion_tokens"], 400);
    let id = id.to_str().expect("an id");
    assert_eq!((first.dispatches(id), second.dispatches(id)), (1, 1));
    fleet.assert_nothing_left().await;
}
