//! How a request is charged to its customer: here, or by a question to the entry that keeps the
//! customer's allotment.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::time::timeout;

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

/// Questions to keepers that have no answer yet.
#[derive(Debug, Default)]
pub struct PendingCharges(RefCell<IndexMap<PeerRequestId, oneshot::Sender<ChargeOutcome>>>);

/// A question; dropping it forgets it, also when its caller has left.
struct OpenCharge<'a> {
    id: PeerRequestId,
    open: &'a PendingCharges,
}

impl Drop for OpenCharge<'_> {
    fn drop(&mut self) {
        self.open.0.borrow_mut().swap_remove(&self.id);
    }
}

/// Charges a request to its customer.
pub async fn charge(
    traffic: &Rc<TrafficState>,
    customer: &Customer,
    cost: RequestCost,
    contention: Contention,
) -> ChargeOutcome {
    let begun =
        traffic
            .quotas
            .borrow_mut()
            .begin_charge(customer, cost, contention, traffic.now_ms());
    let keeper = match begun {
        ChargeStep::Decided(charge) => return charge,
        ChargeStep::AskOwner(keeper) => keeper,
    };
    let answer = request_charge(traffic, keeper, customer, cost, contention).await;
    let now_ms = traffic.now_ms();
    let mut quotas = traffic.quotas.borrow_mut();
    if let Some(charge) = answer {
        quotas.apply_owner_outcome(customer, cost, charge, now_ms);
        return charge;
    }
    let message = "keeper of an allotment is silent";
    traffic.log(Level::Warn, message, |line| {
        line.field("keeper", keeper)
            .field("customer", &customer.name)
    });
    quotas.charge_without_owner(keeper, customer, cost, contention, now_ms)
}

async fn request_charge(
    traffic: &TrafficState,
    keeper: SocketAddr,
    customer: &Customer,
    cost: RequestCost,
    contention: Contention,
) -> Option<ChargeOutcome> {
    let open = OpenCharge {
        id: PeerRequestId::from_random(rand::random()),
        open: &traffic.pending_charges,
    };
    let (sender, answer) = oneshot::channel();
    traffic
        .pending_charges
        .0
        .borrow_mut()
        .insert(open.id, sender);
    let question = PeerMessage::ChargeRequest(ChargeRequest {
        id: open.id,
        customer: customer.name.clone(),
        cost,
        contention,
    });
    traffic.send_to_peer(keeper, &question);
    let within = Duration::from_millis(REPLY_TIMEOUT_MS);
    timeout(within, answer).await.ok()?.ok()
}

impl TrafficState {
    /// Charges a peer's request to a customer that is kept here.
    pub fn charge_for_peer(&self, to: SocketAddr, question: &ChargeRequest) {
        let catalog = self.catalog.borrow();
        let customer = catalog
            .as_ref()
            .and_then(|catalog| catalog.customer(&question.customer));
        let Some(customer) = customer else {
            // Another configuration is in force here, or none yet. The peer goes by itself.
            self.log(
                Level::Warn,
                "asked about a customer that is not known",
                |line| line.field("peer", to).field("customer", &question.customer),
            );
            return;
        };
        let charge = self.quotas.borrow_mut().charge_for_peer(
            to,
            customer,
            question.cost,
            question.contention,
            self.now_ms(),
        );
        let answer = PeerMessage::ChargeReply {
            request_id: question.id,
            charge,
        };
        self.send_to_peer(to, &answer);
    }

    /// Takes a keeper's answer in. One that comes too late is not used: its request was charged
    /// here meanwhile, and the keeper takes the units for told when this entry tells of them.
    pub fn complete_charge(&self, request_id: PeerRequestId, charge: ChargeOutcome) {
        let asked = self.pending_charges.0.borrow_mut().swap_remove(&request_id);
        if let Some(asked) = asked {
            // Whoever asked may have just left.
            let _ = asked.send(charge);
        }
    }
}
