//! The upstreams in the platform's list, kept usable through outages of the store, restarts under
//! the same name, and entries that no upstream wrote.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::store::position::StorePosition;

/// Time for which an upstream that disappeared around an outage of the store is still used. Live
/// upstreams rewrite their entries within about two seconds of the store's return; the rest is for
/// the delay until this process sees them.
pub const RETURN_GRACE_MS: u64 = 2_300;

/// Heartbeats of an upstream that may be missing before it is taken to have ended.
pub const MISSED_HEARTBEATS: u32 = 3;
/// Time without a heartbeat after which an upstream is taken to have ended, if the platform does not
/// say how often upstreams send one.
pub const DEFAULT_SILENCE_MS: u64 = 3_600;

/// One incarnation of an upstream, that is, one start of a process that runs requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Id of this incarnation. All state of an upstream is kept under this id, so that no counts,
    /// speeds, connections or attempts are carried over a restart.
    pub instance: Arc<str>,
    /// Name in the platform's list, which a restarted upstream may keep.
    pub name: Arc<str>,
    /// Start time of this incarnation by the clock of its host. Such clocks can jump, so it is only
    /// compared with other incarnations of the same name.
    pub born_ms: Option<u64>,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Version of the upstream's software.
    pub version: Arc<str>,
    /// Position of the upstream's entry in the store.
    pub revision: StorePosition,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: Arc<str>,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream has announced that it will end.
    pub is_leaving: bool,
}

impl Upstream {
    /// Returns the id of an incarnation.
    ///
    /// ```
    /// use sardinewood::direct::store_view::directory::Upstream;
    ///
    /// assert_eq!(&*Upstream::instance_id("i-1", None), "i-1");
    /// assert_ne!(Upstream::instance_id("i-1", Some(5)), Upstream::instance_id("i-1", Some(6)));
    /// ```
    #[must_use]
    pub fn instance_id(name: &str, born_ms: Option<u64>) -> Arc<str> {
        match born_ms {
            Some(born_ms) => format!("{name}@{born_ms}").into(),
            None => name.into(),
        }
    }

    fn is_older_than(&self, other: &Self) -> bool {
        match (self.born_ms, other.born_ms) {
            (Some(own), Some(other)) => own < other,
            _ => false,
        }
    }
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    upstream: Arc<Upstream>,
    /// Time at which the entry disappeared around an outage, if it has not returned.
    missing_since_ms: Option<u64>,
    /// Entry of an older incarnation that is in the list, and the time at which it appeared.
    older: Option<(Upstream, u64)>,
}

impl DirectoryEntry {
    fn new(upstream: Upstream) -> Self {
        Self {
            upstream: Arc::new(upstream),
            missing_since_ms: None,
            older: None,
        }
    }

    /// Accepts the entry of an older incarnation if it has been in the list for long enough.
    /// Returns whether it was accepted.
    fn accept_older(&mut self, silence_ms: u64, now_ms: u64) -> bool {
        let is_due = |older: &mut (Upstream, u64)| now_ms >= older.1 + silence_ms;
        let Some((upstream, _)) = self.older.take_if(is_due) else {
            return false;
        };
        *self = Self::new(upstream);
        true
    }
}

/// The upstreams that may be sent requests.
///
/// During an outage, the store loses the entries of live upstreams because they cannot renew them.
/// If this process applied that list, it would drop all of its upstreams as soon as the store
/// returns, and refuse all requests. Upstreams that disappear around an outage are therefore kept
/// for [`RETURN_GRACE_MS`]. Upstreams that disappear at other times, or that had announced their
/// end, are removed at once.
///
/// The last write of an incarnation that has ended may be applied seconds late and replace the
/// entry of its successor. If it were accepted at once, the counts, the drain state and the speed
/// of the ended process would be used again. So the newer incarnation stays in use until its entry
/// is written again, which takes one heartbeat. Only if that does not happen, because the clock of
/// the host was set back between the two starts, is the entry in the list accepted.
///
/// ```
/// use sardinewood::direct::store_view::directory::Directory;
///
/// assert!(Directory::default().usable().next().is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Directory {
    entries: IndexMap<Arc<str>, DirectoryEntry>,
    /// Time without a heartbeat after which an upstream is taken to have ended.
    silence_ms: u64,
    /// Time until which a missing entry may be due to the outage.
    grace_until_ms: u64,
    /// Whether upstreams in this list give their start time. An entry without one was then not
    /// written by an upstream.
    reports_start_time: bool,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            entries: IndexMap::new(),
            silence_ms: DEFAULT_SILENCE_MS,
            grace_until_ms: 0,
            reports_start_time: false,
        }
    }
}

