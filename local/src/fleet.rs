//! Starts all roles and stand-ins, and stops them in the order that loses nothing.

use std::fmt::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use futures_util::future::join_all;
use reqwest::Client;
use sardinewood::agent::settings::AgentSettings;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::object::Kind;
use sardinewood::config::objects::Activity;
use sardinewood::config::objects::Serves;
use sardinewood::config::objects::Upstream;
use sardinewood::config::process::PeerSettings;
use sardinewood::entry::settings::EntrySettings;
use serde::Serialize;
use testutils::engine_stand_in::EngineStandIn;
use testutils::host_list_stand_in::Host;
use testutils::host_list_stand_in::HostState;
use testutils::service_stand_in::ServiceStandIn;
use testutils::store_stand_in::StoreStandIn;
use tokio::sync::watch;

use crate::local_settings::LocalSettings;
use crate::report::DispatchCounts;
use crate::roles::LocalAgent;
use crate::roles::LocalEntry;
use crate::seed;
use crate::seed::LANGUAGE_MODEL;
use crate::seed::OPERATOR_TOKEN;
use crate::seed::REFUND_SERVICE;
use crate::seed::RUNDU;

/// How long the roles may take to see the whole configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(30);

/// How often an entry is asked whether it answers callers.
const ANSWER_POLL: Duration = Duration::from_millis(10);

