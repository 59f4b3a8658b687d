//! The file of kept seeds.

use soak::kept::kept;
use soak::kept::seeds;

#[test]
fn kept_each_with_its_cause() {
    let kept = kept().expect("seeds");
    assert!(!kept.is_empty());
    assert!(kept.iter().all(|(_, cause)| cause.len() > 3), "{kept:?}");
}

#[test]
fn seeds_line_without_seed_named() {
    assert_eq!(seeds("# note\n7 why\n"), Ok(vec![(7, "why".to_owned())]));
    assert_eq!(seeds("why"), Err("why".to_owned()));
}
