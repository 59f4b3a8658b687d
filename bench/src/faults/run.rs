//! The subcommand: many runs, one JSON line.

use indexmap::IndexMap;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use serde::Serialize;

use super::checker::Verdict;
use super::plan::FaultKind;
use super::plan::Plan;
use super::plan::Size;
use super::world::World;

/// The text of `--help`.
const HELP: &str = "Usage: sardinewood-bench faults [OPTIONS]

  --seed N          seed of the first run (1)
  --seeds K         how many runs, with the seeds N, N+1, … (1)
  --requests R      requests of each run (500)
  --without-claims  claim no names and keep no orders; shows what they cost, and prevent
  --trace           print what callers and upstreams saw, to standard error
  --fault-gap-ms G  pause between two faults, on average; 0 for none (700)
";

/// What the command line asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Options {
    seed: u64,
    seeds: u64,
    size: Size,
    trace: bool,
}

/// The figures of all runs together.
#[derive(Debug, Serialize)]
struct Figures {
    experiment: &'static str,
    seed: u64,
    seeds: u64,
    #[serde(flatten)]
    verdict: Verdict,
    violations: u64,
    /// The share of requests whose caller heard "outcome unknown".
    unknown_share: f64,
    /// Calls to the store for each request, without faults the cost of claims and orders.
    store_calls_per_request: f64,
    /// The time from a request to its start, on average.
    mean_start_ms: f64,
    faults: IndexMap<FaultKind, u64>,
    /// Seeds of runs in which a promise was broken.
    violating_seeds: Vec<u64>,
}

/// Runs the subcommand.
///
/// # Errors
///
/// The arguments are not understood, or a promise was broken.
pub fn run(parser: Parser) -> eyre::Result<()> {
    let Some(options) = parse(parser)? else {
        print!("{HELP}");
        return Ok(());
    };
    let figures = measure(options);
    println!("{}", serde_json::to_string(&figures)?);
    eyre::ensure!(figures.violations == 0, "a promise was broken");
    Ok(())
}

fn parse(mut parser: Parser) -> eyre::Result<Option<Options>> {
    let mut options = Options {
        seed: 1,
        seeds: 1,
        size: Size::default(),
        trace: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("seeds") => options.seeds = parser.value()?.parse()?,
            Arg::Long("requests") => options.size.requests = parser.value()?.parse()?,
            Arg::Long("without-claims") => options.size.claims = false,
            Arg::Long("trace") => options.trace = true,
            Arg::Long("fault-gap-ms") => options.size.fault_gap_ms = parser.value()?.parse()?,
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

fn measure(options: Options) -> Figures {
    let mut verdict = Verdict::default();
    let mut faults = IndexMap::new();
    let mut violating_seeds = Vec::new();
    let mut store_calls = 0;
    let mut start_times_ms = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        let mut world = World::new(&Plan::draw(seed, options.size));
        let of_run = world.run();
        if options.trace {
            for (at_ms, seen) in world.record().seen() {
                eprintln!("{at_ms} {seen:?}");
            }
        }
        if of_run.violations() > 0 {
            violating_seeds.push(seed);
        }
        verdict.add(&of_run);
        store_calls += world.store_calls();
        start_times_ms.extend(world.record().start_times_ms());
        for (kind, count) in world.faults() {
            *faults.entry(*kind).or_default() += count;
        }
    }
    Figures {
        experiment: "faults",
        seed: options.seed,
        seeds: options.seeds,
        violations: verdict.violations(),
        unknown_share: ratio(verdict.unknown, verdict.requests),
        store_calls_per_request: ratio(store_calls, verdict.requests),
        mean_start_ms: ratio(start_times_ms.iter().sum(), start_times_ms.len() as u64),
        verdict,
        faults,
        violating_seeds,
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts far below the precision")]
    let ratio = part as f64 / whole.max(1) as f64;
    ratio
}
