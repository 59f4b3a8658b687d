//! The store of the fleet: conditional writes, with outages, slow and lost answers, and
//! reads of an earlier state.

use indexmap::IndexMap;
use sardinewood::claims::idempotency::IdempotencyKey;
use sardinewood::claims::object::Claim;
use sardinewood::claims::object::ClaimState;
use sardinewood::claims::object::StoreCall;
use sardinewood::claims::object::StoreResponse;
use sardinewood::claims::object::StoredClaim;
use sardinewood::ids::RequestId;
use sardinewood::ordering::queue::BarResponse;
use sardinewood::ordering::queue::OrderCall;
use sardinewood::ordering::queue::OrderKey;
use sardinewood::ordering::queue::OrderResponse;
use sardinewood::ordering::queue::Place;
use sardinewood::ordering::queue::StoredQueue;
use sardinewood::store::position::StorePosition;

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    #[default]
    None,
    /// It answers nothing; some writes take effect all the same.
    Down,
    /// It takes long.
    Slow,
    /// Some answers are lost.
    Forgetful,
    /// Some reads show an earlier state.
    Stale,
}

/// A call, with who waits for its answer.
#[derive(Clone, Debug)]
pub struct StoreRequest {
    /// The entry that called.
    pub entry: usize,
    /// Its start.
    pub start: u32,
    /// What it wants.
    pub call: FleetCall,
    /// Whether its answer gets lost.
    pub is_lost: bool,
    /// Whether it reads an earlier state.
    pub is_stale: bool,
}

/// What an entry wants of the store.
#[derive(Clone, Debug)]
pub enum FleetCall {
    /// About a claim.
    Claim {
        request: RequestId,
        name: IdempotencyKey,
        call: StoreCall,
    },
    /// About a queue.
    Order { order: OrderKey, call: OrderCall },
    /// A bar in place of a claim.
    Bar {
        order: OrderKey,
        place: Place,
        replace: Option<StorePosition>,
    },
}

/// The store.
#[derive(Debug, Default)]
pub struct FleetStore {
    /// What is wrong with it.
    pub trouble: Trouble,
    version: u64,
    claims: IndexMap<String, Vec<Option<StoredClaim>>>,
    orders: IndexMap<OrderKey, Vec<StoredQueue>>,
}

impl FleetStore {
    fn claim(&self, name: &str, is_stale: bool) -> Option<StoredClaim> {
        let states = self.claims.get(name)?;
        let back = if is_stale { 2 } else { 1 };
        states.iter().rev().nth(back - 1).cloned().flatten()
    }

    fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    fn put_claim(&mut self, name: &str, claim: Option<Claim>) -> u64 {
        let version = self.next_version();
        let stored = claim.map(|claim| StoredClaim {
            version: StorePosition::new(0, version),
            claim: Some(claim),
        });
        self.claims.entry(name.into()).or_default().push(stored);
        version
    }

    /// Carries a call about a claim out.
    pub fn claim_call(&mut self, name: &str, call: &StoreCall, is_stale: bool) -> StoreResponse {
        let (expected, claim) = match call {
            StoreCall::Read => return StoreResponse::Current(self.claim(name, is_stale)),
            StoreCall::Write { expected, claim } => (*expected, Some(claim.clone())),
            StoreCall::Delete { version } => (Some(*version), None),
        };
        let current = self.claim(name, false);
        if current.as_ref().map(|current| current.version) != expected {
            return StoreResponse::Current(current);
        }
        let version = self.put_claim(name, claim);
        StoreResponse::Written {
            version: StorePosition::new(0, version),
        }
    }

    /// Carries a call about a queue out.
    pub fn order_call(
        &mut self,
        order: OrderKey,
        call: &OrderCall,
        is_stale: bool,
    ) -> OrderResponse {
        let states = self.orders.entry(order).or_default();
        let current = states.last().cloned().unwrap_or_default();
        let (expected, queue) = match call {
            OrderCall::Read if is_stale => {
                let earlier = states.iter().rev().nth(1).cloned().unwrap_or_default();
                return OrderResponse::Current(earlier);
            }
            OrderCall::Read => return OrderResponse::Current(current),
            OrderCall::Write { expected, queue } => (*expected, Some(queue)),
            OrderCall::Delete { version } => (Some(*version), None),
        };
        if expected != current.version {
            return OrderResponse::Current(current);
        }
        self.version += 1;
        let stored = match queue {
            Some(queue) => StoredQueue {
                version: Some(StorePosition::new(0, self.version)),
                queue: queue.clone(),
            },
            None => StoredQueue::default(),
        };
        let version = stored.version;
        states.push(stored);
        OrderResponse::Written { version }
    }

    /// Bars a place's claim.
    pub fn bar_call(&mut self, place: &Place, replace: Option<StorePosition>) -> BarResponse {
        let current = self.claim(&place.claim, false);
        if current.as_ref().map(|current| current.version) == replace {
            let claim = Claim {
                digest: None,
                state: ClaimState::Barred {
                    request: place.request,
                },
            };
            self.put_claim(&place.claim, Some(claim));
            return BarResponse::Barred;
        }
        let Some(StoredClaim {
            version,
            claim: Some(claim),
        }) = current
        else {
            return BarResponse::Lost;
        };
        match claim.state {
            ClaimState::Held(holder) => BarResponse::Held { holder, version },
            ClaimState::Barred { .. } => BarResponse::Barred,
        }
    }
}
