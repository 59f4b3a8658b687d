//! Roll-outs: an operator's order to move a service to another version of its upstreams' software.
//!
//! It decides and knows no socket and no clock: events, facts and the time go in, and what to do
//! next comes out. A small part of each route's requests goes to the new version, which is judged
//! beside the old one. [`progress`] is one order at one entry; [`serving_versions`] says which version
//! serves while there is none.

pub mod exposure;
pub mod message;
pub mod object;
pub mod outcome_counts;
pub mod progress;
pub mod serving_versions;
pub mod table;
pub mod verdict;
