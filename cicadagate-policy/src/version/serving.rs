/*!
Serving configuration: which service handles a request, and for which customer.

# Problem

A process handles requests by the latest configuration that it has read. It
must never return to an older one. A process without any configuration must
not report an API key or path as unknown, since it can't know that.

# Choice

A configuration is an immutable value with a version. [`CurrentConfig`] holds
the latest one and rejects older ones. Decoding is left to the reader of the
configuration; the lookups here work on validated types.
*/

use {
    crate::{
        ids::{CustomerId, hash64},
        process::cold_replicas::ColdStart,
    },
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, rc::Rc},
};

/// The kind of a route's requests: whether they may be repeated, and the form
/// of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once for each attempt of the caller.
    NonIdempotent,
    /// The response to a request is a stream of events.
    Streaming,
    /// A request submits a batch job.
    Batch,
}

/// A service that a route sends requests to, and its share of them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name, the same in all versions.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Prefix of the requests' paths.
    pub prefix: String,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Services and their shares.
    pub targets: Vec<Target>,
    /// Maximum number of attempts of one request that may have run, or of
    /// failed runs of a batch item.
    pub max_attempts: u32,
    /// Longest time until the end of the response, in milliseconds; 0 means no
    /// limit.
    pub timeout_ms: u64,
    /// Latency objective: the time within which a response is worth most, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Requests need no API key.
    pub is_open: bool,
    /// A stream may resume at another replica after the last event received.
    pub is_resumable: bool,
    /// Time from a job's submission until its results are due, in milliseconds.
    pub due_ms: u64,
    /// Time from a job's submission until items may be abandoned, in
    /// milliseconds.
    pub give_up_ms: u64,
    /// Most tokens that a customer's accepted items may have waiting, over the
    /// whole fleet; 0 means no limit.
    pub max_waiting_tokens: u64,
}

impl Route {
    /// Returns `true` if a request of this route may run a second time.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming | RouteKind::Batch => self.is_resumable,
        }
    }

    /// Returns the services that requests of this route are sent to, each once: those with
    /// a share.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let has_shares = self.targets.iter().any(|target| target.weight > 0);
        let is_used = move |at: usize, target: &Target| {
            if has_shares {
                target.weight > 0
            } else {
                at == 0
            }
        };
        let targets = self.targets.iter().enumerate();
        let used = targets.filter(move |(at, target)| {
            let is_same =
                |earlier: &Target| earlier.weight > 0 && earlier.service == target.service;
            is_used(*at, target) && !self.targets[..*at].iter().any(is_same)
        });
        used.map(|(_, target)| target.service.as_str())
    }

    /// Returns the service of a request or item, `None` if the route has no target.
    #[must_use]
    pub fn service_of(&self, request: &str) -> Option<&str> {
        let target = self.target(request)?;
        Some(&target.service)
    }

    /// Returns the service that runs an item: that of [`service_of`](Self::service_of), or,
    /// while `has_replicas` says that this one has none, another one of the route. Items are
    /// kept until they are done, so one that waits for a service that is gone would wait for
    /// good.
    pub fn service_with_replicas(
        &self,
        item: &str,
        has_replicas: impl Fn(&str) -> bool,
    ) -> Option<&str> {
        let service = self.service_of(item)?;
        if has_replicas(service) {
            return Some(service);
        }
        let others = self.services().filter(|other| has_replicas(other));
        let rank = |other: &&str| hash64(&[item.as_bytes(), other.as_bytes()]);
        Some(others.max_by_key(rank).unwrap_or(service))
    }

    /// Returns the target for a request, chosen by weight and the hash of its
    /// id.
    #[must_use]
    pub fn target(&self, request: &str) -> Option<&Target> {
        if let [target] = self.targets.as_slice() {
            return Some(target);
        }
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first();
        }
        let mut position = hash64(&[request.as_bytes()]) % total;
        self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let is_selected = position < weight;
            position = position.saturating_sub(weight);
            is_selected
        })
    }
}

/// A service, run by a set of replicas.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Maximum number of connections of a replica from all callers together.
    pub max_connections: u32,
    /// The replicas are model engines.
    pub is_engine: bool,
    /// What replicas sustain while they are cold; `None` if they take their full load at
    /// once.
    pub cold_start: Option<ColdStart>,
}

