//! Quarantine of requests that crash the upstreams that run them.
//!
//! A request is recognized by its [`feature`]s: its whole content, by its [`fingerprint`], and each
//! [`prompt_part`] that other requests may share. [`crash_detector`] confirms crashes, [`suspects`]
//! decides from them which features are quarantined, [`suspect`] is the state of one feature, and
//! [`recent_survivals`] exempts features whose runs recently survived.

pub mod crash_detector;
pub mod feature;
pub mod fingerprint;
pub mod identity;
pub mod prompt_part;
pub mod recent_survivals;
pub mod suspect;
pub mod suspects;
