//! Workers that leave while all goes on, and what reaches them later than it may.
//!
//! The bound holds for what an entry in touch sends: one that was not disturbed, nor the store, for some
//! time before. A link between entries that is cut whole disturbs neither.

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

/// What may be disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The entry of this number.
    Entry(usize),
    /// The way to the worker of this number.
    WayToWorker(usize),
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

    /// Whether a part was disturbed within the contact time before a moment.
    fn is_near(&self, part: Part, at: Instant) -> bool {
        self.spans
            .iter()
            .any(|(disturbed, from, to)| *disturbed == part && *from <= at && at < *to + CONTACT)
    }
}

/// What a fault puts out of touch, and for how long. A link between entries that is cut whole, or slow, puts
/// nobody out of touch.
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

/// The runs that reached workers later than they may. `entry_of` tells which entry sent a request, by its
/// name.
#[must_use]
pub fn late_runs(
    departures: &[Departure],
    disturbances: &Disturbances,
    runs: &[Run],
    entry_of: impl Fn(&str) -> Option<usize>,
) -> Vec<String> {
    let mut late = Vec::new();
    for departure in departures {
        if disturbances.is_near(Part::Store, departure.at) {
            continue;
        }
        for run in runs.iter().filter(|run| run.worker == departure.name) {
            let is_held_up = disturbances.is_near(Part::WayToWorker(departure.worker), run.at);
            let is_core_stable = !disturbances.is_near(Part::Store, run.at);
            let is_in_touch = entry_of(&run.id)
                .is_some_and(|entry| !disturbances.is_near(Part::Entry(entry), run.at));
            if run.at > departure.at + DRAIN && is_in_touch && is_core_stable && !is_held_up {
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
