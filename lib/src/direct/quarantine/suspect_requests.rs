//! Requests that ran on upstreams when they crashed, and which of them are quarantined.
//!
//! A crash interrupts all runs on the upstream, so a single one says little about a request. A
//! request that causes crashes differs from those that run beside it: upstreams crash repeatedly in
//! consecutive runs of it, and it never succeeds. Entries merge what they have observed, so that
//! three crashes seen by three different entries lead to the same decision as three seen by one.

use indexmap::IndexMap;
use indexmap::map::Entry;

use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::quarantine::suspect::CRASH_THRESHOLD;
use crate::direct::quarantine::suspect::Crash;
use crate::direct::quarantine::suspect::InstantMs;
use crate::direct::quarantine::suspect::Quarantine;
use crate::direct::quarantine::suspect::Suspect;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::quarantine::suspect::signed_ms;

/// Minimum quarantine of a request that shares its crashes with another quarantined request. It is
/// unknown which of the two caused them, and the trials decide.
const SHARED_QUARANTINE_MS: InstantMs = 1_000;
/// Period over which the trials of such requests are distributed, so that the one that causes
/// crashes doesn't crash the upstream on which the other is tried.
const SHARED_JITTER_MS: InstantMs = 2_000;
/// How long other entries wait for the outcome of a trial. A request that crashes upstreams does so
/// soon after its run starts.
const TRIAL_MS: InstantMs = 2_000;
/// Maximum number of tracked requests. Each takes 250 bytes, and a caller can send any number of
/// different requests.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of requests in one message. Each takes at most 85 bytes, so that the message fits
/// into one datagram.
const MAX_UPDATES: usize = 14;
/// Maximum number of quarantined requests in one message.
const MAX_QUARANTINED_UPDATES: usize = MAX_UPDATES / 2;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The request may run.
    Allow,
    /// The quarantine has expired, and the request may run as a trial. Only one entry at a time runs
    /// a trial.
    AllowTrial,
    /// The request is quarantined.
    Refuse {
        /// Time until a trial is allowed.
        retry_after_ms: u64,
    },
}

/// Numbers of suspect requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectCounts {
    /// Requests during whose runs upstreams crashed, and requests that were recently cleared.
    pub tracked: usize,
    /// Requests that are quarantined now.
    pub quarantined: usize,
}

/// What a crash or a peer's update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectChanges {
    /// Requests whose state changed.
    pub changed: Vec<Fingerprint>,
    /// Requests that are quarantined from now on.
    pub newly_quarantined: Vec<Fingerprint>,
    /// Hashes of upstreams whose crash a peer reported.
    pub crashed_upstreams: Vec<u32>,
}

/// How to merge a peer's state of a request with the known one.
enum MergeRule {
    /// The peer's state is older: keep the known one.
    Ignore,
    /// The peer's state is newer: adopt it.
    Replace,
    /// Both states are equally recent: combine their crashes.
    Union,
}

impl MergeRule {
    /// Chooses the rule. Clearing a request invalidates its earlier crashes, and so does each trial.
    fn new(known: &Suspect, received: &Suspect) -> Self {
        if known.clear_count == received.clear_count
            && known.failed_trials() == received.failed_trials()
        {
            return Self::Union;
        }
        if (received.clear_count, received.failed_trials())
            > (known.clear_count, known.failed_trials())
        {
            Self::Replace
        } else {
            Self::Ignore
        }
    }
}

impl SuspectChanges {
    fn mark_changed(&mut self, fingerprint: Fingerprint) {
        if !self.changed.contains(&fingerprint) {
            self.changed.push(fingerprint);
        }
    }

    /// Merges the state of a request that a peer sent into the known one.
    fn merge(&mut self, fingerprint: Fingerprint, known: &mut Suspect, received: Suspect) {
        match MergeRule::new(known, &received) {
            MergeRule::Ignore => {}
            MergeRule::Replace => {
                self.replace(fingerprint, known.times_quarantined(), &received);
                *known = received;
            }
            MergeRule::Union => self.unite(fingerprint, known, &received),
        }
    }

    fn replace(
        &mut self,
        fingerprint: Fingerprint,
        known_times_quarantined: u8,
        received: &Suspect,
    ) {
        self.crashed_upstreams
            .extend(received.crashes.iter().map(|crash| crash.upstream));
        if received.times_quarantined() > known_times_quarantined {
            self.newly_quarantined.push(fingerprint);
        }
        self.changed.push(fingerprint);
    }

