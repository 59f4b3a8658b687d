//! A short run of the real programs, and the seeds that ever failed.

use std::time::Duration;

use soak::checker;
use soak::plan;
use soak::world::Size;
use soak::world::World;

const SIZE: Size = Size {
    entries: 2,
    workers: 3,
    callers: 2,
};

/// Some entries watch the store and others listen to them.
const SIZE_WITH_LINKS: Size = Size {
    entries: 6,
    workers: 5,
    callers: 2,
};

/// Few workers under many callers: each gets requests at all times.
const SIZE_WITH_CUT_WAYS: Size = Size {
    entries: 6,
    workers: 4,
    callers: 6,
};

/// Few callers, so that the slack is a large part of the retries that are allowed.
const SIZE_WITH_FAILURES: Size = Size {
    entries: 4,
    workers: 5,
    callers: 2,
};

async fn run(seed: u64) {
    run_of(SIZE, seed).await;
}

async fn run_of(size: Size, seed: u64) {
    run_for(size, seed, Duration::from_secs(5)).await;
}

async fn run_for(size: Size, seed: u64, length: Duration) {
    let steps = plan::draw(seed, length);
    let world = World::start(size, seed).await;
    let records = world.run(size, &steps).await;
    assert!(records.requests.len() > 100);
    assert_eq!(checker::check(&records), [], "seed {seed}");
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_one() {
    run(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_restarts() {
    run(plan::FIRST_SEED_WITH_RESTARTS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_requests_that_end_workers() {
    run(plan::FIRST_SEED_WITH_DEADLY).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_a_good_version_ordered() {
    run(plan::FIRST_SEED_WITH_ROLLOUT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_a_bad_version_ordered() {
    run(plan::FIRST_SEED_WITH_ROLLOUT + 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_workers_that_say_something() {
    run(plan::FIRST_SEED_WITH_NOTICES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_a_store_that_returns_from_copies() {
    run(plan::FIRST_SEED_WITH_COPIES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_versions_side_by_side() {
    run(plan::FIRST_SEED_WITH_VERSIONS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_a_part_that_crashes_workers() {
    run(plan::FIRST_SEED_WITH_TORN_STREAMS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_links_between_entries() {
    run_of(SIZE_WITH_LINKS, plan::FIRST_SEED_WITH_LINKS).await;
}

/// Guards against entries that come back from a cut of their own and use on workers that have left.
#[tokio::test(flavor = "multi_thread")]
async fn seed_with_ways_to_the_store_that_are_cut() {
    let length = Duration::from_secs(10);
    run_for(
        SIZE_WITH_CUT_WAYS,
        plan::FIRST_SEED_WITH_CUT_WAYS + 4,
        length,
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_with_bytes_without_end() {
    // Guards against bytes without end that reach a caller as an answer, among other faults.
    run(plan::FIRST_SEED_WITH_ENDLESS).await;
}

/// Guards against entries that retry as much again after they have ended as they did before.
#[tokio::test(flavor = "multi_thread")]
async fn seed_with_workers_that_all_fail() {
    let length = Duration::from_secs(20);
    run_for(
        SIZE_WITH_FAILURES,
        plan::FIRST_SEED_WITH_FAILURES + 8,
        length,
    )
    .await;
}

#[test]
fn plan_same_for_the_same_seed() {
    let length = Duration::from_secs(60);
    assert_eq!(plan::draw(7, length), plan::draw(7, length));
    assert_ne!(plan::draw(7, length), plan::draw(8, length));
}
