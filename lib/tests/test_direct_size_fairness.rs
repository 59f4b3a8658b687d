//! Shares by size under overload, without a network.

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

fn kind() -> Arc<str> {
    "notes".into()
}

/// One request of a round: its size, and whether it is owed a start.
struct Waiting {
    size: f64,
    class: SizeClass,
    has_start_deficit: bool,
}

/// Rounds of requests, of which only so many begin, smallest first but for what is owed. How many
/// came and began, of all and of each class.
fn play(rounds: usize, come: usize, begin: usize) -> [(u32, u32); 3] {
    let mut random = StdRng::seed_from_u64(1);
    let mut shares = SizeStats::default();
    let mut floor = SizeFairness::default();
    let mut counts = [(0, 0); 3];
    for _ in 0..rounds {
        let mut waiting: Vec<Waiting> = (0..come)
            .map(|_| {
                let size: f64 = random.random();
                let class = shares.classify(&kind(), Some(size));
                let has_start_deficit = floor.has_deficit(&kind(), class);
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
        for (place, one) in waiting.into_iter().enumerate() {
            let count = &mut counts[one.class as usize];
            count.0 += 1;
            if place < begin {
                count.1 += 1;
                floor.record_start(&kind(), one.class);
            } else {
                floor.record_refusal(&kind(), one.class);
            }
        }
    }
    counts
}

#[test]
fn strict_order_by_size_no_size_below_half_of_its_kind() {
    // Ten callers come where two, five or nine can be served, and the smallest always go first, so
    // the largest tenth would never be served. Doors grant in such an order for as long as an
    // overload lasts.
    for begin in [2, 5, 9] {
        let counts = play(400, 10, begin);
        let come: u32 = counts.iter().map(|(come, _)| come).sum();
        let begun: u32 = counts.iter().map(|(_, begun)| begun).sum();
        let share = f64::from(begun) / f64::from(come);
        for (come, begun) in counts {
            let own = f64::from(begun) / f64::from(come);
            assert!(own >= share / 2.0, "{begin} of ten begin: {counts:?}");
        }
    }
}

#[test]
fn calm_seconds_save_nothing_up() {
    // All callers are served for a while, and then none of the largest is. The first of them that is
    // refused is already owed a start; what was served in the calm does not count against it.
    let mut floor = SizeFairness::default();
    for _ in 0..1_000 {
        floor.record_start(&kind(), SizeClass::Largest);
    }
    assert!(!floor.has_deficit(&kind(), SizeClass::Largest));
    floor.record_refusal(&kind(), SizeClass::Largest);
    assert!(floor.has_deficit(&kind(), SizeClass::Largest));
    assert!(!floor.has_deficit(&kind(), SizeClass::Large));
}

#[test]
fn cut_answer_is_owed_again() {
    // A long answer is cut at its deadline. Its caller has nothing, so its start does not count.
    let mut floor = SizeFairness::default();
    floor.record_refusal(&kind(), SizeClass::Largest);
    floor.record_start(&kind(), SizeClass::Largest);
    floor.record_start(&kind(), SizeClass::Largest);
    assert!(!floor.has_deficit(&kind(), SizeClass::Largest));
    floor.record_incomplete(&kind(), SizeClass::Largest);
    assert!(floor.has_deficit(&kind(), SizeClass::Largest));
}

#[test]
fn kinds_are_owed_apart() {
    let mut floor = SizeFairness::default();
    floor.record_refusal(&kind(), SizeClass::Largest);
    assert!(!floor.has_deficit("reports", SizeClass::Largest));
}

#[test]
fn owed_long_answer_goes_before_short_ones() {
    let long = Job {
        relative_size: 2.0,
        relative_hold: 3.0,
        ..job(1, 1)
    };
    let short = Job {
        relative_hold: 0.3,
        ..job(2, 1)
    };
    let owed = Job {
        has_start_deficit: true,
        ..long.clone()
    };
    assert!(long.worth_micros() < short.worth_micros());
    assert_eq!(owed.worth_micros(), short.worth_micros());
    assert!(owed.worth_micros() < job(3, 0).worth_micros());
}

#[test]
fn owed_long_prompt_not_late_before_its_objective() {
    // A long prompt takes longer to read than its objective leaves. It yields to all that can be in
    // time, unless its size is owed a start.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 2)]);
    dispatcher.learn("i-1", |health| health.first_event(1_000, 100.0));
    let long = Job {
        prompt_tokens: 10_000,
        ..job(1, 0)
    };
    let objective_in_ms = |job: Job| {
        let asking = SlotSearch::new(job);
        asking
            .slot_request(PeerRequestId(1), "i-1", &dispatcher, 0)
            .objective_in_ms
    };
    assert!(objective_in_ms(long.clone()) < 0);
    let owed = Job {
        has_start_deficit: true,
        ..long
    };
    assert!(objective_in_ms(owed) > 0);
}

#[test]
fn ranks_are_among_the_kinds_latest() {
    // Callers send documents ten times as long from one moment on. Soon they are the usual ones.
    let mut shares = SizeStats::default();
    for size in 0..200 {
        shares.classify(&kind(), Some(f64::from(size)));
    }
    assert_eq!(shares.classify(&kind(), Some(1_500.0)), SizeClass::Largest);
    for size in 0..200 {
        shares.classify(&kind(), Some(f64::from(size) * 10.0));
    }
    assert_eq!(shares.classify(&kind(), Some(1_000.0)), SizeClass::Usual);
    assert_eq!(shares.classify(&kind(), Some(1_500.0)), SizeClass::Large);
    assert_eq!(shares.classify(&kind(), Some(1_900.0)), SizeClass::Largest);
}

#[test]
fn first_sizes_are_not_ranked() {
    let mut shares = SizeStats::default();
    for size in 0..20 {
        assert_eq!(
            shares.classify(&kind(), Some(f64::from(size))),
            SizeClass::Usual
        );
    }
    assert_eq!(shares.classify(&kind(), Some(99.0)), SizeClass::Largest);
}

#[test]
fn only_kinds_with_unserved_requests_are_told_and_once() {
    let mut shares = SizeStats::default();
    shares.record_outcome(&"reports".into(), SizeClass::Usual, CallOutcome::InTime);
    shares.record_outcome(&kind(), SizeClass::Large, CallOutcome::Late);
    shares.record_outcome(&kind(), SizeClass::Largest, CallOutcome::Incomplete);
    let told = shares.take_routes_with_unserved();
    assert_eq!(told.len(), 1);
    let (name, ends) = &told[0];
    assert_eq!(*name, kind());
    assert_eq!((ends.large.late, ends.largest.not_whole), (1, 1));
    assert!(shares.take_routes_with_unserved().is_empty());
}
