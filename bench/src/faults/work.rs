//! What the callers ask for, and what the whole answer to it is.

use std::sync::Arc;

use bytes::Bytes;
use sardinewood::caller::submission::Named;
use sardinewood::caller::submission::Submission;
use sardinewood::caller::submission::WorkEstimate;
use sardinewood::claims::idempotency::IdempotencyKey;
use sardinewood::claims::idempotency::RequestDigest;
use sardinewood::config::objects::Customer;
use sardinewood::config::objects::Profile;
use sardinewood::config::objects::Target;
use sardinewood::config::objects::Tier;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::Call;
use sardinewood::ordering::queue::OrderKey;

/// One thing that a caller wants done, through one or more requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// Where work goes, and how its answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// A plain service.
    Service,
    /// A model engine; the answer is passed on when it is whole.
    Model,
    /// A model engine; the answer is passed on as it comes.
    Stream,
}

/// What the work is like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Its id.
    pub id: WorkId,
    /// When its caller sends it.
    pub at_ms: u64,
    /// Its importance.
    pub tier: u8,
    /// How long its caller waits.
    pub deadline_ms: u64,
    /// Whether it may run at most once.
    pub non_idempotent: bool,
    /// Where it goes, and how its answer comes.
    pub path: Path,
    /// In how many parts the answer comes.
    pub parts: u32,
    /// Whether its caller names it, and asks again under that name when its connection breaks.
    pub is_named: bool,
    /// Whose turn it has to wait for, if it is part of an order.
    pub order: Option<u8>,
}

impl Work {
    /// The part of the answer with this number.
    #[must_use]
    pub fn part(&self, number: u32) -> Bytes {
        format!("work {} part {number}; ", self.id.0).into()
    }

    /// The whole answer.
    #[must_use]
    pub fn answer(&self) -> Vec<u8> {
        (0..self.parts).flat_map(|n| self.part(n)).collect()
    }

    /// The request that its caller sends.
    #[must_use]
    pub fn submission(&self, request: RequestId, now_ms: u64) -> Submission {
        let target = if self.path == Path::Service {
            Target::Service("refunds".into())
        } else {
            Target::Model("small".into())
        };
        Submission {
            request,
            target,
            profile: Arc::new(self.profile()),
            customer: Arc::new(customer()),
            deadline_at_ms: now_ms + self.deadline_ms,
            non_idempotent: self.non_idempotent,
            named: self.named(),
            order: self.order_name(),
            appointment: None,
            estimate: WorkEstimate {
                prompt_tokens: 100,
                expected_output_tokens: self.parts,
                max_output_tokens: self.parts,
                prefix: Vec::new(),
            },
            call: Call {
                method: "POST".into(),
                path: "/v1/chat/completions".into(),
                headers: Vec::new(),
                body: self.id.0.to_be_bytes().to_vec().into(),
            },
        }
    }

    /// Ordered work needs a name as well, as an entry gives it one.
    fn named(&self) -> Option<Named> {
        if !self.is_named && self.order.is_none() {
            return None;
        }
        let key = format!("work-{}", self.id.0);
        let name = IdempotencyKey::new("rundu", &key).ok()?;
        let digest = RequestDigest::new("POST", "/", &self.id.0.to_be_bytes());
        Some(Named { name, digest })
    }

    fn order_name(&self) -> Option<OrderKey> {
        OrderKey::new("rundu", &format!("counsellor-{}", self.order?)).ok()
    }

    fn profile(&self) -> Profile {
        Profile {
            name: format!("tier-{}", self.tier).into(),
            tier: Tier(self.tier),
            deadline_ms: self.deadline_ms,
            model: None,
            non_idempotent: self.non_idempotent,
            limits: sardinewood::config::objects::ProfileLimits::default(),
        }
    }
}

fn customer() -> Customer {
    Customer {
        name: "rundu".into(),
        weight: 1,
        default_profile: "tier-0".into(),
        key_sha256: Vec::new(),
    }
}

/// The work that a call is for.
#[must_use]
pub fn work_of(call: &Call) -> Option<WorkId> {
    let bytes = call.body.as_ref().try_into().ok()?;
    Some(WorkId(u64::from_be_bytes(bytes)))
}
