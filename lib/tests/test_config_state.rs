//! Versions that only move forward, whatever source an object comes from.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sardinewood::config::object::Kind;
use sardinewood::config::object::ObjectKey;
use sardinewood::config::state::ConfigState;
use sardinewood::config::state::ListOutcome;
use sardinewood::config::state::MAX_TOMBSTONES;
use sardinewood::config::state::WatchOutcome;
use sardinewood::store::ObjectList;
use sardinewood::store::StoredObject;
use sardinewood::store::WatchBatch;
use sardinewood::store::WatchEvent;
use sardinewood::store::position::StorePosition;
use serde_json::Value;
use serde_json::json;

fn key(name: &str) -> ObjectKey {
    ObjectKey {
        kind: Kind::Profiles,
        name: name.into(),
    }
}

fn stored(name: &str, version: u64, value: Value) -> StoredObject {
    StoredObject {
        kind: "profiles".into(),
        name: name.into(),
        version: StorePosition::new(0, version),
        value,
    }
}

/// A profile whose deadline tells its version.
fn profile(name: &str, version: u64) -> StoredObject {
    let value = json!({"name": name, "tier": 1, "deadline_ms": version});
    stored(name, version, value)
}

fn list(revision: u64, objects: &[StoredObject]) -> ObjectList {
    ObjectList {
        position: StorePosition::new(0, revision),
        objects: objects.to_vec(),
    }
}

fn deleted(name: &str, version: u64) -> WatchEvent {
    WatchEvent::Delete {
        kind: "profiles".into(),
        name: name.into(),
        version: StorePosition::new(0, version),
    }
}

fn deadline_ms(state: &ConfigState, name: &str) -> Option<u64> {
    let catalog = state.catalog();
    catalog
        .profiles
        .get(name)
        .map(|profile| profile.deadline_ms)
}

#[test]
fn apply_list_lagging_replica_changes_nothing() {
    let mut state = ConfigState::default();
    state.apply_list(&list(9, &[profile("a", 8), profile("b", 9)]));
    let outcome = state.apply_list(&list(5, &[profile("a", 3)]));
    assert_eq!(outcome, ListOutcome::Lagging);
    assert_eq!(deadline_ms(&state, "a"), Some(8));
    assert_eq!(deadline_ms(&state, "b"), Some(9));
}

#[test]
fn apply_list_restored_store_keeps_newer_objects() {
    // The store was restored from a copy and has since issued versions above all that it
    // had lost. The list looks newer than what the process holds, but shows an object older.
    // The process keeps what it holds, also the object that the list no longer has.
    let mut state = ConfigState::default();
    state.apply_list(&list(9, &[profile("a", 8), profile("b", 9)]));
    let outcome = state.apply_list(&list(30, &[profile("a", 3), profile("c", 30)]));
    assert_eq!(outcome, ListOutcome::WentBack);
    assert!(state.store_went_back());
    assert_eq!(deadline_ms(&state, "a"), Some(8));
    assert_eq!(deadline_ms(&state, "b"), Some(9));
    assert_eq!(deadline_ms(&state, "c"), Some(30));
    assert_eq!(state.digest().complete_through, StorePosition::new(0, 9));
}

#[test]
fn apply_list_absent_object_is_deleted() {
    let mut state = ConfigState::default();
    state.apply_list(&list(9, &[profile("a", 8), profile("b", 9)]));
    state.apply_list(&list(12, &[profile("a", 8)]));
    assert_eq!(deadline_ms(&state, "b"), None);
    state.apply_object(&profile("b", 11));
    assert_eq!(deadline_ms(&state, "b"), None, "older than the list");
    state.apply_object(&profile("b", 13));
    assert_eq!(deadline_ms(&state, "b"), Some(13));
}

#[test]
fn apply_list_finds_object_that_a_watch_skipped() {
    let mut state = ConfigState::default();
    state.apply_list(&list(4, &[]));
    let skipped = WatchBatch {
        position: StorePosition::new(0, 9),
        events: Vec::new(),
    };
    assert_eq!(
        state.apply_watch(StorePosition::new(0, 4), &skipped),
        WatchOutcome::Continue
    );
    state.apply_list(&list(9, &[profile("a", 6)]));
    assert_eq!(deadline_ms(&state, "a"), Some(6));
}

