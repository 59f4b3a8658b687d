//! What an upstream said when it was asked.

use crate::ids::RequestId;

/// What a look at the upstream showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It answers, and runs these requests as far as it tells.
    Alive { running: Vec<RequestId> },
    /// It takes no connections.
    Refused,
    /// It does not answer in time; it may be busy or paused.
    Silent,
}

/// What the upstream says of an attempt that this incarnation did not send or lost sight of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// It runs, and its answer can be read.
    Running,
    /// It is finished, and its answer can be read.
    Finished,
    /// The upstream has confirmed that it does not run and never will.
    Gone,
    /// The upstream does not tell.
    Unclear,
}
