//! Drives [`notices`]: records the notices of answers, applies them to admission and placement, and
//! sends them to the other entries and to operators.
//!
//! [`notices`]: crate::direct::notices

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use indexmap::IndexSet;
use serde_json::Value;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::direct::membership::gossip;
use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::notices::limit_end::LimitReport;
use crate::direct::notices::limit_end::LimitStep;
use crate::direct::notices::limit_end::QUIET_MS;
use crate::direct::notices::notice::NoticeField;
use crate::direct::notices::notice::UpstreamNotice;
use crate::direct::notices::upstream_notices::ANSWER_RESEND_MS;
use crate::direct::notices::upstream_notices::NoticeChange;
use crate::direct::notices::upstream_notices::REQUEST_RESEND_MS;
use crate::direct::notices::upstream_state::NoticeUpdate;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::request::call::Call;
use crate::direct::request::headers::ResponseHeaders;
use crate::direct::sharing::admission::EntryRef;
use crate::direct::store_view::directory::LeavingUpstream;
use crate::direct::store_view::directory::Upstream;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::numbers;

/// Removed upstreams that a peer is told in a datagram, and in all.
const REMOVALS_PER_DATAGRAM: usize = 16;
const MAX_TOLD_REMOVALS: usize = 128;

/// Time after an answer without a limit until the limit is checked, unless more answers come.
const LIMIT_CHECK_AFTER: Duration = Duration::from_millis(QUIET_MS.unsigned_abs());
/// Time between two steps of the rate that rises after the end of a limit.
const RATE_STEP: Duration = Duration::from_millis(100);

/// Number of seconds to which a limit refers.
const LIMIT_PERIOD_S: f64 = 1_000.0;

impl TrafficState {
    /// Sets the longest backoff that an upstream is granted, whatever it asks for.
    pub fn set_max_backoff(&self, longest: Duration) {
        let longest_ms = numbers::whole_ms(longest);
        let mut notices = self.notices.borrow_mut();
        notices.set_max_backoff_ms(longest_ms);
    }

    /// Records the notice of an answer, and acts on what it changed.
    pub fn record_notice(
        self: &Rc<Self>,
        call: &Call,
        upstream: &Upstream,
        status: StatusCode,
        answer: &ResponseHeaders,
    ) {
        let is_empty = answer.notice == UpstreamNotice::default();
        if is_empty && self.notices.borrow().is_empty() || !is_from_upstream(call, answer) {
            return;
        }
        let report = limit_report(status, answer);
        let mut notice = answer.notice.clone();
        if report.is_none() {
            notice.limit_per_1000_s = NoticeField::Absent;
        }
        let now_ms = self.now_ms();
        let instance = &upstream.instance;
        let mut notices = self.notices.borrow_mut();
        let changes = notices.record(instance, &notice, now_ms);
        drop(notices);
        if changes.iter().any(NoticeChange::is_shared) {
            self.send_notice_updates(self.notice_updates_for(instance), usize::MAX);
            self.update_eligible_upstreams();
            self.grant_slots();
        } else if !changes.is_empty() {
            self.apply_notices();
        } else if !is_empty {
            self.resend_notices_to_owner(instance, ANSWER_RESEND_MS);
        }
        for change in changes {
            self.log_notice(call, upstream, &change);
        }
        if let Some(report) = report {
            self.report_limit(instance, report);
        }
    }

    /// Tells the owner of an upstream's admission queue what an answer said of the limit in force.
    fn report_limit(self: &Rc<Self>, instance: &str, report: LimitReport) {
        let upstream = upstream_hash(instance);
        if !self.notices.borrow().is_limited(upstream) {
            return;
        }
        if report != LimitReport::Stated {
            let omitted = &self.metrics.omitted_limits;
            omitted.with_label_values(&[report.name()]).inc();
        }
        match self.owner(upstream) {
            EntryRef::Local => self.handle_limit_report(upstream, report),
            EntryRef::Peer(owner) if self.peers.borrow().knows_limit_reports(owner) => {
                self.send_to_peer(owner, &PeerMessage::LimitReport { upstream, report });
            }
            EntryRef::Peer(_) => {}
        }
    }

