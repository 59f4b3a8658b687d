//! How far the claim of one request has got, and how the store's claim relates to it.

use crate::claims::ClaimRequest;
use crate::claims::object::Claim;
use crate::claims::object::ClaimState;
use crate::claims::object::Holder;

/// Where a request's claim is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// A write is under way.
    Writing,
    /// A read is under way.
    Reading,
    /// The next call is made when this time comes.
    Pausing { until_ms: u64, call: NextCall },
    /// Ours at this version.
    Held { version: u64 },
    /// Not decided, or decided against us; nothing to remove.
    Idle,
    /// To be removed when this time comes.
    Retained { until_ms: u64, version: u64 },
    /// The removal is under way.
    Deleting { version: u64, tries_left: u8 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextCall {
    Write { expected: Option<u64> },
    Read,
}

#[derive(Clone, Debug)]
pub(super) struct ClaimRun {
    pub(super) asked: ClaimRequest,
    pub(super) phase: Phase,
    pub(super) give_up_at_ms: u64,
    /// Whether the call under way was made for an earlier grant.
    pub(super) is_outdated: bool,
    /// When the request goes on without a claim, if it can.
    pub(super) unclaimed_at_ms: Option<u64>,
}

pub(super) fn due_ms(run: &ClaimRun) -> Option<u64> {
    match run.phase {
        Phase::Pausing { until_ms, .. } | Phase::Retained { until_ms, .. } => Some(until_ms),
        Phase::Writing | Phase::Reading => run.unclaimed_at_ms,
        Phase::Held { .. } | Phase::Idle | Phase::Deleting { .. } => None,
    }
}

/// How the stored claim relates to the one that is asked for.
pub(super) enum Relation {
    /// It is the one: an earlier write took effect, though its answer was lost.
    Ours,
    /// Nothing can run under it any more; it may be replaced.
    Free,
    /// Another attempt may run.
    Other(Holder),
    /// The name stands for another call.
    KeyReused,
    /// A successor in the order has barred this request.
    LostPlace,
    /// Somebody wrote what this version cannot read.
    NotUnderstood,
}

pub(super) fn relation(asked: &ClaimRequest, current: Option<&Claim>) -> Relation {
    let Some(claim) = current else {
        return Relation::NotUnderstood;
    };
    let digest = asked.digest.to_string();
    if claim.digest.as_deref().is_some_and(|other| other != digest) {
        return Relation::KeyReused;
    }
    let ours = asked.holder.attempt;
    match &claim.state {
        ClaimState::Barred { request } if *request == ours.request => Relation::LostPlace,
        ClaimState::Barred { .. } => Relation::Free,
        ClaimState::Held(holder) if *holder == asked.holder => Relation::Ours,
        // The entry numbers a next attempt only after the one before it is settled.
        ClaimState::Held(holder) if holder.attempt.request == ours.request => Relation::Free,
        ClaimState::Held(holder) if Some(holder) == asked.settled.as_ref() => Relation::Free,
        ClaimState::Held(holder) => Relation::Other(holder.clone()),
    }
}
