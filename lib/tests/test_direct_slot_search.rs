//! Tests which admission queues a waiting request asks, without a network.

use std::sync::Arc;

use indexmap::IndexMap;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::placement::job::Job;
use sardinewood::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use sardinewood::direct::placement::slot_search::SearchStep;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::store_view::directory::Upstream;

use crate::direct_fixture::job;
use crate::direct_fixture::upstream;

fn engines(count: u32) -> Vec<Arc<Upstream>> {
    (0..count)
        .map(|number| upstream(&format!("i-{number}"), 2))
        .collect()
}

fn dispatcher(count: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&engines(count));
    dispatcher
}

/// Returns a source of different numbers, from 1 on.
fn numbers() -> impl FnMut() -> u64 {
    let mut number = 0;
    move || {
        number += 1;
        number
    }
}

fn slot_requests(steps: &[SearchStep]) -> Vec<(PeerRequestId, Arc<str>)> {
    steps
        .iter()
        .filter_map(|steps| match steps {
            SearchStep::RequestSlot { id, instance } => Some((*id, Arc::clone(instance))),
            _ => None,
        })
        .collect()
}

#[test]
fn full_queues_make_it_ask_three() {
    let dispatcher = dispatcher(8);
    let mut numbers = numbers();
    let mut search = SlotSearch::new(job(1, 0));
    let mut requests = slot_requests(&search.start(&dispatcher, 0, &mut numbers));
    for _ in 0..4 {
        let (last, _) = requests[requests.len() - 1];
        requests.extend(slot_requests(&search.handle_queued(
            last,
            5,
            &dispatcher,
            1,
            &mut numbers,
        )));
    }
    assert_eq!(requests.len(), 3);
    let engines: std::collections::BTreeSet<_> =
        requests.iter().map(|(_, engine)| engine).collect();
    assert_eq!(engines.len(), 3, "each asked once");
    assert_eq!(search.cancel_all().len(), 3, "all are cancelled");
    assert!(search.cancel_all().is_empty());
}

#[test]
fn too_long_everywhere_refused_at_once() {
    // All three admission queues expect a longer wait than the request allows. The request has to
    // be refused now, while its caller can still retry, and not when its time is over.
    let dispatcher = dispatcher(8);
    let mut numbers = numbers();
    let mut search = SlotSearch::new(job(1, 0));
    let mut steps = search.start(&dispatcher, 0, &mut numbers);
    let mut replies = 0;
    while let Some((id, _)) = slot_requests(&steps).first().cloned() {
        steps = search.handle_queued(id, 60_000, &dispatcher, 1, &mut numbers);
        replies += 1;
    }
    assert_eq!(replies, 3);
    assert_eq!(steps, [SearchStep::Refuse]);
}

/// Lets each admission queue that a request asks reply that it is queued. Returns the engines that
/// it asks.
fn asked_while_queued(dispatcher: &Dispatcher, job: Job) -> Vec<Arc<str>> {
    let mut numbers = numbers();
    let mut search = SlotSearch::new(job);
    let mut requests = slot_requests(&search.start(dispatcher, 0, &mut numbers));
    for position in 0..20 {
        let Some((id, _)) = requests.get(position).cloned() else {
            break;
        };
        let steps = search.handle_queued(id, 5, dispatcher, 1, &mut numbers);
        requests.extend(slot_requests(&steps));
    }
    let engines = requests.into_iter().map(|(_, engine)| engine);
    engines.collect()
}

fn with_start_deficit(tier: u8) -> Job {
    Job {
        has_start_deficit: true,
        ..job(1, tier)
    }
}

/// Guards against a size that is hardly ever started because its requests wait in few queues, each
/// of which higher tiers leave to it for short moments only.
#[test]
fn start_deficit_asks_more_queues() {
    let dispatcher = dispatcher(12);
    assert_eq!(asked_while_queued(&dispatcher, job(1, 1)).len(), 3);
    let mut asked = asked_while_queued(&dispatcher, with_start_deficit(1));
    assert_eq!(asked.len(), 9);
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 9, "each asked once");
}

