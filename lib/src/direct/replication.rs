//! What carries news: the platform's store, other entries' heartbeats, and copies from them.

pub mod orders;
pub mod peers;
pub mod pull;
pub mod store_follower;
