//! Charges requests to customers' quotas: locally, or by a charge request to the entry that owns
//! the quota.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::direct::membership::peer_message::ChargeRequest;
use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::quota::ChargeOutcome;
use crate::direct::sharing::quota::ChargeStep;
use crate::direct::sharing::quota::Contention;
use crate::direct::sharing::quota::RequestCost;
use crate::direct::store_view::catalog::Customer;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// How long a reply is awaited after each charge request to an owner. The second one is for a lost
/// datagram, and its longer wait for an owner on a small host that is busy: without the owner, an
/// entry of a large fleet has to refuse nearly every request.
const REPLY_WAITS_MS: [u64; 2] = [REPLY_TIMEOUT_MS, 210];

/// Charges a request to its customer's quota.
pub async fn charge(
    traffic: &Rc<TrafficState>,
    customer: &Customer,
    cost: RequestCost,
    contention: Contention,
) -> ChargeOutcome {
    let step =
        traffic
            .quotas
            .borrow_mut()
            .begin_charge(customer, cost, contention, traffic.now_ms());
    let owner = match step {
        ChargeStep::Decided(charge) => return charge,
        ChargeStep::AskOwner(owner) => owner,
    };
    let reply = request_charge(traffic, owner, customer, cost, contention).await;
    let now_ms = traffic.now_ms();
    let mut quotas = traffic.quotas.borrow_mut();
    if let Some(charge) = reply {
        quotas.apply_owner_outcome(customer, cost, charge, now_ms);
        return charge;
    }
    let message = "owner of a customer's quota did not reply; charging locally";
    traffic.log(Level::Warn, message, |line| {
        line.field("keeper", owner)
            .field("customer", &customer.name)
    });
    quotas.charge_without_owner(owner, customer, cost, contention, now_ms)
}

async fn request_charge(
    traffic: &TrafficState,
    owner: SocketAddr,
    customer: &Customer,
    cost: RequestCost,
    contention: Contention,
) -> Option<ChargeOutcome> {
    let mut pending = traffic.pending_charges.open(rand::random());
    let request = PeerMessage::ChargeRequest(ChargeRequest {
        id: pending.id,
        customer: customer.name.clone(),
        cost,
        contention,
    });
    for wait_ms in REPLY_WAITS_MS {
        traffic.send_to_peer(owner, &request);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        if let Some(charge) = pending.next_until(until).await {
            return Some(charge);
        }
    }
    None
}

impl TrafficState {
    /// Charges a peer's request to a customer whose quota this entry owns, and replies.
    pub fn charge_for_peer(&self, to: SocketAddr, request: &ChargeRequest) {
        let catalog = self.catalog.borrow();
        let customer = catalog
            .as_ref()
            .and_then(|catalog| catalog.customer(&request.customer));
        let Some(customer) = customer else {
            // This entry has another configuration, or none yet. The peer gets no reply and charges
            // locally.
            self.log(
                Level::Warn,
                "peer requested a charge for an unknown customer",
                |line| line.field("peer", to).field("customer", &request.customer),
            );
            return;
        };
        let charge = self.recent_charges.borrow_mut().reply(to, request.id, || {
            self.quotas.borrow_mut().charge_for_peer(
                to,
                customer,
                request.cost,
                request.contention,
                self.now_ms(),
            )
        });
        let reply = PeerMessage::ChargeReply {
            request_id: request.id,
            charge,
        };
        self.send_to_peer(to, &reply);
    }

    /// Passes an owner's reply to the request that waits for it. A late reply is ignored: the
    /// request was charged locally meanwhile, and the owner settles the units it granted when this
    /// entry reports its spending.
    pub fn complete_charge(&self, request_id: PeerRequestId, charge: ChargeOutcome) {
        self.pending_charges.complete(request_id, charge);
    }
}
