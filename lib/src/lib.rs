//! The decisions and the narrow outside interfaces of sardinewood, a request
//! scheduler for unlike engines.
//!
//! Decision code is sans-IO: state, an event and the time go in, and an enum
//! that says what to do next comes out. Sockets, clocks and random numbers stay
//! in the programs and in the modules that speak to one outside system each.

pub mod agent;
pub mod answer;
pub mod backoff;
pub mod caller;
pub mod claims;
pub mod config;
pub mod digest;
pub mod direct;
pub mod entry;
pub mod findings;
pub mod ids;
pub mod link;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod numbers;
pub mod operator;
pub mod ordering;
pub mod secrets;
pub mod settings;
pub mod stop_signal;
pub mod store;
pub mod tls;
pub mod upstream;
pub mod value_check;
pub mod verdict;
