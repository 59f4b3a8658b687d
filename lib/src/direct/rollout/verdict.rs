//! Judges whether a version is bad by comparing request outcomes at the new and the old version.
//!
//! Upstreams of one version differ in speed several times over, and a few fail through faults of
//! their own. A version is bad only if it is bad wherever it runs. The evidence from one upstream
//! is therefore limited by the odds that the upstream itself is faulty, and speed is compared
//! between the requests of each upstream, or between the fastest upstreams of both versions.

use indexmap::IndexMap;

use crate::direct::rollout::outcome_counts::OutcomeClass;
use crate::direct::rollout::outcome_counts::OutcomeKey;
use crate::direct::rollout::outcome_counts::STEPS_PER_OCTAVE;
use crate::direct::rollout::outcome_counts::TIME_STEPS;
use crate::numbers;

/// Log likelihood ratio at which the new version counts as bad. One good version in ten thousand
/// reaches it by chance at any one moment.
const BAD_LOG_RATIO: f64 = 9.5;
/// Log likelihood ratio at which the verdict waits for more evidence.
const DOUBTFUL_LOG_RATIO: f64 = 4.5;
/// Shares of requests that a bad version may turn bad, beyond those that are bad at the old
/// version.
const EXTRA_BAD_SHARES: [f64; 3] = [0.08, 0.25, 0.7];
/// Prior share of upstreams that are faulty themselves, and the weight of this prior in upstreams.
const FAULTY_PRIOR_SHARE: f64 = 0.01;
const FAULTY_PRIOR_UPSTREAMS: f64 = 12.0;
/// Log likelihood ratio from which an upstream of the old version counts as faulty.
const FAULTY_LOG_RATIO: f64 = 3.0;
/// Shares of its requests that a faulty upstream may fail.
const FAULTY_FAILED_SHARES: [f64; 4] = [0.15, 0.4, 0.8, 0.97];
/// Prior for the old version's share of bad requests: a number of requests and how many of them
/// were bad. With it, a few good requests prove nothing.
const PRIOR_REQUESTS: f64 = 30.0;
const PRIOR_BAD_REQUESTS: f64 = 0.6;
/// Failed requests after which the new version is rejected if its share of failures is at least
/// `FAILED_FACTOR` times that of the old version plus `FAILED_MARGIN`.
const MAX_FAILED_REQUESTS: u32 = 25;
const FAILED_FACTOR: f64 = 2.0;
const FAILED_MARGIN: f64 = 0.05;
/// Answers of one upstream needed for its mean time, and needed to tell its slower answers from its
/// faster ones.
const MIN_ANSWERS_FOR_MEAN: u32 = 4;
const MIN_ANSWERS_FOR_RANK: u32 = 8;
/// Steps above the fast step of an upstream from which an answer counts as slow: several times as
/// long.
const SLOW_STEPS: u8 = 4;
/// Divisor for the share of the old version's upstreams that count as fast, a quarter. The single
/// fastest of many upstreams may be so by chance.
const FAST_UPSTREAMS_DIVISOR: usize = 4;
/// Octaves by which the fastest upstream of the new version may be slower than those fast ones.
const MAX_SLOWDOWN_OCTAVES: f64 = 1.2;
/// Log likelihood ratio at which the pooled answers of all upstreams are too slow. Whatever delays
/// this host slows all answers of one moment, so four upstreams have to agree, each at its own
/// time.
const POOLED_SLOW_LOG_RATIO: f64 = 16.0;
/// Octaves within which an upstream of the old version counts as equally slow, and the log odds
/// against having tried only such upstreams at which the new version is slow.
const EQUALLY_SLOW_OCTAVES: f64 = 0.3;
const SLOWER_LOG_ODDS: f64 = 5.0;

/// What the evidence says about the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionVerdict {
    /// Nothing speaks against the new version.
    Clean,
    /// There is some evidence against it, which may be chance.
    Doubtful,
    /// All requests are slow so far, but perhaps only slow upstreams have been tried.
    SeemsSlow,
    /// Requests fail at it.
    Failing,
    /// A part of its requests takes several times as long as usual.
    PartlySlow,
    /// All of its requests take several times as long as usual.
    Slow,
}

impl VersionVerdict {
    /// Returns whether the version has to be rejected.
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

