//! Which requests are held since upstreams ended under them, without a network.

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

/// An end of an upstream under a run that began half a tenth of a second before.
fn end(suspects: &mut SuspectRequests, upstream: u32, at_ms: u64, requests: &[u32]) {
    let runs: Vec<(Fingerprint, u64)> = requests
        .iter()
        .map(|number| (request(*number), at_ms - 50))
        .collect();
    suspects.record_crash(upstream, at_ms, &runs, at_ms);
}

fn is_held(suspects: &SuspectRequests, number: u32, now_ms: u64) -> bool {
    matches!(
        suspects.decide(request(number), now_ms),
        QuarantineDecision::Refuse { .. }
    )
}

/// A request under which three upstreams ended, at 1, 2 and 3 s.
fn held() -> SuspectRequests {
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=3 {
        end(&mut suspects, upstream, u64::from(upstream) * 1_000, &[1]);
    }
    suspects
}

fn tell(from: &SuspectRequests, to: &mut SuspectRequests, now_ms: u64) {
    to.merge(&from.all_updates(now_ms), now_ms);
}

#[test]
fn third_end_holds() {
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=3 {
        assert!(!is_held(&suspects, 1, 3_000));
        end(&mut suspects, upstream, u64::from(upstream) * 1_000, &[1]);
    }
    assert!(is_held(&suspects, 1, 3_000));
    assert!(!is_held(&suspects, 2, 3_000));
}

#[test]
fn same_end_seen_twice_counts_once() {
    // Two copies of a request run on one upstream, and one connection breaks after the other.
    let mut suspects = SuspectRequests::default();
    for at_ms in [1_000, 1_001, 1_002, 1_003] {
        end(&mut suspects, 1, at_ms, &[1, 1]);
    }
    assert!(!is_held(&suspects, 1, 1_003));
}

#[test]
fn rack_lost_under_a_popular_request_is_one_coincidence() {
    // Callers of a popular request run it on all upstreams of a rack, which loses power. It would be
    // refused to all of them, although nothing but the power ended the upstreams.
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=5 {
        end(&mut suspects, upstream, 1_000, &[1]);
    }
    assert!(!is_held(&suspects, 1, 1_000));
}

#[test]
fn copies_in_flight_hold_with_the_next_end() {
    // A deadly request that comes in several copies at once ends as many upstreams. The first end of
    // the next copies is enough, or each round of copies would cost as many again.
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=8 {
        end(&mut suspects, upstream, 1_000, &[1]);
    }
    end(&mut suspects, 9, 1_500, &[1]);
    assert!(is_held(&suspects, 1, 1_500));
}

#[test]
fn whole_run_clears() {
    // An innocent request loses its upstream twice and then runs whole. What was seen before must not
    // count with what comes later.
    let mut suspects = SuspectRequests::default();
    end(&mut suspects, 1, 1_000, &[1]);
    end(&mut suspects, 2, 2_000, &[1]);
    assert!(suspects.clear(request(1), 2_500));
    end(&mut suspects, 3, 3_000, &[1]);
    end(&mut suspects, 4, 4_000, &[1]);
    assert!(!is_held(&suspects, 1, 4_000));
    end(&mut suspects, 5, 5_000, &[1]);
    assert!(is_held(&suspects, 1, 5_000));
}

#[test]
fn cleared_request_not_suspected_again_by_an_old_word() {
    // An entry clears a request; a peer that has not heard of it tells its ends once more.
    let before = held();
    let mut suspects = before.clone();
    suspects.clear(request(1), 3_500);
    tell(&before, &mut suspects, 3_600);
    assert_eq!(
        suspects.decide(request(1), 3_600),
        QuarantineDecision::Allow
    );
    let mut peer = before;
    tell(&suspects, &mut peer, 3_700);
    assert_eq!(peer.decide(request(1), 3_700), QuarantineDecision::Allow);
}

