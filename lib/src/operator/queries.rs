//! The answers to operators' queries, from what one entry knows.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::audit::Record;
use crate::config::catalog::Catalog;
use crate::config::object::Kind;
use crate::config::object::ObjectKey;
use crate::config::objects::Activity;
use crate::config::objects::Upstream;
use crate::config::spread_link::Member;
use crate::config::spread_message::Role;
use crate::config::state::ConfigState;
use crate::config::state::Content;
use crate::entry::control::AgentStatus;
use crate::entry::control::EntryStatus;
use crate::operator::messages::AuditEntry;
use crate::operator::messages::AuditTrail;
use crate::operator::messages::InForce;
use crate::operator::messages::ObjectView;
use crate::operator::messages::ObjectViews;
use crate::operator::messages::ProcessView;
use crate::operator::messages::UpstreamView;
use crate::store::StoredObject;
use crate::store::position::StorePosition;

/// An entry that was not heard for so long is not believed to run.
const ENTRY_GONE_MS: u64 = 60_000;

/// The parts of the audit trail that an operator asks for; what is left out does not filter.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(default)]
pub struct AuditFilter {
    /// The kind of the objects.
    pub kind: Option<Kind>,
    /// The name of the objects.
    pub name: Option<Arc<str>>,
    /// Who made the changes.
    pub who: Option<Arc<str>>,
    /// The earliest, in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// The latest, in milliseconds since 1970.
    pub until_ms: Option<u64>,
    /// The most changes to answer.
    pub limit: Option<usize>,
}

/// What one entry believes about another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Believed {
    /// Its role.
    pub role: Role,
    /// Its last report; absent if it was never heard.
    pub member: Option<Member>,
}

/// One object as this entry holds it.
///
/// ```
/// use sardinewood::config::object::{Kind, ObjectKey};
/// use sardinewood::config::state::ConfigState;
/// use sardinewood::operator::queries::view_of;
///
/// let key = ObjectKey { kind: Kind::Profiles, name: "lookup".into() };
/// assert!(view_of(&ConfigState::default(), &key).is_none());
/// ```
#[must_use]
pub fn view_of(state: &ConfigState, key: &ObjectKey) -> Option<ObjectView> {
    let (version, content) = state.get(key)?;
    let Content { spec, change } = content.unwrap_or_default();
    let findings = state.findings(key).iter();
    Some(ObjectView {
        kind: key.kind,
        name: Arc::clone(&key.name),
        version,
        spec,
        change,
        findings: findings.map(|finding| finding.to_string().into()).collect(),
    })
}

/// The objects of a kind that are not removed.
///
/// ```
/// use sardinewood::config::object::Kind;
/// use sardinewood::config::state::ConfigState;
/// use sardinewood::operator::queries::views_of;
///
/// assert!(views_of(&ConfigState::default(), Kind::Profiles).objects.is_empty());
/// ```
#[must_use]
pub fn views_of(state: &ConfigState, kind: Kind) -> ObjectViews {
    let keys = state.keys(kind);
    let views = keys.iter().filter_map(|key| view_of(state, key));
    ObjectViews {
        revision: revision_of(state),
        objects: views.filter(|view| view.spec.is_some()).collect(),
    }
}

/// The objects that changed after a revision.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::config::state::ConfigState;
/// use sardinewood::operator::queries::changed_after;
///
/// assert!(changed_after(&ConfigState::default(), StorePosition::default()).objects.is_empty());
/// ```
#[must_use]
pub fn changed_after(state: &ConfigState, after: StorePosition) -> ObjectViews {
    let newer = state.answer_peer(after).objects.into_iter();
    let newer = newer.filter(|object| object.version > after);
    ObjectViews {
        revision: revision_of(state),
        objects: newer
            .filter_map(|object| view_of(state, &object.key))
            .collect(),
    }
}

/// The newest revision of which something is known.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// let state = sardinewood::config::state::ConfigState::default();
/// assert_eq!(sardinewood::operator::queries::revision_of(&state), StorePosition::default());
/// ```
#[must_use]
pub fn revision_of(state: &ConfigState) -> StorePosition {
    let digest = state.digest();
    digest.complete_through.max(digest.newest)
}

/// The other processes that are believed to run: one agent beside each upstream, and the
/// entries that were heard lately.
///
/// ```
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::operator::queries::believed;
///
/// assert!(believed(&Catalog::default(), &[]).is_empty());
/// ```
#[must_use]
pub fn believed(catalog: &Catalog, members: &[Member]) -> IndexMap<Arc<str>, Believed> {
    let mut processes = IndexMap::new();
    for name in catalog.upstreams.keys() {
        let role = Role::Agent;
        processes.insert(Arc::clone(name), Believed { role, member: None });
    }
    for member in members {
        let identity = &member.report.identity;
        let role = identity.role;
        let expected = match role {
            Role::Agent => processes.contains_key(&identity.name),
            Role::Entry => member.heard_ago_ms < ENTRY_GONE_MS,
        };
        let heard = processes.get(&identity.name);
        let heard_ago_ms = heard.and_then(|process: &Believed| process.member.as_ref());
        // After a restart on another address, the older report is of the earlier process.
        let latest = heard_ago_ms.is_none_or(|other| other.heard_ago_ms > member.heard_ago_ms);
        if expected && latest {
            let member = Some(member.clone());
            processes.insert(Arc::clone(&identity.name), Believed { role, member });
        }
    }
    processes
}

