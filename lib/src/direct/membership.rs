//! Which entries there are, and what they tell each other. It decides and knows no socket.

pub mod gossip;
pub mod heartbeat_payload;
pub mod peer_message;
pub mod peer_table;
