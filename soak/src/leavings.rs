//! Workers that leave while all goes on, and what reaches them later than it may.
//!
//! The bound holds for what an entry in touch sends: one that was not disturbed, nor the store, for some
//! time before. A link between entries that is cut whole disturbs neither. An entry whose way to the store
//! is cut is in touch from the moment at which that is open.

use std::time::Duration;
use std::time::Instant;

use platform_testkit::fault_proxy::Link;

use crate::plan::Fault;
use crate::record::Run;

/// Time within which an entry that is told to stop has ended, unless a request holds it.
pub const STOPPED_WITHIN: Duration = Duration::from_secs(4);

/// Time after a worker has left in which requests may still reach it.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after a disturbance until an entry is in touch again.
const CONTACT: Duration = Duration::from_secs(3);
/// Longer than any run.
const UNTIL_ENDED: Duration = Duration::from_secs(24 * 60 * 60);

/// What may be disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The entry of this number.
    Entry(usize),
    /// The way to the worker of this number.
    WayToWorker(usize),
    /// The way to the store of the entry of this number.
    WayToStore(usize),
    /// The store.
    Store,
}

/// What was disturbed, and when.
#[derive(Debug, Default)]
pub struct Disturbances {
    spans: Vec<(Part, Instant, Instant)>,
}

impl Disturbances {
    /// Records a disturbance that begins now and lasts for a time.
    pub fn record(&mut self, part: Part, lasting: Duration) {
        let now = Instant::now();
        self.spans.push((part, now, now + lasting));
    }

    /// Ends what disturbs a part.
    pub fn end(&mut self, part: Part) {
        let now = Instant::now();
        for (disturbed, _, to) in &mut self.spans {
            if *disturbed == part {
                *to = now.min(*to);
            }
        }
    }

    /// Whether the way of an entry to the store is cut at some moment from one to another.
    fn is_cut(&self, entry: usize, first: Instant, last: Instant) -> bool {
        let part = Part::WayToStore(entry);
        let mut spans = self.spans.iter();
        spans.any(|(disturbed, from, to)| *disturbed == part && *from <= last && first < *to)
    }

    /// The first moment from a leaving on at which some entry has its way to the store open and keeps it for
    /// as long as the bound. Nobody may know of the leaving before.
    fn known_from(&self, left: Instant, entries: usize) -> Instant {
        let is_open = |from: &Instant| {
            let mut entries = 0..entries;
            entries.any(|entry| !self.is_cut(entry, *from, *from + DRAIN))
        };
        let spans = self.spans.iter();
        let opened = spans.filter_map(|(part, _, to)| match part {
            Part::WayToStore(_) if *to > left => Some(*to),
            _ => None,
        });
        let first = opened.chain([left]).filter(is_open).min();
        first.unwrap_or(left)
    }

    /// Whether a part was disturbed within the contact time before a moment.
    fn is_near(&self, part: Part, at: Instant) -> bool {
        self.spans
            .iter()
            .any(|(disturbed, from, to)| *disturbed == part && *from <= at && at < *to + CONTACT)
    }
}

/// What a fault puts out of touch, and for how long. A link between entries that is cut whole, or slow, puts
/// nobody out of touch. A way to the store is cut until that is ended.
#[must_use]
pub fn disturbed_by(fault: Fault, entries: usize, workers: usize) -> Vec<(Part, Duration)> {
    match fault {
        Fault::Kill(whom, lasting)
        | Fault::Pause(whom, lasting)
        | Fault::WayToStore(whom, _, lasting) => vec![(Part::Entry(whom % entries), lasting)],
        Fault::Terminate(whom) => vec![(Part::Entry(whom % entries), STOPPED_WITHIN)],
        Fault::KillAll | Fault::PeerConnections(_, Link::Reset, _) => {
            let all = (0..entries).map(Part::Entry);
            all.map(|entry| (entry, Duration::ZERO)).collect()
        }
        Fault::Datagrams(whom, lost_percent, _, lasting)
            if lost_percent.iter().any(|lost| (1..100).contains(lost)) =>
        {
            vec![(Part::Entry(whom % entries), lasting)]
        }
        Fault::CutFromStore(whom, ..) => {
            vec![(Part::WayToStore(whom % entries), UNTIL_ENDED)]
        }
        Fault::WayToWorker(whom, _, lasting) => {
            vec![(Part::WayToWorker(whom % workers), lasting)]
        }
        Fault::Store(_, lasting) => vec![(Part::Store, lasting)],
        _ => Vec::new(),
    }
}

/// A worker that left.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Its number.
    pub worker: usize,
    /// Its name.
    pub name: String,
    /// When the store had recorded it.
    pub at: Instant,
}

/// The runs that reached workers later than they may, sent by so many entries. `entry_of` tells which one
/// sent a request, by its name.
#[must_use]
pub fn late_runs(
    departures: &[Departure],
    disturbances: &Disturbances,
    runs: &[Run],
    entries: usize,
    entry_of: impl Fn(&str) -> Option<usize>,
) -> Vec<String> {
    let mut late = Vec::new();
    for departure in departures {
        if disturbances.is_near(Part::Store, departure.at) {
            continue;
        }
        let last_allowed = disturbances.known_from(departure.at, entries) + DRAIN;
        for run in runs.iter().filter(|run| run.worker == departure.name) {
            let is_held_up = disturbances.is_near(Part::WayToWorker(departure.worker), run.at);
            let is_core_stable = !disturbances.is_near(Part::Store, run.at);
            let is_in_touch = entry_of(&run.id).is_some_and(|entry| {
                !disturbances.is_near(Part::Entry(entry), run.at)
                    && !disturbances.is_cut(entry, run.at, run.at)
            });
            if run.at > last_allowed && is_in_touch && is_core_stable && !is_held_up {
                late.push(format!(
                    "{} {} ms after {} left",
                    run.id,
                    (run.at - departure.at).as_millis(),
                    departure.name
                ));
            }
        }
    }
    late
}
