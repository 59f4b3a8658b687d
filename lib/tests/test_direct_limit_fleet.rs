//! Limits of an upstream that does not always state them, before several entries.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::notices::limit_end::LimitReport;

use crate::limit_fleet::LimitFleet;
use crate::limit_fleet::STEADY;
use crate::limit_fleet::Setup;

/// When a limit ends, in plays in which it does.
const ENDED_MS: u64 = 10_000;

/// Returns an upstream and a network that are drawn.
fn drawn(seed: u64) -> Setup {
    let mut random = StdRng::seed_from_u64(seed);
    Setup {
        entries: random.random_range(1..=8),
        limit_per_1000_s: random.random_range(200..30_000),
        slots: random.random_range(1..=64),
        answer_ms: random.random_range(20..1_500),
        stream_ms: [0, 0, 800, 3_000][random.random_range(0..4)],
        max_delay_ms: random.random_range(2..60),
        lost_part: random.random_range(0.0..0.05),
        ..STEADY
    }
}

fn assert_limit_kept(setup: Setup, seed: u64) {
    let fleet = LimitFleet::new(setup, seed).run(40_000);
    let (most, allowed) = (fleet.most_arrived_in_span(), fleet.allowed_in_span());
    assert!(
        most <= allowed,
        "seed {seed}: {most} of {allowed}, ends {:?}, {setup:?}",
        fleet.ends
    );
}

#[test]
fn failures_that_omit_a_limit_keep_within_it() {
    // Guards against a limit that entries lift for each other, although only failures do not state it.
    for seed in 0..60 {
        let setup = Setup {
            omitted_part: 0.5,
            omission: LimitReport::OmittedByFailure,
            ..drawn(seed)
        };
        assert_limit_kept(setup, seed);
    }
}

#[test]
fn successes_that_omit_a_limit_at_random_keep_within_it() {
    // Guards against starts beyond a limit that seems to end again and again, over all entries.
    for seed in 0..120 {
        let setup = Setup {
            omitted_part: 0.33,
            ..drawn(seed)
        };
        assert_limit_kept(setup, seed);
    }
}

#[test]
fn limit_kept_by_an_upstream_that_stalls() {
    // Guards against requests that are sent while an upstream reads nothing, and reach it at once when it
    // goes on.
    for seed in 0..120 {
        let mut random = StdRng::seed_from_u64(seed);
        let stall_ms = random.random_range(500..8_000);
        let setup = Setup {
            stalls: Some((stall_ms + random.random_range(1_000..9_000), stall_ms)),
            timeout_ms: random.random_range(300..6_000),
            kill_every_ms: [None, None, Some(4_000)][random.random_range(0..3)],
            ..drawn(seed)
        };
        assert_limit_kept(setup, seed);
    }
}

#[test]
fn limit_kept_while_entries_are_replaced() {
    // Guards against an owner of the queue that starts without what the former one knew of the limit.
    for seed in 0..40 {
        let setup = Setup {
            omitted_part: 0.25,
            kill_every_ms: Some(1_500),
            ..drawn(seed)
        };
        assert_limit_kept(setup, seed);
    }
}

#[test]
fn new_owner_told_the_limit_before_it_grants() {
    // Guards against an entry that starts, becomes the owner of the queue, and grants all that waits before
    // it has heard of the limit.
    for seed in 0..60 {
        let setup = Setup {
            entries: 6,
            limit_per_1000_s: 1_000,
            slots: 40,
            max_delay_ms: STEADY.max_delay_ms,
            lost_part: 0.01,
            kill_every_ms: Some(1_500),
            ..drawn(seed)
        };
        assert_limit_kept(setup, seed);
    }
}

#[test]
fn ended_limit_gone_soon_at_all_entries() {
    // Guards against a limit that old statements, which entries resend to each other, keep in force.
    for seed in 0..200 {
        let setup = Setup {
            answer_ms: 80,
            stream_ms: 0,
            lost_part: 0.0,
            ended_ms: ENDED_MS,
            ..drawn(seed)
        };
        let interval_ms = 1_000_000 / u64::from(setup.limit_per_1000_s.max(500));
        let within_ms = interval_ms.max(1_000) + 1_000;
        let fleet = LimitFleet::new(setup, seed).run(ENDED_MS + within_ms);
        assert_eq!(
            fleet.limited_entries(),
            0,
            "seed {seed}: {:?}, {setup:?}",
            fleet.ends
        );
    }
}

#[test]
fn ended_limit_gone_soon_before_many_entries() {
    // Guards against a limit that stays in force because each of many entries sees few answers.
    for limit_per_1000_s in [400, 1_400, 10_000] {
        let setup = Setup {
            entries: 350,
            limit_per_1000_s,
            ended_ms: ENDED_MS,
            lost_part: 0.01,
            ..STEADY
        };
        let fleet = LimitFleet::new(setup, 1).run(ENDED_MS + 4_000);
        assert_eq!(
            fleet.limited_entries(),
            0,
            "{limit_per_1000_s}: {:?}",
            fleet.ends
        );
    }
}

#[test]
fn limit_used_while_it_is_needed() {
    // Guards against a limit of which a part stays unused because its queue waits for answers or messages.
    for seed in 0..30 {
        let setup = Setup {
            limit_per_1000_s: drawn(seed).limit_per_1000_s.max(500),
            slots: 64,
            stream_ms: 0,
            omitted_part: 0.2,
            omission: LimitReport::OmittedByFailure,
            // Slots of lost messages are found by heartbeats, which are not played.
            lost_part: 0.0,
            max_delay_ms: STEADY.max_delay_ms,
            ..drawn(seed)
        };
        let fleet = LimitFleet::new(setup, seed).run(60_000);
        let limit_per_s = f64::from(setup.limit_per_1000_s) / 1_000.0;
        // An entry's starts count once it has received the limit.
        let used = fleet.arrivals() / (limit_per_s * 57.0);
        assert!(used >= 0.95, "seed {seed}: {used}, {setup:?}");
    }
}

#[test]
fn limit_used_again_after_a_stall() {
    // Guards against an upstream that is kept unused long after it has answered again.
    for seed in 0..30 {
        let setup = Setup {
            stalls: Some((20_000, 5_000)),
            slots: 64,
            answer_ms: 80,
            lost_part: 0.0,
            max_delay_ms: STEADY.max_delay_ms,
            ..drawn(seed)
        };
        let fleet = LimitFleet::new(setup, seed).run(36_000);
        let limit_per_s = f64::from(setup.limit_per_1000_s.max(500)) / 1_000.0;
        // Over the start and the stall, the upstream gets nothing for 11 s at most.
        let expected = limit_per_s * (36.0 - 11.0) - 2.0;
        let arrivals = fleet.arrivals();
        assert!(
            arrivals >= expected,
            "seed {seed}: {arrivals} of {expected}, {setup:?}"
        );
    }
}
