//! Starts all roles and stand-ins, and stops them in the order that loses nothing.

use std::fmt::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use reqwest::Client;
use sardinewood::agent_server;
use sardinewood::agent_server::AgentHandle;
use sardinewood::agent_settings::AgentSettings;
use sardinewood::catalog::Catalog;
use sardinewood::config_object::Kind;
use sardinewood::config_watch::spawn_config;
use sardinewood::entry_server;
use sardinewood::entry_server::EntryHandle;
use sardinewood::entry_settings::EntrySettings;
use sardinewood::metrics::Metrics;
use sardinewood::objects::Activity;
use sardinewood::objects::Serves;
use sardinewood::objects::Upstream;
use serde::Serialize;
use testutils::engine_stand_in::EngineStandIn;
use testutils::host_list_stand_in::Host;
use testutils::host_list_stand_in::HostState;
use testutils::service_stand_in::ServiceStandIn;
use testutils::store_stand_in::StoreStandIn;
use tokio::sync::watch;

use crate::local_settings::LocalSettings;
use crate::report::DispatchCounts;
use crate::seed;
use crate::seed::LANGUAGE_MODEL;
use crate::seed::REFUND_SERVICE;
use crate::seed::RUNDU;

/// How long the roles may take to see the whole configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(30);

/// How often an entry is asked whether it answers callers.
const ANSWER_POLL: Duration = Duration::from_millis(10);

/// The whole system.
#[derive(Debug)]
pub struct Fleet {
    entries: Vec<EntryHandle>,
    agents: Vec<AgentHandle>,
    engines: Vec<(&'static str, EngineStandIn)>,
    service: ServiceStandIn,
    store: StoreStandIn,
}

/// What one process of the fleet follows.
type CatalogReceiver = watch::Receiver<Arc<Catalog>>;

impl Fleet {
    /// Starts everything and waits until the configuration is in force in all of it.
    ///
    /// # Errors
    ///
    /// When a role can't be started.
    pub async fn start(settings: &LocalSettings) -> eyre::Result<Self> {
        let mut fleet = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            service: ServiceStandIn::spawn().await?,
            store: StoreStandIn::spawn().await?,
        };
        fleet.put_callers_configuration();
        let mut catalogs = fleet.start_upstreams(settings).await?;
        catalogs.extend(fleet.start_entries(settings)?);
        for catalog in &mut catalogs {
            wait_for_upstreams(catalog, fleet.agents.len()).await?;
        }
        for url in fleet.entry_urls() {
            wait_for_answers(&url).await?;
        }
        Ok(fleet)
    }

    fn put_callers_configuration(&self) {
        for profile in seed::profiles() {
            self.put(Kind::Profiles, &profile.name, &profile);
        }
        for customer in seed::CUSTOMERS {
            self.put(Kind::Customers, customer.name, &customer.object());
        }
    }

    fn put(&self, kind: Kind, name: &str, object: &impl Serialize) {
        // All configuration objects are plain data, which always has a JSON form.
        let value = serde_json::to_value(object).unwrap_or_default();
        self.store.seed(kind.as_str(), name, value);
    }

    async fn start_upstreams(
        &mut self,
        settings: &LocalSettings,
    ) -> eyre::Result<Vec<CatalogReceiver>> {
        let mut catalogs = Vec::new();
        for seed in seed::engines() {
            let engine = EngineStandIn::spawn(seed.settings.clone()).await?;
            let upstream = Upstream {
                name: seed.name.into(),
                data_centre: seed.data_centre.into(),
                url: engine.url().into(),
                agent_address: unknown_address(),
                serves: Serves::Models(seed.settings.models.clone()),
                slots: u32::try_from(seed.settings.batch_slots)?,
                kv_capacity_tokens: Some(seed.settings.kv_capacity_tokens),
                activity: Activity::Active,
                checks_fencing: seed.settings.checks_fencing,
            };
            self.engines.push((seed.name, engine));
            catalogs.push(self.start_agent(settings, upstream).await?);
        }
        let service = Upstream {
            name: REFUND_SERVICE.into(),
            data_centre: seed::service_data_centre().into(),
            url: self.service.url().into(),
            agent_address: unknown_address(),
            serves: Serves::Service(REFUND_SERVICE.into()),
            slots: seed::SERVICE_SLOTS,
            kv_capacity_tokens: None,
            activity: Activity::Active,
            checks_fencing: false,
        };
        catalogs.push(self.start_agent(settings, service).await?);
        Ok(catalogs)
    }

    /// Starts the agent of an upstream and puts the upstream into the store with its address.
    async fn start_agent(
        &mut self,
        settings: &LocalSettings,
        upstream: Upstream,
    ) -> eyre::Result<CatalogReceiver> {
        let agent_settings = AgentSettings {
            upstream: upstream.name.clone(),
            host: format!("host-{}", upstream.name).into(),
            data_centre: upstream.data_centre.clone(),
            store_url: self.store.url().into(),
            shutdown_grace_ms: settings.shutdown_grace_ms,
            ..AgentSettings::default()
        };
        let host = agent_settings.host.clone();
        let catalog = spawn_config(&self.store.url())?;
        let agent = agent_server::spawn(agent_settings, catalog.clone(), Metrics::disabled())
            .await
            .wrap_err_with(|| format!("agent of {}", upstream.name))?;
        let upstream = Upstream {
            agent_address: agent.address(),
            ..upstream
        };
        self.put(Kind::Upstreams, &upstream.name, &upstream);
        self.list_host(&host, &upstream.data_centre, agent.address());
        self.agents.push(agent);
        Ok(catalog)
    }

