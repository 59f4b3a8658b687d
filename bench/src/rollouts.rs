//! `rollouts`: orders to move a service to another version, in virtual time: good and bad versions,
//! windows, loads, fleets, and entries that are killed.

mod play;

use eyre::bail;
use indexmap::IndexMap;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use serde::Serialize;

use self::play::Flaw;
use self::play::Play;
use self::play::Setup;
use self::play::When;
use crate::command::print_line;

const HELP: &str = "\
Usage: sardinewood-bench rollouts [--seeds COUNT] [--version NAME] [--window S] [--rate N]
                                  [--entries N] [--kills PART] [--all-killed]

Plays orders in virtual time and prints one JSON line for each version, window, load and fleet; what
is not named is played in several sizes. Versions: good, fails, fails-little, fails-later,
fails-loaded, fails-on-one-route, slow, slow-part, slow-later. --kills: so large a part of the
entries is killed and starts again within the window; --all-killed: all of them, at one moment.
";

/// The versions that are played.
const VERSIONS: [(&str, Option<Flaw>); 9] = [
    ("good", None),
    ("fails", Some(Flaw::fails(0.4, When::AtOnce))),
    ("fails-little", Some(Flaw::fails(0.1, When::AtOnce))),
    ("fails-later", Some(Flaw::fails(0.4, When::Later))),
    ("fails-loaded", Some(Flaw::fails(0.5, When::Loaded))),
    ("fails-on-one-route", Some(Flaw::fails(0.6, When::OneRoute))),
    ("slow", Some(Flaw::slow(1.0, 4.0, When::AtOnce))),
    ("slow-part", Some(Flaw::slow(0.4, 6.0, When::AtOnce))),
    ("slow-later", Some(Flaw::slow(0.6, 6.0, When::Later))),
];

/// What one version came to, over all seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    version: &'static str,
    window_s: u64,
    requests_per_s: u64,
    entries: usize,
    plays: usize,
    /// Plays that ended as they should within the window.
    right: usize,
    /// Plays that ended as they should later.
    late: usize,
    /// Plays that ended otherwise, or not at all.
    wrong: usize,
    /// Bad versions that had more than they may, or had requests too long after their fiftieth bad
    /// answer.
    broken: usize,
    /// Requests at the new version before the end, as a part of what it may have: mean and most.
    exposure: f64,
    most_exposure: f64,
    /// Bad answers, the most of any play.
    most_bad_answers: usize,
    /// Requests of callers that the end of the old version cut, the most of any play.
    most_cut: usize,
    /// Requests that ran on at another upstream then, in the mean.
    moved: f64,
    /// Why plays ended otherwise than they should.
    wrong_reasons: IndexMap<&'static str, usize>,
}

#[derive(Clone, Debug)]
struct Options {
    seeds: u64,
    versions: Vec<(&'static str, Option<Flaw>)>,
    windows_s: Vec<u64>,
    rates: Vec<u64>,
    fleets: Vec<usize>,
    killed_part: f64,
    are_all_killed: bool,
}

/// Plays what the arguments ask for.
///
/// # Errors
///
/// The arguments are not understood.
pub fn run(mut parser: Parser) -> eyre::Result<()> {
    let mut options = Options {
        seeds: 10,
        versions: VERSIONS.to_vec(),
        windows_s: vec![8, 20, 60],
        rates: vec![20, 200, 850],
        fleets: vec![3, 27, 100],
        killed_part: 0.0,
        are_all_killed: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{HELP}");
                return Ok(());
            }
            Arg::Long("seeds") => options.seeds = parser.value()?.parse()?,
            Arg::Long("version") => {
                let name = parser.value()?.string()?;
                options.versions.retain(|(known, _)| *known == name);
                if options.versions.is_empty() {
                    bail!("no version is named {name:?}; `--help` lists them");
                }
            }
            Arg::Long("window") => options.windows_s = vec![parser.value()?.parse()?],
            Arg::Long("rate") => options.rates = vec![parser.value()?.parse()?],
            Arg::Long("entries") => options.fleets = vec![parser.value()?.parse()?],
            Arg::Long("kills") => options.killed_part = parser.value()?.parse()?,
            Arg::Long("all-killed") => options.are_all_killed = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if options.fleets.contains(&0) || options.rates.contains(&0) || options.windows_s.contains(&0) {
        bail!("--entries, --rate and --window are at least 1");
    }
    for (version, flaw) in &options.versions {
        for window_s in &options.windows_s {
            for rate in &options.rates {
                for entries in &options.fleets {
                    let setup = Setup {
                        entries: *entries,
                        requests_per_s: *rate,
                        window_s: *window_s,
                        flaw: *flaw,
                        killed_part: options.killed_part,
                        are_all_killed: options.are_all_killed,
                    };
                    print_line(&report(version, setup, options.seeds))?;
                }
            }
        }
    }
    Ok(())
}

fn report(version: &'static str, setup: Setup, seeds: u64) -> Report {
    let mut report = Report {
        version,
        window_s: setup.window_s,
        requests_per_s: setup.requests_per_s,
        entries: setup.entries,
        ..Report::default()
    };
    for seed in 1..=seeds {
        let ended = Play::new(setup, seed).run();
        report.plays += 1;
        let is_right = ended.is_completed == Some(setup.flaw.is_none());
        report.right += usize::from(is_right && ended.is_in_time);
        report.late += usize::from(is_right && !ended.is_in_time);
        report.wrong += usize::from(!is_right);
        if !is_right {
            *report.wrong_reasons.entry(ended.reason).or_default() += 1;
        }
        report.broken += usize::from(setup.flaw.is_some() && ended.is_broken());
        report.exposure += ended.exposure();
        report.most_exposure = report.most_exposure.max(ended.exposure());
        report.most_bad_answers = report.most_bad_answers.max(ended.bad_answers);
        report.most_cut = report.most_cut.max(ended.cut);
        report.moved += sardinewood::numbers::as_f64(ended.moved as u64);
    }
    let plays = sardinewood::numbers::as_f64(report.plays.max(1) as u64);
    report.exposure /= plays;
    report.moved /= plays;
    report
}