#[test]
fn ends_seen_by_three_entries_are_one_verdict() {
    // A caller tries at another entry each time, so that each of them sees one end only.
    let mut entries = [
        SuspectRequests::default(),
        SuspectRequests::default(),
        SuspectRequests::default(),
    ];
    for upstream in 1..=3_u32 {
        let at_ms = u64::from(upstream) * 1_000;
        let number = upstream as usize - 1;
        end(&mut entries[number], upstream, at_ms, &[1]);
        let told = entries[number].all_updates(at_ms);
        for entry in &mut entries {
            entry.merge(&told, at_ms + 5);
        }
    }
    for entry in &entries {
        assert!(is_held(entry, 1, 3_010));
    }
}

#[test]
fn neighbours_of_a_deadly_request_not_held() {
    // Other requests run beside a deadly one, each at one of its upstreams or two.
    let mut suspects = SuspectRequests::default();
    end(&mut suspects, 1, 1_000, &[1, 7, 10, 11]);
    end(&mut suspects, 2, 2_000, &[1, 7, 12, 13]);
    end(&mut suspects, 3, 3_000, &[1, 14]);
    assert!(is_held(&suspects, 1, 4_000));
    assert_eq!(suspects.counts(4_000).quarantined, 1);
}

#[test]
fn neighbour_that_loses_a_third_upstream_tried_soon() {
    // One was beside a deadly request twice and then loses an upstream by chance. Two of its three ends were
    // the deadly one's as well, so it is tried within three seconds.
    let mut suspects = SuspectRequests::default();
    end(&mut suspects, 1, 1_000, &[1, 7]);
    end(&mut suspects, 2, 2_000, &[1, 7]);
    end(&mut suspects, 3, 3_000, &[1]);
    end(&mut suspects, 4, 4_000, &[7]);
    assert!(is_held(&suspects, 7, 4_000));
    assert_eq!(
        suspects.decide(request(7), 7_000),
        QuarantineDecision::AllowTrial
    );
}

#[test]
fn request_always_beside_a_deadly_one_held_until_its_trial() {
    // Nothing tells two requests apart that ran together each time, so both are held, and tried soon, each
    // at its own moment. The trial tells: the one that runs whole is cleared.
    let mut suspects = SuspectRequests::default();
    for upstream in 1..=3 {
        end(
            &mut suspects,
            upstream,
            u64::from(upstream) * 1_000,
            &[1, 2],
        );
    }
    assert!(is_held(&suspects, 1, 3_000) && is_held(&suspects, 2, 3_000));
    let due_ms = 3_000 + 3_000;
    for number in [1, 2] {
        assert_eq!(
            suspects.decide(request(number), due_ms),
            QuarantineDecision::AllowTrial
        );
        suspects.begin_trial(request(number), due_ms);
    }
    suspects.clear(request(2), due_ms + 300);
    end(&mut suspects, 9, due_ms + 300, &[1]);
    assert!(is_held(&suspects, 1, due_ms + 5 * MINUTE_MS));
    assert_eq!(
        suspects.decide(request(2), due_ms + 300),
        QuarantineDecision::Allow
    );
}

#[test]
fn popular_request_beside_several_deadly_ones_tried_soon() {
    // A popular request runs on every upstream, so it is there at the ends of three deadly ones and is the
    // first to have three. Its callers were refused for a minute, at every entry. When the deadly ones are held
    // as well, each of its ends was also one of theirs, and it is tried within three seconds.
    let mut suspects = SuspectRequests::default();
    let mut at_ms = 0;
    for round in 0..3 {
        for deadly in 1..=3 {
            at_ms += 200;
            // While it is held, it is not there.
            let popular = if is_held(&suspects, 9, at_ms) {
                deadly
            } else {
                9
            };
            end(&mut suspects, round * 3 + deadly, at_ms, &[deadly, popular]);
        }
    }
    for deadly in 1..=3 {
        assert!(is_held(&suspects, deadly, at_ms), "{deadly}");
    }
    let tried_at_ms = at_ms + 3_000;
    assert_eq!(
        suspects.decide(request(9), tried_at_ms),
        QuarantineDecision::AllowTrial
    );
    // Whichever of the deadly ones is tried as soon is held for long after it.
    for deadly in 1..=3 {
        if suspects.decide(request(deadly), tried_at_ms) == QuarantineDecision::AllowTrial {
            suspects.begin_trial(request(deadly), tried_at_ms);
            end(&mut suspects, 90 + deadly, tried_at_ms + 60, &[deadly]);
        }
        assert!(is_held(&suspects, deadly, tried_at_ms + 30_000), "{deadly}");
    }
}

