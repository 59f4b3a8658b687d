//! The optional decisions under load in virtual time: returns in order, and late requests that yield.

use sardinewood::direct::load_policy::LoadPolicy;
use sardinewood_bench::direct::KindEnds;
use sardinewood_bench::direct::fleet::End;
use sardinewood_bench::direct::fleet::Fleet;
use sardinewood_bench::direct::fleet::Setup;
use sardinewood_bench::direct::fleet::Variant;
use sardinewood_bench::direct::load::DISPUTES;
use sardinewood_bench::direct::load::Pattern;
use sardinewood_bench::direct::load::REPORTS;
use sardinewood_bench::direct::report;

/// Index of the least important kind, which is the one that is refused.
const LOWEST: usize = 2;

fn setup(variant: Variant) -> Setup {
    Setup {
        entries: 6,
        engines: 9,
        slots: 5,
        load: 1.3,
        mix: &DISPUTES,
        pattern: Pattern::Steady,
        for_ms: 10_000,
        lost_part: 0.0,
        has_kills: false,
        deadly_every_ms: None,
        has_deadly_part: false,
        need: None,
        variant,
    }
}

fn lowest(variant: Variant) -> KindEnds {
    report(setup(variant), ("steady", ""), 2).ends_by_kind[LOWEST]
}

fn served_share(ends: KindEnds) -> f64 {
    sardinewood::numbers::ratio(ends.served_on_return, ends.told)
}

/// Guards against refused callers who return as they were told and are refused again.
#[test]
fn overload_half_of_those_that_return_as_told_served() {
    let (unordered, ordered) = (lowest(Variant::Shipped), lowest(Variant::OrderReturns));
    assert!(ordered.told > 300, "{ordered:?}");
    assert!(served_share(ordered) >= 0.5, "{ordered:?}");
    assert!(
        served_share(ordered) > served_share(unordered) + 0.1,
        "{unordered:?}"
    );
    assert!(ordered.refused < unordered.refused, "{ordered:?}");
}

/// Guards against requests that are forgotten or answered twice when messages about returns and slots
/// are lost and the entries that keep returns are killed.
#[test]
fn lost_messages_and_entries_every_request_ends_once() {
    for seed in 1..=3 {
        let setup = Setup {
            lost_part: 0.05,
            has_kills: true,
            pattern: Pattern::HalfLost,
            ..setup(Variant::HardLoad)
        };
        let outcome = Fleet::new(setup, seed).play();
        let is_once = |ends: &Vec<End>| ends.len() == 1;
        assert!(outcome.ends.iter().all(is_once), "seed {seed}");
    }
}

/// Guards against late requests that hold slots which others need, as seen in the second tier, and
/// against early refusals that cost more than they gain.
#[test]
fn overload_hard_load_earns_no_less() {
    for load in [1.3, 2.2] {
        let worth = |variant| {
            let setup = Setup {
                load,
                ..setup(variant)
            };
            report(setup, ("steady", ""), 2).worth
        };
        let (off, on) = (worth(Variant::Shipped), worth(Variant::HardLoad));
        assert!(on > off - 0.01, "load {load}: {on}, {off}");
    }
}

/// Guards against early refusals and returns in order that keep one size of a kind from being served.
#[test]
fn overload_hard_load_no_size_of_any_kind_starved() {
    for mix in [&DISPUTES, &REPORTS] {
        for load in [1.5, 2.2, 3.0] {
            let setup = Setup {
                load,
                mix,
                for_ms: 12_000,
                ..setup(Variant::HardLoad)
            };
            let report = report(setup, ("steady", ""), 2);
            let least = report.large_served_by_kind.into_iter().fold(1.0, f64::min);
            assert!(least >= 0.5, "load {load}: {report:?}");
        }
    }
}

/// Guards against decisions that are made although the settings do not ask for them.
#[test]
fn settings_off_no_optional_decision() {
    for (name, variant) in Variant::ALL {
        let policy = variant.load_policy();
        let is_on = ["order-returns", "skip-late-starts", "hard-load"].contains(&name);
        assert_eq!(policy != LoadPolicy::default(), is_on, "{name}");
    }
}
