//! How many processes of a fleet watch the store.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::store::duty::StoreDuty;
use sardinewood::store::duty::WATCHERS;

/// Entries and agents two years on.
const FLEET: usize = 2_350;

#[test]
fn is_due_large_fleet_has_few_watchers_and_never_none() {
    let mut random = StdRng::seed_from_u64(5);
    let mut fleet = vec![StoreDuty::default(); FLEET];
    let mut watched = 0;
    for minute in 0..200_u64 {
        let now_ms = minute * 60_000;
        let watchers = fleet
            .iter_mut()
            .filter_map(|duty| {
                duty.is_due(now_ms, FLEET - 1, random.random())
                    .then_some(())
            })
            .count();
        assert!(
            (WATCHERS / 3..WATCHERS * 3).contains(&watchers),
            "{watchers} in {minute}"
        );
        watched += watchers;
    }
    let mean = watched / 200;
    assert!(mean.abs_diff(WATCHERS) <= 3, "{mean} on average");
}

#[test]
fn is_due_draw_holds_for_a_while() {
    let mut duty = StoreDuty::default();
    assert!(!duty.is_due(0, FLEET, 0.5));
    for now_ms in [1_000, 30_000, 59_999] {
        assert!(!duty.is_due(now_ms, FLEET, 0.0), "no new draw at {now_ms}");
    }
    assert!(duty.is_due(60_000, FLEET, 0.0));
}

#[test]
fn is_due_process_cut_off_from_its_peers_watches_at_once() {
    // Datagrams between processes stop arriving while the store can be reached. A process that
    // had drawn "no" would learn of changes only after its next lucky draw, hours later, and its
    // callers would be served by an old configuration. It hears nobody, so it watches.
    let mut duty = StoreDuty::default();
    assert!(!duty.is_due(0, FLEET, 0.9));
    assert!(duty.is_due(10, 0, 0.9));
}
