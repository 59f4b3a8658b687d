//! One configuration object in a process: its newest version, and what of it is in force.

use std::sync::Arc;

use twox_hash::XxHash64;

use crate::config::object::ObjectKey;
use crate::config::object::Spec;
use crate::config::object::check;
use crate::config::version::Content;
use crate::findings::Finding;
use crate::findings::Findings;
use crate::store::position::StorePosition;

/// The newest known version of an object, and the newest good one.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) version: StorePosition,
    pub(crate) content: Option<Arc<str>>,
    pub(crate) in_force: Option<Spec>,
    pub(crate) findings: Vec<Finding>,
    pub(crate) hash: u64,
}

impl Held {
    /// Whether what is held outlasts the content that is offered at a position of a later era, or at the
    /// same one. The content is then of an older copy of the store, or the same.
    pub(crate) fn outlasts(&self, offered: &str, version: StorePosition) -> bool {
        let is_same = version.era > 0 && version == self.version;
        let may_be_of_copy = version.era > self.version.era || is_same;
        let Some(held) = self.content.as_deref().filter(|_| may_be_of_copy) else {
            return false;
        };
        changed_at_ms(held) >= changed_at_ms(offered)
    }

    /// Whether the content that is offered at the same position of a later era was changed after what
    /// is held.
    pub(crate) fn is_outlasted_by(&self, offered: &str, version: StorePosition) -> bool {
        let is_same = version.era > 0 && version == self.version;
        let held = self.content.as_deref().filter(|_| is_same);
        held.is_some_and(|held| changed_at_ms(offered) > changed_at_ms(held))
    }

    /// Moves what is held to the position of an older content that it outlasts.
    pub(crate) fn move_to(&mut self, key: &ObjectKey, version: StorePosition) {
        self.version = version;
        self.hash = version_hash(key, version, self.content.as_deref());
    }
}

/// The time of the change that led to a content, by the clock of the entry that took it; 0 if the
/// content does not say.
fn changed_at_ms(content: &str) -> u64 {
    let content = serde_json::from_str::<Content>(content).ok();
    let change = content.and_then(|content| content.change);
    change.map_or(0, |change| change.at_ms)
}

pub(crate) fn removed(version: StorePosition) -> Held {
    Held {
        version,
        content: None,
        in_force: None,
        findings: Vec::new(),
        hash: 0,
    }
}

/// A new version, in force if it is good; otherwise the last good one stays in force.
pub(crate) fn checked(
    key: &ObjectKey,
    version: StorePosition,
    content: Arc<str>,
    last_good: Option<Spec>,
) -> Held {
    let mut findings = Findings::default();
    let in_force = match serde_json::from_str::<Content>(&content) {
        Ok(Content { spec: None, .. }) => None,
        Ok(Content {
            spec: Some(spec), ..
        }) => check(key, &spec, &|_| true, &mut findings),
        Err(error) => {
            findings.add(key.to_string(), error.to_string());
            None
        }
    };
    let in_force = if findings.is_empty() {
        in_force
    } else {
        last_good
    };
    Held {
        version,
        hash: version_hash(key, version, Some(&content)),
        content: Some(content),
        in_force,
        findings: findings.iter().cloned().collect(),
    }
}

/// The share of one object in the digest. At one position of a later era there may be two contents:
/// the one of the store's older copy, and one that outlasts it.
fn version_hash(key: &ObjectKey, version: StorePosition, content: Option<&str>) -> u64 {
    let changed_at_ms = match version.era {
        0 => 0,
        _ => content.map_or(0, changed_at_ms),
    };
    let text = format!("{key}@{version}@{changed_at_ms}");
    XxHash64::oneshot(0, text.as_bytes())
}
