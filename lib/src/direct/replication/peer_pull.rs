//! Pulls newer replica contents from a peer, over TCP.
//!
//! An entry serves few pulls at a time. Others are told who was served lately, so that the start of
//! a whole fleet spreads from entry to entry and no link is shared by hundreds of lists.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::direct::membership::peer_message::Revisions;
use crate::direct::replication::store_follower::StoreFollower;
use crate::direct::replication::update::ReplicaUpdate;
use crate::direct::replication::update_codec;
use crate::direct::replication::update_codec::Encoding;
use crate::direct::replication::update_codec::MAX_UPDATE_BYTES;
use crate::direct::request::connection_set::ConnectionSet;
use crate::logging::Level;
use crate::logging::Line;

/// Longest time for one pull. An update has at most some hundred kilobytes, over a local network.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Most pulls at a time.
pub const MAX_PULLS: usize = 64;
/// Longest request for a pull.
const MAX_REQUEST_BYTES: usize = 1 << 10;
/// Long updates that are sent at a time. On a link of 20 Mbit/s, four lists of 2,000 upstreams take
/// half of [`PULL_TIMEOUT`].
const MAX_LONG_SENDS: usize = 4;
/// Length from which an update counts as long.
const LONG_UPDATE_BYTES: usize = 8 << 10;
/// Peers served last, which are named to others.
const MAX_NAMED_PEERS: usize = 16;
/// First byte of the reply of a busy peer. An update begins with 0, 1 or 255.
const BUSY: u8 = 0xfe;

/// What follows the revisions in a pull, where earlier builds ignore it. A peer that sends it reads
/// compressed updates and [`BUSY`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Puller {
    address: SocketAddr,
}

/// The reply to a pull.
#[derive(Clone, Debug)]
pub enum PullReply {
    /// What the peer has beyond the given revisions.
    Update(ReplicaUpdate),
    /// The peer serves others. It names peers that it has served.
    Busy(Vec<SocketAddr>),
}

/// A connection to a peer that carries length-delimited messages.
type Channel = Framed<TcpStream, LengthDelimitedCodec>;

fn channel(stream: TcpStream, max_frame_bytes: usize) -> Channel {
    LengthDelimitedCodec::builder()
        .max_frame_length(max_frame_bytes)
        .new_framed(stream)
}

async fn receive(channel: &mut Channel) -> io::Result<Bytes> {
    let frame = channel.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    Ok(frame.freeze())
}

/// Pulls from a peer what it has beyond `own_revisions`. `own_address` is where peers reach this
/// entry.
///
/// # Errors
///
/// When the peer does not answer in time, or not as expected.
pub async fn pull(
    peer: SocketAddr,
    own_revisions: Revisions,
    own_address: SocketAddr,
) -> io::Result<PullReply> {
    let puller = Puller {
        address: own_address,
    };
    let request = postcard::to_stdvec(&own_revisions)
        .and_then(|request| postcard::to_extend(&puller, request))
        .and_then(|request| postcard::to_extend(&own_revisions.eras(), request))
        .map_err(io::Error::other)?;
    let exchange = async {
        let mut channel = channel(TcpStream::connect(peer).await?, MAX_UPDATE_BYTES);
        channel.send(Bytes::from(request)).await?;
        receive(&mut channel).await
    };
    let reply = timeout(PULL_TIMEOUT, exchange).await??;
    match reply.split_first() {
        Some((&BUSY, served)) => postcard::from_bytes(served)
            .map(PullReply::Busy)
            .map_err(io::Error::other),
        _ => update_codec::decode(&reply).map(PullReply::Update),
    }
}

/// Serves pulls of peers.
#[derive(Debug)]
struct PullServer {
    follower: StoreFollower,
    long_sends: Cell<usize>,
    served: RefCell<VecDeque<SocketAddr>>,
}

/// Serves updates to peers until the process ends.
pub async fn serve(listener: TcpListener, follower: StoreFollower) {
    let server = Rc::new(PullServer {
        follower,
        long_sends: Cell::new(0),
        served: RefCell::default(),
    });
    let connections = ConnectionSet::new(MAX_PULLS);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let server = Rc::clone(&server);
                connections.spawn(|_member| async move {
                    let result = timeout(PULL_TIMEOUT, server.serve(stream)).await;
                    if let Err(error) = result.unwrap_or_else(|elapsed| Err(elapsed.into())) {
                        server.follower.count_served("failed");
                        Line::new(Level::Warn, "update could not be sent to a peer")
                            .field("peer", peer)
                            .field("error", error.to_string())
                            .send();
                    }
                });
            }
            Err(error) => {
                Line::new(Level::Warn, "connections from peers can't be accepted")
                    .field("error", error.to_string())
                    .send();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A long update that is being sent, counted until it is dropped.
struct LongSend<'a>(&'a Cell<usize>);

impl<'a> LongSend<'a> {
    fn begin(count: &'a Cell<usize>) -> Option<Self> {
        if count.get() >= MAX_LONG_SENDS {
            return None;
        }
        count.set(count.get() + 1);
        Some(Self(count))
    }
}

impl Drop for LongSend<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl PullServer {
    /// Reads a peer's revisions, and sends it what it lacks.
    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut channel = channel(stream, MAX_REQUEST_BYTES);
        let request = receive(&mut channel).await?;
        channel.codec_mut().set_max_frame_length(MAX_UPDATE_BYTES);
        let (theirs, extension) =
            postcard::take_from_bytes::<Revisions>(&request).map_err(io::Error::other)?;
        let Ok((puller, eras)) = postcard::take_from_bytes::<Puller>(extension) else {
            let update = self.follower.encoded_update(theirs, Encoding::Plain)?;
            self.follower.count_served("sent");
            self.follower.count_update_bytes(update.len());
            return channel.send(update).await;
        };
        let theirs = match postcard::from_bytes(eras) {
            Ok(eras) => theirs.with_eras(eras),
            // Builds without eras do not tell the configuration's version either.
            Err(_) => theirs.with_latest_version(),
        };
        let update = self.follower.encoded_update(theirs, Encoding::Compressed)?;
        let is_long = update.len() >= LONG_UPDATE_BYTES;
        let long_send = is_long.then(|| LongSend::begin(&self.long_sends));
        if matches!(long_send, Some(None)) {
            self.follower.count_served("busy");
            return channel.send(self.busy_reply()?).await;
        }
        self.follower.count_update_bytes(update.len());
        channel.send(update).await?;
        // The peer closes the connection once it has read the update. Until then, the update may
        // wait in a buffer and share the link with others.
        channel.codec_mut().set_max_frame_length(MAX_REQUEST_BYTES);
        let closed = channel.next().await;
        self.follower.count_served("sent");
        self.record_served(puller.address);
        closed.map_or(Ok(()), |unexpected| unexpected.map(drop))
    }

    fn busy_reply(&self) -> io::Result<Bytes> {
        let served: Vec<SocketAddr> = self.served.borrow().iter().copied().collect();
        let reply = postcard::to_extend(&served, vec![BUSY]).map_err(io::Error::other)?;
        Ok(reply.into())
    }

    fn record_served(&self, peer: SocketAddr) {
        let mut served = self.served.borrow_mut();
        if served.len() >= MAX_NAMED_PEERS {
            served.pop_front();
        }
        served.push_back(peer);
    }
}
