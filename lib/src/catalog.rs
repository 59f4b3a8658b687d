//! The configuration that a process holds, as its decisions read it.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::findings::Finding;
use crate::objects::Customer;
use crate::objects::Operator;
use crate::objects::Profile;
use crate::objects::Upstream;

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
    pub findings: Vec<Finding>,
}