/// How far a version of an object has got. `current` is the newest version known here: who
/// has that one is past the version that is asked about.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::operator::queries::{believed, in_force};
///
/// let at = StorePosition::new(0, 7);
/// let alone = in_force(&believed(&Catalog::default(), &[]), None, at, at);
/// assert_eq!((alone.processes, alone.count()), (1, 1));
/// ```
#[must_use]
pub fn in_force(
    processes: &IndexMap<Arc<str>, Believed>,
    lacking: Option<&Arc<str>>,
    version: StorePosition,
    current: StorePosition,
) -> InForce {
    let has = |process: &Believed| {
        let report = process.member.as_ref().map(|member| &member.report);
        report.is_some_and(|report| report.has(version) || report.has(current))
    };
    let others = processes.iter().filter(|(_, process)| !has(process));
    InForce {
        processes: processes.len() + 1,
        missing: lacking
            .cloned()
            .into_iter()
            .chain(others.map(|(name, _)| Arc::clone(name)))
            .collect(),
    }
}

/// A process as operators see it.
///
/// ```
/// use sardinewood::operator::queries::{Believed, process_view};
/// use sardinewood::config::spread_message::Role;
///
/// let view = process_view("lang-1", &Believed { role: Role::Agent, member: None });
/// assert_eq!((&*view.role, view.revision), ("agent", None));
/// ```
#[must_use]
pub fn process_view(name: &str, process: &Believed) -> ProcessView {
    let member = process.member.as_ref();
    let role = match process.role {
        Role::Entry => "entry",
        Role::Agent => "agent",
    };
    ProcessView {
        name: name.into(),
        role: role.into(),
        revision: member.map(|member| {
            let digest = member.report.digest;
            digest.complete_through.max(digest.newest)
        }),
        heard_ms_ago: member.map(|member| member.heard_ago_ms),
    }
}

/// Every upstream, and why it gets no work from this entry.
///
/// ```
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::entry::control::EntryStatus;
/// use sardinewood::operator::queries::upstream_views;
///
/// assert!(upstream_views(&Catalog::default(), &EntryStatus::default()).is_empty());
/// ```
#[must_use]
pub fn upstream_views(catalog: &Catalog, entry: &EntryStatus) -> Vec<UpstreamView> {
    let view = |upstream: &Arc<Upstream>| {
        let agent = entry.agents.get(&upstream.name).copied();
        let agent = agent.unwrap_or_default();
        let activity = match upstream.activity {
            Activity::Active => "active",
            Activity::Draining => "draining",
            Activity::Stopped => "stopped",
        };
        UpstreamView {
            name: Arc::clone(&upstream.name),
            activity: activity.into(),
            slots: upstream.slots,
            running: if agent.is_linked {
                upstream.slots.saturating_sub(agent.load.free_slots)
            } else {
                0
            },
            waiting: agent.load.waiting,
            no_work_because: why_no_work(upstream.activity, &agent).map(Arc::from),
        }
    };
    catalog.upstreams.values().map(view).collect()
}

fn why_no_work(activity: Activity, agent: &AgentStatus) -> Option<&'static str> {
    match activity {
        Activity::Draining => Some("an operator drains it"),
        Activity::Stopped => Some("an operator stopped it"),
        Activity::Active if !agent.is_linked => Some("this entry has no link to its agent"),
        Activity::Active if !agent.takes_work => Some("its agent takes no work at present"),
        Activity::Active => None,
    }
}

/// The audit trail of some objects of the store.
///
/// ```
/// use sardinewood::operator::queries::{AuditFilter, audit_trail};
///
/// assert!(audit_trail(&[], &AuditFilter::default()).entries.is_empty());
/// ```
#[must_use]
pub fn audit_trail(objects: &[StoredObject], filter: &AuditFilter) -> AuditTrail {
    let mut trail = AuditTrail::default();
    for object in objects {
        let Some(kind) = Kind::parse(&object.kind) else {
            continue;
        };
        let key = ObjectKey {
            kind,
            name: Arc::clone(&object.name),
        };
        if !is_wanted(&key, filter) {
            continue;
        }
        let record = Record::from_value(object.value.clone());
        trail.forgotten += record.forgotten;
        let entries = entries_of(&key, object.version, record);
        trail.entries.extend(
            entries
                .into_iter()
                .filter(|entry| is_in_part(entry, filter)),
        );
    }
    trail
        .entries
        .sort_by_key(|entry| std::cmp::Reverse(entry.version));
    trail.entries.truncate(filter.limit.unwrap_or(usize::MAX));
    trail
}

fn is_wanted(key: &ObjectKey, filter: &AuditFilter) -> bool {
    filter.kind.is_none_or(|kind| kind == key.kind)
        && filter.name.as_ref().is_none_or(|name| *name == key.name)
}

fn is_in_part(entry: &AuditEntry, filter: &AuditFilter) -> bool {
    let who = entry.change.as_ref().map(|change| &change.who);
    let at_ms = entry.change.as_ref().map(|change| change.at_ms);
    let by_wanted = filter.who.as_ref().is_none_or(|wanted| who == Some(wanted));
    let late_enough = filter
        .since_ms
        .is_none_or(|since_ms| at_ms.is_some_and(|at| at >= since_ms));
    let early_enough = filter
        .until_ms
        .is_none_or(|until_ms| at_ms.is_some_and(|at| at <= until_ms));
    by_wanted && late_enough && early_enough
}

/// The changes of one object, oldest first.
fn entries_of(key: &ObjectKey, version: StorePosition, record: Record) -> Vec<AuditEntry> {
    let mut before = None;
    let mut entries = Vec::new();
    let past = record.history.into_iter();
    let past = past.map(|past| (past.version, past.change, past.after));
    for (version, change, after) in past.chain([(version, record.change, record.spec)]) {
        entries.push(AuditEntry {
            kind: key.kind,
            name: Arc::clone(&key.name),
            version,
            change,
            before: std::mem::replace(&mut before, after.clone()),
            after,
        });
    }
    entries
}
