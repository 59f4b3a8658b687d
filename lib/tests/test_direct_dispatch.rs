//! Tests which requests wait, which are refused and which upstreams they go to, for the load
//! patterns of heavy days.

use std::sync::Arc;

use sardinewood::direct::membership::heartbeat_payload::LoadChunk;
use sardinewood::direct::membership::peer_message::UpstreamCondition;
use sardinewood::direct::membership::peer_message::UpstreamLoad;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::placement::health::AttemptOutcome;
use sardinewood::direct::placement::job::Job;
use sardinewood::direct::placement::slot_search::SearchStep;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::placement::tracked_upstream::ReportIntervals;
use sardinewood::direct::store_view::directory::Upstream;

use crate::direct_fixture::job;
use crate::direct_fixture::random_numbers;
use crate::direct_fixture::upstream;

/// Starts a request at its chosen upstream if that seems to have a free slot. Returns the upstream.
fn start(dispatcher: &mut Dispatcher, job: &Job, now_ms: u64) -> Option<String> {
    let chosen = dispatcher.choose(job, &[], now_ms, draws())?;
    if !dispatcher.has_free_slot(&chosen.instance, now_ms) {
        return None;
    }
    let begun = dispatcher.occupy_slot(&chosen.instance, now_ms);
    begun.map(|upstream| upstream.instance.to_string())
}

/// Starts this many requests of the first tier. Returns their upstreams.
fn starts(dispatcher: &mut Dispatcher, count: u64, now_ms: u64) -> Vec<String> {
    (0..count)
        .filter_map(|id| start(dispatcher, &job(id, 0), now_ms))
        .collect()
}

fn draws() -> impl FnMut() -> usize {
    let mut random = random_numbers();
    move || usize::try_from(random()).expect("a number of 31 bits")
}

#[test]
fn request_without_upstream_refused_at_once() {
    let dispatcher = Dispatcher::default();
    let next = SlotSearch::new(job(1, 0)).start(&dispatcher, 0, || 1);
    assert_eq!(next, [SearchStep::Refuse]);
    assert!(job(1, 0).retry_after_ms(0) > 0);
}

#[test]
fn slots_filled_then_waited_for() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 2)]);
    assert_eq!(starts(&mut dispatcher, 3, 0).len(), 2);
    dispatcher.finished("i-1", 1, AttemptOutcome::Answered, 50, 10);
    assert_eq!(starts(&mut dispatcher, 3, 10).len(), 1);
}

#[test]
fn peers_load_leaves_fewer_slots() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 2)]);
    let running = UpstreamLoad {
        upstream: upstream_hash("i-1"),
        requests: 2,
        ..UpstreamLoad::default()
    };
    dispatcher.set_peer_load(1, &LoadChunk::whole(vec![running]), 0);
    assert!(starts(&mut dispatcher, 1, 0).is_empty());
    // The load of a peer without recent reports no longer counts.
    assert_eq!(starts(&mut dispatcher, 1, 5_000).len(), 1);
}

#[test]
fn stall_reported_by_a_peer_of_a_large_fleet_stays_known() {
    // Guards against an upstream that hangs and is used again between two heartbeats of the peer
    // that reports it: in a large fleet they are a second apart.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 2)]);
    dispatcher.set_intervals(ReportIntervals {
        heartbeat_ms: 1_000,
        ..ReportIntervals::default()
    });
    let stalled = UpstreamLoad {
        upstream: upstream_hash("i-1"),
        requests: 1,
        condition: UpstreamCondition::Stalled,
        ..UpstreamLoad::default()
    };
    dispatcher.set_peer_load(1, &LoadChunk::whole(vec![stalled]), 0);
    assert_eq!(dispatcher.service_counts("pool", 1_200).working, 0);
    assert_eq!(dispatcher.service_counts("pool", 1_600).working, 1);
}

#[test]
fn less_important_stops_waiting_sooner() {
    // A burst of requests of all tiers lasts for seconds. Requests worth a twentieth would be
    // passed over until their callers leave, so they are refused early and can retry at a calmer
    // time.
    let first = job(1, 0).waits_until_ms();
    let second = job(1, 1).waits_until_ms();
    let third = job(1, 2).waits_until_ms();
    assert!(first > second && second > third, "{first} {second} {third}");
    assert_eq!(
        first, 2_040,
        "the most important waits for most of its caller's patience"
    );
    assert!(
        third < 500,
        "the least important gives up while it could still be in time"
    );
}

