//! What carries news: the platform's store, other entries' heartbeats, and copies from them.

pub mod heartbeats;
pub mod peer_pull;
pub mod rollout_follower;
pub mod store_follower;
