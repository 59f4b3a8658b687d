//! Sends this entry's heartbeats, and receives heartbeats and other messages from peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::direct::membership::heartbeat_payload::LoadChunk;
use crate::direct::membership::heartbeat_payload::SpendingReport;
use crate::direct::membership::peer_message::Heartbeat;
use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::membership::peer_message::Revisions;
use crate::direct::membership::peer_table::PeerTable;
use crate::direct::replication::store_follower::LastStoreResponse;
use crate::direct::sharing::admission::EntryRef;
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
    spent: SpendingReport,
    channels: ControlChannels,
}

/// Channels between the traffic thread and the control thread.
#[derive(Debug)]
pub struct ControlChannels {
    /// The revisions that this entry has reached.
    pub own_revisions: watch::Receiver<Revisions>,
    /// When the store last answered.
    pub last_store_response: LastStoreResponse,
    /// A peer with later revisions, if there is one.
    pub peer_ahead: watch::Sender<Option<SocketAddr>>,
    /// Whether this entry watches the store itself.
    pub watches_store: watch::Sender<bool>,
}

impl HeartbeatTask {
    /// Creates the task for a new run of the process.
    #[must_use]
    pub fn new(traffic: &Rc<TrafficState>, channels: ControlChannels) -> Self {
        Self {
            traffic: Rc::clone(traffic),
            incarnation: rand::random(),
            sequence: 0,
            spent: SpendingReport::default(),
            channels,
        }
    }

    /// Sends and receives until the process ends.
    pub async fn run(mut self) {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let mut next_heartbeat = Instant::now();
        let traffic = Rc::clone(&self.traffic);
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
                // A new revision from the store is announced to the other entries at once.
                changed = self.channels.own_revisions.changed(), if *self.channels.watches_store.borrow() => {
                    if changed.is_err() {
                        return;
                    }
                    self.sequence += 1;
                    self.broadcast_heartbeat();
                }
                () = sleep_until(next_heartbeat) => {
                    self.send_heartbeat();
                    next_heartbeat = Instant::now() + self.heartbeat_interval();
                }
            }
        }
    }

    fn heartbeat_interval(&self) -> Duration {
        let watches_store = *self.channels.watches_store.borrow();
        Duration::from_millis(self.traffic.peers.borrow().heartbeat_ms(watches_store))
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let traffic = &self.traffic;
        match PeerMessage::decode(bytes) {
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
            Some(PeerMessage::SuspectRequests(updates)) => traffic.merge_suspect_updates(&updates),
            Some(PeerMessage::Rollout(message)) => traffic.handle_rollout_message(from, &message),
            Some(PeerMessage::UpstreamNotices(updates)) => {
                traffic.merge_notice_updates(from, &updates);
            }
            None => traffic.log(Level::Warn, "datagram can't be decoded", |line| {
                line.field("from", from)
            }),
        }
    }

    fn handle_heartbeat(&self, heartbeat: &Heartbeat, from: SocketAddr) {
        let traffic = &self.traffic;
        let now_ms = traffic.now_ms();
        let effect = traffic
            .peers
            .borrow_mut()
            .record_heartbeat(from, heartbeat, now_ms);
        if effect.is_new {
            traffic.log(Level::Info, "peer discovered", |line| {
                line.field("peer", from)
            });
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
        if effect.is_new || effect.is_back {
            traffic.sync_suspects_to(from);
            traffic.sync_rollouts_to(from);
            traffic.sync_notices_to(from);
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
        let own_revisions = *self.channels.own_revisions.borrow();
        let random = rand::random::<u16>().into();
        let peer_ahead = traffic
            .peers
            .borrow()
            .peer_ahead_of(own_revisions, random, now_ms);
        send_if_changed(&self.channels.peer_ahead, peer_ahead);
        traffic.grant_slots();
    }

    /// Passes on what has changed among the peers, and sends a heartbeat.
    fn send_heartbeat(&mut self) {
        let traffic = Rc::clone(&self.traffic);
        let now_ms = traffic.now_ms();
        traffic.peers.borrow_mut().sweep(now_ms);
        traffic.admission.borrow_mut().expire_peers(None, now_ms);
        let peers = traffic.peers.borrow();
        let known = peers.known_entries();
        let undiscovered = peers.undiscovered(now_ms);
        let live = peers.live_peers(now_ms).len() + 1;
        let quota_owners = peers.quota_owners(traffic.is_stopping.get(), now_ms);
        let mut quotas = traffic.quotas.borrow_mut();
        quotas.set_owners(peers.own_address(), quota_owners, undiscovered, now_ms);
        quotas.set_membership(known, peers.overdue(now_ms), now_ms);
        drop(quotas);
        traffic
            .retry_budget
            .borrow_mut()
            .set_entry_count(known + undiscovered);
        let share = numbers::ratio(live, known + undiscovered);
        traffic
            .admission
            .borrow_mut()
            .set_limit_share(share, now_ms);
        send_if_changed(&self.channels.watches_store, peers.watches_store(now_ms));
        drop(peers);
        self.sequence += 1;
        self.broadcast_heartbeat();
        traffic.grant_slots();
    }

    fn broadcast_heartbeat(&mut self) {
        let heartbeat = PeerMessage::Heartbeat(self.own_heartbeat());
        self.traffic.send_to_all_peers(&heartbeat);
    }

    /// Tells all peers that this process exits, so that they need not wait for its silence.
    pub fn announce_exit(traffic: &TrafficState) {
        let last_heartbeat = PeerMessage::Heartbeat(Heartbeat {
            is_last: true,
            ..Heartbeat::default()
        });
        traffic.send_to_all_peers(&last_heartbeat);
    }

    fn own_heartbeat(&mut self) -> Heartbeat {
        let traffic = &self.traffic;
        let dispatcher = traffic.dispatcher.borrow();
        let mut quotas = traffic.quotas.borrow_mut();
        let spent = self.spent.next(quotas.local_spending());
        quotas.mark_reported(&spent);
        let watches_store = *self.channels.watches_store.borrow();
        let peers = traffic.peers.borrow();
        Heartbeat {
            incarnation: self.incarnation,
            sequence: self.sequence,
            is_last: false,
            is_leaving: traffic.is_stopping.get(),
            age_s: PeerTable::own_age_s(traffic.now_ms()),
            known_entries: u16::try_from(peers.known_entries()).unwrap_or(u16::MAX),
            store_age_ms: self
                .channels
                .last_store_response
                .age_ms()
                .filter(|_| watches_store),
            revisions: *self.channels.own_revisions.borrow(),
            peer_addresses: peers.addresses_to_share(self.sequence),
            loads: LoadChunk::of(
                dispatcher.running(traffic.now_ms()).collect(),
                self.sequence,
            ),
            spent,
        }
    }
}

/// Sends a value, and notifies receivers only if it has changed.
fn send_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|known| {
        let is_changed = *known != value;
        *known = value;
        is_changed
    });
}
