//! What upstreams say of themselves in their answers, beside what they answer.
//!
//! [`notice`] is what one answer says, [`upstream_state`] what is known of one upstream, and [`upstream_notices`] of all.

pub mod notice;
pub mod upstream_notices;
pub mod upstream_state;
