//! The kinds of configuration objects, and the check that each object passes before it
//! is in force.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::config::objects::Customer;
use crate::config::objects::Operator;
use crate::config::objects::Profile;
use crate::config::objects::Upstream;
use crate::config::objects_check::check_customer;
use crate::config::objects_check::check_operator;
use crate::config::objects_check::check_profile;
use crate::config::objects_check::check_upstream;
use crate::findings::Findings;

/// A kind of configuration object.
///
/// ```
/// use sardinewood::config::object::Kind;
///
/// assert_eq!(Kind::parse("profiles"), Some(Kind::Profiles));
/// assert_eq!(Kind::Upstreams.as_str(), "upstreams");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Classes of work.
    Profiles,
    /// Engines and plain services.
    Upstreams,
    /// Senders of requests.
    Customers,
    /// People who run the system.
    Operators,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 4] = [
        Self::Profiles,
        Self::Upstreams,
        Self::Customers,
        Self::Operators,
    ];

    /// The name of the kind in the store.
    ///
    /// ```
    /// assert_eq!(sardinewood::config::object::Kind::Customers.as_str(), "customers");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Profiles => "profiles",
            Self::Upstreams => "upstreams",
            Self::Customers => "customers",
            Self::Operators => "operators",
        }
    }

    /// The kind of this name.
    ///
    /// ```
    /// assert_eq!(sardinewood::config::object::Kind::parse("pods"), None);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// What names an object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: Arc<str>,
}

/// A checked object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spec {
    /// A class of work.
    Profile(Arc<Profile>),
    /// An engine or plain service.
    Upstream(Arc<Upstream>),
    /// A sender of requests.
    Customer(Arc<Customer>),
    /// Somebody who runs the system.
    Operator(Arc<Operator>),
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// Checks an object on its own. One that has a finding is not to be put in force.
///
/// ```
/// use sardinewood::config::object::{Kind, ObjectKey, check};
/// use sardinewood::findings::Findings;
///
/// let key = ObjectKey { kind: Kind::Profiles, name: "lookup".into() };
/// let mut findings = Findings::default();
/// check(&key, &serde_json::json!({"name": "lookup", "tier": 9}), &|_| true, &mut findings);
/// let text = findings.to_string();
/// assert!(text.contains("profiles/lookup: tier: "));
/// assert!(text.contains("profiles/lookup: deadline_ms: is missing"));
/// ```
pub fn check(
    key: &ObjectKey,
    value: &Value,
    profile_exists: &dyn Fn(&str) -> bool,
    findings: &mut Findings,
) -> Option<Spec> {
    let name = &key.name;
    match key.kind {
        Kind::Profiles => {
            check_profile(name, value, findings).map(|profile| Spec::Profile(Arc::new(profile)))
        }
        Kind::Upstreams => {
            check_upstream(name, value, findings).map(|upstream| Spec::Upstream(Arc::new(upstream)))
        }
        Kind::Customers => check_customer(name, value, profile_exists, findings)
            .map(|customer| Spec::Customer(Arc::new(customer))),
        Kind::Operators => {
            check_operator(name, value, findings).map(|operator| Spec::Operator(Arc::new(operator)))
        }
    }
}