#[test]
fn apply_watch_regression_asks_for_list() {
    let mut state = ConfigState::default();
    state.apply_list(&list(9, &[profile("a", 8)]));
    let batch = WatchBatch {
        position: StorePosition::new(0, 5),
        events: vec![WatchEvent::Put(profile("a", 5))],
    };
    assert_eq!(
        state.apply_watch(StorePosition::new(0, 9), &batch),
        WatchOutcome::ListAgain
    );
    assert_eq!(deadline_ms(&state, "a"), Some(8));
}

#[test]
fn apply_peer_deleted_object_stays_deleted_without_tombstone() {
    // So many objects are deleted that the first tombstones are dropped. A peer that was
    // cut off all the time still holds the first object and offers it. It is refused,
    // because everything up to that version is known here.
    let mut state = ConfigState::default();
    let mut lagging = ConfigState::default();
    let first = list(1, &[profile("p0", 1)]);
    state.apply_list(&first);
    lagging.apply_list(&first);
    let count = MAX_TOMBSTONES as u64 + 10;
    for number in 0..count {
        let listed = list(
            2 * number + 1,
            &[profile(&format!("p{number}"), 2 * number + 1)],
        );
        assert_eq!(state.apply_list(&listed), ListOutcome::Complete);
        let version = 2 * number + 2;
        let batch = WatchBatch {
            position: StorePosition::new(0, version + 1),
            events: vec![
                deleted(&format!("p{number}"), version),
                WatchEvent::Put(profile(&format!("p{}", number + 1), version + 1)),
            ],
        };
        assert_eq!(
            state.apply_watch(StorePosition::new(0, version - 1), &batch),
            WatchOutcome::Continue
        );
    }
    assert_eq!(state.get(&key("p0")), None, "its tombstone is dropped");
    let digest = state.digest();
    state.apply_peer(&lagging.answer_peer(StorePosition::new(0, 0)));
    assert_eq!(state.digest(), digest);
    lagging.apply_peer(&state.answer_peer(StorePosition::new(0, 1)));
    assert_eq!(lagging.catalog(), state.catalog());
}

#[test]
fn apply_object_bad_version_keeps_last_good_in_force() {
    let mut state = ConfigState::default();
    state.apply_list(&list(3, &[profile("a", 3)]));
    state.apply_object(&stored(
        "a",
        4,
        json!({"name": "a", "tier": 9, "deadline": 1}),
    ));
    assert_eq!(deadline_ms(&state, "a"), Some(3));
    let findings = state.catalog().findings;
    let places: Vec<_> = findings.iter().map(|finding| &finding.place).collect();
    assert_eq!(
        places,
        [
            "profiles/a: tier",
            "profiles/a: deadline_ms",
            "profiles/a: deadline"
        ]
    );
    state.apply_object(&profile("a", 5));
    assert_eq!(deadline_ms(&state, "a"), Some(5));
    assert!(state.catalog().findings.is_empty());
}

/// A history of the store: at each revision one of a few profiles is put or deleted.
fn histories() -> impl Strategy<Value = Vec<(usize, bool)>> {
    vec((0_usize..4, any::<bool>()), 1..40)
}

/// What the store holds after the first `revision` changes.
fn replica(history: &[(usize, bool)], revision: usize) -> ObjectList {
    let mut objects: [Option<StoredObject>; 4] = [const { None }; 4];
    for (index, &(name, put)) in history[..revision].iter().enumerate() {
        let version = index as u64 + 1;
        objects[name] = put.then(|| profile(&format!("p{name}"), version));
    }
    list(
        revision as u64,
        &objects.into_iter().flatten().collect::<Vec<_>>(),
    )
}

/// The changes after a revision, as a watch reports them.
fn changes(history: &[(usize, bool)], after: usize, through: usize) -> WatchBatch {
    let events = history[after..through].iter().enumerate();
    let events = events.map(|(index, &(name, put))| {
        let version = (after + index) as u64 + 1;
        let name = format!("p{name}");
        if put {
            WatchEvent::Put(profile(&name, version))
        } else {
            deleted(&name, version)
        }
    });
    WatchBatch {
        position: StorePosition::new(0, through as u64),
        events: events.collect(),
    }
}

/// A step of the property test, with positions as shares of the history.
type Step = (u8, prop::sample::Index, prop::sample::Index);

