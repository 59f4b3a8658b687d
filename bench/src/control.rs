//! `control`: what an entry of the direct mode spends on the other entries, by size of the fleet.

pub mod play;
pub mod plot;
pub mod profile;

use std::path::PathBuf;

use eyre::bail;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use self::play::Scene;
use self::play::starts;
use self::profile::FleetSize;
use crate::command::print_line;

const HELP: &str = "\
Usage: sardinewood-bench control [--entries N] [--seconds S] [--scene NAME] [--plot FILE]

Gives one entry the messages that a fleet of N entries before twice as many upstreams sends it, by
default 30, 100, 357, 714 and 1,000 entries, and prints one JSON line for each size and purpose:
messages, bytes and processor time a second. Then plays what all N entries tell each other of
liveness and changes in virtual time, and prints one JSON line for each size and scene. Scenes: calm,
loss (one datagram in twenty), half-killed, cut (one of five data centres), all-started (all start
within 0.3 s, and nobody has a list), rolling-restart (all are restarted in turn within a minute, while
the list changes; above 357 entries only if named); none plays none of them.
--plot also draws all of it, by the size of the fleet, as an SVG file.
";

/// Name of a scene that stands for none.
const NO_SCENE: &str = "none";
const SEED: u64 = 1;
/// Default sizes of the fleet.
const ENTRIES: [usize; 5] = [30, 100, 357, 714, 1_000];

/// Entries up to which a rolling restart is played unless it is asked for by name. It takes over
/// 100 s at twice as many.
const MAX_RESTARTED: usize = 357;

/// Measures what the arguments ask for.
///
/// # Errors
///
/// The arguments are not understood.
pub fn run(mut parser: Parser) -> eyre::Result<()> {
    let mut sizes = ENTRIES.to_vec();
    let mut seconds = 5;
    let mut scenes = Scene::ALL.to_vec();
    let mut plays_all_started = true;
    let mut plays_rolling_restart = true;
    let mut plot_file: Option<PathBuf> = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{HELP}");
                return Ok(());
            }
            Arg::Long("entries") => sizes = vec![parser.value()?.parse()?],
            Arg::Long("scene") => {
                let name = parser.value()?.string()?;
                scenes.retain(|(known, _)| *known == name);
                plays_all_started = name == starts::ALL_STARTED;
                plays_rolling_restart = name == starts::ROLLING_RESTART;
                let plays_starts = plays_all_started || plays_rolling_restart;
                let is_known = !scenes.is_empty() || plays_starts;
                if !is_known && name != NO_SCENE {
                    bail!("no scene is named {name:?}; `--help` lists them");
                }
            }
            Arg::Long("plot") => plot_file = Some(parser.value()?.into()),
            Arg::Long("seconds") => seconds = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    if sizes.iter().any(|entries| *entries < 2) || seconds == 0 {
        bail!("--entries is at least 2, and --seconds at least 1");
    }
    let mut costs = Vec::new();
    for entries in &sizes {
        for cost in profile::measure(FleetSize::of(*entries), seconds) {
            print_line(&cost)?;
            costs.push(cost);
        }
    }
    let mut reports = Vec::new();
    for entries in sizes {
        for scene in &scenes {
            let report = play::play(entries, *scene, SEED);
            print_line(&report)?;
            reports.push(report);
        }
        if plays_all_started {
            print_line(&starts::all_started(entries, SEED))?;
        }
        let is_named = scenes.is_empty();
        if plays_rolling_restart && (is_named || entries <= MAX_RESTARTED) {
            print_line(&starts::rolling_restart(entries, SEED))?;
        }
    }
    match plot_file {
        Some(file) => plot::draw(&plot::panels(&costs, &reports), &file),
        None => Ok(()),
    }
}
