//! A caller's request with everything that its profile and headers settle.

use std::sync::Arc;

use crate::claims::idempotency::IdempotencyKey;
use crate::claims::idempotency::RequestDigest;
use crate::config::objects::Customer;
use crate::config::objects::Profile;
use crate::config::objects::Target;
use crate::config::objects::Tier;
use crate::ids::RequestId;
use crate::link::wire::Call;
use crate::link::wire::Reservation;
use crate::ordering::queue::OrderKey;

/// A named request: its name and what was asked under it.
///
/// ```
/// use sardinewood::claims::idempotency::{RequestDigest, IdempotencyKey};
/// use sardinewood::caller::submission::Named;
///
/// let named = Named {
///     name: IdempotencyKey::new("rundu", "refund-17").unwrap(),
///     digest: RequestDigest::new("POST", "/v1/refunds", b"100"),
/// };
/// assert_eq!(named, named.clone());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Named {
    /// The name.
    pub name: IdempotencyKey,
    /// Tells a repetition from a misused key.
    pub digest: RequestDigest,
}

/// What a request is expected to cost.
///
/// ```
/// use sardinewood::caller::submission::WorkEstimate;
///
/// assert_eq!(WorkEstimate::default().prompt_tokens, 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens that it is expected to take.
    pub expected_output_tokens: u32,
    /// Output tokens at which it is cut off.
    pub max_output_tokens: u32,
    /// Fingerprints of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
}

/// A request that waits for an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Its id, drawn by the entry.
    pub request: RequestId,
    /// What it asks for.
    pub target: Target,
    /// The class of work.
    pub profile: Arc<Profile>,
    /// Whose request it is.
    pub customer: Arc<Customer>,
    /// When the caller has no use for the answer any more.
    pub deadline_at_ms: u64,
    /// Whether it may run at most once.
    pub non_idempotent: bool,
    /// Its name, if the caller gave one.
    pub named: Option<Named>,
    /// Requests under the same order key of a customer run one after another.
    pub order: Option<OrderKey>,
    /// The appointment that it belongs to.
    pub appointment: Option<Arc<str>>,
    /// What it is expected to cost.
    pub estimate: WorkEstimate,
    /// The call to make.
    pub call: Call,
}

impl Submission {
    /// The importance of the request.
    #[must_use]
    pub fn tier(&self) -> Tier {
        self.profile.tier
    }

    /// What an agent needs to know of it.
    #[must_use]
    pub fn reservation(
        &self,
        arrived_ms: u64,
        started_appointment: bool,
        now_ms: u64,
    ) -> Reservation {
        Reservation {
            request: self.request,
            target: self.target.clone(),
            tier: self.tier(),
            customer: self.customer.name.clone(),
            weight: self.customer.weight,
            waited_ms: now_ms.saturating_sub(arrived_ms),
            deadline_in_ms: self.deadline_at_ms.saturating_sub(now_ms),
            prompt_tokens: self.estimate.prompt_tokens,
            expected_output_tokens: self.estimate.expected_output_tokens,
            max_output_tokens: self.estimate.max_output_tokens,
            prefix: self.estimate.prefix.clone(),
            non_idempotent: self.non_idempotent,
            started_appointment,
        }
    }
}
