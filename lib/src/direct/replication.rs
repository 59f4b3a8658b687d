//! The I/O that keeps an entry's state current: it follows the platform's store, exchanges
//! heartbeats with the other entries, passes changes on, and pulls updates.

pub mod heartbeats;
pub mod last_response;
mod outage;
pub mod peer_pull;
pub mod read_cursor;
pub mod rollout_follower;
pub mod spread;
mod store_call;
pub mod store_follower;
pub mod update;
pub mod update_codec;
