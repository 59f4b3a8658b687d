//! Tests of upstream notices, as entries remember them and exchange updates.

use indexmap::IndexSet;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::notices::limit_end::LimitReport;
use sardinewood::direct::notices::limit_end::LimitStep;
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

fn update(upstream: u32, per_1000_s: Option<u32>, ago_ms: i64) -> NoticeUpdate {
    NoticeUpdate {
        upstream,
        limit: Some(LimitUpdate { per_1000_s, ago_ms }),
        is_leaving: false,
    }
}

#[test]
fn record_another_limit() {
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 0);
    assert_eq!(
        notices.record("i-1", &limited(700), 1_000),
        [NoticeChange::Limited(700)]
    );
    assert_eq!(notices.limits()[&upstream_hash("i-1")], 700);
}

#[test]
fn record_for_another_incarnation() {
    // Guards against a limit that outlives the process that stated it.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1@5", &limited(1_400), 0);
    assert_eq!(notices.record("i-1@6", &UpstreamNotice::default(), 10), []);
    assert_eq!(notices.limits().len(), 1);
    assert!(!notices.limits().contains_key(&upstream_hash("i-1@6")));
}

#[test]
fn record_invalid_limit_keeps_the_previous_and_reports_once() {
    // Guards against a header that is not a number lifting a limit or flooding the log.
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
fn record_answer_without_a_limit_changes_nothing() {
    // Guards against a limit that a single answer lifts, here and at the peers that hear of it.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 1_000);
    let before = notices.updates_for_instance("i-1", 5_000);
    let changes = notices.record("i-1", &UpstreamNotice::default(), 5_000);
    assert!(changes.is_empty());
    assert_eq!(notices.updates_for_instance("i-1", 5_000), before);
}

#[test]
fn merge_older_answer_changes_nothing() {
    // Guards against a limit that was lifted and comes back from an entry that was disconnected.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 1_000);
    for now_ms in 4_997..=5_000 {
        notices.record_limit_report(upstream_hash("i-1"), LimitReport::Omitted, 80, now_ms);
    }
    assert_eq!(notices.limited_count(), 0);
    let old = update(upstream_hash("i-1"), Some(1_400), 3_000);
    assert!(notices.merge(&[old], 6_000).is_empty());
    assert_eq!(notices.limited_count(), 0);
}

#[test]
fn merge_statement_from_before_the_omissions_keeps_them() {
    // Guards against a limit that stays in force because a peer resends a statement of it that is older than
    // the answers without it.
    let upstream = upstream_hash("i-1");
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 0);
    for now_ms in [1_000, 1_010, 1_020] {
        notices.record_limit_report(upstream, LimitReport::Omitted, 80, now_ms);
    }
    for at_ms in [500, 980] {
        notices.merge(&[update(upstream, Some(1_400), 1_030 - at_ms)], 1_030);
    }
    let step = notices.record_limit_report(upstream, LimitReport::Omitted, 80, 2_000);
    assert_eq!(step, LimitStep::End);
}

#[test]
fn merge_statement_from_after_the_omissions_keeps_the_limit() {
    // Guards against a limit that ends although a peer heard of it after the answers without it.
    let upstream = upstream_hash("i-1");
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 0);
    for now_ms in [1_000, 1_010, 1_020] {
        notices.record_limit_report(upstream, LimitReport::Omitted, 80, now_ms);
    }
    notices.merge(&[update(upstream, Some(1_400), 10)], 1_040);
    let step = notices.record_limit_report(upstream, LimitReport::Omitted, 80, 2_040);
    assert_eq!(step, LimitStep::Probe);
}

#[test]
fn record_limit_report_after_the_end_resumes_the_limit() {
    // Guards against a limit that seemed to have ended, and stays so although a peer that has not heard of
    // the end still receives answers that state it.
    let upstream = upstream_hash("i-1");
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 0);
    for _ in 0..4 {
        notices.record_limit_report(upstream, LimitReport::Omitted, 80, 2_000);
    }
    assert_eq!(notices.limited_count(), 0);
    let step = notices.record_limit_report(upstream, LimitReport::Stated, 80, 2_100);
    assert_eq!(step, LimitStep::Resume);
    assert_eq!(notices.limits()[&upstream], 1_400);
}

