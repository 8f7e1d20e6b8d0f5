/*!
Replica selection and retry budgets of one process.
*/

use {
    crate::process::Node,
    cicadagate_policy::{
        ids::EndpointId,
        process::{membership::Role, placement::preferred_member},
        request::{
            attempt::RetryBudget,
            replica_selection::{ReplicaSelector, SelectionPolicy},
        },
    },
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Selects replicas, finds their owners and keeps retry budgets.
pub struct Router {
    node: Rc<Node>,
    pub(super) selector: RefCell<ReplicaSelector>,
    budgets: RefCell<BTreeMap<String, RetryBudget>>,
    /// Endpoints drained by the configuration, and the configuration version
    /// that they were taken from.
    drained: RefCell<(cicadagate_policy::ids::Offset, BTreeSet<EndpointId>)>,
}

/// Replicas of a deployment in the order in which to try them, and the load
/// from which on they refuse requests that are not forced.
pub(super) struct Candidates {
    pub endpoints: Vec<EndpointId>,
    pub bound: u64,
}

impl Router {
    /// Creates a router to which no replica has reported its load yet.
    #[must_use]
    pub fn new(node: Rc<Node>, policy: SelectionPolicy) -> Self {
        Self {
            node,
            selector: RefCell::new(ReplicaSelector::new(policy)),
            budgets: RefCell::default(),
            drained: RefCell::default(),
        }
    }

    /// Returns the process's node.
    #[must_use]
    pub fn node(&self) -> &Rc<Node> {
        &self.node
    }

    /// Records a request of a deployment, which adds to its retry budget.
    pub(super) fn note_request(&self, deployment: &str) {
        let mut budgets = self.budgets.borrow_mut();
        budgets
            .entry(deployment.to_owned())
            .or_default()
            .note_request();
    }

    /// Calls `decide` with the retry budget of a deployment.
    pub(super) fn with_budget<T>(
        &self,
        deployment: &str,
        decide: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        decide(
            self.budgets
                .borrow_mut()
                .entry(deployment.to_owned())
                .or_default(),
        )
    }

    /// Returns the replicas of a deployment that may get new requests.
    ///
    /// Requests with an idempotency key ignore the loads, so that a retry by
    /// the caller reaches the same replica. With `software_version`, only replicas that
    /// run it are returned.
    pub(super) fn candidates(
        &self,
        deployment: &str,
        software_version: Option<&str>,
        prefix: u64,
        seed: u64,
        keyed: bool,
    ) -> Candidates {
        self.update_drained();
        let listed = self.node.listed_instances.borrow();
        let drained = self.drained.borrow();
        let usable: Vec<EndpointId> = listed
            .deployment(deployment)
            .filter(|endpoint| !endpoint.leaving && !drained.1.contains(&endpoint.id))
            .filter(|endpoint| {
                software_version.is_none_or(|version| endpoint.software_version == version)
            })
            .map(|endpoint| endpoint.id)
            .collect();
        let now = self.node.now();
        let mut selector = self.selector.borrow_mut();
        selector.retain(|endpoint| listed.endpoints.contains_key(&endpoint));
        if keyed {
            let endpoints = selector.rank_by_key(now, prefix, &usable);
            return Candidates {
                endpoints,
                bound: u64::MAX,
            };
        }
        let bound = selector.bound(now, &usable);
        Candidates {
            endpoints: selector.rank(now, prefix, seed, &usable),
            bound,
        }
    }

    fn update_drained(&self) {
        let config = self.node.config.borrow();
        let mut drained = self.drained.borrow_mut();
        if drained.0 != config.version() {
            *drained = (config.version(), config.drained());
        }
    }

    /// Returns the version of an endpoint's software, empty if it is unknown.
    pub(super) fn software_version(&self, endpoint: EndpointId) -> String {
        let listed = self.node.listed_instances.borrow();
        let endpoint = listed.endpoints.get(&endpoint);
        endpoint.map_or_else(String::new, |found| found.software_version.clone())
    }

    /// Returns the number of streams that a deployment's replicas can run at
    /// once; a replica of unknown capacity counts as one.
    #[must_use]
    pub fn stream_capacity(&self, deployment: &str) -> usize {
        let listed = self.node.listed_instances.borrow();
        listed
            .deployment(deployment)
            .map(|endpoint| endpoint.max_streams.max(1))
            .sum()
    }

    /// Returns the address of the dispatcher that owns a replica.
    pub(super) fn owner_address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let data_centre = self
            .node
            .listed_instances
            .borrow()
            .endpoints
            .get(&endpoint)?
            .data_centre;
        let candidates = self.node.placement_candidates(Role::Dispatch);
        self.node
            .address_of(preferred_member(endpoint.raw(), data_centre, &candidates)?)
    }
}
