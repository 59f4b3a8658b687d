//! The configuration of a process before a store with faults.

use std::sync::Arc;
use std::time::Duration;

use sardinewood::config::Config;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::follow::WatchTimings;
use sardinewood::config::follow::follow;
use sardinewood::store::Expect;
use sardinewood::store::StoreClient;
use sardinewood::store::WriteAnswer;
use serde_json::json;
use testutils::store_stand_in::StoreFaults;
use testutils::store_stand_in::StoreStandIn;
use tokio::task::JoinHandle;

/// A cap on what takes milliseconds, for a machine that is busy.
const PATIENCE: Duration = Duration::from_secs(30);

/// Short pauses, so that faults are seen soon.
const TIMINGS: WatchTimings = WatchTimings {
    wait_ms: 200,
    min_interval_ms: 5,
    relist_ms: 300_000,
    backoff_first_ms: 5,
    backoff_max_ms: 40,
};

struct Fixture {
    store: StoreStandIn,
    client: StoreClient,
    config: Config,
    task: JoinHandle<()>,
}

impl Fixture {
    async fn new(timings: WatchTimings) -> Self {
        let store = StoreStandIn::spawn().await.unwrap();
        let client = StoreClient::new(&store.url()).unwrap();
        let config = Config::default();
        let task = tokio::spawn(follow(client.clone(), config.clone(), timings));
        Self {
            store,
            client,
            config,
            task,
        }
    }

    fn seed(&self, name: &str, deadline_ms: u64) {
        let value = json!({"name": name, "tier": 2, "deadline_ms": deadline_ms});
        self.store.seed("profiles", name, value);
    }

