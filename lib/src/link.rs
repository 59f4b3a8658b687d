//! The links between entries and agents: messages, frames, heartbeats, and the proof of a key.
//!
//! It carries what both ends decide and decides only when a link is dead.

pub mod frames;
pub mod pace;
pub mod proof;
pub mod wire;
