//! Transfers requests from callers' connections to upstreams, and responses back.
//!
//! Other modules make the decisions, such as which upstream gets a request.

pub mod answer_bounds;
pub mod answer_ending;
pub mod bounded_io;
pub mod call;
pub mod caller_io;
pub mod connection_pool;
pub mod connection_set;
pub mod exchange;
pub mod failure_responses;
pub mod headers;
pub mod held_bytes;
pub mod listeners;
pub mod notices_page;
pub mod open_requests;
pub mod operator_page;
pub mod outcome_recorder;
pub mod pace;
pub mod quarantine_page;
pub mod refusal;
pub mod relay;
pub mod response_body;
pub mod rollout_page;
pub mod whole_body;
