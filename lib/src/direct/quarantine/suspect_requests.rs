//! Which requests ran where upstreams ended, and which of them are not run any more.
//!
//! All that runs on an upstream ends with it, so one end says little about a request. What tells a
//! deadly request from its neighbours is that upstreams end under it again and again, in runs that follow
//! each other, and that it never runs whole. Entries merge what they have seen, so that three ends seen
//! by three entries are one verdict.

use indexmap::IndexMap;
use indexmap::map::Entry;

use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::quarantine::suspect::ENDS;
use crate::direct::quarantine::suspect::Hold;
use crate::direct::quarantine::suspect::MomentMs;
use crate::direct::quarantine::suspect::Record;
use crate::direct::quarantine::suspect::SeenEnd;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::quarantine::suspect::moment;

/// The least time that a request is held whose ends are shared with another held one: nobody knows which
/// of the two it was, and the trial tells.
const SHARED_HOLD_MS: MomentMs = 1_000;
/// Such trials fall into a time of this length, each at its own moment, or the deadly one would end
/// the upstream on which the other is tried.
const SHARED_SPREAD_MS: MomentMs = 2_000;
/// How long others wait for the outcome of a trial. Upstreams that end do so soon after a run began.
const TRIAL_MS: MomentMs = 2_000;
/// Requests that are remembered. Of 250 bytes each, and a caller may bring as many as it likes.
const MAX_RECORDS: usize = 1_024;
/// Requests in one message: 85 bytes each at most, so that they fit into one datagram.
const MAX_TOLD: usize = 14;
/// Held ones among them.
const MAX_HELD_TOLD: usize = MAX_TOLD / 2;

/// Whether a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// It may.
    Allow,
    /// It was held and may be tried, by one entry at a time.
    AllowTrial,
    /// It may not for so long.
    Refuse {
        /// Time until it may be tried.
        retry_after_ms: u64,
    },
}

/// How many requests are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectCounts {
    /// Those under which upstreams ended, and those that were cleared lately.
    pub tracked: usize,
    /// Those that are held now.
    pub quarantined: usize,
}

/// What changed by an end or by a peer's word.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectChanges {
    /// Requests of which something new is known.
    pub changed: Vec<Fingerprint>,
    /// Those of them that are held from now on.
    pub newly_quarantined: Vec<Fingerprint>,
    /// Short names of upstreams of whose end a peer told.
    pub crashed_upstreams: Vec<u32>,
}

/// What a peer's word does to what is known of a request.
enum Merge {
    /// The peer knows an older state.
    Nothing,
    /// The peer knows a later state.
    Replace,
    /// Both know the same state, and what either has seen counts.
    Union,
}

impl Merge {
    /// Clearing a request makes void what was seen before, and so does each trial of it.
    fn of(known: &Record, heard: &Record) -> Self {
        if known.clears == heard.clears && known.trials() == heard.trials() {
            return Self::Union;
        }
        if (heard.clears, heard.trials()) > (known.clears, known.trials()) {
            Self::Replace
        } else {
            Self::Nothing
        }
    }
}

impl SuspectChanges {
    fn note(&mut self, request: Fingerprint) {
        if !self.changed.contains(&request) {
            self.changed.push(request);
        }
    }

    /// Merges what a peer tells of a request into what is known.
    fn merge(&mut self, request: Fingerprint, known: &mut Record, heard: Record) {
        match Merge::of(known, &heard) {
            Merge::Nothing => {}
            Merge::Replace => {
                self.replace(request, known.times(), &heard);
                *known = heard;
            }
            Merge::Union => self.unite(request, known, &heard),
        }
    }

    fn replace(&mut self, request: Fingerprint, known_times: u8, heard: &Record) {
        self.crashed_upstreams
            .extend(heard.crashes.iter().map(|end| end.upstream));
        if heard.times() > known_times {
            self.newly_quarantined.push(request);
        }
        self.changed.push(request);
    }

