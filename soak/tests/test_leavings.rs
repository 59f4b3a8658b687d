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
    late_runs(&[departure], &disturbances, &runs, |_| Some(2)).len()
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
