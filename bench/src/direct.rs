//! `direct`: what the direct mode earns under heavy load, in virtual time, with each mechanism
//! taken out in turn, against a bound.

pub mod engine;
pub mod fleet;
pub mod load;

use eyre::bail;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use sardinewood::numbers;
use serde::Serialize;

use self::fleet::DeadlyOutcome;
use self::fleet::End;
use self::fleet::Fleet;
use self::fleet::Need;
use self::fleet::Outcome;
use self::fleet::Setup;
use self::fleet::Variant;
use self::load::DISPUTES;
use self::load::KINDS;
use self::load::MIXES;
use self::load::Mix;
use self::load::Offered;
use self::load::Pattern;
use crate::command::print_line;

const HELP: &str = "\
Usage: sardinewood-bench direct [--entries N] [--engines N] [--load PART] [--seconds S]
                                [--seeds COUNT] [--lost PART] [--kills] [--pattern NAME]
                                [--variant NAME] [--mix NAME] [--deadly MS] [--deadly-part]
                                [--in-need NAME]

Plays entries of the direct mode in virtual time, by default 26 before 47 engines at 0.9 of
what these can do, 20 s, seeds 1 to 3, without losses, the mix disputes, all patterns and all
variants, and prints one JSON line for each pattern and variant. Mixes: disputes, reports, skewed-reports.
Patterns: steady, burst, burst-of-one-kind, one-entry, half-lost. Variants: shipped, without-doors,
without-order, without-sizes, without-returns, without-quarantine, without-notices, order-returns,
skip-late-starts, hard-load (both of these). With --deadly, one
caller sends a request that ends each engine that runs it every MS milliseconds; with --deadly-part,
many callers do, whose prompts share one part and nothing else does. With --in-need, every
third engine says something of itself in the middle third of the time: limit (it takes a request a
second), rest (it declines all and asks for 3 s), leaving (it ends after it, which the list does not
say).
";

/// What one pattern and variant gave, over all seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The mix's name.
    pub mix: &'static str,
    /// The pattern's name.
    pub pattern: &'static str,
    /// The variant's name.
    pub variant: &'static str,
    /// Requests sent.
    pub requests: usize,
    /// Worth earned, as a part of all that was offered.
    pub worth: f64,
    /// Worth earned, as a part of the bound.
    pub of_bound: f64,
    /// Worth earned by kind, as a part of what the kind offered.
    pub worth_by_kind: [f64; KINDS],
    /// The worst of: each kind's largest tenth, by how many of them were served.
    pub worst_size: f64,
    /// How often the largest tenth of a kind, or the fifth below it, was served, in relation to the
    /// whole kind: the lesser of the two, by kind.
    pub large_served_by_kind: [f64; KINDS],
    /// Part that was told "not run".
    pub refused: f64,
    /// Part whose time was up in the middle.
    pub cut: f64,
    /// The most that any engine had at a time.
    pub most_at_engine: usize,
    /// Engines that ended by a request, over all seeds.
    pub engines_ended: usize,
    /// Tries of it that reached engines more than three seconds after the third end, at the worst
    /// seed.
    pub deadly_tries_late: usize,
    /// Other requests that were refused as if they were deadly.
    pub wrongly_held: usize,
    /// How requests ended, by kind.
    pub ends_by_kind: [KindEnds; KINDS],
}

/// How the requests of a kind ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct KindEnds {
    /// Requests sent.
    pub requests: usize,
    /// Answered in time, counted from the first attempt.
    pub in_time: usize,
    /// Answered late.
    pub late: usize,
    /// Of these, those whose callers were refused once.
    pub late_returns: usize,
    /// Of these, those that were in time if counted from the second attempt.
    pub late_returns_in_time_again: usize,
    /// Of the late ones whose callers were not refused, those known to be late as they were started.
    pub late_starts: usize,
    /// Cut at their deadlines.
    pub cut: usize,
    /// Refused in the end.
    pub refused: usize,
    /// Refused once and told to return.
    pub told: usize,
    /// Of these, those that were served when they returned.
    pub served_on_return: usize,
}