/// Guards against large requests that hold the slots of slow engines for several times as long, and
/// against those that are cut there at their deadlines.
#[test]
fn start_deficit_asks_no_slow_engine_in_addition() {
    let mut dispatcher = dispatcher(12);
    for number in 0..12 {
        let slowness = if number < 6 { 1.0 } else { 4.0 };
        dispatcher.learn(&format!("i-{number}"), |health| {
            health.first_event(1_000, 20.0 * slowness);
            health.next_event(10.0 * slowness, 0);
        });
    }
    let asked = asked_while_queued(&dispatcher, with_start_deficit(1));
    let is_slow = |engine: &&Arc<str>| engine[2..].parse::<u32>().is_ok_and(|number| number >= 6);
    assert!(asked.len() > 3, "{asked:?}");
    assert_eq!(asked.iter().skip(3).find(is_slow), None, "{asked:?}");
    let short_of_time = Job {
        deadline_at_ms: 200,
        ..with_start_deficit(1)
    };
    assert_eq!(asked_while_queued(&dispatcher, short_of_time).len(), 3);
}

/// Guards against a request that asks nine lost owners, one after the other, before it starts.
#[test]
fn start_deficit_silent_queues_skipped_as_soon() {
    let dispatcher = dispatcher(12);
    let mut numbers = numbers();
    let mut search = SlotSearch::new(with_start_deficit(1));
    search.start(&dispatcher, 0, &mut numbers);
    let steps = (1..=3).map(|tick| {
        let now_ms = tick * REPLY_TIMEOUT_MS;
        search.handle_timeout(&dispatcher, now_ms, &mut numbers)
    });
    assert!(matches!(
        steps.last().as_deref(),
        Some([SearchStep::StartWithoutGrant { .. }, ..])
    ));
}

/// Guards against requests of a size that is owed starts but leaves before its turn, and against a
/// change for any other request.
#[test]
fn start_deficit_waits_longer() {
    let wait_ms = |job: Job| job.waits_until_ms();
    assert_eq!(wait_ms(with_start_deficit(0)), wait_ms(job(1, 0)));
    assert!(wait_ms(with_start_deficit(1)) > wait_ms(job(1, 1)));
    assert!(wait_ms(with_start_deficit(2)) > wait_ms(job(1, 2)));
    assert_eq!(wait_ms(with_start_deficit(2)), 1_518);
}

#[test]
fn silent_queues_skipped_then_engine_called() {
    // The entries that own the admission queues have ended, and no entry has noticed yet.
    let dispatcher = dispatcher(8);
    let mut numbers = numbers();
    let mut search = SlotSearch::new(job(1, 0));
    let mut requests = slot_requests(&search.start(&dispatcher, 0, &mut numbers)).len();
    let mut now_ms = 0;
    let without_grant = loop {
        now_ms += REPLY_TIMEOUT_MS;
        assert!(now_ms < 1_000, "it waits forever");
        let steps = search.handle_timeout(&dispatcher, now_ms, &mut numbers);
        requests += slot_requests(&steps).len();
        if let Some(SearchStep::StartWithoutGrant { instance }) = steps.last() {
            break Arc::clone(instance);
        }
    };
    assert_eq!(requests, 3);
    assert!(dispatcher.has_free_slot(&without_grant, now_ms));
    assert_eq!(now_ms, 3 * REPLY_TIMEOUT_MS);
}

#[test]
fn engine_that_leaves_is_asked_no_more() {
    let mut dispatcher = dispatcher(2);
    let mut numbers = numbers();
    let mut search = SlotSearch::new(job(1, 0));
    let first = slot_requests(&search.start(&dispatcher, 0, &mut numbers));
    let (_, engine) = first[0].clone();
    let remaining: Vec<Arc<Upstream>> = engines(2)
        .into_iter()
        .filter(|upstream| upstream.instance != engine)
        .collect();
    dispatcher.set_upstreams(&remaining);
    let steps = search.handle_timeout(&dispatcher, REPLY_TIMEOUT_MS, &mut numbers);
    assert!(
        matches!(&steps[0], SearchStep::CancelSlotRequest { instance, .. } if *instance == engine)
    );
    assert_eq!(slot_requests(&steps)[0].1, remaining[0].instance);
}

