//! The states of all upstreams by their notices, merged from this entry's answers and from peers.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::direct::notices::limit_end::LimitReport;
use crate::direct::notices::limit_end::LimitStep;
use crate::direct::notices::notice::NoticeField;
use crate::direct::notices::notice::UpstreamNotice;
use crate::direct::notices::upstream_state::InstantMs;
use crate::direct::notices::upstream_state::LeavingSource;
use crate::direct::notices::upstream_state::LimitChange;
use crate::direct::notices::upstream_state::NoticeUpdate;
use crate::direct::notices::upstream_state::NoticeView;
use crate::direct::notices::upstream_state::UNLISTED_RETENTION_MS;
use crate::direct::notices::upstream_state::UpstreamState;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::store_view::directory::LeavingUpstream;
use crate::numbers::signed;

/// Maximum number of tracked upstreams.
const MAX_UPSTREAMS: usize = 4_096;
/// Number of tracked upstreams from which on peers can't add more, so that notices to this entry
/// itself find room whatever peers send.
const MAX_UPSTREAMS_FOR_PEERS: usize = 3_072;
/// Maximum number of upstreams in one message. Each takes at most 23 bytes.
const MAX_UPDATES: usize = 50;
/// Default for the longest backoff that an upstream is granted.
pub const DEFAULT_MAX_BACKOFF_MS: u64 = 600_000;
/// Minimum time between two resends of an upstream's state to the owner of its admission queue, when an
/// answer arrives.
pub const ANSWER_RESEND_MS: u64 = 1_000;
/// The same when a slot is requested, which entries do that get no answers.
pub const REQUEST_RESEND_MS: u64 = 10_000;
/// How long it is remembered that a limit was lifted, until entries that were disconnected no longer
/// send it as if it were in force.
const LIFTED_RETENTION_MS: InstantMs = 60_000;

/// What a notice changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// The upstream limits its requests to this number in 1,000 seconds.
    Limited(u32),
    /// The upstream states an invalid limit. The previous limit stays in force.
    InvalidLimit(Arc<str>),
    /// The upstream is shutting down.
    Leaving,
    /// The upstream wants no requests from this entry for this time, in milliseconds.
    BackingOff(u64),
    /// The upstream asks for a backoff of invalid length.
    InvalidBackoff(Arc<str>),
}

impl NoticeChange {
    /// Returns whether the change has to be sent to the other entries.
    ///
    /// ```
    /// use sardinewood::direct::notices::upstream_notices::NoticeChange;
    ///
    /// assert!(NoticeChange::Leaving.is_shared() && !NoticeChange::BackingOff(3_000).is_shared());
    /// ```
    #[must_use]
    pub fn is_shared(&self) -> bool {
        matches!(self, Self::Limited(_) | Self::Leaving)
    }
}

/// What upstreams have stated about themselves, by incarnation.
///
/// Entries merge updates in any order: the latest statement is in force. The owner of an upstream's
/// admission queue decides when its limit has ended.
///
/// ```
/// use sardinewood::direct::notices::limit_end::{LimitReport, LimitStep};
/// use sardinewood::direct::notices::notice::{UpstreamNotice, NoticeField};
/// use sardinewood::direct::notices::upstream_notices::{NoticeChange, UpstreamNotices};
/// use sardinewood::direct::placement::dispatch::upstream_hash;
///
/// let (mut one, mut other) = (UpstreamNotices::default(), UpstreamNotices::default());
/// let limited = UpstreamNotice { limit_per_1000_s: NoticeField::Value(1_400), ..UpstreamNotice::default() };
/// assert_eq!(one.record("i-1", &limited, 10), [NoticeChange::Limited(1_400)]);
/// assert_eq!(one.record("i-1", &limited, 20), []);
///
/// assert_eq!(other.merge(&one.updates_for_instance("i-1", 30), 30).len(), 1);
/// assert_eq!(other.limited_count(), 1);
/// let upstream = upstream_hash("i-1");
/// for _ in 0..3 {
///     assert_eq!(other.record_limit_report(upstream, LimitReport::Omitted, 80, 1_100), LimitStep::Probe);
/// }
/// assert_eq!(other.record_limit_report(upstream, LimitReport::Omitted, 80, 1_100), LimitStep::End);
/// assert_eq!(one.merge(&other.updates_for_instance("i-1", 1_200), 1_200).len(), 1);
/// assert_eq!(one.limited_count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamNotices {
    /// States by upstream hash.
    by_upstream: IndexMap<u32, UpstreamState>,
    /// Hashes of the upstreams that the list shows to leave.
    listed_leaving: IndexSet<u32>,
    max_backoff_ms: u64,
    /// Index at which the next resent message starts.
    resend_cursor: usize,
}