#[test]
fn short_answers_first_but_bounded() {
    // All upstreams are full, and answers differ fifty-fold in length. Several short requests are
    // worth more in the same time; the bound keeps the long ones from starving.
    let short = Job {
        relative_hold: 0.1,
        ..job(1, 0)
    };
    let long = Job {
        relative_hold: 5.0,
        ..job(2, 0)
    };
    assert_eq!(short.worth_micros(), 1_300_000);
    assert_eq!(long.worth_micros(), 1_000_000);
    let large = Job {
        relative_size: 9.0,
        relative_hold: 1.5,
        ..job(3, 0)
    };
    assert!(large.worth_micros() > job(4, 0).worth_micros());
}

#[test]
fn customers_tier_goes_before_the_routes() {
    // If all customers have the same tier, the tiers of the routes decide. If they differ, a short
    // note of the first customer goes before a report of the second.
    let of = |customer_tier, tier| {
        let job = Job {
            customer_tier,
            ..job(1, tier)
        };
        job.worth_micros()
    };
    assert!(of(1, 0) > of(1, 1) && of(1, 1) > of(1, 2));
    assert!(of(0, 1) > of(1, 0));
    assert!(of(0, 2) >= of(1, 0));
}

#[test]
fn unlike_engines_long_answers_keep_to_fast_ones() {
    // Engines differ fourfold in speed, and the fast ones fill up. A short answer then goes to a
    // slow engine, where a long one would be cut at its deadline.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("fast", 5), upstream("slow", 5)]);
    dispatcher.record_answer_length(&"pool".into(), 30, 10);
    for (name, event_ms, first_ms) in [("fast", 12.0, 20.0), ("slow", 55.0, 80.0)] {
        dispatcher.learn(name, |health| {
            health.next_event(event_ms, 0);
            health.first_event(1_000, first_ms);
        });
        dispatcher.occupy_slot(name, 0);
        dispatcher.finished(name, 0, AttemptOutcome::Answered, 600, 0);
    }
    for _ in 0..4 {
        dispatcher.occupy_slot("fast", 0);
    }
    let brief = Job {
        expected_output_tokens: Some(6),
        ..job(1, 0)
    };
    let long = Job {
        expected_output_tokens: Some(900),
        ..job(2, 0)
    };
    let at = |job: &Job| {
        let chosen = dispatcher.choose(job, &[], 0, draws());
        chosen.expect("an upstream").instance.to_string()
    };
    assert_eq!(at(&brief), "slow");
    assert_eq!(at(&long), "fast");
}

#[test]
fn long_prompt_not_sent_to_find_out_what_peers_know() {
    // After a restart, this entry has measured the prefill and the event gap of one engine. Peers
    // report that another engine generates four times as slowly, so it also reads as slowly, and a
    // long prompt would miss its objective there. An engine without any measurements counts as
    // typical, not as the best.
    let mut dispatcher = Dispatcher::default();
    let engines = ["known", "told", "unknown"].map(|name| upstream(name, 5));
    dispatcher.set_upstreams(&engines);
    dispatcher.learn("known", |health| {
        health.first_event(1_000, 20.0);
        health.next_event(12.0, 0);
    });
    let reports = UpstreamLoad {
        upstream: upstream_hash("told"),
        requests: 1,
        event_us: 48_000,
        condition: UpstreamCondition::Healthy,
    };
    dispatcher.set_peer_load(1, &LoadChunk::whole(vec![reports]), 0);
    let long = Job {
        prompt_tokens: 10_000,
        ..job(1, 0)
    };
    let known_ms = dispatcher.lead_ms("known", &long);
    assert!(dispatcher.lead_ms("told", &long) > known_ms * 3);
    assert!(dispatcher.lead_ms("unknown", &long) >= known_ms);
}

#[test]
fn long_prompt_not_late_by_what_short_ones_took() {
    // Guards against a long prompt that is refused at once as late on arrival, although an engine
    // would read it in a third of its objective. Most prompts are short, and their first event
    // takes as long as any other event. When that time counted as prefill time, the long prompt
    // seemed four times as slow to read.
    const EVENT_MS: f64 = 27.0;
    const READ_MS_PER_TOKEN: f64 = 0.01;
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 5)]);
    for prompt_tokens in [600, 500, 15_000, 700, 600, 900, 500, 600] {
        let read_ms = f64::from(prompt_tokens) * READ_MS_PER_TOKEN;
        dispatcher.learn("i-1", |health| {
            health.next_event(EVENT_MS, 0);
            health.first_event(prompt_tokens, read_ms + EVENT_MS);
        });
    }
    let long = Job {
        prompt_tokens: 15_000,
        ..job(1, 0)
    };
    let lead_ms = dispatcher.lead_ms("i-1", &long);
    assert!(lead_ms < long.objective_at_ms / 2, "{lead_ms}");
}

