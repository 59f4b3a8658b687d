//! Who may open a link between entry and agent.

use std::sync::Arc;
use std::time::Duration;

use sardinewood::agent::server;
use sardinewood::agent::settings;
use sardinewood::agent::settings::AgentSettings;
use sardinewood::config::Config;
use sardinewood::config::process::PeerSettings;
use sardinewood::config::spread_message::PeerKeys;
use sardinewood::link::proof::Nonce;
use sardinewood::link::proof::ProofError;
use sardinewood::link::proof::prove_as_agent;
use sardinewood::link::proof::prove_as_entry;
use sardinewood::metrics::Metrics;
use sardinewood::secrets::Secret;
use sardinewood::settings::Sources;
use sardinewood::settings::Start;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longer than any healthy run takes.
const GENEROUS: Duration = Duration::from_secs(20);
const ENTRY_NONCE: Nonce = [1; 32];
const AGENT_NONCE: Nonce = [2; 32];

type Proven = Result<(), ProofError>;

fn keys(keys: &[&str]) -> PeerKeys {
    let keys: Vec<_> = keys.iter().map(|key| key.as_bytes()).collect();
    PeerKeys::new(&keys)
}

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (entry, agent) = tokio::join!(TcpStream::connect(address), listener.accept());
    (entry.unwrap(), agent.unwrap().0)
}

/// What both ends find; each closes its end when it is done.
async fn prove(entry_keys: &[&str], agent_keys: &[&str]) -> (Proven, Proven) {
    let (mut entry, mut agent) = connection().await;
    let (entry_keys, agent_keys) = (keys(entry_keys), keys(agent_keys));
    let at_entry = async move { prove_as_entry(&mut entry, &entry_keys, &ENTRY_NONCE).await };
    let at_agent = async move { prove_as_agent(&mut agent, &agent_keys, &AGENT_NONCE).await };
    let both = async { tokio::join!(at_entry, at_agent) };
    timeout(GENEROUS, both).await.unwrap()
}

#[tokio::test]
async fn prove_keys_are_exchanged_one_process_at_a_time() {
    for (entry, agent) in [
        (&["old"][..], &["old"][..]),
        (&["old"], &["old", "new"]),
        (&["new", "old"], &["old", "new"]),
        (&["new"], &["new", "old"]),
        (&[], &[]),
    ] {
        let (at_entry, at_agent) = prove(entry, agent).await;
        assert!(at_entry.is_ok() && at_agent.is_ok(), "{entry:?} {agent:?}");
    }
}

#[tokio::test]
async fn prove_other_keys_are_refused_at_both_ends() {
    for (entry, agent) in [
        (&["ours"][..], &["theirs"][..]),
        (&[], &["ours"]),
        (&["ours"], &[]),
    ] {
        let (at_entry, at_agent) = prove(entry, agent).await;
        assert!(
            matches!(at_entry, Err(ProofError::NotProven)),
            "{at_entry:?}"
        );
        assert!(at_agent.is_err(), "{agent:?}");
    }
}

#[tokio::test]
async fn prove_recorded_tag_proves_nothing_on_another_link() {
    // Somebody has recorded what an entry sent on one link and sends it again. The agent's
    // nonce is another one, so the recorded tag does not fit.
    let ours = keys(&["ours"]);
    let (mut entry, mut agent) = connection().await;
    let recorded_for = [9; 32];
    let statement = [&b"sardinewood link entry"[..], &ENTRY_NONCE, &recorded_for].concat();
    let recorded = ours.tag(&statement);
    let replay = async {
        entry.write_all(&ENTRY_NONCE).await.unwrap();
        let mut answer = [0; 64];
        entry.read_exact(&mut answer).await.unwrap();
        entry.write_all(&recorded).await.unwrap();
    };
    let (at_agent, ()) = tokio::join!(prove_as_agent(&mut agent, &ours, &AGENT_NONCE), replay);
    assert!(
        matches!(at_agent, Err(ProofError::NotProven)),
        "{at_agent:?}"
    );
}

#[tokio::test]
async fn prove_reflected_tag_proves_nothing() {
    // Somebody sends the agent's own nonce and tag back to it. The tag names the agent's
    // role, so it does not pass for an entry's.
    let ours = keys(&["ours"]);
    let (mut entry, mut agent) = connection().await;
    let reflect = async {
        entry.write_all(&AGENT_NONCE).await.unwrap();
        let mut answer = [0; 64];
        entry.read_exact(&mut answer).await.unwrap();
        entry.write_all(&answer[32..]).await.unwrap();
    };
    let (at_agent, ()) = tokio::join!(prove_as_agent(&mut agent, &ours, &AGENT_NONCE), reflect);
    assert!(
        matches!(at_agent, Err(ProofError::NotProven)),
        "{at_agent:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_closes_on_a_stranger_and_serves_on() {
    // A stranger who reaches the agent's port must not get a word past the proof, and must
    // not keep entries out.
    let settings = AgentSettings {
        peers: PeerSettings {
            keys: Secret::new("ours"),
            ..PeerSettings::default()
        },
        ..AgentSettings::default()
    };
    let catalog = Config::default().catalog();
    let agent = server::spawn(settings, catalog, Metrics::disabled())
        .await
        .unwrap();
    let mut stranger = TcpStream::connect(agent.address()).await.unwrap();
    let refused = prove_as_entry(&mut stranger, &keys(&["theirs"]), &ENTRY_NONCE).await;
    assert!(matches!(refused, Err(ProofError::NotProven)), "{refused:?}");
    stranger.write_all(&[0; 32]).await.unwrap();
    let mut rest = Vec::new();
    // A reset is as good as an end: either way not a byte came after the proof.
    let _ended = timeout(GENEROUS, stranger.read_to_end(&mut rest))
        .await
        .unwrap();
    assert!(rest.is_empty(), "{rest:?}");

    let mut entry = TcpStream::connect(agent.address()).await.unwrap();
    prove_as_entry(&mut entry, &keys(&["ours"]), &ENTRY_NONCE)
        .await
        .unwrap();
}

#[test]
fn read_agent_beyond_this_machine_needs_keys() {
    let args = [
        "--upstream",
        "lang-1",
        "--host",
        "a",
        "--data-centre",
        "wdh",
        "--store-url",
        "http://127.0.0.1:7070",
        "--listen",
        "10.0.0.7:9100",
    ];
    let key: Arc<str> = "ours".into();
    for (has_key, starts) in [(false, false), (true, true)] {
        let start = settings::program().read(Sources {
            args: args.iter().map(Into::into).collect(),
            env: &|name| (has_key && name == "SARDINEWOOD_PEER_KEYS").then(|| (&*key).into()),
            read_file: &|_| Err(std::io::ErrorKind::NotFound.into()),
        });
        assert_eq!(matches!(start, Start::Run(_)), starts, "{start:?}");
    }
}
