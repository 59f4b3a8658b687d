//! Two operators, lost answers, outages and stale replicas around one change.

use std::time::Duration;

use sardinewood::config::Config;
use sardinewood::config::audit::Change;
use sardinewood::config::audit::MAX_HISTORY;
use sardinewood::config::audit::MAX_HISTORY_BYTES;
use sardinewood::config::audit::Record;
use sardinewood::config::object::Kind;
use sardinewood::operator::change::Author;
use sardinewood::operator::change::NotDone;
use sardinewood::operator::change::carry_out;
use sardinewood::operator::messages::Action;
use sardinewood::operator::messages::ChangeAnswer;
use sardinewood::operator::messages::ChangeRequest;
use sardinewood::operator::messages::Expected;
use sardinewood::operator::retention::RETENTION_MS;
use sardinewood::store::StoreClient;
use sardinewood::store::position::StorePosition;
use serde_json::Value;
use serde_json::json;
use testutils::store_stand_in::StoreFaults;
use testutils::store_stand_in::StoreStandIn;

/// An entry's part in a change, before a store of its own.
struct Fixture {
    store: StoreStandIn,
    client: StoreClient,
    config: Config,
}

impl Fixture {
    async fn new() -> Self {
        let store = StoreStandIn::spawn().await.unwrap();
        let client = StoreClient::new(&store.url()).unwrap();
        let config = Config::default();
        Self {
            store,
            client,
            config,
        }
    }

    async fn ask(&self, who: &str, request: &ChangeRequest) -> Result<ChangeAnswer, NotDone> {
        let author = Author {
            who: who.into(),
            from: "10.0.0.7".into(),
            at_ms: 1_000,
        };
        carry_out(&self.client, &self.config, request, &author).await
    }

    /// Reads show from now on what they show now.
    async fn stop_replica(&self) {
        self.client.get("profiles", "lookup").await.unwrap();
        self.store.set_read_lag(Duration::MAX);
    }

    fn record(&self) -> Record {
        let object = self.store.object("profiles", "lookup").unwrap();
        Record::from_value(object.value)
    }

    fn deadline_in_force_ms(&self) -> Option<u64> {
        let catalog = self.config.catalog();
        let catalog = catalog.borrow();
        catalog
            .profiles
            .get("lookup")
            .map(|profile| profile.deadline_ms)
    }
}

fn spec(deadline_ms: u64) -> Value {
    json!({"name": "lookup", "tier": 2, "deadline_ms": deadline_ms})
}

fn put(id: &str, expected: Expected, deadline_ms: u64) -> ChangeRequest {
    ChangeRequest {
        id: id.into(),
        kind: Kind::Profiles,
        name: "lookup".into(),
        expected,
        action: Action::Put(spec(deadline_ms)),
        reason: "depots wait".into(),
        dry_run: false,
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "it is compared with what a call returns"
)]
fn accepted(version: u64) -> Result<ChangeAnswer, NotDone> {
    Ok(ChangeAnswer::Accepted {
        version: StorePosition::new(0, version),
    })
}

fn change(id: &str) -> Change {
    Change {
        id: id.into(),
        who: "selma".into(),
        at_ms: 1,
        why: "because".into(),
        from: "10.0.0.7".into(),
        based_on_version: None,
    }
}

#[tokio::test]
async fn carry_out_two_phones_second_sees_what_the_first_changed() {
    // Both operators look at version 1 and change it at once. One change is in force; the
    // other operator is told so, and sees what the first one wrote, who it was and why.
    let fixture = Fixture::new().await;
    let created = put("c0", Expected::Absent, 1_000);
    assert_eq!(fixture.ask("selma", &created).await, accepted(1));
    let first = put("c1", Expected::Version(StorePosition::new(0, 1)), 2_000);
    let second = put("c2", Expected::Version(StorePosition::new(0, 1)), 3_000);
    let (first, second) =
        tokio::join!(fixture.ask("selma", &first), fixture.ask("petrus", &second));
    let (conflict, winner, deadline_ms) = match (first, second) {
        (
            Ok(ChangeAnswer::Accepted {
                version: StorePosition { revision: 2, .. },
            }),
            Ok(conflict),
        ) => (conflict, "selma", 2_000),
        (
            Ok(conflict),
            Ok(ChangeAnswer::Accepted {
                version: StorePosition { revision: 2, .. },
            }),
        ) => (conflict, "petrus", 3_000),
        other => panic!("{other:?}"),
    };
    let ChangeAnswer::Conflict {
        current: Some(current),
    } = conflict
    else {
        panic!("{conflict:?}");
    };
    assert_eq!(current.spec, Some(spec(deadline_ms)));
    let change = current.change.unwrap();
    assert_eq!((&*change.who, &*change.why), (winner, "depots wait"));
    assert_eq!(fixture.deadline_in_force_ms(), Some(deadline_ms));
}