#[test]
fn merge_relayed_end_does_not_revoke_a_new_statement() {
    // Guards against entries that tell each other by turns that a limit has ended and that it has not, and
    // grant all that waits each time.
    let upstream = upstream_hash("i-1");
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 1_000);
    // The end was decided before that, and was on its way for some time.
    assert!(
        notices
            .merge(&[update(upstream, None, 0)], 1_100)
            .is_empty()
    );
    assert_eq!(notices.limited_count(), 1);
}

#[test]
fn merge_end_lets_the_rate_rise() {
    // Guards against an owner of the queue that grants all that waits when a peer tells it the end of a
    // limit.
    let upstream = upstream_hash("i-1");
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 1_000);
    assert_eq!(
        notices.merge(&[update(upstream, None, 0)], 3_000),
        [upstream]
    );
    assert_eq!(notices.limited_count(), 0);
    assert_eq!(notices.rates(3_000)[&upstream], 1_400);
    assert!(notices.rates(5_000).is_empty());
}

#[test]
fn merge_in_any_order_the_latest_answer_wins() {
    let name = upstream_hash("i-1");
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut all = [
            update(name, Some(1_400), 400),
            update(name, None, 300),
            update(name, Some(700), 200),
            update(name, Some(900), 100),
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
fn merge_from_before_the_process_started() {
    let mut notices = UpstreamNotices::default();
    let changed = notices.merge(&[update(7, Some(1_400), 60_000)], 20);
    assert_eq!(changed, [7]);
}

#[test]
fn merge_absurd_times() {
    // Guards against an overflow that panics the traffic thread.
    let mut notices = UpstreamNotices::default();
    for ago_ms in [i64::MIN, i64::MAX, -1, 0] {
        notices.merge(&[update(7, Some(u32::MAX), ago_ms)], 20);
    }
    assert_eq!(notices.next_updates(30).len(), 1);
}

#[test]
fn merge_of_endless_upstreams_bounded() {
    // Guards against unbounded memory use by a peer, or by upstreams that are replaced again and again.
    let mut notices = UpstreamNotices::default();
    for upstream in 0..100_000 {
        notices.merge(&[update(upstream, Some(1_400), 0)], 10);
    }
    assert!(notices.limited_count() <= 4_096);
    notices.record("i-1", &limited(700), 20);
    assert_eq!(
        notices.limits()[&upstream_hash("i-1")],
        700,
        "stated to this entry"
    );
    notices.expire(&[7].into_iter().collect(), 70_000);
    assert_eq!(notices.limited_count(), 1);
}

#[test]
fn expire_keeps_the_limit_of_a_listed_upstream() {
    // Guards against a limit that is forgotten because no answer arrived for some time.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(400), 0);
    let listed = [upstream_hash("i-1")].into_iter().collect();
    notices.expire(&listed, 3_600_000);
    assert_eq!(notices.limited_count(), 1);
}

#[test]
fn next_updates_fit_into_a_datagram() {
    // Guards against updates that are never sent because their message is too long.
    let mut notices = UpstreamNotices::default();
    for upstream in 0..200 {
        let one = update(u32::MAX - upstream, Some(u32::MAX), i64::MAX);
        notices.merge(&[one], u64::MAX);
    }
    let updates = notices.next_updates(u64::MAX);
    assert!(updates.len() >= 50);
    assert!(PeerMessage::UpstreamNotices(updates).encode().is_some());
    let changed: Vec<u32> = (0..200).map(|number| u32::MAX - number).collect();
    let forwarded = notices.updates_for(&changed, u64::MAX);
    assert!(PeerMessage::UpstreamNotices(forwarded).encode().is_some());
}

#[test]
fn next_updates_take_turns() {
    let mut notices = UpstreamNotices::default();
    for upstream in 0..100 {
        notices.merge(&[update(upstream, Some(1_400), 0)], 10);
    }
    let mut names: Vec<u32> = (0..2)
        .flat_map(|_| notices.next_updates(20))
        .map(|update| update.upstream)
        .collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), 100);
}

#[test]
fn resend_due_once_a_second() {
    // Guards against a resend to the owner of an admission queue with every answer.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &limited(1_400), 5_000);
    let due = (5_000..9_000).filter(|now_ms| notices.take_due_resend("i-1", 1_000, *now_ms));
    assert_eq!(due.count(), 4);
}

fn leaving() -> UpstreamNotice {
    UpstreamNotice {
        is_leaving: true,
        ..UpstreamNotice::default()
    }
}

