//! Tests the exclusion of upstreams whose answers are not valid.

use sardinewood::direct::membership::peer_message::EXCLUSIONS_LEVEL;
use sardinewood::direct::membership::peer_message::EntryHost;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::MAX_EXCLUSIONS;
use sardinewood::direct::membership::peer_message::MESSAGE_LEVEL;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::REMOVALS_LEVEL;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::placement::health::AttemptOutcome;
use sardinewood::direct::placement::tracked_upstream::ExclusionChange;
use sardinewood::direct::request::answer_bounds::AnswerPart;

use crate::direct_fixture::job;
use crate::direct_fixture::upstream;

const INVALID: AttemptOutcome = AttemptOutcome::Invalid(AnswerPart::Framing);
const TOO_LONG: AttemptOutcome = AttemptOutcome::Invalid(AnswerPart::Body);

fn dispatcher(count: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let upstreams: Vec<_> = (1..=count)
        .map(|number| upstream(&format!("i-{number}"), 4))
        .collect();
    dispatcher.set_upstreams(&upstreams);
    dispatcher
}

/// What a request at an upstream has done.
#[derive(Debug, PartialEq, Eq)]
enum Ran {
    NoSlot,
    Unchanged,
    Changed(ExclusionChange),
}

/// Runs a request at an upstream.
fn run(
    dispatcher: &mut Dispatcher,
    instance: &str,
    (id, outcome): (u64, AttemptOutcome),
    now_ms: u64,
) -> Ran {
    if dispatcher.occupy_slot(instance, now_ms).is_none() {
        return Ran::NoSlot;
    }
    dispatcher.acquired(instance, id);
    assert!(dispatcher.may_send(None, instance, id, now_ms));
    let change = dispatcher.finished(instance, id, outcome, 1, now_ms);
    change.map_or(Ran::Unchanged, Ran::Changed)
}

#[test]
fn finished_invalid_answer_excludes_until_a_trial_succeeds() {
    // Guards against an upstream that fails fast, looks free, and is sent more and more requests.
    let mut dispatcher = dispatcher(8);
    let excluded = run(&mut dispatcher, "i-1", (1, INVALID), 0);
    assert_eq!(excluded, Ran::Changed(ExclusionChange::Excluded));
    let mut attempts = 0;
    for now_ms in (0..10_000).step_by(10) {
        attempts += u32::from(run(&mut dispatcher, "i-1", (2, INVALID), now_ms) != Ran::NoSlot);
    }
    assert_eq!(attempts, 2, "in ten seconds");
    let now_ms = 60_000;
    // Only one request is the trial.
    assert!(dispatcher.occupy_slot("i-1", now_ms).is_some());
    dispatcher.acquired("i-1", 3);
    assert!(dispatcher.occupy_slot("i-1", now_ms).is_none());
    assert!(!dispatcher.may_send(None, "i-1", 4, now_ms));
    let lifted = dispatcher.finished("i-1", 3, AttemptOutcome::Answered, 5, now_ms + 5);
    assert_eq!(lifted, Some(ExclusionChange::Lifted));
    assert!(dispatcher.is_available("i-1", now_ms + 5));
}

#[test]
fn finished_few_invalid_answers_leave_an_upstream_in_use() {
    // Guards against sound upstreams that spoil three of a hundred answers, many of them at once, and
    // lose most of their capacity to the exclusion.
    let mut dispatcher = dispatcher(1);
    let mut served = 0;
    for (id, now_ms) in (0..60_000).step_by(100).enumerate() {
        let outcome = if id % 33 == 32 {
            INVALID
        } else {
            AttemptOutcome::Answered
        };
        let id = u64::try_from(id).expect("a small number");
        served += u32::from(run(&mut dispatcher, "i-1", (id, outcome), now_ms) != Ran::NoSlot);
    }
    assert!(served >= 480, "{served} of 600");
}

#[test]
fn finished_earlier_request_does_not_end_an_exclusion() {
    // Guards against a valid answer that had begun before, and against a bound hit twice at once that
    // doubles the pause.
    let mut dispatcher = dispatcher(2);
    for id in 1..=3 {
        dispatcher.occupy_slot("i-1", 0);
        dispatcher.acquired("i-1", id);
    }
    dispatcher.finished("i-1", 1, INVALID, 5, 5);
    assert_eq!(dispatcher.finished("i-1", 2, INVALID, 6, 6), None);
    let change = dispatcher.finished("i-1", 3, AttemptOutcome::Answered, 7, 7);
    assert_eq!(change, None);
    assert!(!dispatcher.is_available("i-1", 300));
    assert!(dispatcher.is_available("i-1", 305));
}

