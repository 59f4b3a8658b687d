//! What carries news: the platform's store, other entries' heartbeats, and copies from them.

pub mod follow;
pub mod orders;
pub mod peers;
pub mod pull;
