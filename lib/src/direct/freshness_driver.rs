//! Drives [`freshness`] and [`list_use`]: records when the configuration and the list of upstreams were
//! confirmed, tells how old they are, and has the list confirmed before requests are sent by an old one.
//!
//! [`freshness`]: crate::direct::store_view::freshness
//! [`list_use`]: crate::direct::store_view::list_use

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::direct::membership::peer_message::ListWord;
use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::membership::store_role;
use crate::direct::replication::store_follower::ListCall;
use crate::direct::replication::store_follower::ListCallOutcome;
use crate::direct::request::call::Call;
use crate::direct::store_view::directory::Upstream;
use crate::direct::store_view::freshness::CatalogMark;
use crate::direct::store_view::freshness::ConfirmedBy;
use crate::direct::store_view::freshness::FreshnessStep;
use crate::direct::store_view::freshness::ListMark;
use crate::direct::store_view::lapses::Lapses;
use crate::direct::store_view::list_use::CONFIRM_WAIT_MS;
use crate::direct::store_view::list_use::ConfirmStep;
use crate::direct::store_view::list_use::ListUse;
use crate::direct::store_view::list_use::PEER_REPLY_WAIT_MS;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::numbers;
use crate::store::position::StorePosition;

/// Peers whose questions are kept at a time.
const MAX_LIST_ASKERS: usize = 1_024;

impl TrafficState {
    /// Records that the configuration was the newest one at a time.
    pub fn confirm_catalog(&self, at_ms: u64, by: ConfirmedBy) {
        let mut freshness = self.catalog_freshness.get();
        freshness.confirm(at_ms, by);
        self.catalog_freshness.set(freshness);
    }

    /// Records up to when the store's answers to this entry cover what it uses.
    pub fn take_store_response(&self) {
        let own = self.revisions.get();
        if let Some(as_of) = self.last_store_response.catalog_as_of(own) {
            self.confirm_catalog(self.ms_at(as_of), ConfirmedBy::Store);
        }
        if let Some(as_of) = self.last_store_response.list_as_of(own) {
            self.confirm_list(self.ms_at(as_of), ConfirmedBy::Store);
        }
    }

    /// Compares the configuration's age with the time that changes may take, and logs when it passes
    /// that or no longer does. Returns whether it is older.
    pub fn check_catalog_age(&self) -> bool {
        let mut freshness = self.catalog_freshness.get();
        let bound_ms = self.config_bound_ms.get();
        match freshness.check(self.now_ms(), bound_ms) {
            FreshnessStep::Unchanged => {}
            FreshnessStep::BecameStale { age_ms } => {
                self.log(Level::Warn, "configuration may be out of date", |line| {
                    line.field("age_ms", age_ms).field("bound_ms", bound_ms)
                });
            }
            FreshnessStep::BecameFresh => {
                self.log(Level::Info, "configuration is confirmed again", |line| line);
            }
        }
        self.catalog_freshness.set(freshness);
        freshness.is_stale()
    }

    /// Returns the version and the age of the configuration in force, for logs.
    #[must_use]
    pub fn catalog_mark(&self) -> CatalogMark {
        self.take_store_response();
        let catalog = self.catalog.borrow();
        CatalogMark {
            version: catalog.as_ref().map(|catalog| catalog.version),
            age_ms: self.catalog_freshness.get().age_ms(self.now_ms()),
        }
    }

    /// Records that the list of upstreams was the newest one at a time.
    pub fn confirm_list(&self, at_ms: u64, by: ConfirmedBy) {
        let mut freshness = self.list_freshness.get();
        freshness.confirm(at_ms, by);
        self.list_freshness.set(freshness);
    }

    /// Returns the position and the age of the list of upstreams, for logs.
    #[must_use]
    pub fn list_mark(&self) -> ListMark {
        self.take_store_response();
        let freshness = self.list_freshness.get();
        ListMark {
            revision: self.revisions.get().directory,
            age_ms: freshness.age_ms(self.now_ms()),
            confirmed_by: freshness.confirmed_by(),
        }
    }

