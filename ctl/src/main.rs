//! `sardinewoodctl`, the operators' command line.

use std::process::ExitCode;

use sardinewood::settings::Sources;
use sardinewoodctl::ctl_settings::CtlSettings;
use sardinewoodctl::ctl_settings::program;
use sardinewoodctl::output::Output;

fn main() -> eyre::Result<ExitCode> {
    program()
        .read(Sources::of_process())
        .carry_out(|settings| run(&settings))
}

fn run(settings: &CtlSettings) -> eyre::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut output = Output::of_process(&settings.output);
    let end = runtime.block_on(sardinewoodctl::run::run(settings, &mut output));
    Ok(end.into())
}
