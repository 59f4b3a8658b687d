//! Notices: what upstreams state about themselves in the headers of their answers.
//!
//! [`notice`] holds the notice of one answer, [`upstream_state`] the state of one upstream by its
//! notices, and [`upstream_notices`] the states of all upstreams. [`limit_end`] decides when a limit
//! has ended.

pub mod limit_end;
pub mod notice;
pub mod upstream_notices;
pub mod upstream_state;
