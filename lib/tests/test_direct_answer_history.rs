//! Tests what counts as an outage of the store, by the answers to all entries.

use std::time::Duration;

use sardinewood::direct::membership::peer_message::AnsweredAges;
use sardinewood::direct::membership::peer_message::EntryHost;
use sardinewood::direct::membership::peer_message::Heartbeat;
use sardinewood::direct::membership::peer_message::MESSAGE_LEVEL;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::membership::peer_message::REPLICA_AGES_LEVEL;
use sardinewood::direct::store_view::answer_history::AnswerHistory;
use sardinewood::direct::store_view::answer_history::Answered;
use sardinewood::direct::store_view::lapses::Lapses;
use tokio::time::Instant;

/// Time for which a removed upstream may be used.
const KEEP: Duration = Duration::from_millis(1_800);

/// Times of a test, in milliseconds from its start.
struct Clock(Instant);

impl Clock {
    fn new() -> Self {
        Self(Instant::now())
    }

    fn at(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    fn answered(&self, from_ms: u64, until_ms: u64) -> Answered {
        Answered {
            from: self.at(from_ms),
            until: self.at(until_ms),
        }
    }

    /// Records an answer that arrived as soon as it was asked for.
    fn record(&self, history: &mut AnswerHistory, from_ms: u64, until_ms: u64) {
        history.record_answer(self.at(from_ms), self.answered(from_ms, until_ms));
    }

    fn lapses(&self, history: &AnswerHistory, now_ms: u64) -> Lapses<u64> {
        match history.lapses(self.at(now_ms), KEEP) {
            Lapses::Until(until) => {
                let until_ms = until.duration_since(self.0).as_millis();
                Lapses::Until(u64::try_from(until_ms).expect("a time"))
            }
            Lapses::Possible => Lapses::Possible,
            Lapses::Excluded => Lapses::Excluded,
        }
    }

    /// The history of an entry that was answered until 1,000, whose calls failed from 1,200 to 5,000, and that was
    /// answered again at 5,400.
    fn returned(&self) -> AnswerHistory {
        let mut history = AnswerHistory::default();
        self.record(&mut history, 0, 1_000);
        for failed_ms in (1_200..=5_000).step_by(200) {
            history.record_failure(self.at(failed_ms));
        }
        self.record(&mut history, 5_400, 5_400);
        history
    }
}

#[test]
fn lapses_count_from_the_last_failed_call() {
    let clock = Clock::new();
    let mut history = clock.returned();
    assert_eq!(clock.lapses(&history, 5_400), Lapses::Until(6_800));
    assert_eq!(clock.lapses(&history, 6_800), Lapses::Possible);
    clock.record(&mut history, 7_400, 7_400);
    assert_eq!(clock.lapses(&history, 7_700), Lapses::Excluded);
}

/// Guards against a removed upstream that is used on because a call to the store has failed.
#[test]
fn lapses_excluded_without_an_outage() {
    let clock = Clock::new();
    let mut history = AnswerHistory::default();
    clock.record(&mut history, 0, 1_000);
    history.record_failure(clock.at(1_200));
    clock.record(&mut history, 3_099, 3_099);
    assert_eq!(clock.lapses(&history, 3_099), Lapses::Excluded);
}

/// Guards against upstreams that are kept for longer with each call that fails after an outage.
#[test]
fn lapses_not_prolonged_by_later_failures() {
    let clock = Clock::new();
    let mut history = clock.returned();
    for now_ms in (5_600..6_700).step_by(200) {
        history.record_failure(clock.at(now_ms));
        let answered_ms = now_ms + 100;
        clock.record(&mut history, answered_ms, answered_ms);
        assert_eq!(clock.lapses(&history, answered_ms), Lapses::Until(6_800));
    }
}

/// Guards against an entry that takes the cut of its own way to the store for an outage of the store.
#[test]
fn lapses_excluded_if_a_peer_was_answered() {
    let clock = Clock::new();
    let mut history = AnswerHistory::default();
    clock.record(&mut history, 0, 1_000);
    for now_ms in (1_100..5_300).step_by(300) {
        history.record_failure(clock.at(now_ms));
        history.record_peer_answer(clock.answered(now_ms - 100, now_ms - 100));
    }
    clock.record(&mut history, 5_400, 5_400);
    assert_eq!(clock.lapses(&history, 5_400), Lapses::Excluded);
}

/// Guards against an entry that was cut off from its peers as well, and hears only after its own first answer
/// that they were served.
#[test]
fn lapses_excluded_once_a_peer_tells_that_it_was_answered() {
    let clock = Clock::new();
    let mut history = clock.returned();
    history.record_peer_answer(clock.answered(4_000, 5_500));
    assert_eq!(
        clock.lapses(&history, 5_500),
        Lapses::Until(5_600),
        "only from 4,000 on"
    );
    history.record_peer_answer(clock.answered(700, 5_500));
    assert_eq!(clock.lapses(&history, 5_500), Lapses::Excluded);
}

#[test]
fn lapses_excluded_if_peers_were_answered_in_turn() {
    let clock = Clock::new();
    let mut history = clock.returned();
    history.record_peer_answer(clock.answered(4_500, 5_500));
    history.record_peer_answer(clock.answered(0, 2_500));
    assert_eq!(clock.lapses(&history, 5_500), Lapses::Excluded);
}

/// Guards against an entry that keeps a removed upstream, as nobody whom it hears has called the store for
/// some time.
#[test]
fn lapses_keep_nothing_if_no_call_of_its_own_failed() {
    let clock = Clock::new();
    let mut history = AnswerHistory::default();
    history.record_peer_answer(clock.answered(0, 1_000));
    assert_eq!(clock.lapses(&history, 4_000), Lapses::Possible);
    clock.record(&mut history, 5_000, 5_000);
    assert_eq!(clock.lapses(&history, 5_000), Lapses::Possible);
}

/// Guards against an entry that keeps a removed upstream after its way was cut for long, as its last call
/// failed long before the store answered others.
#[test]
fn lapses_keep_nothing_after_rare_calls() {
    let clock = Clock::new();
    let mut history = AnswerHistory::default();
    clock.record(&mut history, 0, 1_000);
    history.record_failure(clock.at(1_200));
    clock.record(&mut history, 6_000, 6_000);
    assert_eq!(clock.lapses(&history, 6_000), Lapses::Possible);
}

/// Guards against an outage that seems shorter than it was, as the first call that was answered after it had
/// begun in it.
#[test]
fn lapses_by_the_arrival_of_the_first_answer() {
    let clock = Clock::new();
    let mut history = AnswerHistory::default();
    clock.record(&mut history, 0, 1_000);
    history.record_failure(clock.at(2_800));
    history.record_failure(clock.at(3_400));
    history.record_answer(clock.at(3_100), clock.answered(4_550, 3_100));
    assert_eq!(
        clock.lapses(&history, 4_550),
        Lapses::Until(4_600),
        "the call that began at 3,400 did not fail"
    );
}

#[test]
fn lapses_possible_if_a_heartbeat_was_late() {
    let clock = Clock::new();
    let mut history = AnswerHistory::default();
    clock.record(&mut history, 0, 1_000);
    history.record_failure(clock.at(2_900));
    clock.record(&mut history, 3_150, 3_150);
    assert_eq!(clock.lapses(&history, 3_150), Lapses::Until(4_700));
}

#[test]
fn lapses_excluded_before_the_first_answer() {
    let clock = Clock::new();
    let mut history = AnswerHistory::default();
    history.record_failure(clock.at(100));
    assert_eq!(clock.lapses(&history, 4_000), Lapses::Excluded);
}

#[test]
fn lapses_need_a_longer_outage_where_heartbeats_are_rarer() {
    let clock = Clock::new();
    let mut history = AnswerHistory::default();
    history.set_upstream_silence_ms(9_000);
    clock.record(&mut history, 0, 1_000);
    history.record_failure(clock.at(6_000));
    clock.record(&mut history, 6_200, 6_200);
    assert_eq!(clock.lapses(&history, 6_200), Lapses::Excluded);
}

#[test]
fn own_answered_begins_anew_after_an_outage() {
    let clock = Clock::new();
    let own = clock.returned().own_answered();
    assert_eq!(own, Some(clock.answered(5_400, 5_400)));
}

#[test]
fn record_endless_answers_and_failures_bounded() {
    let clock = Clock::new();
    let mut history = AnswerHistory::default();
    for round in 0..1_000 {
        clock.record(&mut history, round * 9_000, round * 9_000);
        history.record_failure(clock.at(round * 9_000 + 3_000));
    }
    let latest_ms = 999 * 9_000;
    assert_eq!(
        clock.lapses(&history, latest_ms + 4_000),
        Lapses::Until(latest_ms + 4_800)
    );
}

#[test]
fn answers_told_to_builds_that_know_them() {
    let heartbeat = Heartbeat {
        host: Some(EntryHost::new("hall", 9)),
        knows_eras: true,
        message_level: MESSAGE_LEVEL,
        answered_ages: Some(AnsweredAges {
            first_ms: 90_000,
            latest_ms: 20,
        }),
        ..Heartbeat::default()
    };
    let message = PeerMessage::Heartbeat(heartbeat.clone());
    let bytes = message.encode().expect("a datagram");
    assert_eq!(PeerMessage::decode(&bytes), Some(message));
    let older = PeerMessage::Heartbeat(Heartbeat {
        message_level: REPLICA_AGES_LEVEL,
        answered_ages: None,
        ..heartbeat
    });
    let bytes = older.encode().expect("a datagram");
    assert_eq!(PeerMessage::decode(&bytes), Some(older));
}

#[test]
fn answers_of_long_ago_not_told() {
    let clock = Clock::new();
    let ages = AnsweredAges::new(clock.answered(10, 20), clock.at(61_000));
    assert_eq!(ages, None);
}