#[test]
fn queued_slot_request_resent_with_its_id() {
    // The admission queue may have moved to another entry, which does not know the slot request.
    let dispatcher = dispatcher(1);
    let mut numbers = numbers();
    let mut search = SlotSearch::new(job(1, 0));
    let first = slot_requests(&search.start(&dispatcher, 0, &mut numbers));
    search.handle_queued(first[0].0, 5, &dispatcher, 1, &mut numbers);
    let again: Vec<_> = (1..8)
        .flat_map(|tick| {
            let now_ms = tick * REPLY_TIMEOUT_MS;
            slot_requests(&search.handle_timeout(&dispatcher, now_ms, &mut numbers))
        })
        .collect();
    assert_eq!(again, first);
}

#[test]
fn all_backed_off_refused_at_once() {
    // Guards against callers that wait until their deadlines for upstreams that are all backing
    // off.
    let mut dispatcher = dispatcher(2);
    dispatcher.set_backoffs(&backoffs(&[("i-0", 4_000), ("i-1", 3_000)]));
    let mut search = SlotSearch::new(job(1, 0));
    let steps = search.start(&dispatcher, 100, numbers());
    assert_eq!(steps, [SearchStep::Refuse]);
    let backoff_ms = dispatcher.all_backed_off_for_ms(&search.job, 100);
    assert_eq!(backoff_ms, Some(2_900), "the first that ends");
    assert_eq!(dispatcher.all_backed_off_for_ms(&search.job, 3_000), None);
}

#[test]
fn backoff_begun_while_it_waits() {
    // Guards against a slot request that is granted, or waits, at an upstream that has asked for a
    // backoff.
    let mut dispatcher = dispatcher(1);
    let mut numbers = numbers();
    let mut search = SlotSearch::new(job(1, 0));
    let (id, instance) = slot_requests(&search.start(&dispatcher, 0, &mut numbers))[0].clone();
    dispatcher.set_backoffs(&backoffs(&[("i-0", 3_000)]));
    assert!(dispatcher.occupy_slot(&instance, 40).is_none(), "a grant");
    let steps = search.handle_timeout(&dispatcher, 40, &mut numbers);
    assert_eq!(
        steps,
        [
            SearchStep::CancelSlotRequest { id, instance },
            SearchStep::Refuse
        ]
    );
}

#[test]
fn backoff_of_one_upstream_others_asked() {
    let mut dispatcher = dispatcher(4);
    dispatcher.set_backoffs(&backoffs(&[("i-1", 3_000)]));
    for first in 1..200 {
        let mut number = first;
        let steps = SlotSearch::new(job(1, 0)).start(&dispatcher, 0, || {
            number += 1;
            number
        });
        let (_, instance) = &slot_requests(&steps)[0];
        assert_ne!(&**instance, "i-1");
    }
}

#[test]
fn limited_upstream_not_called_without_grant() {
    // Guards against entries that bypass an admission queue without replies and each use the whole
    // rate limit.
    let mut dispatcher = dispatcher(1);
    dispatcher.set_limited(&[upstream_hash("i-0")].into());
    let mut search = SlotSearch::new(job(1, 0));
    search.start(&dispatcher, 0, numbers());
    let steps = search.handle_timeout(&dispatcher, REPLY_TIMEOUT_MS, numbers());
    assert!(steps.is_empty(), "{steps:?}");
}

fn backoffs(upstreams: &[(&str, u64)]) -> IndexMap<u32, u64> {
    let backoffs = upstreams.iter();
    backoffs
        .map(|(instance, until_ms)| (upstream_hash(instance), *until_ms))
        .collect()
}