    /// Returns the name used in logs and on operators' pages.
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

/// A number of requests, and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All requests.
    pub requests: u32,
    /// Requests that failed or took too long.
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

/// The outcomes of requests at one upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamOutcomes {
    /// Requests and failures by the hash of the route's name.
    failures_by_route: IndexMap<u32, RequestCounts>,
    /// Answers by time step.
    answers_by_step: [u32; TIME_STEPS as usize],
}

impl UpstreamOutcomes {
    fn add(&mut self, key: OutcomeKey, count: u32) {
        let failed = key.outcome == OutcomeClass::Failed;
        self.failures_by_route
            .entry(key.route)
            .or_default()
            .add(RequestCounts {
                requests: count,
                bad: if failed { count } else { 0 },
            });
        if let OutcomeClass::Took(step) = key.outcome
            && let Some(answers_by_step) = self.answers_by_step.get_mut(usize::from(step))
        {
            *answers_by_step += count;
        }
    }

    fn failed(&self) -> RequestCounts {
        let mut all = RequestCounts::default();
        for counts in self.failures_by_route.values() {
            all.add(*counts);
        }
        all
    }

    fn timed_answers(&self) -> u32 {
        self.answers_by_step.iter().sum()
    }

    /// Returns the answers that took several times as long as the faster ones of this upstream.
    fn slow_answers(&self) -> RequestCounts {
        let timed_answers = self.timed_answers();
        if timed_answers < MIN_ANSWERS_FOR_RANK {
            return RequestCounts::default();
        }
        let fast_step_index = fast_step(&self.answers_by_step).unwrap_or_default();
        let from = fast_step_index + usize::from(SLOW_STEPS);
        RequestCounts {
            requests: timed_answers,
            bad: self.answers_by_step.iter().skip(from).sum(),
        }
    }

    /// Returns the mean answer time in octaves if there are enough answers.
    fn mean_octaves(&self) -> Option<f64> {
        let timed_answers = self.timed_answers();
        let steps = (0..TIME_STEPS).zip(self.answers_by_step);
        let sum: f64 = steps
            .map(|(step, count)| f64::from(step) * f64::from(count))
            .sum();
        (timed_answers >= MIN_ANSWERS_FOR_MEAN)
            .then(|| sum / f64::from(timed_answers) / STEPS_PER_OCTAVE)
    }
}

/// The evidence for and against the new version.
///
/// ```
/// use sardinewood::direct::rollout::outcome_counts::{OutcomeKey, OutcomeClass};
/// use sardinewood::direct::rollout::verdict::{VersionEvidence, VersionVerdict};
///
/// let key = |upstream, outcome| OutcomeKey { is_new: true, upstream, route: 1, rotation: 0, outcome };
/// let mut evidence = VersionEvidence::default();
/// for upstream in [1, 2, 3] {
///     evidence.add(key(upstream, OutcomeClass::Failed), 6);
/// }
/// assert_eq!(evidence.verdict(2), VersionVerdict::Failing);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionEvidence {
    new: IndexMap<u32, UpstreamOutcomes>,
    old: IndexMap<u32, UpstreamOutcomes>,
}

impl VersionEvidence {
    /// Adds a count of requests.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::{outcome_counts::{OutcomeKey, OutcomeClass}, verdict::VersionEvidence};
    /// let mut evidence = VersionEvidence::default();
    /// evidence.add(OutcomeKey { is_new: true, upstream: 1, route: 2, rotation: 0, outcome: OutcomeClass::Untimed }, 3);
    /// assert_eq!(evidence.at_new().requests, 3);
    /// ```
    pub fn add(&mut self, key: OutcomeKey, count: u32) {
        let side = if key.is_new {
            &mut self.new
        } else {
            &mut self.old
        };
        side.entry(key.upstream).or_default().add(key, count);
    }

    /// Returns the requests at the new version, and how many of them failed.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::verdict::VersionEvidence::default().at_new().bad, 0);
    /// ```
    #[must_use]
    pub fn at_new(&self) -> RequestCounts {
        total(&self.new)
    }

    /// Returns the requests at the sampled upstreams of the old version, and how many of them
    /// failed.
    ///
    /// ```
    /// assert_eq!(sardinewood::direct::rollout::verdict::VersionEvidence::default().at_old().bad, 0);
    /// ```
    #[must_use]
    pub fn at_old(&self) -> RequestCounts {
        total(&self.old)
    }

