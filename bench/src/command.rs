//! The command line: finds the subcommand and hands it the rest of the arguments.

use eyre::bail;
use lexopt::Arg;
use lexopt::Parser;
use serde::Serialize;

/// One experiment.
pub struct Subcommand {
    /// What the user types.
    pub name: &'static str,
    /// One line for `--help`.
    pub summary: &'static str,
    /// Reads the rest of the arguments, and runs.
    pub run: fn(Parser) -> eyre::Result<()>,
}

/// All experiments, in the order of `--help`.
pub const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand {
        name: "config",
        summary: "how soon a change is in force everywhere, and what that costs",
        run: crate::config::run,
    },
    Subcommand {
        name: "control",
        summary: "what an entry of the direct mode spends on the other entries, by size of the fleet",
        run: crate::control::run,
    },
    Subcommand {
        name: "decisions",
        summary: "processor time of one decision, and how it grows",
        run: crate::decisions::run,
    },
    Subcommand {
        name: "direct",
        summary: "what the direct mode earns under heavy load, mechanism by mechanism",
        run: crate::direct::run,
    },
    Subcommand {
        name: "faults",
        summary: "the promises under faults at random, in virtual time",
        run: crate::faults::run,
    },
    Subcommand {
        name: "limits",
        summary: "ways to keep an upstream's rate limit over all entries, in virtual time",
        run: crate::limits::run,
    },
    Subcommand {
        name: "overhead",
        summary: "what an entry and its agents add to a call, and what they carry",
        run: crate::overhead::run,
    },
    Subcommand {
        name: "policy",
        summary: "goodput and wasted prefill of each policy, in virtual time",
        run: crate::policy::run,
    },
    Subcommand {
        name: "rollouts",
        summary: "orders to move a service to another version, good and bad ones",
        run: crate::rollouts::run,
    },
    Subcommand {
        name: "slopes",
        summary: "what one more request, link, object or change costs a role",
        run: crate::slopes::run,
    },
];

/// The command line is not understood.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// No experiment was named.
    #[error("name a subcommand; `--help` lists them")]
    MissingSubcommand,
    /// No experiment has this name.
    #[error("unknown subcommand {0:?}; `--help` lists them")]
    UnknownSubcommand(String),
}

/// What the command line asks for.
pub enum Request {
    /// The text of `--help`.
    Help,
    /// An experiment.
    Run(&'static Subcommand),
}

/// Runs what the arguments ask for.
///
/// # Errors
///
/// The arguments are not understood, or the experiment failed.
///
/// ```
/// let parser = lexopt::Parser::from_iter(["sardinewood-bench", "--help"]);
/// sardinewood_bench::command::run(parser).unwrap();
/// ```
pub fn run(mut parser: Parser) -> eyre::Result<()> {
    match parse(&mut parser)? {
        Request::Help => print!("{}", help_text()),
        Request::Run(subcommand) => (subcommand.run)(parser)?,
    }
    Ok(())
}

/// Reads the arguments of an experiment that has none but `--help`; whether that was asked, and
/// `help` printed.
///
/// # Errors
///
/// The arguments are not understood.
///
/// ```
/// let mut parser = lexopt::Parser::from_args(Vec::<String>::new());
/// assert!(!sardinewood_bench::command::asks_for_help(&mut parser, "").unwrap());
/// ```
pub fn asks_for_help(parser: &mut Parser, help: &str) -> eyre::Result<bool> {
    match parser.next()? {
        Some(Arg::Short('h') | Arg::Long("help")) => {
            print!("{help}");
            Ok(true)
        }
        Some(other) => Err(other.unexpected().into()),
        None => Ok(false),
    }
}

/// Prints a figure as one line of JSON.
///
/// # Errors
///
/// It can't be written as JSON.
///
/// ```
/// sardinewood_bench::command::print_line(&[1, 2]).unwrap();
/// ```
pub fn print_line(line: &impl Serialize) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(line)?);
    Ok(())
}

/// Reads the arguments up to the subcommand.
///
/// # Errors
///
/// The arguments name no known subcommand.
///
/// ```
/// use sardinewood_bench::command::Request;
///
/// let mut parser = lexopt::Parser::from_iter(["sardinewood-bench", "-h"]);
/// let request = sardinewood_bench::command::parse(&mut parser).unwrap();
/// assert!(matches!(request, Request::Help));
/// ```
pub fn parse(parser: &mut Parser) -> eyre::Result<Request> {
    match parser.next()? {
        None => bail!(UsageError::MissingSubcommand),
        Some(Arg::Short('h') | Arg::Long("help")) => Ok(Request::Help),
        Some(Arg::Value(value)) => {
            let name = value.to_string_lossy();
            let found = SUBCOMMANDS
                .iter()
                .find(|subcommand| subcommand.name == name);
            match found {
                Some(subcommand) => Ok(Request::Run(subcommand)),
                None => bail!(UsageError::UnknownSubcommand(name.into_owned())),
            }
        }
        Some(other) => bail!(other.unexpected()),
    }
}

/// The text of `--help`.
///
/// ```
/// assert!(sardinewood_bench::command::help_text().contains("SUBCOMMAND"));
/// ```
#[must_use]
pub fn help_text() -> String {
    let mut text = String::from("Usage: sardinewood-bench SUBCOMMAND [OPTIONS]\n\nSubcommands:\n");
    for subcommand in SUBCOMMANDS {
        text.push_str("  ");
        text.push_str(subcommand.name);
        text.push_str("  ");
        text.push_str(subcommand.summary);
        text.push('\n');
    }
    text.push_str("\n`sardinewood-bench SUBCOMMAND --help` lists the options of each.\n");
    text
}
