//! Small stand-ins for the outside systems: model engine, plain service, platform store
//! and host list.
//!
//! Each speaks the protocol of `docs/outside.md` on a free loopback port, inside the
//! caller's runtime, and has switches that bring about the faults of the real system.
//! Nothing in the decisions may depend on what a stand-in does beyond that page.

pub mod caller_crowd;
pub mod engine_core;
mod engine_face;
pub mod engine_run;
pub mod engine_settings;
pub mod engine_stand_in;
pub mod engine_text;
pub mod faulty_listener;
pub mod host_list_stand_in;
mod http_server;
pub mod prefix_cache;
pub mod process_usage;
pub mod retry_windows;
pub mod service_stand_in;
mod store_face;
pub mod store_stand_in;
pub mod store_state;
