//! Carries out one change that an operator asks for.
//!
//! Each change is one conditional write of the object together with its record. What became
//! of a write whose answer is lost is read back by the change's id; until the store tells,
//! the answer is "not known yet", and the same request sent again is the same change.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::config::Config;
use crate::config::audit::Change;
use crate::config::audit::Record;
use crate::config::catalog::Catalog;
use crate::config::object::Kind;
use crate::config::object::ObjectKey;
use crate::config::object::check;
use crate::config::objects_check::check_catalog;
use crate::findings::Findings;
use crate::operator::effects::effects_of;
use crate::operator::messages::Action;
use crate::operator::messages::ChangeAnswer;
use crate::operator::messages::ChangeRequest;
use crate::operator::messages::Expected;
use crate::operator::messages::ObjectView;
use crate::operator::retention::take_away_expired;
use crate::store::Expect;
use crate::store::ReadError;
use crate::store::StoreClient;
use crate::store::StoredObject;
use crate::store::WriteAnswer;
use crate::store::position::StorePosition;

/// The pauses before the reads that settle a lost answer. Together they fit into the time
/// that an operator waits for a page; after them the operator asks again.
const SETTLE_PAUSES: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_secs(1),
];

/// The longest id and reason of a change.
const MAX_TEXT_BYTES: usize = 1_000;

/// The longest object with its record; the store takes a megabyte.
const MAX_RECORD_BYTES: usize = 900_000;

/// Who asks for a change, from where and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// The operator.
    pub who: Arc<str>,
    /// The address that the request came from.
    pub from: Arc<str>,
    /// Milliseconds since 1970.
    pub at_ms: u64,
}

/// This call has changed nothing, and can be made again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotDone {
    /// The store was not reached.
    #[error("this call has changed nothing: {0}")]
    Store(ReadError),
    /// The replica that was read is behind what is in force.
    #[error("this call has changed nothing: the store shows an older version than is in force")]
    Behind,
    /// The store will not take it.
    #[error("this call has changed nothing: the store answers {0}")]
    Rejected(u16),
}

/// What to do about a change, given the object as the store shows it.
#[derive(Clone, Debug, PartialEq)]
pub enum Judgement {
    /// An earlier call with the same id has done it.
    AlreadyDone {
        /// The version that the store gave it.
        version: StorePosition,
    },
    /// The object is not as expected.
    Conflict,
    /// Write this.
    Write {
        /// What the store must find.
        expect: Expect,
        /// The object with its record.
        record: Record,
    },
}

/// Compares what is asked for with the object as the store shows it.
///
/// ```
/// use sardinewood::operator::change::{Author, Judgement, judge};
/// use sardinewood::operator::messages::ChangeRequest;
///
/// let request: ChangeRequest = serde_json::from_str(r#"{
///     "id": "c1", "kind": "profiles", "name": "lookup", "expected": {"version": 7},
///     "action": "delete", "reason": "not in use"
/// }"#).unwrap();
/// let author = Author { who: "selma".into(), from: "10.0.0.7".into(), at_ms: 1 };
/// assert_eq!(judge(None, &request, &author), Judgement::Conflict);
/// ```
#[must_use]
pub fn judge(
    current: Option<&StoredObject>,
    request: &ChangeRequest,
    author: &Author,
) -> Judgement {
    let version = current.map(|object| object.version);
    let record = current.map_or_else(Record::default, record_of);
    if let Some(version) = record.version_of(&request.id, version.unwrap_or_default()) {
        return Judgement::AlreadyDone { version };
    }
    let exists = record.spec.is_some();
    let as_expected = match request.expected {
        Expected::Absent => !exists && request.action != Action::Delete,
        Expected::Version(expected) => version == Some(expected),
    };
    if !as_expected {
        return Judgement::Conflict;
    }
    let spec = match &request.action {
        Action::Put(spec) => Some(spec.clone()),
        Action::Delete => None,
    };
    let change = Change {
        id: Arc::clone(&request.id),
        who: Arc::clone(&author.who),
        at_ms: author.at_ms,
        why: Arc::clone(&request.reason),
        from: Arc::clone(&author.from),
        based_on_version: version,
    };
    match version {
        None => Judgement::Write {
            expect: Expect::Absent,
            record: Record {
                spec,
                change: Some(change),
                ..Record::default()
            },
        },
        Some(version) => Judgement::Write {
            expect: Expect::Version(version),
            record: record.succeeded_by(version, spec, change),
        },
    }
}

