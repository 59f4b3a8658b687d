//! Tracks which entries there are, and defines the messages between them. The module does no I/O.

pub mod gossip;
pub mod heartbeat_payload;
pub mod heartbeat_round;
pub mod peer_message;
pub mod peer_table;
pub mod spread_tree;
pub mod store_role;