impl Directory {
    /// Sets the time without a heartbeat after which an upstream is taken to have ended. The entry
    /// of an older incarnation is accepted if it is in the list for that long: a newer one would
    /// have written its own entry meanwhile.
    ///
    /// ```
    /// sardinewood::direct::store_view::directory::Directory::default().set_silence_ms(9_000);
    /// ```
    pub fn set_silence_ms(&mut self, silence_ms: u64) {
        self.silence_ms = silence_ms;
    }

    /// Records that the store answers again after an outage.
    ///
    /// ```
    /// sardinewood::direct::store_view::directory::Directory::default().store_recovered(1_000);
    /// ```
    pub fn store_recovered(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + RETURN_GRACE_MS;
    }

    /// Applies an upstream's entry.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::directory::{Directory, Upstream};
    /// let mut directory = Directory::default();
    /// directory.put(Upstream { instance: "i-1".into(), name: "i-1".into(), born_ms: None,
    ///     service: "s".into(), address: "127.0.0.1:80".parse().unwrap(),
    ///     data_centre: "d".into(), slots: 4, version: "v1".into(), revision: Default::default(), is_leaving: false }, 0);
    /// assert_eq!(directory.usable().count(), 1);
    /// ```
    pub fn put(&mut self, upstream: Upstream, now_ms: u64) {
        self.reports_start_time |= upstream.born_ms.is_some();
        match self.entries.get_mut(&upstream.name) {
            Some(entry) if upstream.is_older_than(&entry.upstream) => {
                entry.missing_since_ms = None;
                let since_ms = entry.older.take().map_or(now_ms, |(_, since_ms)| since_ms);
                entry.older = Some((upstream, since_ms));
            }
            Some(entry) => *entry = DirectoryEntry::new(upstream),
            None => {
                let name = Arc::clone(&upstream.name);
                self.entries.insert(name, DirectoryEntry::new(upstream));
            }
        }
    }

    /// Records that an upstream's entry was removed.
    ///
    /// ```
    /// sardinewood::direct::store_view::directory::Directory::default().remove("i-1", 0);
    /// ```
    pub fn remove(&mut self, name: &str, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if now_ms < self.grace_until_ms && !entry.upstream.is_leaving {
            entry.missing_since_ms.get_or_insert(now_ms);
        } else {
            self.entries.shift_remove(name);
        }
    }

    /// Removes an upstream whose entry was replaced by one that describes no upstream. Returns
    /// whether the upstream was known.
    ///
    /// Unlike [`Self::remove`], it has no grace period: the store answers, and its list no longer
    /// confirms this upstream.
    ///
    /// ```
    /// assert!(!sardinewood::direct::store_view::directory::Directory::default().remove_invalid("i-1"));
    /// ```
    pub fn remove_invalid(&mut self, name: &str) -> bool {
        self.entries.shift_remove(name).is_some()
    }

    /// Removes upstreams that have not returned in time, and accepts entries of older incarnations
    /// that have been in the list for long enough. Returns whether anything changed.
    ///
    /// ```
    /// assert!(!sardinewood::direct::store_view::directory::Directory::default().sweep(0));
    /// ```
    pub fn sweep(&mut self, now_ms: u64) -> bool {
        let before = self.entries.len();
        if now_ms >= self.grace_until_ms {
            self.entries
                .retain(|_, entry| entry.missing_since_ms.is_none());
        }
        let mut is_changed = self.entries.len() != before;
        for entry in self.entries.values_mut() {
            is_changed |= entry.accept_older(self.silence_ms, now_ms);
        }
        is_changed
    }

    /// Returns the time at which [`Self::sweep`] is due next.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::store_view::directory::Directory::default().next_sweep_ms(), None);
    /// ```
    #[must_use]
    pub fn next_sweep_ms(&self) -> Option<u64> {
        let due_ms = |entry: &DirectoryEntry| {
            let missing_ms = entry.missing_since_ms.map(|_| self.grace_until_ms);
            let older_ms = entry.older.as_ref().map(|older| older.1 + self.silence_ms);
            missing_ms.into_iter().chain(older_ms).min()
        };
        self.entries.values().filter_map(due_ms).min()
    }

    /// Returns the upstreams that accept new requests.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::store_view::directory::Directory::default().usable().count(), 0);
    /// ```
    pub fn usable(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries
            .values()
            .map(|entry| &entry.upstream)
            .filter(|upstream| !upstream.is_leaving)
            .filter(|upstream| !self.reports_start_time || upstream.born_ms.is_some())
    }
}
