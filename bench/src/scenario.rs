//! Scenario files: a deployment, the work offered to it, and what fails.
//!
//! A scenario names a deployment file beside it. Both are plain data; a new one needs no code.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use indexmap::IndexMap;
use sardinewood::config::objects::Serves;
use sardinewood::config::objects::TIER_COUNT;
use sardinewood::config::objects::Target;
use sardinewood::config::objects::Tier;
use serde::Deserialize;

/// How a kind of model engine computes; a plain service is one without prompts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineKind {
    /// The part of a step that does not depend on the batch.
    pub step_base_us: u64,
    /// What each running request adds to a step.
    pub step_per_request_us: u64,
    /// Prompt tokens computed in a second.
    pub prefill_tokens_per_s: u64,
    /// The most prompt tokens computed in one step.
    pub chunk_tokens: u32,
    /// The most requests in a batch.
    pub slots: u32,
    /// Tokens that the KV cache of running requests holds.
    pub kv_capacity_tokens: u64,
    /// Tokens that the prompt-prefix cache holds.
    pub cache_tokens: u64,
}

/// Some upstreams of one kind in one data centre.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamGroup {
    /// The name that a number is added to.
    pub name: Arc<str>,
    /// One of the deployment's kinds.
    pub kind: Arc<str>,
    /// Where they stand.
    pub data_centre: Arc<str>,
    /// How many there are.
    pub count: u32,
    /// What they serve.
    pub serves: Serves,
}

/// A customer and its part of the offered work.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerGroup {
    /// The name; a number is added when there are several.
    pub name: Arc<str>,
    /// The share that each may use within a tier.
    pub weight: u32,
    /// The part of the arrivals that comes from the group, against the other groups.
    pub arrivals: f64,
    /// How many customers there are in the group.
    #[serde(default = "one")]
    pub count: u32,
}

/// How many tokens a request takes: log-normal, cut at both ends.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// Half of the requests take fewer.
    pub median: f64,
    /// The standard deviation of the logarithm.
    pub sigma: f64,
    /// None takes fewer.
    pub min: u32,
    /// None takes more.
    pub max: u32,
}

/// How requests of one appointment follow each other.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Appointment {
    /// Requests in one appointment.
    pub requests: u32,
    /// The time between the arrivals of two of them.
    pub gap_ms: u64,
}

/// A class of work and how much of it is offered.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OfferedProfile {
    /// The profile's name.
    pub name: Arc<str>,
    /// Its importance.
    pub tier: Tier,
    /// How long a caller waits.
    pub deadline_ms: u64,
    /// What it asks for.
    pub target: Target,
    /// Arrivals a second at load 1 (appointments where it has them).
    pub rate_per_s: f64,
    /// Tokens of the prompt beyond the shared prefix.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub output_tokens: Tokens,
    /// How many different shared prefixes there are.
    #[serde(default = "one")]
    pub prefixes: u32,
    /// Tokens of each shared prefix.
    #[serde(default)]
    pub prefix_tokens: u32,
    /// Whether a request may run at most once.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Whether callers read the answer token by token; others get it as a whole, and until
    /// its end it can be given up and run elsewhere.
    #[serde(default)]
    pub streamed: bool,
    /// Whether requests come in appointments.
    #[serde(default)]
    pub appointment: Option<Appointment>,
}

/// The fleet and the work at load 1.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// All data centres.
    pub data_centres: Vec<Arc<str>>,
    /// Entries in each of them.
    pub entries_per_data_centre: u32,
    /// One way within a data centre.
    pub within_data_centre_us: u64,
    /// One way between two of them.
    pub between_data_centres_us: u64,
    /// One way between a caller and its entry.
    pub client_us: u64,
    /// The value of a useful answer by tier.
    pub tier_weights: [f64; TIER_COUNT],
    /// Engines by kind.
    pub engine_kinds: IndexMap<Arc<str>, EngineKind>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamGroup>,
    /// The customers.
    pub customers: Vec<CustomerGroup>,
    /// The work.
    pub profiles: Vec<OfferedProfile>,
}

/// More of one kind of work for a while.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Only this profile, or all.
    #[serde(default)]
    pub profile: Option<Arc<str>>,
    /// Only this customer, or all.
    #[serde(default)]
    pub customer: Option<Arc<str>>,
    /// When it starts.
    pub from_ms: u64,
    /// When it is over.
    pub until_ms: u64,
    /// How many times the usual arrivals come.
    pub times: f64,
}

