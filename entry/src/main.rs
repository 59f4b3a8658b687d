//! `sardinewood-entry`: takes callers' requests and brings them to upstreams.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use eyre::Context;
use sardinewood::config;
use sardinewood::config::process::ConfigProcess;
use sardinewood::config::spread_message::Identity;
use sardinewood::config::spread_message::Role;
use sardinewood::entry;
use sardinewood::entry::server::EntryHandle;
use sardinewood::entry::settings::EntrySettings;
use sardinewood::ids::Incarnation;
use sardinewood::logging;
use sardinewood::logging::Level;
use sardinewood::logging::Line;
use sardinewood::metrics::Metrics;
use sardinewood::operator;
use sardinewood::operator::api::EntryLink;
use sardinewood::operator::api::OperatorApi;
use sardinewood::secrets::sha256_hex;
use sardinewood::settings::Sources;
use sardinewood::stop_signal::StopSignal;
use sardinewood::tls::TlsFeed;
use tokio::runtime;
use tokio_util::sync::CancellationToken;

fn main() -> eyre::Result<ExitCode> {
    entry::settings::program()
        .read(Sources::of_process())
        .carry_out(|settings| {
            run(&settings)?;
            Ok(ExitCode::SUCCESS)
        })
}

fn run(settings: &EntrySettings) -> eyre::Result<()> {
    let identity = [("program", "sardinewood-entry"), ("host", &*settings.host)];
    logging::install(&settings.log_level, &identity).wrap_err("can't write logs")?;
    // The entry brings its own threads; this one follows the store and waits for signals.
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the main thread's runtime")?;
    let served = runtime.block_on(serve(settings));
    logging::flush();
    served
}

async fn serve(settings: &EntrySettings) -> eyre::Result<()> {
    let mut stop = StopSignal::listen().wrap_err("can't wait for signals")?;
    let metrics = Metrics::to(settings.metrics, &settings.host, &settings.data_centre)
        .wrap_err("can't send metrics")?;
    let incarnation = Incarnation(rand::random());
    let identity = Identity {
        name: Arc::clone(&settings.host),
        role: Role::Entry,
        data_centre: Arc::clone(&settings.data_centre),
        incarnation,
    };
    let configuration = config::process::spawn(&settings.store_url, identity, &settings.peers)
        .await
        .wrap_err("can't follow the configuration")?;
    let entry = entry::server::spawn(settings, configuration.config.catalog(), metrics.clone())
        .wrap_err_with(|| format!("can't serve callers on {}", settings.listen))?;
    let stop_operators = CancellationToken::new();
    let operators = serve_operators(settings, configuration, &entry, &stop_operators).await?;
    Line::new(Level::Info, "started")
        .field("address", entry.address())
        .field("operator_address", operators)
        .incarnation(entry.incarnation())
        .send();
    stop.wait().await;
    entry.shut_down().await;
    stop_operators.cancel();
    metrics.flush();
    Line::new(Level::Info, "ended").send();
    Ok(())
}

/// Opens the operators' port. Operators see a shutdown to its end, so it closes last.
async fn serve_operators(
    settings: &EntrySettings,
    configuration: ConfigProcess,
    entry: &EntryHandle,
    stop: &CancellationToken,
) -> eyre::Result<SocketAddr> {
    let api = OperatorApi {
        spread: Some(configuration.spread),
        token_sha256: token_hashes(settings),
        control: Some(EntryLink {
            status: entry.status(),
            queries: entry.queries(),
        }),
        ..OperatorApi::new(&settings.host, configuration.config, configuration.store)
    };
    let tls = TlsFeed::open(&settings.tls).wrap_err("can't use the certificate")?;
    operator::server::spawn_secured(settings.operator_listen, api, tls, stop.clone())
        .await
        .wrap_err_with(|| format!("can't serve operators on {}", settings.operator_listen))
}

fn token_hashes(settings: &EntrySettings) -> Vec<Arc<str>> {
    let token = &settings.operator_token;
    if token.is_empty() {
        return Vec::new();
    }
    vec![sha256_hex(token.expose()).into()]
}
