//! A discrete-event simulation of a fleet of gateways that send requests to
//! replicas.
//!
//! Gateways, owners and replicas run on one simulated clock. A message takes
//! [`HOP_MS`]; every gateway reports to all others once a period. The choice of
//! a replica, the owners' slot ledgers and the load reports are the code under
//! test.

use {
    cicadagate_policy::{
        ids::{EndpointId, MemberId, hash64},
        process::{
            replicas::{Registration, ReplicaLoad, ReplicaSet, Wanted},
            reports::{InFlight, Report, ReportTable, period_ms, remaining_percent},
            slot_ledger::{Purpose, SlotLedger, owner},
        },
        time::Time,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, VecDeque},
    },
};

/// Latency of a message between two gateways, in milliseconds.
const HOP_MS: u64 = 1;
/// Number of slots of a replica.
const SLOTS: u32 = 8;
/// Maximum number of owners that a gateway queries for a slot before it sends
/// the request to a replica's queue.
const MAX_OWNERS_QUERIED: usize = 6;
/// Time that an idle connection to a replica is kept, in milliseconds.
const IDLE_CONNECTION_MS: u64 = 4_000;
/// Time that an online request occupies its slot, in milliseconds: mean, and
/// maximum deviation from it.
const SLOT_HOLD_MS: (u64, u64) = (750, 250);

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub gateways: usize,
    pub replicas: usize,
    /// Items of batch jobs that run when the load begins.
    pub items: usize,
    /// Online requests per second in a valley and in a peak.
    pub online_per_s: (u64, u64),
    /// Length of a valley and of a peak, in milliseconds.
    pub wave_ms: (u64, u64),
    pub length_ms: u64,
    /// Whether the choice prefers replicas with an idle connection.
    pub prefers_connected: bool,
    pub seed: u64,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Time from arrival to the start at a replica, in milliseconds, sorted.
    pub waits_ms: Vec<u64>,
    /// Longest queue of online requests at a replica.
    pub longest_queue: u32,
    /// Number of batch items that were paused.
    pub paused: usize,
    /// Number of connections to replicas that online requests opened.
    pub opened_connections: usize,
}

impl Outcome {
    /// Returns the wait that the given number per thousand of the requests does
    /// not exceed.
    pub fn wait_ms(&self, per_mille: usize) -> u64 {
        let last = self.waits_ms.len().saturating_sub(1);
        let at = last * per_mille / 1_000;
        self.waits_ms.get(at).copied().unwrap_or_default()
    }
}

/// An event of the simulation; gateways and replicas are given by index,
/// requests by their index in [`Fleet::requests`].
#[derive(Debug)]
enum Event {
    RequestArrives,
    SendReport {
        gateway: usize,
    },
    ReportReceived {
        gateway: usize,
        report: Report,
    },
    /// The owner of a replica receives a request for a slot.
    SlotRequested {
        request: usize,
        own: InFlight,
    },
    /// A gateway receives the owner's reply.
    SlotReplied {
        request: usize,
        is_granted: bool,
        load: u32,
    },
    /// The owner of a replica learns what a gateway has in flight there.
    HoldingsUpdated {
        gateway: usize,
        replica: usize,
        own: InFlight,
    },
    /// A gateway is told to pause a batch item.
    PauseBatch {
        gateway: usize,
        replica: usize,
    },
    RequestEnded {
        request: usize,
    },
}

/// A gateway: an instance that sends requests and owns replicas.
struct Gateway {
    replicas: ReplicaSet,
    reports: ReportTable,
    ledger: SlotLedger,
    /// Number of the last report.
    seq: u64,
    in_flight: HashMap<usize, InFlight>,
    /// Idle connections by replica: the times until which they are kept.
    idle: HashMap<usize, Vec<u64>>,
}

impl Gateway {
    fn has_idle(&self, now: u64, replica: usize) -> bool {
        let idle = self.idle.get(&replica);
        idle.is_some_and(|idle| idle.iter().any(|until| now < *until))
    }
}

/// An online request.
struct OnlineRequest {
    gateway: usize,
    arrived_ms: u64,
    replica: usize,
    full_replicas: Vec<EndpointId>,
    /// Least loaded of the full replicas: online requests and index.
    least_loaded: Option<(u32, usize)>,
}

/// A replica, which runs up to [`SLOTS`] requests and queues further online
/// requests.
#[derive(Default)]
struct Replica {
    /// Online requests and batch items that run.
    running: u32,
    batch: u32,
    queue: VecDeque<usize>,
}

