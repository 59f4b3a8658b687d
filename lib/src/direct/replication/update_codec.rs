//! Encodes updates of the replica for peers.
//!
//! An update is a postcard value, compressed if the peer's build can read that. Its objects are JSON
//! text with the same field names over and over, and some hosts have slow links.

use std::io;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::replication::update::ReplicaUpdate;
use crate::direct::replication::update::UpstreamListDelta;
use crate::direct::replication::update::UpstreamListUpdate;
use crate::store::ObjectList;
use crate::store::StoredObject;
use crate::store::position::StorePosition;

/// Longest update that is accepted: twice the largest object of the store, and the upstreams.
pub const MAX_UPDATE_BYTES: usize = 4 << 20;
/// First byte of a compressed update. A plain one begins with an option, whose byte is 0 or 1.
const COMPRESSED: u8 = 0xff;

/// How an update is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Encoding {
    /// All builds can read it.
    Plain,
    /// Compressed.
    Compressed,
}

/// A [`ReplicaUpdate`] as sent. Values are JSON text, since their structure is not known here.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SentUpdate {
    catalog: Option<SentObject>,
    upstreams: Option<SentList>,
}

/// The eras of the positions in a [`SentUpdate`]. It follows the update, where builds without eras
/// ignore it.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct SentEras {
    catalog: u32,
    upstreams: u32,
}

impl SentEras {
    fn of(update: &ReplicaUpdate) -> Self {
        let catalog = update.catalog.as_ref();
        let upstreams = update.upstreams.as_ref().map(|upstreams| match upstreams {
            UpstreamListUpdate::Full(list) => list.position.era,
            UpstreamListUpdate::Delta(changes) => changes.position.era,
        });
        Self {
            catalog: catalog.map_or(0, |object| object.version.era),
            upstreams: upstreams.unwrap_or_default(),
        }
    }
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
                revision: list.position.revision,
                objects: sent(&list.objects),
                removed: Vec::new(),
            },
            UpstreamListUpdate::Delta(changes) => Self {
                after: Some(changes.after.revision),
                revision: changes.position.revision,
                objects: sent(&changes.objects),
                removed: changes
                    .removed
                    .iter()
                    .map(|(position, name)| (position.revision, Arc::clone(name)))
                    .collect(),
            },
        }
    }
}

impl SentList {
    fn decode(self, era: u32) -> io::Result<UpstreamListUpdate> {
        let objects = self
            .objects
            .into_iter()
            .map(|object| object.decode(era))
            .collect::<io::Result<_>>()?;
        let at = |revision| StorePosition::new(era, revision);
        let position = at(self.revision);
        Ok(match self.after {
            None => UpstreamListUpdate::Full(ObjectList { position, objects }),
            Some(after) => UpstreamListUpdate::Delta(UpstreamListDelta {
                after: at(after),
                position,
                objects,
                removed: self
                    .removed
                    .into_iter()
                    .map(|(revision, name)| (at(revision), name))
                    .collect(),
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
            version: object.version.revision,
            json: object.value.to_string(),
        }
    }
}

impl SentObject {
    fn decode(self, era: u32) -> io::Result<StoredObject> {
        Ok(StoredObject {
            kind: self.kind.into(),
            name: self.name.into(),
            version: StorePosition::new(era, self.version),
            value: serde_json::from_str(&self.json).map_err(io::Error::other)?,
        })
    }
}

/// Encodes an update. `catalog_json` is the text of its configuration object, which is kept apart
/// since it may be long.
///
/// # Errors
///
/// When the update can't be represented, which would be a bug here.
pub fn encode(
    update: &ReplicaUpdate,
    catalog_json: &str,
    encoding: Encoding,
) -> io::Result<Vec<u8>> {
    let sent = SentUpdate {
        catalog: update.catalog.as_ref().map(|object| SentObject {
            kind: object.kind.to_string(),
            name: object.name.to_string(),
            version: object.version.revision,
            json: catalog_json.to_owned(),
        }),
        upstreams: update.upstreams.as_ref().map(SentList::from),
    };
    let plain = postcard::to_stdvec(&sent)
        .and_then(|plain| postcard::to_extend(&SentEras::of(update), plain))
        .map_err(io::Error::other)?;
    if encoding == Encoding::Plain {
        return Ok(plain);
    }
    let mut bytes = vec![COMPRESSED];
    bytes.extend(lz4_flex::compress_prepend_size(&plain));
    Ok(bytes)
}

/// Decodes an update.
///
/// # Errors
///
/// When the bytes are no update, or one that is too long.
///
/// ```
/// assert!(sardinewood::direct::replication::update_codec::decode(b"?").is_err());
/// ```
pub fn decode(bytes: &[u8]) -> io::Result<ReplicaUpdate> {
    let plain = match bytes.split_first() {
        Some((&COMPRESSED, block)) => decompress(block)?,
        _ => bytes.to_vec(),
    };
    let (sent, extension): (SentUpdate, _) =
        postcard::take_from_bytes(&plain).map_err(io::Error::other)?;
    // Builds without eras send none.
    let eras: SentEras = postcard::from_bytes(extension).unwrap_or_default();
    let catalog = sent.catalog.map(|object| object.decode(eras.catalog));
    let upstreams = sent.upstreams.map(|list| list.decode(eras.upstreams));
    Ok(ReplicaUpdate {
        catalog: catalog.transpose()?.map(Arc::new),
        upstreams: upstreams.transpose()?,
    })
}

/// Decompresses a block, unless it states a length beyond [`MAX_UPDATE_BYTES`].
fn decompress(block: &[u8]) -> io::Result<Vec<u8>> {
    let (length, _) = lz4_flex::block::uncompressed_size(block).map_err(io::Error::other)?;
    if length > MAX_UPDATE_BYTES {
        return Err(io::Error::other("update is too long"));
    }
    lz4_flex::decompress_size_prepended(block).map_err(io::Error::other)
}
