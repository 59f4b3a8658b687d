//! What an entry knows of the platform's store: the configuration in force and the list of
//! upstreams, kept consistent through outages, restarts and late writes. These modules do no I/O.

pub mod answer_history;
pub mod catalog;
pub mod departures;
pub mod directory;
pub mod freshness;
pub mod lapses;
pub mod list_use;
pub mod removals;
pub mod replica;
