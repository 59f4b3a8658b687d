//! Commands and queries against an entry's own operator API before a store that fails.

use sardinewood::config::Config;
use sardinewood::config::follow::WatchTimings;
use sardinewood::config::follow::follow;
use sardinewood::operator;
use sardinewood::operator::api::OperatorApi;
use sardinewood::secrets::sha256_hex;
use sardinewood::store::StoreClient;
use sardinewood::tls::TlsFeed;
use sardinewood::tls::TlsSettings;
use sardinewoodctl::exit_code::End;
use serde_json::Value;
use serde_json::json;
use testutils::store_stand_in::StoreFaults;
use testutils::store_stand_in::StoreStandIn;
use tokio_util::sync::CancellationToken;

use crate::captured_run::Captured;
use crate::captured_run::run_as;
use crate::captured_run::run_line;
use crate::fake_operator_api::TOKEN;

const READ_TOKEN: &str = "petrus-token";

/// An entry's operators' port and the store behind it.
struct Entry {
    store: StoreStandIn,
    url: String,
    stop: CancellationToken,
}

impl Entry {
    async fn start() -> Self {
        Self::start_with(None).await
    }

    async fn start_with(tls: Option<TlsFeed>) -> Self {
        let store = StoreStandIn::spawn().await.unwrap();
        store.seed(
            "profiles",
            "lookup",
            json!({"name": "lookup", "tier": 2, "deadline_ms": 800}),
        );
        for (name, role, token) in [("selma", "write", TOKEN), ("petrus", "read", READ_TOKEN)] {
            let hash = sha256_hex(token);
            let operator = json!({"name": name, "role": role, "token_sha256": [hash]});
            store.seed("operators", name, operator);
        }
        let client = StoreClient::new(&store.url()).unwrap();
        let config = Config::default();
        tokio::spawn(follow(
            client.clone(),
            config.clone(),
            WatchTimings::default(),
        ));
        let mut catalog = config.catalog();
        let ready = catalog.wait_for(|catalog| catalog.operators.len() == 2);
        drop(ready.await.unwrap());
        let api = OperatorApi::new("wdh-e1", config, client);
        let stop = CancellationToken::new();
        let free = "127.0.0.1:0".parse().unwrap();
        let address = operator::server::spawn_secured(free, api, tls, stop.clone());
        let address = address.await.unwrap();
        let url = format!("http://{address}");
        Self { store, url, stop }
    }

    async fn run(&self, words: &[&str]) -> Captured {
        run_line(&self.url, &[words, &["--reason", "test"]].concat()).await
    }

