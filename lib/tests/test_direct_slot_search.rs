//! Which doors a waiting request asks, without a network.

use std::sync::Arc;

use indexmap::IndexMap;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::dispatch::upstream_hash;
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

/// Numbers that differ, from 1 on.
fn numbers() -> impl FnMut() -> u64 {
    let mut number = 0;
    move || {
        number += 1;
        number
    }
}

fn asked(next: &[SearchStep]) -> Vec<(PeerRequestId, Arc<str>)> {
    next.iter()
        .filter_map(|next| match next {
            SearchStep::RequestSlot { id, instance } => Some((*id, Arc::clone(instance))),
            _ => None,
        })
        .collect()
}

#[test]
fn full_doors_make_it_ask_three() {
    let dispatcher = dispatcher(8);
    let mut numbers = numbers();
    let mut asking = SlotSearch::new(job(1, 0));
    let mut asks = asked(&asking.start(&dispatcher, 0, &mut numbers));
    for _ in 0..4 {
        let (last, _) = asks[asks.len() - 1];
        asks.extend(asked(&asking.handle_queued(
            last,
            5,
            &dispatcher,
            1,
            &mut numbers,
        )));
    }
    assert_eq!(asks.len(), 3);
    let engines: std::collections::BTreeSet<_> = asks.iter().map(|(_, engine)| engine).collect();
    assert_eq!(engines.len(), 3, "each asked once");
    assert_eq!(asking.cancel_all().len(), 3, "all are taken back");
    assert!(asking.cancel_all().is_empty());
}

#[test]
fn too_long_everywhere_refused_at_once() {
    // All three doors expect the request to wait for longer than it may. Its caller is told
    // so now, while it can still come back, and not when its time is over.
    let dispatcher = dispatcher(8);
    let mut numbers = numbers();
    let mut asking = SlotSearch::new(job(1, 0));
    let mut next = asking.start(&dispatcher, 0, &mut numbers);
    let mut words = 0;
    while let Some((id, _)) = asked(&next).first().cloned() {
        next = asking.handle_queued(id, 60_000, &dispatcher, 1, &mut numbers);
        words += 1;
    }
    assert_eq!(words, 3);
    assert_eq!(next, [SearchStep::Refuse]);
}

#[test]
fn silent_doors_passed_over_and_then_the_engine_called() {
    // The entries that keep the doors are gone, and nobody has noticed yet.
    let dispatcher = dispatcher(8);
    let mut numbers = numbers();
    let mut asking = SlotSearch::new(job(1, 0));
    let mut asks = asked(&asking.start(&dispatcher, 0, &mut numbers)).len();
    let mut now_ms = 0;
    let unasked = loop {
        now_ms += REPLY_TIMEOUT_MS;
        assert!(now_ms < 1_000, "it waits for ever");
        let next = asking.handle_timeout(&dispatcher, now_ms, &mut numbers);
        asks += asked(&next).len();
        if let Some(SearchStep::StartWithoutGrant { instance }) = next.last() {
            break Arc::clone(instance);
        }
    };
    assert_eq!(asks, 3);
    assert!(dispatcher.has_room(&unasked, now_ms));
    assert_eq!(now_ms, 3 * REPLY_TIMEOUT_MS);
}

#[test]
fn engine_that_leaves_is_asked_no_more() {
    let mut dispatcher = dispatcher(2);
    let mut numbers = numbers();
    let mut asking = SlotSearch::new(job(1, 0));
    let first = asked(&asking.start(&dispatcher, 0, &mut numbers));
    let (_, engine) = first[0].clone();
    let left: Vec<Arc<Upstream>> = engines(2)
        .into_iter()
        .filter(|upstream| upstream.instance != engine)
        .collect();
    dispatcher.set_upstreams(&left);
    let next = asking.handle_timeout(&dispatcher, REPLY_TIMEOUT_MS, &mut numbers);
    assert!(
        matches!(&next[0], SearchStep::CancelSlotRequest { instance, .. } if *instance == engine)
    );
    assert_eq!(asked(&next)[0].1, left[0].instance);
}

#[test]
fn waiting_question_repeated_under_its_name() {
    // Its door may have passed to another entry meanwhile, which knows nothing of it.
    let dispatcher = dispatcher(1);
    let mut numbers = numbers();
    let mut asking = SlotSearch::new(job(1, 0));
    let first = asked(&asking.start(&dispatcher, 0, &mut numbers));
    asking.handle_queued(first[0].0, 5, &dispatcher, 1, &mut numbers);
    let again: Vec<_> = (1..8)
        .flat_map(|beat| {
            let now_ms = beat * REPLY_TIMEOUT_MS;
            asked(&asking.handle_timeout(&dispatcher, now_ms, &mut numbers))
        })
        .collect();
    assert_eq!(again, first);
}

#[test]
fn all_at_rest_refused_at_once() {
    // Guards against callers that wait into their deadlines for upstreams that want nothing.
    let mut dispatcher = dispatcher(2);
    dispatcher.set_backoffs(&at_rest(&[("i-0", 4_000), ("i-1", 3_000)]));
    let mut asking = SlotSearch::new(job(1, 0));
    let next = asking.start(&dispatcher, 100, numbers());
    assert_eq!(next, [SearchStep::Refuse]);
    let rest_ms = dispatcher.all_backed_off_for_ms(&asking.job, 100);
    assert_eq!(rest_ms, Some(2_900), "the first that is over");
    assert_eq!(dispatcher.all_backed_off_for_ms(&asking.job, 3_000), None);
}

#[test]
fn rest_begun_while_it_waits() {
    // Guards against a question that is granted, or waits, at an upstream that has asked for rest.
    let mut dispatcher = dispatcher(1);
    let mut numbers = numbers();
    let mut asking = SlotSearch::new(job(1, 0));
    let (id, instance) = asked(&asking.start(&dispatcher, 0, &mut numbers))[0].clone();
    dispatcher.set_backoffs(&at_rest(&[("i-0", 3_000)]));
    assert!(dispatcher.occupy_slot(&instance, 40).is_none(), "a grant");
    let next = asking.handle_timeout(&dispatcher, 40, &mut numbers);
    assert_eq!(
        next,
        [
            SearchStep::CancelSlotRequest { id, instance },
            SearchStep::Refuse
        ]
    );
}

#[test]
fn rest_of_one_upstream_the_others_are_asked() {
    let mut dispatcher = dispatcher(4);
    dispatcher.set_backoffs(&at_rest(&[("i-1", 3_000)]));
    for first in 1..200 {
        let mut number = first;
        let next = SlotSearch::new(job(1, 0)).start(&dispatcher, 0, || {
            number += 1;
            number
        });
        let (_, instance) = &asked(&next)[0];
        assert_ne!(&**instance, "i-1");
    }
}

#[test]
fn limited_upstream_not_called_unasked() {
    // Guards against entries that pass a silent door by, each with a whole limit.
    let mut dispatcher = dispatcher(1);
    dispatcher.set_limited(&[upstream_hash("i-0")].into());
    let mut asking = SlotSearch::new(job(1, 0));
    asking.start(&dispatcher, 0, numbers());
    let next = asking.handle_timeout(&dispatcher, REPLY_TIMEOUT_MS, numbers());
    assert!(next.is_empty(), "{next:?}");
}

fn at_rest(upstreams: &[(&str, u64)]) -> IndexMap<u32, u64> {
    let rests = upstreams.iter();
    rests
        .map(|(instance, until_ms)| (upstream_hash(instance), *until_ms))
        .collect()
}