    /// Returns the requests by route, at the new and at the old version.
    ///
    /// ```
    /// assert!(sardinewood::direct::rollout::verdict::VersionEvidence::default().by_route().is_empty());
    /// ```
    #[must_use]
    pub fn by_route(&self) -> IndexMap<u32, (RequestCounts, RequestCounts)> {
        let mut routes: IndexMap<u32, (RequestCounts, RequestCounts)> = IndexMap::new();
        for (route, counts) in self
            .new
            .values()
            .flat_map(|outcomes| &outcomes.failures_by_route)
        {
            routes.entry(*route).or_default().0.add(*counts);
        }
        for (route, counts) in self
            .old
            .values()
            .flat_map(|outcomes| &outcomes.failures_by_route)
        {
            routes.entry(*route).or_default().1.add(*counts);
        }
        routes
    }

    /// Returns the verdict on the evidence.
    ///
    /// `new_upstreams` is the number of upstreams of the new version that take requests. If there
    /// are several, failures at only one of them prove nothing about the version.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::verdict::{VersionEvidence, VersionVerdict};
    /// assert_eq!(VersionEvidence::default().verdict(3), VersionVerdict::Clean);
    /// ```
    #[must_use]
    pub fn verdict(&self, new_upstreams: usize) -> VersionVerdict {
        let failing = self.failing_log_ratio(new_upstreams);
        let partly_slow = self.partly_slow_log_ratio(new_upstreams);
        let slower = self.slower_log_odds();
        if failing >= BAD_LOG_RATIO || self.fails_too_often() {
            VersionVerdict::Failing
        } else if partly_slow >= BAD_LOG_RATIO {
            VersionVerdict::PartlySlow
        } else if slower >= SLOWER_LOG_ODDS
            || self.pooled_slow_log_ratio(new_upstreams) >= POOLED_SLOW_LOG_RATIO
        {
            VersionVerdict::Slow
        } else if slower > 0.0 {
            VersionVerdict::SeemsSlow
        } else if failing.max(partly_slow) >= DOUBTFUL_LOG_RATIO {
            VersionVerdict::Doubtful
        } else {
            VersionVerdict::Clean
        }
    }

    /// Returns the log likelihood ratio of the failures between a bad and a good version, on all
    /// routes or on one of them, whichever is higher.
    fn failing_log_ratio(&self, new_upstreams: usize) -> f64 {
        let mut old_counts: IndexMap<u32, RequestCounts> = IndexMap::new();
        let old = without_worst_third(&self.old, |outcomes| outcomes.failed().share());
        for (route, counts) in old.iter().flat_map(|outcomes| &outcomes.failures_by_route) {
            old_counts.entry(*route).or_default().add(*counts);
        }
        let expected_share =
            |route: &u32| expected_bad_share(old_counts.get(route).copied().unwrap_or_default());
        let counts_at =
            |outcomes: &UpstreamOutcomes, only: Option<u32>| -> Vec<(RequestCounts, f64)> {
                outcomes
                    .failures_by_route
                    .iter()
                    .filter(|(route, _)| only.is_none_or(|only| only == **route))
                    .map(|(route, counts)| (*counts, expected_share(route)))
                    .collect()
            };
        let at_old: Vec<_> = self
            .old
            .values()
            .map(|outcomes| counts_at(outcomes, None))
            .collect();
        let faulty_share = faulty_share(&at_old, new_upstreams);
        let ratio = |only: Option<u32>| {
            let all: Vec<_> = self
                .new
                .values()
                .map(|outcomes| counts_at(outcomes, only))
                .collect();
            log_likelihood_ratio(&all, faulty_share)
        };
        let mut routes: Vec<u32> = self.by_route().keys().copied().collect();
        routes.sort_unstable();
        let route_choice_log = numbers::as_f64(routes.len().max(1) as u64).ln();
        let by_single_route = routes
            .into_iter()
            .map(|route| ratio(Some(route)) - route_choice_log);
        by_single_route.chain([ratio(None)]).fold(0.0, f64::max)
    }

    /// Returns whether so many requests have failed that the verdict can't wait, whichever
    /// upstreams they failed at.
    fn fails_too_often(&self) -> bool {
        let (new, old) = (self.at_new(), self.at_old());
        new.bad >= MAX_FAILED_REQUESTS && new.share() >= FAILED_FACTOR * old.share() + FAILED_MARGIN
    }

