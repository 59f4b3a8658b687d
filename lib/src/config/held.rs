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
        content: Some(content),
        in_force,
        findings: findings.iter().cloned().collect(),
        hash: version_hash(key, version),
    }
}

/// The share of one object in the digest.
fn version_hash(key: &ObjectKey, version: StorePosition) -> u64 {
    let text = format!("{key}@{version}");
    XxHash64::oneshot(0, text.as_bytes())
}
