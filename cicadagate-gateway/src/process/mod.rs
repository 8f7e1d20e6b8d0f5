/*!
State and tasks of the gateway process.

[`run`] binds the addresses, starts the background tasks and the servers, and
waits for the stop signal.

* `cold`: replicas that are cold, and the rates that this allows.
* `config`: follows the operators' records.
* `evacuation`: applies evacuations of data centres.
* `freshness`: the age of what this process knows.
* `reachability`: services whose replicas this instance can't reach.
* `registry`: follows the replicas' registrations.
* `registration_news`: changes of registrations, read by few gateways for all.
* `peers`: membership and load reports of the gateways.
* `jobs`: follows the index of batch jobs.
* `contents`: bodies and outputs of items in the store.
* `item_runner`: runs items of batch jobs.
* `fleet_store`: the store, reached directly or through another gateway.
* `directory`: addresses of the gateways, readiness and metrics.
* `limits`: rate limits of customers.
* `lost_contact`: replicas that may have restarted with other software.
* `memory`: bytes held for callers.
* `owners`: which gateway owns a replica's slots or a customer's limit.
* `quarantine`: requests under which replicas crash.
* `rates`: request rates that replicas name.
* `slots`: requests slots from the owners of replicas.
* `queries`: queries to other gateways that wait for a reply.
* `stream_origins`: which software version began a stream.
* `unresolved_jobs`: submissions of batch jobs without an outcome.
* `stop`: shutdown without interrupting requests.
* `version_check`: reads that precede a decision about a stream of unknown origin.
* `version_record`: software versions that the store lists.
*/

mod cold;
mod config;
pub mod contents;
pub mod directory;
mod evacuation;
pub mod fleet_store;
pub mod freshness;
pub mod item_runner;
pub mod jobs;
pub mod limits;
mod lost_contact;
pub mod memory;
mod owners;
mod peers;
pub mod quarantine;
pub mod queries;
mod rates;
pub mod reachability;
mod registration_news;
pub mod registry;
pub mod slots;
mod stop;
pub mod stream_origins;
pub mod unresolved_jobs;
pub mod version_check;
mod version_record;

