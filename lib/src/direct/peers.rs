//! Sends this entry's beats and takes in those of the others.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::direct::dispatch::short_name;
use crate::direct::peer_message::Beat;
use crate::direct::peer_message::PeerTable;
use crate::direct::peer_message::Revisions;
use crate::direct::peer_message::Spent;
use crate::direct::traffic::Traffic;
use crate::logging::Level;

/// Shortest time between two beats. Within it, two entries may both take the last slot of an
/// upstream; at some tens of requests a second on each that is rare.
const MIN_BEAT: Duration = Duration::from_millis(50);
/// Time between two beats for each peer, so that a larger fleet costs each entry no more
/// than some hundred datagrams a second.
const BEAT_PER_PEER: Duration = Duration::from_millis(10);
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The beats of one entry.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    traffic: Rc<Traffic>,
    table: PeerTable,
    incarnation: u64,
    sequence: u64,
    own: watch::Receiver<Revisions>,
    ahead: watch::Sender<Option<SocketAddr>>,
}

impl Peers {
    /// Opens the socket for beats at the entry's own address.
    ///
    /// # Errors
    ///
    /// When the address can't be had.
    pub async fn open(
        address: SocketAddr,
        seeds: &[SocketAddr],
        traffic: &Rc<Traffic>,
        own: watch::Receiver<Revisions>,
        ahead: watch::Sender<Option<SocketAddr>>,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            traffic: Rc::clone(traffic),
            table: PeerTable::new(address, seeds),
            incarnation: rand::random(),
            sequence: 0,
            own,
            ahead,
        })
    }

    /// Sends and receives until the process ends.
    pub async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut period = MIN_BEAT;
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from),
                    Err(error) => self.log_error("beats can't be received", &error),
                },
                _ = ticks.tick() => {
                    self.beat().await;
                    let wanted = self.period();
                    if wanted != period {
                        period = wanted;
                        ticks = interval(period);
                        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
                        ticks.tick().await;
                    }
                }
            }
        }
    }

    fn period(&self) -> Duration {
        let peers = u32::try_from(self.table.targets().count()).unwrap_or(u32::MAX);
        MIN_BEAT.max(BEAT_PER_PEER * peers)
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let Some(beat) = Beat::decode(bytes) else {
            self.traffic
                .log(Level::Warn, "datagram is no beat", |line| {
                    line.field("from", from)
                });
            return;
        };
        let now_ms = self.traffic.now_ms();
        let heard = self.table.heard(from, &beat, now_ms);
        if heard.is_new {
            self.traffic
                .log(Level::Info, "peer heard", |line| line.field("peer", from));
        }
        if heard.is_idle {
            return;
        }
        let mut allotments = self.traffic.allotments.borrow_mut();
        for spent in heard.newly_spent {
            allotments.spent_elsewhere(&spent.customer, spent.units);
        }
        drop(allotments);
        self.traffic.dispatcher.borrow_mut().set_peer_load(
            beat.incarnation,
            beat.running,
            now_ms,
        );
        let ahead = self.table.ahead_of(*self.own.borrow(), now_ms);
        self.ahead.send_if_modified(|known| {
            let is_changed = *known != ahead;
            *known = ahead;
            is_changed
        });
        if self.traffic.dispatcher.borrow().waiting() > 0 {
            self.traffic.start_waiting();
        }
    }

    async fn beat(&mut self) {
        let now_ms = self.traffic.now_ms();
        self.table.sweep(now_ms);
        let (heard, known) = self.table.heard_and_known(now_ms);
        self.traffic
            .allotments
            .borrow_mut()
            .set_heard(heard, known, now_ms);
        self.traffic.budget.borrow_mut().set_entries(known);
        self.sequence += 1;
        let beat = self.own_beat();
        let Some(bytes) = beat.encode() else {
            self.traffic
                .log(Level::Error, "beat is too long to send", |line| line);
            return;
        };
        for target in self.table.targets() {
            // An address that nobody listens at any more is no trouble of ours.
            let _ = self.socket.send_to(&bytes, target).await;
        }
    }

    fn own_beat(&self) -> Beat {
        let dispatcher = self.traffic.dispatcher.borrow();
        let allotments = self.traffic.allotments.borrow();
        Beat {
            incarnation: self.incarnation,
            sequence: self.sequence,
            is_last: false,
            revisions: *self.own.borrow(),
            others: self.table.named(self.sequence),
            running: dispatcher
                .running()
                .map(|(instance, running)| {
                    let running = u16::try_from(running).unwrap_or(u16::MAX);
                    (short_name(instance), running)
                })
                .collect(),
            spent: allotments
                .own_spent()
                .map(|(customer, units)| Spent {
                    customer: Arc::clone(customer),
                    units,
                })
                .collect(),
        }
    }

    fn log_error(&self, message: &'static str, error: &io::Error) {
        self.traffic.log(Level::Warn, message, |line| {
            line.field("error", error.to_string())
        });
    }
}
