//! Whose request it is, and which class of work: found in the configuration.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use poem::http::StatusCode;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::caller::openai_error::ApiError;
use crate::config::catalog::Catalog;
use crate::config::objects::Customer;
use crate::config::objects::Profile;
use crate::config::objects::Serves;
use crate::store::position::StorePosition;

/// The revision of the picture that a process starts with.
const NO_CONFIGURATION: StorePosition = StorePosition::new(0, 0);

/// A configuration with an index of its customers by key.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use std::sync::Arc;
/// use sardinewood::caller::directory::CallerDirectory;
/// use sardinewood::config::catalog::Catalog;
///
/// let first = Catalog { revision: StorePosition::new(0, 1), ..Catalog::default() };
/// let directory = CallerDirectory::new(Arc::new(first));
/// assert_eq!(directory.customer(Some("key")).unwrap_err().code, "invalid_api_key");
/// ```
#[derive(Clone, Debug)]
pub struct CallerDirectory {
    catalog: Arc<Catalog>,
    by_key: IndexMap<String, Arc<Customer>>,
}

impl CallerDirectory {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(catalog: Arc<Catalog>) -> Self {
        let keys = catalog.customers.values().flat_map(|customer| {
            customer
                .key_sha256
                .iter()
                .map(|key| (key.to_ascii_lowercase(), customer.clone()))
        });
        Self {
            by_key: keys.collect(),
            catalog,
        }
    }

    /// The configuration.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// The customer whose key it is.
    ///
    /// The index is asked for the key's digest, which a caller can't choose byte by byte,
    /// and what it finds is compared in constant time, so that the time of an answer tells
    /// nothing about a valid key.
    ///
    /// # Errors
    ///
    /// There is no key, or it is nobody's, or there is no configuration yet.
    pub fn customer(&self, key: Option<&str>) -> Result<Arc<Customer>, ApiError> {
        // Before the first configuration every key is unknown. A caller that is told that its
        // key is wrong gives up for good; told to come back, it is answered a moment later.
        if self.catalog.revision == NO_CONFIGURATION {
            return Err(ApiError::not_ready());
        }
        let status = StatusCode::UNAUTHORIZED;
        let Some(key) = key else {
            return Err(ApiError::refused(
                status,
                "missing_api_key",
                "there is no `Authorization: Bearer KEY`",
            ));
        };
        let digest = format!("{:x}", Sha256::digest(key.as_bytes()));
        let found = self.by_key.get_key_value(&digest);
        found
            .filter(|(known, _)| bool::from(known.as_bytes().ct_eq(digest.as_bytes())))
            .map(|(_, customer)| customer.clone())
            .ok_or_else(|| ApiError::refused(status, "invalid_api_key", "the key is not valid"))
    }

    /// The profile that a request names, or its customer's default.
    ///
    /// # Errors
    ///
    /// There is no such profile.
    pub fn profile(
        &self,
        named: Option<&Arc<str>>,
        customer: &Customer,
    ) -> Result<Arc<Profile>, ApiError> {
        let name = named.unwrap_or(&customer.default_profile);
        let found = self.catalog.profiles.get(name).cloned();
        found.ok_or_else(|| {
            ApiError::bad_request("unknown_profile", format!("there is no profile `{name}`"))
        })
    }

    /// All models that an upstream serves, by name.
    #[must_use]
    pub fn models(&self) -> Vec<Arc<str>> {
        let mut models: IndexSet<Arc<str>> = IndexSet::new();
        for upstream in self.catalog.upstreams.values() {
            if let Serves::Models(served) = &upstream.serves {
                models.extend(served.iter().cloned());
            }
        }
        models.sort_unstable();
        models.into_iter().collect()
    }
}