use {
    self::queries::PendingQueries,
    crate::{
        platform::{Codec, Store},
        request,
        settings::{Bounds, Settings},
    },
    actix_rt::net::{TcpListener, UdpSocket},
    cicadagate_node::{
        clock::{Clock, unix_time_ms},
        connection::{
            http::{ConnectionTimeouts, serve_with},
            http_client::Pool,
        },
        event,
        metrics::Metrics,
        trace::random_bytes,
    },
    cicadagate_policy::{
        ids::{EndpointId, MemberId, Offset, RequestPart, SoftwareVersion, hash64},
        process::{
            cold_replicas::ColdReplicas,
            membership::{Info, Membership, Role},
            memory_account::MemoryAccount,
            quarantine::Quarantine,
            rate_limit::RateLimiter,
            reachability::CutOffMembers,
            registration_readers::RegistrationFeed,
            replica_rates::{ReplicaRates, usable_slots_milli},
            replicas::{ReplicaLoad, ReplicaSet},
            reports::{InFlight, ReportTable, period_ms, remaining_percent},
            shutdown::Phase,
            slot_ledger::{Purpose, SlotLedger},
            stream_origins::{StreamOrigins, VersionHistory},
            unresolved_jobs::UnresolvedJobs,
            version_record::VersionRecord,
        },
        request::{
            attempt::RetryBudget,
            overload::{ServiceLoad, SlotHoldTime},
        },
        time::Time,
        version::serving::{CurrentConfig, ServingConfig},
    },
    snafu::{ResultExt, Snafu},
    std::{
        cell::{Cell, OnceCell, RefCell},
        collections::{BTreeSet, HashMap},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// A result of this module.
pub type Result<T, E = StartError> = std::result::Result<T, E>;

/// Why a gateway could not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("can't listen on {addr}: {source}"))]
pub struct StartError {
    addr: SocketAddr,
    source: io::Error,
}

/// File descriptors reserved for connections to replicas and the store, and
/// for files.
const RESERVED_DESCRIPTORS: usize = 1_200;
/// Most parts of a prompt that are considered.
const MAX_PROMPT_PARTS: usize = 15;

/// State of a gateway process.
pub struct Gateway {
    /// Settings.
    pub settings: Settings,
    /// The platform's store.
    pub store: Rc<fleet_store::FleetStore>,
    /// The platform's encodings.
    pub codec: Rc<dyn Codec>,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Member id of this process.
    pub member_id: MemberId,
    /// The configuration in force here.
    pub config: RefCell<CurrentConfig>,
    /// Replicas of all services.
    pub replicas: RefCell<ReplicaSet>,
    /// Request rates that replicas name.
    pub replica_rates: RefCell<ReplicaRates>,
    /// Which replicas are cold.
    pub cold_replicas: RefCell<ColdReplicas>,
    /// Other gateways.
    pub members: RefCell<Membership>,
    /// Load reports of the other gateways.
    pub reports: RefCell<ReportTable>,
    /// Time for which online requests occupy a slot, by service.
    pub hold_times: RefCell<HashMap<String, SlotHoldTime>>,
    /// Rate limits of customers.
    pub limiter: RefCell<RateLimiter>,
    /// Requests under which replicas crash.
    pub quarantine: RefCell<Quarantine>,
    /// Connections to replicas.
    pub pool: Pool,
    /// Connections to other gateways, for requests sent through them.
    pub member_pool: Pool,
    /// Other gateways that are cut off from services.
    pub cut_off_members: RefCell<CutOffMembers>,
    /// Services from which this gateway is cut off.
    own_cut_off: RefCell<BTreeSet<String>>,
    /// Time of the last probes of replicas that might be unreachable as well.
    last_reach_test: Cell<Time>,
    /// Time at which the other gateways are told again.
    next_cut_off_message: Cell<Time>,
    /// Retries that are still allowed.
    pub retry_budget: RefCell<RetryBudget>,
    /// Slots taken at the replicas whose owner this process is.
    pub slot_ledger: RefCell<SlotLedger>,
    /// Slot queries that wait for a reply of the owner.
    pub slot_queries: PendingQueries<slots::SlotReply>,
    /// Rate limit queries that wait for a reply of the owner.
    pub limit_queries: PendingQueries<limits::LimitDecision>,
    /// Software versions that began streams.
    pub stream_origins: RefCell<StreamOrigins>,
    /// Software versions of the services' replicas lately.
    pub version_history: RefCell<VersionHistory>,
    /// Queries for the origin of a stream that wait for a reply.
    pub origin_queries: PendingQueries<Option<SoftwareVersion>>,
    /// Queries for trials of quarantined parts that wait for a reply.
    pub trial_queries: PendingQueries<bool>,
    /// Submissions of batch jobs without an outcome.
    pub unresolved_jobs: RefCell<UnresolvedJobs>,
    /// Queries for submissions without an outcome that wait for a reply.
    pub unresolved_queries: PendingQueries<bool>,
    /// Batch jobs.
    pub jobs: jobs::Jobs,
    /// Recently used bodies and outputs of items.
    pub content_cache: contents::SharedCache,
    /// Items of jobs that run on this instance.
    pub item_runner: item_runner::ItemRunner,
    /// Bytes held for callers.
    pub memory: RefCell<MemoryAccount>,
    bounds: Cell<Bounds>,
    peer_socket: OnceCell<peers::PeerSocket>,
    /// A newer record of the operators is known elsewhere.
    newer_operator_record: Notify,
    /// Time as of which the operators' records are known.
    config_as_of: Cell<Option<Time>>,
    /// Whether the last read of the operators' records failed.
    is_config_unread: Cell<bool>,
    /// Notified when the operators' records were read, or could not be.
    config_checked: Notify,
    /// Time at which another gateway last told of an evacuation that was not known here.
    last_evacuation_wake: Cell<Time>,
    clock: Clock,
    in_flight: RefCell<HashMap<EndpointId, InFlight>>,
    phase: Cell<Phase>,
    open_requests: Cell<usize>,
    registrations_loaded: Cell<bool>,
    /// Time at which the other members were first read from the store.
    members_read_at: Cell<Option<Time>>,
    random_state: Cell<u64>,
    /// Position in the topic of registrations.
    registration_feed: RefCell<RegistrationFeed>,
    /// Kinds of knowledge that are older than acts by them permit.
    stale: Cell<freshness::Stale>,
    /// Notified when a message has brought the registrations up to date.
    registrations_current: Notify,
    /// Notified when a request needs more recent registrations.
    registrations_wanted: Notify,
    /// Notified when the registrations were read, or could not be.
    registrations_checked: Notify,
    /// When the last read of the registrations ended, failed or not.
    registrations_checked_at: Cell<Time>,
    /// Whether the store rejected the last read of the registrations.
    are_registrations_rejected: Cell<bool>,
    /// Software versions that the store lists.
    pub version_record: RefCell<VersionRecord>,
    /// Whether the first attempt to read and complete the listed versions has ended.
    version_record_tried: Cell<bool>,
    /// Reads for streams of unknown origin.
    version_checks: version_check::SharedReads,
    /// Notices of lost contact with replicas that may still be sent.
    lost_contact_notices: lost_contact::NoticeBudget,
}

impl Gateway {
    /// Creates a gateway without configuration, replicas or members.
    #[must_use]
    pub fn new(settings: Settings, store: Rc<dyn Store>, codec: Rc<dyn Codec>) -> Rc<Self> {
        let mut nonce = [0; 16];
        if random_bytes(&mut nonce).is_none() {
            // The start time still distinguishes incarnations.
            nonce[..8].copy_from_slice(&unix_time_ms().to_le_bytes());
        }
        let seed = hash64(&[settings.instance.as_bytes(), &nonce]);
        let own_id = MemberId::from_raw(seed);
        let info = Info {
            id: own_id,
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            role: Role::Entry,
            udp: settings.addresses.peers,
            tcp: settings.addresses.callers,
            started: unix_time_ms(),
            version: Offset::NONE,
            leaving: false,
        };
        let clock = Clock::start();
        let mut limiter = RateLimiter::new(settings.bounds.limit_tolerance);
        if !settings.is_first_start {
            limiter.withhold_bursts(clock.now());
        }
        let key = settings.fleet_key.clone();
        Rc::new_cyclic(|gateway| Self {
            store: Rc::new(fleet_store::FleetStore::new(store, gateway.clone(), &key)),
            codec,
            metrics: Rc::new(Metrics::new()),
            member_id: own_id,
            config: RefCell::default(),
            replicas: RefCell::default(),
            replica_rates: RefCell::default(),
            cold_replicas: RefCell::default(),
            members: RefCell::new(Membership::new(info, seed)),
            reports: RefCell::default(),
            hold_times: RefCell::default(),
            limiter: RefCell::new(limiter),
            quarantine: RefCell::default(),
            pool: Pool::new(),
            member_pool: Pool::of_ordered_peers(),
            cut_off_members: RefCell::default(),
            own_cut_off: RefCell::default(),
            last_reach_test: Cell::default(),
            next_cut_off_message: Cell::default(),
            retry_budget: RefCell::default(),
            slot_ledger: RefCell::default(),
            slot_queries: PendingQueries::default(),
            limit_queries: PendingQueries::default(),
            stream_origins: RefCell::default(),
            version_history: RefCell::default(),
            origin_queries: PendingQueries::default(),
            trial_queries: PendingQueries::default(),
            unresolved_jobs: RefCell::default(),
            unresolved_queries: PendingQueries::default(),
            jobs: jobs::Jobs::default(),
            content_cache: contents::SharedCache::default(),
            item_runner: item_runner::ItemRunner::default(),
            memory: RefCell::new(MemoryAccount::new(settings.bounds.memory_bytes)),
            bounds: Cell::new(settings.bounds),
            peer_socket: OnceCell::new(),
            newer_operator_record: Notify::new(),
            config_as_of: Cell::default(),
            is_config_unread: Cell::default(),
            config_checked: Notify::new(),
            last_evacuation_wake: Cell::default(),
            clock,
            in_flight: RefCell::default(),
            phase: Cell::default(),
            open_requests: Cell::default(),
            registrations_loaded: Cell::default(),
            members_read_at: Cell::default(),
            random_state: Cell::new(seed),
            registration_feed: RefCell::default(),
            stale: Cell::default(),
            registrations_current: Notify::new(),
            registrations_wanted: Notify::new(),
            registrations_checked: Notify::new(),
            registrations_checked_at: Cell::default(),
            are_registrations_rejected: Cell::default(),
            version_record: RefCell::default(),
            version_record_tried: Cell::default(),
            version_checks: version_check::SharedReads::default(),
            lost_contact_notices: lost_contact::NoticeBudget::default(),
            settings,
        })
    }

    /// Returns the limits that the platform currently sets.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Applies changed settings. `bounds` take effect at once, except for
    /// `limit_tolerance` and `descriptors`; these and all other settings take
    /// effect only at the next start.
    pub fn reload(&self, settings: &Settings) {
        let before = self.bounds.replace(settings.bounds);
        let needs_restart = settings.addresses != self.settings.addresses
            || settings.instance != self.settings.instance;
        if before != settings.bounds || needs_restart {
            event!(SETTINGS_CHANGED, bounds:? = settings.bounds, needs_restart);
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the configuration in force here.
    #[must_use]
    pub fn current_config(&self) -> Option<Rc<ServingConfig>> {
        self.config.borrow().get()
    }

    /// Returns whether callers may send requests to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase.get().is_advertised()
            && self.registrations_loaded.get()
            && self.version_record_tried.get()
            && self.config.borrow().version().is_some()
    }

    /// Returns whether the process is serving or stopping.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns the next pseudo-random number.
    pub fn next_random(&self) -> u64 {
        self.random_state
            .set(hash64(&[&self.random_state.get().to_le_bytes()]));
        self.random_state.get()
    }

    /// Returns how many requests this process has in flight at a replica.
    #[must_use]
    pub fn own_load(&self, endpoint: EndpointId) -> InFlight {
        let in_flight = self.in_flight.borrow();
        in_flight.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns how many requests this process has in flight, by replica.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(EndpointId, InFlight)> {
        let in_flight = self.in_flight.borrow();
        in_flight.iter().map(|(id, load)| (*id, *load)).collect()
    }

    /// Returns how many requests all members have in flight at a replica.
    #[must_use]
    pub fn fleet_load(&self, endpoint: EndpointId) -> InFlight {
        let (own, others) = (
            self.own_load(endpoint),
            self.reports.borrow().load(endpoint),
        );
        InFlight {
            online: own.online + others.online,
            batch: own.batch + others.batch,
        }
    }

    /// Returns the parts of a prompt that requests of a service may share.
    /// `value` is the header that lists them.
    #[must_use]
    pub fn prompt_parts(&self, service: &str, value: &str) -> Vec<RequestPart> {
        let ids = self.codec.shared_prompt_parts(value).into_iter();
        ids.take(MAX_PROMPT_PARTS)
            .map(|id| RequestPart::new(service, id))
            .collect()
    }

    /// Counts a response of a replica by what ended it.
    pub fn count_body_end(&self, end: &str) {
        self.metrics.body_ends.with_label_values(&[end]).inc();
    }

    /// Returns the load of a service over the whole fleet.
    #[must_use]
    pub fn service_load(&self, service: &str) -> ServiceLoad {
        let replicas = self.replicas.borrow();
        let loads = replicas
            .replicas_of(service)
            .map(|replica| self.fleet_load(replica.endpoint).online);
        let hold_times = self.hold_times.borrow();
        let slot_hold_ms = hold_times.get(service).map_or(0, |held| held.ms());
        let cold_start = self.cold_start(service);
        let now = self.now();
        let slots = replicas.usable_slots(now, service, |replica| {
            let slots = replica.registration.slots;
            let named = self.replica_rates.borrow();
            let named = named.recent_rate(now, replica.endpoint);
            let rate = self.usable_rate(replica, named, cold_start);
            usable_slots_milli(slots, rate, slot_hold_ms)
        });
        ServiceLoad {
            online: loads.sum(),
            slots,
            slot_hold_ms,
        }
    }

    /// Returns the slots of a service's usable replicas, also those that online
    /// requests can't use because of the replicas' request rates.
    #[must_use]
    pub fn total_slots(&self, service: &str) -> u32 {
        let replicas = self.replicas.borrow();
        replicas.usable_slots(self.now(), service, |replica| {
            usable_slots_milli(replica.registration.slots, None, 0)
        })
    }

    /// Returns the share of the other members' online requests of a service that
    /// still run when their next reports arrive, in percent.
    #[must_use]
    pub fn remaining_percent(&self, service: &str) -> u64 {
        let hold_times = self.hold_times.borrow();
        let hold_ms = hold_times.get(service).map_or(0, |held| held.ms());
        remaining_percent(period_ms(self.member_count()), hold_ms)
    }

    /// Returns the estimated load and the state of a replica, for placing an
    /// online request. `remaining_percent` is that of its service.
    #[must_use]
    pub fn online_load_estimate(
        &self,
        reports: &ReportTable,
        remaining_percent: u64,
        endpoint: EndpointId,
    ) -> ReplicaLoad {
        let (own, others) = (self.own_load(endpoint), reports.load(endpoint));
        ReplicaLoad {
            is_suspect: reports.suspicion_count(endpoint) > 0,
            is_connected: self.pool.has_idle(endpoint),
            usable_slots: self.usable_cold_slots(endpoint),
            ..ReplicaLoad::for_online(own, others, remaining_percent)
        }
    }

    /// Returns the estimated load and the state of a replica, for placing a
    /// batch item.
    #[must_use]
    pub fn batch_load_estimate(&self, reports: &ReportTable, endpoint: EndpointId) -> ReplicaLoad {
        let (own, others) = (self.own_load(endpoint), reports.load(endpoint));
        ReplicaLoad {
            is_suspect: reports.suspicion_count(endpoint) > 0,
            is_connected: self.pool.has_idle(endpoint),
            usable_slots: self.usable_cold_slots(endpoint),
            ..ReplicaLoad::for_batch(own, others)
        }
    }

    /// Counts a request as in flight at a replica until the guard is dropped.
    #[must_use]
    pub fn count_in_flight(
        self: &Rc<Self>,
        endpoint: EndpointId,
        purpose: Purpose,
    ) -> InFlightGuard {
        self.add_in_flight(endpoint, purpose, 1);
        InFlightGuard {
            gateway: Rc::clone(self),
            endpoint,
            purpose,
        }
    }

    fn add_in_flight(&self, endpoint: EndpointId, purpose: Purpose, change: i32) {
        let mut in_flight = self.in_flight.borrow_mut();
        let load = in_flight.entry(endpoint).or_default();
        let count = match purpose {
            Purpose::Online | Purpose::OnlineFree => &mut load.online,
            Purpose::Batch { .. } => &mut load.batch,
        };
        *count = count.saturating_add_signed(change);
        if load.total() == 0 {
            in_flight.remove(&endpoint);
        }
    }

    /// Counts a caller's request as open until the guard is dropped.
    #[must_use]
    pub fn count_request(self: &Rc<Self>) -> RequestGuard {
        self.open_requests.set(self.open_requests.get() + 1);
        RequestGuard {
            gateway: Rc::clone(self),
        }
    }

    /// Returns the number of gateways that are not known to have failed, this
    /// one included.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members.borrow().alive().count() + 1
    }

    /// Returns the timeouts for callers' connections.
    fn timeouts(&self) -> ConnectionTimeouts {
        self.current_config()
            .map_or_else(ConnectionTimeouts::default, |config| {
                let limits = config.limits();
                ConnectionTimeouts {
                    head: Duration::from_millis(limits.head_timeout_ms),
                    idle: Duration::from_millis(limits.idle_timeout_ms),
                }
            })
    }

    fn max_connections(&self) -> usize {
        self.bounds()
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(RESERVED_DESCRIPTORS / 10)
    }
}

/// Counts a request as in flight at a replica until it is dropped.
pub struct InFlightGuard {
    gateway: Rc<Gateway>,
    endpoint: EndpointId,
    purpose: Purpose,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway.add_in_flight(self.endpoint, self.purpose, -1);
        slots::update_owner(&self.gateway, self.endpoint);
    }
}

/// Counts a caller's request as open until it is dropped.
pub struct RequestGuard {
    gateway: Rc<Gateway>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let open = &self.gateway.open_requests;
        open.set(open.get().saturating_sub(1));
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.context(StartSnafu { addr })
}

/// Runs a gateway until it has received a stop signal and shut down.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn run(gateway: Rc<Gateway>) -> Result<()> {
    let addresses = gateway.settings.addresses;
    let peers = UdpSocket::bind(addresses.peers).await.context(StartSnafu {
        addr: addresses.peers,
    })?;
    let callers = bind(addresses.callers).await?;
    let readiness = bind(addresses.readiness).await?;
    let directory = bind(addresses.directory).await?;
    let metrics = bind(addresses.metrics).await?;
    let store_operations = bind(addresses.peers).await?;
    event!(
        STARTED,
        commit = gateway.settings.build.commit,
        sources = gateway.settings.build.sources,
        instance = gateway.settings.instance.as_str(),
        member: = gateway.member_id,
        callers: = addresses.callers
    );
    spawn_task("config_follow", config::follow(Rc::clone(&gateway)));
    spawn_task("registry_follow", registry::follow(Rc::clone(&gateway)));
    spawn_task("peers_run", peers::run(Rc::clone(&gateway), peers));
    spawn_task("peers_announce", peers::announce(Rc::clone(&gateway)));
    actix_rt::spawn(quarantine::load(Rc::clone(&gateway)));
    spawn_task(
        "version_record_run",
        version_record::run(Rc::clone(&gateway)),
    );
    spawn_task("jobs_follow", jobs::follow(Rc::clone(&gateway)));
    spawn_task("work_run", item_runner::run(Rc::clone(&gateway)));
    spawn_task(
        "maintain_connections",
        reachability::maintain_connections(Rc::clone(&gateway)),
    );
    spawn_server(&gateway, callers, request::serve_caller);
    spawn_server(&gateway, readiness, directory::serve_readiness);
    spawn_server(&gateway, directory, directory::serve_addresses);
    spawn_server(&gateway, metrics, directory::serve_metrics);
    spawn_server(&gateway, store_operations, fleet_store::serve);
    stop::run(&gateway).await;
    Ok(())
}

/// Spawns a task that the process depends on. If it panics, the process aborts,
/// so that it is restarted instead of serving with stale state.
fn spawn_task(name: &'static str, task: impl Future<Output = ()> + 'static) {
    let running = actix_rt::spawn(task);
    actix_rt::spawn(async move {
        if let Err(err) = running.await
            && err.is_panic()
        {
            eprintln!("cicadagate: task {name} panicked");
            std::process::abort();
        }
    });
}

fn spawn_server<F, Fut>(gateway: &Rc<Gateway>, listener: TcpListener, handler: F)
where
    F: Fn(Rc<Gateway>, actix_http::Request) -> Fut + Copy + 'static,
    Fut: Future<Output = request::Response> + 'static,
{
    let cx = Rc::clone(gateway);
    let handler = move |req| {
        let response = handler(Rc::clone(&cx), req);
        async move { Ok(response.await) }
    };
    let cx = Rc::clone(gateway);
    actix_rt::spawn(serve_with(
        listener,
        gateway.max_connections(),
        move || cx.timeouts(),
        Rc::clone(&gateway.metrics),
        handler,
    ));
}
