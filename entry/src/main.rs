//! `sardinewood-entry`: takes callers' requests and brings them to upstreams.

use std::process::ExitCode;

use eyre::Context;
use sardinewood::config_watch;
use sardinewood::entry_server;
use sardinewood::entry_settings;
use sardinewood::entry_settings::EntrySettings;
use sardinewood::logging;
use sardinewood::logging::Level;
use sardinewood::logging::Line;
use sardinewood::metrics::Metrics;
use sardinewood::settings::EXIT_USAGE;
use sardinewood::settings::Sources;
use sardinewood::settings::Start;
use tokio::runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn main() -> eyre::Result<ExitCode> {
    match entry_settings::program().read(Sources::of_process()) {
        Start::Run(settings) => {
            run(&settings)?;
            Ok(ExitCode::SUCCESS)
        }
        Start::Print(text) => {
            print!("{text}");
            Ok(ExitCode::SUCCESS)
        }
        Start::Refuse(report) => {
            eprint!("{report}");
            Ok(ExitCode::from(EXIT_USAGE))
        }
    }
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
    let mut terminate = signal(SignalKind::terminate()).wrap_err("can't wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't wait for SIGINT")?;
    let metrics = Metrics::to(settings.metrics, &settings.host, &settings.data_centre)
        .wrap_err("can't send metrics")?;
    let catalog =
        config_watch::spawn_config(&settings.store_url).wrap_err("can't follow the store")?;
    let entry = entry_server::spawn(settings, catalog, metrics.clone())
        .wrap_err_with(|| format!("can't serve callers on {}", settings.listen))?;
    Line::new(Level::Info, "started")
        .field("address", entry.address())
        .incarnation(entry.incarnation())
        .send();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    entry.shut_down().await;
    metrics.flush();
    Line::new(Level::Info, "ended").send();
    Ok(())
}