    /// Handles what an answer said of the limit of an upstream whose admission queue this entry owns.
    pub fn handle_limit_report(self: &Rc<Self>, upstream: u32, report: LimitReport) {
        let answer_ms = self.admission.borrow().usual_hold_ms(upstream);
        let mut notices = self.notices.borrow_mut();
        let step = notices.record_limit_report(upstream, report, answer_ms, self.now_ms());
        drop(notices);
        let is_probed = step == LimitStep::Probe;
        let mut admission = self.admission.borrow_mut();
        let unanswered = admission.record_answer(upstream, is_probed);
        drop(admission);
        if let Some(unanswered) = unanswered {
            self.log(Level::Info, "limited upstream answers again", |line| {
                line.field("upstream", self.upstream_name(upstream))
                    .field("unanswered_starts", unanswered)
            });
        }
        match step {
            LimitStep::Keep => {}
            LimitStep::Probe => self.schedule_limit_check(upstream),
            LimitStep::End => self.end_limit(upstream),
            LimitStep::Resume => self.resume_limit(upstream),
        }
        self.grant_slots();
    }

    /// Checks later whether a limit has ended, if no further answer shows it by then.
    fn schedule_limit_check(self: &Rc<Self>, upstream: u32) {
        let traffic = Rc::clone(self);
        spawn_local(async move {
            sleep(LIMIT_CHECK_AFTER).await;
            let answer_ms = traffic.admission.borrow().usual_hold_ms(upstream);
            let mut notices = traffic.notices.borrow_mut();
            let step = notices.check_limit(upstream, answer_ms, traffic.now_ms());
            drop(notices);
            if step == LimitStep::End {
                traffic.end_limit(upstream);
            }
        });
    }

    /// Tells the other entries that a limit is in force again.
    fn resume_limit(&self, upstream: u32) {
        const MESSAGE: &str = "limit of upstream has not ended";
        self.metrics.notices.with_label_values(&[MESSAGE]).inc();
        self.log(Level::Warn, MESSAGE, |line| {
            line.field("upstream", self.upstream_name(upstream))
        });
        self.announce_limit(upstream);
    }

    /// Tells the other entries that a limit has ended, and lets the rate of starts rise.
    fn end_limit(self: &Rc<Self>, upstream: u32) {
        const MESSAGE: &str = "limit of upstream has ended";
        let omissions = self.notices.borrow().limit_omissions(upstream);
        self.metrics.notices.with_label_values(&[MESSAGE]).inc();
        self.log(Level::Warn, MESSAGE, |line| {
            line.field("upstream", self.upstream_name(upstream))
                .field("answers_without_limit", omissions)
        });
        self.announce_limit(upstream);
        self.follow_rate_rise(upstream);
    }

    /// Sends a limit or its end to the other entries, and applies it here.
    fn announce_limit(&self, upstream: u32) {
        let updates = self
            .notices
            .borrow()
            .updates_for(&[upstream], self.now_ms());
        self.send_notice_updates(updates, usize::MAX);
        self.update_eligible_upstreams();
    }

    /// Applies the rate that rises after the end of a limit until it is free.
    fn follow_rate_rise(self: &Rc<Self>, upstream: u32) {
        let traffic = Rc::clone(self);
        spawn_local(async move {
            loop {
                let has_ended = !traffic.apply_rates().contains(&upstream);
                traffic.grant_slots();
                if has_ended || traffic.notices.borrow().is_limited(upstream) {
                    return;
                }
                sleep(RATE_STEP).await;
            }
        });
    }

    /// Applies limits, and rates that rise after the end of a limit, to the admission queues. Returns the
    /// upstreams concerned.
    fn apply_rates(&self) -> IndexSet<u32> {
        let now_ms = self.now_ms();
        let rates = self.notices.borrow().rates(now_ms);
        let upstreams = rates.keys().copied().collect();
        self.admission.borrow_mut().set_limits(rates, now_ms);
        upstreams
    }

    /// Records the upstreams that the list shows to leave.
    ///
    /// All entries get the list, so only those are sent to the peers at once that the list has come to
    /// show as taking requests. Entries that start later learn of all from their peers.
    pub fn record_listed_leaving(&self, leaving: &[LeavingUpstream]) {
        let now_ms = self.now_ms();
        let mut notices = self.notices.borrow_mut();
        let newly_revoked = notices.record_listed_leaving(leaving, now_ms);
        let updates = notices.updates_for(&newly_revoked, now_ms);
        drop(notices);
        self.send_notice_updates(updates, usize::MAX);
    }