/// Collects what is wrong with a change by itself, whatever else is in force.
///
/// ```
/// use sardinewood::operator::change::findings_of;
/// use sardinewood::operator::messages::ChangeRequest;
///
/// let request: ChangeRequest = serde_json::from_str(r#"{
///     "id": "c1", "kind": "profiles", "name": "lookup", "expected": "absent",
///     "action": {"put": {"name": "lookup", "tier": 9, "deadline_ms": 1}}, "reason": ""
/// }"#).unwrap();
/// let findings = findings_of(&request);
/// assert_eq!(findings.iter().count(), 2, "the reason is missing and the tier is wrong");
/// ```
#[must_use]
pub fn findings_of(request: &ChangeRequest) -> Findings {
    let mut findings = Findings::default();
    check_text("id", &request.id, &mut findings);
    check_text("reason", &request.reason, &mut findings);
    if let Action::Put(spec) = &request.action {
        // The checked object is not needed: the store and every process keep the JSON.
        let _spec = check(&key_of(request), spec, &|_| true, &mut findings);
    }
    findings
}

/// Collects what is wrong with a change beside the other objects in force.
///
/// ```
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::operator::change::findings_beside;
/// use sardinewood::operator::messages::ChangeRequest;
///
/// let request: ChangeRequest = serde_json::from_str(r#"{
///     "id": "c1", "kind": "customers", "name": "rundu", "expected": "absent", "reason": "new",
///     "action": {"put": {
///         "name": "rundu", "weight": 1, "default_profile": "gone", "key_sha256": []
///     }}
/// }"#).unwrap();
/// assert!(!findings_beside(&request, &Catalog::default()).is_empty());
/// ```
#[must_use]
pub fn findings_beside(request: &ChangeRequest, catalog: &Catalog) -> Findings {
    let mut findings = Findings::default();
    let Action::Put(spec) = &request.action else {
        check_removal(request, catalog, &mut findings);
        return findings;
    };
    let key = key_of(request);
    let Some(spec) = check(&key, spec, &|_| true, &mut findings) else {
        return findings;
    };
    let mut after = catalog.clone();
    after.insert(&key.name, &spec);
    let mut of_all = Findings::default();
    check_catalog(&after, &mut of_all);
    let own_place = format!("{key}: ");
    for finding in of_all.iter() {
        if finding.place.starts_with(&own_place) {
            findings.add(&*finding.place, &*finding.problem);
        }
    }
    findings
}

fn check_text(place: &str, text: &str, findings: &mut Findings) {
    if text.trim().is_empty() {
        findings.add(place, "is missing");
    }
    if text.len() > MAX_TEXT_BYTES {
        findings.add(place, format!("is longer than {MAX_TEXT_BYTES} bytes"));
    }
}

/// A profile goes only after the customers whose requests would have none.
fn check_removal(request: &ChangeRequest, catalog: &Catalog, findings: &mut Findings) {
    if request.kind != Kind::Profiles {
        return;
    }
    for customer in catalog.customers.values() {
        if customer.default_profile == request.name {
            findings.add(
                key_of(request).to_string(),
                format!("is the default profile of customer `{}`", customer.name),
            );
        }
    }
}

/// Carries out a change and says what is known of it.
///
/// # Errors
///
/// When this call has changed nothing because of the store.
///
/// ```no_run
/// # use sardinewood::{config::Config, operator::change::Author, store::StoreClient};
/// # use sardinewood::operator::messages::ChangeRequest;
/// # async fn change(store: StoreClient, config: Config, request: ChangeRequest, author: Author) {
/// let answer = sardinewood::operator::change::carry_out(&store, &config, &request, &author).await;
/// # }
/// ```
pub async fn carry_out(
    store: &StoreClient,
    config: &Config,
    request: &ChangeRequest,
    author: &Author,
) -> Result<ChangeAnswer, NotDone> {
    let findings = findings_of(request);
    if !findings.is_empty() {
        return Ok(refused(&findings));
    }
    let current = read_current(store, config, request).await?;
    let (expect, record) = match judge(current.as_ref(), request, author) {
        Judgement::AlreadyDone { version } => return Ok(ChangeAnswer::Accepted { version }),
        Judgement::Conflict => return Ok(conflict(current.as_ref())),
        Judgement::Write { expect, record } => (expect, record),
    };
    // What an earlier call with this id has done was answered above: what else is in force
    // may have changed since, and must not turn "accepted" into "refused".
    let catalog = Arc::clone(&config.catalog().borrow());
    let mut findings = findings_beside(request, &catalog);
    check_length(request, &record, &mut findings);
    if !findings.is_empty() {
        return Ok(refused(&findings));
    }
    if request.dry_run {
        return Ok(ChangeAnswer::Checked {
            effects: effects_of(request, &catalog),
        });
    }
    let value = serde_json::to_value(&record).unwrap_or_default();
    let answer = write(store, config, request, expect, value).await;
    let is_removed = matches!(answer, Ok(ChangeAnswer::Accepted { .. }));
    if is_removed && request.action == Action::Delete {
        take_away_expired(store, config, author.at_ms).await;
    }
    answer
}