#[tokio::test]
async fn carry_out_lost_answer_is_settled_by_reading_back() {
    let fixture = Fixture::new().await;
    fixture.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let created = put("c0", Expected::Absent, 1_000);
    assert_eq!(fixture.ask("selma", &created).await, accepted(1));
    assert_eq!(fixture.deadline_in_force_ms(), Some(1_000));
    assert_eq!(fixture.client.calls().writes, 1, "it is not written twice");
}

#[tokio::test]
async fn carry_out_lost_answer_and_stale_replica_is_not_known_until_asked_again() {
    // The answer of a write is lost, and all reads come from a replica that has stopped. The
    // object looks unchanged there, which proves nothing. When the replica is back, the
    // operator sends the same request again and hears that the first one was accepted.
    let fixture = Fixture::new().await;
    let created = put("c0", Expected::Absent, 1_000);
    assert_eq!(fixture.ask("selma", &created).await, accepted(1));
    fixture.stop_replica().await;
    fixture.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let request = put("c1", Expected::Version(StorePosition::new(0, 1)), 2_000);
    assert_eq!(
        fixture.ask("selma", &request).await,
        Ok(ChangeAnswer::NotKnownYet)
    );
    fixture.store.set_read_lag(Duration::ZERO);
    assert_eq!(fixture.ask("selma", &request).await, accepted(2));
    assert_eq!(fixture.record().history.len(), 1, "one change, one record");
    assert_eq!(fixture.client.calls().writes, 2);
}

#[tokio::test]
async fn carry_out_lost_answer_then_replaced_is_still_accepted() {
    // The first operator's answer is lost for good. The second operator has changed the object
    // since. The first one asks again and must not hear of a conflict: the change was in force.
    let fixture = Fixture::new().await;
    let request = put("c0", Expected::Absent, 1_000);
    assert_eq!(fixture.ask("selma", &request).await, accepted(1));
    let replaced = put("c1", Expected::Version(StorePosition::new(0, 1)), 2_000);
    assert_eq!(fixture.ask("petrus", &replaced).await, accepted(2));
    assert_eq!(fixture.ask("selma", &request).await, accepted(1));
    assert_eq!(fixture.deadline_in_force_ms(), Some(2_000));
}

#[tokio::test]
async fn carry_out_outage_changes_nothing_and_says_so() {
    let fixture = Fixture::new().await;
    let outage = StoreFaults {
        outage: true,
        ..StoreFaults::default()
    };
    fixture.store.set_faults(outage);
    let request = put("c0", Expected::Absent, 1_000);
    let answer = fixture.ask("selma", &request).await;
    assert!(matches!(answer, Err(NotDone::Store(_))), "{answer:?}");
    assert_eq!(fixture.client.calls().writes, 0);
    fixture.store.set_faults(StoreFaults::default());
    assert_eq!(fixture.ask("selma", &request).await, accepted(1));
}

#[tokio::test]
async fn carry_out_limited_write_changes_nothing() {
    let fixture = Fixture::new().await;
    fixture.store.set_faults(StoreFaults {
        writes_per_s: Some(0),
        ..StoreFaults::default()
    });
    let answer = fixture
        .ask("selma", &put("c0", Expected::Absent, 1_000))
        .await;
    assert!(matches!(answer, Err(NotDone::Store(_))), "{answer:?}");
    assert!(fixture.store.object("profiles", "lookup").is_none());
}

#[tokio::test]
async fn carry_out_stale_replica_does_not_lose_the_trail() {
    // The entry knows version 2, but the replica that it reads shows version 1. Writing on
    // top of that record would drop the change to version 2 from the trail.
    let fixture = Fixture::new().await;
    assert_eq!(
        fixture
            .ask("selma", &put("c0", Expected::Absent, 1_000))
            .await,
        accepted(1)
    );
    fixture.stop_replica().await;
    let second = put("c1", Expected::Version(StorePosition::new(0, 1)), 2_000);
    assert_eq!(fixture.ask("selma", &second).await, accepted(2));
    let third = put("c2", Expected::Version(StorePosition::new(0, 2)), 3_000);
    assert_eq!(fixture.ask("selma", &third).await, Err(NotDone::Behind));
    fixture.store.set_read_lag(Duration::ZERO);
    assert_eq!(fixture.ask("selma", &third).await, accepted(3));
    assert_eq!(fixture.record().history.len(), 2);
}

#[tokio::test]
async fn carry_out_removed_object_keeps_its_trail_and_can_return() {
    let fixture = Fixture::new().await;
    assert_eq!(
        fixture
            .ask("selma", &put("c0", Expected::Absent, 1_000))
            .await,
        accepted(1)
    );
    let removal = ChangeRequest {
        action: Action::Delete,
        ..put("c1", Expected::Version(StorePosition::new(0, 1)), 0)
    };
    assert_eq!(fixture.ask("petrus", &removal).await, accepted(2));
    assert_eq!(fixture.deadline_in_force_ms(), None);
    let record = fixture.record();
    assert_eq!(
        (record.spec, &*record.change.unwrap().who),
        (None, "petrus")
    );
    let again = put("c2", Expected::Absent, 3_000);
    assert_eq!(fixture.ask("selma", &again).await, accepted(3));
    assert_eq!(fixture.deadline_in_force_ms(), Some(3_000));
    assert_eq!(fixture.record().history.len(), 2);
}

