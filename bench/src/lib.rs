//! The experiments behind `sardinewood-bench`, one module for each subcommand, and what
//! they run on.

pub mod baseline;
pub mod bound;
pub mod command;
pub mod engine_model;
pub mod fleet;
pub mod message;
pub mod policy;
pub mod scenario;
pub mod scenario_check;
pub mod simulation;
pub mod tally;
pub mod workload;
pub mod world;