    fn unite(&mut self, fingerprint: Fingerprint, known: &mut Suspect, received: &Suspect) {
        let new_crashes = received
            .crashes
            .iter()
            .filter(|crash| known.record_crash(**crash));
        let crashed_upstreams: Vec<u32> = new_crashes.map(|crash| crash.upstream).collect();
        let was_quarantined = known.quarantine.is_some();
        let is_newer = known.merge_quarantine(received.quarantine);
        if is_newer && !was_quarantined {
            self.newly_quarantined.push(fingerprint);
        }
        if is_newer || !crashed_upstreams.is_empty() {
            self.changed.push(fingerprint);
        }
        self.crashed_upstreams.extend(crashed_upstreams);
        known.changed_at_ms = known.changed_at_ms.max(received.changed_at_ms);
    }
}

/// The suspect requests that one entry knows.
///
/// ```
/// use sardinewood::direct::quarantine::fingerprint::Fingerprint;
/// use sardinewood::direct::quarantine::suspect_requests::{SuspectRequests, QuarantineDecision};
///
/// let fingerprint = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
/// let mut suspects = SuspectRequests::default();
/// for upstream in 1..=3 {
///     assert_eq!(suspects.decide(fingerprint, 0), QuarantineDecision::Allow);
///     let at_ms = u64::from(upstream) * 100;
///     suspects.record_crash(upstream, at_ms, &[(fingerprint, at_ms - 50)], at_ms);
/// }
/// assert!(matches!(suspects.decide(fingerprint, 300), QuarantineDecision::Refuse { .. }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectRequests {
    suspects: IndexMap<Fingerprint, Suspect>,
    /// Index at which the next resent message starts.
    resend_cursor: usize,
}

impl SuspectRequests {
    /// Returns whether there are no suspect requests, which is the usual case.
    ///
    /// ```
    /// assert!(sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how many requests are tracked, and how many of them are quarantined.
    ///
    /// ```
    /// let suspects = sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default();
    /// assert_eq!(suspects.counts(0).tracked, 0);
    /// ```
    #[must_use]
    pub fn counts(&self, now_ms: u64) -> SuspectCounts {
        let now_ms = signed_ms(now_ms);
        let is_quarantined = |suspect: &&Suspect| {
            suspect
                .quarantine
                .is_some_and(|quarantine| !quarantine.has_expired(now_ms))
        };
        SuspectCounts {
            tracked: self.suspects.len(),
            quarantined: self.suspects.values().filter(is_quarantined).count(),
        }
    }

    /// Returns whether any request is or was quarantined, so that it may have to be refused.
    ///
    /// ```
    /// assert!(!sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default().has_quarantined());
    /// ```
    #[must_use]
    pub fn has_quarantined(&self) -> bool {
        self.suspects
            .values()
            .any(|suspect| suspect.quarantine.is_some())
    }