    async fn wait_for(&self, done: impl Fn(&Catalog) -> bool) {
        let mut catalog = self.config.catalog();
        let arrived = catalog.wait_for(|catalog: &Arc<Catalog>| done(catalog));
        tokio::time::timeout(PATIENCE, arrived)
            .await
            .unwrap()
            .unwrap();
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn has(catalog: &Catalog, name: &str, deadline_ms: u64) -> bool {
    let profile = catalog.profiles.get(name);
    profile.is_some_and(|profile| profile.deadline_ms == deadline_ms)
}

#[tokio::test]
async fn follow_takes_in_changes_with_one_list() {
    let fixture = Fixture::new(TIMINGS).await;
    for deadline_ms in 1..=5 {
        fixture.seed("lookup", deadline_ms);
        fixture
            .wait_for(|catalog| has(catalog, "lookup", deadline_ms))
            .await;
    }
    assert_eq!(fixture.client.calls().lists, 1);
}

#[tokio::test]
async fn follow_outage_keeps_what_is_in_force_and_catches_up() {
    // The store answers 503 for a while, and a change is made meanwhile by somebody who still
    // reaches it. What was in force stays so, and after the outage the change arrives.
    let fixture = Fixture::new(TIMINGS).await;
    fixture.seed("lookup", 1);
    fixture.wait_for(|catalog| has(catalog, "lookup", 1)).await;
    fixture.store.set_faults(StoreFaults {
        outage: true,
        ..StoreFaults::default()
    });
    let before = fixture.client.calls().watches;
    fixture.seed("lookup", 2);
    let failed = async {
        while fixture.client.calls().watches < before + 5 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, failed).await.unwrap();
    assert!(!fixture.config.catalog().borrow().profiles.is_empty());
    fixture.store.set_faults(StoreFaults::default());
    fixture.wait_for(|catalog| has(catalog, "lookup", 2)).await;
}

#[tokio::test]
async fn follow_forgotten_changes_are_listed() {
    // The watch was away for longer than the store remembers changes, and an object is
    // changed meanwhile. The answer 410 leads to a list, which shows the change.
    let fixture = Fixture::new(TIMINGS).await;
    fixture.seed("lookup", 1);
    fixture.seed("summary", 1);
    fixture
        .wait_for(|catalog| catalog.profiles.len() == 2)
        .await;
    fixture.store.set_faults(StoreFaults {
        outage: true,
        ..StoreFaults::default()
    });
    fixture.seed("lookup", 2);
    fixture.store.compact();
    fixture.store.set_faults(StoreFaults::default());
    fixture.wait_for(|catalog| has(catalog, "lookup", 2)).await;
    assert!(has(&fixture.config.catalog().borrow(), "summary", 1));
}

#[tokio::test]
async fn follow_silent_watch_is_given_up() {
    // The link to the store goes silent for good in the middle of a watch. The call ends by
    // its own time limit and the next one brings the change.
    let fixture = Fixture::new(TIMINGS).await;
    fixture.seed("lookup", 1);
    fixture.wait_for(|catalog| has(catalog, "lookup", 1)).await;
    fixture.store.set_faults(StoreFaults {
        hang: true,
        ..StoreFaults::default()
    });
    let before = fixture.client.calls().watches;
    let hung = async {
        while fixture.client.calls().watches == before {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, hung).await.unwrap();
    fixture.seed("lookup", 2);
    fixture.store.set_faults(StoreFaults::default());
    fixture.wait_for(|catalog| has(catalog, "lookup", 2)).await;
}

#[tokio::test]
async fn follow_asked_for_a_list_makes_one() {
    let waiting = WatchTimings {
        wait_ms: 30_000,
        ..TIMINGS
    };
    let fixture = Fixture::new(waiting).await;
    fixture.seed("lookup", 1);
    fixture.wait_for(|catalog| has(catalog, "lookup", 1)).await;
    let before = fixture.client.calls().lists;
    fixture.config.want_list();
    let listed = async {
        while fixture.client.calls().lists == before {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, listed).await.unwrap();
}

#[tokio::test]
async fn store_that_returns_from_a_copy() {
    // Guards against a configuration that goes back with the store, and against later writes that
    // are taken for older ones because their revisions were given out before.
    let fixture = Fixture::new(WatchTimings::default()).await;
    fixture.store.set_era(1);
    fixture.seed("lookup", 100);
    fixture
        .wait_for(|catalog| has(catalog, "lookup", 100))
        .await;
    let copy = fixture.store.copy();
    for deadline_ms in 200..220 {
        fixture.seed("lookup", deadline_ms);
    }
    fixture
        .wait_for(|catalog| has(catalog, "lookup", 219))
        .await;
    fixture.store.return_from(&copy, 2);
    fixture.seed("other", 5);
    fixture.wait_for(|catalog| has(catalog, "other", 5)).await;
    assert!(has(&fixture.config.catalog().borrow(), "lookup", 219));
    fixture.seed("lookup", 300);
    fixture
        .wait_for(|catalog| has(catalog, "lookup", 300))
        .await;
}

#[tokio::test]
async fn write_that_expects_a_version_of_an_ended_era() {
    // Guards against a write over another one that the store has given the same revision since.
    let fixture = Fixture::new(WatchTimings::default()).await;
    fixture.store.set_era(1);
    let copy = fixture.store.copy();
    fixture.seed("lookup", 100);
    fixture
        .wait_for(|catalog| has(catalog, "lookup", 100))
        .await;
    let known = fixture
        .client
        .get("profiles", "lookup")
        .await
        .unwrap()
        .unwrap();
    fixture.store.return_from(&copy, 2);
    fixture.seed("other", 5);
    fixture.wait_for(|catalog| has(catalog, "other", 5)).await;
    fixture.seed("lookup", 200);
    fixture
        .wait_for(|catalog| has(catalog, "lookup", 200))
        .await;
    let value = json!({"name": "lookup", "tier": 2, "deadline_ms": 300});
    let written = fixture
        .client
        .put("profiles", "lookup", Expect::Version(known.version), &value)
        .await;
    assert!(
        matches!(written, WriteAnswer::Conflict { current: Some(_) }),
        "{written:?}"
    );
}