#[test]
fn unknown_upstream_tried_although_another_is_better_than_usual() {
    // One of two engines is known and has become faster than it used to be; the other was never
    // tried. Requests come one after the other, so neither engine is ever full. The unknown engine
    // counts as typical, which is slower, and would never be tried.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("known", 5), upstream("unknown", 5)]);
    for event_ms in [40.0, 30.0, 10.0, 5.0, 5.0, 5.0] {
        dispatcher.learn("known", |health| health.next_event(event_ms, 0));
    }
    let mut draw = draws();
    let tried = (0..100)
        .filter_map(|_| dispatcher.choose(&job(1, 0), &[], 0, &mut draw))
        .filter(|upstream| &*upstream.instance == "unknown")
        .count();
    assert!((3..40).contains(&tried), "{tried}");
}

#[test]
fn many_entries_do_not_all_ask_the_same() {
    // Thirty entries know the same outdated loads. Their random choices spread over the engines.
    let mut dispatcher = Dispatcher::default();
    let engines: Vec<Arc<Upstream>> = (0..20)
        .map(|number| upstream(&format!("i-{number}"), 5))
        .collect();
    dispatcher.set_upstreams(&engines);
    let mut draw = draws();
    let chosen: std::collections::BTreeSet<String> = (0..100)
        .filter_map(|_| dispatcher.choose(&job(1, 0), &[], 0, &mut draw))
        .map(|upstream| upstream.instance.to_string())
        .collect();
    assert!(chosen.len() > 12, "{chosen:?}");
}

#[test]
fn broken_upstream_left_alone_for_a_while() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 5), upstream("i-2", 5)]);
    dispatcher.occupy_slot("i-1", 0);
    dispatcher.finished("i-1", 1, AttemptOutcome::Broken, 5, 100);
    let chosen = starts(&mut dispatcher, 5, 150);
    assert_eq!(chosen, ["i-2"; 5]);
}

#[test]
fn hung_upstream_gets_nothing_more() {
    // Callers whose requests are sent to a hung engine receive nothing until they leave. Once one
    // request has had no answer for far too long, the next ones go elsewhere, also those of peers.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 5), upstream("i-2", 5)]);
    dispatcher.occupy_slot("i-1", 0);
    dispatcher.sent("i-1", 1, 1_000, 0);
    let reports: Vec<UpstreamLoad> = dispatcher.running(2_000).collect();
    assert_eq!(reports[0].condition, UpstreamCondition::Stalled);
    let chosen = starts(&mut dispatcher, 5, 2_000);
    assert_eq!(chosen, ["i-2"; 5]);
    let mut peer = Dispatcher::default();
    peer.set_upstreams(&[upstream("i-1", 5), upstream("i-2", 5)]);
    peer.set_peer_load(1, &LoadChunk::whole(reports), 2_000);
    let chosen = peer.choose(&job(1, 0), &[], 2_000, draws());
    assert_eq!(&*chosen.expect("an upstream").instance, "i-2");
}

#[test]
fn last_upstream_used_although_it_stalls() {
    // A service's only upstream is slow for a moment. If it were excluded, all requests would be
    // refused.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 5)]);
    dispatcher.occupy_slot("i-1", 0);
    dispatcher.sent("i-1", 1, 1_000, 0);
    assert_eq!(starts(&mut dispatcher, 1, 2_000).len(), 1);
}

#[test]
fn second_try_never_to_the_same() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 5)]);
    let again = Job {
        tried_upstreams: vec!["i-1".into()],
        ..job(1, 0)
    };
    // No upstream is left to try, so the request does not wait either.
    assert_eq!(start(&mut dispatcher, &again, 0), None);
    let next = SlotSearch::new(again).start(&dispatcher, 0, || 1);
    assert_eq!(next, [SearchStep::Refuse]);
}

#[test]
fn removed_upstream_forgotten_when_its_last_request_ends() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1", 5)]);
    dispatcher.occupy_slot("i-1", 0);
    dispatcher.learn("i-1", |health| health.answered_after(400.0));
    let lead_ms = |dispatcher: &Dispatcher| dispatcher.lead_ms("i-1", &job(1, 0));
    let known_ms = lead_ms(&dispatcher);
    dispatcher.set_upstreams(&[]);
    assert_eq!(lead_ms(&dispatcher), known_ms);
    assert_eq!(dispatcher.running(0).count(), 1);
    dispatcher.finished("i-1", 1, AttemptOutcome::Answered, 5, 1);
    assert_eq!(dispatcher.running(1).count(), 0);
    assert!(lead_ms(&dispatcher) < known_ms);
}

