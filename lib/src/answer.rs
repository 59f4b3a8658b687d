//! Answers on their way from an upstream to a caller: read along, numbered, put together.
//!
//! Nothing here decides where a request goes. Entries and agents both call it.

pub mod event_scan;
pub mod event_skip;
pub mod length;
pub mod meter;
pub mod reader;
pub mod routes;