#[tokio::test]
async fn carry_out_dry_run_writes_nothing() {
    let fixture = Fixture::new().await;
    let request = ChangeRequest {
        dry_run: true,
        ..put("c0", Expected::Absent, 1_000)
    };
    let answer = fixture.ask("selma", &request).await;
    assert!(
        matches!(answer, Ok(ChangeAnswer::Checked { .. })),
        "{answer:?}"
    );
    assert_eq!(fixture.client.calls().writes, 0);
}

#[tokio::test]
async fn carry_out_wrong_objects_are_refused_with_all_findings() {
    let fixture = Fixture::new().await;
    assert_eq!(
        fixture
            .ask("selma", &put("c0", Expected::Absent, 1_000))
            .await,
        accepted(1)
    );
    let customer = |profile: &str| ChangeRequest {
        kind: Kind::Customers,
        name: "rundu".into(),
        action: Action::Put(json!({
            "name": "rundu", "weight": 1, "default_profile": profile, "key_sha256": [],
        })),
        ..put(profile, Expected::Absent, 0)
    };
    let answer = fixture.ask("selma", &customer("gone")).await;
    assert!(
        matches!(answer, Ok(ChangeAnswer::Refused { .. })),
        "{answer:?}"
    );
    assert_eq!(fixture.ask("selma", &customer("lookup")).await, accepted(2));
    let removal = ChangeRequest {
        action: Action::Delete,
        ..put("c1", Expected::Version(StorePosition::new(0, 1)), 0)
    };
    let Ok(ChangeAnswer::Refused { findings }) = fixture.ask("selma", &removal).await else {
        panic!("a profile in use was removed");
    };
    let in_use = "profiles/lookup: is the default profile of customer `rundu`";
    assert_eq!(findings, [in_use.into()]);
}

#[tokio::test]
async fn carry_out_removal_takes_away_records_that_had_their_time() {
    // Three objects were removed long ago and one yesterday. A removal today takes two of the
    // oldest records away, and never one that was created anew.
    let fixture = Fixture::new().await;
    let day_ms = 24 * 60 * 60 * 1_000;
    let today_ms = RETENTION_MS + 10 * day_ms;
    let removals = [
        ("a", 1),
        ("b", 1),
        ("c", 1),
        ("d", today_ms - day_ms),
        ("e", today_ms),
    ];
    for (name, at_ms) in removals {
        let created = ChangeRequest {
            name: name.into(),
            action: Action::Put(json!({"name": name, "tier": 2, "deadline_ms": 1_000})),
            ..put(&format!("new-{name}"), Expected::Absent, 0)
        };
        let Ok(ChangeAnswer::Accepted { version }) = fixture.ask("selma", &created).await else {
            panic!("{name} was not created");
        };
        let removed = ChangeRequest {
            id: format!("old-{name}").into(),
            expected: Expected::Version(version),
            action: Action::Delete,
            ..created
        };
        let author = Author {
            who: "selma".into(),
            from: "10.0.0.7".into(),
            at_ms,
        };
        let answer = carry_out(&fixture.client, &fixture.config, &removed, &author).await;
        assert!(
            matches!(answer, Ok(ChangeAnswer::Accepted { .. })),
            "{answer:?}"
        );
    }
    let kept = |name: &&str| fixture.store.object("profiles", name).is_some();
    let kept: Vec<_> = ["a", "b", "c", "d", "e"].into_iter().filter(kept).collect();
    assert_eq!(kept, ["c", "d", "e"]);
}

#[test]
fn succeeded_by_keeps_the_history_bounded() {
    let mut record = Record::from_value(json!({"text": "a"}));
    for version in 1..=100_u64 {
        let spec = json!({"text": "a", "number": version});
        record = record.succeeded_by(
            StorePosition::new(0, version),
            Some(spec),
            change(&format!("c{version}")),
        );
    }
    assert_eq!(record.history.len(), MAX_HISTORY);
    assert_eq!(record.forgotten, 100 - MAX_HISTORY as u64);
    assert_eq!(
        record.version_of("c99", StorePosition::new(0, 101)),
        Some(StorePosition::new(0, 100))
    );
    assert_eq!(
        record.version_of("c100", StorePosition::new(0, 101)),
        Some(StorePosition::new(0, 101))
    );
    let long = json!({"text": "a".repeat(MAX_HISTORY_BYTES / 3)});
    for version in 101..=110_u64 {
        record = record.succeeded_by(
            StorePosition::new(0, version),
            Some(long.clone()),
            change("long"),
        );
    }
    let bytes = serde_json::to_string(&record.history).unwrap().len();
    assert!(bytes <= MAX_HISTORY_BYTES, "{bytes}");
    assert!(!record.history.is_empty());
}
