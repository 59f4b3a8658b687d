//! Tests of the hints which agents have a prefix cached.

use sardinewood::entry::prefix_hints::PrefixHints;

#[test]
fn cached_blocks_counts_the_longest_prefix_of_each_agent() {
    let mut hints = PrefixHints::default();
    hints.record(&[1, 2, 3], &"lang-1".into(), 0);
    hints.record(&[1], &"lang-2".into(), 0);
    let mut found = hints.cached_blocks(&[1, 2, 3, 4], 10);
    found.sort();
    assert_eq!(found, [("lang-1".into(), 3), ("lang-2".into(), 1)]);
}

#[test]
fn forget_drops_one_agent_only() {
    let mut hints = PrefixHints::default();
    hints.record(&[1], &"lang-1".into(), 0);
    hints.record(&[1], &"lang-2".into(), 0);
    hints.forget("lang-1");
    assert_eq!(hints.cached_blocks(&[1], 10), [("lang-2".into(), 1)]);
}

#[test]
fn record_beyond_the_bound_drops_the_oldest() {
    let mut hints = PrefixHints::default();
    for block in 0..20_000 {
        hints.record(&[block], &"lang-1".into(), 0);
    }
    assert!(hints.cached_blocks(&[0], 10).is_empty());
    assert!(hints.cached_blocks(&[3_615], 10).is_empty());
    assert_eq!(hints.cached_blocks(&[3_616], 10).len(), 1);
    assert_eq!(hints.cached_blocks(&[19_999], 10).len(), 1);
}

#[test]
fn record_many_agents_keeps_the_latest() {
    let mut hints = PrefixHints::default();
    for number in 0..20 {
        hints.record(&[1], &format!("lang-{number}").into(), number);
    }
    let found = hints.cached_blocks(&[1], 30);
    assert_eq!(found.len(), 8);
    assert!(found.contains(&("lang-19".into(), 1)));
}