    fn start_entries(&mut self, settings: &LocalSettings) -> eyre::Result<Vec<CatalogReceiver>> {
        let mut catalogs = Vec::new();
        for number in 0..settings.entries {
            let any_port = EntrySettings::default().listen;
            let entry_settings = EntrySettings {
                host: format!("entry-{}", number + 1).into(),
                data_centre: seed::service_data_centre().into(),
                listen: if number == 0 {
                    settings.listen
                } else {
                    any_port
                },
                store_url: self.store.url().into(),
                shutdown_grace_ms: settings.shutdown_grace_ms,
                ..EntrySettings::default()
            };
            let catalog = spawn_config(&self.store.url())?;
            let entry = entry_server::spawn(&entry_settings, catalog.clone(), Metrics::disabled())
                .wrap_err_with(|| format!("{} on {}", entry_settings.host, settings.listen))?;
            self.list_host(
                &entry_settings.host,
                &entry_settings.data_centre,
                entry.address(),
            );
            self.entries.push(entry);
            catalogs.push(catalog);
        }
        Ok(catalogs)
    }

    fn list_host(&self, host: &str, data_centre: &str, address: SocketAddr) {
        self.store.set_host(Host {
            host: host.into(),
            data_centre: data_centre.into(),
            address,
            state: HostState::Live,
        });
    }

    /// The base URLs of the entries.
    #[must_use]
    pub fn entry_urls(&self) -> Vec<String> {
        let entries = self.entries.iter();
        entries
            .map(|entry| format!("http://{}", entry.address()))
            .collect()
    }

    /// The entries.
    #[must_use]
    pub fn entries(&self) -> &[EntryHandle] {
        &self.entries
    }

    /// The engines by the names of their upstreams.
    #[must_use]
    pub fn engines(&self) -> &[(&'static str, EngineStandIn)] {
        &self.engines
    }

    /// How often the upstreams were given each request, as they counted it themselves.
    #[must_use]
    pub fn dispatch_counts(&self) -> DispatchCounts {
        let mut counts = DispatchCounts::default();
        for (_, engine) in &self.engines {
            for (id, dispatches) in engine.dispatches_by_id() {
                *counts.by_request.entry(id.to_string()).or_default() += dispatches;
            }
        }
        for call in self.service.calls() {
            let id = call.request_id().to_owned();
            *counts.by_request.entry(id).or_default() += 1;
        }
        counts
    }

    /// Where everything listens, and a call that works.
    #[must_use]
    pub fn describe(&self) -> String {
        let mut text = String::new();
        let mut line = |role: &str, name: &str, address: &str| {
            // Writing to a string never fails.
            let _ = writeln!(text, "{role:<8} {name:<12} {address}");
        };
        line("store", "", &self.store.url());
        for (name, engine) in &self.engines {
            line("engine", name, &engine.url());
        }
        line("service", REFUND_SERVICE, &self.service.url());
        for agent in &self.agents {
            line("agent", "", &agent.address().to_string());
        }
        for (number, url) in self.entry_urls().iter().enumerate() {
            line("entry", &format!("entry-{}", number + 1), url);
        }
        let _ = write!(text, "\n{}\n", self.curl_line());
        text
    }

    fn curl_line(&self) -> String {
        let url = self.entry_urls().swap_remove(0);
        let body = serde_json::json!({
            "model": LANGUAGE_MODEL,
            "messages": [{"role": "user", "content": "Summarise the dispute over 12 kegs."}],
            "max_tokens": 24,
            "stream": true,
        });
        format!(
            "curl -sN {url}/v1/chat/completions -H 'Authorization: Bearer {}' \
             -H 'X-Sardinewood-Profile: dispute-summary' -H 'Content-Type: application/json' \
             -d '{body}'",
            RUNDU.key
        )
    }

    /// Lets what is in flight finish: first the entries, which the callers wait for, then the
    /// agents, which the entries wait for, and at last the stand-ins.
    pub async fn shut_down(self) {
        futures_util::future::join_all(self.entries.into_iter().map(EntryHandle::shut_down)).await;
        futures_util::future::join_all(self.agents.into_iter().map(AgentHandle::shut_down)).await;
    }
}

/// Stands in an upstream's object until its agent has an address.
fn unknown_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn wait_for_upstreams(catalog: &mut CatalogReceiver, upstreams: usize) -> eyre::Result<()> {
    let complete = catalog.wait_for(|catalog| catalog.upstreams.len() == upstreams);
    tokio::time::timeout(CONFIG_TIMEOUT, complete)
        .await
        .wrap_err("the configuration did not come into force")??;
    Ok(())
}

/// An entry that holds the configuration needs a moment more to take it into use.
async fn wait_for_answers(entry_url: &str) -> eyre::Result<()> {
    let client = Client::new();
    let answered = async {
        loop {
            let models = client.get(format!("{entry_url}/v1/models"));
            let response = models.bearer_auth(RUNDU.key).send().await?;
            if response.status().is_success() {
                return Ok(());
            }
            tokio::time::sleep(ANSWER_POLL).await;
        }
    };
    tokio::time::timeout(CONFIG_TIMEOUT, answered)
        .await
        .wrap_err_with(|| format!("{entry_url} knows no customer"))?
}
