//! The era of a store, as read from its answers.

use sardinewood::store::era::EraCheck;
use sardinewood::store::era::StoreEra;

fn known(era: &str) -> StoreEra {
    let known = StoreEra::default();
    let first = known.observe(Some(era));
    assert!(matches!(first, EraCheck::Unconfirmed(_)));
    assert!(matches!(known.observe(Some(era)), EraCheck::Current(_)));
    known
}

#[test]
fn answers_without_an_era_as_before() {
    let era = StoreEra::default();
    assert_eq!(era.observe(None), EraCheck::Current(0));
    assert_eq!(era.observe(None), EraCheck::Current(0));
    assert_eq!(known("3").observe(None), EraCheck::Current(3));
}

#[test]
fn later_era_counts_once_confirmed() {
    let era = known("3");
    assert_eq!(era.observe(Some("4")), EraCheck::Unconfirmed(4));
    assert_eq!(era.observe(Some("4")), EraCheck::Current(4));
    assert_eq!(era.observe(Some("3")), EraCheck::Ended(3));
}

/// One garbled answer would end the era of all good ones.
#[test]
fn single_wrong_era_forgotten() {
    let era = known("3");
    assert_eq!(era.observe(Some("9")), EraCheck::Unconfirmed(9));
    assert_eq!(era.observe(Some("3")), EraCheck::Current(3));
    assert_eq!(era.observe(Some("9")), EraCheck::Unconfirmed(9));
}

#[test]
fn unusable_eras_ignored() {
    let era = known("3");
    for named in [
        "",
        "three",
        "-1",
        "4.5",
        "99999999999999999999",
        "4000000000",
    ] {
        assert_eq!(era.observe(Some(named)), EraCheck::Current(3), "{named}");
        assert_eq!(era.observe(Some(named)), EraCheck::Current(3), "{named}");
    }
}

#[test]
fn several_eras_missed() {
    let era = known("3");
    assert_eq!(era.observe(Some("8")), EraCheck::Unconfirmed(8));
    assert_eq!(era.observe(Some("8")), EraCheck::Current(8));
}

#[test]
fn era_learnt_from_others() {
    // Guards against an entry that never calls the store but to write a verdict, and needs two more
    // calls before its first write.
    let era = StoreEra::default();
    era.learn(3);
    assert_eq!(era.observe(Some("3")), EraCheck::Current(3));
    era.learn(2);
    era.learn(4_000_000_000);
    assert_eq!(era.current(), 3);
}
