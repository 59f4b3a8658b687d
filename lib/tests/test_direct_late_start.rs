//! Requests that can't meet their objective while others can, and engines of unlike or unknown
//! speed, without a network.

use sardinewood::direct::load_policy::LoadPolicy;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::placement::health::AttemptOutcome;
use sardinewood::direct::placement::job::Job;
use sardinewood::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use sardinewood::direct::placement::slot_search::SearchStep;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::sharing::admission::AdmissionController;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::admission::SlotRequest;
use sardinewood::direct::sharing::late_start::NOT_IN_TIME_WAIT_MS;

use crate::direct_fixture::job;
use crate::direct_fixture::upstream;

const ENGINE: &str = "i-1";

fn request(id: u64, tier: u8, objective_in_ms: i64) -> SlotRequest {
    SlotRequest {
        id: PeerRequestId(id),
        upstream: upstream_hash(ENGINE),
        worth_micros: job(id, tier).worth_micros(),
        objective_in_ms,
        waited_ms: 0,
    }
}

/// Returns the wait that the owner of a full engine's queue replies to a request of a tier, which is
/// late at once, while others wait, given by their tiers and the time that is left to them.
fn wait_of_late(skips_late_starts: bool, tier: u8, others: &[(u8, i64)]) -> Option<u32> {
    let mut admission = AdmissionController::default();
    admission.set_skips_late_starts(skips_late_starts);
    admission.set_upstreams([(ENGINE.into(), 1)]);
    admission.enqueue(EntryRef::Local, request(0, 0, 500), 0);
    assert!(admission.next_grant(0).is_some(), "the engine is full");
    for (id, (tier, left_ms)) in (2..).zip(others) {
        admission.enqueue(EntryRef::Local, request(id, *tier, *left_ms), 0);
    }
    admission.enqueue(EntryRef::Local, request(1, tier, -10), 0);
    let upstream = upstream_hash(ENGINE);
    admission.expected_wait_ms(EntryRef::Local, upstream, PeerRequestId(1), 0)
}

/// Guards against late requests that wait for slots which others need to be in time.
#[test]
fn overload_late_request_told_that_others_go_first() {
    let told = Some(NOT_IN_TIME_WAIT_MS);
    assert_eq!(wait_of_late(true, 2, &[(2, 300)]), told);
    assert_eq!(wait_of_late(true, 2, &[(0, 300), (1, 300)]), told);
}

/// Guards against an early refusal although no request that can be in time competes: a late answer is
/// better than none.
#[test]
fn calm_late_request_keeps_waiting() {
    for others in [&[][..], &[(2, -50), (1, -50)]] {
        let wait_ms = wait_of_late(true, 2, others).expect("queued");
        assert!(wait_ms < 1_000, "{wait_ms}");
    }
}

/// Guards against a late request of a high tier that gives up its slot to a lower tier.
#[test]
fn overload_late_request_of_a_higher_tier_keeps_its_place() {
    for tier in [0, 1] {
        for others in [&[(0, 300)][..], &[(0, 300), (2, 300)], &[(2, 300)]] {
            let wait_ms = wait_of_late(true, tier, others).expect("queued");
            assert!(wait_ms < 1_000, "{wait_ms}");
        }
    }
}

/// Guards against a free slot that is kept from a late request.
#[test]
fn free_slot_late_request_granted_at_once() {
    let mut admission = AdmissionController::default();
    admission.set_skips_late_starts(true);
    admission.set_upstreams([(ENGINE.into(), 1)]);
    admission.enqueue(EntryRef::Local, request(1, 2, -10), 0);
    let granted = admission.next_grant(0).map(|grant| grant.request_id);
    assert_eq!(granted, Some(PeerRequestId(1)));
}

/// Guards against a change of what owners reply if late starts are not skipped.
#[test]
fn settings_off_late_request_told_an_estimate() {
    assert!(!LoadPolicy::default().skips_late_starts);
    for others in [&[(2, 300)][..], &[(0, 300), (1, 300)], &[]] {
        let wait_ms = wait_of_late(false, 2, others).expect("queued");
        assert!(wait_ms < 1_000, "{wait_ms}");
    }
}

/// Returns a dispatcher of engines whose speeds are given as times between two events; none for an
/// engine that has not answered. They read a token in a thousandth of that.
fn dispatcher(engines: &[(&str, Option<f64>)]) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let upstreams: Vec<_> = engines.iter().map(|(name, _)| upstream(name, 5)).collect();
    dispatcher.set_upstreams(&upstreams);
    dispatcher.record_answer_length(&"pool".into(), 50, 10);
    for (name, event_ms) in engines {
        let Some(event_ms) = *event_ms else {
            continue;
        };
        dispatcher.learn(name, |health| {
            health.next_event(event_ms, 0);
            health.first_event(1_000, event_ms * 2.0);
        });
        dispatcher.occupy_slot(name, 0);
        dispatcher.finished(name, 0, AttemptOutcome::Answered, 600, 0);
    }
    dispatcher
}

