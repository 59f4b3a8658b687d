//! Sends this entry's heartbeats, and receives heartbeats and other messages from peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::direct::membership::heartbeat_payload::LoadChunk;
use crate::direct::membership::heartbeat_payload::SpendingReport;
use crate::direct::membership::heartbeat_round::HeartbeatRound;
use crate::direct::membership::peer_message::ANSWERED_LEVEL;
use crate::direct::membership::peer_message::AnsweredAges;
use crate::direct::membership::peer_message::CustomerSpending;
use crate::direct::membership::peer_message::Heartbeat;
use crate::direct::membership::peer_message::MAX_EXCLUSIONS;
use crate::direct::membership::peer_message::MESSAGE_LEVEL;
use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::membership::peer_message::REMOVALS_LEVEL;
use crate::direct::membership::peer_message::REPLICA_AGES_LEVEL;
use crate::direct::membership::peer_message::ReplicaAges;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::membership::peer_table::PeerTable;
use crate::direct::membership::spread_tree;
use crate::direct::membership::store_role::StoreRole;
use crate::direct::placement::dispatch::Dispatcher;
use crate::direct::placement::tracked_upstream::ReportIntervals;
use crate::direct::replication::spread::SpreadMessage;
use crate::direct::replication::spread::SpreadRelay;
use crate::direct::replication::spread::SpreadStep;
use crate::direct::replication::store_follower::ReplicaChange;
use crate::direct::sharing::admission::EntryRef;
use crate::direct::store_view::freshness::ConfirmedBy;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::numbers;

const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// The task that exchanges heartbeats with the other entries.
#[derive(Debug)]
pub struct HeartbeatTask {
    traffic: Rc<TrafficState>,
    incarnation: u64,
    sequence: u64,
    /// Number of the round, which selects the parts of a state that is too large for one heartbeat.
    round: u64,
    spent: SpendingReport,
    /// Spending that the heartbeats of this round report.
    round_spent: Vec<CustomerSpending>,
    relay: SpreadRelay,
    /// Peers discovered since the last round, and the latest of them.
    discovered: (usize, Option<SocketAddr>),
    channels: ControlChannels,
}

/// Channels between the traffic thread and the control thread.
#[derive(Debug)]
pub struct ControlChannels {
    /// The revisions that this entry has reached.
    pub own_revisions: watch::Receiver<Revisions>,
    /// A peer with later revisions, if there is one.
    pub peer_ahead: watch::Sender<Option<SocketAddr>>,
    /// Whether this entry calls the store itself.
    pub role: watch::Sender<StoreRole>,
    /// Changes that this entry has read from the store.
    pub changes: mpsc::UnboundedReceiver<ReplicaChange>,
    /// Receives the updates that peers send.
    pub sent_updates: mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
    /// Receives the incarnations that peers know as removed.
    pub told_removals: mpsc::UnboundedSender<(SocketAddr, Vec<Arc<str>>)>,
}

impl HeartbeatTask {
    /// Creates the task for a new run of the process.
    #[must_use]
    pub fn new(traffic: &Rc<TrafficState>, channels: ControlChannels) -> Self {
        Self {
            traffic: Rc::clone(traffic),
            incarnation: rand::random(),
            sequence: 0,
            round: 0,
            spent: SpendingReport::default(),
            round_spent: Vec::new(),
            relay: SpreadRelay::default(),
            discovered: (0, None),
            channels,
        }
    }

