/*!
A serving configuration: which request goes to which service, for whom.

# Problem

A process answers for a request by the newest configuration it has read. It
must never fall back to an older one, and ignorance must not look like a
refusal: a process without any configuration can't tell a caller that its key
or path is unknown.

# Choice

A configuration is one immutable value with a version. [`Current`] keeps the
newest one and refuses anything older. Decoding is left to whoever reads the
configuration; the lookups here take only checked types.
*/

use {
    crate::ids::{CustomerId, hash64},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, rc::Rc},
};

/// What may be repeated of a route's requests, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered by a stream of events.
    Streaming,
    /// Takes batch jobs.
    Batch,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share, relative to the other targets.
    pub weight: u32,
}

/// A rule that sends requests of one host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name, stable over versions.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Prefix of the requests' paths.
    pub prefix: String,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Services and their shares.
    pub targets: Vec<Target>,
    /// Most replicas that may run one attempt of a caller.
    pub max_attempts: u32,
    /// Longest time until the end of the answer, in milliseconds; 0 is no limit.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Needs no key.
    pub is_open: bool,
    /// A stream may go on at another replica after its last event.
    pub is_resumable: bool,
    /// Time from a job's submission until its results are due, in milliseconds.
    pub due_ms: u64,
    /// Time from a job's submission until items may be given up, in milliseconds.
    pub give_up_ms: u64,
}

impl Route {
    /// Tells whether a request of this route may run a second time.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming | RouteKind::Batch => self.is_resumable,
        }
    }

    /// Picks a target for a request by the hash of its id.
    #[must_use]
    pub fn target(&self, request: &str) -> Option<&Target> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first();
        }
        let mut at = hash64(&[request.as_bytes()]) % total;
        self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let is_hit = at < weight;
            at = at.saturating_sub(weight);
            is_hit
        })
    }
}

/// A service that replicas belong to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that a replica takes from all callers.
    pub max_connections: u32,
    /// Its replicas are model engines.
    pub is_engine: bool,
}

/// A customer, its keys and its limit over the whole fleet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Customer {
    /// Id, derived from the name.
    pub id: CustomerId,
    /// Name.
    pub name: String,
    /// Keys that are valid now.
    pub keys: Vec<String>,
    /// Rank of the customer's requests, before the route's.
    pub priority: Option<u32>,
    /// Requests a second; 0 is no limit.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time to send a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time that an idle connection is kept, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// What common servers allow, until a configuration says otherwise.
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
    limits: CallerLimits,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

/// What a configuration says about a key.
#[derive(Clone, Debug)]
pub enum Identity {
    /// The key belongs to a customer.
    Customer(Rc<Customer>),
    /// No customer holds the key, or there is none.
    Unknown,
    /// The configuration has no customers: nobody needs a key.
    NotNeeded,
}

impl ServingConfig {
    /// Builds a version from its parts.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Vec<Customer>,
        limits: CallerLimits,
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

    /// Returns the version; it rises in uneven steps.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on what a caller may send.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the customers.
    #[must_use]
    pub fn customers(&self) -> &[Rc<Customer>] {
        &self.customers
    }

    /// Finds the route with the longest prefix of a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        // A port is no part of the name that routes are looked up by.
        let name = host.split(':').next().unwrap_or(host);
        let indices = self.by_host.get(host).or_else(|| self.by_host.get(name))?;
        indices
            .iter()
            .map(|index| &self.routes[*index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns how much less urgent a request is than the most urgent that its
    /// services may get; 0 is the most urgent.
    #[must_use]
    pub fn rank(&self, route: &Route, customer: Option<&Customer>) -> u32 {
        let own = customer.and_then(|customer| customer.priority);
        let rivals = self.routes.iter().filter(|rival| {
            let shares =
                |target: &Target| route.targets.iter().any(|t| t.service == target.service);
            rival.kind != RouteKind::Batch && rival.targets.iter().any(shares)
        });
        // A customer's priority goes before the route's.
        let by_route = rivals.map(|rival| rival.priority).min();
        let by_customer = self.customers.iter().filter_map(|c| c.priority).min();
        let has_all = self
            .customers
            .iter()
            .all(|customer| customer.priority.is_some());
        let least = match (by_customer, by_route) {
            (Some(customer), Some(route)) if !has_all => customer.min(route),
            (Some(customer), _) => customer,
            (None, route) => route.unwrap_or(0),
        };
        own.unwrap_or(route.priority).saturating_sub(least)
    }

    /// Finds a route by its name.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&Rc<Route>> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Finds who holds a key.
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

/// The newest configuration that a process knows.
#[derive(Clone, Debug, Default)]
pub struct Current {
    config: Option<Rc<ServingConfig>>,
}

impl Current {
    /// Takes a version; returns whether it is newer than the one before.
    pub fn take(&mut self, config: ServingConfig) -> bool {
        let is_newer = self.version() < Some(config.version);
        if is_newer {
            self.config = Some(Rc::new(config));
        }
        is_newer
    }

    /// Returns the newest version's number.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Returns the newest version.
    #[must_use]
    pub fn get(&self) -> Option<Rc<ServingConfig>> {
        self.config.clone()
    }
}