impl Default for UpstreamNotices {
    fn default() -> Self {
        Self {
            by_upstream: IndexMap::new(),
            listed_leaving: IndexSet::new(),
            max_backoff_ms: DEFAULT_MAX_BACKOFF_MS,
            resend_cursor: 0,
        }
    }
}

impl UpstreamNotices {
    /// Sets the longest backoff that an upstream is granted, whatever it asks for.
    ///
    /// ```
    /// # use sardinewood::direct::notices::{upstream_notices::{NoticeChange, UpstreamNotices}, notice::{UpstreamNotice, NoticeField}};
    /// let mut notices = UpstreamNotices::default();
    /// notices.set_max_backoff_ms(5_000);
    /// let backoff = UpstreamNotice { backoff_ms: NoticeField::Value(u32::MAX), ..UpstreamNotice::default() };
    /// assert_eq!(notices.record("i-1", &backoff, 0), [NoticeChange::BackingOff(5_000)]);
    /// ```
    pub fn set_max_backoff_ms(&mut self, max_backoff_ms: u64) {
        self.max_backoff_ms = max_backoff_ms;
    }

    /// Returns until when upstreams want no requests from this entry, by upstream hash.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().backoffs(0).is_empty());
    /// ```
    #[must_use]
    pub fn backoffs(&self, now_ms: u64) -> IndexMap<u32, u64> {
        self.by_upstream
            .iter()
            .map(|(hash, state)| (*hash, state.backoff_until_ms))
            .filter(|(_, until_ms)| now_ms < *until_ms)
            .collect()
    }

    /// Records the notice of an answer, and returns what it changed. See [`UpstreamNotices`].
    pub fn record(
        &mut self,
        instance: &str,
        notice: &UpstreamNotice,
        now_ms: u64,
    ) -> Vec<NoticeChange> {
        let hash = upstream_hash(instance);
        // Nearly all answers carry no notice and come from upstreams without any.
        if *notice == UpstreamNotice::default() && !self.by_upstream.contains_key(&hash) {
            return Vec::new();
        }
        let max_backoff_ms = self.max_backoff_ms;
        let Some(state) = self.get_or_insert(hash, MAX_UPSTREAMS) else {
            return Vec::new();
        };
        state.instance.get_or_insert_with(|| instance.into());
        let limit = match state.record_limit(&notice.limit_per_1000_s, signed(now_ms)) {
            LimitChange::Unchanged => None,
            LimitChange::Changed(limit) => Some(NoticeChange::Limited(limit)),
            LimitChange::Invalid(text) => Some(NoticeChange::InvalidLimit(text)),
        };
        let backoff = match &notice.backoff_ms {
            NoticeField::Absent => None,
            NoticeField::Value(backoff_ms) => {
                let backoff_ms = u64::from(*backoff_ms).min(max_backoff_ms);
                state
                    .record_backoff(backoff_ms, now_ms)
                    .then_some(NoticeChange::BackingOff(backoff_ms))
            }
            NoticeField::Invalid(text) => Some(NoticeChange::InvalidBackoff(Arc::clone(text))),
        };
        let is_newly_leaving = (notice.is_leaving
            && state.record_leaving(LeavingSource::Answer, signed(now_ms)))
        .then_some(NoticeChange::Leaving);
        limit
            .into_iter()
            .chain(backoff)
            .chain(is_newly_leaving)
            .collect()
    }

