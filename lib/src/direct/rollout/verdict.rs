//! Whether a version is bad, from what requests came to there and at the old version.
//!
//! Upstreams of one version differ in speed several times over, and a few of them fail by
//! themselves. A version is bad if it is so wherever it runs: what one upstream does counts only
//! up to the odds that it is that upstream's own fault, and speed is compared between each
//! upstream's requests, or between the fastest upstreams of both versions.

use indexmap::IndexMap;

use crate::direct::rollout::outcome_counts::OutcomeClass;
use crate::direct::rollout::outcome_counts::OutcomeKey;
use crate::direct::rollout::outcome_counts::STEPS;
use crate::direct::rollout::outcome_counts::STEPS_PER_OCTAVE;
use crate::numbers;

/// Likelihood ratio, as a logarithm, at which the new version counts as bad: one good version in
/// ten thousand reaches it by chance at any one moment.
const BAD_RATIO_LN: f64 = 9.5;
/// The same at which more evidence is waited for.
const DOUBT_RATIO_LN: f64 = 4.5;
/// Parts of all requests that a bad version may spoil beyond those that the old one does.
const SPOILED_PARTS: [f64; 3] = [0.08, 0.25, 0.7];
/// Odds that an upstream fails by itself, before any of the old version has been seen to, and what
/// these odds count for, in upstreams.
const FAULTY_PART: f64 = 0.01;
const FAULTY_PRIOR: f64 = 12.0;
/// Likelihood ratio, as a logarithm, from which an upstream of the old version counts as faulty.
const FAULTY_RATIO_LN: f64 = 3.0;
/// Parts of its requests that a faulty upstream may fail.
const FAULTY_FAILED: [f64; 4] = [0.15, 0.4, 0.8, 0.97];
/// Requests that the old version's part of failures begins with, and how many of them failed, so
/// that a few good ones prove nothing.
const PRIOR_REQUESTS: f64 = 30.0;
const PRIOR_FAILED: f64 = 0.6;
/// Failures at the new version after which it goes, if it fails so much more often than the old one.
const MOST_FAILED: u32 = 25;
const FAILED_FACTOR: f64 = 2.0;
const FAILED_BEYOND: f64 = 0.05;
/// Requests at one upstream from which its mean time is known, and from which its quicker requests
/// are told from its slower ones.
const TIMED_AT_LEAST: u32 = 4;
const RANKED_AT_LEAST: u32 = 8;
/// Steps beyond an upstream's own usual time from which a request took several times as long.
const LONG_STEPS: u8 = 4;
/// The quarter of the old version's upstreams that counts as fast: the very fastest of many is so by
/// chance.
const FAST_PART: usize = 4;
/// Octaves by which the fastest upstream of the new version may be slower than those.
const SLOWER_OCTAVES: f64 = 1.2;
/// Likelihood ratio, as a logarithm, at which answers from many upstreams are too slow. Those of one
/// moment may be slow by whatever holds up this host, so four upstreams have to agree, each at its time.
const SLOW_ANYWHERE_LN: f64 = 16.0;
/// Octaves within which an upstream of the old version is as slow, and the odds, as a logarithm,
/// against having drawn only such.
const AS_SLOW_OCTAVES: f64 = 0.3;
const SLOWER_RATIO_LN: f64 = 5.0;

/// What the evidence says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionVerdict {
    /// Nothing speaks against the new version.
    Clean,
    /// Something does, and may be chance.
    Doubtful,
    /// All requests are slow so far, and it may be that only slow upstreams have been tried.
    SeemsSlow,
    /// Its requests fail.
    Failing,
    /// A part of its requests takes several times as long.
    PartlySlow,
    /// All of its requests do.
    Slow,
}

