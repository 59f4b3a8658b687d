//! Whether a version is bad, from what requests came to there and at the old version.
//!
//! Upstreams of one version differ in speed several times over, and a few of them fail by
//! themselves. A version is bad if it is so wherever it runs: the worst half of its upstreams says
//! nothing, and speed is compared between each upstream's requests, or between the fastest
//! upstreams of both versions.

use indexmap::IndexMap;

use crate::direct::rollout::tally::Cell;
use crate::direct::rollout::tally::Outcome;
use crate::direct::rollout::tally::STEPS;
use crate::direct::rollout::tally::STEPS_PER_OCTAVE;

/// Likelihood ratio, as a logarithm, at which the new version counts as bad: one good version in
/// ten thousand reaches it by chance.
const BAD_RATIO_LN: f64 = 9.2;
/// The same at which more evidence is waited for.
const DOUBT_RATIO_LN: f64 = 2.0;
/// Parts of all requests that a bad version may spoil beyond those that the old one does.
const SPOILED_PARTS: [f64; 3] = [0.08, 0.25, 0.7];
/// Requests that the old version's part of failures begins with, and how many of them failed, so
/// that a few good ones prove nothing.
const PRIOR_REQUESTS: f64 = 30.0;
const PRIOR_FAILED: f64 = 0.6;
/// Failures at the new version after which it goes, if it fails so much more often than the old one.
const MOST_FAILED: u32 = 25;
const FAILED_FACTOR: f64 = 2.0;
const FAILED_BEYOND: f64 = 0.05;
/// Requests at one upstream from which its usual time is known.
const TIMED_AT_LEAST: u32 = 8;
/// Steps beyond an upstream's own usual time from which a request took several times as long.
const LONG_STEPS: u8 = 4;
/// Upstreams of each version that have to be known to compare the fastest ones.
const COMPARED_UPSTREAMS: usize = 3;
/// Octaves by which the fastest upstream of the new version may be slower than that of the old.
const SLOWER_OCTAVES: f64 = 1.2;

/// What the evidence says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against the new version.
    Clean,
    /// Something does, and may be chance.
    Doubtful,
    /// Its requests fail.
    Failing,
    /// A part of its requests takes several times as long.
    PartlySlow,
    /// All of its requests do.
    Slow,
}

impl Verdict {
    /// Whether the version has to go.
    ///
    /// ```
    /// use sardinewood::direct::rollout::verdict::Verdict;
    ///
    /// assert!(Verdict::Slow.is_bad() && !Verdict::Doubtful.is_bad());
    /// ```
    #[must_use]
    pub fn is_bad(self) -> bool {
        matches!(self, Self::Failing | Self::PartlySlow | Self::Slow)
    }

    /// Its name in logs.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::verdict::Verdict::Clean.name(), "clean");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Clean => "clean",
            Self::Doubtful => "doubtful",
            Self::Failing => "requests fail",
            Self::PartlySlow => "a part of the requests is slow",
            Self::Slow => "all requests are slow",
        }
    }
}

/// Requests, and how many of them were spoiled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// All of them.
    pub requests: u32,
    /// Those that failed or took too long.
    pub spoiled: u32,
}

impl Part {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.spoiled += other.spoiled;
    }

    fn share(self) -> f64 {
        f64::from(self.spoiled) / f64::from(self.requests.max(1))
    }
}

#[derive(Clone, Debug, Default)]
struct AtUpstream {
    /// By route.
    failures: IndexMap<u32, Part>,
    /// Answers by step of time.
    times: [u32; STEPS as usize],
}

impl AtUpstream {
    fn add(&mut self, cell: Cell, count: u32) {
        let failed = cell.outcome == Outcome::Failed;
        self.failures.entry(cell.route).or_default().add(Part {
            requests: count,
            spoiled: if failed { count } else { 0 },
        });
        if let Outcome::Took(step) = cell.outcome
            && let Some(times) = self.times.get_mut(usize::from(step))
        {
            *times += count;
        }
    }

    fn failed(&self) -> Part {
        let mut all = Part::default();
        for part in self.failures.values() {
            all.add(*part);
        }
        all
    }

