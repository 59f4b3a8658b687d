//! Takes what upstreams say of themselves out of their answers, acts on it, and tells the other
//! entries and operators.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use serde_json::Value;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::direct::membership::gossip;
use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::notices::notice::UpstreamNotice;
use crate::direct::notices::upstream_notices::NoticeChange;
use crate::direct::notices::upstream_state::NoticeUpdate;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::request::call::Call;
use crate::direct::request::headers::ResponseHeaders;
use crate::direct::sharing::admission::EntryRef;
use crate::direct::store_view::directory::Upstream;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::numbers;

/// Limits are told in requests in so many seconds.
const LIMIT_S: f64 = 1_000.0;

impl TrafficState {
    /// Takes the longest rest that an upstream is given, whatever it asks for.
    pub fn set_max_backoff(&self, longest: Duration) {
        let longest_ms = u64::try_from(longest.as_millis()).unwrap_or(u64::MAX);
        let mut notices = self.notices.borrow_mut();
        notices.set_max_backoff_ms(longest_ms);
    }

    /// Takes what an answer says of the upstream that gave it.
    pub fn record_notice(
        self: &Rc<Self>,
        call: &Call,
        upstream: &Upstream,
        answer: &ResponseHeaders,
    ) {
        let says_nothing = answer.notice == UpstreamNotice::default();
        if says_nothing && self.notices.borrow().is_empty() || !speaks_for_itself(call, answer) {
            return;
        }
        let now_ms = self.now_ms();
        let instance = &upstream.instance;
        let mut notices = self.notices.borrow_mut();
        let changes = notices.record(instance, &answer.notice, now_ms);
        let is_repeat_due = notices.take_due_resend(instance, now_ms);
        drop(notices);
        if changes.iter().any(NoticeChange::is_shared) {
            self.tell_some_notices(self.notices_of(instance), usize::MAX);
            self.update_eligible_upstreams();
            self.grant_slots();
        } else if !changes.is_empty() {
            self.apply_notices();
        } else if !says_nothing && is_repeat_due {
            self.tell_keeper(instance);
        }
        for change in changes {
            self.log_notice(call, upstream, &change);
        }
    }

    /// Takes a peer's word of what upstreams have said.
    pub fn merge_notice_updates(self: &Rc<Self>, from: SocketAddr, told: &[NoticeUpdate]) {
        let now_ms = self.now_ms();
        let mut notices = self.notices.borrow_mut();
        let changed = notices.merge(told, now_ms);
        let news = notices.updates_for(&changed, now_ms);
        drop(notices);
        if news.is_empty() {
            return;
        }
        self.log(Level::Info, "peer tells what upstreams say", |line| {
            let names = changed.iter().map(|name| self.upstream_name(*name));
            line.field("peer", from)
                .field("upstreams", names.collect::<Vec<_>>())
        });
        self.tell_some_notices(news, gossip::FORWARD_PEERS);
        self.update_eligible_upstreams();
        self.grant_slots();
    }

    /// Tells a peer what is known that has started, or was silent.
    pub fn sync_notices_to(&self, peer: SocketAddr) {
        if self.notices.borrow().is_empty() || !self.should_sync_peer() {
            return;
        }
        let told = self.notices.borrow_mut().next_updates(self.now_ms());
        if !told.is_empty() {
            self.send_to_peer(peer, &PeerMessage::UpstreamNotices(told));
        }
    }

    /// Forgets what concerns no upstream any more, and tells one peer a part of the rest: it makes
    /// up for lost datagrams and for what an entry missed that was cut off.
    pub fn maintain_notices(&self) {
        if self.notices.borrow().is_empty() {
            return;
        }
        let listed = self.rollouts.borrow().upstream_names();
        let mut notices = self.notices.borrow_mut();
        notices.expire(&listed, self.now_ms());
        let told = notices.next_updates(self.now_ms());
        drop(notices);
        self.tell_some_notices(told, gossip::RESEND_PEERS);
    }

    /// Lets doors and placement go by what upstreams say.
    pub fn apply_notices(&self) {
        let notices = self.notices.borrow();
        let limits = notices.limits();
        let limited: IndexSet<u32> = limits.keys().copied().collect();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_limited(&limited);
        dispatcher.set_backoffs(&notices.backoffs(self.now_ms()));
        drop(dispatcher);
        let mut admission = self.admission.borrow_mut();
        admission.set_limits(limits, self.now_ms());
    }

    /// What operators see of what upstreams say, by the upstreams' names.
    #[must_use]
    pub fn notices_json(&self) -> Vec<Value> {
        let notices = self.notices.borrow();
        let shown = notices.shown(self.now_ms());
        shown
            .map(|(name, shown)| json!({"upstream": self.upstream_name(name), "says": shown}))
            .collect()
    }

    /// The name of an upstream as logs give it; its short name if it is not listed.
    fn upstream_name(&self, short: u32) -> String {
        let book = self.rollouts.borrow();
        let mut listed = book.upstreams().iter();
        let upstream = listed.find(|upstream| upstream_hash(&upstream.instance) == short);
        upstream.map_or_else(|| short.to_string(), |found| found.instance.to_string())
    }

    /// Grants again when the rate of a limited upstream allows it.
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

    fn tell_some_notices(&self, told: Vec<NoticeUpdate>, most: usize) {
        if !told.is_empty() {
            self.send_to_random_peers(&PeerMessage::UpstreamNotices(told), most);
        }
    }

    /// Tells the keeper of an upstream's door, which may have missed it.
    fn tell_keeper(&self, instance: &str) {
        let told = self.notices_of(instance);
        if !told.is_empty()
            && let EntryRef::Peer(keeper) = self.owner(upstream_hash(instance))
        {
            self.send_to_peer(keeper, &PeerMessage::UpstreamNotices(told));
        }
    }

    /// What peers are told of an upstream.
    fn notices_of(&self, instance: &str) -> Vec<NoticeUpdate> {
        self.notices
            .borrow()
            .updates_for_instance(instance, self.now_ms())
    }

    fn log_notice(&self, call: &Call, upstream: &Upstream, change: &NoticeChange) {
        let message = match change {
            NoticeChange::Limited(_) => "upstream limits its requests",
            NoticeChange::Unlimited => "upstream no longer limits its requests",
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
                NoticeChange::Limited(limit) => {
                    line.field("requests_per_s", numbers::as_f64((*limit).into()) / LIMIT_S)
                }
                NoticeChange::Unlimited | NoticeChange::Leaving => line,
                NoticeChange::BackingOff(backoff_ms) => line.field("rest_ms", backoff_ms),
                NoticeChange::InvalidLimit(text) | NoticeChange::InvalidBackoff(text) => {
                    line.field("text", text)
                }
            }
        });
    }
}

/// Whether an answer comes from the upstream that was asked, and belongs to the request. One that
/// turns a request away before it has read it may not name it.
fn speaks_for_itself(call: &Call, answer: &ResponseHeaders) -> bool {
    let is_unnamed = answer.is_not_run && answer.request_id.is_none();
    !answer.is_misdirected && (is_unnamed || answer.request_id == call.request_id)
}