impl VersionVerdict {
    /// Whether the version has to go.
    ///
    /// ```
    /// use sardinewood::direct::rollout::verdict::VersionVerdict;
    ///
    /// assert!(VersionVerdict::Slow.is_bad() && !VersionVerdict::Doubtful.is_bad());
    /// ```
    #[must_use]
    pub fn is_bad(self) -> bool {
        matches!(self, Self::Failing | Self::PartlySlow | Self::Slow)
    }

    /// Its name in logs.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::verdict::VersionVerdict::Clean.name(), "clean");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Clean => "clean",
            Self::Doubtful => "doubtful",
            Self::SeemsSlow => "seems slow",
            Self::Failing => "requests fail",
            Self::PartlySlow => "a part of the requests is slow",
            Self::Slow => "all requests are slow",
        }
    }
}

/// Requests, and how many of them were spoiled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All of them.
    pub requests: u32,
    /// Those that failed or took too long.
    pub bad: u32,
}

impl RequestCounts {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.bad += other.bad;
    }

    fn share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.requests.max(1))
    }
}

#[derive(Clone, Debug, Default)]
struct AtUpstream {
    /// By route.
    failures: IndexMap<u32, RequestCounts>,
    /// Answers by step of time.
    times: [u32; STEPS as usize],
}

impl AtUpstream {
    fn add(&mut self, cell: OutcomeKey, count: u32) {
        let failed = cell.outcome == OutcomeClass::Failed;
        self.failures
            .entry(cell.route)
            .or_default()
            .add(RequestCounts {
                requests: count,
                bad: if failed { count } else { 0 },
            });
        if let OutcomeClass::Took(step) = cell.outcome
            && let Some(times) = self.times.get_mut(usize::from(step))
        {
            *times += count;
        }
    }

    fn failed(&self) -> RequestCounts {
        let mut all = RequestCounts::default();
        for part in self.failures.values() {
            all.add(*part);
        }
        all
    }

    fn timed(&self) -> u32 {
        self.times.iter().sum()
    }

    /// Answers that took several times as long as the quicker ones there.
    fn long(&self) -> RequestCounts {
        let timed = self.timed();
        if timed < RANKED_AT_LEAST {
            return RequestCounts::default();
        }
        let quick = quick_step(&self.times).unwrap_or_default();
        let from = quick + usize::from(LONG_STEPS);
        RequestCounts {
            requests: timed,
            bad: self.times.iter().skip(from).sum(),
        }
    }

    /// The mean time in octaves, if it is known.
    fn octaves(&self) -> Option<f64> {
        let timed = self.timed();
        let steps = (0..STEPS).zip(self.times);
        let sum: f64 = steps
            .map(|(step, count)| f64::from(step) * f64::from(count))
            .sum();
        (timed >= TIMED_AT_LEAST).then(|| sum / f64::from(timed) / STEPS_PER_OCTAVE)
    }
}

/// The evidence for and against a version.
///
/// ```
/// use sardinewood::direct::rollout::outcome_counts::{OutcomeKey, OutcomeClass};
/// use sardinewood::direct::rollout::verdict::{VersionEvidence, VersionVerdict};
///
/// let cell = |upstream, outcome| OutcomeKey { is_new: true, upstream, route: 1, rotation: 0, outcome };
/// let mut evidence = VersionEvidence::default();
/// for upstream in [1, 2, 3] {
///     evidence.add(cell(upstream, OutcomeClass::Failed), 6);
/// }
/// assert_eq!(evidence.verdict(2), VersionVerdict::Failing);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionEvidence {
    new: IndexMap<u32, AtUpstream>,
    old: IndexMap<u32, AtUpstream>,
}

impl VersionEvidence {
    /// Adds requests.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::{outcome_counts::{OutcomeKey, OutcomeClass}, verdict::VersionEvidence};
    /// let mut evidence = VersionEvidence::default();
    /// evidence.add(OutcomeKey { is_new: true, upstream: 1, route: 2, rotation: 0, outcome: OutcomeClass::Untimed }, 3);
    /// assert_eq!(evidence.at_new().requests, 3);
    /// ```
    pub fn add(&mut self, cell: OutcomeKey, count: u32) {
        let side = if cell.is_new {
            &mut self.new
        } else {
            &mut self.old
        };
        side.entry(cell.upstream).or_default().add(cell, count);
    }