    /// Records what an answer that this entry or a peer received said of an upstream's limit. Returns what
    /// that means for the limit. The upstream answers after `answer_ms`, which determines how fast the rate
    /// rises after the end of the limit. See [`UpstreamNotices`].
    pub fn record_limit_report(
        &mut self,
        upstream: u32,
        report: LimitReport,
        answer_ms: u64,
        now_ms: u64,
    ) -> LimitStep {
        let state = self.by_upstream.get_mut(&upstream);
        state.map_or(LimitStep::Keep, |state| {
            state.record_limit_report(report, answer_ms, signed(now_ms))
        })
    }

    /// Ends an upstream's limit if the answers so far show that it has ended. See
    /// [`Self::record_limit_report`].
    ///
    /// ```
    /// # use sardinewood::direct::notices::{limit_end::LimitStep, upstream_notices::UpstreamNotices};
    /// assert_eq!(UpstreamNotices::default().check_limit(7, 80, 0), LimitStep::Keep);
    /// ```
    pub fn check_limit(&mut self, upstream: u32, answer_ms: u64, now_ms: u64) -> LimitStep {
        let state = self.by_upstream.get_mut(&upstream);
        state.map_or(LimitStep::Keep, |state| {
            state.check_limit(answer_ms, signed(now_ms))
        })
    }

    /// Returns the number of answers in a row that did not state an upstream's limit.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().limit_omissions(7), 0);
    /// ```
    #[must_use]
    pub fn limit_omissions(&self, upstream: u32) -> u32 {
        let state = self.by_upstream.get(&upstream);
        state.map_or(0, UpstreamState::limit_omissions)
    }

    /// Returns whether an upstream has a limit in force.
    ///
    /// ```
    /// assert!(!sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().is_limited(7));
    /// ```
    #[must_use]
    pub fn is_limited(&self, upstream: u32) -> bool {
        let state = self.by_upstream.get(&upstream);
        state.is_some_and(|state| state.limit_per_1000_s().is_some())
    }

    /// Returns whether the rate of an upstream rises after the end of its limit.
    ///
    /// ```
    /// assert!(!sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().is_rate_rising(7, 0));
    /// ```
    #[must_use]
    pub fn is_rate_rising(&self, upstream: u32, now_ms: u64) -> bool {
        let state = self.by_upstream.get(&upstream);
        let has_rate = |state: &UpstreamState| state.rate_per_1000_s(signed(now_ms)).is_some();
        !self.is_limited(upstream) && state.is_some_and(has_rate)
    }

    /// Returns the rates of starts that admission queues keep to, by upstream hash, in requests in 1,000
    /// seconds: the limits in force, and rates that rise after the end of a limit.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().rates(0).is_empty());
    /// ```
    #[must_use]
    pub fn rates(&self, now_ms: u64) -> IndexMap<u32, u32> {
        self.by_upstream
            .iter()
            .filter_map(|(hash, state)| Some((*hash, state.rate_per_1000_s(signed(now_ms))?)))
            .collect()
    }

    /// Records the upstreams that the list shows to leave. Returns the hashes of those that it has begun
    /// to show as taking requests again, which the peers may take for true.
    ///
    /// ```
    /// # use sardinewood::direct::{notices::upstream_notices::UpstreamNotices, store_view::directory::LeavingUpstream};
    /// let mut notices = UpstreamNotices::default();
    /// let leaving = LeavingUpstream { instance: "i-1".into(), is_revoked: false };
    /// assert!(notices.record_listed_leaving(&[leaving.clone()], 0).is_empty());
    /// assert!(notices.is_leaving("i-1"));
    /// let revoked = LeavingUpstream { is_revoked: true, ..leaving };
    /// assert_eq!(notices.record_listed_leaving(&[revoked], 400).len(), 1);
    /// ```
    pub fn record_listed_leaving(&mut self, leaving: &[LeavingUpstream], now_ms: u64) -> Vec<u32> {
        self.listed_leaving.clear();
        let mut newly_revoked = Vec::new();
        for upstream in leaving {
            let hash = upstream_hash(&upstream.instance);
            self.listed_leaving.insert(hash);
            let Some(state) = self.get_or_insert(hash, MAX_UPSTREAMS) else {
                continue;
            };
            state
                .instance
                .get_or_insert_with(|| Arc::clone(&upstream.instance));
            state.record_leaving(LeavingSource::List, signed(now_ms));
            let was_revoked = std::mem::replace(&mut state.is_revoked, upstream.is_revoked);
            if upstream.is_revoked && !was_revoked {
                newly_revoked.push(hash);
            }
        }
        newly_revoked
    }

