//! Where a request goes, and in which order: what it is worth, what an upstream costs it, which
//! doors it asks, and how long it waits. All of it decides and knows no socket.

pub mod baseline;
pub mod dispatch;
pub mod health;
pub mod job;
pub mod shared_prefix;
pub mod slot_search;
pub mod tracked_upstream;