    async fn audit(&self) -> Value {
        let run = self
            .run(&["audit", "--who", "selma", "--output", "json"])
            .await;
        serde_json::from_str(&run.answer).unwrap()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

#[tokio::test]
async fn set_show_audit_tell_the_same_story() {
    let entry = Entry::start().await;
    let run = entry
        .run(&["profile", "set", "lookup", "tier=1", "--wait"])
        .await;
    assert_eq!(run.end, End::Done, "{run:?}");
    let shown = entry
        .run(&["profile", "show", "lookup", "--output", "json"])
        .await;
    let shown: Value = serde_json::from_str(&shown.answer).unwrap();
    assert_eq!(shown["spec"]["tier"], 1);
    assert_eq!(shown["change"]["who"], "selma");
    let trail = entry.audit().await;
    assert_eq!(trail["entries"].as_array().unwrap().len(), 1);
    assert_eq!(trail["entries"][0]["before"]["tier"], 2);
    assert_eq!(trail["entries"][0]["after"]["tier"], 1);
}

#[tokio::test]
async fn set_wrong_object_is_refused_with_every_finding() {
    let entry = Entry::start().await;
    let run = entry
        .run(&["profile", "set", "lookup", "tier=9", "colour=red"])
        .await;
    assert_eq!(run.end, End::Refused);
    insta::assert_snapshot!(run.answer, @r"
    refused: profiles/lookup is not changed
      profiles/lookup: tier: is not from 0 to 4
      profiles/lookup: colour: is no field of this object
    ");
}

#[tokio::test]
async fn set_store_loses_the_answer_is_one_accepted_change() {
    // The store takes the write and its answer is lost. The operator sees "accepted", because
    // the change is read back by its id, and the trail has it once.
    let entry = Entry::start().await;
    entry.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let run = entry.run(&["profile", "set", "lookup", "tier=1"]).await;
    assert_eq!(run.end, End::Done, "{run:?}");
    assert_eq!(entry.audit().await["entries"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn set_in_an_outage_changes_nothing_and_says_so() {
    // The store answers nothing but 503. The run tries for as long as it may, then says that
    // nothing was changed; queries still work. After the outage the command goes through.
    let entry = Entry::start().await;
    entry.store.set_faults(StoreFaults {
        outage: true,
        ..StoreFaults::default()
    });
    let words = ["profile", "set", "lookup", "tier=1", "--timeout-ms", "700"];
    let run = entry.run(&words).await;
    assert_eq!(run.end, End::NotReachable, "{run:?}");
    assert!(
        run.notes.contains("this call has changed nothing"),
        "{run:?}"
    );
    assert_eq!(entry.run(&["profile", "list"]).await.end, End::Done);

    entry.store.set_faults(StoreFaults::default());
    let run = entry.run(&["profile", "set", "lookup", "tier=1"]).await;
    assert_eq!(run.end, End::Done, "{run:?}");
}

#[tokio::test]
async fn set_with_an_old_version_conflicts_and_names_the_other_change() {
    // Both operators saw the same version. The second one's change must not undo the
    // first one's without her knowing of it.
    let entry = Entry::start().await;
    let seen = entry
        .store
        .object("profiles", "lookup")
        .unwrap()
        .version
        .to_string();
    let first = entry.run(&["profile", "set", "lookup", "tier=0"]).await;
    assert_eq!(first.end, End::Done);
    let words = [
        "profile",
        "set",
        "lookup",
        "tier=4",
        "--expect-version",
        &seen,
    ];
    let second = entry.run(&words).await;
    assert_eq!(second.end, End::Conflict);
    assert!(second.answer.contains("by selma: test\n"), "{second:?}");
    let shown = entry
        .run(&["profile", "show", "lookup", "--output", "json"])
        .await;
    let shown: Value = serde_json::from_str(&shown.answer).unwrap();
    assert_eq!(shown["spec"]["tier"], 0);
}

#[tokio::test]
async fn delete_then_set_creates_again() {
    let entry = Entry::start().await;
    assert_eq!(
        entry.run(&["profile", "delete", "lookup"]).await.end,
        End::Done
    );
    let shown = entry.run(&["profile", "show", "lookup"]).await;
    assert_eq!(shown.end, End::NotFound);
    assert!(
        shown.answer.ends_with("by selma: test\nremoved\n"),
        "{shown:?}"
    );
    let words = ["profile", "set", "lookup", "tier=3", "deadline_ms=5"];
    let run = entry.run(&words).await;
    assert_eq!(run.end, End::Done, "{run:?}");
}

#[tokio::test]
async fn watch_prints_a_change_as_it_comes() {
    let entry = Entry::start().await;
    let watch = entry.run(&["watch", "--limit", "1"]);
    let change = async {
        // A change before the watch has begun would not be printed, so they are made until
        // the watch has seen one.
        for tier in (0..5).cycle() {
            let field = format!("tier={tier}");
            entry.run(&["profile", "set", "lookup", &field]).await;
        }
    };
    let run = tokio::select! {
        run = watch => run,
        () = change => unreachable!("changes go on for ever"),
    };
    assert_eq!(run.end, End::Done, "{run:?}");
    assert!(
        run.answer.starts_with("profiles/lookup is version "),
        "{run:?}"
    );
}

#[tokio::test]
async fn set_with_a_read_token_is_not_allowed() {
    let entry = Entry::start().await;
    let words = ["profile", "set", "lookup", "tier=1", "--reason", "test"];
    let run = run_as(&entry.url, READ_TOKEN, &words).await;
    assert_eq!(run.end, End::NotAllowed, "{run:?}");
    assert_eq!(
        run_as(&entry.url, READ_TOKEN, &["status"]).await.end,
        End::Done
    );
}

#[tokio::test]
async fn status_over_tls_needs_a_trusted_certificate() {
    let name = format!("sardinewoodctl-tls-{:016x}", rand::random::<u64>());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir(&directory).unwrap();
    let pair = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
    let (certificate, key) = (directory.join("cert.pem"), directory.join("key.pem"));
    std::fs::write(&certificate, pair.cert.pem()).unwrap();
    std::fs::write(&key, pair.signing_key.serialize_pem()).unwrap();
    let tls = TlsSettings {
        certificate_file: Some(certificate.clone()),
        key_file: Some(key),
        ..TlsSettings::default()
    };
    let entry = Entry::start_with(TlsFeed::open(&tls).unwrap()).await;
    let url = entry.url.replace("http://", "https://");
    let trusting = run_line(
        &url,
        &["status", "--ca-file", certificate.to_str().unwrap()],
    )
    .await;
    let other = run_line(&url, &["status"]).await;
    std::fs::remove_dir_all(&directory).unwrap();
    assert_eq!(trusting.end, End::Done, "{trusting:?}");
    assert_eq!(other.end, End::NotReachable, "{other:?}");
}
