//! The configuration that a process holds, as its decisions read it.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::object::Spec;
use crate::config::objects::Customer;
use crate::config::objects::Operator;
use crate::config::objects::Profile;
use crate::config::objects::Upstream;
use crate::findings::Finding;
use crate::store::position::StorePosition;

/// A read-only picture of the configuration at one moment.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::config::catalog::Catalog;
///
/// let catalog = Catalog::default();
/// assert_eq!(catalog.revision, StorePosition::default());
/// assert!(catalog.profiles.is_empty());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// The newest store revision that is part of it.
    pub revision: StorePosition,
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

impl Catalog {
    /// Puts an object into the picture.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinewood::config::catalog::Catalog;
    /// use sardinewood::config::object::Spec;
    ///
    /// let operator = serde_json::from_str(
    ///     r#"{"name": "selma", "role": "read", "token_sha256": []}"#,
    /// ).unwrap();
    /// let mut catalog = Catalog::default();
    /// catalog.insert(&"selma".into(), &Spec::Operator(Arc::new(operator)));
    /// assert!(catalog.operators.contains_key("selma"));
    /// ```
    pub fn insert(&mut self, name: &Arc<str>, spec: &Spec) {
        let name = Arc::clone(name);
        match spec {
            Spec::Profile(profile) => {
                self.profiles.insert(name, Arc::clone(profile));
            }
            Spec::Upstream(upstream) => {
                self.upstreams.insert(name, Arc::clone(upstream));
            }
            Spec::Customer(customer) => {
                self.customers.insert(name, Arc::clone(customer));
            }
            Spec::Operator(operator) => {
                self.operators.insert(name, Arc::clone(operator));
            }
        }
    }
}
