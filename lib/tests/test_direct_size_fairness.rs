//! Fairness between request sizes under overload, without a network.

use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::job::Job;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::size_fairness::SizeFairness;
use sardinewood::direct::sharing::size_stats::CallOutcome;
use sardinewood::direct::sharing::size_stats::SizeClass;
use sardinewood::direct::sharing::size_stats::SizeStats;

use crate::direct_fixture::job;
use crate::direct_fixture::upstream;

fn route() -> Arc<str> {
    "notes".into()
}

/// One request of a round, its size, and whether that size has a start deficit.
struct Waiting {
    size: f64,
    class: SizeClass,
    has_start_deficit: bool,
}

/// Simulates rounds of requests of which only some start: those with a start deficit first, then
/// the smallest. Returns the numbers of arrivals and starts of each size class.
fn simulate_rounds(rounds: usize, arrivals: usize, capacity: usize) -> [(u32, u32); 3] {
    let mut random = StdRng::seed_from_u64(1);
    let mut stats = SizeStats::default();
    let mut fairness = SizeFairness::default();
    let mut counts = [(0, 0); 3];
    for _ in 0..rounds {
        let mut waiting: Vec<Waiting> = (0..arrivals)
            .map(|_| {
                let size: f64 = random.random();
                let class = stats.classify(&route(), Some(size));
                let has_start_deficit = fairness.has_deficit(&route(), class);
                Waiting {
                    size,
                    class,
                    has_start_deficit,
                }
            })
            .collect();
        waiting.sort_by(|one, other| {
            let by_size = one.size.total_cmp(&other.size);
            other
                .has_start_deficit
                .cmp(&one.has_start_deficit)
                .then(by_size)
        });
        for (position, one) in waiting.into_iter().enumerate() {
            let count = &mut counts[one.class as usize];
            count.0 += 1;
            if position < capacity {
                count.1 += 1;
                fairness.record_start(&route(), one.class);
            } else {
                fairness.record_refusal(&route(), one.class);
            }
        }
    }
    counts
}

#[test]
fn strict_order_by_size_no_size_below_half_of_its_route() {
    // Ten requests arrive where two, five or nine can be served, and the smallest always go first,
    // so the largest tenth would never be served. Admission queues grant slots in such an order for
    // as long as an overload lasts.
    for capacity in [2, 5, 9] {
        let counts = simulate_rounds(400, 10, capacity);
        let arrivals: u32 = counts.iter().map(|(arrivals, _)| arrivals).sum();
        let started: u32 = counts.iter().map(|(_, started)| started).sum();
        let route_start_rate = f64::from(started) / f64::from(arrivals);
        for (arrivals, started) in counts {
            let start_rate = f64::from(started) / f64::from(arrivals);
            assert!(
                start_rate >= route_start_rate / 2.0,
                "{capacity} of ten start: {counts:?}"
            );
        }
    }
}

#[test]
fn calm_seconds_save_nothing_up() {
    // All requests are served for a while, and then none of the largest. The first refusal of one
    // already causes a start deficit; requests served in calm times do not count against it.
    let mut fairness = SizeFairness::default();
    for _ in 0..1_000 {
        fairness.record_start(&route(), SizeClass::Largest);
    }
    assert!(!fairness.has_deficit(&route(), SizeClass::Largest));
    fairness.record_refusal(&route(), SizeClass::Largest);
    assert!(fairness.has_deficit(&route(), SizeClass::Largest));
    assert!(!fairness.has_deficit(&route(), SizeClass::Large));
}

#[test]
fn incomplete_answer_restores_the_deficit() {
    // A long answer is cut off at its deadline. Its caller has no complete answer, so the start
    // does not count.
    let mut fairness = SizeFairness::default();
    fairness.record_refusal(&route(), SizeClass::Largest);
    fairness.record_start(&route(), SizeClass::Largest);
    fairness.record_start(&route(), SizeClass::Largest);
    assert!(!fairness.has_deficit(&route(), SizeClass::Largest));
    fairness.record_incomplete(&route(), SizeClass::Largest);
    assert!(fairness.has_deficit(&route(), SizeClass::Largest));
}

#[test]
fn routes_have_separate_deficits() {
    let mut fairness = SizeFairness::default();
    fairness.record_refusal(&route(), SizeClass::Largest);
    assert!(!fairness.has_deficit("reports", SizeClass::Largest));
}

#[test]
fn long_answer_with_deficit_goes_before_short_ones() {
    let long = Job {
        relative_size: 2.0,
        relative_hold: 3.0,
        ..job(1, 1)
    };
    let short = Job {
        relative_hold: 0.3,
        ..job(2, 1)
    };
    let with_deficit = Job {
        has_start_deficit: true,
        ..long.clone()
    };
    assert!(long.worth_micros() < short.worth_micros());
    assert_eq!(with_deficit.worth_micros(), short.worth_micros());
    assert!(with_deficit.worth_micros() < job(3, 0).worth_micros());
}

#[test]
fn long_prompt_with_deficit_not_late_before_its_objective() {
    // A long prompt takes longer to process than its latency objective allows. It yields to all
    // requests that can meet their objective, unless its size has a start deficit.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 2)]);
    dispatcher.learn("i-1", |health| health.first_event(1_000, 100.0));
    let long = Job {
        prompt_tokens: 10_000,
        ..job(1, 0)
    };
    let objective_in_ms = |job: Job| {
        let search = SlotSearch::new(job);
        search
            .slot_request(PeerRequestId(1), "i-1", &dispatcher, 0)
            .objective_in_ms
    };
    assert!(objective_in_ms(long.clone()) < 0);
    let with_deficit = Job {
        has_start_deficit: true,
        ..long
    };
    assert!(objective_in_ms(with_deficit) > 0);
}

#[test]
fn sizes_are_classified_among_the_latest_of_the_route() {
    // Callers suddenly send documents that are ten times as long. Soon these are the usual ones.
    let mut stats = SizeStats::default();
    for size in 0..200 {
        stats.classify(&route(), Some(f64::from(size)));
    }
    assert_eq!(stats.classify(&route(), Some(1_500.0)), SizeClass::Largest);
    for size in 0..200 {
        stats.classify(&route(), Some(f64::from(size) * 10.0));
    }
    assert_eq!(stats.classify(&route(), Some(1_000.0)), SizeClass::Usual);
    assert_eq!(stats.classify(&route(), Some(1_500.0)), SizeClass::Large);
    assert_eq!(stats.classify(&route(), Some(1_900.0)), SizeClass::Largest);
}

#[test]
fn first_sizes_are_not_classified() {
    let mut stats = SizeStats::default();
    for size in 0..20 {
        assert_eq!(
            stats.classify(&route(), Some(f64::from(size))),
            SizeClass::Usual
        );
    }
    assert_eq!(stats.classify(&route(), Some(99.0)), SizeClass::Largest);
}

#[test]
fn only_routes_with_unserved_requests_are_taken_and_once() {
    let mut stats = SizeStats::default();
    stats.record_outcome(&"reports".into(), SizeClass::Usual, CallOutcome::InTime);
    stats.record_outcome(&route(), SizeClass::Large, CallOutcome::Late);
    stats.record_outcome(&route(), SizeClass::Largest, CallOutcome::Incomplete);
    let taken = stats.take_routes_with_unserved();
    assert_eq!(taken.len(), 1);
    let (name, outcomes) = &taken[0];
    assert_eq!(*name, route());
    assert_eq!((outcomes.large.late, outcomes.largest.not_whole), (1, 1));
    assert!(stats.take_routes_with_unserved().is_empty());
}
