//! One entry or agent of the local fleet, as its own program would start it.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::WrapErr;
use sardinewood::agent;
use sardinewood::agent::server::AgentHandle;
use sardinewood::agent::settings::AgentSettings;
use sardinewood::config;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::process::ConfigProcess;
use sardinewood::config::spread_message::Identity;
use sardinewood::config::spread_message::Role;
use sardinewood::entry;
use sardinewood::entry::server::EntryHandle;
use sardinewood::entry::settings::EntrySettings;
use sardinewood::ids::Incarnation;
use sardinewood::metrics::Metrics;
use sardinewood::operator;
use sardinewood::operator::api::EntryLink;
use sardinewood::operator::api::OperatorApi;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// An agent and its configuration.
#[derive(Debug)]
pub struct LocalAgent {
    /// The upstream beside which it stands.
    pub upstream: Arc<str>,
    /// The agent.
    pub handle: AgentHandle,
    /// Its configuration.
    pub configuration: ConfigProcess,
}

/// An entry, its configuration and its operators' port.
#[derive(Debug)]
pub struct LocalEntry {
    /// The name of its host.
    pub host: Arc<str>,
    /// The entry.
    pub handle: EntryHandle,
    /// Its configuration.
    pub configuration: ConfigProcess,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    stop_operators: CancellationToken,
}

impl LocalAgent {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// When a port can't be had.
    pub async fn start(settings: AgentSettings) -> eyre::Result<Self> {
        let upstream = settings.upstream.clone();
        let identity = identity(&upstream, Role::Agent, &settings.data_centre);
        let configuration =
            config::process::spawn(&settings.store_url, identity, &settings.peers).await?;
        let catalog = configuration.config.catalog();
        let handle = agent::server::spawn(settings, catalog, Metrics::disabled())
            .await
            .wrap_err_with(|| format!("agent of {upstream}"))?;
        Ok(Self {
            upstream,
            handle,
            configuration,
        })
    }

    /// What it holds of the configuration.
    #[must_use]
    pub fn catalog(&self) -> watch::Receiver<Arc<Catalog>> {
        self.configuration.config.catalog()
    }
}

impl LocalEntry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// When a port can't be had.
    pub async fn start(settings: EntrySettings) -> eyre::Result<Self> {
        let identity = identity(&settings.host, Role::Entry, &settings.data_centre);
        let configuration =
            config::process::spawn(&settings.store_url, identity, &settings.peers).await?;
        let catalog = configuration.config.catalog();
        let handle = entry::server::spawn(&settings, catalog, Metrics::disabled())
            .wrap_err_with(|| format!("{} on {}", settings.host, settings.listen))?;
        let config = configuration.config.clone();
        let api = OperatorApi {
            spread: Some(configuration.spread.clone()),
            control: Some(EntryLink {
                status: handle.status(),
                queries: handle.queries(),
            }),
            ..OperatorApi::new(&settings.host, config, configuration.store.clone())
        };
        let stop_operators = CancellationToken::new();
        let operator_address =
            operator::server::spawn(settings.operator_listen, api, stop_operators.clone()).await?;
        Ok(Self {
            host: settings.host,
            handle,
            configuration,
            operator_address,
            stop_operators,
        })
    }

    /// What it holds of the configuration.
    #[must_use]
    pub fn catalog(&self) -> watch::Receiver<Arc<Catalog>> {
        self.configuration.config.catalog()
    }

    /// The base URL for callers.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.handle.address())
    }

    /// Shuts down; operators see it to its end.
    pub async fn shut_down(self) {
        self.handle.shut_down().await;
        self.stop_operators.cancel();
    }
}

fn identity(name: &Arc<str>, role: Role, data_centre: &Arc<str>) -> Identity {
    Identity {
        name: name.clone(),
        role,
        data_centre: data_centre.clone(),
        incarnation: Incarnation(rand::random()),
    }
}
