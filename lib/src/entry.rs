//! The entry role: queues callers' requests and assigns them to agents.
//!
//! [`state`] makes the decisions and does no I/O; [`control`] executes them on a dedicated
//! thread. Programs start an entry with [`server::spawn`].

pub mod admission;
pub mod appointments;
pub mod caller_answer;
pub mod caller_api;
pub mod caller_response;
pub mod candidates;
pub mod control;
pub mod decision_log;
pub mod events;
pub mod link;
pub mod output_estimator;
pub mod prefix_hints;
pub mod profile_limits;
pub mod retry_budget;
pub mod run;
pub mod server;
pub mod settings;
pub mod state;
pub mod store_records;
pub mod timers;