    /// Sends and receives until the process ends.
    pub async fn run(mut self) {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let traffic = Rc::clone(&self.traffic);
        let mut round = HeartbeatRound::new(Vec::new(), 0, 0);
        let mut next_due = Instant::now();
        loop {
            tokio::select! {
                received = traffic.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from),
                    Err(error) => traffic.log(
                        Level::Warn,
                    "datagrams from peers can't be received",
                    |line| line.field("error", error.to_string()),
                    ),
                },
                changed = self.channels.own_revisions.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.pass_on_reached();
                }
                Some(change) = self.channels.changes.recv() => self.spread(&change),
                () = sleep_until(next_due) => {
                    let now_ms = traffic.now_ms();
                    let due = round.advance(now_ms, || self.begin_round());
                    self.send_heartbeat(&due);
                    next_due = traffic.instant_at(round.next_due_ms(now_ms));
                }
            }
        }
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let traffic = &self.traffic;
        let message = PeerMessage::decode(bytes);
        let purpose = message.as_ref().map_or("unknown", PeerMessage::purpose);
        traffic
            .metrics
            .count_datagrams("received", purpose, 1, bytes.len());
        match message {
            Some(PeerMessage::Heartbeat(heartbeat)) => self.handle_heartbeat(&heartbeat, from),
            Some(PeerMessage::RequestSlot(slot_request)) => {
                traffic.handle_slot_request(EntryRef::Peer(from), slot_request);
            }
            Some(PeerMessage::Cancel {
                upstream,
                request_id,
            }) => {
                traffic
                    .admission
                    .borrow_mut()
                    .cancel(EntryRef::Peer(from), upstream, request_id);
            }
            Some(PeerMessage::Grant {
                request_id,
                upstream,
            }) => traffic.handle_grant(request_id, upstream),
            Some(PeerMessage::Queued {
                request_id,
                wait_ms,
            }) => traffic.handle_queued(request_id, wait_ms),
            Some(PeerMessage::Released { upstream, release }) => {
                traffic
                    .admission
                    .borrow_mut()
                    .release(EntryRef::Peer(from), upstream, release);
                traffic.grant_slots();
            }
            Some(PeerMessage::ChargeRequest(request)) => traffic.charge_for_peer(from, &request),
            Some(PeerMessage::ChargeReply { request_id, charge }) => {
                traffic.complete_charge(request_id, charge);
            }
            Some(PeerMessage::SuspectRequests(updates)) => {
                let updates: Vec<_> = updates.into_iter().map(Into::into).collect();
                traffic.merge_suspect_updates(&updates);
            }
            Some(PeerMessage::Suspects(updates)) => traffic.merge_suspect_updates(&updates),
            Some(PeerMessage::Rollout(message)) => traffic.handle_rollout_message(from, &message),
            Some(PeerMessage::UpstreamNotices(updates)) => {
                traffic.merge_notice_updates(from, &updates);
            }
            Some(PeerMessage::LimitReport { upstream, report }) => {
                traffic.handle_limit_report(upstream, report);
            }
            Some(PeerMessage::RemovedUpstreams(instances)) => {
                // The control thread ends only with the process.
                let _ = self.channels.told_removals.send((from, instances));
            }
            Some(PeerMessage::Spread(message)) => self.handle_spread(from, message),
            Some(PeerMessage::StreamOrigins(records)) => traffic.keep_origin_records(records),
            Some(PeerMessage::OriginRequest(request)) => {
                traffic.handle_origin_request(from, &request);
            }
            Some(PeerMessage::OriginReply { request_id, reply }) => {
                traffic.handle_origin_reply(request_id, reply);
            }
            Some(PeerMessage::ListQuestion { asked_ms }) => {
                traffic.answer_list_question(from, asked_ms);
            }
            Some(PeerMessage::ListWord(word)) => traffic.take_list_word(from, word),
            Some(PeerMessage::BorrowRetry { request_id, .. }) => {
                traffic.refuse_whole_retry(from, request_id);
            }
            Some(PeerMessage::BorrowRetryPart {
                request_id,
                service,
                wanted_millis,
            }) => traffic.lend_retry(from, request_id, &service, wanted_millis),
            Some(PeerMessage::RetryPartLent { request_id, millis }) => {
                traffic.pending_loans.complete(request_id, millis);
            }
            // Whole retries are asked for by older builds only.
            Some(PeerMessage::RetryLent { .. }) => {}
            Some(PeerMessage::ExpectReturn(notice)) => {
                traffic.expect_return(notice.key, notice.delay_ms.into());
            }
            Some(PeerMessage::AskReturn { request_id, key }) => {
                traffic.handle_return_question(from, request_id, key);
            }
            Some(PeerMessage::ReturnReply {
                request_id,
                is_expected,
            }) => traffic.handle_return_reply(request_id, is_expected),
            None => traffic.log(Level::Warn, "datagram can't be decoded", |line| {
                line.field("from", from)
            }),
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, from: SocketAddr) {
        let traffic = Rc::clone(&self.traffic);
        let now_ms = traffic.now_ms();
        let effect = traffic
            .peers
            .borrow_mut()
            .record_heartbeat(from, heartbeat, now_ms);
        if effect.is_new {
            self.discovered = (self.discovered.0 + 1, Some(from));
        }
        if heartbeat.is_last {
            traffic.log(Level::Info, "peer has exited", |line| {
                line.field("peer", from)
            });
            traffic
                .admission
                .borrow_mut()
                .expire_peers(Some(from), now_ms);
        }
        if effect.is_ignored {
            return;
        }
        if effect.is_new {
            // The peer need not wait for the next round to learn of this entry and its revisions.
            self.send_heartbeat(&[from]);
        }
        if effect.is_new || effect.is_back {
            traffic.sync_suspects_to(from);
            traffic.sync_rollouts_to(from);
            traffic.sync_notices_to(from);
            if heartbeat.message_level >= REMOVALS_LEVEL {
                traffic.sync_removals_to(from);
            }
        }
        let mut quotas = traffic.quotas.borrow_mut();
        if effect.is_new {
            quotas.reset_peer_grants(from);
        }
        for spent in effect.newly_spent {
            quotas.record_peer_spending(from, &spent.customer, spent.units, now_ms);
        }
        drop(quotas);
        traffic
            .admission
            .borrow_mut()
            .reconcile(from, &heartbeat.loads, now_ms);
        traffic.dispatcher.borrow_mut().set_peer_load(
            heartbeat.incarnation,
            &heartbeat.loads,
            now_ms,
        );
        traffic.dispatcher.borrow_mut().set_peer_exclusions(
            &heartbeat.excluded,
            heartbeat.incarnation < self.incarnation,
            now_ms,
        );
        traffic.record_peer_data_centre(heartbeat);
        self.update_peer_ahead(heartbeat.revisions, now_ms);
        self.take_word(heartbeat, from, now_ms);
        traffic.grant_slots();
    }

    /// Takes the word of a peer that the store has told lately, and that has no newer configuration or
    /// list.
    fn take_word(&self, heartbeat: &Heartbeat, from: SocketAddr, now_ms: u64) {
        self.take_answered(heartbeat);
        let own = self.traffic.revisions.get();
        if own.directory.era != 0 && !heartbeat.knows_eras {
            return;
        }
        let ages = if heartbeat.message_level >= REPLICA_AGES_LEVEL {
            heartbeat.replica_ages
        } else {
            ReplicaAges {
                catalog_ms: heartbeat.store_age_ms,
                list_ms: heartbeat.store_age_ms,
            }
        };
        let by = ConfirmedBy::Peer(from);
        if let Some(age_ms) = ages.catalog_ms
            && heartbeat.revisions.catalog <= own.catalog
        {
            let at_ms = now_ms.saturating_sub(age_ms.into());
            self.traffic.confirm_catalog(at_ms, by);
        }
        if let Some(age_ms) = ages.list_ms
            && heartbeat.revisions.directory <= own.directory
        {
            let at_ms = now_ms.saturating_sub(age_ms.into());
            self.traffic.confirm_list(at_ms, by);
        }
    }

    /// Takes when the store answered a peer, whatever the peer's replica is like. Upstreams that were used as
    /// their entries might have lapsed meanwhile may have to be given up.
    fn take_answered(&self, heartbeat: &Heartbeat) {
        let ages = if heartbeat.message_level >= ANSWERED_LEVEL {
            heartbeat.answered_ages
        } else {
            heartbeat.store_age_ms.map(|age_ms| AnsweredAges {
                first_ms: age_ms,
                latest_ms: age_ms,
            })
        };
        let Some(answered) = ages.and_then(|ages| ages.answered(Instant::now())) else {
            return;
        };
        let last_response = &self.traffic.last_store_response;
        last_response.with_answers(|answers| answers.record_peer_answer(answered));
        self.traffic.expire_missing_upstreams();
    }

    /// Looks for a peer that is ahead of this entry, if the sender of a heartbeat is or one was
    /// before.
    fn update_peer_ahead(&self, sender: Revisions, now_ms: u64) {
        let own = *self.channels.own_revisions.borrow();
        let was_behind = self.channels.peer_ahead.borrow().is_some();
        if !was_behind && !sender.is_ahead_of(own) {
            return;
        }
        let random = rand::random::<u16>().into();
        let peers = self.traffic.peers.borrow();
        let peer_ahead = peers.peer_ahead_of(own, random, now_ms);
        send_if_changed(&self.channels.peer_ahead, peer_ahead);
    }

    /// Passes on what has changed among the peers. Returns the targets of the next round of
    /// heartbeats, and how long it takes.
    fn begin_round(&mut self) -> (Vec<SocketAddr>, u64) {
        let traffic = Rc::clone(&self.traffic);
        let now_ms = traffic.now_ms();
        traffic.peers.borrow_mut().sweep(now_ms);
        traffic.admission.borrow_mut().expire_peers(None, now_ms);
        traffic.expected_returns.borrow_mut().remove_past(now_ms);
        let peers = traffic.peers.borrow();
        let known = peers.known_entries();
        let undiscovered = peers.undiscovered(now_ms);
        let live = peers.live_peers(now_ms).len() + 1;
        let quota_owners = peers.quota_owners(traffic.is_stopping.get(), now_ms);
        let mut quotas = traffic.quotas.borrow_mut();
        quotas.set_owners(peers.own_address(), quota_owners, undiscovered, now_ms);
        quotas.set_membership(known, peers.overdue(now_ms), now_ms);
        drop(quotas);
        traffic.divide_retry_slack(known + undiscovered);
        let share = numbers::ratio(live, known + undiscovered);
        traffic
            .admission
            .borrow_mut()
            .set_limit_share(share, now_ms);
        let own_revisions = *self.channels.own_revisions.borrow();
        let store_age_ms = self.store_age_ms();
        let bound_ms = traffic.config_bound_ms.get();
        let is_served = store_age_ms.is_some_and(PeerTable::is_recent_answer);
        let mut role = peers.store_role(own_revisions, is_served, bound_ms, now_ms);
        traffic.take_store_response();
        if traffic.check_catalog_age() && role == StoreRole::Listens {
            // Nobody who watches the store has said for some time that nothing has changed.
            role = StoreRole::spare(live, bound_ms);
        }
        send_if_changed(&self.channels.role, role);
        let targets = peers.heartbeat_targets().collect();
        let interval_ms = peers.heartbeat_ms();
        drop(peers);
        traffic.admission.borrow_mut().set_heartbeat_ms(interval_ms);
        let intervals = ReportIntervals {
            heartbeat_ms: interval_ms,
            upstream_silence_ms: traffic.upstream_silence_ms.get(),
        };
        traffic.dispatcher.borrow_mut().set_intervals(intervals);
        traffic.log_flow_changes();
        self.log_discovered(known);
        self.round += 1;
        self.report_spending();
        traffic.grant_slots();
        (targets, interval_ms)
    }

    /// Logs how many peers were discovered since the last round: at the start of a large fleet, a
    /// line for each would take most of a small host's processor time.
    fn log_discovered(&mut self, known: usize) {
        let (count, latest) = std::mem::take(&mut self.discovered);
        if let Some(latest) = latest {
            self.traffic.log(Level::Info, "peer discovered", |line| {
                line.field("peer", latest)
                    .field("discovered", count)
                    .field("known_entries", known)
            });
        }
    }

    /// Chooses the customers whose spending this round reports.
    fn report_spending(&mut self) {
        let mut quotas = self.traffic.quotas.borrow_mut();
        self.round_spent = self.spent.next(quotas.local_spending());
        quotas.mark_reported(&self.round_spent);
    }

    fn send_heartbeat(&mut self, to: &[SocketAddr]) {
        if to.is_empty() {
            return;
        }
        let heartbeat = PeerMessage::Heartbeat(self.own_heartbeat());
        self.traffic.send_to_peers(to, &heartbeat);
    }

    /// Sends a change that this entry has read from the store to all peers, most of which get it
    /// from relays.
    fn spread(&self, change: &ReplicaChange) {
        let traffic = &self.traffic;
        let peers = traffic.peers.borrow().spread_targets(traffic.now_ms());
        for group in spread_tree::relay_groups(peers, rand::random) {
            let message = SpreadMessage {
                revisions: change.revisions,
                update: change.update.clone(),
                pass_on_to: group.others,
            };
            traffic.send_to_peer(group.relay, &PeerMessage::Spread(message));
        }
    }

    fn handle_spread(&mut self, from: SocketAddr, message: SpreadMessage) {
        let own = *self.channels.own_revisions.borrow();
        match self.relay.receive(message, own) {
            SpreadStep::PassOn { to, message } => {
                let new = message.revisions.is_ahead_of(own);
                let new = new.then(|| message.update.clone());
                self.traffic
                    .send_to_peers(&to, &PeerMessage::Spread(message));
                if let Some(update) = new {
                    // The control thread ends only with the process.
                    let _ = self.channels.sent_updates.send((from, update));
                }
            }
            SpreadStep::Pull => send_if_changed(&self.channels.peer_ahead, Some(from)),
        }
    }

    /// Passes announcements on whose changes this entry has now.
    fn pass_on_reached(&mut self) {
        let own = *self.channels.own_revisions.borrow_and_update();
        let to = self.relay.take_reached(own);
        let message = SpreadMessage {
            revisions: own,
            ..SpreadMessage::default()
        };
        self.traffic
            .send_to_peers(&to, &PeerMessage::Spread(message));
        self.update_peer_ahead(Revisions::default(), self.traffic.now_ms());
    }

    /// Tells all peers that this process exits, so that they need not wait for its silence.
    pub fn announce_exit(traffic: &TrafficState) {
        let last_heartbeat = PeerMessage::Heartbeat(Heartbeat {
            is_last: true,
            ..Heartbeat::default()
        });
        traffic.send_to_all_peers(&last_heartbeat);
    }

    /// Returns how long ago the store answered this entry, if it calls the store.
    fn store_age_ms(&self) -> Option<u32> {
        let age_ms = self.traffic.last_store_response.answer_age_ms();
        age_ms.filter(|_| *self.channels.role.borrow() != StoreRole::Listens)
    }

    fn own_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let traffic = &self.traffic;
        let dispatcher = traffic.dispatcher.borrow();
        traffic.quotas.borrow().update_report(&mut self.round_spent);
        let peers = traffic.peers.borrow();
        Heartbeat {
            incarnation: self.incarnation,
            sequence: self.sequence,
            is_last: false,
            is_leaving: traffic.is_stopping.get(),
            age_s: PeerTable::own_age_s(traffic.now_ms()),
            known_entries: u16::try_from(peers.known_entries()).unwrap_or(u16::MAX),
            store_age_ms: self.store_age_ms(),
            revisions: traffic.revisions.get(),
            peer_addresses: peers.addresses_to_share(rand::random::<u32>().into()),
            loads: LoadChunk::of(dispatcher.running(traffic.now_ms()).collect(), self.round),
            spent: self.round_spent.clone(),
            host: Some(peers.own_host()),
            knows_eras: true,
            message_level: MESSAGE_LEVEL,
            replica_ages: traffic.last_store_response.ages(traffic.revisions.get()),
            answered_ages: traffic
                .last_store_response
                .with_answers(|answers| answers.own_answered())
                .and_then(|answered| AnsweredAges::new(answered, Instant::now())),
            excluded: exclusions_of_round(&dispatcher, traffic.now_ms(), self.round),
        }
    }
}

/// Returns the excluded upstreams that the heartbeats of a round name. If there are many, they take
/// turns.
fn exclusions_of_round(dispatcher: &Dispatcher, now_ms: u64, round: u64) -> Vec<u32> {
    let excluded: Vec<u32> = dispatcher.reported_exclusions(now_ms).collect();
    let mut parts = excluded.chunks(MAX_EXCLUSIONS);
    let count = parts.len().max(1) as u64;
    let index = usize::try_from(round % count).unwrap_or_default();
    parts.nth(index).unwrap_or_default().to_vec()
}

/// Sends a value, and notifies receivers only if it has changed.
fn send_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|known| {
        let is_changed = *known != value;
        *known = value;
        is_changed
    });
}