    /// Merges a peer's updates of notices, acts on what changed, and forwards it.
    pub fn merge_notice_updates(self: &Rc<Self>, from: SocketAddr, updates: &[NoticeUpdate]) {
        let now_ms = self.now_ms();
        let mut notices = self.notices.borrow_mut();
        let changed = notices.merge(updates, now_ms);
        let changed_updates = notices.updates_for(&changed, now_ms);
        drop(notices);
        if changed_updates.is_empty() {
            return;
        }
        self.log(
            Level::Info,
            "received upstream notices from a peer",
            |line| {
                let names = changed.iter().map(|hash| self.upstream_name(*hash));
                line.field("peer", from)
                    .field("upstreams", names.collect::<Vec<_>>())
            },
        );
        self.send_notice_updates(changed_updates, gossip::FORWARD_PEERS);
        self.update_eligible_upstreams();
        self.grant_slots();
        for upstream in changed {
            if self.notices.borrow().is_rate_rising(upstream, now_ms) {
                self.follow_rate_rise(upstream);
            }
        }
    }

    /// Sends the known notices to a peer that has started or was silent.
    pub fn sync_notices_to(&self, peer: SocketAddr) {
        self.notices.borrow_mut().make_resends_due();
        if self.notices.borrow().is_empty() || !self.should_sync_peer() {
            return;
        }
        let updates = self.notices.borrow_mut().next_updates(self.now_ms());
        if !updates.is_empty() {
            self.send_to_peer(peer, &PeerMessage::UpstreamNotices(updates));
        }
    }

    /// Sends the incarnations that were removed lately to a peer that has started or was silent.
    pub fn sync_removals_to(&self, peer: SocketAddr) {
        let removed = self.removed_upstreams.borrow();
        if removed.is_empty() || !self.should_sync_peer() {
            return;
        }
        let told = &removed[..removed.len().min(MAX_TOLD_REMOVALS)];
        for instances in told.chunks(REMOVALS_PER_DATAGRAM) {
            self.send_to_peer(peer, &PeerMessage::RemovedUpstreams(instances.to_vec()));
        }
    }

    /// Drops expired state, and resends a part of the remaining state to one peer. That makes up for
    /// lost datagrams and for updates that a disconnected entry missed.
    pub fn maintain_notices(&self) {
        if self.notices.borrow().is_empty() {
            return;
        }
        let listed = self.rollouts.borrow().upstream_names();
        let mut notices = self.notices.borrow_mut();
        notices.expire(&listed, self.now_ms());
        let updates = notices.next_updates(self.now_ms());
        drop(notices);
        self.send_notice_updates(updates, gossip::RESEND_PEERS);
    }

    /// Applies limits and backoffs to admission and placement.
    pub fn apply_notices(&self) {
        let notices = self.notices.borrow();
        let limits = notices.limits();
        let limited: IndexSet<u32> = limits.keys().copied().collect();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_limited(&limited);
        dispatcher.set_backoffs(&notices.backoffs(self.now_ms()));
        drop(dispatcher);
        drop(notices);
        self.apply_rates();
    }

    /// Returns the states of upstreams for operators, by the upstreams' names.
    #[must_use]
    pub fn notices_json(&self) -> Vec<Value> {
        let notices = self.notices.borrow();
        let views = notices.views(self.now_ms());
        views
            .map(|(hash, view)| json!({"upstream": self.upstream_name(hash), "says": view}))
            .collect()
    }

    /// Returns the name of an upstream for logs, or its hash if it is not listed.
    fn upstream_name(&self, hash: u32) -> String {
        if let Some(instance) = self.notices.borrow().instance(hash) {
            return instance.to_string();
        }
        let book = self.rollouts.borrow();
        let mut listed = book.upstreams().iter();
        let upstream = listed.find(|upstream| upstream_hash(&upstream.instance) == hash);
        upstream.map_or_else(|| hash.to_string(), |found| found.instance.to_string())
    }

