/*!
The open jobs of each service.

The items of a job whose route is split run at several services. Each of them counts only for
the service at which it runs: its slots, its members and its deadlines. That is the one which the
split assigns to it, unless that service has no replica and another one has.
*/

use {
    super::MAX_CLOCK_SKEW_MS,
    crate::process::Gateway,
    cicadagate_policy::version::{
        job_index::{ItemRef, Job, Submission},
        serving::{Route, ServingConfig},
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        rc::Rc,
    },
};

/// The services that have replicas for new work.
pub(super) struct UsableServices(HashSet<String>);

impl UsableServices {
    pub(super) fn new(gateway: &Gateway) -> Self {
        let replicas = gateway.replicas.borrow();
        Self(replicas.services().map(str::to_owned).collect())
    }

    /// Returns the service at which an item with an id runs, `None` if its route has no
    /// target. Plans, runs and hand-offs must agree on it, or an item is held back by the
    /// state of a service that it doesn't use.
    pub(super) fn service_of_id<'a>(&self, route: &'a Route, id: &str) -> Option<&'a str> {
        route.service_with_replicas(id, |service| self.0.contains(service))
    }

    /// Returns the service at which an item of a job runs, as [`Self::service_of_id`].
    pub(super) fn service_of<'a>(
        &self,
        route: &'a Route,
        job: &Job,
        item: ItemRef,
    ) -> Option<&'a str> {
        self.service_of_id(route, &job.item(item.index)?.id)
    }
}

/// What is done with the items of a job.
#[derive(Clone, Copy)]
pub(super) enum JobUse<'a> {
    /// They run at the services of this route, each at that of
    /// [`UsableServices::service_of`].
    Run(&'a Route),
    /// They wait for a newer configuration.
    Wait,
    /// They are abandoned.
    Abandon,
}

/// Open jobs of a service.
#[derive(Default)]
pub(super) struct OpenJobs<'a> {
    /// Jobs with open items of the service, in the order of their due times.
    pub(super) jobs: Vec<&'a Job>,
    /// Items of the service that run or wait for a slot, or have output.
    pub(super) known: Vec<(&'a Job, ItemRef)>,
    /// Routes of jobs that have items of other services, too, by name.
    split: HashMap<&'a str, &'a Route>,
}

impl OpenJobs<'_> {
    /// Returns whether an item of one of these jobs runs at the service, which is that of
    /// these jobs.
    pub(super) fn has_item(
        &self,
        usable: &UsableServices,
        service: &str,
        job: &Job,
        item: ItemRef,
    ) -> bool {
        let route = self.split.get(job.submission.route.as_str());
        route.is_none_or(|route| usable.service_of(route, job, item) == Some(service))
    }

    /// Returns the number of the service's open items.
    pub(super) fn open_count(&self, usable: &UsableServices, service: &str) -> usize {
        let counts = self.jobs.iter().map(|job| {
            if !self.split.contains_key(job.submission.route.as_str()) {
                return job.open_count();
            }
            let is_of_service = |item: &ItemRef| self.has_item(usable, service, job, *item);
            job.open_items().filter(is_of_service).count()
        });
        counts.sum()
    }
}

fn has_one_service(route: &Route) -> bool {
    route.services().nth(1).is_none()
}

/// Returns what is done with the items of a job. `routes` caches the route of each name.
pub(super) fn job_use<'a>(
    config: &'a ServingConfig,
    routes: &mut HashMap<&'a str, Option<&'a Route>>,
    job: &'a Job,
    now_ms: u64,
) -> JobUse<'a> {
    let Submission {
        route,
        config_version,
        give_up_ms,
        ..
    } = &job.submission;
    let route = *routes
        .entry(route)
        .or_insert_with(|| config.route_by_name(route).map(Rc::as_ref));
    let is_over = now_ms >= give_up_ms + MAX_CLOCK_SKEW_MS;
    match route {
        _ if is_over => JobUse::Abandon,
        None if config.version() >= *config_version => JobUse::Abandon,
        Some(route) if !route.targets.is_empty() => JobUse::Run(route),
        None | Some(_) => JobUse::Wait,
    }
}

/// Adds a job to each service that runs open items of it.
pub(super) fn add<'a>(
    by_service: &mut BTreeMap<&'a str, OpenJobs<'a>>,
    usable: &UsableServices,
    job: &'a Job,
    route: &'a Route,
) {
    let is_whole = has_one_service(route);
    for service in route.services() {
        let is_of_service = |item: ItemRef| usable.service_of(route, job, item) == Some(service);
        if is_whole || job.open_items().any(is_of_service) {
            let jobs = by_service.entry(service).or_default();
            jobs.jobs.push(job);
            if !is_whole {
                jobs.split.insert(&route.name, route);
            }
        }
    }
}
