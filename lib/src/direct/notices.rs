//! Notices: what upstreams state about themselves in the headers of their answers.
//!
//! [`notice`] holds the notice of one answer, [`upstream_state`] the state of one upstream by its
//! notices, and [`upstream_notices`] the states of all upstreams.

pub mod notice;
pub mod upstream_notices;
pub mod upstream_state;