    fn unite(&mut self, request: Fingerprint, known: &mut Record, heard: &Record) {
        let new_ends = heard.crashes.iter().filter(|end| known.note(**end));
        let new_ends: Vec<u32> = new_ends.map(|end| end.upstream).collect();
        let was_held = known.quarantine.is_some();
        let is_better = known.take_hold(heard.quarantine);
        if is_better && !was_held {
            self.newly_quarantined.push(request);
        }
        if is_better || !new_ends.is_empty() {
            self.changed.push(request);
        }
        self.crashed_upstreams.extend(new_ends);
        known.changed_at_ms = known.changed_at_ms.max(heard.changed_at_ms);
    }
}

/// What one entry knows of requests under which upstreams ended.
///
/// ```
/// use sardinewood::direct::quarantine::fingerprint::Fingerprint;
/// use sardinewood::direct::quarantine::suspect_requests::{SuspectRequests, QuarantineDecision};
///
/// let request = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
/// let mut suspects = SuspectRequests::default();
/// for upstream in 1..=3 {
///     assert_eq!(suspects.decide(request, 0), QuarantineDecision::Allow);
///     let at_ms = u64::from(upstream) * 100;
///     suspects.record_crash(upstream, at_ms, &[(request, at_ms - 50)], at_ms);
/// }
/// assert!(matches!(suspects.decide(request, 300), QuarantineDecision::Refuse { .. }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectRequests {
    records: IndexMap<Fingerprint, Record>,
    /// Where the next message goes on.
    next_updates: usize,
}

impl SuspectRequests {
    /// Whether nothing is known of any request, as on most days.
    ///
    /// ```
    /// assert!(sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many requests are remembered, and how many of them are held.
    ///
    /// ```
    /// let suspects = sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default();
    /// assert_eq!(suspects.counts(0).tracked, 0);
    /// ```
    #[must_use]
    pub fn counts(&self, now_ms: u64) -> SuspectCounts {
        let now_ms = moment(now_ms);
        let is_held = |record: &&Record| {
            record
                .quarantine
                .is_some_and(|quarantine| !quarantine.is_over(now_ms))
        };
        SuspectCounts {
            tracked: self.records.len(),
            quarantined: self.records.values().filter(is_held).count(),
        }
    }

    /// Whether any request is or was held, and so might not be free.
    ///
    /// ```
    /// assert!(!sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default().has_quarantined());
    /// ```
    #[must_use]
    pub fn has_quarantined(&self) -> bool {
        self.records
            .values()
            .any(|record| record.quarantine.is_some())
    }