    /// Merges a peer's updates. Returns the hashes of the upstreams whose state changed. See
    /// [`UpstreamNotices`].
    pub fn merge(&mut self, updates: &[NoticeUpdate], now_ms: u64) -> Vec<u32> {
        let mut changed = Vec::new();
        for update in updates {
            let Some(state) = self.get_or_insert(update.upstream, MAX_UPSTREAMS_FOR_PEERS) else {
                continue;
            };
            let is_limit_changed = update
                .limit
                .is_some_and(|limit| state.merge_limit(limit, signed(now_ms)));
            let is_newly_leaving =
                update.is_leaving && state.record_leaving(LeavingSource::Peer, signed(now_ms));
            if is_limit_changed || is_newly_leaving {
                changed.push(update.upstream);
            }
        }
        changed
    }

    /// Returns the updates to send to peers for some upstreams, given by hash.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().updates_for(&[7], 0).is_empty());
    /// ```
    #[must_use]
    pub fn updates_for(&self, upstreams: &[u32], now_ms: u64) -> Vec<NoticeUpdate> {
        let known = upstreams
            .iter()
            .filter_map(|hash| Some((hash, self.by_upstream.get(hash)?)));
        known
            .take(MAX_UPDATES)
            .filter_map(|(hash, state)| state.to_update(*hash, signed(now_ms)))
            .collect()
    }

    /// Returns whether an upstream's state is due to be resent to the owner of its admission queue, since
    /// that was not done within the interval. If so, counts it as resent.
    ///
    /// ```
    /// assert!(!sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().take_due_resend("i-1", 1_000, 0));
    /// ```
    pub fn take_due_resend(&mut self, instance: &str, interval_ms: u64, now_ms: u64) -> bool {
        let Some(state) = self.by_upstream.get_mut(&upstream_hash(instance)) else {
            return false;
        };
        let now_ms = signed(now_ms);
        let is_recent = |resent_at_ms| now_ms < resent_at_ms + signed(interval_ms);
        let is_due = !state.resent_at_ms.is_some_and(is_recent);
        if is_due {
            state.resent_at_ms = Some(now_ms);
        }
        is_due
    }

    /// Makes all states due to be resent, because a peer has started or was silent. It may own any of the
    /// upstreams' admission queues, and know none of their limits.
    ///
    /// ```
    /// # use sardinewood::direct::notices::{upstream_notices::UpstreamNotices, notice::{UpstreamNotice, NoticeField}};
    /// let mut notices = UpstreamNotices::default();
    /// let limited = UpstreamNotice { limit_per_1000_s: NoticeField::Value(1_400), ..UpstreamNotice::default() };
    /// notices.record("i-1", &limited, 10);
    /// assert!(notices.take_due_resend("i-1", 1_000, 20) && !notices.take_due_resend("i-1", 1_000, 30));
    /// notices.make_resends_due();
    /// assert!(notices.take_due_resend("i-1", 1_000, 30));
    /// ```
    pub fn make_resends_due(&mut self) {
        for state in self.by_upstream.values_mut() {
            state.resent_at_ms = None;
        }
    }

    /// Returns the updates to send to peers for one upstream, at most one. See [`UpstreamNotices`].
    #[must_use]
    pub fn updates_for_instance(&self, instance: &str, now_ms: u64) -> Vec<NoticeUpdate> {
        self.updates_for(&[upstream_hash(instance)], now_ms)
    }

    /// Returns the updates of the next resend: as many as fit into a message, different ones each time.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().next_updates(0).is_empty());
    /// ```
    pub fn next_updates(&mut self, now_ms: u64) -> Vec<NoticeUpdate> {
        let count = self.by_upstream.len();
        let first = self.resend_cursor.checked_rem(count).unwrap_or_default();
        self.resend_cursor = first + MAX_UPDATES.min(count);
        let states = self.by_upstream.iter().cycle().skip(first);
        states
            .take(count.min(MAX_UPDATES))
            .filter_map(|(hash, state)| state.to_update(*hash, signed(now_ms)))
            .collect()
    }

