//! The control work of an entry, by size of the fleet.

use indexmap::IndexMap;
use sardinewood_bench::control::profile::FleetSize;
use sardinewood_bench::control::profile::measure;

/// Processor time of each event by purpose, in microseconds: the least of some measurements, as
/// other work on the machine makes some of them longer.
fn least_us_each(entries: usize) -> IndexMap<&'static str, f64> {
    const MEASUREMENTS: usize = 3;
    let mut least = IndexMap::new();
    for _ in 0..MEASUREMENTS {
        for cost in measure(FleetSize::of(entries), 1) {
            let us_each = cost.ms_per_s * 1_000.0 / cost.per_s;
            let known: &mut f64 = least.entry(cost.purpose).or_insert(us_each);
            *known = known.min(us_each);
        }
    }
    least
}

#[test]
fn work_of_a_heartbeat_independent_of_the_fleet() {
    // Guards against a walk over all upstreams or all entries for each heartbeat: an entry receives
    // one from each other entry, so the walks grow with the square of the fleet.
    let small_us = least_us_each(40);
    let large_us = least_us_each(400);
    for purpose in ["reconcile slots", "record loads", "compare revisions"] {
        let (small_us, large_us) = (small_us[purpose], large_us[purpose]);
        assert!(
            large_us < 4.0 * small_us,
            "{purpose}: {small_us} us with 40 entries, {large_us} us with 400"
        );
    }
}