    /// Requests at the new version, and how many failed.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::verdict::VersionEvidence::default().at_new().bad, 0);
    /// ```
    #[must_use]
    pub fn at_new(&self) -> RequestCounts {
        all_of(&self.new)
    }

    /// Requests at those upstreams of the old version that are counted, and how many failed.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::verdict::VersionEvidence::default().at_old().bad, 0);
    /// ```
    #[must_use]
    pub fn at_old(&self) -> RequestCounts {
        all_of(&self.old)
    }

    /// Requests by route, at the new and at the old version.
    ///
    /// ```
    /// assert!(sardinewood::direct::rollout::verdict::VersionEvidence::default().by_route().is_empty());
    /// ```
    #[must_use]
    pub fn by_route(&self) -> IndexMap<u32, (RequestCounts, RequestCounts)> {
        let mut routes: IndexMap<u32, (RequestCounts, RequestCounts)> = IndexMap::new();
        for (route, part) in self.new.values().flat_map(|at| &at.failures) {
            routes.entry(*route).or_default().0.add(*part);
        }
        for (route, part) in self.old.values().flat_map(|at| &at.failures) {
            routes.entry(*route).or_default().1.add(*part);
        }
        routes
    }

    /// What it says. `listed` upstreams of the new version take requests; while there are others
    /// than the one that fails, it alone proves nothing.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::verdict::{VersionEvidence, VersionVerdict};
    /// assert_eq!(VersionEvidence::default().verdict(3), VersionVerdict::Clean);
    /// ```
    #[must_use]
    pub fn verdict(&self, listed: usize) -> VersionVerdict {
        let failing = self.failing_ln(listed);
        let slow_part = self.slow_part_ln(listed);
        let slower = self.slower_ln();
        if failing >= BAD_RATIO_LN || self.fails_too_often() {
            VersionVerdict::Failing
        } else if slow_part >= BAD_RATIO_LN {
            VersionVerdict::PartlySlow
        } else if slower >= SLOWER_RATIO_LN || self.slow_anywhere_ln(listed) >= SLOW_ANYWHERE_LN {
            VersionVerdict::Slow
        } else if slower > 0.0 {
            VersionVerdict::SeemsSlow
        } else if failing.max(slow_part) >= DOUBT_RATIO_LN {
            VersionVerdict::Doubtful
        } else {
            VersionVerdict::Clean
        }
    }

    /// How much likelier the failures are if the version is bad, on all routes or on one of them.
    fn failing_ln(&self, listed: usize) -> f64 {
        let mut before: IndexMap<u32, RequestCounts> = IndexMap::new();
        let old = without_worst(&self.old, |at| at.failed().share());
        for (route, part) in old.iter().flat_map(|at| &at.failures) {
            before.entry(*route).or_default().add(*part);
        }
        let usual = |route: &u32| usual_share(before.get(route).copied().unwrap_or_default());
        let parts = |at: &AtUpstream, only: Option<u32>| -> Vec<(RequestCounts, f64)> {
            at.failures
                .iter()
                .filter(|(route, _)| only.is_none_or(|only| only == **route))
                .map(|(route, part)| (*part, usual(route)))
                .collect()
        };
        let at_old: Vec<_> = self.old.values().map(|at| parts(at, None)).collect();
        let faulty_part = faulty_part(&at_old, listed);
        let ratio = |only: Option<u32>| {
            let all: Vec<_> = self.new.values().map(|at| parts(at, only)).collect();
            ratio_ln(&all, faulty_part)
        };
        let mut routes: Vec<u32> = self.by_route().keys().copied().collect();
        routes.sort_unstable();
        let one_of = numbers::as_f64(routes.len().max(1) as u64).ln();
        let on_one = routes.into_iter().map(|route| ratio(Some(route)) - one_of);
        on_one.chain([ratio(None)]).fold(0.0, f64::max)
    }

