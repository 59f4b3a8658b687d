//! What upstreams say of themselves, as entries remember it and tell each other.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::notices::notice::NoticeField;
use sardinewood::direct::notices::notice::UpstreamNotice;
use sardinewood::direct::notices::upstream_notices::NoticeChange;
use sardinewood::direct::notices::upstream_notices::UpstreamNotices;
use sardinewood::direct::notices::upstream_state::LimitUpdate;
use sardinewood::direct::notices::upstream_state::NoticeUpdate;
use sardinewood::direct::placement::dispatch::upstream_hash;

fn limited(limit_per_1000_s: u32) -> UpstreamNotice {
    UpstreamNotice {
        limit_per_1000_s: NoticeField::Value(limit_per_1000_s),
        ..UpstreamNotice::default()
    }
}

fn told(upstream: u32, per_1000_s: Option<u32>, ago_ms: i64) -> NoticeUpdate {
    NoticeUpdate {
        upstream,
        limit: Some(LimitUpdate { per_1000_s, ago_ms }),
        is_leaving: false,
    }
}

#[test]
fn said_another_limit() {
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 0);
    assert_eq!(
        notices.record("i-1", &limited(700), 1_000),
        [NoticeChange::Limited(700)]
    );
    assert_eq!(notices.limits()[&upstream_hash("i-1")], 700);
}

#[test]
fn said_by_another_incarnation() {
    // Guards against a limit that outlives the process that named it.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1@5", &limited(1_400), 0);
    assert_eq!(notices.record("i-1@6", &UpstreamNotice::default(), 10), []);
    assert_eq!(notices.limits().len(), 1);
    assert!(!notices.limits().contains_key(&upstream_hash("i-1@6")));
}

#[test]
fn said_unreadable_keeps_what_held_and_is_told_once() {
    // Guards against a limit that is lifted, or a log that is flooded, by a header that is no number.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 0);
    let unreadable = UpstreamNotice {
        limit_per_1000_s: NoticeField::Invalid("NaN".into()),
        ..UpstreamNotice::default()
    };
    let change = NoticeChange::InvalidLimit("NaN".into());
    assert_eq!(notices.record("i-1", &unreadable, 10), [change]);
    for now_ms in 11..100 {
        assert_eq!(notices.record("i-1", &unreadable, now_ms), []);
    }
    assert_eq!(notices.limited_count(), 1);
}

#[test]
fn hear_older_answer_changes_nothing() {
    // Guards against an entry that was cut off and brings back a limit that has ended.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 1_000);
    notices.record("i-1", &UpstreamNotice::default(), 5_000);
    let old = told(upstream_hash("i-1"), Some(1_400), 3_000);
    assert!(notices.merge(&[old], 6_000).is_empty());
    assert_eq!(notices.limited_count(), 0);
}

#[test]
fn hear_in_any_order_the_latest_answer_holds() {
    let name = upstream_hash("i-1");
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut all = [
            told(name, Some(1_400), 400),
            told(name, None, 300),
            told(name, Some(700), 200),
            told(name, Some(900), 100),
        ];
        all.shuffle(&mut random);
        let mut notices = UpstreamNotices::default();
        for one in all {
            notices.merge(&[one], 50);
        }
        assert_eq!(notices.limits()[&name], 900, "seed {seed}");
    }
}

#[test]
fn hear_before_the_process_began() {
    let mut notices = UpstreamNotices::default();
    let heard = notices.merge(&[told(7, Some(1_400), 60_000)], 20);
    assert_eq!(heard, [7]);
}

#[test]
fn hear_absurd_times() {
    // Guards against an overflow that ends the traffic thread.
    let mut notices = UpstreamNotices::default();
    for ago_ms in [i64::MIN, i64::MAX, -1, 0] {
        notices.merge(&[told(7, Some(u32::MAX), ago_ms)], 20);
    }
    assert_eq!(notices.next_updates(30).len(), 1);
}

#[test]
fn hear_without_end_bounded() {
    // Guards against a peer, or a fleet that is replaced again and again, that fills the memory.
    let mut notices = UpstreamNotices::default();
    for upstream in 0..100_000 {
        notices.merge(&[told(upstream, Some(1_400), 0)], 10);
    }
    assert!(notices.limited_count() <= 4_096);
    notices.record("i-1", &limited(700), 20);
    assert_eq!(notices.limits()[&upstream_hash("i-1")], 700, "its own word");
    notices.expire(&[7].into_iter().collect(), 70_000);
    assert_eq!(notices.limited_count(), 1);
}

#[test]
fn sweep_keeps_the_limit_of_a_listed_upstream() {
    // Guards against a limit that is forgotten since no answer came for some time.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(400), 0);
    let listed = [upstream_hash("i-1")].into_iter().collect();
    notices.expire(&listed, 3_600_000);
    assert_eq!(notices.limited_count(), 1);
}