impl KindEnds {
    fn count(&mut self, outcome: &Outcome, request: usize) {
        let ends = &outcome.ends[request];
        let is = |end: End| usize::from(ends.contains(&end));
        let told = usize::from(outcome.was_told[request]);
        let late = is(End::Late);
        self.requests += 1;
        self.in_time += is(End::InTime);
        self.late += late;
        self.late_returns += late * told;
        self.late_returns_in_time_again +=
            late * told * usize::from(outcome.last_attempt_in_time[request]);
        self.late_starts += late * (1 - told) * usize::from(outcome.was_late_at_start[request]);
        self.cut += is(End::Cut);
        self.refused += is(End::Refused);
        self.told += told;
        self.served_on_return += told * (late + is(End::InTime));
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    earned: f64,
    offered: f64,
    bound: f64,
}

/// What a request earned.
#[must_use]
pub fn earned(offered: &Offered, ends: &[End]) -> f64 {
    match ends {
        [End::InTime] => offered.worth(true),
        [End::Late] => offered.worth(false),
        _ => 0.0,
    }
}

/// Plays one pattern and variant with several seeds.
#[must_use]
pub fn report(setup: Setup, names: (&'static str, &'static str), seeds: u64) -> Report {
    let mut all = Sum::default();
    let mut kinds = [Sum::default(); KINDS];
    let mut ends_of = Vec::new();
    let mut most_at_engine = 0;
    let mut deadly = Vec::new();
    let mut ends_by_kind = [KindEnds::default(); KINDS];
    for seed in 1..=seeds {
        let fleet = Fleet::new(setup, seed);
        let offered = fleet.offered().to_vec();
        let outcome: Outcome = fleet.play();
        let capacity_ms = setup.capacity() * numbers::as_f64(setup.for_ms);
        all.bound += load::bound(&offered, capacity_ms);
        most_at_engine = most_at_engine.max(outcome.most_at_engine);
        for (request, offered) in offered.iter().enumerate() {
            ends_by_kind[offered.kind].count(&outcome, request);
        }
        deadly.push(outcome.deadly);
        for (offered, ends) in offered.into_iter().zip(outcome.ends) {
            let worth = earned(&offered, &ends);
            for sum in [&mut all, &mut kinds[offered.kind]] {
                sum.earned += worth;
                sum.offered += offered.worth(true);
            }
            ends_of.push((offered, ends));
        }
    }
    let part_of = |wanted: End| {
        part(
            ends_of
                .iter()
                .filter(|(_, ends)| ends.contains(&wanted))
                .count(),
            ends_of.len(),
        )
    };
    Report {
        mix: setup.mix.name,
        pattern: names.0,
        variant: names.1,
        requests: ends_of.len(),
        worth: all.earned / all.offered,
        of_bound: all.earned / all.bound,
        worth_by_kind: kinds.map(|sum| sum.earned / sum.offered),
        worst_size: worst_size(&ends_of),
        large_served_by_kind: std::array::from_fn(|kind| large_served(&of_kind(&ends_of, kind))),
        refused: part_of(End::Refused),
        cut: part_of(End::Cut),
        most_at_engine,
        engines_ended: deadly.iter().map(|one| one.ends_ms.len()).sum(),
        deadly_tries_late: late_tries(&deadly),
        wrongly_held: deadly.iter().map(|one| one.wrongly_held).sum(),
        ends_by_kind,
    }
}

/// Tries of a deadly request that reached engines when the fleet had to know better.
fn late_tries(all: &[DeadlyOutcome]) -> usize {
    const AGREED_WITHIN_MS: u64 = 3_000;
    let late = all.iter().map(|one| one.tries_after(AGREED_WITHIN_MS));
    late.max().unwrap_or_default()
}

type Ended = (Offered, Vec<End>);

/// The requests of a kind, the largest first.
fn of_kind(all: &[Ended], kind: usize) -> Vec<&Ended> {
    let mut of_kind: Vec<_> = all.iter().filter(|(one, _)| one.kind == kind).collect();
    of_kind.sort_by(|(left, _), (right, _)| right.relative_size().total_cmp(&left.relative_size()));
    of_kind
}

fn served(all: &[&Ended]) -> f64 {
    let is_served = |ends: &[End]| matches!(ends, [End::InTime | End::Late]);
    part(
        all.iter().filter(|(_, ends)| is_served(ends)).count(),
        all.len(),
    )
}

/// How often the largest tenth of a kind was served, for the kind where that is least.
fn worst_size(all: &[Ended]) -> f64 {
    (0..KINDS)
        .map(|kind| {
            let of_kind = of_kind(all, kind);
            served(&of_kind[..of_kind.len().div_ceil(10)])
        })
        .fold(1.0, f64::min)
}

fn large_served(of_kind: &[&Ended]) -> f64 {
    let tenth = of_kind.len().div_ceil(10);
    let (largest, rest) = of_kind.split_at(tenth);
    let large = &rest[..(2 * tenth).min(rest.len())];
    served(largest).min(served(large)) / served(of_kind)
}

fn part(count: usize, of: usize) -> f64 {
    numbers::as_f64(count as u64) / numbers::as_f64(of.max(1) as u64)
}

/// Reads the arguments, plays, and prints a line for each pattern and variant.
///
/// # Errors
///
/// The arguments are not understood.
pub fn run(mut parser: Parser) -> eyre::Result<()> {
    let mut setup = Setup {
        entries: 26,
        engines: 47,
        slots: 5,
        load: 0.9,
        mix: &DISPUTES,
        pattern: Pattern::Steady,
        for_ms: 20_000,
        lost_part: 0.0,
        has_kills: false,
        deadly_every_ms: None,
        has_deadly_part: false,
        need: None,
        variant: Variant::Shipped,
    };
    let mut seeds = 3;
    let mut patterns = Pattern::ALL.to_vec();
    let mut variants = Variant::ALL.to_vec();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("entries") => setup.entries = at_least_one(parser.value()?.parse()?)?,
            Arg::Long("engines") => setup.engines = at_least_one(parser.value()?.parse()?)?,
            Arg::Long("load") => setup.load = positive(parser.value()?.parse()?)?,
            Arg::Long("seconds") => setup.for_ms = parser.value()?.parse::<u64>()? * 1_000,
            Arg::Long("seeds") => seeds = parser.value()?.parse()?,
            Arg::Long("lost") => setup.lost_part = parser.value()?.parse()?,
            Arg::Long("kills") => setup.has_kills = true,
            Arg::Long("deadly") => {
                setup.deadly_every_ms = Some(above_zero(parser.value()?.parse()?)?);
            }
            Arg::Long("deadly-part") => setup.has_deadly_part = true,
            Arg::Long("in-need") => {
                let mut needs = Need::ALL.to_vec();
                only(&mut needs, &parser.value()?.string()?)?;
                setup.need = Some(needs[0].1);
            }
            Arg::Long("mix") => setup.mix = mix(&parser.value()?.string()?)?,
            Arg::Long("pattern") => only(&mut patterns, &parser.value()?.string()?)?,
            Arg::Long("variant") => only(&mut variants, &parser.value()?.string()?)?,
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    for (pattern_name, pattern) in &patterns {
        for (variant_name, variant) in &variants {
            let setup = Setup {
                pattern: *pattern,
                variant: *variant,
                ..setup
            };
            let report = report(setup, (*pattern_name, *variant_name), seeds);
            print_line(&report)?;
        }
    }
    Ok(())
}

fn mix(name: &str) -> eyre::Result<&'static Mix> {
    let mut known = MIXES.to_vec();
    only(&mut known, name)?;
    Ok(known[0].1)
}

fn only<T>(known: &mut Vec<(&'static str, T)>, wanted: &str) -> eyre::Result<()> {
    let names: Vec<&str> = known.iter().map(|(name, _)| *name).collect();
    if !names.contains(&wanted) {
        bail!("{wanted:?} is none of {}", names.join(", "));
    }
    known.retain(|(name, _)| *name == wanted);
    Ok(())
}

fn at_least_one(count: usize) -> eyre::Result<usize> {
    if count == 0 {
        bail!("a fleet needs at least one entry and one engine");
    }
    Ok(count)
}

fn above_zero(every_ms: u64) -> eyre::Result<u64> {
    if every_ms == 0 {
        bail!("--deadly has to be above 0");
    }
    Ok(every_ms)
}

fn positive(load: f64) -> eyre::Result<f64> {
    if !(load > 0.0 && load.is_finite()) {
        bail!("--load has to be above 0");
    }
    Ok(load)
}