/// The state of a simulation.
pub struct Fleet {
    scenario: Scenario,
    now_ms: u64,
    random_state: u64,
    /// Number of the last event; orders events of the same time.
    seq: u64,
    /// Times, numbers and indices of scheduled events.
    events: BinaryHeap<(Reverse<(u64, u64)>, usize)>,
    scheduled: Vec<Option<Event>>,
    gateways: Vec<Gateway>,
    replicas: Vec<Replica>,
    endpoints: Vec<EndpointId>,
    replica_of: HashMap<EndpointId, usize>,
    gateway_of: HashMap<MemberId, usize>,
    /// The gateway that owns each replica.
    owners: Vec<usize>,
    requests: Vec<OnlineRequest>,
    outcome: Outcome,
}

fn member(gateway: usize) -> MemberId {
    MemberId::of(&format!("gateway {gateway}"))
}

fn registration(replica: usize) -> Registration {
    Registration {
        id: format!("replica {replica}"),
        service: "llm".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        software_version: "v1".to_owned(),
        is_draining: false,
        started_ms: 1,
    }
}

/// Runs a simulation to its end.
pub fn run(scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    while let Some((Reverse((at, _)), index)) = fleet.events.pop() {
        if at > scenario.length_ms {
            break;
        }
        fleet.now_ms = at;
        if let Some(event) = fleet.scheduled[index].take() {
            fleet.handle(event);
        }
    }
    fleet.outcome.waits_ms.sort_unstable();
    fleet.outcome
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let mut set = ReplicaSet::default();
        for replica in 0..scenario.replicas {
            set.register(registration(replica));
        }
        let gateway = || Gateway {
            replicas: set.clone(),
            reports: ReportTable::default(),
            ledger: SlotLedger::default(),
            seq: 0,
            in_flight: HashMap::new(),
            idle: HashMap::new(),
        };
        let endpoints: Vec<EndpointId> = (0..scenario.replicas)
            .map(|replica| EndpointId::of(&registration(replica).id))
            .collect();
        let members: Vec<MemberId> = (0..scenario.gateways).map(member).collect();
        let gateway_of: HashMap<MemberId, usize> = members.iter().copied().zip(0..).collect();
        let owners = endpoints
            .iter()
            .filter_map(|endpoint| owner(endpoint.raw(), members.iter().copied()))
            .map(|owner| gateway_of[&owner]);
        let mut fleet = Self {
            scenario,
            now_ms: 0,
            random_state: scenario.seed,
            seq: 0,
            events: BinaryHeap::new(),
            scheduled: Vec::new(),
            gateways: (0..scenario.gateways).map(|_| gateway()).collect(),
            replicas: (0..scenario.replicas).map(|_| Replica::default()).collect(),
            owners: owners.collect(),
            replica_of: endpoints.iter().copied().zip(0..).collect(),
            endpoints,
            gateway_of,
            requests: Vec::new(),
            outcome: Outcome::default(),
        };
        for item in 0..scenario.items {
            let (gateway, replica) = (item % scenario.gateways, item % scenario.replicas);
            fleet.replicas[replica].batch += 1;
            fleet.replicas[replica].running += 1;
            fleet.change_in_flight(gateway, replica, Purpose::Batch { reserve: 0 }, 1);
        }
        let period = period_ms(scenario.gateways);
        for gateway in 0..scenario.gateways {
            let first = period * gateway as u64 / scenario.gateways as u64;
            fleet.schedule_at(first, Event::SendReport { gateway });
        }
        fleet.schedule_at(0, Event::RequestArrives);
        fleet
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.scheduled.push(Some(event));
        let index = self.scheduled.len() - 1;
        self.events.push((Reverse((at, self.seq)), index));
    }

    fn schedule_after(&mut self, delay: u64, event: Event) {
        self.schedule_at(self.now_ms + delay, event);
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = hash64(&[&self.random_state.to_le_bytes()]);
        self.random_state
    }

    fn own(&self, gateway: usize, replica: usize) -> InFlight {
        let in_flight = self.gateways[gateway].in_flight.get(&replica);
        in_flight.copied().unwrap_or_default()
    }

    fn change_in_flight(&mut self, gateway: usize, replica: usize, purpose: Purpose, change: i32) {
        let in_flight = &mut self.gateways[gateway].in_flight;
        let load = in_flight.entry(replica).or_default();
        let count = match purpose {
            Purpose::Online | Purpose::OnlineFree => &mut load.online,
            Purpose::Batch { .. } => &mut load.batch,
        };
        *count = count.saturating_add_signed(change);
    }

    fn send_update(&mut self, gateway: usize, replica: usize) {
        let own = self.own(gateway, replica);
        let update = Event::HoldingsUpdated {
            gateway,
            replica,
            own,
        };
        self.schedule_after(HOP_MS, update);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrives => self.handle_arrival(),
            Event::SendReport { gateway } => self.send_report(gateway),
            Event::ReportReceived { gateway, report } => {
                let now = Time(self.now_ms);
                let (member, in_flight) = (report.member, report.in_flight.clone());
                let gateway = &mut self.gateways[gateway];
                gateway.reports.apply(now, report);
                gateway.ledger.apply_report(now, member, &in_flight);
            }
            Event::SlotRequested { request, own } => self.decide_slot(request, own),
            Event::SlotReplied {
                request,
                is_granted,
                load,
            } => self.handle_slot_reply(request, is_granted, load),
            Event::HoldingsUpdated {
                gateway,
                replica,
                own,
            } => {
                let (owner, now) = (self.owners[replica], Time(self.now_ms));
                let endpoint = self.endpoints[replica];
                let ledger = &mut self.gateways[owner].ledger;
                ledger.update(now, endpoint, member(gateway), own);
            }
            Event::PauseBatch { gateway, replica } => self.pause_batch_item(gateway, replica),
            Event::RequestEnded { request } => {
                let (gateway, replica) = (
                    self.requests[request].gateway,
                    self.requests[request].replica,
                );
                self.change_in_flight(gateway, replica, Purpose::Online, -1);
                let idle = self.gateways[gateway].idle.entry(replica).or_default();
                idle.push(self.now_ms + IDLE_CONNECTION_MS);
                self.send_update(gateway, replica);
                self.release_slot(replica);
            }
        }
    }

    fn handle_arrival(&mut self) {
        let (valley, peak) = self.scenario.wave_ms;
        let is_peak = self.now_ms % (valley + peak) >= valley;
        let online_per_s = if is_peak {
            self.scenario.online_per_s.1
        } else {
            self.scenario.online_per_s.0
        };
        let gap_ms = 1_000 / online_per_s.max(1);
        let spread = self.next_random() % (2 * gap_ms + 1);
        self.schedule_after(spread, Event::RequestArrives);
        let gateway =
            usize::try_from(self.next_random()).unwrap_or_default() % self.scenario.gateways;
        self.requests.push(OnlineRequest {
            gateway,
            arrived_ms: self.now_ms,
            replica: 0,
            full_replicas: Vec::new(),
            least_loaded: None,
        });
        self.request_slot(self.requests.len() - 1);
    }

    fn request_slot(&mut self, request: usize) {
        let seed = self.next_random();
        let gateway = self.requests[request].gateway;
        let full_replicas = &self.requests[request].full_replicas;
        let requesting = &self.gateways[gateway];
        let remaining = remaining_percent(period_ms(self.scenario.gateways), SLOT_HOLD_MS.0);
        let wanted = Wanted {
            excluded: full_replicas,
            ..Wanted::of("llm")
        };
        let chosen = if full_replicas.len() < MAX_OWNERS_QUERIED {
            requesting
                .replicas
                .choose(Time(self.now_ms), &wanted, seed, |id| {
                    let at = self.replica_of[&id];
                    let own = self.own(gateway, at);
                    ReplicaLoad {
                        is_connected: self.scenario.prefers_connected
                            && requesting.has_idle(self.now_ms, at),
                        ..ReplicaLoad::for_online(own, requesting.reports.load(id), remaining)
                    }
                })
        } else {
            None
        };
        let chosen = chosen.map(|replica| replica.endpoint);
        let Some(endpoint) = chosen else {
            let (_, replica) = self.requests[request]
                .least_loaded
                .expect("an owner was queried");
            self.requests[request].replica = replica;
            self.change_in_flight(gateway, replica, Purpose::Online, 1);
            self.send_update(gateway, replica);
            self.send(request);
            return;
        };
        let replica = self.replica_of[&endpoint];
        let own = self.own(gateway, replica);
        self.requests[request].replica = replica;
        self.change_in_flight(gateway, replica, Purpose::Online, 1);
        self.schedule_after(HOP_MS, Event::SlotRequested { request, own });
    }

    fn decide_slot(&mut self, request: usize, own: InFlight) {
        let (gateway, replica) = (
            self.requests[request].gateway,
            self.requests[request].replica,
        );
        let (owner, now) = (self.owners[replica], Time(self.now_ms));
        let endpoint = self.endpoints[replica];
        let requester = member(gateway);
        let ledger = &mut self.gateways[owner].ledger;
        let decision = ledger.request_slot(now, endpoint, SLOTS, requester, own, Purpose::Online);
        if let Some(pausing_member) = decision.pause_at {
            let gateway = self.gateway_of[&pausing_member];
            self.schedule_after(HOP_MS, Event::PauseBatch { gateway, replica });
        }
        let reply = Event::SlotReplied {
            request,
            is_granted: decision.is_granted,
            load: decision.load.online,
        };
        self.schedule_after(HOP_MS, reply);
    }

    fn handle_slot_reply(&mut self, request: usize, is_granted: bool, load: u32) {
        let (gateway, replica) = (
            self.requests[request].gateway,
            self.requests[request].replica,
        );
        if is_granted {
            return self.send(request);
        }
        self.change_in_flight(gateway, replica, Purpose::Online, -1);
        self.send_update(gateway, replica);
        let endpoint = self.endpoints[replica];
        let now = Time(self.now_ms);
        self.gateways[gateway].replicas.note_full(now, endpoint);
        let state = &mut self.requests[request];
        state.full_replicas.push(endpoint);
        if state
            .least_loaded
            .is_none_or(|(least_load, _)| load < least_load)
        {
            state.least_loaded = Some((load, replica));
        }
        self.request_slot(request);
    }

    fn send(&mut self, request: usize) {
        let (gateway, replica) = (
            self.requests[request].gateway,
            self.requests[request].replica,
        );
        let idle = self.gateways[gateway].idle.entry(replica).or_default();
        idle.retain(|until| self.now_ms < *until);
        if idle.pop().is_none() {
            self.outcome.opened_connections += 1;
        }
        self.replicas[replica].queue.push_back(request);
        self.admit(replica);
        let queued = u32::try_from(self.replicas[replica].queue.len()).unwrap_or(u32::MAX);
        self.outcome.longest_queue = self.outcome.longest_queue.max(queued);
    }

    fn admit(&mut self, replica: usize) {
        while self.replicas[replica].running < SLOTS {
            let Some(request) = self.replicas[replica].queue.pop_front() else {
                return;
            };
            self.replicas[replica].running += 1;
            let waited = self.now_ms - self.requests[request].arrived_ms;
            self.outcome.waits_ms.push(waited);
            let (mean, spread) = SLOT_HOLD_MS;
            let held = mean - spread + self.next_random() % (2 * spread);
            self.schedule_after(held, Event::RequestEnded { request });
        }
    }

    fn release_slot(&mut self, replica: usize) {
        self.replicas[replica].running -= 1;
        self.admit(replica);
    }

    fn pause_batch_item(&mut self, gateway: usize, replica: usize) {
        if self.own(gateway, replica).batch == 0 {
            return;
        }
        self.change_in_flight(gateway, replica, Purpose::Batch { reserve: 0 }, -1);
        self.send_update(gateway, replica);
        self.replicas[replica].batch -= 1;
        self.outcome.paused += 1;
        self.release_slot(replica);
    }

    fn send_report(&mut self, gateway: usize) {
        let in_flight = self.gateways[gateway].in_flight.iter();
        let in_flight = in_flight
            .filter(|(_, load)| load.total() > 0)
            .map(|(replica, load)| (self.endpoints[*replica], *load))
            .collect();
        self.gateways[gateway].seq += 1;
        let report = Report {
            member: member(gateway),
            seq: self.gateways[gateway].seq,
            in_flight,
            items: Vec::new(),
            admitted: Vec::new(),
            config_version: 1,
            suspects: Vec::new(),
            has_store: true,
            is_leaving: false,
        };
        for other in (0..self.scenario.gateways).filter(|other| *other != gateway) {
            let report = report.clone();
            self.schedule_after(
                HOP_MS,
                Event::ReportReceived {
                    gateway: other,
                    report,
                },
            );
        }
        self.schedule_after(
            period_ms(self.scenario.gateways),
            Event::SendReport { gateway },
        );
    }
}