#[test]
fn finished_trial_that_tells_nothing_repeated() {
    // Guards against an upstream that stays excluded because the caller of its trial left.
    let mut dispatcher = dispatcher(2);
    run(&mut dispatcher, "i-1", (1, INVALID), 0);
    let change = run(&mut dispatcher, "i-1", (2, AttemptOutcome::Abandoned), 300);
    assert_eq!(change, Ran::Unchanged);
    assert!(!dispatcher.is_available("i-1", 310));
    assert!(dispatcher.is_available("i-1", 700));
}

#[test]
fn finished_too_long_answers_exclude_half_of_a_service_at_most() {
    // Guards against callers who take a service down by asking for long answers.
    let mut dispatcher = dispatcher(5);
    for number in 1..=5 {
        run(
            &mut dispatcher,
            &format!("i-{number}"),
            (number, TOO_LONG),
            0,
        );
    }
    assert_eq!(dispatcher.excluded_count(), 2);
    for number in 1..=5 {
        run(
            &mut dispatcher,
            &format!("i-{number}"),
            (number, INVALID),
            1,
        );
    }
    assert_eq!(dispatcher.excluded_count(), 5);
}

#[test]
fn all_backed_off_until_the_first_trial() {
    // Guards against a retry delay that tells callers to return while nothing is used.
    let mut dispatcher = dispatcher(1);
    run(&mut dispatcher, "i-1", (1, INVALID), 0);
    let wait_ms = dispatcher.all_backed_off_for_ms(&job(1, 0), 100);
    assert_eq!(wait_ms, Some(200));
}

#[test]
fn set_peer_exclusions_told_by_one_tried_by_one() {
    // Guards against entries that all find out by themselves, all try the upstream again, or confirm
    // each other forever.
    let mut entries = [dispatcher(4), dispatcher(4), dispatcher(4)];
    for entry in &mut entries[..2] {
        run(entry, "i-1", (1, INVALID), 0);
    }
    let mut attempts = 0;
    for now_ms in (0..10_000_u64).step_by(100) {
        for from in 0..3 {
            let told: Vec<u32> = entries[from].reported_exclusions(now_ms).collect();
            for to in (0..3).filter(|to| *to != from) {
                entries[to].set_peer_exclusions(&told, from < to, now_ms);
            }
        }
        for entry in &mut entries {
            attempts += u32::from(run(entry, "i-1", (now_ms, INVALID), now_ms + 50) != Ran::NoSlot);
        }
    }
    assert_eq!(attempts, 2, "trials within ten seconds");
    assert_eq!(entries[0].reported_exclusions(10_000).count(), 1);
    assert_eq!(entries[1].reported_exclusions(10_000).count(), 0);
    assert_eq!(entries[2].reported_exclusions(10_000).count(), 0);
    // Once the first entry is silent, the others try the upstream with one request each.
    assert!(!entries[2].is_available("i-1", 11_000));
    let lifted = run(
        &mut entries[2],
        "i-1",
        (9, AttemptOutcome::Answered),
        12_500,
    );
    assert_eq!(lifted, Ran::Changed(ExclusionChange::Lifted));
}

#[test]
fn reported_exclusions_end_while_nobody_tries() {
    // Guards against entries that wait for one that has no requests for the upstream.
    let mut first = dispatcher(4);
    run(&mut first, "i-1", (1, INVALID), 0);
    assert_eq!(first.reported_exclusions(2_200).count(), 1);
    assert_eq!(first.reported_exclusions(2_400).count(), 0);
}

#[test]
fn excluded_told_to_builds_that_know_them() {
    // Guards against a heartbeat that builds of the level before can't decode.
    let heartbeat = Heartbeat {
        host: Some(EntryHost::new("hall", 9)),
        knows_eras: true,
        message_level: MESSAGE_LEVEL,
        excluded: (0..MAX_EXCLUSIONS)
            .map(|number| upstream_hash(&format!("i-{number}")))
            .collect(),
        ..Heartbeat::default()
    };
    const { assert!(MESSAGE_LEVEL >= EXCLUSIONS_LEVEL) }
    let message = PeerMessage::Heartbeat(heartbeat.clone());
    let bytes = message.encode().expect("a datagram");
    assert_eq!(PeerMessage::decode(&bytes), Some(message));
    let older = PeerMessage::Heartbeat(Heartbeat {
        message_level: REMOVALS_LEVEL,
        excluded: Vec::new(),
        ..heartbeat
    });
    let older_bytes = older.encode().expect("a datagram");
    assert_eq!(PeerMessage::decode(&older_bytes), Some(older));
    // The rest of the message is as it was before, and what is new follows it.
    let level_at = (0..older_bytes.len()).find(|at| older_bytes[*at] != bytes[*at]);
    let level_at = level_at.expect("another level");
    assert_eq!(older_bytes[level_at], REMOVALS_LEVEL);
    assert_eq!(
        bytes[level_at + 1..older_bytes.len()],
        older_bytes[level_at + 1..]
    );
}