/// A customer, its API keys and its rate limit across the whole fleet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Customer {
    /// Id, derived from the name.
    pub id: CustomerId,
    /// Name.
    pub name: String,
    /// Valid API keys.
    pub keys: Vec<String>,
    /// Priority of the customer's requests, which overrides the route's.
    pub priority: Option<u32>,
    /// Rate limit, in requests per second; 0 means no limit.
    pub rate_per_s: f64,
    /// Requests that may arrive at once beyond the rate.
    pub burst: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a head must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    /// Returns limits that are common among HTTP servers, for use until a
    /// configuration sets others.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct ServingConfig {
    version: u64,
    routes: Vec<Rc<Route>>,
    services: Vec<Service>,
    customers: Vec<Rc<Customer>>,
    limits: RequestLimits,
    /// Indices of the routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Index of the customer of each API key.
    by_key: HashMap<String, usize>,
}

/// The result of looking up an API key.
#[derive(Clone, Debug)]
pub enum Identity {
    /// The key belongs to a customer.
    Customer(Rc<Customer>),
    /// The key belongs to no customer, or the request has no key.
    Unknown,
    /// The configuration has no customers, so requests need no key.
    NotNeeded,
}

impl ServingConfig {
    /// Creates a configuration from its parts.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Vec<Customer>,
        limits: RequestLimits,
    ) -> Self {
        let routes: Vec<Rc<Route>> = routes.into_iter().map(Rc::new).collect();
        let customers: Vec<Rc<Customer>> = customers.into_iter().map(Rc::new).collect();
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let by_key = customers
            .iter()
            .enumerate()
            .flat_map(|(index, customer)| customer.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Self {
            version,
            routes,
            services,
            customers,
            limits,
            by_host,
            by_key,
        }
    }

    /// Returns the version. Versions increase, but not always by one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what a caller may send.
    #[must_use]
    pub const fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Returns the customers.
    #[must_use]
    pub fn customers(&self) -> &[Rc<Customer>] {
        &self.customers
    }

    /// Returns the routes.
    #[must_use]
    pub fn routes(&self) -> &[Rc<Route>] {
        &self.routes
    }

    /// Returns the route of a host whose prefix is the longest that matches a
    /// path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        // The host is looked up as given first, then without its port.
        let name = host.split(':').next().unwrap_or(host);
        let indices = self.by_host.get(host).or_else(|| self.by_host.get(name))?;
        indices
            .iter()
            .map(|index| &self.routes[*index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the priority of a request relative to the most urgent requests
    /// that the services of its route may get; 0 is the most urgent.
    #[must_use]
    pub fn relative_priority(&self, route: &Route, customer: Option<&Customer>) -> u32 {
        let customer_priority = customer.and_then(|customer| customer.priority);
        let competing = self.routes.iter().filter(|other| {
            let shares_service =
                |target: &Target| route.targets.iter().any(|t| t.service == target.service);
            other.kind != RouteKind::Batch && other.targets.iter().any(shares_service)
        });
        // A customer's priority overrides the route's.
        let min_route_priority = competing.map(|other| other.priority).min();
        let min_customer_priority = self.customers.iter().filter_map(|c| c.priority).min();
        let all_have_priority = self
            .customers
            .iter()
            .all(|customer| customer.priority.is_some());
        let most_urgent = match (min_customer_priority, min_route_priority) {
            (Some(customer), Some(route)) if !all_have_priority => customer.min(route),
            (Some(customer), _) => customer,
            (None, route) => route.unwrap_or(0),
        };
        customer_priority
            .unwrap_or(route.priority)
            .saturating_sub(most_urgent)
    }

    /// Returns the route with the given name.
    #[must_use]
    pub fn route_by_name(&self, name: &str) -> Option<&Rc<Route>> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the customer that an API key belongs to.
    #[must_use]
    pub fn identify(&self, key: Option<&str>) -> Identity {
        if self.customers.is_empty() {
            return Identity::NotNeeded;
        }
        match key.and_then(|key| self.by_key.get(key)) {
            Some(index) => Identity::Customer(Rc::clone(&self.customers[*index])),
            None => Identity::Unknown,
        }
    }
}

/// The latest configuration that a process has read.
#[derive(Clone, Debug, Default)]
pub struct CurrentConfig {
    config: Option<Rc<ServingConfig>>,
}

impl CurrentConfig {
    /// Replaces the configuration by a newer one; returns `false` if `config`
    /// is not newer.
    pub fn replace_if_newer(&mut self, config: ServingConfig) -> bool {
        let is_newer = self.version() < Some(config.version);
        if is_newer {
            self.config = Some(Rc::new(config));
        }
        is_newer
    }

    /// Returns the version of the configuration, if there is one.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Returns the configuration, if there is one.
    #[must_use]
    pub fn get(&self) -> Option<Rc<ServingConfig>> {
        self.config.clone()
    }
}