    fn timed(&self) -> u32 {
        self.times.iter().sum()
    }

    /// Answers that took several times as long as the quicker ones there.
    fn long(&self) -> Part {
        let timed = self.timed();
        if timed < TIMED_AT_LEAST {
            return Part::default();
        }
        let mut seen = 0;
        let usual = self.times.iter().position(|count| {
            seen += count;
            seen * 10 >= timed * 3
        });
        let from = usual.unwrap_or_default() + usize::from(LONG_STEPS);
        Part {
            requests: timed,
            spoiled: self.times.iter().skip(from).sum(),
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
/// use sardinewood::direct::rollout::tally::{Cell, Outcome};
/// use sardinewood::direct::rollout::verdict::{Evidence, Verdict};
///
/// let cell = |upstream, outcome| Cell { is_new: true, upstream, route: 1, turn: 0, outcome };
/// let mut evidence = Evidence::default();
/// for upstream in [1, 2] {
///     evidence.add(cell(upstream, Outcome::Failed), 6);
/// }
/// assert_eq!(evidence.verdict(2), Verdict::Failing);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    new: IndexMap<u32, AtUpstream>,
    old: IndexMap<u32, AtUpstream>,
}

impl Evidence {
    /// Adds requests.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::{tally::{Cell, Outcome}, verdict::Evidence};
    /// let mut evidence = Evidence::default();
    /// evidence.add(Cell { is_new: true, upstream: 1, route: 2, turn: 0, outcome: Outcome::Untimed }, 3);
    /// assert_eq!(evidence.at_new().requests, 3);
    /// ```
    pub fn add(&mut self, cell: Cell, count: u32) {
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
    /// assert_eq!(sardinewood::direct::rollout::verdict::Evidence::default().at_new().spoiled, 0);
    /// ```
    #[must_use]
    pub fn at_new(&self) -> Part {
        all_of(&self.new)
    }

    /// Requests at those upstreams of the old version that are counted, and how many failed.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::verdict::Evidence::default().at_old().spoiled, 0);
    /// ```
    #[must_use]
    pub fn at_old(&self) -> Part {
        all_of(&self.old)
    }

    /// Requests by route, at the new and at the old version.
    ///
    /// ```
    /// assert!(sardinewood::direct::rollout::verdict::Evidence::default().by_route().is_empty());
    /// ```
    #[must_use]
    pub fn by_route(&self) -> IndexMap<u32, (Part, Part)> {
        let mut routes: IndexMap<u32, (Part, Part)> = IndexMap::new();
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
    /// # use sardinewood::direct::rollout::verdict::{Evidence, Verdict};
    /// assert_eq!(Evidence::default().verdict(3), Verdict::Clean);
    /// ```
    #[must_use]
    pub fn verdict(&self, listed: usize) -> Verdict {
        let failing = self.failing_ln(listed);
        let slow_part = self.slow_part_ln(listed);
        if failing >= BAD_RATIO_LN || self.fails_too_often() {
            Verdict::Failing
        } else if slow_part >= BAD_RATIO_LN {
            Verdict::PartlySlow
        } else if self.is_slower(listed) {
            Verdict::Slow
        } else if failing.max(slow_part) >= DOUBT_RATIO_LN {
            Verdict::Doubtful
        } else {
            Verdict::Clean
        }
    }

    /// How much likelier the failures are if the version is bad, on all routes or on one of them.
    fn failing_ln(&self, listed: usize) -> f64 {
        let new = better_half(&self.new, listed, |at| at.failed().share());
        let old = without_worst(&self.old, |at| at.failed().share());
        let mut routes: IndexMap<u32, (Part, Part)> = IndexMap::new();
        for (route, part) in new.iter().flat_map(|at| &at.failures) {
            routes.entry(*route).or_default().0.add(*part);
        }
        for (route, part) in old.iter().flat_map(|at| &at.failures) {
            routes.entry(*route).or_default().1.add(*part);
        }
        let one_of = crate::numbers::as_f64(routes.len().max(1) as u64).ln();
        let per_route: Vec<[f64; 3]> = routes
            .values()
            .map(|(new, old)| SPOILED_PARTS.map(|spoiled| ratio_ln(*new, *old, spoiled)))
            .collect();
        let on_all = (0..SPOILED_PARTS.len()).map(|at| per_route.iter().map(|ln| ln[at]).sum());
        let on_one = per_route.iter().flatten().map(|ln| ln - one_of);
        on_all.chain(on_one).fold(0.0, f64::max)
    }

    /// Whether so many requests have failed that no more may be waited for, whichever upstreams it
    /// was.
    fn fails_too_often(&self) -> bool {
        let (new, old) = (self.at_new(), self.at_old());
        new.spoiled >= MOST_FAILED && new.share() >= FAILED_FACTOR * old.share() + FAILED_BEYOND
    }

    /// How much likelier the long answers are if a part of them is slow by the version's fault.
    fn slow_part_ln(&self, listed: usize) -> f64 {
        let new = better_half(&self.new, listed, |at| at.long().share());
        let old = without_worst(&self.old, |at| at.long().share());
        let sum = |all: &[&AtUpstream]| {
            let mut part = Part::default();
            for at in all {
                part.add(at.long());
            }
            part
        };
        let (new, old) = (sum(&new), sum(&old));
        if old.requests == 0 {
            return 0.0;
        }
        let ratios = SPOILED_PARTS.map(|spoiled| ratio_ln(new, old, spoiled));
        ratios.into_iter().fold(0.0, f64::max)
    }

    /// Whether the fastest upstream of the new version is several times slower than that of the old.
    fn is_slower(&self, listed: usize) -> bool {
        let octaves = |side: &IndexMap<u32, AtUpstream>| -> Vec<f64> {
            side.values().filter_map(AtUpstream::octaves).collect()
        };
        let (new, old) = (octaves(&self.new), octaves(&self.old));
        let enough = |known: &[f64], there: usize| known.len() >= COMPARED_UPSTREAMS.min(there);
        if new.is_empty()
            || old.is_empty()
            || !enough(&new, listed)
            || !enough(&old, self.old.len())
        {
            return false;
        }
        let fastest = |all: &[f64]| all.iter().copied().fold(f64::INFINITY, f64::min);
        fastest(&new) - fastest(&old) >= SLOWER_OCTAVES
    }
}

fn all_of(side: &IndexMap<u32, AtUpstream>) -> Part {
    let mut all = Part::default();
    for at in side.values() {
        all.add(at.failed());
    }
    all
}

/// The upstreams without the worst half of those that have been tried, one at least: while only one
/// of several has been, there are none.
fn better_half(
    side: &IndexMap<u32, AtUpstream>,
    listed: usize,
    spoiled: impl Fn(&AtUpstream) -> f64,
) -> Vec<&AtUpstream> {
    let worst = if listed > 1 {
        (side.len() / 2).max(1)
    } else {
        0
    };
    without(side, worst.min(side.len()), spoiled)
}

/// The upstreams of the old version without the worst third.
fn without_worst(
    side: &IndexMap<u32, AtUpstream>,
    spoiled: impl Fn(&AtUpstream) -> f64,
) -> Vec<&AtUpstream> {
    without(side, side.len() / 3, spoiled)
}

fn without(
    side: &IndexMap<u32, AtUpstream>,
    worst: usize,
    spoiled: impl Fn(&AtUpstream) -> f64,
) -> Vec<&AtUpstream> {
    let mut all: Vec<&AtUpstream> = side.values().collect();
    all.sort_by(|one, other| spoiled(other).total_cmp(&spoiled(one)));
    all.split_off(worst)
}

/// How much likelier the new version's requests are, as a logarithm, if it spoils a part of them
/// beyond what the old one does.
fn ratio_ln(new: Part, old: Part, spoiled: f64) -> f64 {
    let before =
        (f64::from(old.spoiled) + PRIOR_FAILED) / (f64::from(old.requests) + PRIOR_REQUESTS);
    let before = before.clamp(0.01, 0.9);
    let after = before + (1.0 - before) * spoiled;
    let whole = f64::from(new.requests - new.spoiled);
    f64::from(new.spoiled) * (after / before).ln() + whole * ((1.0 - after) / (1.0 - before)).ln()
}
