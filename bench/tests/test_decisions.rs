//! The measure of decisions covers every size that it is asked for.

use sardinewood_bench::decisions;
use sardinewood_bench::decisions::Sizes;

#[test]
fn measure_all_covers_roles_and_sizes() {
    let asked = Sizes {
        waiting: vec![10, 100],
        customers: vec![5, 50],
        upstreams: vec![10, 40],
    };
    let measured = decisions::measure_all(&asked, 20);
    let sizes = |role: &str, by: &str| -> Vec<usize> {
        let of = measured
            .iter()
            .filter(|one| one.role == role && one.by == by);
        of.map(|one| one.size).collect()
    };
    for role in ["entry", "agent"] {
        assert_eq!(sizes(role, "waiting requests"), asked.waiting);
        assert_eq!(sizes(role, "customers"), asked.customers);
    }
    assert_eq!(sizes("entry", "upstreams"), asked.upstreams);
    assert!(measured.iter().all(|one| one.decision_us > 0.0));
}
