//! Tests the list of upstreams through outages of the store.

use sardinewood::direct::store_view::directory::Directory;
use sardinewood::direct::store_view::directory::Upstream;
use sardinewood::direct::store_view::lapses::Lapses;

use crate::direct_fixture;
use crate::direct_fixture::born;

/// Time until which entries may have lapsed in an outage.
const LAPSES_UNTIL_MS: u64 = 10_800;

fn upstream(name: &str, is_leaving: bool) -> Upstream {
    Upstream {
        is_leaving,
        ..Upstream::clone(&direct_fixture::upstream(name, 4))
    }
}

/// Returns a directory of these upstreams.
fn listed(upstreams: &[Upstream]) -> Directory {
    let mut directory = Directory::default();
    for upstream in upstreams {
        directory.put(upstream.clone(), 0);
    }
    directory
}

fn usable(directory: &Directory) -> Vec<&str> {
    directory
        .usable()
        .map(|upstream| &*upstream.instance)
        .collect()
}

#[test]
fn late_write_hidden_for_as_long_as_upstreams_may_be_silent() {
    // Guards against an ended incarnation that is used again because upstreams write less often
    // than on other platforms.
    let mut directory = Directory::default();
    directory.set_silence_ms(9_000);
    directory.put(born("a", 20), 0);
    directory.put(born("a", 10), 1_000);
    assert!(!directory.sweep(9_900));
    assert_eq!(usable(&directory), ["a@20"]);
    assert!(directory.sweep(10_000));
    assert_eq!(usable(&directory), ["a@10"]);
}

