//! Messages of entries, and the arrival, refusal and removal of reservations.

use super::AgentState;
use super::dispatch::Dispatch;
use super::kv_tokens;
use crate::agent::events::AgentStep;
use crate::agent::events::LinkId;
use crate::agent::reservation_queue::QueuedReservation;
use crate::ids::RequestId;
use crate::link::wire::AgentMessage;
use crate::link::wire::EntryMessage;
use crate::link::wire::RefusalReason;
use crate::link::wire::Reservation;

impl AgentState {
    pub(super) fn send(&mut self, link: LinkId, message: AgentMessage) {
        if self.links.contains(&link) {
            self.steps.push(AgentStep::Send { link, message });
        }
    }

    pub(super) fn handle_message(&mut self, now_ms: u64, link: LinkId, message: EntryMessage) {
        if !self.links.contains(&link) {
            return;
        }
        match message {
            // The reader of the link handles heartbeats and acknowledgements.
            EntryMessage::Heartbeat { .. } | EntryMessage::Acknowledge { .. } => {}
            EntryMessage::Hello(_) => self.steps.push(AgentStep::CloseLink {
                link,
                reason: "second hello".into(),
            }),
            EntryMessage::Reserve(reservation) => self.reserve(now_ms, link, reservation),
            EntryMessage::Withdraw { request } => self.withdraw(link, request),
            EntryMessage::Decline { grant } => {
                if let Some(pending) = self.grants.answer(grant, link) {
                    self.queue.refund(&pending.queued);
                }
            }
            EntryMessage::Dispatch {
                grant,
                attempt,
                retain,
                call,
            } => {
                let dispatch = Dispatch {
                    grant,
                    attempt,
                    retain,
                    call,
                };
                self.dispatch(now_ms, link, dispatch);
            }
            EntryMessage::Cancel { attempt } => self.cancel_unwanted(now_ms, link, attempt),
            EntryMessage::Settle { attempt, grant } => self.settle(now_ms, link, attempt, grant),
            EntryMessage::Resume {
                attempt,
                from_bytes,
            } => self.resume(link, attempt, from_bytes),
        }
    }

    fn reserve(&mut self, now_ms: u64, link: LinkId, reservation: Reservation) {
        let request = reservation.request;
        if let Some(reason) = self.reason_to_refuse(&reservation) {
            return self.refuse(link, request, reason);
        }
        let work_us = self.speeds.work_us(
            &reservation.target,
            reservation.prompt_tokens,
            reservation.expected_output_tokens,
        );
        let deadline_ms = now_ms + reservation.deadline_in_ms;
        let queued = QueuedReservation {
            link,
            arrived_ms: now_ms,
            deadline_ms,
            latest_start_ms: deadline_ms.saturating_sub(work_us / 1_000),
            // Until a speed is known, the number of tokens stands in for the time.
            cost_us: work_us.max(kv_tokens(&reservation)).max(1),
            reservation,
        };
        if self.is_too_late(now_ms, &queued) {
            return self.refuse(link, request, RefusalReason::TooLate);
        }
        self.queue.insert(queued);
        if self.queue.len() > self.limits.queue_limit
            && let Some(last) = self.queue.last()
        {
            let request = last.reservation.request;
            self.refuse_queued(request, RefusalReason::Crowded);
        }
    }

    fn reason_to_refuse(&self, reservation: &Reservation) -> Option<RefusalReason> {
        let Some(upstream) = &self.upstream else {
            return Some(RefusalReason::Leaving);
        };
        let never_fits = upstream
            .kv_capacity_tokens
            .is_some_and(|capacity| kv_tokens(reservation) > capacity);
        if self.is_leaving() {
            Some(RefusalReason::Leaving)
        } else if !upstream.can_serve(&reservation.target) || never_fits {
            Some(RefusalReason::NotServed)
        } else if self.attempts.was_sent(reservation.request)
            || self.attempts.is_live(reservation.request)
        {
            Some(RefusalReason::AlreadySent)
        } else if self.health.is_down() {
            Some(RefusalReason::UpstreamDown)
        } else {
            None
        }
    }

    /// Returns whether the deadline can't be met at the measured speed.
    ///
    /// While nothing runs there are no new samples, and a speed measured during a slowdown
    /// would refuse all requests forever. An idle upstream therefore tries one request at a
    /// time unless its deadline has passed.
    pub(super) fn is_too_late(&self, now_ms: u64, queued: &QueuedReservation) -> bool {
        let reservation = &queued.reservation;
        let work_us = if self.in_upstream() == 0 {
            0
        } else {
            self.speeds.work_us(
                &reservation.target,
                reservation.prompt_tokens,
                reservation.expected_output_tokens,
            )
        };
        now_ms + work_us / 1_000 > queued.deadline_ms
    }

    fn withdraw(&mut self, link: LinkId, request: RequestId) {
        let is_own = self
            .queue
            .get(request)
            .is_some_and(|queued| queued.link == link);
        if is_own {
            self.queue.remove(request);
        }
    }

    fn refuse(&mut self, link: LinkId, request: RequestId, reason: RefusalReason) {
        let retry_after_ms = match reason {
            RefusalReason::Crowded => u64::from(self.load().backlog_ms),
            RefusalReason::UpstreamDown => self.limits.probe_ms,
            RefusalReason::Leaving
            | RefusalReason::NotServed
            | RefusalReason::TooLate
            | RefusalReason::AlreadySent => 0,
        };
        let message = AgentMessage::Refuse {
            request,
            reason,
            retry_after_ms,
        };
        self.send(link, message);
    }

    /// Removes a reservation from the queue and refuses it.
    pub(super) fn refuse_queued(&mut self, request: RequestId, reason: RefusalReason) {
        if let Some(queued) = self.queue.remove(request) {
            self.refuse(queued.link, request, reason);
        }
    }

    /// Refuses all reservations and revokes all grants, so that no further request is
    /// dispatched: a dispatch in transit finds no grant and is answered with `NotSent`.
    pub(super) fn refuse_all(&mut self, reason: RefusalReason) {
        let mut requests: Vec<_> = self.queue.requests().collect();
        requests.sort_unstable();
        for (request, _) in requests {
            self.refuse_queued(request, reason);
        }
        for pending in self.grants.revoke(|_| true) {
            self.queue.refund(&pending.queued);
        }
    }

    pub(super) fn handle_link_lost(&mut self, now_ms: u64, link: LinkId) {
        self.links.swap_remove(&link);
        let lost: Vec<_> = self.queue.requests_on_link(link).collect();
        for request in lost {
            self.queue.remove(request);
        }
        for pending in self.grants.revoke(|pending| pending.queued.link == link) {
            self.queue.refund(&pending.queued);
        }
        self.detach(now_ms, link);
    }
}
