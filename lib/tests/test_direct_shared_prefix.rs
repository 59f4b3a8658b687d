//! Where requests go whose prompts begin with the same parts.

use std::sync::Arc;

use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::health::AttemptOutcome;
use sardinewood::direct::placement::job::Job;
use sardinewood::direct::placement::shared_prefix::SharedPrefix;
use sardinewood::direct::placement::slot_search::SearchStep;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::store_view::directory::Upstream;

use crate::direct_fixture::job;
use crate::direct_fixture::upstream;

const ENGINES: usize = 20;
/// Tokens of a start that takes 160 ms to read, of a usual holding of 300 ms.
const LONG: u32 = 8_000;

fn engines(count: usize) -> Vec<Arc<Upstream>> {
    (0..count)
        .map(|number| upstream(&format!("i-{number}"), 5))
        .collect()
}

/// An entry that has seen every engine read 50 tokens in a millisecond.
fn entry(engines: &[Arc<Upstream>]) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(engines);
    for engine in engines {
        dispatcher.learn(&engine.instance, |health| {
            health.next_event(12.0, 0);
            health.first_event(1_000, 20.0);
        });
        dispatcher.occupy_slot(&engine.instance, 0);
        dispatcher.finished(&engine.instance, 0, AttemptOutcome::Answered, 300, 0);
    }
    dispatcher
}

fn request(start: u64, tokens: u32) -> Job {
    Job {
        prompt_tokens: tokens + 1_000,
        objective_at_ms: 800,
        shared_prefix: Some(SharedPrefix {
            name: start,
            tokens,
            share: 0.0,
        }),
        ..job(1, 0)
    }
}

fn draws(mut seed: u64) -> impl FnMut() -> u64 {
    move || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        seed >> 33
    }
}

/// The engines that a request asks at once, in order.
fn asked(next: &[SearchStep]) -> Vec<String> {
    next.iter()
        .filter_map(|next| match next {
            SearchStep::RequestSlot { instance, .. } => Some(instance.to_string()),
            _ => None,
        })
        .collect()
}

fn first_asked(dispatcher: &Dispatcher, request: Job, seed: u64) -> String {
    let next = SlotSearch::new(request).start(dispatcher, 0, draws(seed));
    asked(&next).remove(0)
}

#[test]
fn entries_agree_on_homes_without_a_word() {
    // Callers with the same document come to different entries, which have told each other
    // nothing of it and know the engines in another order. All of them ask the same engine.
    let one = entry(&engines(ENGINES));
    let mut reversed = engines(ENGINES);
    reversed.reverse();
    let other = entry(&reversed);
    for start in 0..50 {
        let home = first_asked(&one, request(start, LONG), start);
        assert_eq!(first_asked(&other, request(start, LONG), start + 99), home);
    }
}

#[test]
fn starts_spread_over_engines() {
    let entry = entry(&engines(ENGINES));
    let mut counts = indexmap::IndexMap::<String, u32>::new();
    for start in 0..400 {
        *counts
            .entry(first_asked(&entry, request(start, LONG), start))
            .or_default() += 1;
    }
    assert_eq!(counts.len(), ENGINES);
    assert!(counts.values().all(|count| *count < 45), "{counts:?}");
}

#[test]
fn lost_home_moves_its_starts_only() {
    // One engine of twenty starts again under its name, and keeps nothing. Callers whose documents
    // it kept go to others; those of all other engines find what they had.
    let all = engines(ENGINES);
    let before = entry(&all);
    let mut after = all;
    after[7] = upstream("i-7 anew", 5);
    let after = entry(&after);
    for start in 0..200 {
        let home = first_asked(&before, request(start, LONG), 1);
        let now = first_asked(&after, request(start, LONG), 1);
        assert!(
            now == home || home == "i-7" || now == "i-7 anew",
            "{home} {now}"
        );
    }
}

#[test]
fn busy_home_waited_for_while_that_is_sooner() {
    // The home's door expects a wait. To read the start elsewhere takes 160 ms of an engine, so the
    // request waits for some times as long and asks nobody else; for longer it does not.
    let entry = entry(&engines(ENGINES));
    for (wait_ms, others) in [(100, 0), (2_000, 1)] {
        let mut asking = SlotSearch::new(request(7, LONG));
        let next = asking.start(&entry, 0, draws(1));
        let Some(SearchStep::RequestSlot { id, .. }) = next.first() else {
            panic!("nobody is asked");
        };
        let next = asking.handle_queued(*id, wait_ms, &entry, 2, draws(2));
        assert_eq!(asked(&next).len(), others, "{wait_ms}");
    }
}

#[test]
fn short_start_binds_nothing() {
    // All prompts begin with the same 60 tokens. Reading them takes a millisecond; if their home
    // were preferred, one engine would be asked by everybody.
    let entry = entry(&engines(ENGINES));
    let asked: std::collections::BTreeSet<String> = (0..100)
        .map(|seed| first_asked(&entry, request(7, 60), seed))
        .collect();
    assert!(asked.len() > 10, "{asked:?}");
}

#[test]
fn hot_start_has_more_homes() {
    // A tenth of all requests begin with one document. One engine of twenty would have twice the
    // load of the others; its requests spread over as many engines as they keep busy.
    let mut entry = entry(&engines(ENGINES));
    let mut hot = request(7, LONG);
    hot.shared_prefix.as_mut().expect("a start").share = 0.1;
    let mut homes = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let home = first_asked(&entry, hot.clone(), seed);
        entry.occupy_slot(&home, 0);
        homes.insert(home);
    }
    assert!((3..=6).contains(&homes.len()), "{homes:?}");
}

#[test]
fn start_that_everybody_has_binds_nothing() {
    // Half of all requests begin with the same long instructions, so every engine keeps them.
    let entry = entry(&engines(ENGINES));
    let mut common = request(7, LONG);
    common.shared_prefix.as_mut().expect("a start").share = 0.5;
    let asked: std::collections::BTreeSet<String> = (0..100)
        .map(|seed| first_asked(&entry, common.clone(), seed))
        .collect();
    assert!(asked.len() > 10, "{asked:?}");
}

#[test]
fn broken_home_passed_over() {
    // The home's connections break. Its callers are served at once by others, which read the start.
    let mut entry = entry(&engines(ENGINES));
    let home = first_asked(&entry, request(7, LONG), 1);
    entry.occupy_slot(&home, 0);
    entry.finished(&home, 9, AttemptOutcome::Broken, 5, 0);
    assert_ne!(first_asked(&entry, request(7, LONG), 1), home);
}

#[test]
fn slow_engine_is_no_home() {
    // A quarter of the engines are five times slower than the others. To read a long start for the
    // first time would take one of them longer than callers wait.
    let mut entry = entry(&engines(ENGINES));
    for _ in 0..50 {
        for number in 0..ENGINES {
            let times = if number < 5 { 5.0 } else { 1.0 };
            entry.learn(&format!("i-{number}"), |health| {
                health.next_event(12.0 * times, 0);
                health.first_event(1_000, 20.0 * times);
            });
        }
    }
    for start in 0..200 {
        let home = first_asked(&entry, request(start, LONG), 1);
        let number: u32 = home[2..].parse().expect("a number");
        assert!(number >= 5, "{home}");
    }
}
