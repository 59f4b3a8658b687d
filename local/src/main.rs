//! `sardinewood-local`: the whole system on a developer's machine.

use std::process::ExitCode;

use sardinewood::logging;
use sardinewood::settings::Sources;
use sardinewood::stop_signal::StopSignal;
use sardinewood_local::fleet::Fleet;
use sardinewood_local::local_settings;
use sardinewood_local::local_settings::LocalSettings;
use sardinewood_local::report;
use sardinewood_local::report::Summary;
use sardinewood_local::sample_run;
use sardinewood_local::samples;

fn main() -> eyre::Result<ExitCode> {
    local_settings::program()
        .read(Sources::of_process())
        .carry_out(|settings| run(&settings))
}

#[tokio::main]
async fn run(settings: &LocalSettings) -> eyre::Result<ExitCode> {
    logging::install(&settings.log_level, &[("program", "sardinewood-local")])?;
    let mut stop = StopSignal::listen()?;
    let fleet = Fleet::start(settings).await?;
    println!("{}", fleet.describe());
    let ok = if settings.once {
        send_samples(&fleet, settings).await?.ok
    } else {
        println!("Serving until Ctrl-C.");
        stop.wait().await;
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
