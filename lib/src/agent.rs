//! One agent beside one upstream: the only way to it, and the exact count of its room.
//!
//! It decides which reservation is granted and what becomes of each attempt. Programs start it
//! by [`server`]; entries reach it over [`crate::link`]. It knows no callers, no routes and
//! nothing of the store.

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