/// One request far from the usual size.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LongRequest {
    /// Its profile.
    pub profile: Arc<str>,
    /// When it arrives.
    pub at_ms: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of its answer.
    pub output_tokens: u32,
    /// How long its caller waits.
    pub deadline_ms: u64,
}

/// What is wrong with an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The engine takes this many times as long.
    Slow(f64),
    /// Engine and agent are gone with all that ran.
    Lost,
    /// The agent's process does not run; the engine does.
    AgentPaused,
}

/// A fault of some upstreams for a while.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When it starts.
    pub from_ms: u64,
    /// When it is over; absent for never.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// The upstream groups that it may hit.
    pub groups: Vec<Arc<str>>,
    /// How many in each group: the first ones.
    pub count: u32,
}

/// How reports of load or of cached prefixes reach the schedulers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// The time between two reports.
    pub every_ms: u64,
    /// How old a report is when it arrives.
    pub lag_ms: u64,
    /// The part of the reports that never arrives.
    #[serde(default)]
    pub lost_share: f64,
}

/// One experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name in the output.
    pub name: Arc<str>,
    /// The name of its deployment file.
    pub deployment: Arc<str>,
    /// How long work arrives.
    pub duration_ms: u64,
    /// Multiplies the arrivals of all profiles.
    pub load: f64,
    /// Whether more is offered than the fleet can do.
    #[serde(default)]
    pub overload: bool,
    /// More work for a while.
    #[serde(default)]
    pub surges: Vec<Surge>,
    /// Single long requests.
    #[serde(default)]
    pub long_requests: Vec<LongRequest>,
    /// What fails.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Reports of load.
    pub load_reports: Reports,
    /// Reports of cached prefixes.
    pub cache_events: Reports,
    /// How late the host list shows that a host is gone.
    pub host_list_lag_ms: u64,
    /// Whether the platform's store, and with it the host list, is down throughout.
    #[serde(default)]
    pub store_down: bool,
}

/// A scenario with its deployment, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// What is offered and what fails.
    pub scenario: Scenario,
    /// To whom.
    pub deployment: Deployment,
}

/// One thing that is wrong in a scenario or deployment file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {message}")]
pub struct Finding {
    /// Where, as a path of field names.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

/// A scenario can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A file can't be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file is not of the right form.
    #[error("{path}: {source}", path = path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// The files say something that can't be.
    #[error("{path}:{}", list(findings), path = path.display())]
    Findings {
        /// The scenario file.
        path: PathBuf,
        /// All that was found.
        findings: Vec<Finding>,
    },
}

const fn one() -> u32 {
    1
}

fn list(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    format!("\n  {}", lines.join("\n  "))
}

/// Reads a scenario and its deployment and checks both.
///
/// # Errors
///
/// A file can't be read or parsed, or the check found something.
///
/// ```
/// use std::path::Path;
///
/// let missing = sardinewood_bench::scenario::load(Path::new("no-such-file.json"));
/// assert!(missing.unwrap_err().to_string().contains("no-such-file.json"));
/// ```
pub fn load(path: &Path) -> Result<Experiment, ScenarioError> {
    let scenario: Scenario = read(path)?;
    let deployment_path = path.with_file_name(format!("deployments/{}.json", scenario.deployment));
    let deployment: Deployment = read(&deployment_path)?;
    let findings = crate::scenario_check::check(&scenario, &deployment);
    if findings.is_empty() {
        return Ok(Experiment {
            scenario,
            deployment,
        });
    }
    Err(ScenarioError::Findings {
        path: path.to_owned(),
        findings,
    })
}

/// The scenario files of a directory, by name.
///
/// # Errors
///
/// The directory can't be read.
///
/// ```
/// use std::path::Path;
///
/// assert!(sardinewood_bench::scenario::files(Path::new("no-such-directory")).is_err());
/// ```
pub fn files(directory: &Path) -> Result<Vec<PathBuf>, ScenarioError> {
    let fail = |source| ScenarioError::Read {
        path: directory.to_owned(),
        source,
    };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(fail)? {
        let path = entry.map_err(fail)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn read<T>(path: &Path) -> Result<T, ScenarioError>
where
    T: serde::de::DeserializeOwned,
{
    let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Read {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| ScenarioError::Parse {
        path: path.to_owned(),
        source,
    })
}
