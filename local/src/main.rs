//! `sardinewood-local`: the whole system on a developer's machine.

use std::process::ExitCode;

use sardinewood::logging;
use sardinewood::settings::EXIT_USAGE;
use sardinewood::settings::Sources;
use sardinewood::settings::Start;
use sardinewood_local::fleet::Fleet;
use sardinewood_local::local_settings;
use sardinewood_local::local_settings::LocalSettings;
use sardinewood_local::report;
use sardinewood_local::report::Summary;
use sardinewood_local::sample_run;
use sardinewood_local::samples;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn main() -> eyre::Result<ExitCode> {
    match local_settings::program().read(Sources::of_process()) {
        Start::Run(settings) => run(&settings),
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

#[tokio::main]
async fn run(settings: &LocalSettings) -> eyre::Result<ExitCode> {
    logging::install(&settings.log_level, &[("program", "sardinewood-local")])?;
    let fleet = Fleet::start(settings).await?;
    println!("{}", fleet.describe());
    let ok = if settings.once {
        send_samples(&fleet, settings).await?.ok
    } else {
        println!("Serving until Ctrl-C.");
        wait_for_stop_signal().await?;
        true
    };
    fleet.shut_down().await;
    logging::flush();
    Ok(if ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn send_samples(fleet: &Fleet, settings: &LocalSettings) -> eyre::Result<Summary> {
    let results = sample_run::run(&fleet.entry_urls(), samples::all(), settings.concurrent).await;
    let summary = report::summarize(&results, &fleet.dispatch_counts());
    println!("{}", report::table(&results));
    println!("{}", serde_json::to_string(&summary)?);
    Ok(summary)
}

async fn wait_for_stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        _ = terminate.recv() => {}
    }
    Ok(())
}