#[test]
fn trial_at_one_entry_holds_the_others() {
    // The time is over at all entries at once. Each would try it, and lose an upstream each.
    let mut first = held();
    let mut second = held();
    let due_ms = 3_000 + MINUTE_MS;
    first.begin_trial(request(1), due_ms);
    tell(&first, &mut second, due_ms + 5);
    assert!(is_held(&second, 1, due_ms + 10));
    // Nothing came of the trial: its caller left. Somebody else may try.
    let later_ms = due_ms + 2_100;
    assert_eq!(
        second.decide(request(1), later_ms),
        QuarantineDecision::AllowTrial
    );
}

#[test]
fn failed_trial_holds_longer_everywhere() {
    let mut first = held();
    let mut second = held();
    let due_ms = 3_000 + MINUTE_MS;
    first.begin_trial(request(1), due_ms);
    end(&mut first, 9, due_ms + 100, &[1]);
    tell(&first, &mut second, due_ms + 105);
    // The peer's earlier word does not bring the shorter time back.
    tell(&held(), &mut second, due_ms + 110);
    for entry in [&first, &second] {
        assert!(is_held(entry, 1, due_ms + 9 * MINUTE_MS));
        let late_ms = due_ms + 11 * MINUTE_MS;
        assert_eq!(
            entry.decide(request(1), late_ms),
            QuarantineDecision::AllowTrial
        );
    }
}

#[test]
fn deadly_request_costs_few_upstreams_in_a_day() {
    // A caller that insists all day gets one trial after a minute, ten minutes, two hours and a day, and each
    // costs one upstream.
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
        end(&mut suspects, crashes, at_ms + 60, &[1]);
        suspects.expire(at_ms + 60);
    }
    assert_eq!(crashes, 3 + 3);
}

#[test]
fn broken_connections_count_before_they_are_proven() {
    // A stream goes on at the next upstream milliseconds after the first one ended, and a proof takes
    // longer. Without this, a route of many attempts would end as many upstreams in one try.
    let mut suspects = SuspectRequests::default();
    assert!(suspects.may_retry(request(1), 2));
    assert!(!suspects.may_retry(request(1), 3));
    end(&mut suspects, 1, 1_000, &[1]);
    assert!(suspects.may_retry(request(1), 1));
    assert!(!suspects.may_retry(request(1), 2));
    let held = held();
    assert!(!held.may_retry(request(1), 0), "a trial is one run");
}

#[test]
fn new_bodies_without_end_cost_bounded_memory_and_free_nobody() {
    // A caller ends upstreams with a new body each time. What is held stays, since it is known to be
    // deadly, and the oldest of the others make room.
    let mut suspects = held();
    for number in 0..5_000 {
        end(
            &mut suspects,
            number,
            4_000 + u64::from(number),
            &[100 + number],
        );
    }
    assert!(suspects.counts(9_000).tracked <= 1_024);
    assert!(is_held(&suspects, 1, 9_000));
}

