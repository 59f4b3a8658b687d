//! `config`: how soon an accepted change is in force everywhere, and what that costs.
//!
//! Each process follows the stand-in store and spreads over real sockets on loopback, as an
//! entry or agent does; here they are tasks of one process.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use eyre::bail;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use sardinewood::config::object::Kind;
use sardinewood::config::object::ObjectKey;
use sardinewood::config::process;
use sardinewood::config::process::ConfigProcess;
use sardinewood::config::process::PeerSettings;
use sardinewood::config::spread_message::Identity;
use sardinewood::config::spread_message::Role;
use sardinewood::config::state::ConfigState;
use sardinewood::ids::Incarnation;
use sardinewood::operator::change::Author;
use sardinewood::operator::change::carry_out;
use sardinewood::operator::messages::Action;
use sardinewood::operator::messages::ChangeAnswer;
use sardinewood::operator::messages::ChangeRequest;
use sardinewood::operator::messages::Expected;
use sardinewood::secrets::Secret;
use sardinewood::store::StoredObject;
use sardinewood::store::position::StorePosition;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use testutils::store_stand_in::StoreFaults;
use testutils::store_stand_in::StoreStandIn;
use tokio::time::Instant;

/// What `config --help` prints.
const HELP: &str = "\
Usage: sardinewood-bench config [OPTIONS]

Prints a JSON line for each number of processes: time until an accepted change is in
force in all of them, with the store and without it, and what idling and changing cost.

Options:
  --processes A,B,…   numbers of processes [default: 10,35,100,250,500]
  --changes N         changes of each kind [default: 5]
  --idle-seconds N    how long the idle fleet is watched [default: 10]
";

/// Profiles, upstreams and customers of the configuration.
const PROFILES: usize = 10;
/// Upstreams besides.
const UPSTREAMS: usize = 34;
/// Customers besides.
const CUSTOMERS: usize = 10;

/// The longest wait for anything to be in force.
const PATIENCE: Duration = Duration::from_secs(120);

/// The pause between two changes, longer than the least time between two watches.
const BETWEEN_CHANGES: Duration = Duration::from_secs(1);

/// How long the watches of an outage have to notice it.
const OUTAGE_NOTICED: Duration = Duration::from_secs(1);

/// What is measured.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Options {
    processes: Vec<usize>,
    changes: usize,
    idle: Duration,
}

/// One line of the result.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Figures {
    processes: usize,
    joined_ms: f64,
    with_store_median_ms: f64,
    with_store_max_ms: f64,
    without_store_median_ms: f64,
    without_store_max_ms: f64,
    store_calls_per_change: f64,
    idle_store_calls_per_s: f64,
    idle_sent_bytes_per_process_per_s: f64,
    idle_datagrams_per_process_per_s: f64,
    sent_bytes_per_process_per_change: f64,
}

/// Measures and prints each number of processes.
///
/// # Errors
///
/// The arguments are not understood, or a change was not in force in time.
pub fn run(mut parser: Parser) -> eyre::Result<()> {
    let Some(options) = parse(&mut parser)? else {
        print!("{HELP}");
        return Ok(());
    };
    for count in &options.processes {
        // A runtime for each number: its end ends the processes.
        let runtime = tokio::runtime::Runtime::new()?;
        let figures = runtime.block_on(measure(*count, &options))?;
        println!("{}", serde_json::to_string(&figures)?);
    }
    Ok(())
}

