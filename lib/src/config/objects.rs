//! The configuration objects that operators change: profiles, upstreams and customers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// How many tiers there are.
pub const TIER_COUNT: usize = 5;

/// The importance of a class of work; 0 is the most important.
///
/// ```
/// use sardinewood::config::objects::Tier;
///
/// assert!(Tier(0) < Tier(4), "a smaller tier goes first");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tier(pub u8);

impl Tier {
    /// Its place in a table of [`TIER_COUNT`] tiers. Tiers beyond the lowest, which a checked
    /// configuration has not, count as the lowest.
    ///
    /// ```
    /// use sardinewood::config::objects::Tier;
    ///
    /// assert_eq!(Tier(3).index(), 3);
    /// assert_eq!(Tier(200).index(), 4);
    /// ```
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0).min(TIER_COUNT - 1)
    }
}

/// A class of work that services choose by name.
///
/// ```
/// use sardinewood::config::objects::Profile;
///
/// let profile: Profile = serde_json::from_str(
///     r#"{"name": "dispute-summary", "tier": 0, "deadline_ms": 8000}"#,
/// ).unwrap();
/// assert!(!profile.non_idempotent);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The name that callers send.
    pub name: Arc<str>,
    /// The importance of the work.
    pub tier: Tier,
    /// How long a caller waits for the whole answer.
    pub deadline_ms: u64,
    /// The model used where the request names none.
    #[serde(default)]
    pub model: Option<Arc<str>>,
    /// Whether a request may run at most once, whatever happens.
    #[serde(default)]
    pub non_idempotent: bool,
    /// What the work may cost.
    #[serde(default)]
    pub limits: ProfileLimits,
}

/// What the work of one profile may cost, over the whole fleet; absent means no limit.
///
/// ```
/// use sardinewood::config::objects::ProfileLimits;
///
/// assert_eq!(ProfileLimits::default().concurrent, None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProfileLimits {
    /// Requests started in a minute.
    pub requests_per_min: Option<u64>,
    /// Prompt and output tokens in a minute.
    pub tokens_per_min: Option<u64>,
    /// Requests running at one time.
    pub concurrent: Option<u32>,
    /// Output tokens of one request.
    pub max_output_tokens: Option<u32>,
}

/// What an operator wants of an upstream.
///
/// ```
/// use sardinewood::config::objects::Activity;
///
/// assert_eq!(Activity::default(), Activity::Active);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Activity {
    /// It takes new work.
    #[default]
    Active,
    /// It finishes what runs and takes no new work.
    Draining,
    /// It takes no new work and what runs there is cancelled where that is safe.
    Stopped,
}

/// What an upstream serves.
///
/// ```
/// use sardinewood::config::objects::Serves;
///
/// let serves: Serves = serde_json::from_str(r#"{"models": ["small"]}"#).unwrap();
/// assert_eq!(serves, Serves::Models(vec!["small".into()]));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// A model engine with these models.
    Models(Vec<Arc<str>>),
    /// A plain service of this name.
    Service(Arc<str>),
}

impl Serves {
    /// Whether `target` is among it.
    ///
    /// ```
    /// use sardinewood::config::objects::{Serves, Target};
    ///
    /// assert!(Serves::Service("ledger".into()).includes(&Target::Service("ledger".into())));
    /// ```
    #[must_use]
    pub fn includes(&self, target: &Target) -> bool {
        match (self, target) {
            (Self::Models(models), Target::Model(model)) => models.contains(model),
            (Self::Service(own), Target::Service(service)) => own == service,
            _ => false,
        }
    }
}

/// One engine or plain service and the agent beside it.
///
/// ```
/// use sardinewood::config::objects::{Activity, Upstream};
///
/// let upstream: Upstream = serde_json::from_str(r#"{
///     "name": "lang-1", "data_centre": "wdh-1", "url": "http://127.0.0.1:9000",
///     "agent_address": "127.0.0.1:9100", "serves": {"models": ["small"]}, "slots": 8
/// }"#).unwrap();
/// assert_eq!(upstream.activity, Activity::Active);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The name of the upstream and of the agent beside it.
    pub name: Arc<str>,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// The base URL of its own protocol, which only its agent uses.
    pub url: Arc<str>,
    /// Where entries reach its agent.
    pub agent_address: SocketAddr,
    /// What it serves.
    pub serves: Serves,
    /// How many requests may run in it at one time.
    pub slots: u32,
    /// How many tokens its KV cache holds; absent for a plain service.
    #[serde(default)]
    pub kv_capacity_tokens: Option<u64>,
    /// What the operator wants of it.
    #[serde(default)]
    pub activity: Activity,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

impl Upstream {
    /// Whether this upstream serves `target`.
    ///
    /// ```
    /// use sardinewood::config::objects::{Serves, Target, Upstream};
    /// # let upstream: Upstream = serde_json::from_str(r#"{
    /// #     "name": "lang-1", "data_centre": "wdh-1", "url": "http://127.0.0.1:9000",
    /// #     "agent_address": "127.0.0.1:9100", "serves": {"models": ["small"]}, "slots": 8
    /// # }"#).unwrap();
    /// assert!(upstream.can_serve(&Target::Model("small".into())));
    /// assert!(!upstream.can_serve(&Target::Service("small".into())));
    /// ```
    #[must_use]
    pub fn can_serve(&self, target: &Target) -> bool {
        self.serves.includes(target)
    }
}

/// What a request asks for.
///
/// ```
/// use sardinewood::config::objects::Target;
///
/// assert_ne!(Target::Model("a".into()), Target::Service("a".into()));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Target {
    /// A model of an engine.
    Model(Arc<str>),
    /// A plain service.
    Service(Arc<str>),
}

/// Somebody whose services send requests.
///
/// ```
/// use sardinewood::config::objects::Customer;
///
/// let customer: Customer = serde_json::from_str(
///     r#"{"name": "rundu", "weight": 3, "default_profile": "lookup", "key_sha256": []}"#,
/// ).unwrap();
/// assert_eq!(customer.weight, 3);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The name shown to operators.
    pub name: Arc<str>,
    /// The share within a tier, against the other customers' weights.
    pub weight: u32,
    /// The profile of a request that names none.
    pub default_profile: Arc<str>,
    /// SHA-256 of each valid key, in hexadecimal; the keys themselves are kept nowhere.
    pub key_sha256: Vec<Arc<str>>,
}

/// What an operator may do.
///
/// ```
/// use sardinewood::config::objects::OperatorRole;
///
/// assert!(OperatorRole::Write.can_write());
/// assert!(!OperatorRole::Read.can_write());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRole {
    /// Queries.
    Read,
    /// Queries and commands.
    Write,
}

impl OperatorRole {
    /// Whether the role includes commands.
    ///
    /// ```
    /// assert!(sardinewood::config::objects::OperatorRole::Write.can_write());
    /// ```
    #[must_use]
    pub fn can_write(self) -> bool {
        self == Self::Write
    }
}

/// Somebody who may ask for the state of the system, and perhaps change it.
///
/// ```
/// use sardinewood::config::objects::{Operator, OperatorRole};
///
/// let operator: Operator = serde_json::from_str(
///     r#"{"name": "selma", "role": "write", "token_sha256": []}"#,
/// ).unwrap();
/// assert_eq!(operator.role, OperatorRole::Write);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name shown in the audit trail.
    pub name: Arc<str>,
    /// What the operator may do.
    pub role: OperatorRole,
    /// SHA-256 of each valid token, in hexadecimal; the tokens themselves are kept nowhere.
    pub token_sha256: Vec<Arc<str>>,
}
