//! Takes retries from the budget, borrows them from other entries and lends them, so that the budget of the
//! fleet can be used where requests fail.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use crate::direct::request::call::Call;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::sharing::retry_budget::LOAN_MS;
use crate::direct::sharing::retry_budget::RETRY_MILLIS;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::numbers;

/// Peers that are asked for one retry.
const MAX_LENDERS: usize = 6;
/// Pause after all of them have refused. The whole fleet is then likely to be at its limit.
const REFUSED_PAUSE_MS: u64 = 500;

/// Whether a request may be sent to one more upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// It may.
    Allowed,
    /// It may if a peer lends a retry: this entry's share of the budget is used up.
    Borrow,
    /// It may not.
    Denied,
}

/// What became of a retry that a request needs, as a label of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryDecision {
    /// Taken from this entry's budget.
    Own,
    /// Lent by a peer.
    Borrowed,
    /// Lent to a peer.
    Lent,
    /// Denied, as neither this entry nor a peer has one left.
    Denied,
}

impl RetryDecision {
    fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Borrowed => "borrowed",
            Self::Lent => "lent",
            Self::Denied => "denied",
        }
    }
}

/// A retry that was granted to a request.
#[derive(Debug)]
pub struct RetryPermit {
    traffic: Rc<TrafficState>,
    service: Arc<str>,
    granted_ms: u64,
    /// What is reserved of it in this entry's budget.
    reserved_millis: u64,
    /// When what was borrowed expires; none if all of it is reserved here.
    borrowed_until_ms: Cell<Option<u64>>,
    is_spent: Cell<bool>,
}

impl RetryPermit {
    /// Reserves what this entry has left of a retry.
    fn reserve(traffic: &Rc<TrafficState>, service: &Arc<str>) -> Self {
        let now_ms = traffic.now_ms();
        let mut budget = traffic.retry_budget.borrow_mut();
        Self {
            traffic: Rc::clone(traffic),
            service: Arc::clone(service),
            granted_ms: now_ms,
            reserved_millis: budget.reserve(service, RETRY_MILLIS, now_ms),
            borrowed_until_ms: Cell::new(None),
            is_spent: Cell::new(false),
        }
    }

    fn missing_millis(&self) -> u64 {
        RETRY_MILLIS - self.reserved_millis
    }

    fn is_valid(&self, now_ms: u64) -> bool {
        let is_expired = |until_ms| now_ms >= until_ms;
        !self.is_spent.get() && !self.borrowed_until_ms.get().is_some_and(is_expired)
    }

    /// Records that the retry is sent now.
    fn spend(&self) {
        if self.is_spent.replace(true) {
            return;
        }
        let now_ms = self.traffic.now_ms();
        let mut budget = self.traffic.retry_budget.borrow_mut();
        budget.record_sent(&self.service, self.reserved_millis, now_ms);
        let waited_ms = now_ms.saturating_sub(self.granted_ms);
        let sent_after_ms = &self.traffic.metrics.retries.sent_after_ms;
        sent_after_ms.observe(numbers::as_f64(waited_ms));
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_spent.get() {
            let mut budget = self.traffic.retry_budget.borrow_mut();
            budget.release(&self.service, self.reserved_millis);
        }
    }
}

impl TrafficState {
    /// Returns whether a request may be sent to one more upstream. If it was sent before, this reserves a
    /// retry in the budget.
    pub fn take_retry(self: &Rc<Self>, call: &mut Call) -> RetryStep {
        if self.now_ms() >= call.deadline_at_ms {
            return RetryStep::Denied;
        }
        if call.tried_upstreams.is_empty() {
            return RetryStep::Allowed;
        }
        let sent = u32::try_from(call.tried_upstreams.len()).unwrap_or(u32::MAX);
        if sent >= call.route.max_upstreams || !self.may_retry(call) {
            return RetryStep::Denied;
        }
        if self.has_permit(call) || self.reserve_retry(call) {
            RetryStep::Allowed
        } else {
            RetryStep::Borrow
        }
    }

    /// Returns whether a request may be sent to one more upstream, after asking peers for a retry if this
    /// entry has none left.
    pub async fn allow_retry(self: &Rc<Self>, call: &mut Call) -> bool {
        match self.take_retry(call) {
            RetryStep::Allowed => true,
            RetryStep::Borrow => self.borrow_retry(call).await,
            RetryStep::Denied => false,
        }
    }

    /// Returns whether a request that has a slot may be sent: if it was sent before, it needs a permit, and
    /// one that was borrowed may have expired while the request waited.
    pub async fn confirm_retry(self: &Rc<Self>, call: &mut Call) -> bool {
        call.tried_upstreams.is_empty()
            || self.has_permit(call)
            || self.reserve_retry(call)
            || self.borrow_retry(call).await
    }

    fn has_permit(&self, call: &Call) -> bool {
        let permit = call.retry_permit.as_ref();
        permit.is_some_and(|permit| permit.is_valid(self.now_ms()))
    }

    fn reserve_retry(self: &Rc<Self>, call: &mut Call) -> bool {
        let permit = RetryPermit::reserve(self, &call.service);
        if permit.missing_millis() > 0 {
            return false;
        }
        call.retry_permit = Some(Rc::new(permit));
        self.count_retry(&call.service, RetryDecision::Own);
        true
    }

