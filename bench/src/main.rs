//! Load and experiments; prints its figures as JSON lines.

fn main() -> eyre::Result<()> {
    sardinewood_bench::command::run(lexopt::Parser::from_env())
}