    /// Whether so many requests have failed that no more may be waited for, whichever upstreams it
    /// was.
    fn fails_too_often(&self) -> bool {
        let (new, old) = (self.at_new(), self.at_old());
        new.bad >= MOST_FAILED && new.share() >= FAILED_FACTOR * old.share() + FAILED_BEYOND
    }

    /// How much likelier the long answers are if a part of them is slow by the version's fault.
    fn slow_part_ln(&self, listed: usize) -> f64 {
        let mut before = RequestCounts::default();
        for at in without_worst(&self.old, |at| at.long().share()) {
            before.add(at.long());
        }
        if before.requests == 0 {
            return 0.0;
        }
        let usual = usual_share(before);
        let all: Vec<_> = self
            .new
            .values()
            .map(|at| vec![(at.long(), usual)])
            .collect();
        let at_old: Vec<_> = self
            .old
            .values()
            .map(|at| vec![(at.long(), usual)])
            .collect();
        ratio_ln(&all, faulty_part(&at_old, listed))
    }

    /// How much likelier it is that answers are slow by the version's fault, wherever a few came from.
    /// An upstream that is slow itself is taken for a faulty one.
    fn slow_anywhere_ln(&self, listed: usize) -> f64 {
        let mut times = [0; STEPS as usize];
        for at in self.old.values() {
            for (all, count) in times.iter_mut().zip(at.times) {
                *all += count;
            }
        }
        let Some(quick) = quick_step(&times) else {
            return 0.0;
        };
        let from = quick + usize::from(LONG_STEPS);
        let long = |at: &AtUpstream| RequestCounts {
            requests: at.timed(),
            bad: at.times.iter().skip(from).sum(),
        };
        let mut before = RequestCounts::default();
        for at in self.old.values() {
            before.add(long(at));
        }
        let usual = usual_share(before);
        let parts = |side: &IndexMap<u32, AtUpstream>| -> Vec<_> {
            side.values().map(|at| vec![(long(at), usual)]).collect()
        };
        ratio_ln(&parts(&self.new), faulty_part(&parts(&self.old), listed))
    }

    /// How unlikely it is, as a logarithm, that only upstreams have been tried that are as slow by
    /// themselves; 0 if the fastest of the new version is not several times slower than the fast ones
    /// of the old one.
    fn slower_ln(&self) -> f64 {
        let octaves = |side: &IndexMap<u32, AtUpstream>| -> Vec<f64> {
            side.values().filter_map(AtUpstream::octaves).collect()
        };
        let (new, old) = (octaves(&self.new), octaves(&self.old));
        let at_best = new.iter().copied().fold(f64::INFINITY, f64::min);
        let mut ranked = old.clone();
        ranked.sort_by(f64::total_cmp);
        let Some(fast) = ranked.get(ranked.len() / FAST_PART) else {
            return 0.0;
        };
        if new.is_empty() || at_best - fast < SLOWER_OCTAVES {
            return 0.0;
        }
        let as_slow = old
            .iter()
            .filter(|octaves| **octaves + AS_SLOW_OCTAVES >= at_best);
        let as_slow = numbers::as_f64(as_slow.count() as u64) + 0.5;
        let part = as_slow / (numbers::as_f64(old.len() as u64) + 1.0);
        -numbers::as_f64(new.len() as u64) * part.ln()
    }
}

/// The step by which three tenths of the answers have come.
fn quick_step(times: &[u32; STEPS as usize]) -> Option<usize> {
    let all: u32 = times.iter().sum();
    let mut seen = 0;
    let step = times.iter().position(|count| {
        seen += count;
        seen * 10 >= all * 3
    });
    step.filter(|_| all >= RANKED_AT_LEAST)
}

