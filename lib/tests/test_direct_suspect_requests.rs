//! Tests of which requests are quarantined after crashes of upstreams, without a network.

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::membership::peer_message::PeerMessage;
use sardinewood::direct::quarantine::fingerprint::Fingerprint;
use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
use sardinewood::direct::quarantine::suspect::CrashUpdate;
use sardinewood::direct::quarantine::suspect::QuarantineUpdate;
use sardinewood::direct::quarantine::suspect::SuspectUpdate;
use sardinewood::direct::quarantine::suspect_requests::QuarantineDecision;
use sardinewood::direct::quarantine::suspect_requests::SuspectRequests;

const MINUTE_MS: u64 = 60_000;

fn request(number: u32) -> Fingerprint {
    Fingerprint::of(FingerprintInput {
        method: "POST",
        path: "/notes/",
        customer: None,
        body: &number.to_be_bytes(),
    })
}

/// Records a crash of an upstream during runs that started 50 ms earlier.
fn crash(suspects: &mut SuspectRequests, upstream: u32, at_ms: u64, requests: &[u32]) {
    let runs: Vec<(Fingerprint, u64)> = requests
        .iter()
        .map(|number| (request(*number), at_ms - 50))
        .collect();
    suspects.record_crash(upstream, at_ms, &runs, at_ms);
}

fn is_quarantined(suspects: &SuspectRequests, number: u32, now_ms: u64) -> bool {
    matches!(
        suspects.decide(request(number), now_ms),
        QuarantineDecision::Refuse { .. }
    )
}

/// Returns a state in which request 1 is quarantined after three crashes, at 1, 2 and 3 s.
fn quarantined() -> SuspectRequests {
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=3 {
        crash(&mut suspects, upstream, u64::from(upstream) * 1_000, &[1]);
    }
    suspects
}

fn send_updates(from: &SuspectRequests, to: &mut SuspectRequests, now_ms: u64) {
    to.merge(&from.all_updates(now_ms), now_ms);
}

#[test]
fn third_crash_quarantines() {
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=3 {
        assert!(!is_quarantined(&suspects, 1, 3_000));
        crash(&mut suspects, upstream, u64::from(upstream) * 1_000, &[1]);
    }
    assert!(is_quarantined(&suspects, 1, 3_000));
    assert!(!is_quarantined(&suspects, 2, 3_000));
}

#[test]
fn same_crash_seen_twice_counts_once() {
    // Two copies of a request run on one upstream, and their connections break one after the other.
    let mut suspects = SuspectRequests::default();
    for at_ms in [1_000, 1_001, 1_002, 1_003] {
        crash(&mut suspects, 1, at_ms, &[1, 1]);
    }
    assert!(!is_quarantined(&suspects, 1, 1_003));
}

#[test]
fn rack_lost_under_a_popular_request_is_one_coincidence() {
    // A popular request runs on all upstreams of a rack, which loses power. Its callers must not be
    // refused, since the request did not cause the crashes.
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=5 {
        crash(&mut suspects, upstream, 1_000, &[1]);
    }
    assert!(!is_quarantined(&suspects, 1, 1_000));
}

#[test]
fn copies_in_flight_quarantined_with_the_next_crash() {
    // Several concurrent copies of a request that crashes upstreams crash as many of them. The first
    // crash by a later copy is enough; otherwise each round of copies would cost as many again.
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=8 {
        crash(&mut suspects, upstream, 1_000, &[1]);
    }
    crash(&mut suspects, 9, 1_500, &[1]);
    assert!(is_quarantined(&suspects, 1, 1_500));
}

#[test]
fn success_clears() {
    // A harmless request loses its upstream twice and then succeeds. Crashes from before the success
    // must not count together with later ones.
    let mut suspects = SuspectRequests::default();
    crash(&mut suspects, 1, 1_000, &[1]);
    crash(&mut suspects, 2, 2_000, &[1]);
    assert!(suspects.clear(request(1), 2_500));
    crash(&mut suspects, 3, 3_000, &[1]);
    crash(&mut suspects, 4, 4_000, &[1]);
    assert!(!is_quarantined(&suspects, 1, 4_000));
    crash(&mut suspects, 5, 5_000, &[1]);
    assert!(is_quarantined(&suspects, 1, 5_000));
}

