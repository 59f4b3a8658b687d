//! `sardinewood-bench policy`: goodput and wasted prefill of each policy, in virtual time.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use serde::Serialize;

use crate::bound;
use crate::bound::Bound;
use crate::fleet::Fleet;
use crate::scenario;
use crate::scenario::Experiment;
use crate::simulation;
use crate::simulation::Outcome;
use crate::simulation::POLICIES;
use crate::simulation::PolicyKind;
use crate::tally::TierScore;
use crate::workload;

const HELP: &str = "\
Usage: sardinewood-bench policy [OPTIONS]

Runs policies through scenarios in virtual time and prints a JSON line for each policy and
tier, and for each scenario a line with an upper bound.

Options:
  --scenario NAME|FILE   only this scenario (may be repeated; default: all that ship)
  --policy NAME          only this policy (may be repeated; default: all)
  --seed N               only this seed (may be repeated; default: 1 to 5)
";

/// Seeds used where none is named.
const DEFAULT_SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// A name on the command line is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown policy {name:?}; known are {known}")]
pub struct UnknownPolicy {
    name: String,
    known: String,
}

/// What to run.
#[derive(Debug, Default)]
struct Options {
    scenarios: Vec<String>,
    policies: Vec<(&'static str, PolicyKind)>,
    seeds: Vec<u64>,
}

/// One policy on one experiment with one seed.
#[derive(Clone)]
struct Job {
    experiment: Arc<Experiment>,
    seed: u64,
    /// `None` computes the bound.
    policy: Option<(&'static str, PolicyKind)>,
}

/// What a job came to.
#[derive(Clone, Debug)]
pub enum Line {
    /// A policy's run.
    Run {
        /// The scenario.
        scenario: Arc<str>,
        /// The policy.
        policy: &'static str,
        /// The seed.
        seed: u64,
        /// Its outcome.
        outcome: Outcome,
    },
    /// What could be completed at most.
    Bound {
        /// The scenario.
        scenario: Arc<str>,
        /// The seed.
        seed: u64,
        /// Requests offered, by tier.
        offered: Vec<usize>,
        /// The bound.
        bound: Bound,
    },
}

#[derive(Serialize)]
struct TierLine<'a> {
    scenario: &'a str,
    policy: &'a str,
    seed: u64,
    #[serde(flatten)]
    score: &'a TierScore,
}

/// Runs the subcommand.
///
/// # Errors
///
/// The arguments or a scenario can't be used.
pub fn run(parser: Parser) -> eyre::Result<()> {
    let Some(options) = parse(parser)? else {
        print!("{HELP}");
        return Ok(());
    };
    let experiments = load(&options.scenarios)?;
    let jobs = jobs(&experiments, &options);
    let lines = run_all(&jobs);
    for line in &lines {
        print_line(line)?;
    }
    Ok(())
}

fn parse(mut parser: Parser) -> eyre::Result<Option<Options>> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("scenario") => options.scenarios.push(parser.value()?.string()?),
            Arg::Long("policy") => {
                let name = parser.value()?.string()?;
                options.policies.push(find_policy(&name)?);
            }
            Arg::Long("seed") => options.seeds.push(parser.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.policies.is_empty() {
        options.policies = POLICIES.to_vec();
    }
    if options.seeds.is_empty() {
        options.seeds = DEFAULT_SEEDS.to_vec();
    }
    Ok(Some(options))
}

fn find_policy(name: &str) -> Result<(&'static str, PolicyKind), UnknownPolicy> {
    let found = POLICIES.iter().find(|(known, _)| *known == name);
    found.copied().ok_or_else(|| UnknownPolicy {
        name: name.to_owned(),
        known: POLICIES
            .iter()
            .map(|(known, _)| *known)
            .collect::<Vec<_>>()
            .join(", "),
    })
}

/// Where the scenarios that ship are.
#[must_use]
pub fn scenario_directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn load(names: &[String]) -> eyre::Result<Vec<Arc<Experiment>>> {
    let directory = scenario_directory();
    let paths = if names.is_empty() {
        scenario::files(&directory)?
    } else {
        names
            .iter()
            .map(|name| match name.strip_suffix(".json") {
                Some(_) => PathBuf::from(name),
                None => directory.join(format!("{name}.json")),
            })
            .collect()
    };
    let mut experiments = Vec::new();
    for path in paths {
        experiments.push(Arc::new(scenario::load(&path)?));
    }
    Ok(experiments)
}

fn jobs(experiments: &[Arc<Experiment>], options: &Options) -> Vec<Job> {
    let mut jobs = Vec::new();
    for experiment in experiments {
        for &seed in &options.seeds {
            let policies = options.policies.iter().copied().map(Some);
            jobs.extend(policies.chain([None]).map(|policy| Job {
                experiment: Arc::clone(experiment),
                seed,
                policy,
            }));
        }
    }
    jobs
}

/// Runs all jobs on all cores; the lines come in the order of the jobs.
fn run_all(jobs: &[Job]) -> Vec<Line> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::with_capacity(jobs.len()));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads.min(jobs.len()) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else {
                        return;
                    };
                    let line = run_job(job);
                    if let Ok(mut done) = done.lock() {
                        done.push((index, line));
                    }
                }
            });
        }
    });
    let mut lines = done.into_inner().unwrap_or_default();
    lines.sort_by_key(|(index, _)| *index);
    lines.into_iter().map(|(_, line)| line).collect()
}

fn run_job(job: &Job) -> Line {
    let scenario = Arc::clone(&job.experiment.scenario.name);
    let seed = job.seed;
    if let Some((policy, kind)) = job.policy {
        return Line::Run {
            scenario,
            policy,
            seed,
            outcome: simulation::run(&job.experiment, kind, seed),
        };
    }
    let requests = workload::draw(&job.experiment, seed);
    let fleet = Fleet::new(&job.experiment, &requests);
    let weights = &job.experiment.deployment.tier_weights;
    Line::Bound {
        scenario,
        seed,
        offered: bound::offered_by_tier(&requests),
        bound: bound::bound(&fleet, &requests, weights),
    }
}

fn print_line(line: &Line) -> eyre::Result<()> {
    match line {
        Line::Run {
            scenario,
            policy,
            seed,
            outcome,
        } => {
            for score in &outcome.scores {
                let line = TierLine {
                    scenario,
                    policy,
                    seed: *seed,
                    score,
                };
                println!("{}", serde_json::to_string(&line)?);
            }
            let violations = serde_json::json!({
                "scenario": scenario, "policy": policy, "seed": seed,
                "violations": outcome.violations,
            });
            println!("{violations}");
        }
        Line::Bound {
            scenario,
            seed,
            offered,
            bound,
        } => {
            let line = serde_json::json!({
                "scenario": scenario, "bound": "relaxation", "seed": seed, "offered": offered,
                "completed_by_tier_alone": bound.by_tier, "tier_weighted": bound.weighted,
                "utilization": bound.utilization,
            });
            println!("{line}");
        }
    }
    Ok(())
}
