//! The records of streams' origins that an entry keeps, and the entries that keep a stream's record.
//!
//! An entry that relays a stream may be killed or cut off while its caller takes the stream up at
//! another entry. So a few entries in different data centres are told as the first event is relayed,
//! chosen by a hash of the stream's key, and any entry can work out whom to ask.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::direct::sharing::admission;
use crate::direct::streams::origin::OriginRecord;
use crate::direct::streams::origin::StreamKey;
use crate::direct::streams::origin::StreamOrigin;

/// Entries that keep the record of a stream besides the one that relays it. Of the records of streams
/// that break when nine of ten entries are lost at once, two of five are left.
const RECORD_OWNERS: usize = 5;
/// Records that an entry keeps at a time. A fleet of 350 entries with 850 streams a second of 30 s
/// each needs about 450 at each entry.
const MAX_RECORDS: usize = 16_384;
/// Longest time for which a record is kept.
const MAX_RETENTION_MS: u64 = 120_000;

/// Records of streams' origins, each until the deadline of the stream's caller.
///
/// ```
/// use sardinewood::direct::streams::origin::{StreamKey, StreamOrigin};
/// use sardinewood::direct::streams::origin_records::OriginRecords;
///
/// let mut records = OriginRecords::default();
/// let key = StreamKey::new(None, "notes", b"try-1");
/// let origin = StreamOrigin { service: "pool".into(), version: "v1".into() };
/// records.insert(key, origin.clone(), 5_000, 0);
/// assert_eq!(records.get(key, 4_999), Some(&origin));
/// assert_eq!(records.get(key, 5_000), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OriginRecords {
    /// Origins with the times until which they are kept.
    by_stream: IndexMap<StreamKey, (StreamOrigin, u64)>,
}

impl OriginRecords {
    /// Adds a record that is kept until a time. The first record of a stream stays: it names the
    /// version that began the stream.
    ///
    /// ```
    /// # use sardinewood::direct::streams::{origin::{StreamKey, StreamOrigin}, origin_records::OriginRecords};
    /// let origin = StreamOrigin { service: "pool".into(), version: "v1".into() };
    /// OriginRecords::default().insert(StreamKey::new(None, "a", b"1"), origin, 5_000, 0);
    /// ```
    pub fn insert(&mut self, key: StreamKey, origin: StreamOrigin, until_ms: u64, now_ms: u64) {
        let until_ms = until_ms.min(now_ms + MAX_RETENTION_MS);
        if let Some((_, known_until_ms)) = self.by_stream.get_mut(&key) {
            *known_until_ms = until_ms.max(*known_until_ms);
            return;
        }
        if self.by_stream.len() >= MAX_RECORDS {
            self.expire(now_ms);
        }
        if self.by_stream.len() < MAX_RECORDS {
            self.by_stream.insert(key, (origin, until_ms));
        }
    }

    /// Returns where a stream began, if it is known. See [`OriginRecords`].
    #[must_use]
    pub fn get(&self, key: StreamKey, now_ms: u64) -> Option<&StreamOrigin> {
        let (origin, until_ms) = self.by_stream.get(&key)?;
        (now_ms < *until_ms).then_some(origin)
    }

    /// Returns the records of a service's streams, as they are told to other entries.
    ///
    /// ```
    /// # use sardinewood::direct::streams::origin_records::OriginRecords;
    /// assert!(OriginRecords::default().of_service("pool", 0).is_empty());
    /// ```
    #[must_use]
    pub fn of_service(&self, service: &str, now_ms: u64) -> Vec<OriginRecord> {
        let mut records = self.all(now_ms);
        records.retain(|record| *record.origin.service == *service);
        records
    }

    /// Returns all records, as they are told to other entries.
    ///
    /// ```
    /// # use sardinewood::direct::streams::origin_records::OriginRecords;
    /// assert!(OriginRecords::default().all(0).is_empty());
    /// ```
    #[must_use]
    pub fn all(&self, now_ms: u64) -> Vec<OriginRecord> {
        let records = self.by_stream.iter();
        records
            .filter(|(_, (_, until_ms))| now_ms < *until_ms)
            .map(|(key, (origin, until_ms))| OriginRecord {
                key: *key,
                origin: origin.clone(),
                remaining_ms: u32::try_from(until_ms - now_ms).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Drops the records whose callers' deadlines have passed.
    ///
    /// ```
    /// # use sardinewood::direct::streams::origin_records::OriginRecords;
    /// OriginRecords::default().expire(0);
    /// ```
    pub fn expire(&mut self, now_ms: u64) {
        self.by_stream.retain(|_, (_, until_ms)| now_ms < *until_ms);
    }

    /// Returns the number of records.
    ///
    /// ```
    /// # use sardinewood::direct::streams::origin_records::OriginRecords;
    /// assert_eq!(OriginRecords::default().len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Returns whether there are no records.
    ///
    /// ```
    /// # use sardinewood::direct::streams::origin_records::OriginRecords;
    /// assert!(OriginRecords::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }
}

/// Returns the entries that keep a stream's record, out of all entries with the hashes of their data
/// centres. They are in different data centres as far as there are so many.
///
/// ```
/// use sardinewood::direct::streams::origin::StreamKey;
/// use sardinewood::direct::streams::origin_records::record_owners;
///
/// let entries = [("10.0.0.1:7".parse().unwrap(), 1), ("10.0.0.2:7".parse().unwrap(), 1)];
/// assert_eq!(record_owners(StreamKey::new(None, "a", b"1"), entries).len(), 2);
/// ```
#[must_use]
pub fn record_owners(
    key: StreamKey,
    entries: impl IntoIterator<Item = (SocketAddr, u32)>,
) -> Vec<SocketAddr> {
    let mut entries: Vec<(SocketAddr, u32)> = entries.into_iter().collect();
    entries.sort_by_cached_key(|(entry, _)| {
        std::cmp::Reverse(admission::owner_weight(key.number(), *entry))
    });
    let mut owners = IndexSet::new();
    let mut data_centres = IndexSet::new();
    for (entry, data_centre) in &entries {
        if owners.len() < RECORD_OWNERS && data_centres.insert(*data_centre) {
            owners.insert(*entry);
        }
    }
    for (entry, _) in entries {
        if owners.len() < RECORD_OWNERS {
            owners.insert(entry);
        }
    }
    owners.into_iter().collect()
}
