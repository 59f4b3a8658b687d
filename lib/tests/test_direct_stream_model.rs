//! A model in virtual time of entries that start, are killed and lose sight of the store, while versions
//! come and go and callers take streams up.

use std::sync::Arc;

use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::streams::origin::StreamKey;
use sardinewood::direct::streams::origin::StreamOrigin;
use sardinewood::direct::streams::origin_records::OriginRecords;
use sardinewood::direct::streams::version_history::ServiceVersion;
use sardinewood::direct::streams::version_history::VersionHistory;

const ENTRIES: usize = 4;
const STEP_MS: u64 = 500;
const LENGTH_MS: u64 = 400_000;
/// Age of a list from which on an entry claims nothing.
const LIST_BOUND_MS: u64 = 2_000;
/// The longest time for which a caller waits.
const LONGEST_MS: u64 = 60_000;

/// What is drawn in a play.
#[derive(Clone, Copy)]
struct Odds {
    /// Chance a step that the version changes to a new one.
    change: f64,
    /// Chance that it changes back to the one before.
    back: f64,
    /// Chances that one entry or all are killed, and that an entry loses sight of the store.
    kill: f64,
    kill_all: f64,
    cut: f64,
    /// Chance that a record is lost on its way to an entry.
    loss: f64,
}

const CALM: Odds = Odds {
    change: 0.0,
    back: 0.0,
    kill: 0.0,
    kill_all: 0.0,
    cut: 0.0,
    loss: 0.0,
};

/// An entry as far as it knows where streams began.
struct Entry {
    history: VersionHistory,
    records: OriginRecords,
    listed_at_ms: u64,
    cut_until_ms: u64,
}

impl Entry {
    fn new(now_ms: u64) -> Self {
        let mut history = VersionHistory::default();
        history.set_longest_stream_ms(LONGEST_MS);
        Self {
            history,
            records: OriginRecords::default(),
            listed_at_ms: now_ms,
            cut_until_ms: 0,
        }
    }

    fn may_list_be_old(&self, now_ms: u64) -> bool {
        now_ms - self.listed_at_ms > LIST_BOUND_MS
    }

    fn follow(&mut self, listed: &IndexSet<ServiceVersion>, now_ms: u64) {
        if self.may_list_be_old(now_ms) {
            self.history.record_gap(now_ms);
        }
        if now_ms >= self.cut_until_ms {
            self.listed_at_ms = now_ms;
            self.history.update(listed, now_ms);
        }
    }

    fn only_version(&self, route_timeout_ms: u64, now_ms: u64) -> Option<Arc<str>> {
        if self.may_list_be_old(now_ms) {
            return None;
        }
        let only = self.history.only_version("pool", route_timeout_ms, now_ms);
        only.ok()
    }

    /// Returns the version at which this entry would go on with a stream.
    fn origin(&self, key: StreamKey, route_timeout_ms: u64, now_ms: u64) -> Option<Arc<str>> {
        let recorded = self.records.get(key, now_ms);
        let recorded = recorded.map(|origin| Arc::clone(&origin.version));
        recorded.or_else(|| self.only_version(route_timeout_ms, now_ms))
    }
}

/// A stream whose caller may take it up.
struct Stream {
    key: StreamKey,
    version: Arc<str>,
    taken_up_at_ms: u64,
}

/// Take-ups that went on, and those that were refused.
#[derive(Debug, Default)]
struct TakeUps {
    served: usize,
    refused: usize,
}

