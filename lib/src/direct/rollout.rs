//! Rollouts, by which an operator moves a service to another version of its upstreams' software.
//!
//! The module does no I/O and reads no clock: events, facts and the time go in, and actions come
//! out. A small part of each route's requests goes to the new version, which is compared with the
//! old one.
//! [`progress`] holds one rollout at one entry; [`serving_versions`] decides which version serves
//! while there is none.

pub mod exposure;
pub mod message;
pub mod object;
pub mod old_version;
pub mod outcome_counts;
pub mod progress;
pub mod serving_versions;
pub mod table;
pub mod verdict;