#[test]
fn cleared_request_not_suspected_again_by_an_old_update() {
    // An entry clears a request; a peer that does not know this yet sends its crashes again.
    let before = quarantined();
    let mut suspects = before.clone();
    suspects.clear(request(1), 3_500);
    send_updates(&before, &mut suspects, 3_600);
    assert_eq!(
        suspects.decide(request(1), 3_600),
        QuarantineDecision::Allow
    );
    let mut peer = before;
    send_updates(&suspects, &mut peer, 3_700);
    assert_eq!(peer.decide(request(1), 3_700), QuarantineDecision::Allow);
}

#[test]
fn crashes_seen_by_three_entries_are_one_decision() {
    // A caller retries at a different entry each time, so that each entry sees only one crash.
    let mut entries = [
        SuspectRequests::default(),
        SuspectRequests::default(),
        SuspectRequests::default(),
    ];
    for upstream in 1..=3_u32 {
        let at_ms = u64::from(upstream) * 1_000;
        let number = upstream as usize - 1;
        crash(&mut entries[number], upstream, at_ms, &[1]);
        let updates = entries[number].all_updates(at_ms);
        for entry in &mut entries {
            entry.merge(&updates, at_ms + 5);
        }
    }
    for entry in &entries {
        assert!(is_quarantined(entry, 1, 3_010));
    }
}

#[test]
fn neighbours_of_a_deadly_request_not_quarantined() {
    // Other requests run beside one that crashes upstreams, each on one or two of these upstreams.
    let mut suspects = SuspectRequests::default();
    crash(&mut suspects, 1, 1_000, &[1, 7, 10, 11]);
    crash(&mut suspects, 2, 2_000, &[1, 7, 12, 13]);
    crash(&mut suspects, 3, 3_000, &[1, 14]);
    assert!(is_quarantined(&suspects, 1, 4_000));
    assert_eq!(suspects.counts(4_000).quarantined, 1);
}

#[test]
fn neighbour_that_loses_a_third_upstream_tried_soon() {
    // A request runs beside one that crashes upstreams twice and then loses an upstream by chance. It
    // shares two of its three crashes with the other, so its trial is due within three seconds.
    let mut suspects = SuspectRequests::default();
    crash(&mut suspects, 1, 1_000, &[1, 7]);
    crash(&mut suspects, 2, 2_000, &[1, 7]);
    crash(&mut suspects, 3, 3_000, &[1]);
    crash(&mut suspects, 4, 4_000, &[7]);
    assert!(is_quarantined(&suspects, 7, 4_000));
    assert_eq!(
        suspects.decide(request(7), 7_000),
        QuarantineDecision::AllowTrial
    );
}

#[test]
fn request_always_beside_a_deadly_one_quarantined_until_its_trial() {
    // Two requests that ran together each time can't be distinguished, so both are quarantined, with
    // trials soon and at different times. The one whose trial succeeds is cleared.
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=3 {
        crash(
            &mut suspects,
            upstream,
            u64::from(upstream) * 1_000,
            &[1, 2],
        );
    }
    assert!(is_quarantined(&suspects, 1, 3_000) && is_quarantined(&suspects, 2, 3_000));
    let due_ms = 3_000 + 3_000;
    for number in [1, 2] {
        assert_eq!(
            suspects.decide(request(number), due_ms),
            QuarantineDecision::AllowTrial
        );
        suspects.begin_trial(request(number), due_ms);
    }
    suspects.clear(request(2), due_ms + 300);
    crash(&mut suspects, 9, due_ms + 300, &[1]);
    assert!(is_quarantined(&suspects, 1, due_ms + 5 * MINUTE_MS));
    assert_eq!(
        suspects.decide(request(2), due_ms + 300),
        QuarantineDecision::Allow
    );
}

#[test]
fn popular_request_beside_several_deadly_ones_tried_soon() {
    // A popular request runs on every upstream, so it collects the crashes of three requests that cause
    // them and is the first to have three. Its callers were refused for a minute, at every entry. Once
    // the other three are quarantined as well, it shares each of its crashes with one of them, and its
    // trial is due within three seconds.
    let mut suspects = SuspectRequests::default();
    let mut at_ms = 0;
    for round in 0..3 {
        for deadly in 1..=3 {
            at_ms += 200;
            // While the popular request is quarantined, it does not run.
            let popular = if is_quarantined(&suspects, 9, at_ms) {
                deadly
            } else {
                9
            };
            crash(&mut suspects, round * 3 + deadly, at_ms, &[deadly, popular]);
        }
    }
    for deadly in 1..=3 {
        assert!(is_quarantined(&suspects, deadly, at_ms), "{deadly}");
    }
    let tried_at_ms = at_ms + 3_000;
    assert_eq!(
        suspects.decide(request(9), tried_at_ms),
        QuarantineDecision::AllowTrial
    );
    // Those of the other three whose trials are due as early are quarantined for long after them.
    for deadly in 1..=3 {
        if suspects.decide(request(deadly), tried_at_ms) == QuarantineDecision::AllowTrial {
            suspects.begin_trial(request(deadly), tried_at_ms);
            crash(&mut suspects, 90 + deadly, tried_at_ms + 60, &[deadly]);
        }
        assert!(
            is_quarantined(&suspects, deadly, tried_at_ms + 30_000),
            "{deadly}"
        );
    }
}

