//! The configuration that operators set: routes, services, customers and limits.

use std::sync::Arc;

use indexmap::IndexMap;

/// Time for which a caller's connection may be idle if no limit is set, the same as in common HTTP
/// servers.
pub const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Time within which the head of a request has to arrive if the configuration sets no limit.
pub const DEFAULT_HEADER_TIMEOUT_MS: u64 = 5_000;
/// Largest body of a request that is accepted if the configuration sets no limit.
pub const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;
/// Largest head of a request that is accepted if the configuration sets no limit.
pub const DEFAULT_MAX_HEADER_BYTES: u64 = 64 << 10;

/// Whether a request may run again after its outcome became unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request has no side effects, so another upstream may run it again.
    Safe,
    /// The request may run at most once.
    Unsafe,
    /// The answer is a stream. Another upstream may continue it after the last event if
    /// `resumable`.
    Stream {
        /// Whether a second upstream may continue the stream.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether a second upstream may run the request after a first one may have run it.
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

    /// Returns whether a request that runs can go on at another version of its upstream's software.
    /// What two versions write of one stream does not fit together.
    ///
    /// ```
    /// use sardinewood::direct::store_view::catalog::RetryPolicy;
    ///
    /// assert!(RetryPolicy::Safe.can_change_version());
    /// assert!(!RetryPolicy::Stream { resumable: true }.can_change_version());
    /// ```
    #[must_use]
    pub fn can_change_version(self) -> bool {
        matches!(self, Self::Safe)
    }

    /// Returns whether the answer is a stream of events.
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

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// Routing and treatment of the requests with one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// Whether a request may run again.
    pub retry_policy: RetryPolicy,
    /// Longest time that a caller waits for the answer.
    pub timeout_ms: u64,
    /// Time within which the answer, or its first event, has its full worth.
    pub objective_ms: u64,
    /// Tier of the requests; 0 is the most important.
    pub tier: u8,
    /// Services that get the route's requests.
    pub services: Vec<WeightedService>,
    /// Maximum number of upstreams to which one request may be sent.
    pub max_upstreams: u32,
    /// Whether callers need no API key.
    pub allows_anonymous: bool,
    /// Longest event gap with which a stream is on time.
    pub gap_target_ms: Option<u64>,
    /// Time that callers wait for the first event before they leave.
    pub caller_patience_ms: Option<u64>,
}

impl Route {
    /// Chooses the service for a request by a random number, in proportion to the weights.
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
        let total: u32 = self.services.iter().map(|weighted| weighted.weight).sum();
        let mut remaining = random.checked_rem(total)?;
        for weighted in &self.services {
            if remaining < weighted.weight {
                return Some(&weighted.service);
            }
            remaining -= weighted.weight;
        }
        None
    }

    /// Returns the service of all requests, if the route has only one.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::catalog::{RetryPolicy, Route, WeightedService};
    /// # let route = Route { name: "r".into(), path_prefix: "/a/".into(), retry_policy: RetryPolicy::Safe,
    /// #     timeout_ms: 1, objective_ms: 1, tier: 0, max_upstreams: 1, allows_anonymous: true, gap_target_ms: None, caller_patience_ms: None,
    /// #     services: vec![WeightedService { service: "x".into(), weight: 9 }] };
    /// assert_eq!(&**route.only_service().unwrap(), "x");
    /// ```
    #[must_use]
    pub fn only_service(&self) -> Option<&Arc<str>> {
        match self.services.as_slice() {
            [only] => Some(&only.service),
            _ => None,
        }
    }

    /// Returns whether the route has a service, whatever its weight.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::catalog::{RetryPolicy, Route, WeightedService};
    /// # let route = Route { name: "r".into(), path_prefix: "/a/".into(), retry_policy: RetryPolicy::Safe,
    /// #     timeout_ms: 1, objective_ms: 1, tier: 0, max_upstreams: 1, allows_anonymous: true, gap_target_ms: None, caller_patience_ms: None,
    /// #     services: vec![WeightedService { service: "x".into(), weight: 9 }] };
    /// assert!(route.leads_to("x") && !route.leads_to("y"));
    /// ```
    #[must_use]
    pub fn leads_to(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        services.any(|weighted| *weighted.service == *service)
    }

    /// Returns whether callers may take up a stream of the route where it broke.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::catalog::{RetryPolicy, Route, WeightedService};
    /// # let route = Route { name: "r".into(), path_prefix: "/a/".into(), retry_policy: RetryPolicy::Safe,
    /// #     timeout_ms: 1, objective_ms: 1, tier: 0, max_upstreams: 1, allows_anonymous: true, gap_target_ms: None, caller_patience_ms: None,
    /// #     services: vec![WeightedService { service: "x".into(), weight: 9 }] };
    /// assert!(!route.is_resumable());
    /// ```
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        matches!(self.retry_policy, RetryPolicy::Stream { resumable: true })
    }
}