/// Reads the object with its whole record from the store.
async fn read_current(
    store: &StoreClient,
    config: &Config,
    request: &ChangeRequest,
) -> Result<Option<StoredObject>, NotDone> {
    let read = store.get(request.kind.as_str(), &request.name).await;
    let current = read.map_err(NotDone::Store)?;
    let held = config.state().borrow().get(&key_of(request));
    let shown = current
        .as_ref()
        .map_or(StorePosition::default(), |object| object.version);
    // A replica that lags or was restored shows an old record. To write on top of it would
    // drop the changes in between from the audit trail. An object that the store removed
    // without a record is held without content, and may be absent.
    let is_behind =
        |(version, content): (StorePosition, Option<_>)| content.is_some() && shown < version;
    if held.is_some_and(is_behind) {
        return Err(NotDone::Behind);
    }
    Ok(current)
}

/// Writes, and settles a lost answer.
async fn write(
    store: &StoreClient,
    config: &Config,
    request: &ChangeRequest,
    expect: Expect,
    value: Value,
) -> Result<ChangeAnswer, NotDone> {
    let kind = request.kind.as_str();
    match store.put(kind, &request.name, expect, &value).await {
        WriteAnswer::Written { version } => {
            let object = StoredObject {
                kind: kind.into(),
                name: Arc::clone(&request.name),
                version,
                value,
            };
            config.apply(|state| state.apply_object(&object));
            Ok(ChangeAnswer::Accepted { version })
        }
        WriteAnswer::Conflict { current } => Ok(after_conflict(config, request, current.as_ref())),
        WriteAnswer::NotKnown { .. } => Ok(settle(store, config, request, expect).await),
        WriteAnswer::Unavailable { reason } => {
            Err(NotDone::Store(ReadError::Unavailable { reason }))
        }
        WriteAnswer::Limited { retry_after_ms } => {
            Err(NotDone::Store(ReadError::Limited { retry_after_ms }))
        }
        WriteAnswer::Rejected { status } => Err(NotDone::Rejected(status)),
    }
}

/// Reads back what became of a write. An unchanged object settles nothing: the write may
/// still be under way. Once another change has replaced the expected version, the write
/// can never take effect.
async fn settle(
    store: &StoreClient,
    config: &Config,
    request: &ChangeRequest,
    expect: Expect,
) -> ChangeAnswer {
    for pause in SETTLE_PAUSES {
        tokio::time::sleep(pause).await;
        let read = store.get(request.kind.as_str(), &request.name).await;
        let Ok(Some(current)) = read else {
            continue;
        };
        let replaced = match expect {
            Expect::Absent => true,
            Expect::Version(version) => current.version > version,
        };
        if replaced {
            return after_conflict(config, request, Some(&current));
        }
    }
    ChangeAnswer::NotKnownYet
}

/// The object is another one than expected: by this very change, or by somebody else's.
fn after_conflict(
    config: &Config,
    request: &ChangeRequest,
    current: Option<&StoredObject>,
) -> ChangeAnswer {
    let Some(object) = current else {
        return conflict(None);
    };
    config.apply(|state| state.apply_object(object));
    match record_of(object).version_of(&request.id, object.version) {
        Some(version) => ChangeAnswer::Accepted { version },
        None => conflict(current),
    }
}

fn key_of(request: &ChangeRequest) -> ObjectKey {
    ObjectKey {
        kind: request.kind,
        name: Arc::clone(&request.name),
    }
}

fn record_of(object: &StoredObject) -> Record {
    Record::from_value(object.value.clone())
}

fn check_length(request: &ChangeRequest, record: &Record, findings: &mut Findings) {
    let length_bytes = serde_json::to_string(record).map_or(usize::MAX, |text| text.len());
    if length_bytes > MAX_RECORD_BYTES {
        let problem = format!("is longer than {MAX_RECORD_BYTES} bytes with its record");
        findings.add(key_of(request).to_string(), problem);
    }
}

fn refused(findings: &Findings) -> ChangeAnswer {
    let texts = findings.iter().map(|finding| finding.to_string().into());
    ChangeAnswer::Refused {
        findings: texts.collect(),
    }
}

fn conflict(current: Option<&StoredObject>) -> ChangeAnswer {
    let view = |object: &StoredObject| {
        let record = record_of(object);
        Some(ObjectView {
            kind: Kind::parse(&object.kind)?,
            name: Arc::clone(&object.name),
            version: object.version,
            spec: record.spec,
            change: record.change,
            findings: Vec::new(),
        })
    };
    ChangeAnswer::Conflict {
        current: current.and_then(view),
    }
}
