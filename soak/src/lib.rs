//! A soak of the real programs: random faults from outside, and a check of what callers and
//! workers see.
//!
//! [`plan`] draws the faults from a seed, [`world`] carries them out, [`callers`] press all
//! the while, and [`checker`] reads the records and knows nothing of the rest.

pub mod callers;
pub mod checker;
pub mod copies;
pub mod kept;
pub mod leavings;
pub mod notices;
pub mod plan;
pub mod record;
pub mod versions;
pub mod world;
