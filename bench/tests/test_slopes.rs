//! Slopes are measured on states that do what is measured.

use sardinewood_bench::slopes::measure_all;

#[test]
fn measure_all_each_cost_is_seen() {
    // A cost of nothing means that the state refused the work instead of doing it.
    for slope in measure_all() {
        assert!(slope.value > 0.0, "{slope:?}");
    }
}
