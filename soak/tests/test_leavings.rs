//! Which runs count as sent too late to a worker that has left.

use std::time::Duration;
use std::time::Instant;

use platform_testkit::fault_proxy::Link;
use soak::leavings::Departure;
use soak::leavings::Disturbances;
use soak::leavings::Part;
use soak::leavings::disturbed_by;
use soak::leavings::late_runs;
use soak::plan::Fault;
use soak::record::Run;

fn run_at(at: Instant) -> Run {
    Run {
        id: "7-try-1".into(),
        worker: "i-0".into(),
        at,
        customer: String::new(),
        target: String::new(),
        has_key: false,
        first_attempt: String::new(),
        after_event: 0,
        version: "v1",
    }
}

/// Returns how many of the runs so long after a leaving count, with these parts disturbed just before it.
fn counted(after_ms: &[u64], disturbed: &[Part]) -> usize {
    let mut disturbances = Disturbances::default();
    for part in disturbed {
        disturbances.record(*part, Duration::ZERO);
    }
    counted_beside(after_ms, &disturbances)
}

/// The same with ways to the store that are cut for so many milliseconds.
fn counted_with_cut_ways(after_ms: &[u64], cut: &[(usize, u64)]) -> usize {
    let mut disturbances = Disturbances::default();
    for (entry, lasting_ms) in cut {
        disturbances.record(Part::WayToStore(*entry), Duration::from_millis(*lasting_ms));
    }
    counted_beside(after_ms, &disturbances)
}

/// All runs are those of one of three entries.
fn counted_beside(after_ms: &[u64], disturbances: &Disturbances) -> usize {
    let at = Instant::now() + Duration::from_millis(10);
    let departure = Departure {
        worker: 0,
        name: "i-0".into(),
        at,
    };
    let runs: Vec<Run> = after_ms
        .iter()
        .map(|after_ms| run_at(at + Duration::from_millis(*after_ms)))
        .collect();
    late_runs(&[departure], disturbances, &runs, 3, |_| Some(2)).len()
}

#[test]
fn run_later_than_the_bound_counted() {
    assert_eq!(counted(&[100, 1_990, 2_010, 9_000], &[]), 2);
}

#[test]
fn run_of_an_entry_out_of_touch_not_counted() {
    assert_eq!(counted(&[2_010, 9_000], &[Part::Entry(2)]), 1);
    assert_eq!(counted(&[2_010], &[Part::Entry(1)]), 1);
    assert_eq!(counted(&[2_010], &[Part::WayToWorker(0)]), 0);
    assert_eq!(counted(&[2_010, 9_000], &[Part::Store]), 0, "not confirmed");
}

/// Guards against a check that passes over what an entry sends soon after its way has opened.
#[test]
fn run_counted_from_the_moment_at_which_the_way_is_open() {
    assert_eq!(counted_with_cut_ways(&[4_900, 5_010], &[(2, 5_000)]), 1);
    assert_eq!(counted_with_cut_ways(&[1_900, 2_010], &[(2, 1_000)]), 1);
    let mut ended = Disturbances::default();
    ended.record(Part::WayToStore(2), Duration::from_secs(5));
    ended.end(Part::WayToStore(2));
    assert_eq!(counted_beside(&[2_010], &ended), 1);
}

/// Guards against a check that asks entries for what nobody could know.
#[test]
fn run_after_a_cut_of_all_ways_counted_from_the_first_that_stays_open() {
    let all = [(0, 3_000), (1, 5_000), (2, 4_000)];
    assert_eq!(counted_with_cut_ways(&[4_500, 4_900, 5_010], &all), 1);
    let others = [(0, 8_000), (1, 8_000)];
    assert_eq!(counted_with_cut_ways(&[1_900, 2_010], &others), 1);
}

#[test]
fn whole_cut_between_entries_disturbs_nobody() {
    let lasting = Duration::from_secs(1);
    let datagrams = |lost| Fault::Datagrams(9, lost, Duration::ZERO, lasting);
    assert_eq!(disturbed_by(datagrams([100, 0]), 4, 5), []);
    let lossy = disturbed_by(datagrams([0, 30]), 4, 5);
    assert_eq!(lossy, [(Part::Entry(1), lasting)]);
    let reset = Fault::PeerConnections(0, Link::Reset, lasting);
    assert_eq!(disturbed_by(reset, 4, 5).len(), 4);
}

#[test]
fn cut_from_the_store_disturbs_the_way_alone() {
    let cut = Fault::CutFromStore(9, Link::Silent, Duration::from_secs(1));
    let disturbed: Vec<Part> = disturbed_by(cut, 4, 5)
        .into_iter()
        .map(|(part, _)| part)
        .collect();
    assert_eq!(disturbed, [Part::WayToStore(1)]);
}
