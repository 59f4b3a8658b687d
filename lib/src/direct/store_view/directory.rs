//! The upstreams in the platform's list, kept usable through outages of the store, restarts under
//! the same name, and entries that no upstream wrote.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::direct::store_view::departures::Departure;
use crate::direct::store_view::departures::Departures;
use crate::direct::store_view::lapses::Lapses;
use crate::direct::streams::version_history::ServiceVersion;
use crate::store::position::StorePosition;

/// Shortest time for which an upstream is still used that a new era of the store lacks.
const MIN_ERA_GRACE_MS: u64 = 2_300;
/// Time, beyond that between two heartbeats of an upstream, for which an upstream is still used that
/// a new era of the store lacks. Upstreams write their entries again with their next heartbeat.
const REWRITE_DELAY_MS: u64 = 1_100;

/// Heartbeats of an upstream that may be missing before it is taken to have ended.
pub const MISSED_HEARTBEATS: u32 = 3;
/// Time without a heartbeat after which an upstream is taken to have ended, if the platform does not
/// say how often upstreams send one.
pub const DEFAULT_SILENCE_MS: u64 = 3_600;

/// Returns the shortest outage of the store in which the entry of an upstream that lives may lapse. The
/// last heartbeat may have been due just when the store went away, and may have been late by a quarter.
///
/// ```
/// use sardinewood::direct::store_view::directory::lapse_after_ms;
///
/// assert_eq!(lapse_after_ms(3_600), 2_100);
/// ```
#[must_use]
pub fn lapse_after_ms(silence_ms: u64) -> u64 {
    let heartbeat_ms = heartbeat_ms(silence_ms);
    silence_ms - heartbeat_ms - heartbeat_ms / 4
}

/// Returns the time between two heartbeats of an upstream.
fn heartbeat_ms(silence_ms: u64) -> u64 {
    silence_ms / u64::from(MISSED_HEARTBEATS)
}

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

/// An incarnation whose entry in the list has announced its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingUpstream {
    /// Id of the incarnation.
    pub instance: Arc<str>,
    /// Whether the list says now that it takes requests, so that others may not know.
    pub is_revoked: bool,
}

/// What applying an upstream's entry found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutEffect {
    /// The entry was applied.
    Applied,
    /// The entry says that an incarnation takes requests that has announced its end. The incarnation
    /// is not used.
    LeavingRevoked,
    /// The entry says that an incarnation takes requests that was removed. The incarnation is used if
    /// its entry stays in the list.
    Withheld,
}

/// What the removal of an upstream's entry led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoveEffect {
    /// The upstream was not known.
    Unknown,
    /// The upstream is not used any more.
    Removed,
    /// The upstream is used for now, as its entry may have lapsed in an outage.
    Kept,
}

/// Why an upstream is used whose entry has disappeared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    /// Its entry may have lapsed in an outage of the store.
    MayHaveLapsed { until_ms: u64 },
    /// The store has lost its entry with the end of an era.
    Lost { until_ms: u64 },
}

impl Missing {
    /// Returns until when the upstream is used.
    fn until_ms(self) -> u64 {
        match self {
            Self::MayHaveLapsed { until_ms } | Self::Lost { until_ms } => until_ms,
        }
    }
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    upstream: Arc<Upstream>,
    /// Why the upstream is used although the entry has disappeared; none if it is there.
    missing: Option<Missing>,
    /// What the list says instead, and when that is accepted: an older incarnation, or that an upstream
    /// takes requests that was removed.
    doubted: Option<(Upstream, u64)>,
    /// Whether the entry says that the upstream takes requests, which had announced its end before.
    is_revoked: bool,
}

impl DirectoryEntry {
    fn new(upstream: Upstream) -> Self {
        Self {
            upstream: Arc::new(upstream),
            missing: None,
            doubted: None,
            is_revoked: false,
        }
    }

    /// Creates the entry of an upstream that is not used until the list has said up to a time that it
    /// takes requests.
    fn withheld(upstream: Upstream, until_ms: u64) -> Self {
        let leaving = Upstream {
            is_leaving: true,
            ..upstream.clone()
        };
        Self {
            doubted: Some((upstream, until_ms)),
            ..Self::new(leaving)
        }
    }

