//! Tests which engines requests with shared prompt prefixes go to.

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
/// Tokens of a prefix that takes 160 ms to read, of a typical hold time of 300 ms.
const LONG: u32 = 8_000;

fn engines(count: usize) -> Vec<Arc<Upstream>> {
    (0..count)
        .map(|number| upstream(&format!("i-{number}"), 5))
        .collect()
}

/// Returns the dispatcher of an entry that has measured a prefill speed of 50 tokens per
/// millisecond at every engine.
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

fn request(prefix: u64, tokens: u32) -> Job {
    Job {
        prompt_tokens: tokens + 1_000,
        objective_at_ms: 800,
        shared_prefix: Some(SharedPrefix {
            name: prefix,
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

/// Returns the engines whose admission queues are asked, in order.
fn asked(steps: &[SearchStep]) -> Vec<String> {
    steps
        .iter()
        .filter_map(|steps| match steps {
            SearchStep::RequestSlot { instance, .. } => Some(instance.to_string()),
            _ => None,
        })
        .collect()
}

fn first_asked(dispatcher: &Dispatcher, request: Job, seed: u64) -> String {
    let steps = SlotSearch::new(request).start(dispatcher, 0, draws(seed));
    asked(&steps).remove(0)
}

#[test]
fn entries_agree_on_preferred_engines_without_messages() {
    // Requests with the same document arrive at different entries, which have exchanged no messages
    // about it and list the engines in another order. All of them ask the same engine.
    let one = entry(&engines(ENGINES));
    let mut reversed = engines(ENGINES);
    reversed.reverse();
    let other = entry(&reversed);
    for prefix in 0..50 {
        let engine = first_asked(&one, request(prefix, LONG), prefix);
        assert_eq!(
            first_asked(&other, request(prefix, LONG), prefix + 99),
            engine
        );
    }
}

#[test]
fn prefixes_spread_over_engines() {
    let entry = entry(&engines(ENGINES));
    let mut counts = indexmap::IndexMap::<String, u32>::new();
    for prefix in 0..400 {
        *counts
            .entry(first_asked(&entry, request(prefix, LONG), prefix))
            .or_default() += 1;
    }
    assert_eq!(counts.len(), ENGINES);
    assert!(counts.values().all(|count| *count < 45), "{counts:?}");
}

#[test]
fn lost_engine_moves_only_its_prefixes() {
    // One engine of twenty restarts under its name with an empty cache. Requests whose documents it
    // had cached go to other engines; those of all other engines still go where their prefix is
    // cached.
    let all = engines(ENGINES);
    let before = entry(&all);
    let mut after = all;
    after[7] = upstream("i-7 anew", 5);
    let after = entry(&after);
    for prefix in 0..200 {
        let engine = first_asked(&before, request(prefix, LONG), 1);
        let now = first_asked(&after, request(prefix, LONG), 1);
        assert!(
            now == engine || engine == "i-7" || now == "i-7 anew",
            "{engine} {now}"
        );
    }
}

#[test]
fn busy_preferred_engine_waited_for_while_sooner() {
    // The preferred engine's admission queue expects a wait. Reading the prefix elsewhere takes 160
    // ms, so the request waits for a few times as long and asks no other queue; for a longer wait
    // it does.
    let entry = entry(&engines(ENGINES));
    for (wait_ms, others) in [(100, 0), (2_000, 1)] {
        let mut search = SlotSearch::new(request(7, LONG));
        let steps = search.start(&entry, 0, draws(1));
        let Some(SearchStep::RequestSlot { id, .. }) = steps.first() else {
            panic!("no queue is asked");
        };
        let steps = search.handle_queued(*id, wait_ms, &entry, 2, draws(2));
        assert_eq!(asked(&steps).len(), others, "{wait_ms}");
    }
}

#[test]
fn short_prefix_has_no_preferred_engine() {
    // All prompts start with the same 60 tokens, which take a millisecond to read. If engines that
    // have them cached were preferred, all requests would go to one engine.
    let entry = entry(&engines(ENGINES));
    let asked: std::collections::BTreeSet<String> = (0..100)
        .map(|seed| first_asked(&entry, request(7, 60), seed))
        .collect();
    assert!(asked.len() > 10, "{asked:?}");
}

#[test]
fn popular_prefix_has_more_preferred_engines() {
    // A tenth of all requests start with one document. With one preferred engine of twenty, that
    // engine would have twice the load of the others; the requests spread over as many engines as
    // they keep busy.
    let mut entry = entry(&engines(ENGINES));
    let mut popular = request(7, LONG);
    popular.shared_prefix.as_mut().expect("a prefix").share = 0.1;
    let mut chosen = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let engine = first_asked(&entry, popular.clone(), seed);
        entry.occupy_slot(&engine, 0);
        chosen.insert(engine);
    }
    assert!((3..=6).contains(&chosen.len()), "{chosen:?}");
}

#[test]
fn common_prefix_has_no_preferred_engine() {
    // Half of all requests start with the same long instructions, so every engine has them cached.
    let entry = entry(&engines(ENGINES));
    let mut common = request(7, LONG);
    common.shared_prefix.as_mut().expect("a prefix").share = 0.5;
    let asked: std::collections::BTreeSet<String> = (0..100)
        .map(|seed| first_asked(&entry, common.clone(), seed))
        .collect();
    assert!(asked.len() > 10, "{asked:?}");
}

#[test]
fn broken_preferred_engine_skipped() {
    // Connections to the preferred engine fail. Its requests go at once to other engines, which
    // read the prefix.
    let mut entry = entry(&engines(ENGINES));
    let engine = first_asked(&entry, request(7, LONG), 1);
    entry.occupy_slot(&engine, 0);
    entry.finished(&engine, 9, AttemptOutcome::Broken, 5, 0);
    assert_ne!(first_asked(&entry, request(7, LONG), 1), engine);
}

#[test]
fn slow_engine_is_not_preferred() {
    // A quarter of the engines are five times slower than the others. One of them would take longer
    // than callers wait to read a long prefix for the first time.
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
    for prefix in 0..200 {
        let engine = first_asked(&entry, request(prefix, LONG), 1);
        let number: u32 = engine[2..].parse().expect("a number");
        assert!(number >= 5, "{engine}");
    }
}
