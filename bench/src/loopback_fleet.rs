//! One entry, agents and stand-in engines on loopback, each role on threads of its own, so
//! that the kernel's account of threads tells what each role costs.

use std::sync::Arc;
use std::time::Duration;

use eyre::Context;
use eyre::bail;
use indexmap::IndexMap;
use sardinewood::agent;
use sardinewood::agent::server::AgentHandle;
use sardinewood::agent::settings::AgentSettings;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::objects::Customer;
use sardinewood::config::objects::Profile;
use sardinewood::config::objects::Upstream;
use sardinewood::entry;
use sardinewood::entry::server::EntryHandle;
use sardinewood::entry::settings::EntrySettings;
use sardinewood::metrics::Metrics;
use sardinewood::secrets::sha256_hex;
use sardinewood::store::position::StorePosition;
use serde_json::json;
use testutils::engine_settings::EngineSettings;
use testutils::engine_stand_in::EngineStandIn;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// The key of the one customer.
pub const KEY: &str = "bench-key";

/// The one model.
pub const MODEL: &str = "small";

/// How long the links may take to come up.
const LINK_PATIENCE: Duration = Duration::from_secs(30);

/// What to start.
#[derive(Clone, Debug)]
pub struct FleetSize {
    /// Engines, each with an agent.
    pub engines: usize,
    /// What each engine can do.
    pub engine: EngineSettings,
    /// Threads that carry the entry's traffic.
    pub entry_threads: usize,
    /// Threads that carry all agents' traffic.
    pub agent_threads: usize,
    /// Threads of all engines.
    pub engine_threads: usize,
}

/// A running fleet; dropping it ends everything.
pub struct LoopbackFleet {
    /// The entry.
    pub entry: EntryHandle,
    /// The engines.
    pub engines: Vec<EngineStandIn>,
    _agents: Vec<AgentHandle>,
    _catalog: watch::Sender<Arc<Catalog>>,
    _agent_runtime: Runtime,
    _engine_runtime: Runtime,
}

impl LoopbackFleet {
    /// Starts everything and waits until the entry is linked to each agent.
    ///
    /// # Errors
    ///
    /// Something can't start, or the links do not come up.
    pub fn start(size: &FleetSize) -> eyre::Result<Self> {
        let engine_runtime = runtime("engine", size.engine_threads)?;
        let agent_runtime = runtime("agent-traffic", size.agent_threads)?;
        let (catalog, _) = watch::channel(Arc::new(Catalog::default()));
        let engines = engine_runtime.block_on(start_engines(size))?;
        let agents = agent_runtime.block_on(start_agents(size.engines, &catalog))?;
        catalog.send_replace(Arc::new(full_catalog(size, &engines, &agents)?));
        let settings = EntrySettings {
            traffic_threads: size.entry_threads,
            ..EntrySettings::default()
        };
        let entry = entry::server::spawn(&settings, catalog.subscribe(), Metrics::disabled())
            .wrap_err("can't start the entry")?;
        engine_runtime.block_on(wait_for_links(&entry, size.engines))?;
        Ok(Self {
            entry,
            engines,
            _agents: agents,
            _catalog: catalog,
            _agent_runtime: agent_runtime,
            _engine_runtime: engine_runtime,
        })
    }

    /// Base URL of the entry.
    #[must_use]
    pub fn entry_url(&self) -> String {
        format!("http://{}", self.entry.address())
    }
}

/// A runtime whose threads carry the name of a role.
///
/// # Errors
///
/// The threads can't be started.
pub fn runtime(name: &'static str, threads: usize) -> eyre::Result<Runtime> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?;
    Ok(runtime)
}

async fn start_engines(size: &FleetSize) -> eyre::Result<Vec<EngineStandIn>> {
    let mut engines = Vec::new();
    for _ in 0..size.engines {
        engines.push(EngineStandIn::spawn(size.engine.clone()).await?);
    }
    Ok(engines)
}

async fn start_agents(
    count: usize,
    catalog: &watch::Sender<Arc<Catalog>>,
) -> eyre::Result<Vec<AgentHandle>> {
    let mut agents = Vec::new();
    for index in 0..count {
        let settings = AgentSettings {
            upstream: upstream_name(index),
            ..AgentSettings::default()
        };
        let agent = agent::server::spawn(settings, catalog.subscribe(), Metrics::disabled());
        agents.push(agent.await?);
    }
    Ok(agents)
}

fn full_catalog(
    size: &FleetSize,
    engines: &[EngineStandIn],
    agents: &[AgentHandle],
) -> eyre::Result<Catalog> {
    let mut upstreams = IndexMap::new();
    for (index, (engine, agent)) in engines.iter().zip(agents).enumerate() {
        let upstream: Upstream = serde_json::from_value(json!({
            "name": upstream_name(index),
            "data_centre": "local",
            "url": engine.url(),
            "agent_address": agent.address(),
            "serves": {"models": [MODEL]},
            "slots": size.engine.batch_slots,
            "kv_capacity_tokens": size.engine.kv_capacity_tokens,
        }))?;
        upstreams.insert(upstream.name.clone(), Arc::new(upstream));
    }
    let profile: Profile = serde_json::from_value(json!({
        "name": "bench", "tier": 2, "deadline_ms": 60_000,
    }))?;
    let customer: Customer = serde_json::from_value(json!({
        "name": "bench", "weight": 1, "default_profile": "bench",
        "key_sha256": [sha256_hex(KEY)],
    }))?;
    Ok(Catalog {
        revision: StorePosition::new(0, 1),
        profiles: IndexMap::from([(profile.name.clone(), Arc::new(profile))]),
        upstreams,
        customers: IndexMap::from([(customer.name.clone(), Arc::new(customer))]),
        ..Catalog::default()
    })
}

async fn wait_for_links(entry: &EntryHandle, count: usize) -> eyre::Result<()> {
    let mut status = entry.status();
    let linked = status.wait_for(|status| status.counts.links >= count);
    match tokio::time::timeout(LINK_PATIENCE, linked).await {
        Ok(Ok(_)) => Ok(()),
        _ => bail!("the entry is not linked to each of {count} agents"),
    }
}

fn upstream_name(index: usize) -> Arc<str> {
    format!("engine-{index}").into()
}
