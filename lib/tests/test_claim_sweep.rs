//! The sweep of abandoned claims.

use std::sync::Arc;

use sardinewood::claims::sweep::ClaimSweep;
use sardinewood::claims::sweep::SweepStep;
use sardinewood::store::position::StorePosition;

const UNCHANGED_MS: u64 = 600_000;

fn claims(versions: &[(&str, u64)]) -> Vec<(Arc<str>, StorePosition)> {
    versions
        .iter()
        .map(|(name, version)| (Arc::from(*name), StorePosition::new(0, *version)))
        .collect()
}

fn removed(steps: &[SweepStep]) -> Vec<(&str, u64)> {
    steps
        .iter()
        .filter_map(|step| match step {
            SweepStep::Remove { name, version, .. } => Some((&**name, version.revision)),
            SweepStep::List { .. } => None,
        })
        .collect()
}

/// Returns a sweep that has listed two claims, after one minute.
fn sweep_after_first_list() -> ClaimSweep {
    let mut sweep = ClaimSweep::new(16, UNCHANGED_MS);
    let steps = sweep.tick(60_000);
    let list = SweepStep::List {
        kind: "claims-0".into(),
    };
    assert_eq!(steps, [list]);
    sweep.apply_list(60_000, claims(&[("0a", 5), ("0b", 7)]));
    sweep
}

#[test]
fn listed_unchanged_claim_is_removed_at_its_version() {
    // An entry crashes and leaves two claims. A repetition takes over one of them; only the
    // other still has its version when another entry lists the claims again.
    let mut sweep = sweep_after_first_list();
    assert_eq!(sweep.next_tick_ms(), 660_000);
    assert_eq!(sweep.tick(659_999), []);
    sweep.tick(660_000);
    sweep.apply_list(660_000, claims(&[("0a", 5), ("0b", 9), ("0c", 11)]));
    assert_eq!(removed(&sweep.tick(660_001)), [("0a", 5)]);
    assert_eq!(removed(&sweep.tick(700_000)), []);
}

#[test]
fn listed_goes_on_to_the_next_kind() {
    let mut sweep = sweep_after_first_list();
    sweep.tick(660_000);
    sweep.apply_list(660_000, claims(&[]));
    let list = SweepStep::List {
        kind: "claims-1".into(),
    };
    assert_eq!(sweep.tick(720_000), [list]);
}

#[test]
fn tick_list_that_failed_is_tried_again() {
    let mut sweep = ClaimSweep::new(0, UNCHANGED_MS);
    assert_eq!(sweep.tick(60_000).len(), 1);
    assert_eq!(sweep.tick(60_001), []);
    assert_eq!(sweep.tick(120_000).len(), 1);
}

#[test]
fn tick_removals_leave_the_store_room() {
    let mut sweep = sweep_after_first_list();
    sweep.tick(660_000);
    sweep.apply_list(660_000, claims(&[("0a", 5), ("0b", 7)]));
    assert_eq!(removed(&sweep.tick(660_001)).len(), 1);
    assert_eq!(sweep.next_tick_ms(), 660_201);
    assert_eq!(removed(&sweep.tick(660_200)).len(), 0);
    assert_eq!(removed(&sweep.tick(660_201)).len(), 1);
}