    /// Returns until when the upstream is used as its entry may have lapsed.
    fn lapsed_until_ms(&self) -> Option<u64> {
        match self.missing? {
            Missing::MayHaveLapsed { until_ms } => Some(until_ms),
            Missing::Lost { .. } => None,
        }
    }

    fn is_withheld(&self) -> bool {
        let doubted = self.doubted.as_ref();
        doubted.is_some_and(|(doubted, _)| doubted.instance == self.upstream.instance)
    }

    /// Returns whether this incarnation is listed and has announced its end.
    fn has_announced(&self, instance: &str) -> bool {
        *self.upstream.instance == *instance && self.upstream.is_leaving && !self.is_withheld()
    }

    /// Accepts what the list says if it has said so for long enough. Returns whether it was
    /// accepted.
    fn accept_doubted(&mut self, now_ms: u64) -> bool {
        let is_due = |doubted: &mut (Upstream, u64)| now_ms >= doubted.1;
        let Some((upstream, _)) = self.doubted.take_if(is_due) else {
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
/// returns, and refuse all requests. Upstreams that disappear while entries may have lapsed are
/// therefore kept until the deadline that [`Self::set_lapses`] has named. Upstreams that disappear at
/// other times, or that had announced their end, are removed at once.
///
/// The last write of an incarnation that has ended may be applied seconds late and replace the
/// entry of its successor. If it were accepted at once, the counts, the drain state and the speed
/// of the ended process would be used again. So the newer incarnation stays in use until its entry
/// is written again, which takes one heartbeat. Only if that does not happen, because the clock of
/// the host was set back between the two starts, is the entry in the list accepted.
///
/// Likewise, an earlier write of an incarnation that leaves may be applied after the one that
/// announced its end, or after the removal of its entry. A process that ends does not stay, so the
/// announcement holds whatever the list says of that incarnation later. A removal alone may be due to
/// a host that was cut off for some time: the incarnation is used again once its entry has been in the
/// list, without being written anew, for longer than the store keeps one that is not renewed.
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
    /// Whether a missing entry may be due to an outage.
    lapses: Lapses<u64>,
    /// Time until which the store may drop entries that it has returned with from an older copy, and whose
    /// upstreams live.
    era_settled_ms: u64,
    departures: Departures,
    /// Whether upstreams in this list give their start time. An entry without one was then not
    /// written by an upstream.
    reports_start_time: bool,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            entries: IndexMap::new(),
            silence_ms: DEFAULT_SILENCE_MS,
            lapses: Lapses::Excluded,
            era_settled_ms: 0,
            departures: Departures::default(),
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

    /// Sets whether entries of upstreams that live may have disappeared in an outage of the store. Returns
    /// whether upstreams are removed that were used for that reason.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::{directory::Directory, lapses::Lapses};
    /// assert!(!Directory::default().set_lapses(Lapses::Until(9_000), 8_000));
    /// ```
    pub fn set_lapses(&mut self, lapses: Lapses<u64>, now_ms: u64) -> bool {
        self.lapses = lapses;
        lapses == Lapses::Excluded
            && self.drop_missing(Departure::Removed, now_ms, |entry| {
                let until_ms = entry.lapsed_until_ms();
                until_ms.is_some_and(|until_ms| now_ms < until_ms)
            })
    }

    /// Returns for how long upstreams whose entries disappear now are used; none if they are removed at
    /// once.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::directory::Directory;
    /// assert_eq!(Directory::default().missing_kept_for_ms(0), None);
    /// ```
    #[must_use]
    pub fn missing_kept_for_ms(&self, now_ms: u64) -> Option<u64> {
        match self.lapses {
            Lapses::Until(until_ms) => until_ms.checked_sub(now_ms),
            Lapses::Excluded | Lapses::Possible => None,
        }
    }

    /// Removes missing upstreams. Returns whether there were any.
    fn drop_missing(
        &mut self,
        departure: Departure,
        now_ms: u64,
        is_dropped: impl Fn(&DirectoryEntry) -> bool,
    ) -> bool {
        let dropped = self.entries.extract_if(.., |_, entry| is_dropped(entry));
        let dropped: Vec<_> = dropped.collect();
        for (_, entry) in &dropped {
            let instance = &entry.upstream.instance;
            self.departures.record(instance, departure, now_ms);
        }
        !dropped.is_empty()
    }

    /// Returns the time for which an upstream is still used that a new era of the store lacks.
    ///
    /// ```
    /// use sardinewood::direct::store_view::directory::Directory;
    ///
    /// assert_eq!(Directory::default().era_grace_ms(), 2_300);
    /// ```
    #[must_use]
    pub fn era_grace_ms(&self) -> u64 {
        MIN_ERA_GRACE_MS.max(heartbeat_ms(self.silence_ms) + REWRITE_DELAY_MS)
    }

    /// Records that the store has returned from an older copy of itself, before the entries of the copy are
    /// applied by [`Self::put_of_copy`], and what it lacks by [`Self::keep_lost`].
    ///
    /// ```
    /// sardinewood::direct::store_view::directory::Directory::default().begin_era(1_000);
    /// ```
    pub fn begin_era(&mut self, now_ms: u64) {
        self.era_settled_ms = now_ms + self.era_grace_ms();
    }

    /// Keeps an upstream that the older copy lacks from which the store has returned, as it registered after
    /// the copy was taken. It is used for [`Self::era_grace_ms`], in which it writes its entry again. One
    /// that has announced its end is removed.
    ///
    /// ```
    /// sardinewood::direct::store_view::directory::Directory::default().keep_lost("i-1", 1_000);
    /// ```
    pub fn keep_lost(&mut self, name: &str, now_ms: u64) {
        let until_ms = now_ms + self.era_grace_ms();
        match self.entries.get_mut(name) {
            Some(entry) if !entry.upstream.is_leaving => {
                entry.missing = Some(Missing::Lost { until_ms });
            }
            Some(_) => self.delete(name, now_ms),
            None => {}
        }
    }

    /// Applies an upstream's entry in the copy that the store has returned from.
    ///
    /// The copy has entries of upstreams that have been removed since. These are not used before they have
    /// been in the list for longer than the store keeps the entry of a silent upstream, and those that
    /// have lapsed not before they write their entries again, if that is sooner. Upstreams that have
    /// announced their end since are not used at all.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::directory::{Directory, Upstream};
    /// let mut directory = Directory::default();
    /// let upstream = Upstream { instance: "i-1".into(), name: "i-1".into(), born_ms: None,
    ///     service: "s".into(), address: "127.0.0.1:80".parse().unwrap(),
    ///     data_centre: "d".into(), slots: 4, version: "v1".into(), revision: Default::default(),
    ///     is_leaving: false };
    /// directory.put(upstream.clone(), 0);
    /// directory.remove("i-1", 0);
    /// directory.put_of_copy(upstream, 1_000);
    /// assert_eq!(directory.usable().count(), 0);
    /// assert!(directory.sweep(9_000));
    /// assert_eq!(directory.usable().count(), 1);
    /// ```
    pub fn put_of_copy(&mut self, upstream: Upstream, now_ms: u64) -> PutEffect {
        let is_unknown = !self.entries.contains_key(&upstream.name);
        match self.departures.of(&upstream.instance, now_ms) {
            Some(Departure::Lapsed | Departure::Removed) if is_unknown && !upstream.is_leaving => {
                self.withhold(upstream, now_ms)
            }
            _ => self.put(upstream, now_ms),
        }
    }

    /// Does not use an upstream until its entry has stayed. Each write renews the entry, and the store may
    /// drop it a moment after its upstream counts as silent.
    fn withhold(&mut self, upstream: Upstream, now_ms: u64) -> PutEffect {
        let until_ms = now_ms + self.silence_ms + heartbeat_ms(self.silence_ms);
        self.reports_start_time |= upstream.born_ms.is_some();
        let name = Arc::clone(&upstream.name);
        self.entries
            .insert(name, DirectoryEntry::withheld(upstream, until_ms));
        PutEffect::Withheld
    }

    /// Returns the names of the upstreams that are in the list and not used, as they were removed
    /// before.
    ///
    /// ```
    /// assert!(sardinewood::direct::store_view::directory::Directory::default().withheld_names().is_empty());
    /// ```
    #[must_use]
    pub fn withheld_names(&self) -> Vec<&Arc<str>> {
        let entries = self.entries.iter();
        let withheld = entries.filter(|(_, entry)| entry.is_withheld());
        withheld.map(|(name, _)| name).collect()
    }

    /// Returns the incarnations that have announced their end, for as long as they are listed or their
    /// entries may come back.
    ///
    /// ```
    /// assert!(sardinewood::direct::store_view::directory::Directory::default().leaving().is_empty());
    /// ```
    #[must_use]
    pub fn leaving(&self) -> Vec<LeavingUpstream> {
        let unlisted = self.departures.having(Departure::Announced);
        let unlisted = unlisted.map(|instance| (Arc::clone(instance), false));
        let entries = self.entries.values();
        let listed = entries
            .filter(|entry| entry.has_announced(&entry.upstream.instance))
            .map(|entry| (Arc::clone(&entry.upstream.instance), entry.is_revoked));
        let leaving: IndexMap<Arc<str>, bool> = unlisted.chain(listed).collect();
        leaving
            .into_iter()
            .map(|(instance, is_revoked)| LeavingUpstream {
                instance,
                is_revoked,
            })
            .collect()
    }

    /// Returns the incarnations that were removed lately and are not used, the latest first.
    ///
    /// ```
    /// assert!(sardinewood::direct::store_view::directory::Directory::default().removed().is_empty());
    /// ```
    #[must_use]
    pub fn removed(&self) -> Vec<Arc<str>> {
        let entries = self.entries.values().filter(|entry| !entry.is_withheld());
        let used: IndexSet<&str> = entries.map(|entry| &*entry.upstream.instance).collect();
        let removed = self.departures.having(Departure::Removed).rev();
        removed
            .filter(|instance| !used.contains(&***instance))
            .cloned()
            .collect()
    }

    /// Records that a peer knows an incarnation as removed and does not use it. If nothing is known of
    /// that here and the list has its entry, an earlier write or a copy of the store has brought it
    /// back. Returns whether it was news.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::directory::Directory;
    /// let mut directory = Directory::default();
    /// assert!(directory.record_told_removal("i-1", 0));
    /// assert!(!directory.record_told_removal("i-1", 0));
    /// ```
    pub fn record_told_removal(&mut self, instance: &str, now_ms: u64) -> bool {
        if self.departures.of(instance, now_ms).is_some() {
            return false;
        }
        self.departures.record(instance, Departure::Removed, now_ms);
        let is_listed = |entry: &&DirectoryEntry| {
            *entry.upstream.instance == *instance
                && !entry.upstream.is_leaving
                && entry.missing.is_none()
        };
        if let Some(listed) = self.entries.values().find(is_listed) {
            self.withhold(Upstream::clone(&listed.upstream), now_ms);
        }
        true
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
    pub fn put(&mut self, mut upstream: Upstream, now_ms: u64) -> PutEffect {
        let known = self.entries.get_mut(&upstream.name);
        let departure = self.departures.of(&upstream.instance, now_ms);
        let has_announced = departure == Some(Departure::Announced)
            || known
                .as_ref()
                .is_some_and(|known| known.has_announced(&upstream.instance));
        let is_revoked = has_announced && !upstream.is_leaving;
        upstream.is_leaving |= has_announced;
        if upstream.is_leaving {
            let instance = &upstream.instance;
            self.departures
                .record(instance, Departure::Announced, now_ms);
        } else if departure == Some(Departure::Removed)
            && known.as_ref().is_none_or(|known| known.is_withheld())
        {
            return self.withhold(upstream, now_ms);
        }
        self.reports_start_time |= upstream.born_ms.is_some();
        match known {
            Some(known) if upstream.is_older_than(&known.upstream) => {
                known.missing = None;
                let doubted = known.doubted.take();
                let until_ms = doubted.map_or(now_ms + self.silence_ms, |(_, until_ms)| until_ms);
                known.doubted = Some((upstream, until_ms));
            }
            Some(_) | None => {
                let name = Arc::clone(&upstream.name);
                let entry = DirectoryEntry {
                    is_revoked,
                    ..DirectoryEntry::new(upstream)
                };
                self.entries.insert(name, entry);
            }
        }
        if is_revoked {
            PutEffect::LeavingRevoked
        } else {
            PutEffect::Applied
        }
    }

    /// Records that an upstream's entry was removed.
    ///
    /// ```
    /// sardinewood::direct::store_view::directory::Directory::default().remove("i-1", 0);
    /// ```
    pub fn remove(&mut self, name: &str, now_ms: u64) -> RemoveEffect {
        let Some(entry) = self.entries.get_mut(name) else {
            return RemoveEffect::Unknown;
        };
        if let Lapses::Until(until_ms) = self.lapses
            && now_ms < until_ms
            && !entry.upstream.is_leaving
        {
            entry.missing = Some(Missing::MayHaveLapsed { until_ms });
            return RemoveEffect::Kept;
        }
        self.delete(name, now_ms);
        RemoveEffect::Removed
    }

    fn delete(&mut self, name: &str, now_ms: u64) {
        if let Some(entry) = self.entries.shift_remove(name) {
            let instance = &entry.upstream.instance;
            let departure = match self.lapses {
                _ if entry.has_announced(instance) => Departure::Announced,
                Lapses::Excluded if now_ms >= self.era_settled_ms => Departure::Removed,
                Lapses::Excluded | Lapses::Possible | Lapses::Until(_) => Departure::Lapsed,
            };
            self.departures.record(instance, departure, now_ms);
        }
    }

    /// Returns the number of upstreams that are used though their entries have disappeared.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::store_view::directory::Directory::default().missing_count(), 0);
    /// ```
    #[must_use]
    pub fn missing_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.missing.is_some()).count()
    }

    /// Returns the incarnations that are used because their entries may have lapsed in an outage, and until
    /// when.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::directory::Directory;
    /// assert_eq!(Directory::default().may_have_lapsed().count(), 0);
    /// ```
    pub fn may_have_lapsed(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let entries = self.entries.values();
        entries.filter_map(|entry| Some((&entry.upstream.instance, entry.lapsed_until_ms()?)))
    }

    /// Removes an upstream whose entry was replaced by one that describes no upstream. Returns
    /// whether the upstream was known.
    ///
    /// Unlike [`Self::remove`], it has no grace period: the store answers, and its list no longer
    /// confirms this upstream. It is no sign that the upstream leaves, which may write its entry again.
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
        let mut is_changed = self.drop_missing(Departure::Lapsed, now_ms, |entry| {
            let missing = entry.missing;
            missing.is_some_and(|missing| now_ms >= missing.until_ms())
        });
        for entry in self.entries.values_mut() {
            is_changed |= entry.accept_doubted(now_ms);
        }
        is_changed
    }

