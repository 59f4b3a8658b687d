//! The prefix cache of the stand-in engine and its events.

use testutils::prefix_cache::CacheChange;
use testutils::prefix_cache::PrefixCache;

#[test]
fn store_evicts_the_least_recently_used_tail_first() {
    let mut cache = PrefixCache::new(4, 3, 0);
    cache.store("aaaabbbb", 0);
    cache.store("ccccdddd", 0);
    assert_eq!(cache.cached_tokens("aaaabbbb"), 1, "its tail made room");
    assert_eq!(cache.cached_tokens("ccccdddd"), 2);
}

#[test]
fn events_are_late_and_have_gaps() {
    let mut cache = PrefixCache::new(4, 2, 2);
    cache.store("aaaa", 100);
    cache.store("bbbb", 200);
    cache.store("cccc", 300);
    assert_eq!(cache.events(0, 599, 500), (Vec::new(), 0));
    let (events, last) = cache.events(0, 800, 500);
    let seen: Vec<_> = events
        .iter()
        .map(|event| (event.sequence, event.change))
        .collect();
    // The second and the fourth event, a block stored and one evicted, are lost.
    assert_eq!(seen, [(1, CacheChange::Stored), (3, CacheChange::Stored)]);
    assert_eq!(last, 3);
    assert!(cache.events(last, 800, 500).0.is_empty());
}