#[test]
fn record_leaving_once() {
    // Guards against a log line, and a datagram to every entry, for each answer of an upstream that is
    // shutting down.
    let mut notices = UpstreamNotices::default();
    assert_eq!(
        notices.record("i-1", &leaving(), 0),
        [NoticeChange::Leaving]
    );
    assert_eq!(notices.record("i-1", &leaving(), 10), []);
}

#[test]
fn merge_leaving_in_any_order() {
    // Guards against an update of the limit that revokes the shutdown.
    let (mut one, mut other) = (UpstreamNotices::default(), UpstreamNotices::default());
    one.record("i-1", &limited(700), 0);
    other.record("i-1", &leaving(), 5);
    assert_eq!(
        one.merge(&other.updates_for_instance("i-1", 10), 10).len(),
        1
    );
    other.merge(&one.updates_for_instance("i-1", 20), 20);
    one.merge(&[update(upstream_hash("i-1"), None, 0)], 30);
    assert!(one.is_leaving("i-1") && other.is_leaving("i-1"));
}

#[test]
fn expire_keeps_a_leaving_upstream_while_it_is_listed() {
    // Guards against an upstream that is used again because it answered nothing for some time.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &leaving(), 0);
    notices.expire(&[upstream_hash("i-1")].into_iter().collect(), 3_600_000);
    assert!(notices.is_leaving("i-1"));
    notices.expire(&[7].into_iter().collect(), 3_600_000);
    assert!(!notices.is_leaving("i-1"));
}

fn backoff(backoff_ms: u32) -> UpstreamNotice {
    UpstreamNotice {
        backoff_ms: NoticeField::Value(backoff_ms),
        ..UpstreamNotice::default()
    }
}

#[test]
fn record_longer_backoff() {
    // Guards against a later, shorter backoff that replaces the previous one.
    let mut notices = UpstreamNotices::default();
    let name = upstream_hash("i-1");
    assert_eq!(
        notices.record("i-1", &backoff(3_000), 0),
        [NoticeChange::BackingOff(3_000)]
    );
    assert_eq!(notices.record("i-1", &backoff(500), 1_000), []);
    assert_eq!(notices.backoffs(1_000)[&name], 3_000);
    assert_eq!(
        notices.record("i-1", &backoff(3_000), 2_000),
        [NoticeChange::BackingOff(3_000)]
    );
    assert_eq!(notices.backoffs(4_999)[&name], 5_000);
    assert!(notices.backoffs(5_000).is_empty());
}

#[test]
fn record_endless_backoff_bounded() {
    // Guards against a single header that makes an upstream unusable for the lifetime of an entry.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &backoff(u32::MAX), 0);
    assert!(notices.backoffs(600_000).is_empty());
    assert_eq!(notices.backoffs(599_999).len(), 1);
}

#[test]
fn backoff_not_sent_to_other_entries() {
    // The other entries were not asked to back off, and can use the capacity that this one may not.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &backoff(3_000), 0);
    assert!(notices.updates_for_instance("i-1", 10).is_empty());
    assert!(notices.next_updates(10).is_empty());
}

#[test]
fn expire_keeps_a_backoff_of_an_unlisted_upstream() {
    // Guards against a backoff that ends because the upstream is briefly missing from the store.
    let mut notices = UpstreamNotices::default();
    notices.record("i-1", &backoff(300_000), 0);
    notices.expire(&[7].into_iter().collect(), 200_000);
    assert_eq!(notices.backoffs(200_000).len(), 1);
}

/// Guards against notices of upstreams that have ended, which entries resend to each other for good,
/// until there is no room for others.
#[test]
fn expire_unlisted_upstream_known_to_several_entries() {
    let mut entries = [UpstreamNotices::default(), UpstreamNotices::default()];
    let [one, other] = &mut entries;
    one.record("i-1", &leaving(), 0);
    one.record("i-2", &limited(1_400), 0);
    for second in 1..=300 {
        // The two clocks differ, as entries start at different times.
        let (now_ms, other_now_ms) = (second * 1_000, second * 1_000 + 450);
        other.merge(&one.next_updates(now_ms), other_now_ms);
        one.merge(&other.next_updates(other_now_ms), now_ms);
        one.expire(&IndexSet::new(), now_ms);
        other.expire(&IndexSet::new(), other_now_ms);
    }
    assert!(one.is_empty() && other.is_empty());
}
