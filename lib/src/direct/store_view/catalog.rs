//! What operators have configured: routes, services, customers and limits.

use std::sync::Arc;

use indexmap::IndexMap;

/// How long a caller's connection may stay without a request if no limit is set: as long as
/// common HTTP servers keep one.
pub const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;

/// Whether a request may run again after its outcome became unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It changes nothing, so another upstream may run it again.
    Safe,
    /// It runs once at most.
    Unsafe,
    /// Its answer is a stream; another upstream may go on after the last event if `resumable`.
    Stream {
        /// Whether a second upstream may continue it.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a second upstream may run the request after a first one may have.
    ///
    /// ```
    /// use sardinewood::direct::store_view::catalog::RetryPolicy;
    ///
    /// assert!(RetryPolicy::Stream { resumable: true }.is_idempotent());
    /// assert!(!RetryPolicy::Unsafe.is_idempotent());
    /// ```
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    ///
    /// ```
    /// use sardinewood::direct::store_view::catalog::RetryPolicy;
    ///
    /// assert!(!RetryPolicy::Safe.is_stream());
    /// ```
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share, relative to the other targets of the route.
    pub weight: u32,
}

/// Where requests of one path go and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The start of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// Whether and how a request may be repeated.
    pub retry_policy: RetryPolicy,
    /// The longest that a caller is kept waiting for the answer.
    pub timeout_ms: u64,
    /// The time within which the answer, or the first event, is worth most.
    pub objective_ms: u64,
    /// Importance, 0 the highest.
    pub tier: u8,
    /// Services that take its requests.
    pub services: Vec<WeightedService>,
    /// Upstreams to which one request may be sent.
    pub max_upstreams: u32,
    /// Whether callers need no key.
    pub allows_anonymous: bool,
    /// The longest pause between two events with which a stream is on time.
    pub gap_target_ms: Option<u64>,
    /// How long callers wait for a first event before they leave.
    pub caller_patience_ms: Option<u64>,
}

impl Route {
    /// The service for a request, by a random number, in proportion to the weights.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::catalog::{RetryPolicy, Route, WeightedService};
    /// # let route = Route { name: "r".into(), path_prefix: "/a/".into(), retry_policy: RetryPolicy::Safe,
    /// #     timeout_ms: 1, objective_ms: 1, tier: 0, max_upstreams: 1, allows_anonymous: true, gap_target_ms: None, caller_patience_ms: None,
    /// #     services: vec![WeightedService { service: "x".into(), weight: 9 }, WeightedService { service: "y".into(), weight: 1 }] };
    /// assert_eq!(&**route.service_for(8).unwrap(), "x");
    /// assert_eq!(&**route.service_for(9).unwrap(), "y");
    /// ```
    #[must_use]
    pub fn service_for(&self, random: u32) -> Option<&Arc<str>> {
        let total: u32 = self.services.iter().map(|target| target.weight).sum();
        let mut left = random.checked_rem(total)?;
        for target in &self.services {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        None
    }
}

/// What a customer may spend, in tokens or in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Units that come in each second.
    pub rate_per_s: u64,
    /// Units that may be spent at once.
    pub burst: u64,
    /// What a request of unknown size counts; none if each request counts one.
    pub default_tokens: Option<u64>,
}

/// Whoever a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Its name, as upstreams are told.
    pub name: Arc<str>,
    /// Importance of its requests, in place of the route's.
    pub tier: Option<u8>,
    /// What it may spend.
    pub quota: Option<Quota>,
}

/// What all upstreams of a service have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its upstreams are engines that generate tokens.
    pub is_engine: bool,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// How long a connection may stay without a request.
    pub idle_timeout_ms: u64,
}

/// A configuration that is in force as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// The operator's number of it, for logs.
    pub version: u64,
    /// Routes by the host that callers name; the longest prefix comes first.
    pub routes: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: IndexMap<Arc<str>, Service>,
    /// Customers by key; none at all if requests need no key.
    pub customers: IndexMap<Arc<str>, Arc<Customer>>,
    /// Whether requests need a key, also if nobody holds one.
    pub requires_key: bool,
    /// Limits of callers.
    pub limits: Option<CallerLimits>,
}

/// What the catalog says of a request.
#[derive(Clone, Debug)]
pub enum RouteLookup {
    /// The request may go on.
    Found(Arc<Route>, Option<Arc<Customer>>),
    /// No route leads anywhere.
    NoRoute,
    /// The key is missing or nobody's.
    UnknownKey,
}

impl Catalog {
    /// Adds a route, and keeps the longest prefix first.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use sardinewood::direct::store_view::catalog::{RouteLookup, Catalog, RetryPolicy, Route};
    /// # let route = |prefix: &str| Route { name: prefix.into(), path_prefix: prefix.into(),
    /// #     retry_policy: RetryPolicy::Safe, timeout_ms: 1, objective_ms: 1, tier: 0, max_upstreams: 1,
    /// #     allows_anonymous: true, gap_target_ms: None, caller_patience_ms: None, services: Vec::new() };
    /// let mut catalog = Catalog::default();
    /// catalog.add_route("a.example".into(), route("/a/"));
    /// catalog.add_route("a.example".into(), route("/a/b/"));
    /// let found = catalog.look_up("a.example:80", "/a/b/c?d=1", None);
    /// assert!(matches!(found, RouteLookup::Found(route, _) if &*route.name == "/a/b/"));
    /// ```
    pub fn add_route(&mut self, host: Arc<str>, route: Route) {
        let routes = self.routes.entry(host).or_default();
        let longer = |other: &Arc<Route>| other.path_prefix.len() >= route.path_prefix.len();
        let at = routes.partition_point(longer);
        routes.insert(at, Arc::new(route));
    }

    /// Finds the route and the customer of a request.
    ///
    /// ```
    /// use sardinewood::direct::store_view::catalog::{RouteLookup, Catalog};
    ///
    /// assert!(matches!(Catalog::default().look_up("h", "/", None), RouteLookup::NoRoute));
    /// ```
    #[must_use]
    pub fn look_up(&self, host: &str, path: &str, key: Option<&str>) -> RouteLookup {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let Some(route) = self.routes.get(host).and_then(|routes| {
            routes
                .iter()
                .find(|route| path.starts_with(&*route.path_prefix))
        }) else {
            return RouteLookup::NoRoute;
        };
        let customer = key.and_then(|key| self.customers.get(key)).cloned();
        if customer.is_none() && self.requires_key && !route.allows_anonymous {
            return RouteLookup::UnknownKey;
        }
        RouteLookup::Found(Arc::clone(route), customer)
    }

    /// The customer of a name.
    ///
    /// ```
    /// assert!(sardinewood::direct::store_view::catalog::Catalog::default().customer("c").is_none());
    /// ```
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers
            .values()
            .find(|customer| &*customer.name == name)
    }

    /// How long a caller's connection may stay without a request.
    ///
    /// ```
    /// assert!(sardinewood::direct::store_view::catalog::Catalog::default().idle_timeout_ms() > 0);
    /// ```
    #[must_use]
    pub fn idle_timeout_ms(&self) -> u64 {
        self.limits
            .map_or(DEFAULT_IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms)
    }
}