#[test]
fn removed_at_once_without_an_outage() {
    let mut directory = listed(&[upstream("a", false), upstream("b", false)]);
    directory.remove("a", 10);
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn lapsed_during_outage_kept_until_it_may_be_back() {
    // After an outage of the store, during which live upstreams could not renew their entries, the
    // first list is empty. Upstreams rewrite their entries soon, so callers notice nothing; one that
    // does not is removed then.
    let mut directory = listed(&[upstream("a", false), upstream("b", false)]);
    directory.set_lapses(Lapses::Until(LAPSES_UNTIL_MS), 9_000);
    directory.remove("a", 9_000);
    directory.remove("b", 9_000);
    assert_eq!(usable(&directory).len(), 2);
    assert_eq!(directory.may_have_lapsed().count(), 2);
    directory.put(upstream("a", false), 0);
    assert!(!directory.sweep(LAPSES_UNTIL_MS - 1));
    assert!(directory.sweep(LAPSES_UNTIL_MS));
    assert_eq!(usable(&directory), ["a"]);
}

/// Guards against a removed upstream that is used on, as an entry learns late that others were served
/// while it was not.
#[test]
fn set_lapses_excluded_removes_what_was_kept() {
    let mut directory = listed(&[upstream("a", false), upstream("b", false)]);
    directory.set_lapses(Lapses::Until(LAPSES_UNTIL_MS), 9_000);
    directory.remove("a", 9_000);
    assert!(directory.set_lapses(Lapses::Excluded, 9_100));
    assert_eq!(usable(&directory), ["b"]);
    assert!(!directory.set_lapses(Lapses::Excluded, 9_200));
}

/// Guards against an upstream that is used for as long as later calls to the store fail.
#[test]
fn kept_upstream_not_prolonged_by_a_second_outage() {
    let mut directory = listed(&[upstream("a", false)]);
    directory.set_lapses(Lapses::Until(LAPSES_UNTIL_MS), 9_000);
    directory.remove("a", 9_000);
    for now_ms in (9_200..LAPSES_UNTIL_MS).step_by(200) {
        directory.set_lapses(Lapses::Until(now_ms + 1_800), now_ms);
        assert!(!directory.sweep(now_ms));
    }
    assert!(directory.sweep(LAPSES_UNTIL_MS));
    assert!(usable(&directory).is_empty());
}

/// Guards against an upstream that is back a little late and left out for several heartbeats more.
#[test]
fn late_return_used_at_once_although_lapses_are_excluded_by_then() {
    let mut directory = listed(&[starting("a", 5, false)]);
    directory.set_lapses(Lapses::Until(LAPSES_UNTIL_MS), 9_000);
    directory.remove("a", 9_000);
    directory.set_lapses(Lapses::Excluded, LAPSES_UNTIL_MS);
    assert!(directory.sweep(LAPSES_UNTIL_MS));
    directory.put(starting("a", 5, false), LAPSES_UNTIL_MS + 100);
    assert_eq!(usable(&directory), ["a@5"]);
}

/// Guards against upstreams that are left out for several heartbeats after an outage, as an entry could not
/// tell that they had lapsed.
#[test]
fn removed_at_once_and_back_at_once_if_it_may_have_lapsed() {
    let mut directory = listed(&[starting("a", 5, false)]);
    directory.set_lapses(Lapses::Possible, 9_000);
    directory.remove("a", 9_000);
    assert!(usable(&directory).is_empty());
    directory.put(starting("a", 5, false), 10_000);
    assert_eq!(usable(&directory), ["a@5"]);
}

#[test]
fn removed_after_the_time_for_lapses() {
    let mut directory = listed(&[upstream("a", false)]);
    directory.set_lapses(Lapses::Until(LAPSES_UNTIL_MS), 9_000);
    directory.remove("a", LAPSES_UNTIL_MS);
    assert!(usable(&directory).is_empty());
}

#[test]
fn leaving_one_not_kept_through_outage() {
    let mut directory = listed(&[upstream("a", true)]);
    directory.set_lapses(Lapses::Until(LAPSES_UNTIL_MS), 9_000);
    directory.remove("a", 9_000);
    assert_eq!(directory.next_sweep_ms(), None);
    assert!(usable(&directory).is_empty());
}

#[test]
fn leaving_one_takes_nothing_new() {
    let mut directory = Directory::default();
    directory.put(upstream("a", false), 0);
    directory.put(upstream("a", true), 0);
    assert!(usable(&directory).is_empty());
}

#[test]
fn entry_without_start_time_not_used_where_others_have_one() {
    // Requests go to upstreams only. If the upstreams of a list give their start times, an entry
    // without one was written by something else. If none of them does, no start time is required.
    let mut directory = Directory::default();
    directory.put(upstream("a", false), 0);
    assert_eq!(usable(&directory), ["a"]);
    directory.put(born("b", 5), 0);
    assert_eq!(usable(&directory), ["b@5"]);
}

/// Guards against a version that counts as listed because of an entry that no upstream wrote.
#[test]
fn versions_of_entries_without_start_time_not_listed_where_others_have_one() {
    let of_version = |upstream: Upstream, version: &str| Upstream {
        version: version.into(),
        ..upstream
    };
    let mut directory = Directory::default();
    directory.put(of_version(upstream("a", false), "v1"), 0);
    directory.put(of_version(born("b", 5), "v2"), 0);
    let versions = directory.versions();
    let versions: Vec<_> = versions.iter().map(|(_, version)| &**version).collect();
    assert_eq!(versions, ["v2"]);
}

#[test]
fn restart_ends_the_drain_of_the_previous_incarnation() {
    let mut directory = Directory::default();
    let leaving = Upstream {
        is_leaving: true,
        ..born("a", 5)
    };
    directory.put(leaving, 0);
    directory.put(born("a", 6), 0);
    assert_eq!(usable(&directory), ["a@6"]);
}

#[test]
fn invalid_entry_removed_at_once_even_around_an_outage() {
    let mut directory = Directory::default();
    directory.put(born("a", 5), 0);
    directory.set_lapses(Lapses::Until(LAPSES_UNTIL_MS), 10);
    assert!(directory.remove_invalid("a"));
    assert!(usable(&directory).is_empty());
}

/// Returns an upstream as its entry in the list says.
fn starting(name: &str, born_ms: u64, is_leaving: bool) -> Upstream {
    Upstream {
        is_leaving,
        ..born(name, born_ms)
    }
}

/// Guards against a leaving upstream that gets requests again because an earlier write of it is
/// carried out late.
#[test]
fn put_late_write_of_a_leaving_upstream_not_used() {
    let mut directory = listed(&[starting("a", 5, false), starting("a", 5, true)]);
    directory.put(starting("a", 5, false), 400);
    assert!(usable(&directory).is_empty());
    directory.remove("a", 1_000);
    directory.put(starting("a", 5, false), 2_000);
    directory.sweep(60_000);
    assert!(usable(&directory).is_empty(), "created anew");
}

/// Guards against a removed upstream that gets requests because an earlier write of it creates its
/// entry anew.
#[test]
fn put_after_a_removal_withheld_until_it_stays() {
    let mut directory = listed(&[starting("a", 5, false)]);
    directory.remove("a", 100);
    directory.put(starting("a", 5, false), 1_000);
    assert!(usable(&directory).is_empty());
    assert!(!directory.sweep(5_799), "it may have lapsed meanwhile");
    assert!(directory.sweep(5_800), "it is renewed, so it is alive");
    assert_eq!(usable(&directory), ["a@5"]);
}

/// Guards against a removed upstream that gets requests because two earlier writes of it are applied.
#[test]
fn late_writes_after_a_removal_withheld_until_the_last_one_stays() {
    let mut directory = listed(&[starting("a", 5, false)]);
    directory.remove("a", 100);
    directory.put(starting("a", 5, false), 1_000);
    directory.put(starting("a", 5, false), 2_000);
    assert!(usable(&directory).is_empty());
    assert!(!directory.sweep(6_799), "the second may lapse by then");
    assert!(directory.sweep(6_800));
    assert_eq!(usable(&directory), ["a@5"]);
}

/// Guards against a removed upstream that gets requests from an entry that has started since.
#[test]
fn told_removal_withholds_what_is_listed_and_what_comes_back() {
    let mut teller = listed(&[starting("a", 5, false), starting("b", 5, false)]);
    teller.remove("a", 100);
    teller.remove("b", 200);
    teller.put(starting("a", 5, false), 300);
    let told = teller.removed();
    assert_eq!(told, ["b@5".into(), "a@5".into()]);
    let mut directory = listed(&[starting("a", 5, false), starting("c", 5, false)]);
    for instance in &told {
        assert!(directory.record_told_removal(instance, 1_000));
    }
    directory.put(starting("b", 5, false), 2_000);
    assert_eq!(usable(&directory), ["c@5"]);
    assert!(!directory.sweep(5_799));
    assert!(directory.sweep(5_800), "the first has stayed");
    assert!(directory.sweep(6_800), "and the second");
    assert_eq!(usable(&directory).len(), 3);
    assert!(directory.removed().is_empty(), "all are used");
}

/// Guards against an upstream that is withheld again each time that a peer comes back which has not heard that
/// it lives.
#[test]
fn told_removal_of_a_known_departure_ignored() {
    let mut directory = listed(&[starting("a", 5, false), starting("b", 5, false)]);
    directory.remove("a", 100);
    directory.put(starting("a", 5, false), 200);
    assert!(directory.sweep(5_000));
    directory.set_lapses(Lapses::Until(LAPSES_UNTIL_MS), 9_000);
    directory.remove("b", 9_000);
    assert!(directory.sweep(LAPSES_UNTIL_MS));
    directory.put(starting("b", 5, false), 12_000);
    assert!(!directory.record_told_removal("a@5", 13_000));
    assert!(!directory.record_told_removal("b@5", 13_000));
    assert_eq!(usable(&directory).len(), 2);
}

#[test]
fn put_after_a_lapse_in_an_outage_used_at_once() {
    let mut directory = listed(&[starting("a", 5, false)]);
    directory.set_lapses(Lapses::Until(LAPSES_UNTIL_MS), 9_000);
    directory.remove("a", 9_000);
    assert!(directory.sweep(LAPSES_UNTIL_MS));
    directory.put(starting("a", 5, false), 12_000);
    assert_eq!(usable(&directory), ["a@5"]);
}

/// Guards against a restarted upstream that is left out because its former start has left.
#[test]
fn put_of_a_restart_after_leaving_used_at_once() {
    for restarted_ms in [6, 4] {
        let mut directory = listed(&[starting("a", 5, true)]);
        directory.remove("a", 100);
        directory.put(starting("a", restarted_ms, false), 200);
        assert_eq!(usable(&directory).len(), 1, "started at {restarted_ms}");
    }
}

/// Guards against an upstream that is left out for good because of one invalid entry.
#[test]
fn put_after_an_invalid_entry_used_at_once() {
    let mut directory = listed(&[starting("a", 5, false)]);
    directory.remove_invalid("a");
    directory.put(starting("a", 5, false), 100);
    assert_eq!(usable(&directory), ["a@5"]);
}

/// Guards against an older start whose late write is accepted in the end, though it has left.
#[test]
fn put_late_write_of_a_former_start_that_left_never_used() {
    let mut directory = listed(&[starting("a", 5, true), starting("a", 6, false)]);
    directory.put(starting("a", 5, false), 100);
    directory.sweep(60_000);
    assert!(usable(&directory).is_empty());
}
