//! What holds of each upstream by its answers so far, at this entry and at the others.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::direct::notices::notice::NoticeField;
use crate::direct::notices::notice::UpstreamNotice;
use crate::direct::notices::upstream_state::LimitNews;
use crate::direct::notices::upstream_state::MomentMs;
use crate::direct::notices::upstream_state::NoticeUpdate;
use crate::direct::notices::upstream_state::Record;
use crate::direct::notices::upstream_state::Shown;
use crate::direct::placement::dispatch::upstream_hash;
use crate::numbers::signed;

/// Upstreams of which something is known, at most, and how many of them by peers alone: what an
/// upstream tells this entry itself finds room whatever peers tell.
const MAX_UPSTREAMS: usize = 4_096;
const MAX_HEARD: usize = 3_072;
/// Upstreams in one message: each takes 23 bytes at most.
const MAX_TOLD: usize = 50;
/// The longest rest that an upstream is given if no setting says otherwise.
pub const DEFAULT_MAX_BACKOFF_MS: u64 = 600_000;
/// Time between two repetitions of what answers say to the keeper of an upstream's door.
const REPEAT_MS: MomentMs = 1_000;
/// How long it is remembered of an upstream that is not listed, which may be one that this entry
/// does not know yet.
const UNLISTED_MS: MomentMs = 60_000;
/// How long it is remembered that a limit has ended: until entries that were cut off no longer
/// tell of it as if it stood.
const ENDED_MS: MomentMs = 60_000;

/// What an answer has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// The upstream takes no more than so many requests in 1,000 seconds.
    Limited(u32),
    /// It no longer names a limit.
    Unlimited,
    /// It names a limit that can't be read. What held before holds on.
    InvalidLimit(Arc<str>),
    /// It will end.
    Leaving,
    /// It wants nothing from this entry for so long, in milliseconds.
    BackingOff(u64),
    /// It asks for rest of a length that can't be read.
    InvalidBackoff(Arc<str>),
}

impl NoticeChange {
    /// Whether the other entries have to know it.
    ///
    /// ```
    /// use sardinewood::direct::notices::upstream_notices::NoticeChange;
    ///
    /// assert!(NoticeChange::Leaving.is_shared() && !NoticeChange::BackingOff(3_000).is_shared());
    /// ```
    #[must_use]
    pub fn is_shared(&self) -> bool {
        matches!(self, Self::Limited(_) | Self::Unlimited | Self::Leaving)
    }
}

/// What upstreams have said of themselves, by incarnation.
///
/// Entries merge what they have heard in any order: the latest answer holds.
///
/// ```
/// use sardinewood::direct::notices::upstream_notices::{NoticeChange, UpstreamNotices};
/// use sardinewood::direct::notices::notice::{UpstreamNotice, NoticeField};
///
/// let (mut one, mut other) = (UpstreamNotices::default(), UpstreamNotices::default());
/// let limited = UpstreamNotice { limit_per_1000_s: NoticeField::Value(1_400), ..UpstreamNotice::default() };
/// assert_eq!(one.record("i-1", &limited, 10), [NoticeChange::Limited(1_400)]);
/// assert_eq!(one.record("i-1", &limited, 20), []);
///
/// assert_eq!(other.merge(&one.updates_for_instance("i-1", 30), 30).len(), 1);
/// assert_eq!(other.limited_count(), 1);
/// assert_eq!(other.record("i-1", &UpstreamNotice::default(), 40), [NoticeChange::Unlimited]);
/// assert_eq!(one.merge(&other.updates_for_instance("i-1", 50), 50).len(), 1);
/// assert_eq!(one.limited_count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamNotices {
    by_upstream: IndexMap<u32, Record>,
    longest_rest_ms: u64,
    /// Which record the next repetition begins with.
    next: usize,
}

impl Default for UpstreamNotices {
    fn default() -> Self {
        Self {
            by_upstream: IndexMap::new(),
            longest_rest_ms: DEFAULT_MAX_BACKOFF_MS,
            next: 0,
        }
    }
}

