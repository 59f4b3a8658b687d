//! `sardinewoodctl`, the operators' command line.

use std::process::ExitCode;

use sardinewood::settings::EXIT_USAGE;
use sardinewood::settings::Sources;
use sardinewood::settings::Start;
use sardinewoodctl::ctl_settings::program;
use sardinewoodctl::output::Output;
use sardinewoodctl::run::run;

fn main() -> eyre::Result<ExitCode> {
    let settings = match program().read(Sources::of_process()) {
        Start::Run(settings) => settings,
        Start::Print(text) => {
            print!("{text}");
            return Ok(ExitCode::SUCCESS);
        }
        Start::Refuse(report) => {
            eprint!("{report}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut output = Output::of_process(&settings.output);
    let end = runtime.block_on(run(&settings, &mut output));
    Ok(end.into())
}
