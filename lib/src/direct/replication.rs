//! What carries news: the platform's store, other entries' heartbeats, and copies from them.

pub mod heartbeats;
pub mod pull;
pub mod rollout_follower;
pub mod store_follower;