#[test]
fn next_told_fits_into_a_datagram() {
    // Guards against news that are never sent, since their message is too long.
    let mut notices = UpstreamNotices::default();
    for upstream in 0..200 {
        let one = told(u32::MAX - upstream, Some(u32::MAX), i64::MAX);
        notices.merge(&[one], u64::MAX);
    }
    let told = notices.next_updates(u64::MAX);
    assert!(told.len() >= 50);
    assert!(PeerMessage::UpstreamNotices(told).encode().is_some());
    let changed: Vec<u32> = (0..200).map(|number| u32::MAX - number).collect();
    let passed_on = notices.updates_for(&changed, u64::MAX);
    assert!(PeerMessage::UpstreamNotices(passed_on).encode().is_some());
}

#[test]
fn next_told_takes_turns() {
    let mut notices = UpstreamNotices::default();
    for upstream in 0..100 {
        notices.merge(&[told(upstream, Some(1_400), 0)], 10);
    }
    let mut names: Vec<u32> = (0..2)
        .flat_map(|_| notices.next_updates(20))
        .map(|told| told.upstream)
        .collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), 100);
}

#[test]
fn repeat_due_once_a_second() {
    // Guards against an entry that tells the keeper of a door with every answer.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 5_000);
    let due = (5_000..9_000).filter(|now_ms| notices.take_due_resend("i-1", *now_ms));
    assert_eq!(due.count(), 4);
}

fn leaving() -> UpstreamNotice {
    UpstreamNotice {
        is_leaving: true,
        ..UpstreamNotice::default()
    }
}

#[test]
fn said_leaving_once() {
    // Guards against a log line, and a datagram to every entry, with each answer of one that leaves.
    let mut notices = UpstreamNotices::default();
    assert_eq!(
        notices.record("i-1", &leaving(), 0),
        [NoticeChange::Leaving]
    );
    assert_eq!(notices.record("i-1", &leaving(), 10), []);
}

#[test]
fn hear_leaving_in_any_order() {
    // Guards against a word of the limit that takes the leaving back.
    let (mut one, mut other) = (UpstreamNotices::default(), UpstreamNotices::default());
    one.record("i-1", &limited(700), 0);
    other.record("i-1", &leaving(), 5);
    assert_eq!(
        one.merge(&other.updates_for_instance("i-1", 10), 10).len(),
        1
    );
    other.merge(&one.updates_for_instance("i-1", 20), 20);
    one.merge(&[told(upstream_hash("i-1"), None, 0)], 30);
    assert!(one.is_leaving("i-1") && other.is_leaving("i-1"));
}

#[test]
fn sweep_remembers_one_that_leaves_while_it_is_listed() {
    // Guards against an upstream that is used again since nobody has asked it for some time.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &leaving(), 0);
    notices.expire(&[upstream_hash("i-1")].into_iter().collect(), 3_600_000);
    assert!(notices.is_leaving("i-1"));
    notices.expire(&[7].into_iter().collect(), 3_600_000);
    assert!(!notices.is_leaving("i-1"));
}

fn rest(backoff_ms: u32) -> UpstreamNotice {
    UpstreamNotice {
        backoff_ms: NoticeField::Value(backoff_ms),
        ..UpstreamNotice::default()
    }
}

#[test]
fn said_rest_again_longer() {
    // Guards against a later, shorter rest that ends the one before.
    let mut notices = UpstreamNotices::default();
    let name = upstream_hash("i-1");
    assert_eq!(
        notices.record("i-1", &rest(3_000), 0),
        [NoticeChange::BackingOff(3_000)]
    );
    assert_eq!(notices.record("i-1", &rest(500), 1_000), []);
    assert_eq!(notices.backoffs(1_000)[&name], 3_000);
    assert_eq!(
        notices.record("i-1", &rest(3_000), 2_000),
        [NoticeChange::BackingOff(3_000)]
    );
    assert_eq!(notices.backoffs(4_999)[&name], 5_000);
    assert!(notices.backoffs(5_000).is_empty());
}

#[test]
fn said_rest_without_end_bounded() {
    // Guards against an upstream that is lost for the life of an entry by one header.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &rest(u32::MAX), 0);
    assert!(notices.backoffs(600_000).is_empty());
    assert_eq!(notices.backoffs(599_999).len(), 1);
}

#[test]
fn rest_not_told_to_other_entries() {
    // They were not asked, and what one entry may not use is room for the others.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &rest(3_000), 0);
    assert!(notices.updates_for_instance("i-1", 10).is_empty());
    assert!(notices.next_updates(10).is_empty());
}

#[test]
fn sweep_keeps_a_rest_of_an_unlisted_upstream() {
    // Guards against a rest that ends since the store has lost the upstream's entry for a moment.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &rest(300_000), 0);
    notices.expire(&[7].into_iter().collect(), 200_000);
    assert_eq!(notices.backoffs(200_000).len(), 1);
}
