//! The real entry and agent programs, started by the test, on free ports.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use testutils::store_stand_in::StoreStandIn;

/// The key of the one customer.
pub const KEY: &str = "key-of-rundu";

/// Generous, so that it is reached only when what is waited for never comes.
pub const CAP: Duration = Duration::from_secs(30);

/// A program that runs; it is killed at the end of the test at the latest.
pub struct Program {
    child: Child,
    /// Where it is reached.
    pub address: SocketAddr,
}

impl Program {
    /// Starts a program and waits until it says where it is reached.
    fn start(path: &Path, args: &[String], variables: &[(&str, String)]) -> Self {
        let mut child = Command::new(path)
            .args(args)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}; run the whole workspace", path.display()));
        let stderr = child.stderr.take().expect("a pipe");
        let (sender, started) = mpsc::channel();
        // The log is read to its end, or the program would wait for room in the pipe.
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some(address) = started_address(&line) {
                    // The test may be over.
                    let _over = sender.send(address);
                }
            }
        });
        let address = started.recv_timeout(CAP).expect("the program has started");
        Self { child, address }
    }

    /// An entry before a store.
    pub fn entry(name: &str, store: &StoreStandIn) -> Self {
        Self::entry_with(name, store, &[])
    }

    /// An entry before a store, with environment variables of its own.
    pub fn entry_with(name: &str, store: &StoreStandIn, variables: &[(&str, String)]) -> Self {
        let path = PathBuf::from(env!("CARGO_BIN_EXE_sardinewood-entry"));
        let args = [
            format!("--host={name}"),
            "--data-centre=wdh-1".into(),
            "--listen=127.0.0.1:0".into(),
            "--operator-listen=127.0.0.2:0".into(),
            format!("--store-url={}", store.url()),
        ];
        Self::start(&path, &args, variables)
    }

    /// The agent beside an upstream. Its program lies beside the entry's.
    pub fn agent(upstream: &str, listen: &str, store: &StoreStandIn) -> Self {
        let entry = PathBuf::from(env!("CARGO_BIN_EXE_sardinewood-entry"));
        let path = entry.with_file_name("sardinewood-agent");
        let args = [
            format!("--upstream={upstream}"),
            format!("--host=host-of-{upstream}"),
            "--data-centre=wdh-1".into(),
            format!("--listen={listen}"),
            format!("--store-url={}", store.url()),
        ];
        Self::start(&path, &args, &[])
    }

    /// The id of its process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_none()
    }

    /// `kill -9`.
    pub fn kill(&mut self) {
        self.child.kill().expect("a running program");
        self.child.wait().expect("its end");
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(status.expect("the command `kill`").success());
    }

    /// Waits for its end; true if it says that all went well.
    pub fn ended_well(&mut self) -> bool {
        self.child.wait().expect("its end").success()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn started_address(line: &str) -> Option<SocketAddr> {
    let line: Value = serde_json::from_str(line).ok()?;
    let is_start = line["message"] == "started" || line["msg"] == "started";
    let address = line["address"].as_str().filter(|_| is_start)?;
    address.parse().ok()
}

/// A store with one profile and one customer.
pub async fn store() -> StoreStandIn {
    let store = StoreStandIn::spawn().await.expect("a store");
    let profile = json!({"name": "summary", "tier": 0, "deadline_ms": 25_000});
    store.seed("profiles", "summary", profile);
    let digest = format!("{:x}", Sha256::digest(KEY.as_bytes()));
    let customer = json!({
        "name": "rundu", "weight": 1, "default_profile": "summary", "key_sha256": [digest],
    });
    store.seed("customers", "rundu", customer);
    store
}

/// Tells the store of an upstream and its agent.
pub fn seed_upstream(
    store: &StoreStandIn,
    name: &str,
    url: &str,
    serves: &Value,
    agent: SocketAddr,
) {
    let upstream = json!({
        "name": name, "data_centre": "wdh-1", "url": url, "serves": serves,
        "agent_address": agent, "slots": 4,
    });
    store.seed("upstreams", name, upstream);
}