    /// Measures and logs how long upstreams may have been used that a new list lacks. The list was last
    /// confirmed before they left.
    pub fn record_departures(&self, usable: &[Arc<Upstream>]) {
        let usable: IndexSet<&str> = usable.iter().map(|upstream| &*upstream.instance).collect();
        let mark = self.list_mark();
        let book = self.rollouts.borrow();
        let departed = book
            .upstreams()
            .iter()
            .filter(|upstream| !usable.contains(&*upstream.instance));
        for upstream in departed {
            if let Some(known_within_ms) = mark.age_ms {
                let histogram = &self.metrics.leaving_known_within_ms;
                histogram.observe(numbers::as_f64(known_within_ms));
            }
            self.log(Level::Info, "upstream is not used any more", |line| {
                let line = line
                    .field("upstream", &upstream.instance)
                    .field("service", &upstream.service);
                mark.add_log_fields(line)
            });
        }
    }

    /// Counts and logs a request that is sent by a list which is older than upstreams may take to leave.
    pub fn check_list_of_sent(&self, call: &Call, upstream: &Upstream) {
        let bound_ms = self.drain_bound_ms.get();
        if call.list.age_ms.is_some_and(|age_ms| age_ms <= bound_ms) {
            return;
        }
        self.metrics.sent_by_old_list.inc();
        self.log(Level::Warn, "request is sent by an old list", |line| {
            let line = line
                .field("request", call.name())
                .field("upstream", &upstream.instance)
                .field("bound_ms", bound_ms);
            call.list.add_log_fields(line)
        });
    }

    /// Returns what is done with the list before a request is sent by it.
    #[must_use]
    pub fn list_use(&self) -> ListUse {
        ListUse::at(self.list_mark().age_ms, self.drain_bound_ms.get())
    }

    /// Takes the upstreams that are used until some time although the store does not list them.
    pub fn set_missing_upstreams(&self, may_have_lapsed: Arc<IndexMap<Arc<str>, Instant>>) {
        *self.may_have_lapsed.borrow_mut() = may_have_lapsed;
        self.expired_missing.borrow_mut().clear();
    }

    /// Stops using upstreams that the store does not list once their time is over, or a peer has told that
    /// there was no outage in which they might have lapsed. The control thread removes them from the list
    /// a moment later. Every request comes by here before it is sent.
    pub fn expire_missing_upstreams(self: &Rc<Self>) {
        let missing = Arc::clone(&self.may_have_lapsed.borrow());
        if missing.is_empty() || self.expired_missing.borrow().len() == missing.len() {
            return;
        }
        let now = Instant::now();
        let lapses = self.last_store_response.lapses(self.drain_bound_ms.get());
        let is_over = |until: Instant| lapses == Lapses::Excluded || now >= until;
        let over = missing.iter().filter(|(_, until)| is_over(**until));
        let over: IndexSet<Arc<str>> = over.map(|(instance, _)| Arc::clone(instance)).collect();
        if over.len() > self.expired_missing.borrow().len() {
            *self.expired_missing.borrow_mut() = over;
            self.update_eligible_upstreams();
            self.grant_slots();
        }
    }

    /// Has the list of upstreams confirmed if it is too old to send a request by it, as far as a peer or
    /// the store can tell. Every request comes by here before it is sent, whatever chose its upstream.
    pub async fn confirm_list_before_use(&self) {
        let until_ms = self.now_ms() + CONFIRM_WAIT_MS;
        loop {
            let confirmed = self.list_confirmed.notified();
            match self.list_use() {
                ListUse::Use => return self.list_confirmation.borrow_mut().record_fresh(),
                ListUse::Renew => return self.ask_for_list(),
                ListUse::Confirm => self.ask_for_list(),
            }
            let now_ms = self.now_ms();
            if !self.list_confirmation.borrow().is_promising(now_ms) || now_ms >= until_ms {
                return;
            }
            let wait = Duration::from_millis(PEER_REPLY_WAIT_MS.min(until_ms - now_ms));
            // Whether it was confirmed is looked up again.
            let _ = timeout(wait, confirmed).await;
        }
    }

    /// Asks a peer, or the store, whether the list of upstreams is the newest.
    fn ask_for_list(&self) {
        let now_ms = self.now_ms();
        let era = self.revisions.get().directory.era;
        let witnesses = self.peers.borrow().list_witnesses(era, now_ms);
        let witness = witnesses.choose(&mut rand::rng());
        let step = self
            .list_confirmation
            .borrow_mut()
            .next_step(now_ms, witness.is_some());
        match (step, witness) {
            (ConfirmStep::AskPeer, Some(witness)) => {
                let asked_ms = truncated(now_ms);
                self.count_list_question("peer");
                self.send_to_peer(*witness, &PeerMessage::ListQuestion { asked_ms });
            }
            _ => self.carry_out_store_step(step),
        }
    }

