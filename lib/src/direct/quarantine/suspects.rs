//! Features of requests that ran on upstreams when they crashed, and which of them are quarantined.
//!
//! A crash interrupts all runs on the upstream, so a single one says little about a feature. A feature
//! that causes crashes differs from those that run beside it: upstreams crash repeatedly in
//! consecutive runs with it, no run with it survives, and no other feature was there at each of these
//! crashes and at further ones. A part of prompts has to come in several requests. Entries merge what
//! they have observed, so that three crashes seen by three different entries lead to the same decision
//! as three seen by one.

use indexmap::IndexMap;
use indexmap::map::Entry;

use crate::direct::quarantine::feature::Feature;
use crate::direct::quarantine::suspect::CRASH_THRESHOLD;
use crate::direct::quarantine::suspect::Crash;
use crate::direct::quarantine::suspect::InstantMs;
use crate::direct::quarantine::suspect::Quarantine;
use crate::direct::quarantine::suspect::Suspect;
use crate::direct::quarantine::suspect::SuspectUpdate;
use crate::direct::quarantine::suspect::signed_ms;

/// How long an entry waits for claims of other entries before it starts a trial.
pub const CLAIM_WAIT_MS: u64 = 100;
/// Minimum time until the trial of a feature that shares its crashes with other quarantined ones.
/// It is unknown which of them is the cause, and the trials decide.
const EARLY_TRIAL_MS: InstantMs = 1_000;
/// Period over which the trials of such features are distributed, so that the one that causes
/// crashes doesn't crash the upstream on which the other is tried.
const EARLY_TRIAL_JITTER_MS: InstantMs = 2_000;
/// Maximum number of early trials of one feature. Each that fails may cost an upstream.
const MAX_EARLY_TRIALS: u8 = 3;
/// Maximum number of tracked features. Each takes 300 bytes, and a caller can send any number of
/// different ones.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of features in one message. Each takes at most 136 bytes, so that the message fits
/// into one datagram.
pub const MAX_UPDATES: usize = 10;
/// Number of quarantined features in one repeated message, if there are others as well.
const MAX_QUARANTINED_UPDATES: usize = MAX_UPDATES / 2;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The request may run.
    Allow,
    /// A feature has just been quarantined, and a peer may still clear it: ask again later.
    Defer {
        /// Time until then.
        wait_ms: u64,
    },
    /// The quarantine has expired, and the request may run as a trial. Only one entry at a time runs
    /// a trial, so the entry has to claim it first.
    ClaimTrial {
        /// Feature that is tried.
        feature: Feature,
    },
    /// The request is refused.
    Refuse {
        /// The quarantined feature.
        feature: Feature,
        /// Time until a trial is allowed.
        retry_after_ms: u64,
    },
}

/// A run that a crash interrupted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Features of the request that may have caused the crash.
    pub features: Vec<Feature>,
    /// Short hash of the request's content.
    pub content: u8,
    /// When the run started.
    pub started_at_ms: u64,
    /// Claim of the trial that the run was, if it was one.
    pub trial_claim: Option<u32>,
}

/// Numbers of suspect features.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectCounts {
    /// Features during whose runs upstreams crashed, and features that were recently cleared.
    pub tracked: usize,
    /// Features that are quarantined now.
    pub quarantined: usize,
    /// Parts of prompts among these.
    pub quarantined_parts: usize,
}

/// What a crash or a peer's update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectChanges {
    /// Features whose state changed.
    pub changed: Vec<Feature>,
    /// Features that are quarantined from now on.
    pub newly_quarantined: Vec<Feature>,
    /// Hashes of upstreams whose crash a peer reported.
    pub crashed_upstreams: Vec<u32>,
}

/// How to merge a peer's state of a feature with the known one.
enum MergeRule {
    /// The peer's state is older: keep the known one.
    Ignore,
    /// The peer's state is newer: adopt it.
    Replace,
    /// Both states are equally recent: combine their crashes.
    Union,
}