#[test]
fn trial_at_one_entry_holds_back_the_others() {
    // The quarantine expires at all entries at once. Without coordination, each would run a trial and
    // lose an upstream.
    let mut first = quarantined();
    let mut second = quarantined();
    let due_ms = 3_000 + MINUTE_MS;
    first.begin_trial(request(1), due_ms);
    send_updates(&first, &mut second, due_ms + 5);
    assert!(is_quarantined(&second, 1, due_ms + 10));
    // The trial has no outcome, since its caller left. Another entry may run one.
    let later_ms = due_ms + 2_100;
    assert_eq!(
        second.decide(request(1), later_ms),
        QuarantineDecision::AllowTrial
    );
}

#[test]
fn failed_trial_quarantines_longer_everywhere() {
    let mut first = quarantined();
    let mut second = quarantined();
    let due_ms = 3_000 + MINUTE_MS;
    first.begin_trial(request(1), due_ms);
    crash(&mut first, 9, due_ms + 100, &[1]);
    send_updates(&first, &mut second, due_ms + 105);
    // An older update of the peer does not restore the shorter quarantine.
    send_updates(&quarantined(), &mut second, due_ms + 110);
    for entry in [&first, &second] {
        assert!(is_quarantined(entry, 1, due_ms + 9 * MINUTE_MS));
        let late_ms = due_ms + 11 * MINUTE_MS;
        assert_eq!(
            entry.decide(request(1), late_ms),
            QuarantineDecision::AllowTrial
        );
    }
}

#[test]
fn deadly_request_costs_few_upstreams_in_a_day() {
    // A caller that retries all day gets one trial after a minute, ten minutes, two hours and a day, and
    // each costs one upstream.
    let mut suspects = SuspectRequests::default();
    let mut crashes = 0;
    let day_ms = 24 * 60 * MINUTE_MS;
    for at_ms in (1_000..day_ms).step_by(1_000) {
        match suspects.decide(request(1), at_ms) {
            QuarantineDecision::Refuse { .. } => continue,
            QuarantineDecision::AllowTrial => suspects.begin_trial(request(1), at_ms),
            QuarantineDecision::Allow => {}
        }
        crashes += 1;
        crash(&mut suspects, crashes, at_ms + 60, &[1]);
        suspects.expire(at_ms + 60);
    }
    assert_eq!(crashes, 3 + 3);
}

#[test]
fn broken_connections_count_before_crashes_are_confirmed() {
    // A stream is resumed at the next upstream milliseconds after the first one crashed, and confirming
    // the crash takes longer. If broken connections did not count, a single request to a route with
    // many attempts would crash as many upstreams.
    let mut suspects = SuspectRequests::default();
    assert!(suspects.may_retry(request(1), 2));
    assert!(!suspects.may_retry(request(1), 3));
    crash(&mut suspects, 1, 1_000, &[1]);
    assert!(suspects.may_retry(request(1), 1));
    assert!(!suspects.may_retry(request(1), 2));
    let quarantined = quarantined();
    assert!(!quarantined.may_retry(request(1), 0), "a trial is one run");
}

#[test]
fn endless_new_bodies_take_bounded_memory_and_release_nothing() {
    // A caller crashes upstreams with a new body each time. Quarantined requests stay tracked, since they
    // are known to crash upstreams, and the oldest of the others are evicted.
    let mut suspects = quarantined();
    for number in 0..5_000 {
        crash(
            &mut suspects,
            number,
            4_000 + u64::from(number),
            &[100 + number],
        );
    }
    assert!(suspects.counts(9_000).tracked <= 1_024);
    assert!(is_quarantined(&suspects, 1, 9_000));
}