    /// Returns whether any request is suspected. Cleared requests are only kept so that other entries
    /// learn that they were cleared.
    ///
    /// ```
    /// assert!(!sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default().has_suspects());
    /// ```
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        self.suspects.values().any(Suspect::is_suspected)
    }

    /// Decides whether a request may run.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::{SuspectRequests, QuarantineDecision};
    /// let fingerprint = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// assert_eq!(SuspectRequests::default().decide(fingerprint, 0), QuarantineDecision::Allow);
    /// ```
    #[must_use]
    pub fn decide(&self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineDecision {
        let now_ms = signed_ms(now_ms);
        match self
            .suspects
            .get(&fingerprint)
            .and_then(|suspect| suspect.quarantine)
        {
            None => QuarantineDecision::Allow,
            Some(quarantine) if quarantine.has_expired(now_ms) => QuarantineDecision::AllowTrial,
            Some(quarantine) => QuarantineDecision::Refuse {
                retry_after_ms: quarantine.until_ms.abs_diff(now_ms),
            },
        }
    }

    /// Returns whether a request whose connection broke may be sent to another upstream.
    ///
    /// `unconfirmed_crashes` is the number of its broken runs that may turn out to be crashes. They
    /// are counted as crashes, since confirming one takes longer than the next attempt.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// let fingerprint = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// assert!(SuspectRequests::default().may_retry(fingerprint, 2));
    /// assert!(!SuspectRequests::default().may_retry(fingerprint, 3));
    /// ```
    #[must_use]
    pub fn may_retry(&self, fingerprint: Fingerprint, unconfirmed_crashes: usize) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        let crashes = suspect.map_or(0, |suspect| suspect.crashes.len());
        let was_quarantined = suspect.is_some_and(|suspect| suspect.quarantine.is_some());
        !was_quarantined && crashes + unconfirmed_crashes < CRASH_THRESHOLD
    }

    /// Records that this entry starts a trial of a quarantined request. Other entries wait for the
    /// outcome, so that a trial costs at most one upstream.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// let fingerprint = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// SuspectRequests::default().begin_trial(fingerprint, 0);
    /// ```
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        let suspect = self.suspects.get_mut(&fingerprint);
        if let Some(quarantine) = suspect.and_then(|suspect| suspect.quarantine.as_mut()) {
            quarantine.is_trial = true;
            quarantine.until_ms = signed_ms(now_ms) + TRIAL_MS;
        }
    }

    /// Records a crash of an upstream at `at_ms`, and the runs that it interrupted: their requests
    /// and when they started. Returns what changed.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// let fingerprint = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// let change = SuspectRequests::default().record_crash(7, 100, &[(fingerprint, 50)], 100);
    /// assert_eq!(change.changed, [fingerprint]);
    /// assert!(change.newly_quarantined.is_empty());
    /// ```
    pub fn record_crash(
        &mut self,
        upstream: u32,
        at_ms: u64,
        runs: &[(Fingerprint, u64)],
        now_ms: u64,
    ) -> SuspectChanges {
        let now_ms = signed_ms(now_ms);
        let mut change = SuspectChanges::default();
        for (fingerprint, started_at_ms) in runs {
            self.make_room(*fingerprint);
            let suspect = self.suspects.entry(*fingerprint).or_default();
            let crash = Crash {
                upstream,
                at_ms: signed_ms(at_ms),
                consecutive_runs: suspect.consecutive_runs_at(signed_ms(*started_at_ms)),
            };
            if suspect.is_in_trial(now_ms) && !suspect.has_crashed(upstream) {
                suspect.quarantine = Some(Quarantine::new(
                    suspect.times_quarantined().saturating_add(1),
                    now_ms,
                ));
                suspect.crashes = vec![crash];
                change.newly_quarantined.push(*fingerprint);
            } else if !suspect.record_crash(crash) {
                continue;
            }
            suspect.changed_at_ms = now_ms;
            change.changed.push(*fingerprint);
        }
        self.quarantine_due(&mut change, now_ms);
        change
    }

    /// Clears a request of suspicion, since it succeeded or an operator released it. Returns whether it
    /// was suspected.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::fingerprint::Fingerprint;
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// let fingerprint = Fingerprint::parse("00112233445566778899aabbccddeeff").unwrap();
    /// assert!(!SuspectRequests::default().clear(fingerprint, 0));
    /// ```
    pub fn clear(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        if !suspect.is_suspected() {
            return false;
        }
        *suspect = Suspect {
            clear_count: suspect.clear_count.saturating_add(1),
            changed_at_ms: signed_ms(now_ms),
            ..Suspect::default()
        };
        true
    }

    /// Merges a peer's updates, and returns what changed.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspect_requests::{SuspectChanges, SuspectRequests};
    /// assert_eq!(SuspectRequests::default().merge(&[], 0), SuspectChanges::default());
    /// ```
    pub fn merge(&mut self, updates: &[SuspectUpdate], now_ms: u64) -> SuspectChanges {
        let now_ms = signed_ms(now_ms);
        let mut change = SuspectChanges::default();
        for update in updates {
            let received = Suspect::from_update(update, now_ms);
            if now_ms >= received.expires_at_ms() {
                continue;
            }
            self.make_room(update.fingerprint);
            match self.suspects.entry(update.fingerprint) {
                Entry::Occupied(mut known) => {
                    change.merge(update.fingerprint, known.get_mut(), received);
                }
                Entry::Vacant(place) => {
                    change.replace(update.fingerprint, 0, &received);
                    place.insert(received);
                }
            }
        }
        self.quarantine_due(&mut change, now_ms);
        change
    }

    /// Returns the updates to send to peers for some requests.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// assert!(SuspectRequests::default().updates_for(&[], 0).is_empty());
    /// ```
    #[must_use]
    pub fn updates_for(&self, requests: &[Fingerprint], now_ms: u64) -> Vec<SuspectUpdate> {
        let update = |fingerprint: &Fingerprint| {
            let suspect = self.suspects.get(fingerprint)?;
            Some(suspect.to_update(*fingerprint, signed_ms(now_ms)))
        };
        requests
            .iter()
            .filter_map(update)
            .take(MAX_UPDATES)
            .collect()
    }

    /// Returns the updates to resend to a peer that may have missed some: quarantined requests and
    /// others, taking turns within each group.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// assert!(SuspectRequests::default().next_updates(0).is_empty());
    /// ```
    pub fn next_updates(&mut self, now_ms: u64) -> Vec<SuspectUpdate> {
        let (quarantined, others): (Vec<_>, Vec<_>) = self
            .suspects
            .iter()
            .partition(|(_, suspect)| suspect.quarantine.is_some());
        let some_of = |all: Vec<(&Fingerprint, &Suspect)>, most: usize| {
            let first = self.resend_cursor % all.len().max(1);
            let some = all.iter().cycle().skip(first).take(most.min(all.len()));
            some.map(|(fingerprint, suspect)| suspect.to_update(**fingerprint, signed_ms(now_ms)))
                .collect::<Vec<SuspectUpdate>>()
        };
        let mut updates = some_of(quarantined, MAX_QUARANTINED_UPDATES);
        updates.extend(some_of(others, MAX_UPDATES - MAX_QUARANTINED_UPDATES));
        self.resend_cursor = self.resend_cursor.wrapping_add(MAX_QUARANTINED_UPDATES);
        updates
    }

    /// Returns the states of all requests.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;
    /// assert!(SuspectRequests::default().all_updates(0).is_empty());
    /// ```
    #[must_use]
    pub fn all_updates(&self, now_ms: u64) -> Vec<SuspectUpdate> {
        let update = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            suspect.to_update(*fingerprint, signed_ms(now_ms))
        };
        self.suspects.iter().map(update).collect()
    }

    /// Drops the states that have expired.
    ///
    /// ```
    /// sardinewood::direct::quarantine::suspect_requests::SuspectRequests::default().expire(0);
    /// ```
    pub fn expire(&mut self, now_ms: u64) {
        let now_ms = signed_ms(now_ms);
        self.suspects
            .retain(|_, suspect| now_ms < suspect.expires_at_ms());
    }

    /// Quarantines those of the changed requests during whose runs enough upstreams crashed.
    fn quarantine_due(&mut self, change: &mut SuspectChanges, now_ms: InstantMs) {
        for fingerprint in change.changed.clone() {
            let suspect = self.suspects.get_mut(&fingerprint);
            if let Some(suspect) = suspect.filter(|suspect| suspect.is_quarantine_due()) {
                suspect.quarantine = Some(Quarantine::new(1, now_ms));
                change.newly_quarantined.push(fingerprint);
            }
        }
        if !change.newly_quarantined.is_empty() {
            self.shorten_shared(change, now_ms);
        }
    }

    /// Shortens the first quarantine of requests that share their crashes with other quarantined
    /// requests, so that a trial soon tells which request caused them.
    ///
    /// A request that runs beside one that crashes upstreams collects the crashes of the latter, and a
    /// popular request collects those of several, before any of them has three. If it were
    /// quarantined for a minute, its callers would lose more than by all these crashes.
    fn shorten_shared(&mut self, change: &mut SuspectChanges, now_ms: InstantMs) {
        let shared: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_in_first_quarantine())
            .filter(|(fingerprint, suspect)| {
                self.unshared_crashes(fingerprint, suspect) < CRASH_THRESHOLD
            })
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in shared {
            let soon_ms = now_ms + SHARED_QUARANTINE_MS + fingerprint.hash_below(SHARED_JITTER_MS);
            let suspect = self.suspects.get_mut(&fingerprint);
            let Some(quarantine) = suspect.and_then(|suspect| suspect.quarantine.as_mut()) else {
                continue;
            };
            if quarantine.until_ms > soon_ms {
                quarantine.until_ms = soon_ms;
                change.mark_changed(fingerprint);
            }
        }
    }

    /// Returns the number of a request's crashes in which no other quarantined request ran.
    fn unshared_crashes(&self, fingerprint: &Fingerprint, suspect: &Suspect) -> usize {
        let others: Vec<&Suspect> = self
            .suspects
            .iter()
            .filter(|(other, suspect)| *other != fingerprint && suspect.quarantine.is_some())
            .map(|(_, suspect)| suspect)
            .collect();
        let is_unshared =
            |crash: &&Crash| !others.iter().any(|other| other.has_crashed(crash.upstream));
        suspect.crashes.iter().filter(is_unshared).count()
    }

    /// Makes room for a request, so that a caller that sends an endless sequence of different bodies
    /// can't exhaust the memory. Evicts requests that were never quarantined first, the oldest first.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let rank = |suspect: &Suspect| {
            (
                suspect.quarantine.map(|quarantine| quarantine.times),
                suspect.changed_at_ms,
            )
        };
        let evicted = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| rank(suspect))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(evicted) = evicted {
            self.suspects.swap_remove(&evicted);
        }
    }
}