impl MergeRule {
    /// Chooses the rule. Clearing a feature invalidates its earlier crashes, and a trial its earlier
    /// quarantine.
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
    fn mark_changed(&mut self, feature: Feature) {
        if !self.changed.contains(&feature) {
            self.changed.push(feature);
        }
    }

    /// Merges the state of a feature that a peer sent into the known one.
    fn merge(&mut self, feature: Feature, known: &mut Suspect, received: Suspect) {
        match MergeRule::new(known, &received) {
            MergeRule::Ignore => {}
            MergeRule::Replace => {
                self.replace(feature, known.times_quarantined(), &received);
                *known = received;
            }
            MergeRule::Union => self.unite(feature, known, &received),
        }
    }

    fn replace(&mut self, feature: Feature, known_times_quarantined: u8, received: &Suspect) {
        self.crashed_upstreams
            .extend(received.crashes.iter().map(|crash| crash.upstream));
        if received.times_quarantined() > known_times_quarantined {
            self.newly_quarantined.push(feature);
        }
        self.changed.push(feature);
    }

    fn unite(&mut self, feature: Feature, known: &mut Suspect, received: &Suspect) {
        let new_crashes = received
            .crashes
            .iter()
            .filter(|crash| known.record_crash(**crash));
        let crashed_upstreams: Vec<u32> = new_crashes.map(|crash| crash.upstream).collect();
        let was_quarantined = known.quarantine.is_some();
        let is_newer = known.merge_quarantine(received.quarantine);
        if is_newer && !was_quarantined {
            self.newly_quarantined.push(feature);
        }
        if is_newer || !crashed_upstreams.is_empty() {
            self.changed.push(feature);
        }
        self.crashed_upstreams.extend(crashed_upstreams);
        known.changed_at_ms = known.changed_at_ms.max(received.changed_at_ms);
    }
}

/// The suspect features that one entry knows.
///
/// ```
/// use sardinewood::direct::quarantine::feature::Feature;
/// use sardinewood::direct::quarantine::suspects::{CrashedRun, QuarantineDecision, Suspects};
///
/// let part = Feature::parse("part-5c1e07a2").unwrap();
/// let mut suspects = Suspects::default();
/// for upstream in 1..=3 {
///     assert_eq!(suspects.decide(&[part], None, 0), QuarantineDecision::Allow);
///     let at_ms = u64::from(upstream) * 100;
///     let run = CrashedRun {
///         features: vec![part],
///         content: upstream as u8,
///         started_at_ms: at_ms - 50,
///         trial_claim: None,
///     };
///     suspects.record_crash(upstream, at_ms, &[run], at_ms);
/// }
/// assert!(matches!(suspects.decide(&[part], None, 500), QuarantineDecision::Refuse { .. }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_feature: IndexMap<Feature, Suspect>,
    /// Whether the content of some request is or was quarantined.
    has_quarantined_content: bool,
    /// Index at which the next resent message starts.
    resend_cursor: usize,
}

