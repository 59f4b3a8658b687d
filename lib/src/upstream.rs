//! What upstreams speak: model engines and plain services, each behind one module.
//!
//! Only agents call it. It sends each request once and knows nothing of other upstreams.

pub mod client;
pub mod engine;
pub mod health;
pub mod http;
pub mod report;
pub mod service;