/// The whole system.
///
/// ```no_run
/// # async fn run() -> eyre::Result<()> {
/// use sardinewood_local::fleet::Fleet;
/// use sardinewood_local::local_settings::LocalSettings;
///
/// let fleet = Fleet::start(&LocalSettings::default()).await?;
/// println!("{}", fleet.describe());
/// assert_eq!(fleet.entry_urls().len(), 2);
/// fleet.shut_down().await;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Fleet {
    entries: Vec<LocalEntry>,
    agents: Vec<LocalAgent>,
    engines: Vec<(&'static str, EngineStandIn)>,
    service: ServiceStandIn,
    store: StoreStandIn,
    shutdown_grace_ms: u64,
}

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
            shutdown_grace_ms: settings.shutdown_grace_ms,
        };
        fleet.put_people_and_profiles();
        fleet.start_upstreams().await?;
        fleet.start_entries(settings).await?;
        fleet.wait_until_in_force().await?;
        Ok(fleet)
    }

    fn put_people_and_profiles(&self) {
        for profile in seed::profiles() {
            self.put(Kind::Profiles, &profile.name, &profile);
        }
        for customer in seed::CUSTOMERS {
            self.put(Kind::Customers, customer.name, &customer.object());
        }
        let operator = seed::operator();
        self.put(Kind::Operators, &operator.name, &operator);
    }

    fn put(&self, kind: Kind, name: &str, object: &impl Serialize) {
        // All configuration objects are plain data, which always has a JSON form.
        let value = serde_json::to_value(object).unwrap_or_default();
        self.store.seed(kind.as_str(), name, value);
    }

    async fn start_upstreams(&mut self) -> eyre::Result<()> {
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
            self.start_agent(upstream).await?;
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
        self.start_agent(service).await
    }

    /// Starts the agent of an upstream and puts the upstream into the store with its address.
    async fn start_agent(&mut self, upstream: Upstream) -> eyre::Result<()> {
        let agent = LocalAgent::start(AgentSettings {
            upstream: upstream.name.clone(),
            host: format!("host-{}", upstream.name).into(),
            data_centre: upstream.data_centre.clone(),
            store_url: self.store.url().into(),
            peers: self.peers(),
            shutdown_grace_ms: self.shutdown_grace_ms,
            ..AgentSettings::default()
        })
        .await?;
        let upstream = Upstream {
            agent_address: agent.handle.address(),
            ..upstream
        };
        self.put(Kind::Upstreams, &upstream.name, &upstream);
        let host = format!("host-{}", upstream.name);
        self.list_host(&host, &upstream.data_centre, upstream.agent_address);
        self.agents.push(agent);
        Ok(())
    }

    async fn start_entries(&mut self, settings: &LocalSettings) -> eyre::Result<()> {
        for number in 0..settings.entries {
            let defaults = EntrySettings::default();
            let entry = LocalEntry::start(EntrySettings {
                host: format!("entry-{}", number + 1).into(),
                data_centre: seed::service_data_centre().into(),
                listen: if number == 0 {
                    settings.listen
                } else {
                    defaults.listen
                },
                store_url: self.store.url().into(),
                peers: self.peers(),
                shutdown_grace_ms: self.shutdown_grace_ms,
                ..defaults
            })
            .await?;
            let address = entry.handle.address();
            self.list_host(&entry.host, seed::service_data_centre(), address);
            self.entries.push(entry);
        }
        Ok(())
    }

    /// The process that was started first is enough to find all others.
    fn peers(&self) -> PeerSettings {
        let first = self.agents.first();
        let address = first.map(|agent| agent.configuration.spread.address().to_string());
        PeerSettings {
            peers: address.unwrap_or_default().into(),
            ..PeerSettings::default()
        }
    }

    fn list_host(&self, host: &str, data_centre: &str, address: SocketAddr) {
        self.store.set_host(Host {
            host: host.into(),
            data_centre: data_centre.into(),
            address,
            state: HostState::Live,
        });
    }

    async fn wait_until_in_force(&self) -> eyre::Result<()> {
        let agents = self.agents.iter().map(LocalAgent::catalog);
        let entries = self.entries.iter().map(LocalEntry::catalog);
        for catalog in agents.chain(entries) {
            wait_for_upstreams(catalog, self.agents.len()).await?;
        }
        for entry in &self.entries {
            wait_for_answers(entry, self.agents.len()).await?;
        }
        Ok(())
    }

    /// The base URLs of the entries.
    #[must_use]
    pub fn entry_urls(&self) -> Vec<String> {
        self.entries.iter().map(LocalEntry::url).collect()
    }

    /// The entries.
    #[must_use]
    pub fn entries(&self) -> &[LocalEntry] {
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

    /// Where everything listens, and calls that work.
    #[must_use]
    pub fn describe(&self) -> String {
        let mut text = String::new();
        let mut line = |role: &str, name: &str, address: &str| {
            // Writing to a string never fails.
            let _ = writeln!(text, "{role:<9} {name:<12} {address}");
        };
        line("store", "", &self.store.url());
        for (name, engine) in &self.engines {
            line("engine", name, &engine.url());
        }
        line("service", REFUND_SERVICE, &self.service.url());
        for agent in &self.agents {
            line(
                "agent",
                &agent.upstream,
                &agent.handle.address().to_string(),
            );
        }
        for entry in &self.entries {
            line("entry", &entry.host, &entry.url());
        }
        for entry in &self.entries {
            let url = format!("http://{}", entry.operator_address);
            line("operators", &entry.host, &url);
        }
        let _ = write!(text, "\n{}\n\n{}\n", self.curl_line(), self.ctl_line());
        text
    }

    fn curl_line(&self) -> String {
        let url = self.entries[0].url();
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

    fn ctl_line(&self) -> String {
        let address = self.entries[0].operator_address;
        format!(
            "SARDINEWOOD_OPERATOR_TOKEN={OPERATOR_TOKEN} cargo run -q --release --bin \
             sardinewoodctl -- status --entry-url http://{address}"
        )
    }

    /// Lets what is in flight finish: first the entries, which the callers wait for, then the
    /// agents, which the entries wait for, and at last the stand-ins.
    pub async fn shut_down(self) {
        join_all(self.entries.into_iter().map(LocalEntry::shut_down)).await;
        let agents = self.agents.into_iter();
        join_all(agents.map(|agent| agent.handle.shut_down())).await;
    }
}

/// Stands in an upstream's object until its agent has an address.
fn unknown_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn wait_for_upstreams(
    mut catalog: watch::Receiver<Arc<Catalog>>,
    upstreams: usize,
) -> eyre::Result<()> {
    let complete = catalog.wait_for(|catalog| catalog.upstreams.len() == upstreams);
    tokio::time::timeout(CONFIG_TIMEOUT, complete)
        .await
        .wrap_err("the configuration did not come into force")??;
    Ok(())
}

/// An entry that holds the configuration needs a moment more to take it into use: the thread
/// that decides learns of the upstreams, and the threads that carry traffic of the customers.
async fn wait_for_answers(entry: &LocalEntry, upstreams: usize) -> eyre::Result<()> {
    let client = Client::new();
    let answered = async {
        loop {
            let status = entry.handle.ask_status().await;
            let decides = status.is_some_and(|now| now.agents.len() == upstreams);
            let models = client.get(format!("{}/v1/models", entry.url()));
            let response = models.bearer_auth(RUNDU.key).send().await?;
            if decides && response.status().is_success() {
                return Ok(());
            }
            tokio::time::sleep(ANSWER_POLL).await;
        }
    };
    tokio::time::timeout(CONFIG_TIMEOUT, answered)
        .await
        .wrap_err_with(|| format!("{} does not take the configuration into use", entry.host))?
}
