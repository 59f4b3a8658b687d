//! `sardinewood-soak`: runs of random faults, one a seed.

use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;
use lexopt::ValueExt;
use soak::checker;
use soak::plan;
use soak::world::Size;
use soak::world::World;

const USAGE: &str = "\
Usage: sardinewood-soak [--seed N] [--seeds COUNT] [--seconds S] [--entries E] [--workers W]
                        [--callers C]

Runs COUNT seeds from N on (default 1), each S seconds of faults (default 15) on E entries
(default 3) and W workers (default 4) with C callers at each entry (default 4). Ends with 1 if
a promise was broken.
";

struct Arguments {
    seed: u64,
    seeds: u64,
    seconds: u64,
    size: Size,
}

fn arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments {
        seed: 1,
        seeds: 1,
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
    let mut red = Vec::new();
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let steps = plan::draw(seed, Duration::from_secs(arguments.seconds));
        println!("seed {seed}: {} faults", steps.len());
        let world = World::start(arguments.size).await;
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
    println!("{} seeds, red: {red:?}", arguments.seeds);
    if red.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
