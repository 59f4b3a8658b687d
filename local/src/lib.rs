//! The whole system on loopback in one process: store, entries, agents, engines of unlike
//! speed and a plain service. For trying it out; nothing of it is deployed.

pub mod answer_check;
pub mod fleet;
pub mod local_settings;
pub mod report;
pub mod roles;
pub mod sample_run;
pub mod samples;
pub mod seed;
