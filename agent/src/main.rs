//! `sardinewood-agent`: stands beside one upstream and is the only way to it.

use std::process::ExitCode;
use std::sync::Arc;

use eyre::Context;
use sardinewood::agent;
use sardinewood::agent::settings::AgentSettings;
use sardinewood::config;
use sardinewood::config::spread_message::Identity;
use sardinewood::config::spread_message::Role;
use sardinewood::ids::Incarnation;
use sardinewood::logging;
use sardinewood::logging::Level;
use sardinewood::logging::Line;
use sardinewood::metrics::Metrics;
use sardinewood::settings::Sources;
use sardinewood::stop_signal::StopSignal;
use tokio::runtime;

fn main() -> eyre::Result<ExitCode> {
    agent::settings::program()
        .read(Sources::of_process())
        .carry_out(|settings| {
            run(settings)?;
            Ok(ExitCode::SUCCESS)
        })
}

fn run(settings: AgentSettings) -> eyre::Result<()> {
    let identity = [
        ("program", "sardinewood-agent"),
        ("host", &*settings.host),
        ("upstream", &*settings.upstream),
    ];
    logging::install(&settings.log_level, &identity).wrap_err("can't write logs")?;
    let traffic = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .enable_all()
        .build()
        .wrap_err("can't start the traffic threads")?;
    let served = traffic.block_on(serve(settings));
    traffic.shutdown_background();
    logging::flush();
    served
}

async fn serve(settings: AgentSettings) -> eyre::Result<()> {
    let mut stop = StopSignal::listen().wrap_err("can't wait for signals")?;
    let metrics = Metrics::to(settings.metrics, &settings.host, &settings.data_centre)
        .wrap_err("can't send metrics")?;
    let identity = Identity {
        name: Arc::clone(&settings.upstream),
        role: Role::Agent,
        data_centre: Arc::clone(&settings.data_centre),
        incarnation: Incarnation(rand::random()),
    };
    let configuration = config::process::spawn(&settings.store_url, identity, &settings.peers)
        .await
        .wrap_err("can't follow the configuration")?;
    let catalog = configuration.config.catalog();
    let agent = agent::server::spawn(settings, catalog, metrics.clone()).await?;
    Line::new(Level::Info, "started")
        .field("address", agent.address())
        .incarnation(agent.incarnation())
        .send();
    stop.wait().await;
    agent.shut_down().await;
    metrics.flush();
    Line::new(Level::Info, "ended").send();
    Ok(())
}
