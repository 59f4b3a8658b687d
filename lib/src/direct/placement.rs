//! Selection of an upstream for each request: the worth of a request, its cost at each upstream,
//! the admission queues that it asks for a slot, and how long it waits. These modules make
//! decisions only and do no I/O.

pub mod baseline;
pub mod data_centres;
pub mod dispatch;
pub mod exclusion;
pub mod health;
pub mod job;
pub mod peer_loads;
pub mod shared_prefix;
pub mod slot_search;
pub mod tracked_upstream;
mod uneven_engines;