#[test]
fn misdirected_upstream_left_alone() {
    // The entry of an upstream that has ended is in the list again, and another process answers at
    // its address. It runs nothing, so it looks like the best upstream, and each request would go
    // there.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("dead", 4), upstream("live", 4)]);
    dispatcher.occupy_slot("dead", 0);
    dispatcher.finished("dead", 1, AttemptOutcome::Misdirected, 2, 10);
    assert_eq!(starts(&mut dispatcher, 4, 10), ["live"; 4]);
    assert_eq!(dispatcher.occupy_slot("dead", 10), None);
    // The entry may belong to a live upstream after all, so it is tried again later.
    assert!(dispatcher.occupy_slot("dead", 5_000).is_some());
}

#[test]
fn peers_report_of_a_misdirected_upstream_applied_and_not_repeated() {
    // One such answer is enough for thirty entries. Only the entry that received it reports it,
    // because otherwise they would confirm each other forever.
    let mut first = Dispatcher::default();
    let mut second = Dispatcher::default();
    for dispatcher in [&mut first, &mut second] {
        dispatcher.set_upstreams(&[upstream("dead", 4)]);
    }
    first.occupy_slot("dead", 0);
    first.finished("dead", 1, AttemptOutcome::Misdirected, 2, 10);
    let reports: Vec<UpstreamLoad> = first.running(20).collect();
    assert_eq!(reports[0].condition, UpstreamCondition::Replaced);
    second.set_peer_load(1, &LoadChunk::whole(reports), 20);
    assert!(!second.is_available("dead", 30));
    assert_eq!(second.running(30).count(), 0);
    assert!(
        second.is_available("dead", 1_000),
        "the peer has stopped reporting it"
    );
}

#[test]
fn only_upstream_misdirected_refused_at_once() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("dead", 4)]);
    dispatcher.occupy_slot("dead", 0);
    dispatcher.finished("dead", 1, AttemptOutcome::Misdirected, 2, 10);
    let next = SlotSearch::new(job(1, 0)).start(&dispatcher, 20, || 1);
    assert_eq!(next, [SearchStep::Refuse]);
}

#[test]
fn restarted_upstream_starts_with_all_slots_free() {
    // All slots of the previous incarnation are taken, as this entry and a peer know. This does not
    // apply to the new incarnation, which has all of its slots free at once.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[upstream("i-1@1", 2)]);
    let running = UpstreamLoad {
        upstream: upstream_hash("i-1@1"),
        requests: 1,
        ..UpstreamLoad::default()
    };
    dispatcher.occupy_slot("i-1@1", 0);
    dispatcher.set_peer_load(1, &LoadChunk::whole(vec![running]), 0);
    dispatcher.set_upstreams(&[upstream("i-1@2", 2)]);
    assert_eq!(starts(&mut dispatcher, 3, 10).len(), 2);
}

/// Guards against a stream that goes on at an upstream of another version than the one that began it.
#[test]
fn choose_for_a_stream_its_version_only() {
    let version = |name: &str, version: &str| {
        Arc::new(Upstream {
            version: version.into(),
            ..Upstream::clone(&upstream(name, 5))
        })
    };
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[
        version("i-1", "v1"),
        version("i-2", "v2"),
        version("i-3", "v2"),
    ]);
    let stream = |version: &str| Job {
        stream_version: Some(version.into()),
        ..job(1, 0)
    };
    for draw in 0..8 {
        let chosen = dispatcher.choose(&stream("v1"), &[], 0, || draw);
        assert_eq!(&*chosen.expect("an upstream").instance, "i-1");
    }
    let tried = Job {
        tried_upstreams: vec!["i-1".into()],
        ..stream("v1")
    };
    assert!(
        dispatcher.choose(&tried, &[], 0, || 1).is_none(),
        "none of its version is left"
    );
    assert!(dispatcher.choose(&stream("v3"), &[], 0, || 1).is_none());
}

/// Guards against a request whose body takes long to arrive, and that is refused while upstreams idle.
#[test]
fn waits_until_counts_from_the_whole_request() {
    let prompt = job(1, 1);
    let slow = Job {
        read_at_ms: 2_800,
        caller_leaves_at_ms: 2_800 + prompt.caller_leaves_at_ms,
        ..job(1, 1)
    };
    assert_eq!(slow.waits_until_ms(), 2_800 + prompt.waits_until_ms());
    let late = Job {
        deadline_at_ms: 3_000,
        ..slow
    };
    assert!(
        (2_900..3_000).contains(&late.waits_until_ms()),
        "the deadline bounds it"
    );
}