fn parse(parser: &mut Parser) -> eyre::Result<Option<Options>> {
    let mut options = Options {
        processes: vec![10, 35, 100, 250, 500],
        changes: 5,
        idle: Duration::from_secs(10),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("processes") => {
                let list = parser.value()?.string()?;
                let numbers = list.split(',').map(str::parse);
                options.processes = numbers.collect::<Result<_, _>>().wrap_err("--processes")?;
            }
            Arg::Long("changes") => options.changes = parser.value()?.parse()?,
            Arg::Long("idle-seconds") => {
                options.idle = Duration::from_secs(parser.value()?.parse()?);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if options.changes == 0 || options.idle.is_zero() || options.processes.contains(&0) {
        bail!("each option is at least 1");
    }
    Ok(Some(options))
}

/// Processes before a store.
struct Fleet {
    store: StoreStandIn,
    processes: Vec<ConfigProcess>,
}

async fn measure(count: usize, options: &Options) -> eyre::Result<Figures> {
    let store = StoreStandIn::spawn().await?;
    seed(&store);
    let started = Instant::now();
    let fleet = Fleet::start(store, count).await?;
    let last = key(Kind::Customers, &format!("customer-{}", CUSTOMERS - 1));
    fleet.wait_for(&last, StorePosition::new(0, 1)).await?;
    let joined_ms = millis(started.elapsed());
    // Until all have heard of each other, datagrams are sent more often.
    tokio::time::sleep(BETWEEN_CHANGES * 3).await;
    let idle = fleet.idle(options.idle).await;
    let sent_before = fleet.sent_bytes();
    let calls_before = fleet.calls();
    let with_store = fleet.change_with_store(options.changes).await?;
    let changes = float(options.changes as u64);
    let calls_per_change = float(fleet.calls() - calls_before) / changes;
    let sent_per_change = float(fleet.sent_bytes() - sent_before) / changes;
    let without_store = fleet.change_without_store(options.changes).await?;
    Ok(Figures {
        processes: count,
        joined_ms,
        with_store_median_ms: median(&with_store),
        with_store_max_ms: max(&with_store),
        without_store_median_ms: median(&without_store),
        without_store_max_ms: max(&without_store),
        store_calls_per_change: calls_per_change,
        idle_store_calls_per_s: idle.calls / options.idle.as_secs_f64(),
        idle_sent_bytes_per_process_per_s: idle.sent_bytes / per_process_s(count, options),
        idle_datagrams_per_process_per_s: idle.datagrams / per_process_s(count, options),
        sent_bytes_per_process_per_change: sent_per_change / float(count as u64),
    })
}

fn per_process_s(count: usize, options: &Options) -> f64 {
    float(count as u64) * options.idle.as_secs_f64()
}

/// What an idle fleet did.
struct Idle {
    calls: f64,
    sent_bytes: f64,
    datagrams: f64,
}

impl Fleet {
    async fn start(store: StoreStandIn, count: usize) -> eyre::Result<Self> {
        let mut fleet = Self {
            store,
            processes: Vec::new(),
        };
        for index in 0..count {
            let seeds = fleet.processes.iter().take(2);
            let seeds: Vec<_> = seeds.map(|one| one.spread.address().to_string()).collect();
            let peers = PeerSettings {
                peers: seeds.join(",").into(),
                keys: Secret::new("bench"),
                ..PeerSettings::default()
            };
            let identity = Identity {
                name: format!("process-{index}").into(),
                role: Role::Entry,
                data_centre: "wdh-1".into(),
                incarnation: Incarnation(index as u64),
            };
            let process = process::spawn(&fleet.store.url(), identity, &peers).await?;
            fleet.processes.push(process);
        }
        Ok(fleet)
    }

    /// Waits until all processes hold a version of an object.
    async fn wait_for(&self, key: &ObjectKey, version: StorePosition) -> eyre::Result<()> {
        let held = |state: &ConfigState| state.get(key).is_some_and(|(held, _)| held >= version);
        for process in &self.processes {
            let mut state = process.config.state();
            let arrived = tokio::time::timeout(PATIENCE, state.wait_for(held));
            arrived
                .await
                .wrap_err("a change is not in force everywhere")??;
        }
        Ok(())
    }

    async fn idle(&self, length: Duration) -> Idle {
        let (calls, sent, datagrams) = (self.calls(), self.sent_bytes(), self.datagrams());
        tokio::time::sleep(length).await;
        Idle {
            calls: float(self.calls() - calls),
            sent_bytes: float(self.sent_bytes() - sent),
            datagrams: float(self.datagrams() - datagrams),
        }
    }

    /// Changes one profile as an operator does; the time is from the store's acceptance on.
    async fn change_with_store(&self, changes: usize) -> eyre::Result<Vec<f64>> {
        let key = key(Kind::Profiles, "profile-0");
        let first = &self.processes[0];
        let mut times_ms = Vec::new();
        for number in 0..changes {
            tokio::time::sleep(BETWEEN_CHANGES).await;
            let (version, _) = first.config.state().borrow().get(&key).unwrap_or_default();
            let request = ChangeRequest {
                id: format!("change-{number}").into(),
                kind: key.kind,
                name: Arc::clone(&key.name),
                expected: Expected::Version(version),
                action: Action::Put(profile(0, number as u64 + 1)),
                reason: "measurement".into(),
                dry_run: false,
            };
            let answer = carry_out(&first.store, &first.config, &request, &author()).await?;
            let accepted = Instant::now();
            let ChangeAnswer::Accepted { version } = answer else {
                bail!("the change was not accepted: {answer:?}");
            };
            self.wait_for(&key, version).await?;
            times_ms.push(millis(accepted.elapsed()));
        }
        Ok(times_ms)
    }

    /// The store is gone right after it accepted a change that only one process knows.
    async fn change_without_store(&self, changes: usize) -> eyre::Result<Vec<f64>> {
        let key = key(Kind::Profiles, "profile-1");
        self.store.set_faults(StoreFaults {
            outage: true,
            ..StoreFaults::default()
        });
        self.store.connections().close_all();
        tokio::time::sleep(OUTAGE_NOTICED).await;
        let mut times_ms = Vec::new();
        for number in 0..changes {
            let first = &self.processes[number % self.processes.len()];
            let revision = first.config.catalog().borrow().revision;
            let object = StoredObject {
                kind: key.kind.as_str().into(),
                name: Arc::clone(&key.name),
                version: revision.following(),
                value: profile(1, number as u64 + 1),
            };
            let accepted = Instant::now();
            first.config.apply(|state| state.apply_object(&object));
            self.wait_for(&key, object.version).await?;
            times_ms.push(millis(accepted.elapsed()));
            tokio::time::sleep(BETWEEN_CHANGES).await;
        }
        Ok(times_ms)
    }

    fn calls(&self) -> u64 {
        let counts = self.store.counts();
        counts.gets + counts.puts + counts.lists + counts.watches + counts.hosts
    }

    fn sent_bytes(&self) -> u64 {
        let processes = self.processes.iter();
        processes.map(|one| one.spread.traffic().sent_bytes).sum()
    }

    fn datagrams(&self) -> u64 {
        let processes = self.processes.iter();
        processes
            .map(|one| one.spread.traffic().datagrams_sent)
            .sum()
    }
}

fn seed(store: &StoreStandIn) {
    for index in 0..PROFILES {
        store.seed("profiles", &format!("profile-{index}"), profile(index, 0));
    }
    for index in 0..UPSTREAMS {
        let name = format!("lang-{index}");
        let upstream = json!({
            "name": name, "data_centre": "wdh-1", "url": "http://127.0.0.1:9000",
            "agent_address": format!("127.0.0.1:{}", 10_000 + index),
            "serves": {"models": ["small"]}, "slots": 8,
        });
        store.seed("upstreams", &name, upstream);
    }
    for index in 0..CUSTOMERS {
        let name = format!("customer-{index}");
        let customer = json!({
            "name": name, "weight": 1, "default_profile": "profile-0", "key_sha256": [],
        });
        store.seed("customers", &name, customer);
    }
}

fn profile(index: usize, number: u64) -> Value {
    json!({"name": format!("profile-{index}"), "tier": 2, "deadline_ms": 4_000 + number})
}

fn key(kind: Kind, name: &str) -> ObjectKey {
    ObjectKey {
        kind,
        name: name.into(),
    }
}

fn author() -> Author {
    Author {
        who: "bench".into(),
        from: "127.0.0.1".into(),
        at_ms: 0,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts stay far below the limit of exactness"
)]
fn float(count: u64) -> f64 {
    count as f64
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn median(times_ms: &[f64]) -> f64 {
    let mut sorted = times_ms.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

fn max(times_ms: &[f64]) -> f64 {
    times_ms.iter().copied().fold(0.0, f64::max)
}