    /// Returns the log likelihood ratio of the slow answers between a version that makes a part of
    /// them slow and one that doesn't. Each upstream is compared with its own faster answers.
    fn partly_slow_log_ratio(&self, new_upstreams: usize) -> f64 {
        let mut old_counts = RequestCounts::default();
        for outcomes in without_worst_third(&self.old, |outcomes| outcomes.slow_answers().share()) {
            old_counts.add(outcomes.slow_answers());
        }
        if old_counts.requests == 0 {
            return 0.0;
        }
        let expected_share = expected_bad_share(old_counts);
        let all: Vec<_> = self
            .new
            .values()
            .map(|outcomes| vec![(outcomes.slow_answers(), expected_share)])
            .collect();
        let at_old: Vec<_> = self
            .old
            .values()
            .map(|outcomes| vec![(outcomes.slow_answers(), expected_share)])
            .collect();
        log_likelihood_ratio(&all, faulty_share(&at_old, new_upstreams))
    }

    /// Returns the log likelihood ratio of the slow answers as above, but compared with the fast
    /// answers of the whole old version, so that a few answers from each upstream suffice. An
    /// upstream that is slow itself counts as faulty.
    fn pooled_slow_log_ratio(&self, new_upstreams: usize) -> f64 {
        let mut answers_by_step = [0; TIME_STEPS as usize];
        for outcomes in self.old.values() {
            for (all, count) in answers_by_step.iter_mut().zip(outcomes.answers_by_step) {
                *all += count;
            }
        }
        let Some(fast_step_index) = fast_step(&answers_by_step) else {
            return 0.0;
        };
        let from = fast_step_index + usize::from(SLOW_STEPS);
        let slow_answers = |outcomes: &UpstreamOutcomes| RequestCounts {
            requests: outcomes.timed_answers(),
            bad: outcomes.answers_by_step.iter().skip(from).sum(),
        };
        let mut old_counts = RequestCounts::default();
        for outcomes in self.old.values() {
            old_counts.add(slow_answers(outcomes));
        }
        let expected_share = expected_bad_share(old_counts);
        let counts_at = |side: &IndexMap<u32, UpstreamOutcomes>| -> Vec<_> {
            side.values()
                .map(|outcomes| vec![(slow_answers(outcomes), expected_share)])
                .collect()
        };
        log_likelihood_ratio(
            &counts_at(&self.new),
            faulty_share(&counts_at(&self.old), new_upstreams),
        )
    }

    /// Returns the log odds against having tried only upstreams that are as slow by themselves.
    ///
    /// It is 0 unless the fastest upstream of the new version is several times slower than the fast
    /// ones of the old version.
    fn slower_log_odds(&self) -> f64 {
        let mean_octaves = |side: &IndexMap<u32, UpstreamOutcomes>| -> Vec<f64> {
            side.values()
                .filter_map(UpstreamOutcomes::mean_octaves)
                .collect()
        };
        let (new, old) = (mean_octaves(&self.new), mean_octaves(&self.old));
        let fastest_new = new.iter().copied().fold(f64::INFINITY, f64::min);
        let mut ranked = old.clone();
        ranked.sort_by(f64::total_cmp);
        let Some(fast) = ranked.get(ranked.len() / FAST_UPSTREAMS_DIVISOR) else {
            return 0.0;
        };
        if new.is_empty() || fastest_new - fast < MAX_SLOWDOWN_OCTAVES {
            return 0.0;
        }
        let equally_slow = old
            .iter()
            .filter(|mean_octaves| **mean_octaves + EQUALLY_SLOW_OCTAVES >= fastest_new);
        let equally_slow = numbers::as_f64(equally_slow.count() as u64) + 0.5;
        let share = equally_slow / (numbers::as_f64(old.len() as u64) + 1.0);
        -numbers::as_f64(new.len() as u64) * share.ln()
    }
}

/// Returns the time step by which three tenths of the answers have come, if there are enough.
fn fast_step(answers_by_step: &[u32; TIME_STEPS as usize]) -> Option<usize> {
    let all: u32 = answers_by_step.iter().sum();
    let mut seen = 0;
    let step = answers_by_step.iter().position(|count| {
        seen += count;
        seen * 10 >= all * 3
    });
    step.filter(|_| all >= MIN_ANSWERS_FOR_RANK)
}

