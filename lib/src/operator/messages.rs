//! The typed messages of the operators' HTTP API, which the entry serves and
//! `sardinewoodctl` and the phone page speak. Paths and status codes stand in
//! `docs/design/operator-api.md`.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::config::audit::Change;
use crate::config::object::Kind;
use crate::store::position::StorePosition;

/// An object as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectView {
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: Arc<str>,
    /// The store's version of it.
    pub version: StorePosition,
    /// The object proper; absent once it is removed.
    pub spec: Option<Value>,
    /// The change that made it so, if it was recorded.
    #[serde(default)]
    pub change: Option<Change>,
    /// What keeps this version out of force.
    #[serde(default)]
    pub findings: Vec<Arc<str>>,
}

/// The objects of one kind, or what changed after a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectViews {
    /// The newest revision that is part of it.
    pub revision: StorePosition,
    /// The objects in order of their names; a removed one has no `spec`.
    pub objects: Vec<ObjectView>,
}

/// What the changed object must be like before the change.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::operator::messages::Expected;
///
/// let expected = serde_json::to_string(&Expected::Version(StorePosition::new(0, 7))).unwrap();
/// assert_eq!(expected, r#"{"version":7}"#);
/// assert_eq!(serde_json::to_string(&Expected::Absent).unwrap(), r#""absent""#);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// It does not exist.
    Absent,
    /// It exists in this version.
    Version(StorePosition),
}

/// What a change does.
///
/// ```
/// use sardinewood::operator::messages::Action;
///
/// assert_eq!(serde_json::to_string(&Action::Delete).unwrap(), r#""delete""#);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Creates or replaces the object.
    Put(Value),
    /// Removes it.
    Delete,
}

/// Asks for one change of one object.
///
/// ```
/// use sardinewood::operator::messages::ChangeRequest;
///
/// let change: ChangeRequest = serde_json::from_str(r#"{
///     "id": "c1", "kind": "profiles", "name": "lookup", "expected": {"version": 7},
///     "action": "delete", "reason": "not in use"
/// }"#).unwrap();
/// assert!(!change.dry_run);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Drawn by the one who asks. The same id sent again is the same change and is done
    /// once; so a lost answer is settled by asking again.
    pub id: Arc<str>,
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object.
    pub name: Arc<str>,
    /// What it must be like; anything else is a conflict.
    pub expected: Expected,
    /// What to do.
    pub action: Action,
    /// The operator's own words for the audit trail.
    pub reason: Arc<str>,
    /// Whether only to check it and to say what it would do.
    #[serde(default)]
    pub dry_run: bool,
}

/// What became of a change; never two of these at once, and never a guess.
///
/// ```
/// use sardinewood::operator::messages::ChangeAnswer;
///
/// let answer: ChangeAnswer = serde_json::from_str(r#"{"outcome": "not_known_yet"}"#).unwrap();
/// assert_eq!(answer, ChangeAnswer::NotKnownYet);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ChangeAnswer {
    /// The store holds it. It will be in force everywhere and will not revert.
    Accepted {
        /// The version that the store gave it.
        version: StorePosition,
    },
    /// A dry run found nothing wrong.
    Checked {
        /// What the change would do, a sentence each: work in flight, capacity left.
        effects: Vec<Arc<str>>,
    },
    /// It is wrong, and nothing was changed.
    Refused {
        /// Everything that is wrong, each with its place.
        findings: Vec<Arc<str>>,
    },
    /// Somebody else has changed the object, and nothing was changed by this request.
    Conflict {
        /// The object as it is now, with who changed it; absent if it does not exist.
        current: Option<ObjectView>,
    },
    /// The store has not confirmed or denied it. It may be in force or come into force;
    /// the same request sent again settles it.
    NotKnownYet,
}

/// How far a version of an object has got.
///
/// ```
/// use sardinewood::operator::messages::InForce;
///
/// let in_force = InForce { processes: 35, missing: vec!["lang-1".into()] };
/// assert_eq!(in_force.count(), 34);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// How many processes are believed to run.
    pub processes: usize,
    /// Those that have not said that they have it.
    pub missing: Vec<Arc<str>>,
}

impl InForce {
    /// In how many processes it is in force.
    ///
    /// ```
    /// assert_eq!(sardinewood::operator::messages::InForce::default().count(), 0);
    /// ```
    #[must_use]
    pub fn count(&self) -> usize {
        self.processes.saturating_sub(self.missing.len())
    }
}

/// One change of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The kind of the changed object.
    pub kind: Kind,
    /// Its name.
    pub name: Arc<str>,
    /// The version that the store gave the change.
    pub version: StorePosition,
    /// Who, when, why and from where; absent if the object was written without a record.
    pub change: Option<Change>,
    /// The object before; absent when the change created it or the record is not kept.
    pub before: Option<Value>,
    /// The object after; absent when the change removed it.
    pub after: Option<Value>,
}

/// A part of the audit trail, newest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AuditTrail {
    /// The changes.
    pub entries: Vec<AuditEntry>,
    /// How many older changes of these objects are no longer kept.
    #[serde(default)]
    pub forgotten: u64,
    /// Whether only the last change of each object is shown, because the store, which keeps
    /// the earlier ones, does not answer.
    #[serde(default)]
    pub is_partial: bool,
}

/// One thing that was decided about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// When, in milliseconds since 1970 by the deciding process's clock.
    pub at_ms: u64,
    /// The process that decided.
    pub process: Arc<str>,
    /// What was decided.
    pub what: Arc<str>,
    /// Why.
    pub why: Arc<str>,
}

/// What the processes still remember about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request's id.
    pub request: Arc<str>,
    /// Decisions in order of time.
    pub decisions: Vec<Decision>,
    /// Processes that were asked and did not answer.
    #[serde(default)]
    pub unreachable: Vec<Arc<str>>,
}

/// One process of the system as the asked entry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessView {
    /// The name of the host (entry) or of the upstream (agent).
    pub name: Arc<str>,
    /// `entry` or `agent`.
    pub role: Arc<str>,
    /// The configuration revision in force there, as far as it is known.
    pub revision: Option<StorePosition>,
    /// How long ago it was last heard; absent if it never was.
    pub heard_ms_ago: Option<u64>,
}

/// One upstream and why it gets work or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Its name.
    pub name: Arc<str>,
    /// What the operator wants of it: `active`, `draining` or `stopped`.
    pub activity: Arc<str>,
    /// Its slots.
    pub slots: u32,
    /// Requests that run in it, as last heard.
    pub running: u32,
    /// Reservations that wait at its agent, as last heard.
    pub waiting: u32,
    /// Why it gets no work, if it gets none.
    pub no_work_because: Option<Arc<str>>,
}

/// The state of the system as one entry knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The entry that answers.
    pub entry: Arc<str>,
    /// The configuration revision in force there.
    pub revision: StorePosition,
    /// Whether the store answered the last call.
    pub is_store_reachable: bool,
    /// Requests that wait in this entry, by tier.
    pub waiting_by_tier: Vec<u64>,
    /// Requests that run for this entry.
    pub running: u64,
    /// Every known process.
    pub processes: Vec<ProcessView>,
    /// Every upstream.
    pub upstreams: Vec<UpstreamView>,
}

/// The body of every answer that is an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong, in a sentence.
    pub error: Arc<str>,
}