    /// Grants a request a retry of which a part is borrowed, if peers lend enough.
    async fn borrow_retry(self: &Rc<Self>, call: &mut Call) -> bool {
        let permit = RetryPermit::reserve(self, &call.service);
        let until_ms = self.now_ms() + LOAN_MS;
        let is_lent = self
            .borrow_parts(&call.service, permit.missing_millis())
            .await;
        if !is_lent {
            drop(permit);
            self.count_retry(&call.service, RetryDecision::Denied);
            self.log_denied_retry(call);
            return false;
        }
        permit.borrowed_until_ms.set(Some(until_ms));
        call.retry_permit = Some(Rc::new(permit));
        self.count_retry(&call.service, RetryDecision::Borrowed);
        true
    }

    /// Borrows so much of a retry at a service from peers. Returns whether they have lent all of it.
    async fn borrow_parts(&self, service: &Arc<str>, mut missing_millis: u64) -> bool {
        if self.now_ms() < self.no_loans_until_ms.get() {
            return false;
        }
        let lenders = self.peers.borrow().retry_lenders(self.now_ms());
        let mut asked = lenders
            .choose_multiple(&mut rand::rng(), MAX_LENDERS)
            .copied()
            .collect::<Vec<_>>()
            .into_iter();
        while missing_millis > 0 {
            let Some(lender) = asked.next() else {
                self.no_loans_until_ms.set(self.now_ms() + REFUSED_PAUSE_MS);
                return false;
            };
            let lent_millis = self.ask_lender(lender, service, missing_millis).await;
            missing_millis = missing_millis.saturating_sub(lent_millis);
        }
        true
    }

    /// Asks a peer for so much of a retry, and returns how much it lends.
    async fn ask_lender(&self, lender: SocketAddr, service: &Arc<str>, wanted_millis: u64) -> u64 {
        let mut pending = self.pending_loans.open(rand::random());
        let request = PeerMessage::BorrowRetryPart {
            request_id: pending.id,
            service: Arc::clone(service),
            wanted_millis: u16::try_from(wanted_millis).unwrap_or(u16::MAX),
        };
        self.send_to_peer(lender, &request);
        let until = Instant::now() + Duration::from_millis(REPLY_TIMEOUT_MS);
        let lent_millis = pending.next_until(until).await;
        lent_millis.unwrap_or_default().into()
    }

    /// Lends a part of a retry to a peer, if this entry has some left, and replies.
    pub fn lend_retry(
        &self,
        to: SocketAddr,
        request_id: PeerRequestId,
        service: &Arc<str>,
        wanted_millis: u16,
    ) {
        let mut budget = self.retry_budget.borrow_mut();
        let millis = budget.lend(service, wanted_millis.into(), self.now_ms());
        drop(budget);
        if millis > 0 {
            self.count_retry(service, RetryDecision::Lent);
        }
        let reply = PeerMessage::RetryPartLent {
            request_id,
            millis: u16::try_from(millis).unwrap_or(wanted_millis),
        };
        self.send_to_peer(to, &reply);
    }

    /// Lends nothing to a peer of an older build, which may send a retry later than within [`LOAN_MS`].
    pub fn refuse_whole_retry(&self, to: SocketAddr, request_id: PeerRequestId) {
        let reply = PeerMessage::RetryLent {
            request_id,
            is_lent: false,
        };
        self.send_to_peer(to, &reply);
    }

    /// Records a request that is being sent to one more upstream.
    pub fn record_retry_sent(&self, call: &mut Call) {
        if call.tried_upstreams.len() < 2 {
            return;
        }
        let sent = &self.metrics.retries.sent;
        sent.with_label_values(&[&*call.service]).inc();
        if let Some(permit) = call.retry_permit.take() {
            permit.spend();
        }
    }

    /// Divides the slack of the retry budget among so many entries.
    pub fn divide_retry_slack(&self, entries: usize) {
        let mut budget = self.retry_budget.borrow_mut();
        let before = budget.entry_count();
        budget.set_entry_count(entries, self.now_ms());
        drop(budget);
        if entries != before {
            self.log(Level::Info, "retry slack is divided anew", |line| {
                line.field("entries_before", before)
                    .field("entries", entries)
            });
        }
    }

    /// Updates the gauges of the retry budget before the metrics are read.
    pub fn update_retry_gauges(&self) {
        let mut budget = self.retry_budget.borrow_mut();
        let metrics = &self.metrics.retries;
        let entries = i64::try_from(budget.entry_count()).unwrap_or(i64::MAX);
        metrics.entries.set(entries);
        for service in budget.services() {
            let usage = budget.usage(&service, self.now_ms());
            let set = |figure, value| {
                let gauge = metrics.budget.with_label_values(&[&*service, figure]);
                gauge.set(value);
            };
            set("requests", usage.requests);
            set("retries", usage.retries);
            set("unsent", usage.unsent);
            set("left", usage.left);
            set("slack_share", usage.slack_share);
        }
    }

    fn count_retry(&self, service: &Arc<str>, decision: RetryDecision) {
        let decisions = &self.metrics.retries.decisions;
        decisions
            .with_label_values(&[&**service, decision.label()])
            .inc();
    }

    fn log_denied_retry(&self, call: &Call) {
        let now_ms = self.now_ms();
        let mut budget = self.retry_budget.borrow_mut();
        let usage = budget.usage(&call.service, now_ms);
        let entries = budget.entry_count();
        drop(budget);
        self.log(Level::Warn, "retry budget is used up", |line| {
            line.field("request", call.name())
                .field("service", &call.service)
                .field("requests", usage.requests)
                .field("retries", usage.retries)
                .field("unsent", usage.unsent)
                .field("left", usage.left)
                .field("slack_share", usage.slack_share)
                .field("entries", entries)
                .field("counted_for_ms", now_ms)
        });
    }
}
