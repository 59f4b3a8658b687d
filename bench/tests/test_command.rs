//! The command line of the bench.

use lexopt::Parser;
use sardinewood_bench::command;
use sardinewood_bench::command::SUBCOMMANDS;
use sardinewood_bench::command::UsageError;

#[test]
fn run_unknown_subcommand_is_named() {
    let parser = Parser::from_iter(["sardinewood-bench", "polcy"]);
    let error = command::run(parser).unwrap_err();
    assert_eq!(
        error.downcast_ref::<UsageError>(),
        Some(&UsageError::UnknownSubcommand("polcy".into()))
    );
}

#[test]
fn run_without_subcommand_is_refused() {
    let parser = Parser::from_iter(["sardinewood-bench"]);
    let error = command::run(parser).unwrap_err();
    assert_eq!(
        error.downcast_ref::<UsageError>(),
        Some(&UsageError::MissingSubcommand)
    );
}

#[test]
fn help_text_lists_every_subcommand() {
    let text = command::help_text();
    for subcommand in SUBCOMMANDS {
        assert!(text.contains(subcommand.summary), "{}", subcommand.name);
    }
}