fn all_of(side: &IndexMap<u32, AtUpstream>) -> RequestCounts {
    let mut all = RequestCounts::default();
    for at in side.values() {
        all.add(at.failed());
    }
    all
}

/// The upstreams of the old version without the worst third.
fn without_worst(
    side: &IndexMap<u32, AtUpstream>,
    bad: impl Fn(&AtUpstream) -> f64,
) -> Vec<&AtUpstream> {
    let mut all: Vec<&AtUpstream> = side.values().collect();
    all.sort_by(|one, other| bad(other).total_cmp(&bad(one)));
    all.split_off(side.len() / 3)
}

/// The part that is usually spoiled, at least a little.
fn usual_share(old: RequestCounts) -> f64 {
    let requests = f64::from(old.requests) + PRIOR_REQUESTS;
    let share = (f64::from(old.bad) + PRIOR_FAILED) / requests;
    // It is known only so well.
    (share + (share * (1.0 - share) / requests).sqrt()).clamp(0.01, 0.9)
}

/// How much likelier the requests at all upstreams are, as a logarithm, if the version spoils a part
/// of them. Each upstream's come with the part that is usually spoiled.
fn ratio_ln(upstreams: &[Vec<(RequestCounts, f64)>], faulty_part: f64) -> f64 {
    let of_all = |bad: f64| -> f64 {
        let ratios = upstreams.iter().map(|parts| {
            let good_ln = likelihood_ln(parts, 0.0);
            let bad_ln = likelihood_ln(parts, bad);
            let faulty = FAULTY_FAILED.map(|failed| likelihood_ln(parts, failed));
            let most = faulty.into_iter().fold(good_ln.max(bad_ln), f64::max);
            let faulty: f64 = faulty.map(|ln| (ln - most).exp()).into_iter().sum();
            let faulty = faulty_part * faulty / numbers::as_f64(FAULTY_FAILED.len() as u64);
            let of = |ln: f64| (1.0 - faulty_part) * (ln - most).exp() + faulty;
            // Neither becomes 0, however unlikely it is.
            of(bad_ln).max(f64::MIN_POSITIVE).ln() - of(good_ln).max(f64::MIN_POSITIVE).ln()
        });
        ratios.sum()
    };
    SPOILED_PARTS.map(of_all).into_iter().fold(0.0, f64::max)
}

/// The odds that an upstream fails by itself, from those of the old version. While there is only one
/// upstream of the new version, its faults are the version's.
fn faulty_part(old: &[Vec<(RequestCounts, f64)>], listed: usize) -> f64 {
    if listed <= 1 {
        return 0.0;
    }
    let is_faulty = |parts: &&Vec<(RequestCounts, f64)>| {
        let good_ln = likelihood_ln(parts, 0.0);
        let ratios = FAULTY_FAILED.map(|failed| likelihood_ln(parts, failed) - good_ln);
        ratios.into_iter().fold(f64::NEG_INFINITY, f64::max) >= FAULTY_RATIO_LN
    };
    let faulty = numbers::as_f64(old.iter().filter(is_faulty).count() as u64);
    let seen = numbers::as_f64(old.len() as u64);
    (faulty + FAULTY_PART * FAULTY_PRIOR) / (seen + FAULTY_PRIOR)
}

/// How likely the requests at one upstream are, as a logarithm, if so large a part of those is
/// spoiled that usually are not.
fn likelihood_ln(parts: &[(RequestCounts, f64)], beyond: f64) -> f64 {
    let of = |(part, usual): &(RequestCounts, f64)| {
        let bad = usual + (1.0 - usual) * beyond;
        let whole = f64::from(part.requests - part.bad);
        f64::from(part.bad) * bad.ln() + whole * (1.0 - bad).ln()
    };
    parts.iter().map(of).sum()
}
