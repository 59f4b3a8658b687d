//! `sardinewood-soak`: runs of random faults, one a seed.

use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;
use lexopt::ValueExt;
use soak::checker;
use soak::kept;
use soak::plan;
use soak::world::Size;
use soak::world::World;

const USAGE: &str = "\
Usage: sardinewood-soak [--seed N] [--seeds COUNT] [--seconds S] [--entries E] [--workers W]
                        [--callers C] [--kept]

Runs COUNT seeds from N on (default 1), each S seconds of faults (default 15) on E entries
(default 3) and W workers (default 4) with C callers at each entry (default 4). Ends with 1 if
a promise was broken. --kept plays the seeds that ever failed instead.
";

struct Arguments {
    seed: u64,
    seeds: u64,
    is_kept: bool,
    seconds: u64,
    size: Size,
}

fn arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments {
        seed: 1,
        seeds: 1,
        is_kept: false,
        seconds: 15,
        size: Size {
            entries: 3,
            workers: 4,
            callers: 4,
        },
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            Arg::Long("seed") => arguments.seed = parser.value()?.parse()?,
            Arg::Long("seeds") => arguments.seeds = parser.value()?.parse()?,
            Arg::Long("kept") => arguments.is_kept = true,
            Arg::Long("seconds") => arguments.seconds = parser.value()?.parse()?,
            Arg::Long("entries") => arguments.size.entries = parser.value()?.parse()?,
            Arg::Long("workers") => arguments.size.workers = parser.value()?.parse()?,
            Arg::Long("callers") => arguments.size.callers = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    if arguments.size.entries == 0 || arguments.size.workers < 2 {
        return Err("there must be an entry and two workers at least".into());
    }
    Ok(Some(arguments))
}

fn seeds(arguments: &Arguments) -> Result<Vec<u64>, String> {
    if arguments.is_kept {
        let kept = kept::kept()?;
        return Ok(kept.into_iter().map(|(seed, _)| seed).collect());
    }
    Ok((arguments.seed..arguments.seed + arguments.seeds).collect())
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("sardinewood-soak: {error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let seeds = match seeds(&arguments) {
        Ok(seeds) => seeds,
        Err(line) => {
            eprintln!("sardinewood-soak: a kept line has no seed: {line}");
            return ExitCode::FAILURE;
        }
    };
    let mut red = Vec::new();
    for seed in seeds.iter().copied() {
        let steps = plan::draw(seed, Duration::from_secs(arguments.seconds));
        println!("seed {seed}: {} faults", steps.len());
        let world = World::start(arguments.size, seed).await;
        let records = world.run(arguments.size, &steps).await;
        let broken = checker::check(&records);
        println!(
            "seed {seed}: {} requests, {} runs, {:?}",
            records.requests.len(),
            records.runs.len(),
            checker::tally(&records)
        );
        for broken in &broken {
            println!("seed {seed}: BROKEN {broken:?}");
        }
        if !broken.is_empty() {
            red.push(seed);
        }
    }
    println!("{} seeds, red: {red:?}", seeds.len());
    if red.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
