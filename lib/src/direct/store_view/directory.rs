//! Which upstreams there are, as the platform's list says: through outages of that list, restarts
//! under the same name, and entries that no upstream wrote.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

/// How long an upstream that vanished around an outage of the store is still used. Live
/// upstreams write themselves back within about two seconds of the store's return; a little
/// is added for our own way to the list.
pub const RETURN_GRACE_MS: u64 = 2_300;

/// How long an entry of an older incarnation has to stand until it is believed after all. The
/// upstream that it hides writes its own entry with each heartbeat, every 1.2 s on the
/// deployments described; this is three of them, after which its silence means its end.
pub const OLDER_STANDS_MS: u64 = 3_600;

/// One incarnation of an upstream: one start of a process that runs requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Names this incarnation. Everything that is believed of an upstream is kept under this
    /// name, so nothing outlives a restart: neither counts and speeds nor connections and tries.
    pub instance: Arc<str>,
    /// The name that the platform's list gives it, which a restart may keep.
    pub name: Arc<str>,
    /// When this incarnation began, by the clock of its own host. Such clocks jump, so it is
    /// compared with other incarnations of the same name and with nothing else.
    pub born_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The version of its software.
    pub version: Arc<str>,
    /// The store's revision of its entry.
    pub revision: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Whether it has said that it will end.
    pub is_leaving: bool,
}

impl Upstream {
    /// Names an incarnation.
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
struct Member {
    upstream: Arc<Upstream>,
    /// When it vanished around an outage, if it has not come back.
    missing_since_ms: Option<u64>,
    /// An older incarnation's entry that stands in the list, and since when.
    older: Option<(Upstream, u64)>,
}

impl Member {
    fn new(upstream: Upstream) -> Self {
        Self {
            upstream: Arc::new(upstream),
            missing_since_ms: None,
            older: None,
        }
    }

    /// Takes an older incarnation's entry if it has stood for long enough; whether it did.
    fn believe_older(&mut self, now_ms: u64) -> bool {
        let is_due = |older: &mut (Upstream, u64)| now_ms >= older.1 + OLDER_STANDS_MS;
        let Some((upstream, _)) = self.older.take_if(is_due) else {
            return false;
        };
        *self = Self::new(upstream);
        true
    }
}

/// The upstreams that may be given work.
///
/// A store that was away loses the entries of live upstreams, for want of their renewals. An
/// entry that believed it would drop its whole fleet at the moment the store returns, and
/// refuse all work. What vanishes around an outage is therefore kept for
/// [`RETURN_GRACE_MS`]; what vanishes at other times, or had said that it leaves, goes at once.
///
/// A write of an incarnation that has ended may be done seconds late, over the entry of its
/// successor. Believed at once, it would bring back the counts, the drain and the speed of a
/// process that is gone. So the newer incarnation stays until its entry is written again, which
/// takes a heartbeat; only if that never comes, since the clock of its host was set back between
/// the two starts, does the entry count that stands in the list.
///
/// ```
/// use sardinewood::direct::store_view::directory::Directory;
///
/// assert!(Directory::default().usable().next().is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: IndexMap<Arc<str>, Member>,
    /// Until when a vanished entry may be one that the outage took.
    doubt_until_ms: u64,
    /// Whether upstreams here tell when they were born. An entry that does not is then none of
    /// theirs.
    tell_birth: bool,
}

impl Directory {
    /// Notes that the store answers again after it did not.
    ///
    /// ```
    /// sardinewood::direct::store_view::directory::Directory::default().store_recovered(1_000);
    /// ```
    pub fn store_recovered(&mut self, now_ms: u64) {
        self.doubt_until_ms = now_ms + RETURN_GRACE_MS;
    }

    /// Takes one upstream's entry.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::directory::{Directory, Upstream};
    /// let mut directory = Directory::default();
    /// directory.put(Upstream { instance: "i-1".into(), name: "i-1".into(), born_ms: None,
    ///     service: "s".into(), address: "127.0.0.1:80".parse().unwrap(),
    ///     data_centre: "d".into(), slots: 4, version: "v1".into(), revision: 1, is_leaving: false }, 0);
    /// assert_eq!(directory.usable().count(), 1);
    /// ```
    pub fn put(&mut self, upstream: Upstream, now_ms: u64) {
        self.tell_birth |= upstream.born_ms.is_some();
        match self.members.get_mut(&upstream.name) {
            Some(member) if upstream.is_older_than(&member.upstream) => {
                member.missing_since_ms = None;
                let since_ms = member.older.take().map_or(now_ms, |(_, since_ms)| since_ms);
                member.older = Some((upstream, since_ms));
            }
            Some(member) => *member = Member::new(upstream),
            None => {
                let name = Arc::clone(&upstream.name);
                self.members.insert(name, Member::new(upstream));
            }
        }
    }

    /// Notes that an upstream's entry is gone.
    ///
    /// ```
    /// sardinewood::direct::store_view::directory::Directory::default().remove("i-1", 0);
    /// ```
    pub fn remove(&mut self, name: &str, now_ms: u64) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if now_ms < self.doubt_until_ms && !member.upstream.is_leaving {
            member.missing_since_ms.get_or_insert(now_ms);
        } else {
            self.members.shift_remove(name);
        }
    }

    /// Notes that an entry names no upstream any more, since another writer's stands in its place;
    /// whether it named one.
    ///
    /// Unlike [`Self::remove`] it gives no time to come back: the list does answer, and what it
    /// says is that nobody vouches for this upstream.
    ///
    /// ```
    /// assert!(!sardinewood::direct::store_view::directory::Directory::default().disown("i-1"));
    /// ```
    pub fn disown(&mut self, name: &str) -> bool {
        self.members.shift_remove(name).is_some()
    }

    /// Drops what has not come back in time, and believes what has stood for long enough; true
    /// if anything changed.
    ///
    /// ```
    /// assert!(!sardinewood::direct::store_view::directory::Directory::default().sweep(0));
    /// ```
    pub fn sweep(&mut self, now_ms: u64) -> bool {
        let before = self.members.len();
        if now_ms >= self.doubt_until_ms {
            self.members
                .retain(|_, member| member.missing_since_ms.is_none());
        }
        let mut is_changed = self.members.len() != before;
        for member in self.members.values_mut() {
            is_changed |= member.believe_older(now_ms);
        }
        is_changed
    }

    /// When [`Self::sweep`] has something to do.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::store_view::directory::Directory::default().sweep_at_ms(), None);
    /// ```
    #[must_use]
    pub fn sweep_at_ms(&self) -> Option<u64> {
        let due_ms = |member: &Member| {
            let missing_ms = member.missing_since_ms.map(|_| self.doubt_until_ms);
            let older_ms = member.older.as_ref().map(|older| older.1 + OLDER_STANDS_MS);
            missing_ms.into_iter().chain(older_ms).min()
        };
        self.members.values().filter_map(due_ms).min()
    }

    /// Upstreams that take new work.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::store_view::directory::Directory::default().usable().count(), 0);
    /// ```
    pub fn usable(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.members
            .values()
            .map(|member| &member.upstream)
            .filter(|upstream| !upstream.is_leaving)
            .filter(|upstream| !self.tell_birth || upstream.born_ms.is_some())
    }
}