    /// Whether anything is held against any request. What was only cleared is kept for the other
    /// entries' sake.
    ///
    /// ```
    /// assert!(!sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default().has_suspects());
    /// ```
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        self.records.values().any(Record::is_suspected)
    }

    /// Whether a request may be run.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::{SuspectRequests, QuarantineDecision};
    /// let request = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// assert_eq!(SuspectRequests::default().decide(request, 0), QuarantineDecision::Allow);
    /// ```
    #[must_use]
    pub fn decide(&self, request: Fingerprint, now_ms: u64) -> QuarantineDecision {
        let now_ms = moment(now_ms);
        match self
            .records
            .get(&request)
            .and_then(|record| record.quarantine)
        {
            None => QuarantineDecision::Allow,
            Some(quarantine) if quarantine.is_over(now_ms) => QuarantineDecision::AllowTrial,
            Some(quarantine) => QuarantineDecision::Refuse {
                retry_after_ms: quarantine.until_ms.abs_diff(now_ms),
            },
        }
    }

    /// Whether a request whose connection broke may be sent to one more upstream, if so many of its
    /// breaks are not known to be ends yet. They are counted as ends, since the proof takes longer than
    /// sending it on.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// let request = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// assert!(SuspectRequests::default().may_retry(request, 2));
    /// assert!(!SuspectRequests::default().may_retry(request, 3));
    /// ```
    #[must_use]
    pub fn may_retry(&self, request: Fingerprint, unproven: usize) -> bool {
        let record = self.records.get(&request);
        let crashes = record.map_or(0, |record| record.crashes.len());
        let was_held = record.is_some_and(|record| record.quarantine.is_some());
        !was_held && crashes + unproven < ENDS
    }

    /// Notes that an entry tries a request that was held. The others wait for the outcome, so that a
    /// trial costs one upstream at most.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// let request = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// SuspectRequests::default().begin_trial(request, 0);
    /// ```
    pub fn begin_trial(&mut self, request: Fingerprint, now_ms: u64) {
        let record = self.records.get_mut(&request);
        if let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) {
            quarantine.is_trial = true;
            quarantine.until_ms = moment(now_ms) + TRIAL_MS;
        }
    }

    /// Notes that an upstream ended, and what ran there since when.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// let request = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// let change = SuspectRequests::default().record_crash(7, 100, &[(request, 50)], 100);
    /// assert_eq!(change.changed, [request]);
    /// assert!(change.newly_quarantined.is_empty());
    /// ```
    pub fn record_crash(
        &mut self,
        upstream: u32,
        at_ms: u64,
        runs: &[(Fingerprint, u64)],
        now_ms: u64,
    ) -> SuspectChanges {
        let now_ms = moment(now_ms);
        let mut change = SuspectChanges::default();
        for (request, began_ms) in runs {
            self.make_room(*request);
            let record = self.records.entry(*request).or_default();
            let end = SeenEnd {
                upstream,
                at_ms: moment(at_ms),
                generation: record.generation_of(moment(*began_ms)),
            };
            if record.is_tried(now_ms) && !record.has(upstream) {
                record.quarantine = Some(Hold::new(record.times().saturating_add(1), now_ms));
                record.crashes = vec![end];
                change.newly_quarantined.push(*request);
            } else if !record.note(end) {
                continue;
            }
            record.changed_at_ms = now_ms;
            change.changed.push(*request);
        }
        self.judge(&mut change, now_ms);
        change
    }

    /// Notes that a request ran whole, or that an operator has let it go; whether anything was held
    /// against it.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// let request = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// assert!(!SuspectRequests::default().clear(request, 0));
    /// ```
    pub fn clear(&mut self, request: Fingerprint, now_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        if !record.is_suspected() {
            return false;
        }
        *record = Record {
            clears: record.clears.saturating_add(1),
            changed_at_ms: moment(now_ms),
            ..Record::default()
        };
        true
    }

    /// Takes a peer's word.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspect_requests::{SuspectChanges, SuspectRequests};
    /// assert_eq!(SuspectRequests::default().merge(&[], 0), SuspectChanges::default());
    /// ```
    pub fn merge(&mut self, told: &[SuspectUpdate], now_ms: u64) -> SuspectChanges {
        let now_ms = moment(now_ms);
        let mut change = SuspectChanges::default();
        for told in told {
            let heard = Record::from_told(told, now_ms);
            if now_ms >= heard.forgotten_at_ms() {
                continue;
            }
            self.make_room(told.request);
            match self.records.entry(told.request) {
                Entry::Occupied(mut known) => change.merge(told.request, known.get_mut(), heard),
                Entry::Vacant(place) => {
                    change.replace(told.request, 0, &heard);
                    place.insert(heard);
                }
            }
        }
        self.judge(&mut change, now_ms);
        change
    }

    /// What to tell of some requests.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// assert!(SuspectRequests::default().updates_for(&[], 0).is_empty());
    /// ```
    #[must_use]
    pub fn updates_for(&self, requests: &[Fingerprint], now_ms: u64) -> Vec<SuspectUpdate> {
        let known = |request: &Fingerprint| {
            let record = self.records.get(request)?;
            Some(record.told(*request, moment(now_ms)))
        };
        requests.iter().filter_map(known).take(MAX_TOLD).collect()
    }

    /// What to tell a peer that may have missed something: what is held, and the others in turn.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// assert!(SuspectRequests::default().next_updates(0).is_empty());
    /// ```
    pub fn next_updates(&mut self, now_ms: u64) -> Vec<SuspectUpdate> {
        let (held, others): (Vec<_>, Vec<_>) = self
            .records
            .iter()
            .partition(|(_, record)| record.quarantine.is_some());
        let some_of = |all: Vec<(&Fingerprint, &Record)>, most: usize| {
            let first = self.next_updates % all.len().max(1);
            let some = all.iter().cycle().skip(first).take(most.min(all.len()));
            some.map(|(request, record)| record.told(**request, moment(now_ms)))
                .collect::<Vec<SuspectUpdate>>()
        };
        let mut told = some_of(held, MAX_HELD_TOLD);
        told.extend(some_of(others, MAX_TOLD - MAX_HELD_TOLD));
        self.next_updates = self.next_updates.wrapping_add(MAX_HELD_TOLD);
        told
    }

    /// What is known of a request, for operators.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// assert!(SuspectRequests::default().all_updates(0).is_empty());
    /// ```
    #[must_use]
    pub fn all_updates(&self, now_ms: u64) -> Vec<SuspectUpdate> {
        let told =
            |(request, record): (&Fingerprint, &Record)| record.told(*request, moment(now_ms));
        self.records.iter().map(told).collect()
    }

    /// Forgets what is long ago.
    ///
    /// ```
    /// sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default().expire(0);
    /// ```
    pub fn expire(&mut self, now_ms: u64) {
        let now_ms = moment(now_ms);
        self.records
            .retain(|_, record| now_ms < record.forgotten_at_ms());
    }

    /// Holds those of the changed requests under which enough upstreams have ended.
    fn judge(&mut self, change: &mut SuspectChanges, now_ms: MomentMs) {
        for request in change.changed.clone() {
            let record = self.records.get_mut(&request);
            if let Some(record) = record.filter(|record| record.is_guilty()) {
                record.quarantine = Some(Hold::new(1, now_ms));
                change.newly_quarantined.push(request);
            }
        }
        if !change.newly_quarantined.is_empty() {
            self.shorten_shared(change, now_ms);
        }
    }

    /// Lets those be tried soon of whose ends too few are their own: at the others, another held
    /// request was there as well, and nobody knows which of the two it was.
    ///
    /// What runs beside a deadly request gathers its ends, and a popular request those of several
    /// deadly ones, before any of them has three. Held for a minute, its callers would lose more than by
    /// all these ends.
    fn shorten_shared(&mut self, change: &mut SuspectChanges, now_ms: MomentMs) {
        let shared: Vec<Fingerprint> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_held_first())
            .filter(|(request, record)| self.own_ends(request, record) < ENDS)
            .map(|(request, _)| *request)
            .collect();
        for request in shared {
            let soon_ms = now_ms + SHARED_HOLD_MS + request.spread_over(SHARED_SPREAD_MS);
            let record = self.records.get_mut(&request);
            let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) else {
                continue;
            };
            if quarantine.until_ms > soon_ms {
                quarantine.until_ms = soon_ms;
                change.note(request);
            }
        }
    }

    /// How many upstreams ended under a request where no other held one ran.
    fn own_ends(&self, request: &Fingerprint, record: &Record) -> usize {
        let others: Vec<&Record> = self
            .records
            .iter()
            .filter(|(other, record)| *other != request && record.quarantine.is_some())
            .map(|(_, record)| record)
            .collect();
        let is_own = |end: &&SeenEnd| !others.iter().any(|other| other.has(end.upstream));
        record.crashes.iter().filter(is_own).count()
    }

    /// Makes room for a request, so that a caller that brings new bodies without end costs no memory:
    /// what is not held goes first, and the oldest.
    fn make_room(&mut self, request: Fingerprint) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&request) {
            return;
        }
        let rank = |record: &Record| {
            (
                record.quarantine.map(|quarantine| quarantine.times),
                record.changed_at_ms,
            )
        };
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| rank(record))
            .map(|(request, _)| *request);
        if let Some(least) = least {
            self.records.swap_remove(&least);
        }
    }
}