    /// Schedules the next grant for the time at which the rate limit of an upstream allows it.
    pub fn schedule_rate_limited_grant(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        let Some(after_ms) = self.admission.borrow().next_grant_in_ms(now_ms) else {
            return;
        };
        let due_ms = now_ms + after_ms.max(1);
        if self
            .rate_wakeup_at_ms
            .get()
            .is_some_and(|at_ms| at_ms <= due_ms)
        {
            return;
        }
        self.rate_wakeup_at_ms.set(Some(due_ms));
        let traffic = Rc::clone(self);
        spawn_local(async move {
            sleep(Duration::from_millis(due_ms - now_ms)).await;
            if traffic.rate_wakeup_at_ms.get() == Some(due_ms) {
                traffic.rate_wakeup_at_ms.set(None);
                traffic.grant_slots();
            }
        });
    }

    /// Sends updates to up to `most` random peers.
    fn send_notice_updates(&self, updates: Vec<NoticeUpdate>, most: usize) {
        if !updates.is_empty() {
            self.send_to_random_peers(&PeerMessage::UpstreamNotices(updates), most);
        }
    }

    /// Tells the owner of a limited upstream's admission queue the limit before a slot is requested there,
    /// from time to time. An owner that has just started would grant all requests at once.
    pub fn tell_limit_to_owner(&self, upstream: u32, instance: &str) {
        if self.notices.borrow().is_limited(upstream) {
            self.resend_notices_to_owner(instance, REQUEST_RESEND_MS);
        }
    }

    /// Resends an upstream's notices to the owner of its admission queue, which may have missed them, unless
    /// that was done within the interval.
    fn resend_notices_to_owner(&self, instance: &str, interval_ms: u64) {
        let now_ms = self.now_ms();
        let mut notices = self.notices.borrow_mut();
        let is_due = notices.take_due_resend(instance, interval_ms, now_ms);
        drop(notices);
        if !is_due {
            return;
        }
        let updates = self.notice_updates_for(instance);
        if !updates.is_empty()
            && let EntryRef::Peer(owner) = self.owner(upstream_hash(instance))
        {
            self.send_to_peer(owner, &PeerMessage::UpstreamNotices(updates));
        }
    }

    /// Returns the updates to send to peers for one upstream.
    fn notice_updates_for(&self, instance: &str) -> Vec<NoticeUpdate> {
        self.notices
            .borrow()
            .updates_for_instance(instance, self.now_ms())
    }

    fn log_notice(&self, call: &Call, upstream: &Upstream, change: &NoticeChange) {
        let message = match change {
            NoticeChange::Limited(_) => "upstream limits its requests",
            NoticeChange::InvalidLimit(_) => "upstream's limit can't be read",
            NoticeChange::Leaving => "upstream says that it leaves",
            NoticeChange::BackingOff(_) => "upstream asks for rest",
            NoticeChange::InvalidBackoff(_) => "upstream's time of rest can't be read",
        };
        let notices = &self.metrics.notices;
        notices.with_label_values(&[message]).inc();
        self.log(Level::Warn, message, |line| {
            let line = line
                .field("upstream", &upstream.instance)
                .field("service", &upstream.service)
                .field("request", call.name());
            match change {
                NoticeChange::Limited(limit) => line.field(
                    "requests_per_s",
                    numbers::as_f64((*limit).into()) / LIMIT_PERIOD_S,
                ),
                NoticeChange::Leaving => line,
                NoticeChange::BackingOff(backoff_ms) => line.field("rest_ms", backoff_ms),
                NoticeChange::InvalidLimit(text) | NoticeChange::InvalidBackoff(text) => {
                    line.field("text", text)
                }
            }
        });
    }
}

/// Returns what an answer says of its upstream's limit; nothing if it may come from anybody else.
fn limit_report(status: StatusCode, answer: &ResponseHeaders) -> Option<LimitReport> {
    if !answer.is_authentic && !answer.is_not_run {
        return None;
    }
    match answer.notice.limit_per_1000_s {
        NoticeField::Value(_) | NoticeField::Invalid(_) => Some(LimitReport::Stated),
        NoticeField::Absent if answer.is_not_run || status.is_server_error() => {
            Some(LimitReport::OmittedByFailure)
        }
        NoticeField::Absent => Some(LimitReport::Omitted),
    }
}

/// Returns whether an answer comes from the intended upstream and belongs to the request. An answer
/// that declines a request before reading it may lack the request ID.
fn is_from_upstream(call: &Call, answer: &ResponseHeaders) -> bool {
    let is_unnamed = answer.is_not_run && answer.request_id.is_none();
    !answer.is_misdirected && (is_unnamed || answer.request_id == call.request_id)
}
