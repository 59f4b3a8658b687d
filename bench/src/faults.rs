//! `sardinewood-bench faults`: a loaded fleet of the real decision code in virtual time,
//! with faults at random, judged by what its callers and engines saw.

pub mod checker;
pub mod engine;
pub mod fleet_agent;
pub mod fleet_entry;
pub mod fleet_store;
pub mod link;
pub mod lives;
pub mod plan;
pub mod process;
pub mod run;
pub mod work;
pub mod world;

mod world_agents;
mod world_entries;
mod world_faults;
mod world_records;
mod world_upstreams;

pub use run::run;