fn numbers() -> impl FnMut() -> u64 {
    let mut number = 0;
    move || {
        number += 1;
        number
    }
}

/// Lets a request ask a queue at time 0, which replies that it waits. Returns the search and the id of
/// its slot request.
fn waiting(job: Job, dispatcher: &Dispatcher) -> (SlotSearch, PeerRequestId) {
    let mut search = SlotSearch::new(job).skipping_late_starts(true);
    let mut numbers = numbers();
    let steps = search.start(dispatcher, 0, &mut numbers);
    let SearchStep::RequestSlot { id, .. } = steps[0] else {
        panic!("{steps:?}");
    };
    let queued = search.handle_queued(id, 100, dispatcher, 1, &mut numbers);
    assert!(!queued.contains(&SearchStep::Refuse), "{queued:?}");
    (search, id)
}

/// Guards against a request that waits until its time is over although it became late long before: the
/// queues are asked again, and their replies decide.
#[test]
fn overload_request_that_became_late_refused_early() {
    let dispatcher = dispatcher(&[(ENGINE, Some(12.0))]);
    let (mut search, id) = waiting(job(1, 2), &dispatcher);
    let lead_ms = dispatcher.lead_ms(ENGINE, &search.job);
    let late_ms = search.job.objective_at_ms - lead_ms;
    let before = search.handle_timeout(&dispatcher, late_ms - 1, numbers());
    let asks = |steps: &[SearchStep]| {
        let is_ask = |step: &&SearchStep| matches!(step, SearchStep::RequestSlot { .. });
        steps.iter().filter(is_ask).count()
    };
    // This one is the usual repetition of a slot request that waits for long.
    assert_eq!(asks(&before), 1);
    let then = search.handle_timeout(&dispatcher, late_ms, numbers());
    assert_eq!(asks(&then), 1, "asked again as late");
    let after = search.handle_timeout(&dispatcher, late_ms + REPLY_TIMEOUT_MS, numbers());
    assert_eq!(asks(&after), 0, "only once");
    let calm = search.handle_queued(id, 40, &dispatcher, late_ms + 50, numbers());
    assert!(calm.is_empty(), "{calm:?}");
    let told = search.handle_queued(
        id,
        NOT_IN_TIME_WAIT_MS,
        &dispatcher,
        late_ms + 51,
        numbers(),
    );
    assert_eq!(told, [SearchStep::Refuse]);
}

/// Guards against an early refusal of a request that is late at one engine and can be in time at a
/// faster one.
#[test]
fn uneven_engines_request_late_at_one_of_them_waits_on() {
    let dispatcher = dispatcher(&[("fast", Some(5.0)), ("slow", Some(300.0))]);
    let (mut search, id) = waiting(job(1, 2), &dispatcher);
    let at_ms = 300;
    assert!(dispatcher.lead_ms("slow", &search.job) > 500 - at_ms);
    let told = search.handle_queued(id, NOT_IN_TIME_WAIT_MS, &dispatcher, at_ms, numbers());
    assert!(!told.contains(&SearchStep::Refuse), "{told:?}");
}

/// Guards against an entry without the setting, or a request that can be in time at an engine not asked,
/// that takes the reply to late requests for an estimate and refuses.
#[test]
fn uneven_engines_late_at_all_queues_asked_waits_on() {
    let mut engines = vec![("fast", Some(5.0))];
    engines.extend(["s-1", "s-2", "s-3"].map(|name| (name, Some(300.0))));
    let dispatcher = dispatcher(&engines);
    for skips_late_starts in [false, true] {
        let mut search = SlotSearch::new(job(1, 2)).skipping_late_starts(skips_late_starts);
        let mut numbers = numbers();
        let mut steps = search.start(&dispatcher, 0, &mut numbers);
        let mut replies = 0;
        while let Some(SearchStep::RequestSlot { id, .. }) = steps.first().cloned() {
            let told = NOT_IN_TIME_WAIT_MS;
            steps = search.handle_queued(id, told, &dispatcher, 1, &mut numbers);
            replies += 1;
        }
        assert_eq!((replies, steps), (3, Vec::new()));
    }
}