    /// Forgets the departures that are no longer remembered. Returns whether there were any.
    ///
    /// ```
    /// assert!(!sardinewood::direct::store_view::directory::Directory::default().expire_departures(0));
    /// ```
    pub fn expire_departures(&mut self, now_ms: u64) -> bool {
        self.departures.expire(now_ms)
    }

    /// Returns the time at which [`Self::sweep`] is due next.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::store_view::directory::Directory::default().next_sweep_ms(), None);
    /// ```
    #[must_use]
    pub fn next_sweep_ms(&self) -> Option<u64> {
        let due_ms = |entry: &DirectoryEntry| {
            let missing_ms = entry.missing.map(Missing::until_ms);
            let doubted = entry.doubted.as_ref();
            let doubted_ms = doubted.map(|(_, until_ms)| *until_ms);
            missing_ms.into_iter().chain(doubted_ms).min()
        };
        self.entries.values().filter_map(due_ms).min()
    }

    /// Returns the versions of all listed upstreams, also of those that leave or are not used for now.
    ///
    /// ```
    /// assert!(sardinewood::direct::store_view::directory::Directory::default().versions().is_empty());
    /// ```
    #[must_use]
    pub fn versions(&self) -> IndexSet<ServiceVersion> {
        self.written_by_upstreams()
            .map(|upstream| (Arc::clone(&upstream.service), Arc::clone(&upstream.version)))
            .collect()
    }

    /// Returns the upstreams that accept new requests.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::store_view::directory::Directory::default().usable().count(), 0);
    /// ```
    pub fn usable(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.written_by_upstreams()
            .filter(|upstream| !upstream.is_leaving)
    }

    fn written_by_upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries
            .values()
            .map(|entry| &entry.upstream)
            .filter(|upstream| !self.reports_start_time || upstream.born_ms.is_some())
    }
}
