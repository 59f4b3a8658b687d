//! The experiments behind `sardinewood-bench`, one module for each subcommand, and what
//! they run on.

pub mod baseline;
pub mod bound;
pub mod command;
pub mod config;
pub mod control;
pub mod cpu_time;
pub mod decisions;
pub mod direct;
pub mod engine_model;
pub mod entry_address;
pub mod faults;
pub mod fleet;
pub mod limits;
pub mod load_client;
pub mod loopback_fleet;
pub mod message;
pub mod overhead;
pub mod own_policy;
pub mod policy;
pub mod rollouts;
pub mod scenario;
pub mod scenario_check;
pub mod simulation;
pub mod slopes;
pub mod tally;
pub mod workload;
pub mod world;
