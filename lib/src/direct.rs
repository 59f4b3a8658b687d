//! The entry's direct mode: requests go straight to upstreams that have no agent.
//!
//! The entry knows the upstreams from the platform's list, holds what waits, and keeps one
//! request at a time on each connection. Entries tell each other by datagram what they have
//! running and what customers have spent, so that no process in the middle is needed.
//!
//! Parts that decide and know no socket: [`placement`], [`sharing`], [`membership`], [`view`],
//! [`quarantine`], [`rollout`] and [`notices`].
//! [`request`] and [`replication`] carry bytes. [`traffic`] is what all requests of an entry have in
//! common; [`rooms`] and [`charging`] carry out what placement and sharing decide for one of them.
//! The direct mode uses the library's store client, headers and logs, and no claims, agents or
//! operators.

pub mod log_rate_limit;
pub mod membership;
pub mod metrics;
pub mod notices;
pub mod notices_driver;
pub mod placement;
pub mod quarantine;
pub mod quarantine_driver;
pub mod quota_driver;
pub mod replication;
pub mod request;
pub mod rollout;
pub mod rollout_driver;
pub mod server;
pub mod sharing;
pub mod slot_driver;
pub mod store_view;
pub mod traffic;