    /// Returns the limits in force by upstream hash, in requests in 1,000 seconds.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().limits().is_empty());
    /// ```
    #[must_use]
    pub fn limits(&self) -> IndexMap<u32, u32> {
        self.by_upstream
            .iter()
            .filter_map(|(hash, state)| Some((*hash, state.limit_per_1000_s()?)))
            .collect()
    }

    /// Returns whether an upstream has announced that it is shutting down, in an answer, in the list or
    /// to a peer. This applies to the incarnation for as long as it is listed, since a process that
    /// exits does not come back.
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
        let state = self.by_upstream.get(&upstream_hash(instance));
        state.is_some_and(|state| {
            let is_same = |known: &Arc<str>| **known == *instance;
            state.leaving.is_some() && state.instance.as_ref().is_none_or(is_same)
        })
    }

    /// Returns the id of the incarnation with this hash, if this entry knows it from the list or from
    /// an answer.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().instance(7), None);
    /// ```
    #[must_use]
    pub fn instance(&self, hash: u32) -> Option<&Arc<str>> {
        self.by_upstream.get(&hash)?.instance.as_ref()
    }

    /// Returns what is in force for operators, by upstream hash.
    ///
    /// ```
    /// # use sardinewood::direct::notices::{upstream_notices::UpstreamNotices, notice::{UpstreamNotice, NoticeField}};
    /// let mut notices = UpstreamNotices::default();
    /// let backoff = UpstreamNotice { backoff_ms: NoticeField::Value(3_000), ..UpstreamNotice::default() };
    /// notices.record("i-1", &backoff, 0);
    /// let (_, view) = notices.views(1_000).next().unwrap();
    /// assert_eq!(view.rests_for_ms, 2_000);
    /// assert_eq!(notices.views(3_000).count(), 0);
    /// ```
    pub fn views(&self, now_ms: u64) -> impl Iterator<Item = (u32, NoticeView)> {
        self.by_upstream
            .iter()
            .filter_map(move |(hash, state)| Some((*hash, state.to_view(now_ms)?)))
    }

    /// Returns the number of upstreams that limit their requests.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().limited_count(), 0);
    /// ```
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.limits().len()
    }

    /// Returns the number of upstreams that have announced that they are shutting down.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().leaving_count(), 0);
    /// ```
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        let states = self.by_upstream.values();
        states.filter(|state| state.leaving.is_some()).count()
    }

    /// Returns whether no upstream is tracked.
    ///
    /// ```
    /// assert!(sardinewood::direct::notices::upstream_notices::UpstreamNotices::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }

    /// Drops states that have expired. `listed` contains the hashes of all listed upstreams.
    ///
    /// ```
    /// # use sardinewood::direct::notices::upstream_notices::UpstreamNotices;
    /// UpstreamNotices::default().expire(&[7].into_iter().collect(), 0);
    /// ```
    pub fn expire(&mut self, listed: &IndexSet<u32>, now_ms: u64) {
        self.by_upstream.retain(|hash, state| {
            state.is_listed = listed.contains(hash) || self.listed_leaving.contains(hash);
            if now_ms < state.backoff_until_ms {
                return true;
            }
            let age_ms = state.age_ms(signed(now_ms));
            if state.is_listed {
                state.is_in_force() || age_ms < LIFTED_RETENTION_MS
            } else {
                age_ms < UNLISTED_RETENTION_MS
            }
        });
    }

    /// Returns the state of an upstream. Adds it if fewer than `most` upstreams are tracked.
    fn get_or_insert(&mut self, hash: u32, most: usize) -> Option<&mut UpstreamState> {
        let has_capacity = self.by_upstream.len() < most;
        if !has_capacity && !self.by_upstream.contains_key(&hash) {
            return None;
        }
        Some(self.by_upstream.entry(hash).or_default())
    }
}