#[test]
fn ends_of_long_ago_forgotten_whoever_tells_them() {
    // Two entries tell each other what they know. Were it new to each in turn, neither would ever
    // forget it, and two ends of last week would count with one of today.
    let mut first = SuspectRequests::default();
    end(&mut first, 1, 1_000, &[1]);
    let mut second = first.clone();
    for now_ms in (1_000..40 * MINUTE_MS).step_by(500) {
        first.expire(now_ms);
        tell(&first, &mut second, now_ms + 3);
        second.expire(now_ms + 200);
        tell(&second, &mut first, now_ms + 203);
    }
    assert!(first.is_empty() && second.is_empty());
}

#[test]
fn entry_that_has_just_started_forgets_when_the_others_do() {
    // Its clock began long after what it is told of.
    let mut old = SuspectRequests::default();
    end(&mut old, 1, 1_000, &[1]);
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
            end(
                &mut suspects,
                u32::MAX - upstream,
                day_ms + u64::from(upstream) * 1_000,
                &[number],
            );
        }
    }
    let told = suspects.next_updates(2 * day_ms);
    assert!(told.len() > 5, "{}", told.len());
    assert!(PeerMessage::SuspectRequests(told).encode().is_some());
    let all: Vec<Fingerprint> = (0..40).map(request).collect();
    let told = suspects.updates_for(&all, 2 * day_ms);
    assert!(PeerMessage::SuspectRequests(told).encode().is_some());
}

#[test]
fn all_that_is_known_told_in_turn() {
    let mut suspects = held();
    for number in 0..100 {
        end(&mut suspects, number, 4_000, &[100 + number]);
    }
    let mut peer = SuspectRequests::default();
    for round in 0..20 {
        let told = suspects.next_updates(5_000);
        assert!(
            told.iter().any(|told| told.request == request(1)),
            "{round}"
        );
        peer.merge(&told, 5_000);
    }
    assert_eq!(peer.counts(5_000).tracked, 101);
}

/// A caller that tries up to six times, each run `run_ms` long, while one of so many upstreams ends every
/// `every_ms`. Whether it was held at some time.
fn is_held_by_chance(random: &mut StdRng, upstreams: u32, every_ms: u64, run_ms: u64) -> bool {
    let mut suspects = SuspectRequests::default();
    let mut now_ms = 1_000;
    for _ in 0..6 {
        let own = random.random_range(0..upstreams);
        let ends_at = (now_ms..now_ms + run_ms)
            .filter(|at_ms| at_ms % every_ms == 0)
            .find(|_| random.random_range(0..upstreams) == own);
        let Some(at_ms) = ends_at else {
            return false;
        };
        suspects.record_crash(random.random(), at_ms, &[(request(1), now_ms)], at_ms);
        if is_held(&suspects, 1, at_ms) {
            return true;
        }
        now_ms = at_ms + 150;
    }
    false
}

#[test]
fn flapping_upstreams_hold_hardly_anyone() {
    // Upstreams end all the time for reasons of their own: one of eight every half second, with runs of
    // a tenth of a second and of a whole one. Whoever is held has lost three upstreams in a row.
    let mut random = StdRng::seed_from_u64(33);
    let mut share = |run_ms| {
        const CALLERS: u32 = 20_000;
        let is_held = |_: &u32| is_held_by_chance(&mut random, 8, 500, run_ms);
        f64::from(u32::try_from((0..CALLERS).filter(is_held).count()).unwrap()) / f64::from(CALLERS)
    };
    let short = share(100);
    let long = share(1_000);
    println!("held by chance: {short} of short runs, {long} of long ones");
    assert!(short < 0.001, "{short}");
    assert!(long < 0.02, "{long}");
}