/// Guards against early refusals of the largest requests, whose prompts take longest to read, time
/// after time.
#[test]
fn overload_size_with_a_start_deficit_not_refused_early() {
    let dispatcher = dispatcher(&[(ENGINE, Some(12.0))]);
    let owed = Job {
        prompt_tokens: 60_000,
        has_start_deficit: true,
        ..job(1, 2)
    };
    let (mut search, id) = waiting(owed, &dispatcher);
    assert!(dispatcher.is_late_everywhere(&search.job, 10));
    let told = search.handle_queued(id, NOT_IN_TIME_WAIT_MS, &dispatcher, 10, numbers());
    assert!(!told.contains(&SearchStep::Refuse), "{told:?}");
}

/// Guards against a change of what a search does if late starts are not skipped.
#[test]
fn settings_off_late_request_asks_as_before() {
    let dispatcher = dispatcher(&[(ENGINE, Some(12.0))]);
    let mut numbers = numbers();
    let mut search = SlotSearch::new(job(1, 2));
    let steps = search.start(&dispatcher, 0, &mut numbers);
    let SearchStep::RequestSlot { id, .. } = steps[0] else {
        panic!("{steps:?}");
    };
    let told = search.handle_queued(id, NOT_IN_TIME_WAIT_MS, &dispatcher, 240, &mut numbers);
    assert!(told.is_empty(), "{told:?}");
    assert!(search.handle_timeout(&dispatcher, 249, numbers).is_empty());
}

/// Returns which engines a request's first slot request goes to, over many draws.
fn chosen(dispatcher: &Dispatcher, job: &Job) -> Vec<String> {
    let mut random = 0_usize;
    let draw = || {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        random >> 33
    };
    let mut draw = draw;
    let mut chosen: Vec<String> = (0..200)
        .filter_map(|_| dispatcher.choose(job, &[], 0, &mut draw))
        .map(|upstream| upstream.instance.to_string())
        .collect();
    chosen.sort();
    chosen.dedup();
    chosen
}

/// Returns a request whose answer and hold time are this multiple of a typical one's.
fn of_length(multiple: u32) -> Job {
    Job {
        expected_output_tokens: Some(30 * multiple),
        relative_hold: f64::from(multiple),
        ..job(1, 2)
    }
}

/// Guards against long answers that are cut at their deadline by slow engines, as a draw of four
/// engines may have slow ones only.
#[test]
fn uneven_engines_long_answers_not_to_those_that_cut_them() {
    let mut engines = vec![("fast", Some(5.0))];
    engines.extend(["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"].map(|name| (name, Some(60.0))));
    let mut dispatcher = dispatcher(&engines);
    let long = of_length(30);
    assert!(chosen(&dispatcher, &long).len() > 1, "settings off");
    dispatcher.set_places_by_length(true);
    assert_eq!(chosen(&dispatcher, &long), ["fast"]);
    assert!(chosen(&dispatcher, &of_length(1)).len() > 1);
}

/// Guards against long answers that are refused because only slow engines are left, and against a
/// size that waits only at engines which higher tiers fill.
#[test]
fn slow_engines_only_long_answers_still_placed() {
    let mut dispatcher = dispatcher(&[("s-1", Some(60.0)), ("s-2", Some(60.0))]);
    dispatcher.set_places_by_length(true);
    assert_eq!(chosen(&dispatcher, &of_length(30)), ["s-1", "s-2"]);
    let mut engines = vec![("fast", Some(5.0))];
    engines.extend(["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"].map(|name| (name, Some(60.0))));
    let mut dispatcher = self::dispatcher(&engines);
    let owed = Job {
        has_start_deficit: true,
        ..of_length(30)
    };
    let before = chosen(&dispatcher, &owed);
    dispatcher.set_places_by_length(true);
    assert_eq!(chosen(&dispatcher, &owed), before);
}

/// Guards against an engine of unknown speed that is measured with a long request, which it may cut.
#[test]
fn unknown_engine_gets_short_requests_first() {
    let mut dispatcher = dispatcher(&[("known", Some(12.0)), ("unknown", None)]);
    let long = of_length(2);
    assert_eq!(
        chosen(&dispatcher, &long),
        ["known", "unknown"],
        "settings off"
    );
    dispatcher.set_places_by_length(true);
    assert_eq!(chosen(&dispatcher, &long), ["known"]);
    assert_eq!(chosen(&dispatcher, &of_length(1)), ["known", "unknown"]);
}

/// Guards against long requests that are refused while no engine has answered yet.
#[test]
fn all_engines_unknown_long_requests_placed() {
    let mut dispatcher = dispatcher(&[("a", None), ("b", None)]);
    dispatcher.set_places_by_length(true);
    assert_eq!(chosen(&dispatcher, &of_length(2)), ["a", "b"]);
}