/// Quota of a customer, in tokens or in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Units that are added per second.
    pub rate_per_s: u64,
    /// Units that may be spent at once.
    pub burst: u64,
    /// Tokens that are charged for a request of unknown size; `None` if the quota counts requests.
    pub default_tokens: Option<u64>,
}

/// The holder of one or more API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer, as sent to upstreams.
    pub name: Arc<str>,
    /// Tier of the customer's requests, instead of the route's tier.
    pub tier: Option<u8>,
    /// Quota of the customer; `None` if it is not limited.
    pub quota: Option<Quota>,
}

/// Properties that all upstreams of a service share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Whether the service's upstreams are engines that generate tokens.
    pub is_engine: bool,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub max_header_bytes: u64,
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Time within which the head of a request has to arrive, from its first byte on.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle, between two parts of a request's body too.
    pub idle_timeout_ms: u64,
}

/// A complete configuration. Takes effect as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// Version number given by the operator, for logs.
    pub version: u64,
    /// Routes by the host name in the request; the longest prefix comes first.
    pub routes: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: IndexMap<Arc<str>, Service>,
    /// Customers by API key; empty if requests need no key.
    pub customers: IndexMap<Arc<str>, Arc<Customer>>,
    /// Whether requests need an API key, even if no customer has one.
    pub requires_key: bool,
    /// Limits on callers.
    pub limits: Option<CallerLimits>,
}

/// Result of looking up a request in the catalog.
#[derive(Clone, Debug)]
pub enum RouteLookup {
    /// The route of the request, and its customer if it has a known key.
    Found(Arc<Route>, Option<Arc<Customer>>),
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
}

impl Catalog {
    /// Adds a route. The longest prefix of each host stays first.
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
        let index = routes.partition_point(longer);
        routes.insert(index, Arc::new(route));
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

    /// Returns the customer with a name.
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

    /// Returns the time within which the head of a request has to arrive.
    ///
    /// ```
    /// assert!(sardinewood::direct::store_view::catalog::Catalog::default().header_timeout_ms() > 0);
    /// ```
    #[must_use]
    pub fn header_timeout_ms(&self) -> u64 {
        self.limits
            .map_or(DEFAULT_HEADER_TIMEOUT_MS, |limits| limits.header_timeout_ms)
    }

    /// Returns the maximum size of a request's body.
    ///
    /// ```
    /// assert!(sardinewood::direct::store_view::catalog::Catalog::default().max_body_bytes() > 0);
    /// ```
    #[must_use]
    pub fn max_body_bytes(&self) -> u64 {
        self.limits
            .map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes)
    }

    /// Returns the maximum size of a request's head.
    ///
    /// ```
    /// assert!(sardinewood::direct::store_view::catalog::Catalog::default().max_header_bytes() > 0);
    /// ```
    #[must_use]
    pub fn max_header_bytes(&self) -> u64 {
        self.limits
            .map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.max_header_bytes)
    }

    /// Returns the time for which a caller's connection may be idle.
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
