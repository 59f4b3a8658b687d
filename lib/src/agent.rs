//! The agent: a process that runs next to one upstream and sends it all of its requests.
//!
//! Because every request to the upstream goes through its agent, the agent's count of free
//! slots is exact. The agent grants reservations and records the outcome of each attempt.
//! Programs start it with [`server`]; entries connect to it over [`crate::link`]. It has no
//! access to callers, routes or the store.

pub mod answer_buffer;
pub mod attempts;
pub(crate) mod call_recovery;
pub(crate) mod call_task;
pub(crate) mod call_task_registry;
pub(crate) mod control;
pub mod events;
pub mod grants;
pub(crate) mod link;
pub mod reservation_queue;
pub mod retained_answers;
pub mod server;
pub mod settings;
pub mod speeds;
pub mod state;
