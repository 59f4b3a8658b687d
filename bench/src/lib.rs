//! The experiments behind `sardinewood-bench`, one module for each subcommand.

pub mod command;