#[test]
fn old_crashes_expire_despite_updates() {
    // Two entries keep exchanging updates. If each update refreshed the state, neither entry would ever
    // drop it, and two crashes of last week would count together with one of today.
    let mut first = SuspectRequests::default();
    crash(&mut first, 1, 1_000, &[1]);
    let mut second = first.clone();
    for now_ms in (1_000..40 * MINUTE_MS).step_by(500) {
        first.expire(now_ms);
        send_updates(&first, &mut second, now_ms + 3);
        second.expire(now_ms + 200);
        send_updates(&second, &mut first, now_ms + 203);
    }
    assert!(first.is_empty() && second.is_empty());
}

#[test]
fn new_entry_expires_state_with_the_others() {
    // The clock of a new entry starts long after the crashes that peers report.
    let mut old = SuspectRequests::default();
    crash(&mut old, 1, 1_000, &[1]);
    let mut young = SuspectRequests::default();
    young.merge(&old.all_updates(9 * MINUTE_MS), 100);
    assert!(!young.is_empty());
    young.expire(100 + 2 * MINUTE_MS);
    assert!(young.is_empty());
}

#[test]
fn fullest_message_fits_into_a_datagram() {
    let mut suspects = SuspectRequests::default();
    let day_ms = 24 * 60 * MINUTE_MS;
    for number in 0..40 {
        for upstream in 0..9 {
            crash(
                &mut suspects,
                u32::MAX - upstream,
                day_ms + u64::from(upstream) * 1_000,
                &[number],
            );
        }
    }
    let updates = suspects.next_updates(2 * day_ms);
    assert!(updates.len() > 5, "{}", updates.len());
    assert!(PeerMessage::SuspectRequests(updates).encode().is_some());
    let all: Vec<Fingerprint> = (0..40).map(request).collect();
    let updates = suspects.updates_for(&all, 2 * day_ms);
    assert!(PeerMessage::SuspectRequests(updates).encode().is_some());
}

#[test]
fn next_updates_take_turns() {
    let mut suspects = quarantined();
    for number in 0..100 {
        crash(&mut suspects, number, 4_000, &[100 + number]);
    }
    let mut peer = SuspectRequests::default();
    for round in 0..20 {
        let updates = suspects.next_updates(5_000);
        assert!(
            updates
                .iter()
                .any(|update| update.fingerprint == request(1)),
            "{round}"
        );
        peer.merge(&updates, 5_000);
    }
    assert_eq!(peer.counts(5_000).tracked, 101);
}

/// Simulates a caller that sends a request up to six times, with runs of `run_ms`, while one of the
/// upstreams crashes every `every_ms`. Returns whether the request was quarantined at some time.
fn is_quarantined_by_chance(
    random: &mut StdRng,
    upstreams: u32,
    every_ms: u64,
    run_ms: u64,
) -> bool {
    let mut suspects = SuspectRequests::default();
    let mut now_ms = 1_000;
    for _ in 0..6 {
        let own = random.random_range(0..upstreams);
        let crashed_at = (now_ms..now_ms + run_ms)
            .filter(|at_ms| at_ms % every_ms == 0)
            .find(|_| random.random_range(0..upstreams) == own);
        let Some(at_ms) = crashed_at else {
            return false;
        };
        suspects.record_crash(random.random(), at_ms, &[(request(1), now_ms)], at_ms);
        if is_quarantined(&suspects, 1, at_ms) {
            return true;
        }
        now_ms = at_ms + 150;
    }
    false
}

#[test]
fn flapping_upstreams_quarantine_few_requests() {
    // Upstreams keep crashing for reasons unrelated to requests: one of eight every half second, with
    // runs of 100 ms and of 1 s. A request is quarantined only if it loses three upstreams in a row.
    let mut random = StdRng::seed_from_u64(33);
    let mut share = |run_ms| {
        const CALLERS: u32 = 20_000;
        let is_quarantined = |_: &u32| is_quarantined_by_chance(&mut random, 8, 500, run_ms);
        f64::from(u32::try_from((0..CALLERS).filter(is_quarantined).count()).unwrap())
            / f64::from(CALLERS)
    };
    let short = share(100);
    let long = share(1_000);
    println!("quarantined by chance: {short} of short runs, {long} of long ones");
    assert!(short < 0.001, "{short}");
    assert!(long < 0.02, "{long}");
}