    /// Asks the store whether the list of upstreams is the newest, unless it is being asked.
    fn ask_store_for_list(&self) {
        let step = self.list_confirmation.borrow_mut().ask_store(self.now_ms());
        self.carry_out_store_step(step);
    }

    fn carry_out_store_step(&self, step: ConfirmStep) {
        if step == ConfirmStep::AskStore {
            self.count_list_question("store");
            let call = ListCall {
                age_ms: self.list_mark().age_ms,
            };
            // The control thread ends only with the process.
            let _ = self.list_calls.send(call);
        }
    }

    fn count_list_question(&self, asked: &str) {
        let questions = &self.metrics.list_questions;
        questions.with_label_values(&[asked]).inc();
    }

    /// Takes the outcomes of the questions to the store until the process ends.
    pub async fn follow_list_call_outcomes(
        self: Rc<Self>,
        mut outcomes: UnboundedReceiver<ListCallOutcome>,
    ) {
        while let Some(outcome) = outcomes.recv().await {
            let now_ms = self.now_ms();
            let mut confirmation = self.list_confirmation.borrow_mut();
            match outcome {
                ListCallOutcome::Answered => confirmation.record_answer(now_ms),
                ListCallOutcome::Failed => {
                    let entries = self.peers.borrow().live_peers(now_ms).len() + 1;
                    let pause_ms = store_role::retry_pause_ms(entries);
                    let pause_ms = rand::random_range(pause_ms / 2..=pause_ms);
                    confirmation.record_failure(now_ms, pause_ms);
                }
            }
            drop(confirmation);
            self.list_may_be_confirmed();
        }
    }

    /// Lets the requests and peers go on that wait for the list to be confirmed.
    pub fn list_may_be_confirmed(&self) {
        self.list_confirmed.notify_waiters();
        if self.list_use() != ListUse::Use {
            return;
        }
        let askers = std::mem::take(&mut *self.list_askers.borrow_mut());
        for (peer, asked_ms) in askers {
            self.send_list_word(peer, asked_ms);
        }
    }

    /// Replies to a peer that asks for the list's age, once the list is new enough for it to be of use. The
    /// store is asked and no other peer, so that no question goes in a circle.
    pub fn answer_list_question(&self, from: SocketAddr, asked_ms: u32) {
        if self.list_use() == ListUse::Use {
            self.send_list_word(from, asked_ms);
            return;
        }
        let mut askers = self.list_askers.borrow_mut();
        if askers.len() < MAX_LIST_ASKERS {
            askers.insert(from, asked_ms);
        }
        drop(askers);
        self.ask_store_for_list();
    }

    fn send_list_word(&self, to: SocketAddr, asked_ms: u32) {
        let mark = self.list_mark();
        let Some(age_ms) = mark.age_ms else {
            return;
        };
        let word = ListWord {
            asked_ms,
            era: mark.revision.era,
            revision: mark.revision.revision,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        };
        self.send_to_peer(to, &PeerMessage::ListWord(word));
    }

    /// Takes a peer's reply. Its age is counted from the question on, so the way of the reply counts as age
    /// as well.
    pub fn take_list_word(&self, from: SocketAddr, word: ListWord) {
        let now_ms = self.now_ms();
        let since_asked_ms = truncated(now_ms).wrapping_sub(word.asked_ms);
        let age_ms = u64::from(since_asked_ms) + u64::from(word.age_ms);
        let theirs = StorePosition::new(word.era, word.revision);
        if theirs <= self.revisions.get().directory {
            let at_ms = now_ms.saturating_sub(age_ms);
            self.confirm_list(at_ms, ConfirmedBy::Peer(from));
        }
        if self.list_use() == ListUse::Use {
            self.list_confirmation.borrow_mut().record_answer(now_ms);
            self.list_may_be_confirmed();
        } else {
            self.ask_store_for_list();
        }
    }
}

/// Returns the lower bits of a time, for messages.
fn truncated(time_ms: u64) -> u32 {
    u32::try_from(time_ms & u64::from(u32::MAX)).unwrap_or_default()
}