/// Plays a drawn course of events, and asserts that no stream goes on at another version.
fn play(seed: u64, odds: Odds) -> TakeUps {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| Entry::new(0)).collect();
    let mut version = 0;
    let mut newest = 0;
    let mut previous = 0;
    let mut overlap_until_ms = 0;
    let mut streams: Vec<Stream> = Vec::new();
    let mut take_ups = TakeUps::default();
    let mut begun = 0_u64;
    for now_ms in (0..LENGTH_MS / STEP_MS).map(|step| step * STEP_MS) {
        if rng.random_bool(odds.change) {
            newest += 1;
            previous = std::mem::replace(&mut version, newest);
            overlap_until_ms = now_ms + rng.random_range(0..3) * 5_000;
        } else if rng.random_bool(odds.back) {
            std::mem::swap(&mut previous, &mut version);
        }
        let mut listed = versions(version);
        if now_ms < overlap_until_ms {
            listed.extend(versions(previous));
        }
        for entry in &mut entries {
            if rng.random_bool(odds.kill) {
                *entry = Entry::new(now_ms);
            }
            if rng.random_bool(odds.cut) {
                entry.cut_until_ms = now_ms + rng.random_range(0..30_000);
            }
        }
        if rng.random_bool(odds.kill_all) {
            entries = (0..ENTRIES).map(|_| Entry::new(now_ms)).collect();
        }
        for entry in &mut entries {
            entry.follow(&listed, now_ms);
        }
        // The timeout of the route changes with the configuration, and bounds no caller's wait.
        let route_timeout_ms = rng.random_range(1_000..20_000);
        let due = streams.extract_if(.., |stream| stream.taken_up_at_ms <= now_ms);
        for stream in due {
            let first = rng.random_range(0..ENTRIES);
            let mut asked = (0..ENTRIES).map(|number| &entries[(first + number) % ENTRIES]);
            let origin = asked.find_map(|entry| entry.origin(stream.key, route_timeout_ms, now_ms));
            match origin {
                Some(origin) => {
                    assert_eq!(origin, stream.version, "seed {seed}, at {now_ms} ms");
                    take_ups.served += 1;
                }
                None => take_ups.refused += 1,
            }
        }
        begun += 1;
        let key = StreamKey::new(None, "notes", &begun.to_le_bytes());
        let chosen = rng.random_range(0..listed.len());
        let origin = StreamOrigin {
            service: "pool".into(),
            version: Arc::clone(&listed[chosen].1),
        };
        let deadline_ms = now_ms + rng.random_range(1_000..=LONGEST_MS);
        let relaying = rng.random_range(0..ENTRIES);
        let is_needed = entries[relaying]
            .only_version(route_timeout_ms, now_ms)
            .is_none();
        for (number, entry) in entries.iter_mut().enumerate() {
            let is_told = is_needed && !rng.random_bool(odds.loss);
            if number == relaying || is_told {
                entry
                    .records
                    .insert(key, origin.clone(), deadline_ms, now_ms);
            }
        }
        streams.push(Stream {
            key,
            version: origin.version,
            // A step is played late by less than its length.
            taken_up_at_ms: rng.random_range(now_ms + 1..=deadline_ms - STEP_MS),
        });
    }
    take_ups
}

fn versions(number: u32) -> IndexSet<ServiceVersion> {
    [("pool".into(), format!("v{number}").into())].into()
}

/// Guards against streams joined from two versions, whatever starts, fails and changes.
#[test]
fn take_up_of_drawn_courses_never_at_another_version() {
    let odds = Odds {
        change: 0.01,
        kill: 0.01,
        kill_all: 0.01,
        cut: 0.01,
        loss: 0.1,
        ..CALM
    };
    let mut served = 0;
    for seed in 0..300 {
        served += play(seed, odds).served;
    }
    assert!(served > 0);
}

/// Guards against the same where all entries start again and again as versions change.
#[test]
fn take_up_among_starts_of_all_entries_never_at_another_version() {
    let odds = Odds {
        change: 0.05,
        kill_all: 0.05,
        ..CALM
    };
    for seed in 0..300 {
        play(seed, odds);
    }
}

/// Guards against a version that came and went while an entry was cut off from the store.
#[test]
fn take_up_after_a_version_that_an_entry_missed_never_at_another_one() {
    let odds = Odds {
        change: 0.005,
        back: 0.1,
        cut: 0.01,
        kill: 0.01,
        loss: 0.5,
        ..CALM
    };
    for seed in 0..300 {
        play(seed, odds);
    }
}

/// Guards against take-ups refused although there is one version and all entries live on.
#[test]
fn take_up_in_calm_always_served() {
    for seed in 0..20 {
        let take_ups = play(seed, CALM);
        assert_eq!(take_ups.refused, 0, "seed {seed}: {take_ups:?}");
    }
}

/// Guards against take-ups refused because single entries were killed.
#[test]
fn take_up_among_single_kills_mostly_served() {
    let odds = Odds {
        kill: 0.005,
        ..CALM
    };
    let mut all = TakeUps::default();
    for seed in 0..100 {
        let take_ups = play(seed, odds);
        all.served += take_ups.served;
        all.refused += take_ups.refused;
    }
    assert!(all.refused * 100 < all.served, "{all:?}");
}