/// Applies one step to one of two processes: a list from a replica of any age, a watch
/// from and to any revision, or what the other process holds.
fn take_step(states: &mut [ConfigState; 2], history: &[(usize, bool)], step: &Step) {
    let (choice, first, second) = step;
    let own = usize::from(choice & 1);
    let positions = [
        first.index(history.len() + 1),
        second.index(history.len() + 1),
    ];
    match choice >> 1 {
        0 => {
            states[own].apply_list(&replica(history, positions[0]));
        }
        1 => {
            let [after, through] = [
                positions[0].min(positions[1]),
                positions[0].max(positions[1]),
            ];
            states[own].apply_watch(
                StorePosition::new(0, after as u64),
                &changes(history, after, through),
            );
        }
        _ => {
            let after = states[own].digest().complete_through;
            let answer = states[1 - own].answer_peer(after);
            states[own].apply_peer(&answer);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn config_state_any_order_never_goes_back_and_converges(
        history in histories(),
        steps in vec((0_u8..6, any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..30),
    ) {
        let mut states = [ConfigState::default(), ConfigState::default()];
        for step in &steps {
            let before = states.clone();
            take_step(&mut states, &history, step);
            for (old, new) in before.iter().zip(&states) {
                prop_assert!(old.digest().complete_through <= new.digest().complete_through);
                for name in 0..4 {
                    let key = key(&format!("p{name}"));
                    let old_version = old.get(&key).map(|(version, _)| version);
                    let new_version = new.get(&key).map(|(version, _)| version);
                    prop_assert!(old_version <= new_version, "{name} went back");
                }
            }
        }
        let last = replica(&history, history.len());
        let [mut first, mut second] = states;
        first.apply_list(&last);
        let mut expected = ConfigState::default();
        expected.apply_list(&last);
        prop_assert_eq!(first.catalog(), expected.catalog());
        let after = second.digest().complete_through;
        second.apply_peer(&first.answer_peer(after));
        prop_assert_eq!(second.catalog(), expected.catalog());
    }
}

/// A profile as an entry wrote it at a time.
fn changed(name: &str, position: StorePosition, at_ms: u64) -> StoredObject {
    let change = json!({"id": format!("c{at_ms}"), "who": "selma", "at_ms": at_ms, "why": "",
        "from": "10.0.0.7"});
    let spec = json!({"name": name, "tier": 1, "deadline_ms": at_ms});
    StoredObject {
        version: position,
        ..stored(name, 0, json!({"spec": spec, "change": change}))
    }
}

fn list_at(position: StorePosition, objects: &[StoredObject]) -> ObjectList {
    ObjectList {
        position,
        objects: objects.to_vec(),
    }
}

fn at(era: u32, revision: u64) -> StorePosition {
    StorePosition::new(era, revision)
}

/// Returns a process that has listed two profiles in the first era.
fn listed_in_first_era() -> ConfigState {
    let mut state = ConfigState::default();
    let objects = [changed("a", at(1, 5), 500), changed("b", at(1, 41), 600)];
    state.apply_list(&list_at(at(1, 41), &objects));
    state
}

#[test]
fn apply_list_older_copy_takes_nothing_back() {
    // Guards against a process that goes back, or drops a profile, when the store has returned from
    // a copy; and against one that takes no later write.
    let mut state = listed_in_first_era();
    let copy = list_at(at(2, 30), &[changed("a", at(2, 4), 100)]);
    assert_eq!(state.apply_list(&copy), ListOutcome::Complete);
    assert_eq!(deadline_ms(&state, "a"), Some(500));
    assert_eq!(deadline_ms(&state, "b"), Some(600));
    state.apply_object(&changed("a", at(2, 31), 900));
    assert_eq!(deadline_ms(&state, "a"), Some(900));
}

#[test]
fn apply_peer_only_with_the_copy_removes_nothing() {
    // Guards against a process that has started with the copy alone and tells the others that what
    // it lacks was removed.
    let mut state = listed_in_first_era();
    let mut started = ConfigState::default();
    started.apply_list(&list_at(at(2, 30), &[changed("a", at(2, 4), 100)]));
    state.apply_peer(&started.answer_peer(at(1, 41)));
    assert_eq!(deadline_ms(&state, "a"), Some(500));
    assert_eq!(deadline_ms(&state, "b"), Some(600));
    assert_ne!(state.digest().hash, started.digest().hash);
    started.apply_peer(&state.answer_peer(at(2, 0)));
    assert_eq!(deadline_ms(&started, "a"), Some(500));
}

#[test]
fn apply_list_of_an_ended_era_changes_nothing() {
    let mut state = listed_in_first_era();
    state.apply_list(&list_at(at(2, 30), &[changed("a", at(2, 30), 700)]));
    let late = list_at(at(1, 90), &[changed("a", at(1, 90), 650)]);
    assert_eq!(state.apply_list(&late), ListOutcome::Lagging);
    assert_eq!(deadline_ms(&state, "a"), Some(700));
}
