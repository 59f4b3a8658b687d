//! The configuration that a process holds, as its decisions read it.

use std::fmt;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::objects::Customer;
use crate::objects::Operator;
use crate::objects::Profile;
use crate::objects::Upstream;

/// One thing that is wrong with an object, and where.
///
/// ```
/// use sardinewood::catalog::ObjectFinding;
///
/// let finding = ObjectFinding {
///     kind: "profiles".into(),
///     name: "lookup".into(),
///     place: "tier".into(),
///     message: "is above 4".into(),
/// };
/// assert_eq!(finding.to_string(), "profiles/lookup: tier: is above 4");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ObjectFinding {
    /// The kind of the object.
    pub kind: Arc<str>,
    /// The name of the object.
    pub name: Arc<str>,
    /// The field.
    pub place: Arc<str>,
    /// What is wrong with it.
    pub message: Arc<str>,
}

impl fmt::Display for ObjectFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            name,
            place,
            message,
        } = self;
        write!(f, "{kind}/{name}: {place}: {message}")
    }
}

/// A read-only picture of the configuration at one moment.
///
/// ```
/// use sardinewood::catalog::Catalog;
///
/// let catalog = Catalog::default();
/// assert_eq!(catalog.revision, 0);
/// assert!(catalog.profiles.is_empty());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// The newest store revision that is part of it.
    pub revision: u64,
    /// Profiles by name.
    pub profiles: IndexMap<Arc<str>, Arc<Profile>>,
    /// Upstreams by name.
    pub upstreams: IndexMap<Arc<str>, Arc<Upstream>>,
    /// Customers by name.
    pub customers: IndexMap<Arc<str>, Arc<Customer>>,
    /// Operators by name.
    pub operators: IndexMap<Arc<str>, Arc<Operator>>,
    /// What keeps the newest version of an object out of force.
    pub findings: Vec<ObjectFinding>,
}
