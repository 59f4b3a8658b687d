//! The state of one request's claim, and its comparison with the stored claim.

use crate::claims::ClaimRequest;
use crate::claims::object::Claim;
use crate::claims::object::ClaimState;
use crate::claims::object::Holder;
use crate::store::position::StorePosition;

/// The state of a request's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// A write is in progress.
    Writing,
    /// A read is in progress.
    Reading,
    /// The next call is delayed until this time.
    Pausing { until_ms: u64, call: NextCall },
    /// This entry holds the claim, stored at this version.
    Held { version: StorePosition },
    /// No call has been made yet for the attempt.
    Idle,
    /// The request has ended, and the claim is removed at this time.
    Retained {
        until_ms: u64,
        version: StorePosition,
    },
    /// The removal is in progress.
    Deleting {
        version: StorePosition,
        retries_left: u8,
    },
}

/// A call to the store that is yet to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextCall {
    Write { expected: Option<StorePosition> },
    Read,
}

/// A claim that this entry requested, with its state.
#[derive(Clone, Debug)]
pub(super) struct TrackedClaim {
    pub(super) claim_request: ClaimRequest,
    pub(super) phase: Phase,
    pub(super) give_up_at_ms: u64,
    /// Whether the call in progress was made for an earlier grant.
    pub(super) is_outdated: bool,
    /// When the request proceeds without a claim; absent if it needs one.
    pub(super) proceed_unclaimed_at_ms: Option<u64>,
}

/// Returns when the claim needs attention without a response from the store.
pub(super) fn due_ms(tracked_claim: &TrackedClaim) -> Option<u64> {
    match tracked_claim.phase {
        Phase::Pausing { until_ms, .. } | Phase::Retained { until_ms, .. } => Some(until_ms),
        Phase::Writing | Phase::Reading => tracked_claim.proceed_unclaimed_at_ms,
        Phase::Held { .. } | Phase::Idle | Phase::Deleting { .. } => None,
    }
}

/// How the stored claim relates to the requested one.
pub(super) enum Relation {
    /// It is the requested claim: an earlier write took effect, but its response was lost.
    Ours,
    /// No attempt can run under the stored claim any more, so it may be replaced.
    Replaceable,
    /// Another attempt holds the claim and may run.
    HeldByOther(Holder),
    /// The key was used for a different request.
    KeyReused,
    /// A successor in the order queue has barred this request.
    LostPlace,
    /// This version of the program can't read the stored object.
    Unreadable,
}

/// Compares the stored claim with the requested one.
pub(super) fn relation(claim_request: &ClaimRequest, current: Option<&Claim>) -> Relation {
    let Some(claim) = current else {
        return Relation::Unreadable;
    };
    let digest = claim_request.digest.to_string();
    if claim.digest.as_deref().is_some_and(|other| other != digest) {
        return Relation::KeyReused;
    }
    let ours = claim_request.holder.attempt;
    match &claim.state {
        ClaimState::Barred { request } if *request == ours.request => Relation::LostPlace,
        ClaimState::Barred { .. } => Relation::Replaceable,
        ClaimState::Held(holder) if *holder == claim_request.holder => Relation::Ours,
        // The entry numbers the next attempt only after the previous one is settled.
        ClaimState::Held(holder) if holder.attempt.request == ours.request => Relation::Replaceable,
        ClaimState::Held(holder) if Some(holder) == claim_request.settled.as_ref() => {
            Relation::Replaceable
        }
        ClaimState::Held(holder) => Relation::HeldByOther(holder.clone()),
    }
}
