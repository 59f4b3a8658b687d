//! Which upstreams there are, as the platform's list says, through outages of that list.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

/// How long an upstream that vanished around an outage of the store is still used. Live
/// upstreams write themselves back within about two seconds of the store's return; a little
/// is added for our own way to the list.
pub const RETURN_GRACE_MS: u64 = 2_300;

/// One process that runs requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Names this start of the process; another start has another name.
    pub instance: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Whether it has said that it will end.
    pub is_leaving: bool,
}

#[derive(Clone, Debug)]
struct Member {
    upstream: Arc<Upstream>,
    /// When it vanished around an outage, if it has not come back.
    missing_since_ms: Option<u64>,
}

/// The upstreams that may be given work.
///
/// A store that was away loses the entries of live upstreams, for want of their renewals. An
/// entry that believed it would drop its whole fleet at the moment the store returns, and
/// refuse all work. What vanishes around an outage is therefore kept for
/// [`RETURN_GRACE_MS`]; what vanishes at other times, or had said that it leaves, goes at once.
///
/// ```
/// use sardinewood::direct::directory::Directory;
///
/// assert!(Directory::default().usable().next().is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: IndexMap<Arc<str>, Member>,
    /// Until when a vanished entry may be one that the outage took.
    doubt_until_ms: u64,
}

impl Directory {
    /// Notes that the store answers again after it did not.
    ///
    /// ```
    /// sardinewood::direct::directory::Directory::default().store_returned(1_000);
    /// ```
    pub fn store_returned(&mut self, now_ms: u64) {
        self.doubt_until_ms = now_ms + RETURN_GRACE_MS;
    }

    /// Takes the whole list.
    ///
    /// ```
    /// let mut directory = sardinewood::direct::directory::Directory::default();
    /// directory.replace(Vec::new(), 0);
    /// ```
    pub fn replace(&mut self, list: Vec<Upstream>, now_ms: u64) {
        let mut before = std::mem::take(&mut self.members);
        for upstream in list {
            before.swap_remove(&upstream.instance);
            self.put(upstream);
        }
        for (instance, member) in before {
            self.members.insert(Arc::clone(&instance), member);
            self.remove(&instance, now_ms);
        }
    }

    /// Takes one upstream's entry.
    ///
    /// ```
    /// # use sardinewood::direct::directory::{Directory, Upstream};
    /// let mut directory = Directory::default();
    /// directory.put(Upstream { instance: "i-1".into(), service: "s".into(), is_leaving: false,
    ///     address: "127.0.0.1:80".parse().unwrap(), data_centre: "d".into(), slots: 4 });
    /// assert_eq!(directory.usable().count(), 1);
    /// ```
    pub fn put(&mut self, upstream: Upstream) {
        let member = Member {
            upstream: Arc::new(upstream),
            missing_since_ms: None,
        };
        self.members
            .insert(Arc::clone(&member.upstream.instance), member);
    }

    /// Notes that an upstream's entry is gone.
    ///
    /// ```
    /// sardinewood::direct::directory::Directory::default().remove("i-1", 0);
    /// ```
    pub fn remove(&mut self, instance: &str, now_ms: u64) {
        let Some(member) = self.members.get_mut(instance) else {
            return;
        };
        if now_ms < self.doubt_until_ms && !member.upstream.is_leaving {
            member.missing_since_ms.get_or_insert(now_ms);
        } else {
            self.members.shift_remove(instance);
        }
    }

    /// Drops what has not come back in time; true if anything was dropped.
    ///
    /// ```
    /// assert!(!sardinewood::direct::directory::Directory::default().sweep(0));
    /// ```
    pub fn sweep(&mut self, now_ms: u64) -> bool {
        let before = self.members.len();
        let is_due = now_ms >= self.doubt_until_ms;
        self.members
            .retain(|_, member| member.missing_since_ms.is_none() || !is_due);
        self.members.len() != before
    }

    /// When [`Self::sweep`] has something to do.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::directory::Directory::default().sweep_at_ms(), None);
    /// ```
    #[must_use]
    pub fn sweep_at_ms(&self) -> Option<u64> {
        self.members
            .values()
            .any(|member| member.missing_since_ms.is_some())
            .then_some(self.doubt_until_ms)
    }

    /// Upstreams that take new work.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::directory::Directory::default().usable().count(), 0);
    /// ```
    pub fn usable(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.members
            .values()
            .map(|member| &member.upstream)
            .filter(|upstream| !upstream.is_leaving)
    }
}
