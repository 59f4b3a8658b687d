//! Requests that end the upstreams that run them: how an end is proven, and which request it was.

pub mod crash_detector;
pub mod fingerprint;
pub mod recent_successes;
pub mod suspect;
pub mod suspect_requests;
