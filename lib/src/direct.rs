//! Direct mode of an entry: requests go straight to upstreams that have no agent.
//!
//! The entry reads the list of upstreams from the platform's store, queues requests until an
//! upstream has a slot, and sends one request at a time over each connection. Entries exchange
//! datagrams about the slots that they use and the quotas that customers have spent, so no central
//! process is needed.
//!
//! [`placement`], [`sharing`], [`membership`], [`store_view`], [`quarantine`], [`rollout`] and
//! [`notices`] make decisions and do no I/O. The modules [`slot_driver`], [`quota_driver`],
//! [`quarantine_driver`], [`notices_driver`], [`freshness_driver`], [`retry_driver`], [`return_driver`], [`rollout_driver`],
//! [`shutdown_driver`] and [`data_centre_driver`] carry their decisions out.
//! [`request`] and [`replication`] transfer data over the network, and [`traffic`] holds the state
//! that all requests of an entry share.
//!
//! Direct mode uses the library's store client, headers and logs, but no claims, agents or
//! operators.

pub mod data_centre_driver;
pub mod freshness_driver;
pub mod load_policy;
pub mod log_rate_limit;
pub mod membership;
pub mod metrics;
pub mod notices;
pub mod notices_driver;
pub mod pending_replies;
pub mod placement;
pub mod quarantine;
pub mod quarantine_driver;
pub mod quota_driver;
pub mod replication;
pub mod request;
pub mod retry_driver;
pub mod return_driver;
pub mod rollout;
pub mod rollout_driver;
pub mod server;
pub mod sharing;
pub mod shutdown;
pub mod shutdown_driver;
pub mod slot_driver;
pub mod store_view;
pub mod stream_origin_driver;
pub mod streams;
pub mod traffic;
