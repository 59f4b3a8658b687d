//! Entries and agents on real sockets, for end-to-end tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use reqwest::Method;
use sardinewood::agent;
use sardinewood::agent::server::AgentHandle;
use sardinewood::agent::settings::AgentSettings;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::objects::Upstream;
use sardinewood::entry;
use sardinewood::entry::server::EntryHandle;
use sardinewood::entry::settings::EntrySettings;
use sardinewood::entry::state::EntryCounts;
use sardinewood::metrics::Metrics;
use sardinewood::store::position::StorePosition;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use testutils::engine_settings::EngineSettings;
use testutils::engine_stand_in::EngineStandIn;
use tokio::sync::watch;
use tokio::time::timeout;

const KEY: &str = "key-of-rundu";

/// The limit for waits; generous, so that it is reached only if the awaited event never happens.
pub const CAP: Duration = Duration::from_secs(30);

/// Entries and agents that share a configuration.
pub struct Fleet {
    pub entries: Vec<EntryHandle>,
    pub agents: IndexMap<String, AgentHandle>,
    pub catalog: watch::Sender<Arc<Catalog>>,
    client: reqwest::Client,
}

impl Fleet {
    /// Starts one entry without a store, and an agent for each upstream. An upstream is given by
    /// its name, its URL and what it serves.
    pub async fn start(upstreams: &[(&str, String, Value)]) -> Self {
        Self::with_entries(upstreams, 1, "http://127.0.0.1:1").await
    }

    /// Starts several entries that use a store, and an agent for each upstream.
    pub async fn with_entries(
        upstreams: &[(&str, String, Value)],
        entries: usize,
        store_url: &str,
    ) -> Self {
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
        let entries = (0..entries).map(|number| entry(number, store_url, &receiver));
        let mut fleet = Self {
            entries: entries.collect(),
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

    pub async fn start_agent(&mut self, upstream: &str) {
        let settings = AgentSettings {
            upstream: upstream.into(),
            ..AgentSettings::default()
        };
        let catalog = self.catalog.subscribe();
        let agent = agent::server::spawn(settings, catalog, Metrics::disabled()).await;
        let agent = agent.expect("an agent");
        let agent_address = agent.address();
        change(&self.catalog, |catalog| {
            move_agent(catalog, upstream, agent_address);
        });
        self.agents.insert(upstream.into(), agent);
    }

    async fn wait_for_links(&self, count: usize) {
        let links = async {
            for entry in &self.entries {
                while counts(entry).await.links != count {
                    tokio::task::yield_now().await;
                }
            }
        };
        assert!(timeout(CAP, links).await.is_ok(), "no links");
    }

    pub async fn assert_nothing_left(&self) {
        let empty = async {
            for entry in &self.entries {
                while !is_empty(counts(entry).await) {
                    tokio::task::yield_now().await;
                }
            }
        };
        assert!(timeout(CAP, empty).await.is_ok(), "something is left");
    }

    /// Builds a request through the first entry.
    pub fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        self.request_through(0, method, path)
    }

    pub fn request_through(
        &self,
        entry: usize,
        method: Method,
        path: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.entries[entry].address());
        self.client.request(method, url).bearer_auth(KEY)
    }

    /// Builds a chat completion request through the first entry.
    pub fn chat(&self, max_tokens: u32, stream: bool) -> reqwest::RequestBuilder {
        self.chat_through(0, max_tokens, stream)
    }

    pub fn chat_through(
        &self,
        entry: usize,
        max_tokens: u32,
        stream: bool,
    ) -> reqwest::RequestBuilder {
        let body = json!({
            "model": "small", "max_tokens": max_tokens, "stream": stream,
            "messages": [{"role": "user", "content": "a summary of the dispute"}],
        });
        self.request_through(entry, Method::POST, "/v1/chat/completions")
            .json(&body)
    }
}

async fn counts(entry: &EntryHandle) -> EntryCounts {
    let status = entry.ask_status().await;
    status.expect("a running entry").counts
}

fn is_empty(counts: EntryCounts) -> bool {
    counts.waiting + counts.running + counts.reservations == 0
}

fn entry(number: usize, store_url: &str, catalog: &watch::Receiver<Arc<Catalog>>) -> EntryHandle {
    let settings = EntrySettings {
        host: format!("entry-{number}").into(),
        store_url: store_url.into(),
        ..EntrySettings::default()
    };
    let entry = entry::server::spawn(&settings, catalog.clone(), Metrics::disabled());
    entry.expect("an entry")
}

fn change(catalog: &watch::Sender<Arc<Catalog>>, change: impl FnOnce(&mut Catalog)) {
    catalog.send_modify(|catalog| {
        let mut next = Catalog::clone(catalog);
        next.revision = next.revision.following();
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
        revision: StorePosition::new(0, 1),
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

pub async fn engine() -> EngineStandIn {
    let engine = EngineStandIn::spawn(EngineSettings::default()).await;
    engine.expect("an engine")
}

pub fn models(engine: &EngineStandIn) -> (String, Value) {
    (engine.url(), json!({"models": ["small"]}))
}