/// An event at one of three entries.
#[derive(Clone, Copy, Debug)]
enum Step {
    Crash {
        entry: usize,
        upstream: u32,
        request: u32,
    },
    Clear {
        entry: usize,
        request: u32,
    },
    Trial {
        entry: usize,
        request: u32,
    },
    SendUpdates {
        from: usize,
        to: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..3_usize;
    prop_oneof![
        4 => (entry.clone(), 0..20_u32, 0..2_u32)
            .prop_map(|(entry, upstream, request)| Step::Crash { entry, upstream, request }),
        1 => (entry.clone(), 0..2_u32).prop_map(|(entry, request)| Step::Clear { entry, request }),
        1 => (entry.clone(), 0..2_u32).prop_map(|(entry, request)| Step::Trial { entry, request }),
        4 => (entry.clone(), entry).prop_map(|(from, to)| Step::SendUpdates { from, to }),
    ]
}

fn arbitrary_update() -> impl Strategy<Value = SuspectUpdate> {
    let crash = (any::<u32>(), any::<i64>(), any::<u8>()).prop_map(
        |(upstream, ago_ms, consecutive_runs)| CrashUpdate {
            upstream,
            ago_ms,
            consecutive_runs,
        },
    );
    let quarantine =
        (any::<i64>(), any::<u8>(), any::<bool>()).prop_map(|(left_ms, times, is_trial)| {
            QuarantineUpdate {
                left_ms,
                times,
                is_trial,
            }
        });
    (
        0..4_u32,
        any::<u32>(),
        any::<i64>(),
        prop::collection::vec(crash, 0..20),
        prop::option::of(quarantine),
    )
        .prop_map(
            |(number, clear_count, ago_ms, crashes, quarantine)| SuspectUpdate {
                fingerprint: request(number),
                clear_count,
                ago_ms,
                crashes,
                quarantine,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn arbitrary_updates_break_nothing(updates in prop::collection::vec(arbitrary_update(), 1..40)) {
        // A peer of another version, or with a broken clock, sends arbitrary times and counts. The entry
        // keeps working, sends only messages that fit into a datagram, and an operator can clear all of
        // these requests.
        let mut suspects = SuspectRequests::default();
        suspects.merge(&updates, 5_000);
        for number in 0..4 {
            crash(&mut suspects, 7, 6_000, &[number]);
            let _decision = suspects.decide(request(number), 6_000);
            suspects.begin_trial(request(number), 6_000);
        }
        let updates = suspects.next_updates(6_000);
        prop_assert!(PeerMessage::SuspectRequests(updates).encode().is_some());
        for number in 0..4 {
            suspects.clear(request(number), 7_000);
            prop_assert_eq!(suspects.decide(request(number), 7_000), QuarantineDecision::Allow);
        }
        suspects.expire(7_000 + 24 * 60 * MINUTE_MS);
        prop_assert!(suspects.is_empty());
    }

    #[test]
    fn entries_that_exchanged_updates_agree(steps in prop::collection::vec(step(), 1..60)) {
        // Whichever updates were lost or late: once each entry has merged those of the others, all refuse
        // the same requests, and no entry has anything new for another.
        let mut entries = [SuspectRequests::default(), SuspectRequests::default(), SuspectRequests::default()];
        let mut now_ms = 1_000;
        for step in steps {
            now_ms += 7_000;
            match step {
                Step::Crash { entry, upstream, request } => {
                    crash(&mut entries[entry], upstream, now_ms, &[request]);
                }
                Step::Clear { entry, request: number } => {
                    entries[entry].clear(request(number), now_ms);
                }
                Step::Trial { entry, request: number } => {
                    if entries[entry].decide(request(number), now_ms) == QuarantineDecision::AllowTrial {
                        entries[entry].begin_trial(request(number), now_ms);
                    }
                }
                Step::SendUpdates { from, to } => {
                    let updates = entries[from].all_updates(now_ms);
                    entries[to].merge(&updates, now_ms);
                }
            }
        }
        for _ in 0..3 {
            let all: Vec<Vec<SuspectUpdate>> = entries.iter().map(|entry| entry.all_updates(now_ms)).collect();
            for entry in &mut entries {
                for updates in &all {
                    entry.merge(updates, now_ms);
                }
            }
        }
        let all: Vec<Vec<SuspectUpdate>> = entries.iter().map(|entry| entry.all_updates(now_ms)).collect();
        for entry in &mut entries {
            for updates in &all {
                let change = entry.merge(updates, now_ms);
                prop_assert!(change.changed.is_empty(), "{:?}", change);
            }
        }
        for number in 0..2 {
            let decisions: Vec<bool> =
                entries.iter().map(|entry| is_quarantined(entry, number, now_ms)).collect();
            prop_assert!(decisions.iter().all(|is_quarantined| *is_quarantined == decisions[0]), "{decisions:?}");
        }
    }
}
