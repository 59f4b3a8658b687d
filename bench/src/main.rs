//! Load and experiments; prints its figures as JSON lines.

use spdlog::LevelFilter;

fn main() -> eyre::Result<()> {
    // The processes under test log each fault that an experiment brings about, by the
    // thousand; what counts here are the figures.
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
    sardinewood_bench::command::run(lexopt::Parser::from_env())
}