/// What may happen at one of three entries.
#[derive(Clone, Copy, Debug)]
enum Step {
    End {
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
    Tell {
        from: usize,
        to: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..3_usize;
    prop_oneof![
        4 => (entry.clone(), 0..20_u32, 0..2_u32)
            .prop_map(|(entry, upstream, request)| Step::End { entry, upstream, request }),
        1 => (entry.clone(), 0..2_u32).prop_map(|(entry, request)| Step::Clear { entry, request }),
        1 => (entry.clone(), 0..2_u32).prop_map(|(entry, request)| Step::Trial { entry, request }),
        4 => (entry.clone(), entry).prop_map(|(from, to)| Step::Tell { from, to }),
    ]
}

fn nonsense() -> impl Strategy<Value = SuspectUpdate> {
    let end =
        (any::<u32>(), any::<i64>(), any::<u8>()).prop_map(|(upstream, ago_ms, generation)| {
            CrashUpdate {
                upstream,
                ago_ms,
                generation,
            }
        });
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
        prop::collection::vec(end, 0..20),
        prop::option::of(quarantine),
    )
        .prop_map(
            |(number, clears, ago_ms, crashes, quarantine)| SuspectUpdate {
                request: request(number),
                clears,
                ago_ms,
                crashes,
                quarantine,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn peer_that_tells_nonsense_breaks_nothing(told in prop::collection::vec(nonsense(), 1..40)) {
        // A peer of another version, or with a broken clock, tells times and counts of any size. The entry
        // goes on, tells nothing that does not fit into a datagram, and an operator can let all of it go.
        let mut suspects = SuspectRequests::default();
        suspects.merge(&told, 5_000);
        for number in 0..4 {
            end(&mut suspects, 7, 6_000, &[number]);
            let _verdict = suspects.decide(request(number), 6_000);
            suspects.begin_trial(request(number), 6_000);
        }
        let told = suspects.next_updates(6_000);
        prop_assert!(PeerMessage::SuspectRequests(told).encode().is_some());
        for number in 0..4 {
            suspects.clear(request(number), 7_000);
            prop_assert_eq!(suspects.decide(request(number), 7_000), QuarantineDecision::Allow);
        }
        suspects.expire(7_000 + 24 * 60 * MINUTE_MS);
        prop_assert!(suspects.is_empty());
    }

    #[test]
    fn entries_that_have_told_each_other_agree(steps in prop::collection::vec(step(), 1..60)) {
        // Whatever was lost or came late: once each has heard the others, all refuse the same requests,
        // and nobody has news for anybody.
        let mut entries = [SuspectRequests::default(), SuspectRequests::default(), SuspectRequests::default()];
        let mut now_ms = 1_000;
        for step in steps {
            now_ms += 7_000;
            match step {
                Step::End { entry, upstream, request } => {
                    end(&mut entries[entry], upstream, now_ms, &[request]);
                }
                Step::Clear { entry, request: number } => {
                    entries[entry].clear(request(number), now_ms);
                }
                Step::Trial { entry, request: number } => {
                    if entries[entry].decide(request(number), now_ms) == QuarantineDecision::AllowTrial {
                        entries[entry].begin_trial(request(number), now_ms);
                    }
                }
                Step::Tell { from, to } => {
                    let told = entries[from].all_updates(now_ms);
                    entries[to].merge(&told, now_ms);
                }
            }
        }
        for _ in 0..3 {
            let all: Vec<Vec<SuspectUpdate>> = entries.iter().map(|entry| entry.all_updates(now_ms)).collect();
            for entry in &mut entries {
                for told in &all {
                    entry.merge(told, now_ms);
                }
            }
        }
        let all: Vec<Vec<SuspectUpdate>> = entries.iter().map(|entry| entry.all_updates(now_ms)).collect();
        for entry in &mut entries {
            for told in &all {
                let change = entry.merge(told, now_ms);
                prop_assert!(change.changed.is_empty(), "{:?}", change);
            }
        }
        for number in 0..2 {
            let verdicts: Vec<bool> =
                entries.iter().map(|entry| is_held(entry, number, now_ms)).collect();
            prop_assert!(verdicts.iter().all(|held| *held == verdicts[0]), "{verdicts:?}");
        }
    }
}