impl UpstreamNotices {
    /// Takes the longest rest that an upstream is given, whatever it asks for.
    ///
    /// ```
    /// # use sardinewood::direct::notices::{upstream_notices::{NoticeChange, UpstreamNotices}, notice::{UpstreamNotice, NoticeField}};
    /// let mut notices = UpstreamNotices::default();
    /// notices.set_max_backoff_ms(5_000);
    /// let rest = UpstreamNotice { backoff_ms: NoticeField::Value(u32::MAX), ..UpstreamNotice::default() };
    /// assert_eq!(notices.record("i-1", &rest, 0), [NoticeChange::BackingOff(5_000)]);
    /// ```
    pub fn set_max_backoff_ms(&mut self, longest_rest_ms: u64) {
        self.longest_rest_ms = longest_rest_ms;
    }

    /// Until when upstreams want nothing from this entry, by short name.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().backoffs(0).is_empty());
    /// ```
    #[must_use]
    pub fn backoffs(&self, now_ms: u64) -> IndexMap<u32, u64> {
        self.by_upstream
            .iter()
            .map(|(name, record)| (*name, record.rests_until_ms))
            .filter(|(_, until_ms)| now_ms < *until_ms)
            .collect()
    }

    /// Takes what an answer says; see [`UpstreamNotices`].
    pub fn record(
        &mut self,
        instance: &str,
        notice: &UpstreamNotice,
        now_ms: u64,
    ) -> Vec<NoticeChange> {
        let name = upstream_hash(instance);
        // Nearly all answers say nothing, of upstreams that never said anything.
        if *notice == UpstreamNotice::default() && !self.by_upstream.contains_key(&name) {
            return Vec::new();
        }
        let longest_rest_ms = self.longest_rest_ms;
        let Some(record) = self.get_or_insert(name, MAX_UPSTREAMS) else {
            return Vec::new();
        };
        let limit = match record.limit_said(&notice.limit_per_1000_s, signed(now_ms)) {
            LimitNews::Same => None,
            LimitNews::Changed(limit) => {
                Some(limit.map_or(NoticeChange::Unlimited, NoticeChange::Limited))
            }
            LimitNews::Unreadable(text) => Some(NoticeChange::InvalidLimit(text)),
        };
        let rest = match &notice.backoff_ms {
            NoticeField::Absent => None,
            NoticeField::Value(backoff_ms) => {
                let backoff_ms = u64::from(*backoff_ms).min(longest_rest_ms);
                record
                    .rest(backoff_ms, now_ms)
                    .then_some(NoticeChange::BackingOff(backoff_ms))
            }
            NoticeField::Invalid(text) => Some(NoticeChange::InvalidBackoff(Arc::clone(text))),
        };
        let leaves =
            (notice.is_leaving && record.leave(signed(now_ms))).then_some(NoticeChange::Leaving);
        limit.into_iter().chain(rest).chain(leaves).collect()
    }

    /// Takes what a peer tells; the short names of the upstreams of which it was news. See
    /// [`UpstreamNotices`].
    pub fn merge(&mut self, told: &[NoticeUpdate], now_ms: u64) -> Vec<u32> {
        let mut changed = Vec::new();
        for told in told {
            let Some(record) = self.get_or_insert(told.upstream, MAX_HEARD) else {
                continue;
            };
            let is_other_limit = told
                .limit
                .is_some_and(|limit| record.limit_told(limit, signed(now_ms)));
            let leaves = told.is_leaving && record.leave(signed(now_ms));
            if is_other_limit || leaves {
                changed.push(told.upstream);
            }
        }
        changed
    }

    /// What peers are told of upstreams, by their short names.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().updates_for(&[7], 0).is_empty());
    /// ```
    #[must_use]
    pub fn updates_for(&self, upstreams: &[u32], now_ms: u64) -> Vec<NoticeUpdate> {
        let known = upstreams
            .iter()
            .filter_map(|name| Some((name, self.by_upstream.get(name)?)));
        known
            .take(MAX_TOLD)
            .filter_map(|(name, record)| record.told(*name, signed(now_ms)))
            .collect()
    }

    /// Whether the keeper of an upstream's door is to be told again what its answers say, which
    /// counts as done.
    ///
    /// ```
    /// assert!(!sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().take_due_resend("i-1", 0));
    /// ```
    pub fn take_due_resend(&mut self, instance: &str, now_ms: u64) -> bool {
        let Some(record) = self.by_upstream.get_mut(&upstream_hash(instance)) else {
            return false;
        };
        let is_due = signed(now_ms) >= record.repeated_at_ms + REPEAT_MS;
        if is_due {
            record.repeated_at_ms = signed(now_ms);
        }
        is_due
    }