impl Suspects {
    /// Returns whether there are no suspect features, which is the usual case.
    ///
    /// ```
    /// assert!(sardinewood::direct::quarantine::suspects::Suspects::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_feature.is_empty()
    }

    /// Returns how many features are tracked, and how many of them are quarantined.
    ///
    /// ```
    /// let suspects = sardinewood::direct::quarantine::suspects::Suspects::default();
    /// assert_eq!(suspects.counts(0).tracked, 0);
    /// ```
    #[must_use]
    pub fn counts(&self, now_ms: u64) -> SuspectCounts {
        let now_ms = signed_ms(now_ms);
        let is_quarantined = |(_, suspect): &(&Feature, &Suspect)| {
            let quarantine = suspect.quarantine;
            quarantine.is_some_and(|quarantine| quarantine.is_active(now_ms))
        };
        let quarantined: Vec<&Feature> = self
            .by_feature
            .iter()
            .filter(is_quarantined)
            .map(|(feature, _)| feature)
            .collect();
        let is_part = |feature: &&&Feature| matches!(feature, Feature::Part(_));
        SuspectCounts {
            tracked: self.by_feature.len(),
            quarantined: quarantined.len(),
            quarantined_parts: quarantined.iter().filter(is_part).count(),
        }
    }

    /// Returns whether the content of any request is or was quarantined, so that fingerprints have to
    /// be compared.
    ///
    /// ```
    /// assert!(!sardinewood::direct::quarantine::suspects::Suspects::default().has_quarantined_content());
    /// ```
    #[must_use]
    pub fn has_quarantined_content(&self) -> bool {
        self.has_quarantined_content
    }

    /// Returns whether a feature is suspected.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// assert!(!Suspects::default().is_suspected(Feature::parse("part-1").unwrap()));
    /// ```
    #[must_use]
    pub fn is_suspected(&self, feature: Feature) -> bool {
        let suspect = self.by_feature.get(&feature);
        suspect.is_some_and(Suspect::is_suspected)
    }

    /// Returns whether the content of any request is suspected. Cleared requests are only kept so that
    /// other entries learn that they were cleared.
    ///
    /// ```
    /// assert!(!sardinewood::direct::quarantine::suspects::Suspects::default().has_suspected_content());
    /// ```
    #[must_use]
    pub fn has_suspected_content(&self) -> bool {
        let is_suspected = |(feature, suspect): (&Feature, &Suspect)| {
            matches!(feature, Feature::Content(_)) && suspect.is_suspected()
        };
        self.by_feature.iter().any(is_suspected)
    }

    /// Returns whether any entry has cleared a feature recently enough to exempt it from suspicion.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// assert!(!Suspects::default().was_cleared_recently(Feature::parse("part-1").unwrap(), 0));
    /// ```
    #[must_use]
    pub fn was_cleared_recently(&self, feature: Feature, now_ms: u64) -> bool {
        let exempt_for_ms = signed_ms(feature.exempt_for_ms());
        self.by_feature.get(&feature).is_some_and(|suspect| {
            !suspect.is_suspected() && signed_ms(now_ms) < suspect.changed_at_ms + exempt_for_ms
        })
    }

    /// Decides whether a request with these features may run. `trial_claim` is that of the request if
    /// it is a trial.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::{QuarantineDecision, Suspects};
    /// let part = Feature::parse("part-5c1e07a2").unwrap();
    /// assert_eq!(Suspects::default().decide(&[part], None, 0), QuarantineDecision::Allow);
    /// ```
    #[must_use]
    pub fn decide(
        &self,
        features: &[Feature],
        trial_claim: Option<u32>,
        now_ms: u64,
    ) -> QuarantineDecision {
        let now_ms = signed_ms(now_ms);
        let quarantine_of = |feature: &Feature| {
            let quarantine = self.by_feature.get(feature)?.quarantine?;
            Some((*feature, quarantine))
        };
        let quarantined: Vec<(Feature, Quarantine)> =
            features.iter().filter_map(quarantine_of).collect();
        let is_own_trial =
            |quarantine: Quarantine| trial_claim.is_some() && quarantine.trial_claim == trial_claim;
        let is_only = quarantined.len() == 1;
        let blocking = quarantined
            .iter()
            .filter(|(_, quarantine)| !is_own_trial(*quarantine))
            .max_by_key(|(_, quarantine)| quarantine.trial_at_ms(is_only));
        let Some((feature, quarantine)) = blocking.copied() else {
            return QuarantineDecision::Allow;
        };
        if now_ms < quarantine.effective_at_ms {
            return QuarantineDecision::Defer {
                wait_ms: quarantine.effective_at_ms.abs_diff(now_ms),
            };
        }
        let trial_at_ms = quarantine.trial_at_ms(is_only);
        if now_ms < trial_at_ms || trial_claim.is_some() {
            return QuarantineDecision::Refuse {
                feature,
                retry_after_ms: (trial_at_ms - now_ms).max(0).unsigned_abs(),
            };
        }
        QuarantineDecision::ClaimTrial { feature }
    }

    /// Returns whether a request whose connection broke may be sent to another upstream.
    ///
    /// `unconfirmed_crashes` returns the number of broken runs with a feature that may turn out to be
    /// crashes. They are counted as crashes, since confirming one takes longer than the next attempt.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// let part = Feature::parse("part-5c1e07a2").unwrap();
    /// assert!(Suspects::default().may_retry(&[part], |_| 2, 0));
    /// assert!(!Suspects::default().may_retry(&[part], |_| 3, 0));
    /// ```
    #[must_use]
    pub fn may_retry(
        &self,
        features: &[Feature],
        unconfirmed_crashes: impl Fn(Feature) -> usize,
        now_ms: u64,
    ) -> bool {
        let now_ms = signed_ms(now_ms);
        features.iter().all(|feature| {
            let suspect = self.by_feature.get(feature);
            let crashes = suspect.map_or(0, |suspect| suspect.crashes.len());
            match suspect.and_then(|suspect| suspect.quarantine) {
                // A peer may still clear the feature. If none does, the request is refused before it is
                // sent.
                Some(quarantine) => now_ms < quarantine.effective_at_ms,
                None => crashes + unconfirmed_crashes(*feature) < CRASH_THRESHOLD,
            }
        })
    }

    /// Claims a trial for a request with these features, of which some are quarantined. Returns those.
    /// Other entries wait for the outcome, so that a trial costs at most one upstream.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// let part = Feature::parse("part-5c1e07a2").unwrap();
    /// assert!(Suspects::default().claim_trial(&[part], 7, 0).is_empty());
    /// ```
    pub fn claim_trial(&mut self, features: &[Feature], claim: u32, now_ms: u64) -> Vec<Feature> {
        let mut claimed = Vec::new();
        for feature in features {
            let suspect = self.by_feature.get_mut(feature);
            if let Some(quarantine) = suspect.and_then(|suspect| suspect.quarantine.as_mut()) {
                *quarantine = quarantine.in_trial(claim, signed_ms(now_ms));
                claimed.push(*feature);
            }
        }
        claimed
    }

    /// Extends a trial that has no outcome yet. Returns the features that are tried.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// let part = Feature::parse("part-5c1e07a2").unwrap();
    /// assert!(Suspects::default().extend_trial(&[part], 7, 0).is_empty());
    /// ```
    pub fn extend_trial(&mut self, features: &[Feature], claim: u32, now_ms: u64) -> Vec<Feature> {
        let is_in_trial = |feature: &&Feature| {
            let suspect = self.by_feature.get(*feature);
            suspect.is_some_and(|suspect| suspect.is_in_trial(claim))
        };
        let in_trial: Vec<Feature> = features.iter().filter(is_in_trial).copied().collect();
        self.claim_trial(&in_trial, claim, now_ms)
    }

    /// Records a crash of an upstream at `at_ms`, and the runs that it interrupted. Returns what
    /// changed.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::{CrashedRun, Suspects};
    /// let part = Feature::parse("part-5c1e07a2").unwrap();
    /// let run = CrashedRun { features: vec![part], content: 1, started_at_ms: 50, trial_claim: None };
    /// let change = Suspects::default().record_crash(7, 100, &[run], 100);
    /// assert_eq!(change.changed, [part]);
    /// assert!(change.newly_quarantined.is_empty());
    /// ```
    pub fn record_crash(
        &mut self,
        upstream: u32,
        at_ms: u64,
        runs: &[CrashedRun],
        now_ms: u64,
    ) -> SuspectChanges {
        let now_ms = signed_ms(now_ms);
        let mut change = SuspectChanges::default();
        for run in runs {
            for feature in &run.features {
                self.make_room(*feature);
                let suspect = self.by_feature.entry(*feature).or_default();
                let crash = Crash {
                    upstream,
                    at_ms: signed_ms(at_ms),
                    consecutive_runs: suspect.consecutive_runs_at(signed_ms(run.started_at_ms)),
                    content: run.content,
                };
                let is_recorded = suspect.record_crash(crash);
                let is_failed_trial = run
                    .trial_claim
                    .is_some_and(|claim| suspect.is_in_trial(claim));
                if is_failed_trial {
                    let times = suspect.times_quarantined().saturating_add(1);
                    suspect.quarantine = Some(Quarantine::new(times, now_ms));
                    change.newly_quarantined.push(*feature);
                }
                if is_recorded || is_failed_trial {
                    suspect.changed_at_ms = now_ms;
                    change.mark_changed(*feature);
                }
            }
        }
        self.quarantine_due(&mut change, now_ms);
        change
    }

    /// Clears a feature of suspicion, since a run with it survived. Returns what changed, which includes other features whose crashes it no longer explains.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// let part = Feature::parse("part-5c1e07a2").unwrap();
    /// assert!(Suspects::default().clear(part, 0).changed.is_empty());
    /// ```
    pub fn clear(&mut self, feature: Feature, now_ms: u64) -> SuspectChanges {
        let mut change = SuspectChanges::default();
        let now_ms = signed_ms(now_ms);
        let suspect = self.by_feature.get_mut(&feature);
        let Some(suspect) = suspect.filter(|suspect| suspect.is_suspected()) else {
            return change;
        };
        let was_quarantined = suspect.quarantine.is_some();
        *suspect = Suspect {
            clear_count: suspect.clear_count.saturating_add(1),
            changed_at_ms: now_ms,
            ..Suspect::default()
        };
        change.changed.push(feature);
        if was_quarantined {
            self.quarantine_due(&mut change, now_ms);
        }
        change
    }

    /// Clears a feature of suspicion, as an operator asks. Unlike a survival, that exempts it from no new
    /// suspicion. Returns what changed.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// let part = Feature::parse("part-5c1e07a2").unwrap();
    /// assert!(Suspects::default().release(part, 0).changed.is_empty());
    /// ```
    pub fn release(&mut self, feature: Feature, now_ms: u64) -> SuspectChanges {
        let change = self.clear(feature, now_ms);
        if !change.changed.is_empty()
            && let Some(suspect) = self.by_feature.get_mut(&feature)
        {
            suspect.changed_at_ms = signed_ms(now_ms) - signed_ms(feature.exempt_for_ms());
        }
        change
    }

    /// Quarantines a feature for the longest time, as an operator asks.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::feature::Feature;
    /// # use sardinewood::direct::quarantine::suspects::{QuarantineDecision, Suspects};
    /// let part = Feature::parse("part-5c1e07a2").unwrap();
    /// let mut suspects = Suspects::default();
    /// suspects.keep(part, 0);
    /// assert!(matches!(suspects.decide(&[part], None, 0), QuarantineDecision::Refuse { .. }));
    /// ```
    pub fn keep(&mut self, feature: Feature, now_ms: u64) {
        self.make_room(feature);
        let now_ms = signed_ms(now_ms);
        let suspect = self.by_feature.entry(feature).or_default();
        suspect.quarantine = Some(Quarantine::longest(now_ms));
        suspect.changed_at_ms = now_ms;
        self.update_has_quarantined_content();
    }

    /// Merges a peer's updates, and returns what changed.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspects::{SuspectChanges, Suspects};
    /// assert_eq!(Suspects::default().merge(&[], 0), SuspectChanges::default());
    /// ```
    pub fn merge(&mut self, updates: &[SuspectUpdate], now_ms: u64) -> SuspectChanges {
        let now_ms = signed_ms(now_ms);
        let mut change = SuspectChanges::default();
        for update in updates {
            let received = Suspect::from_update(update, now_ms);
            if now_ms >= received.expires_at_ms() {
                continue;
            }
            self.make_room(update.feature);
            match self.by_feature.entry(update.feature) {
                Entry::Occupied(mut known) => {
                    change.merge(update.feature, known.get_mut(), received);
                }
                Entry::Vacant(place) => {
                    change.replace(update.feature, 0, &received);
                    place.insert(received);
                }
            }
        }
        self.quarantine_due(&mut change, now_ms);
        change
    }

    /// Returns the updates to send to peers for some features.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// assert!(Suspects::default().updates_for(&[], 0).is_empty());
    /// ```
    #[must_use]
    pub fn updates_for(&self, features: &[Feature], now_ms: u64) -> Vec<SuspectUpdate> {
        let update = |feature: &Feature| {
            let suspect = self.by_feature.get(feature)?;
            Some(suspect.to_update(*feature, signed_ms(now_ms)))
        };
        features.iter().filter_map(update).collect()
    }

    /// Returns the updates to resend to a peer that may have missed some: quarantined features and
    /// others, taking turns within each group.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// assert!(Suspects::default().next_updates(0).is_empty());
    /// ```
    pub fn next_updates(&mut self, now_ms: u64) -> Vec<SuspectUpdate> {
        let (quarantined, others): (Vec<_>, Vec<_>) = self
            .by_feature
            .iter()
            .partition(|(_, suspect)| suspect.quarantine.is_some());
        let some_of = |all: Vec<(&Feature, &Suspect)>, most: usize| {
            let first = self.resend_cursor % all.len().max(1);
            let some = all.iter().cycle().skip(first).take(most.min(all.len()));
            some.map(|(feature, suspect)| suspect.to_update(**feature, signed_ms(now_ms)))
                .collect::<Vec<SuspectUpdate>>()
        };
        let others_count = others.len().min(MAX_UPDATES - MAX_QUARANTINED_UPDATES);
        let mut updates = some_of(quarantined, MAX_UPDATES - others_count);
        updates.extend(some_of(others, others_count));
        self.resend_cursor = self.resend_cursor.wrapping_add(MAX_QUARANTINED_UPDATES);
        updates
    }

    /// Returns the states of all features.
    ///
    /// ```
    /// # use sardinewood::direct::quarantine::suspects::Suspects;
    /// assert!(Suspects::default().all_updates(0).is_empty());
    /// ```
    #[must_use]
    pub fn all_updates(&self, now_ms: u64) -> Vec<SuspectUpdate> {
        let update = |(feature, suspect): (&Feature, &Suspect)| {
            suspect.to_update(*feature, signed_ms(now_ms))
        };
        self.by_feature.iter().map(update).collect()
    }

    /// Drops the states that have expired.
    ///
    /// ```
    /// sardinewood::direct::quarantine::suspects::Suspects::default().expire(0);
    /// ```
    pub fn expire(&mut self, now_ms: u64) {
        let now_ms = signed_ms(now_ms);
        self.by_feature
            .retain(|_, suspect| now_ms < suspect.expires_at_ms());
        self.update_has_quarantined_content();
    }

    /// Quarantines the features during whose runs enough upstreams crashed, unless another quarantined
    /// feature explains these crashes. Those with the most crashes come first, since they explain
    /// those of the others.
    fn quarantine_due(&mut self, change: &mut SuspectChanges, now_ms: InstantMs) {
        if change.changed.is_empty() {
            return;
        }
        let mut due: Vec<(usize, Feature)> = self
            .by_feature
            .iter()
            .filter(|(feature, suspect)| suspect.is_quarantine_due(**feature))
            .map(|(feature, suspect)| (suspect.crashes.len(), *feature))
            .collect();
        due.sort_unstable_by(|one, other| other.cmp(one));
        for (_, feature) in due {
            if self.is_explained(feature) {
                continue;
            }
            if let Some(suspect) = self.by_feature.get_mut(&feature) {
                suspect.quarantine = Some(Quarantine::new(1, now_ms));
                change.mark_changed(feature);
                change.newly_quarantined.push(feature);
            }
        }
        if !change.newly_quarantined.is_empty() {
            self.allow_early_trials(change, now_ms);
        }
        self.update_has_quarantined_content();
    }

    /// Returns whether another quarantined feature explains the crashes of a feature.
    fn is_explained(&self, feature: Feature) -> bool {
        let suspect = self.by_feature.get(&feature);
        suspect.is_some_and(|suspect| {
            let mut others = self.other_quarantined(feature);
            others.any(|other| suspect.is_explained_by(other))
        })
    }

    fn other_quarantined(&self, feature: Feature) -> impl Iterator<Item = &Suspect> {
        self.by_feature
            .iter()
            .filter(move |(other, suspect)| **other != feature && suspect.quarantine.is_some())
            .map(|(_, suspect)| suspect)
    }

    /// Allows early trials of features that may be quarantined for the crashes of others, so that a
    /// trial soon tells which of them caused the crashes.
    ///
    /// A feature that runs beside one that crashes upstreams collects the crashes of the latter, and a
    /// popular one collects those of several, before any of them has three. If it were quarantined for
    /// a minute, its callers would lose more than by all these crashes.
    fn allow_early_trials(&mut self, change: &mut SuspectChanges, now_ms: InstantMs) {
        let is_untried = |suspect: &Suspect| {
            suspect.quarantine.is_some_and(|quarantine| {
                quarantine.times <= MAX_EARLY_TRIALS
                    && quarantine.trial_claim.is_none()
                    && quarantine.early_trial_at_ms.is_none()
            })
        };
        let sharing: Vec<Feature> = self
            .by_feature
            .iter()
            .filter(|(_, suspect)| is_untried(suspect))
            .filter(|(feature, _)| self.shares_crashes(**feature))
            .map(|(feature, _)| *feature)
            .collect();
        for feature in sharing {
            let jitter_ms = feature.hash_below(EARLY_TRIAL_JITTER_MS);
            let suspect = self.by_feature.get_mut(&feature);
            if let Some(quarantine) = suspect.and_then(|suspect| suspect.quarantine.as_mut()) {
                quarantine.early_trial_at_ms = Some(now_ms + EARLY_TRIAL_MS + jitter_ms);
                change.mark_changed(feature);
            }
        }
    }

    /// Returns whether other features may have caused the crashes that a feature is quarantined for:
    /// the crash of its latest trial, or all but a few of the crashes before the first one. A feature
    /// whose crashes this one explains is not the cause.
    fn shares_crashes(&self, feature: Feature) -> bool {
        let Some(suspect) = self.by_feature.get(&feature) else {
            return false;
        };
        let others: Vec<&Suspect> = self
            .other_quarantined(feature)
            .filter(|other| !other.is_explained_by(suspect))
            .collect();
        let is_shared =
            |crash: &Crash| others.iter().any(|other| other.has_crashed(crash.upstream));
        if suspect.failed_trials() > 0 {
            return suspect.latest_crash().is_some_and(is_shared);
        }
        let own_crashes = suspect.crashes.iter().filter(|crash| !is_shared(crash));
        own_crashes.count() < CRASH_THRESHOLD
    }

    fn update_has_quarantined_content(&mut self) {
        self.has_quarantined_content = self.by_feature.iter().any(|(feature, suspect)| {
            matches!(feature, Feature::Content(_)) && suspect.quarantine.is_some()
        });
    }

    /// Makes room for a feature, so that a caller that sends an endless sequence of different ones
    /// can't exhaust the memory. Evicts features that were never quarantined first, the oldest first.
    fn make_room(&mut self, feature: Feature) {
        if self.by_feature.len() < MAX_SUSPECTS || self.by_feature.contains_key(&feature) {
            return;
        }
        let rank = |suspect: &Suspect| {
            (
                suspect.quarantine.map(|quarantine| quarantine.times),
                suspect.crashes.len(),
                suspect.changed_at_ms,
            )
        };
        let evicted = self
            .by_feature
            .iter()
            .min_by_key(|(_, suspect)| rank(suspect))
            .map(|(feature, _)| *feature);
        if let Some(evicted) = evicted {
            self.by_feature.swap_remove(&evicted);
        }
    }
}
