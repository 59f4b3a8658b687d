//! Pulls newer replica contents from a peer, over TCP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::direct::membership::peer_message::Revisions;
use crate::direct::replication::store_follower::StoreFollower;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::ObjectList;
use crate::store::StoredObject;

/// Longest time for one pull. An update has at most some hundred kilobytes, over a local network.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest update that is accepted: twice the largest object of the store, and the upstreams.
const MAX_UPDATE_BYTES: usize = 4 << 20;
/// Pause after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What one entry has beyond the revisions of another.
#[derive(Clone, Debug, Default)]
pub struct ReplicaUpdate {
    /// The configuration, if it is newer.
    pub catalog: Option<Arc<StoredObject>>,
    /// The upstreams, if their list is newer.
    pub upstreams: Option<UpstreamListUpdate>,
}

/// The list of upstreams, or its changes.
#[derive(Clone, Debug)]
pub enum UpstreamListUpdate {
    /// All upstreams.
    Full(ObjectList),
    /// The changes since a revision.
    Delta(UpstreamListDelta),
}

/// Changes in the list of upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamListDelta {
    /// The revision that the changes follow.
    pub after: u64,
    /// The revision that the changes lead to.
    pub revision: u64,
    /// New and changed objects.
    pub objects: Vec<StoredObject>,
    /// Names of removed objects, each with the revision of its removal.
    pub removed: Vec<(u64, Arc<str>)>,
}

/// A [`ReplicaUpdate`] as sent. Values are JSON text, since their structure is not known here.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SentUpdate {
    catalog: Option<SentObject>,
    upstreams: Option<SentList>,
}

/// An [`UpstreamListUpdate`] as sent.
#[derive(Debug, Serialize, Deserialize)]
struct SentList {
    /// None if this is the whole list.
    after: Option<u64>,
    revision: u64,
    objects: Vec<SentObject>,
    removed: Vec<(u64, Arc<str>)>,
}

impl From<&UpstreamListUpdate> for SentList {
    fn from(update: &UpstreamListUpdate) -> Self {
        let sent = |objects: &[StoredObject]| objects.iter().map(SentObject::from).collect();
        match update {
            UpstreamListUpdate::Full(list) => Self {
                after: None,
                revision: list.revision,
                objects: sent(&list.objects),
                removed: Vec::new(),
            },
            UpstreamListUpdate::Delta(changes) => Self {
                after: Some(changes.after),
                revision: changes.revision,
                objects: sent(&changes.objects),
                removed: changes.removed.clone(),
            },
        }
    }
}

impl TryFrom<SentList> for UpstreamListUpdate {
    type Error = io::Error;

    fn try_from(sent: SentList) -> io::Result<Self> {
        let objects = sent
            .objects
            .into_iter()
            .map(StoredObject::try_from)
            .collect::<io::Result<_>>()?;
        let revision = sent.revision;
        Ok(match sent.after {
            None => Self::Full(ObjectList { revision, objects }),
            Some(after) => Self::Delta(UpstreamListDelta {
                after,
                revision,
                objects,
                removed: sent.removed,
            }),
        })
    }
}

/// A [`StoredObject`] as sent.
#[derive(Debug, Serialize, Deserialize)]
struct SentObject {
    kind: String,
    name: String,
    version: u64,
    json: String,
}

impl From<&StoredObject> for SentObject {
    fn from(object: &StoredObject) -> Self {
        Self {
            kind: object.kind.to_string(),
            name: object.name.to_string(),
            version: object.version,
            json: object.value.to_string(),
        }
    }
}

impl TryFrom<SentObject> for StoredObject {
    type Error = io::Error;

    fn try_from(sent: SentObject) -> io::Result<Self> {
        Ok(Self {
            kind: sent.kind.into(),
            name: sent.name.into(),
            version: sent.version,
            value: serde_json::from_str(&sent.json).map_err(io::Error::other)?,
        })
    }
}

/// A connection to a peer that carries length-delimited messages.
type Channel = Framed<TcpStream, LengthDelimitedCodec>;

fn channel(stream: TcpStream) -> Channel {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_UPDATE_BYTES)
        .new_framed(stream)
}

async fn send(channel: &mut Channel, message: &impl Serialize) -> io::Result<()> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    channel.send(Bytes::from(bytes)).await
}

async fn receive<T: DeserializeOwned>(channel: &mut Channel) -> io::Result<T> {
    let frame = channel.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    postcard::from_bytes(&frame).map_err(io::Error::other)
}

/// Pulls from a peer what it has beyond `own_revisions`.
///
/// # Errors
///
/// When the peer does not answer in time, or not as expected.
pub async fn pull(peer: SocketAddr, own_revisions: Revisions) -> io::Result<ReplicaUpdate> {
    let request = async {
        let mut channel = channel(TcpStream::connect(peer).await?);
        send(&mut channel, &own_revisions).await?;
        receive::<SentUpdate>(&mut channel).await
    };
    let sent = timeout(PULL_TIMEOUT, request).await??;
    Ok(ReplicaUpdate {
        catalog: sent
            .catalog
            .map(StoredObject::try_from)
            .transpose()?
            .map(Arc::new),
        upstreams: sent
            .upstreams
            .map(UpstreamListUpdate::try_from)
            .transpose()?,
    })
}

/// Serves updates to peers until the process ends.
pub async fn serve(listener: TcpListener, follower: StoreFollower) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let follower = follower.clone();
                tokio::task::spawn_local(async move {
                    if let Ok(Err(error)) =
                        timeout(PULL_TIMEOUT, serve_update(stream, follower)).await
                    {
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

/// Reads a peer's revisions, and sends it what it lacks.
async fn serve_update(stream: TcpStream, follower: StoreFollower) -> io::Result<()> {
    let mut channel = channel(stream);
    let theirs: Revisions = receive(&mut channel).await?;
    let update = follower.update_since(theirs);
    let sent = SentUpdate {
        catalog: update.catalog.map(|object| SentObject {
            kind: object.kind.to_string(),
            name: object.name.to_string(),
            version: object.version,
            json: follower.catalog_json().to_string(),
        }),
        upstreams: update.upstreams.as_ref().map(SentList::from),
    };
    send(&mut channel, &sent).await
}