    /// What peers are told of an upstream; see [`UpstreamNotices`].
    #[must_use]
    pub fn updates_for_instance(&self, instance: &str, now_ms: u64) -> Vec<NoticeUpdate> {
        self.updates_for(&[upstream_hash(instance)], now_ms)
    }

    /// What is told in the next repetition: as much as fits into a message, others each time.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().next_updates(0).is_empty());
    /// ```
    pub fn next_updates(&mut self, now_ms: u64) -> Vec<NoticeUpdate> {
        let count = self.by_upstream.len();
        let first = self.next.checked_rem(count).unwrap_or_default();
        self.next = first + MAX_TOLD.min(count);
        let records = self.by_upstream.iter().cycle().skip(first);
        records
            .take(count.min(MAX_TOLD))
            .filter_map(|(name, record)| record.told(*name, signed(now_ms)))
            .collect()
    }

    /// The limits that hold, by short name, in requests in 1,000 seconds.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().limits().is_empty());
    /// ```
    #[must_use]
    pub fn limits(&self) -> IndexMap<u32, u32> {
        self.by_upstream
            .iter()
            .filter_map(|(name, record)| Some((*name, record.limit_per_1000_s()?)))
            .collect()
    }

    /// Whether an upstream has said that it will end. It holds for as long as that start of it is
    /// listed: what ends does not come back.
    ///
    /// ```
    /// # use sardinewood::direct::notices::{upstream_notices::UpstreamNotices, notice::UpstreamNotice};
    /// let mut notices = UpstreamNotices::default();
    /// let leaving = UpstreamNotice { is_leaving: true, ..UpstreamNotice::default() };
    /// notices.record("i-1@5", &leaving, 0);
    /// notices.record("i-1@5", &UpstreamNotice::default(), 10);
    /// assert!(notices.is_leaving("i-1@5") && !notices.is_leaving("i-1@6"));
    /// ```
    #[must_use]
    pub fn is_leaving(&self, instance: &str) -> bool {
        let record = self.by_upstream.get(&upstream_hash(instance));
        record.is_some_and(|record| record.is_leaving)
    }

    /// All that holds, by short name, for operators.
    ///
    /// ```
    /// # use sardinewood::direct::notices::{upstream_notices::UpstreamNotices, notice::{UpstreamNotice, NoticeField}};
    /// let mut notices = UpstreamNotices::default();
    /// let rest = UpstreamNotice { backoff_ms: NoticeField::Value(3_000), ..UpstreamNotice::default() };
    /// notices.record("i-1", &rest, 0);
    /// let (_, shown) = notices.shown(1_000).next().unwrap();
    /// assert_eq!(shown.rests_for_ms, 2_000);
    /// assert_eq!(notices.shown(3_000).count(), 0);
    /// ```
    pub fn shown(&self, now_ms: u64) -> impl Iterator<Item = (u32, Shown)> {
        self.by_upstream
            .iter()
            .filter_map(move |(name, record)| Some((*name, record.shown(now_ms)?)))
    }

    /// How many upstreams limit their requests.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().limited_count(), 0);
    /// ```
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.limits().len()
    }

    /// How many upstreams have said that they will end.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().leaving_count(), 0);
    /// ```
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        let records = self.by_upstream.values();
        records.filter(|record| record.is_leaving).count()
    }

    /// Whether nothing is known of any upstream.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }

    /// Forgets what concerns no upstream any more. `listed` has the short names of all that are in
    /// the list.
    ///
    /// ```
    /// # use sardinewood::direct::notices::upstream_notices::UpstreamNotices;
    /// UpstreamNotices::default().expire(&[7].into_iter().collect(), 0);
    /// ```
    pub fn expire(&mut self, listed: &IndexSet<u32>, now_ms: u64) {
        self.by_upstream.retain(|name, record| {
            if now_ms < record.rests_until_ms {
                return true;
            }
            let age_ms = record.age_ms(signed(now_ms));
            if listed.contains(name) {
                record.holds() || age_ms < ENDED_MS
            } else {
                age_ms < UNLISTED_MS
            }
        });
    }

    fn get_or_insert(&mut self, name: u32, most: usize) -> Option<&mut Record> {
        let has_room = self.by_upstream.len() < most;
        if !has_room && !self.by_upstream.contains_key(&name) {
            return None;
        }
        Some(self.by_upstream.entry(name).or_default())
    }
}