/// Returns the requests at all upstreams of one version, and how many of them failed.
fn total(side: &IndexMap<u32, UpstreamOutcomes>) -> RequestCounts {
    let mut all = RequestCounts::default();
    for outcomes in side.values() {
        all.add(outcomes.failed());
    }
    all
}

/// Returns the upstreams of a version without the worst third.
fn without_worst_third(
    side: &IndexMap<u32, UpstreamOutcomes>,
    bad: impl Fn(&UpstreamOutcomes) -> f64,
) -> Vec<&UpstreamOutcomes> {
    let mut all: Vec<&UpstreamOutcomes> = side.values().collect();
    all.sort_by(|one, other| bad(other).total_cmp(&bad(one)));
    all.split_off(side.len() / 3)
}

/// Returns the share of requests that is expected to be bad at a good version, at least 0.01.
fn expected_bad_share(old: RequestCounts) -> f64 {
    let requests = f64::from(old.requests) + PRIOR_REQUESTS;
    let share = (f64::from(old.bad) + PRIOR_BAD_REQUESTS) / requests;
    // One standard error is added, since the share is only an estimate.
    (share + (share * (1.0 - share) / requests).sqrt()).clamp(0.01, 0.9)
}

/// Returns the log likelihood ratio of the requests at all upstreams between a version that turns
/// a share of them bad and a good one. Each count comes with the share that is expected to be bad.
fn log_likelihood_ratio(upstreams: &[Vec<(RequestCounts, f64)>], faulty_share: f64) -> f64 {
    let ratio_for = |bad: f64| -> f64 {
        let ratios = upstreams.iter().map(|counts_at| {
            let good_log = log_likelihood(counts_at, 0.0);
            let bad_log = log_likelihood(counts_at, bad);
            let faulty = FAULTY_FAILED_SHARES.map(|failed| log_likelihood(counts_at, failed));
            let highest = faulty.into_iter().fold(good_log.max(bad_log), f64::max);
            let faulty: f64 = faulty.map(|ln| (ln - highest).exp()).into_iter().sum();
            let faulty = faulty_share * faulty / numbers::as_f64(FAULTY_FAILED_SHARES.len() as u64);
            let of = |ln: f64| (1.0 - faulty_share) * (ln - highest).exp() + faulty;
            // Keeps both above 0, however unlikely they are.
            of(bad_log).max(f64::MIN_POSITIVE).ln() - of(good_log).max(f64::MIN_POSITIVE).ln()
        });
        ratios.sum()
    };
    EXTRA_BAD_SHARES
        .map(ratio_for)
        .into_iter()
        .fold(0.0, f64::max)
}

/// Returns the share of upstreams that are faulty themselves, estimated from the old version. While
/// the new version has only one upstream, its faults count as the version's.
fn faulty_share(old: &[Vec<(RequestCounts, f64)>], new_upstreams: usize) -> f64 {
    if new_upstreams <= 1 {
        return 0.0;
    }
    let is_faulty = |counts_at: &&Vec<(RequestCounts, f64)>| {
        let good_log = log_likelihood(counts_at, 0.0);
        let ratios =
            FAULTY_FAILED_SHARES.map(|failed| log_likelihood(counts_at, failed) - good_log);
        ratios.into_iter().fold(f64::NEG_INFINITY, f64::max) >= FAULTY_LOG_RATIO
    };
    let faulty = numbers::as_f64(old.iter().filter(is_faulty).count() as u64);
    let seen = numbers::as_f64(old.len() as u64);
    (faulty + FAULTY_PRIOR_SHARE * FAULTY_PRIOR_UPSTREAMS) / (seen + FAULTY_PRIOR_UPSTREAMS)
}

/// Returns the log likelihood of the requests at one upstream if the given share of those that
/// would otherwise be good is bad.
fn log_likelihood(counts_at: &[(RequestCounts, f64)], extra_share: f64) -> f64 {
    let of = |(counts, expected_share): &(RequestCounts, f64)| {
        let bad = expected_share + (1.0 - expected_share) * extra_share;
        let whole = f64::from(counts.requests - counts.bad);
        f64::from(counts.bad) * bad.ln() + whole * (1.0 - bad).ln()
    };
    counts_at.iter().map(of).sum()
}
