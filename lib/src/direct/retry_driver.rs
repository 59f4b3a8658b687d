//! Takes retries from the budget, borrows them from other entries and lends them, so that the budget of the
//! fleet can be used where requests fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use crate::direct::request::call::Call;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::numbers;

/// Peers that are asked for one retry.
const MAX_LENDERS: usize = 3;
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

impl TrafficState {
    /// Returns whether a request may be sent to one more upstream. If it was sent before, this takes a
    /// retry from the budget.
    pub fn take_retry(&self, call: &mut Call) -> RetryStep {
        let now_ms = self.now_ms();
        if now_ms >= call.deadline_at_ms {
            return RetryStep::Denied;
        }
        if call.tried_upstreams.is_empty() {
            return RetryStep::Allowed;
        }
        let sent = u32::try_from(call.tried_upstreams.len()).unwrap_or(u32::MAX);
        if sent >= call.route.max_upstreams || !self.may_retry(call) {
            return RetryStep::Denied;
        }
        let mut budget = self.retry_budget.borrow_mut();
        if !budget.try_take_retry(&call.service, now_ms) {
            return RetryStep::Borrow;
        }
        drop(budget);
        call.retry_charged_ms = Some(now_ms);
        self.count_retry(&call.service, RetryDecision::Own);
        RetryStep::Allowed
    }

    /// Returns whether a request may be sent to one more upstream, after asking peers for a retry if this
    /// entry has none left.
    pub async fn allow_retry(&self, call: &mut Call) -> bool {
        match self.take_retry(call) {
            RetryStep::Allowed => true,
            RetryStep::Borrow => self.borrow_retry_for(call).await,
            RetryStep::Denied => false,
        }
    }

    async fn borrow_retry_for(&self, call: &mut Call) -> bool {
        let asked_ms = self.now_ms();
        if self.borrow_retry(&call.service).await {
            call.retry_charged_ms = Some(asked_ms);
            self.count_retry(&call.service, RetryDecision::Borrowed);
            return true;
        }
        self.count_retry(&call.service, RetryDecision::Denied);
        self.log_denied_retry(call);
        false
    }

    /// Borrows a retry at a service from a peer that has not used up its share. Returns whether one was
    /// lent.
    async fn borrow_retry(&self, service: &Arc<str>) -> bool {
        if self.now_ms() < self.no_loans_until_ms.get() {
            return false;
        }
        let lenders = self.peers.borrow().retry_lenders(self.now_ms());
        let asked: Vec<SocketAddr> = lenders
            .choose_multiple(&mut rand::rng(), MAX_LENDERS)
            .copied()
            .collect();
        for lender in asked {
            let mut pending = self.pending_loans.open(rand::random());
            let request = PeerMessage::BorrowRetry {
                request_id: pending.id,
                service: Arc::clone(service),
            };
            self.send_to_peer(lender, &request);
            let until = Instant::now() + Duration::from_millis(REPLY_TIMEOUT_MS);
            if pending.next_until(until).await == Some(true) {
                return true;
            }
        }
        self.no_loans_until_ms.set(self.now_ms() + REFUSED_PAUSE_MS);
        false
    }

    /// Lends a retry to a peer if this entry's share allows it, and replies.
    pub fn lend_retry(&self, to: SocketAddr, request_id: PeerRequestId, service: &Arc<str>) {
        let is_lent = self
            .retry_budget
            .borrow_mut()
            .try_lend_retry(service, self.now_ms());
        if is_lent {
            self.count_retry(service, RetryDecision::Lent);
        }
        let reply = PeerMessage::RetryLent {
            request_id,
            is_lent,
        };
        self.send_to_peer(to, &reply);
    }

    /// Counts a request that is being sent to one more upstream.
    pub fn record_retry_sent(&self, call: &mut Call) {
        let charged_ms = call.retry_charged_ms.take();
        if call.tried_upstreams.len() < 2 {
            return;
        }
        let retries = &self.metrics.retries;
        retries.sent.with_label_values(&[&*call.service]).inc();
        if let Some(charged_ms) = charged_ms {
            let waited_ms = self.now_ms().saturating_sub(charged_ms);
            retries.sent_after_ms.observe(numbers::as_f64(waited_ms));
        }
    }

    /// Divides the slack of the retry budget among so many entries.
    pub fn divide_retry_slack(&self, entries: usize) {
        let mut budget = self.retry_budget.borrow_mut();
        let before = budget.entry_count();
        budget.set_entry_count(entries);
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
                .field("left", usage.left)
                .field("slack_share", usage.slack_share)
                .field("entries", entries)
                .field("counted_for_ms", now_ms)
        });
    }
}
