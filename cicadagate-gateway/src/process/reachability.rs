/*!
Connections to replicas: which fail, and services whose replicas this instance can't reach.

[`reachability`](cicadagate_policy::process::reachability) decides; this module tests
connections, tells the other gateways, and picks one to send requests through.
*/

use {
    super::{Gateway, freshness, item_runner, lost_contact, peers},
    cicadagate_node::{connection::http_client::ExchangeError, event},
    cicadagate_policy::{
        ids::{EndpointId, MemberId, ServiceId},
        process::{
            membership::Health,
            reachability::{CutOffMessage, Reach},
            reports::period_ms,
        },
        time::Time,
    },
    cicadagate_wire::datagram::GatewayDatagram,
    std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Interval between checks of idle connections and unreachable replicas.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Replicas of a service that refuse connections from which on others are tested. One that
/// does not respond suffices, since a crashed replica's instance refuses connections.
const MIN_REFUSING: usize = 2;
/// Time for which a replica that was reached is not tested, in milliseconds.
const TESTED_MS: u64 = 300;
/// Most replicas of a service that are tested at once.
const MAX_TESTED: usize = 16;
/// Time between two tests, in milliseconds.
const TEST_INTERVAL_MS: u64 = 500;

impl Gateway {
    /// Records that an exchange with a replica failed.
    pub fn note_failed(self: &Rc<Self>, endpoint: EndpointId, err: &ExchangeError) {
        let now = self.now();
        if err.is_closed_by_peer() || err.is_refused() {
            lost_contact::note(self, endpoint, err.is_refused());
        }
        if err.is_unreachable() {
            self.replicas.borrow_mut().note_unreachable(now, endpoint);
            self.pool.close_idle(endpoint);
            event!(REPLICA_UNREACHABLE, endpoint: = endpoint, reason: = err);
            test_reach(self, endpoint, err.is_timeout());
        } else {
            self.replicas.borrow_mut().note_failure(now, endpoint);
        }
    }

    /// Returns how many replicas of a service this instance reaches.
    #[must_use]
    pub fn reach(&self, service: &str) -> Reach {
        self.replicas.borrow().reach(self.now(), service)
    }

    /// Returns whether this instance is cut off from a service.
    #[must_use]
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.reach(service).is_cut_off()
    }

    /// Returns whether this instance is cut off from all services.
    #[must_use]
    pub fn is_cut_off_from_all(&self) -> bool {
        let cut_off = self.own_cut_off.borrow();
        let replicas = self.replicas.borrow();
        !cut_off.is_empty() && replicas.services().all(|service| cut_off.contains(service))
    }
}

/// Checks idle connections, unreachable replicas and whether services are reached, until the
/// process ends.
pub(super) async fn maintain_connections(gateway: Rc<Gateway>) {
    loop {
        actix_rt::time::sleep(MAINTENANCE_INTERVAL).await;
        let due = gateway.replicas.borrow_mut().due_probes(gateway.now());
        for (endpoint, addr) in due {
            actix_rt::spawn(probe(Rc::clone(&gateway), endpoint, addr));
        }
        let replicas = gateway.replicas.borrow();
        gateway
            .pool
            .expire(gateway.now(), |endpoint| replicas.get(endpoint).is_some());
        drop(replicas);
        gateway.member_pool.expire(gateway.now(), |_| true);
        tick(&gateway);
        freshness::tick(&gateway);
    }
}

async fn probe(gateway: Rc<Gateway>, endpoint: EndpointId, addr: SocketAddr) {
    let reached = gateway.pool.probe(gateway.now(), endpoint, addr).await;
    let now = gateway.now();
    if reached.is_ok() && gateway.replicas.borrow_mut().note_reachable(now, endpoint) {
        event!(REPLICA_REACHED, endpoint: = endpoint, addr: = addr);
    }
}

/// Picks a working gateway that is not cut off from a service and not in `excluded`.
pub fn pick_member(
    gateway: &Gateway,
    service: &str,
    excluded: &[MemberId],
) -> Option<(MemberId, SocketAddr)> {
    let now = gateway.now();
    let service = ServiceId::of(service);
    let members = gateway.members.borrow();
    let reports = gateway.reports.borrow();
    let cut_off = gateway.cut_off_members.borrow();
    let usable: Vec<(MemberId, SocketAddr)> = members
        .members()
        .filter(|(info, health)| {
            *health == Health::Alive
                && info.id != gateway.member_id
                && !excluded.contains(&info.id)
                && reports.is_working(now, info)
                && !cut_off.is_cut_off(now, info.id, service)
        })
        .map(|(info, _)| (info.id, info.tcp))
        .collect();
    let pick = usize::try_from(gateway.next_random() >> 1).unwrap_or_default();
    let count = usable.len();
    (count > 0).then(|| usable[pick % count])
}

/// Tests connections to other replicas after one was found unreachable. `is_silent` says
/// that it did not respond at all.
fn test_reach(gateway: &Rc<Gateway>, endpoint: EndpointId, is_silent: bool) {
    let service = {
        let replicas = gateway.replicas.borrow();
        let found = replicas.get(endpoint);
        found.map(|replica| replica.registration.service.clone())
    };
    let Some(service) = service else { return };
    let now = gateway.now();
    let reach = gateway.reach(&service);
    let is_recent = now.since(gateway.last_reach_test.get()) < TEST_INTERVAL_MS;
    let is_suspicious = is_silent || reach.unreachable >= MIN_REFUSING || reach.is_cut_off();
    if is_recent || !is_suspicious {
        return;
    }
    gateway.last_reach_test.set(now);
    test_service(gateway, now, &service);
}

fn test_service(gateway: &Rc<Gateway>, now: Time, service: &str) {
    let replicas = gateway.replicas.borrow();
    let untested = replicas.untested(now, service, TESTED_MS, MAX_TESTED);
    drop(replicas);
    for (endpoint, addr) in untested {
        let gateway = Rc::clone(gateway);
        actix_rt::spawn(async move {
            let reached = gateway.pool.probe(now, endpoint, addr).await;
            let now = gateway.now();
            let mut replicas = gateway.replicas.borrow_mut();
            match reached {
                Ok(()) => {
                    let _ = replicas.note_reachable(now, endpoint);
                }
                Err(err) => {
                    replicas.note_unreachable(now, endpoint);
                    drop(replicas);
                    if err.is_refused() {
                        lost_contact::note(&gateway, endpoint, true);
                    }
                    gateway.pool.close_idle(endpoint);
                    event!(REPLICA_UNREACHABLE, endpoint: = endpoint, reason: = err);
                }
            }
        });
    }
}

/// Logs and tells the other gateways from which services this one is cut off.
fn tick(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let cut_off: BTreeSet<String> = {
        let replicas = gateway.replicas.borrow();
        let services = replicas.services();
        let cut_off = services.filter(|service| replicas.reach(now, service).is_cut_off());
        cut_off.map(str::to_owned).collect()
    };
    let before = gateway.own_cut_off.replace(cut_off.clone());
    for service in cut_off.difference(&before) {
        let reach = gateway.reach(service);
        event!(
            SERVICE_CUT_OFF,
            service = service.as_str(),
            unreachable = reach.unreachable,
            reached = reach.reached,
            replicas = reach.total
        );
        actix_rt::spawn(item_runner::leave_to_others(
            Rc::clone(gateway),
            service.clone(),
        ));
    }
    for service in before.difference(&cut_off) {
        event!(SERVICE_REACHED, service = service.as_str());
    }
    if before != cut_off && !cut_off.is_empty() {
        // Whether the other services are reached decides whether to be advertised.
        let others: Vec<String> = {
            let replicas = gateway.replicas.borrow();
            let others = replicas.services().filter(|it| !cut_off.contains(*it));
            others.map(str::to_owned).collect()
        };
        for service in others {
            test_service(gateway, now, &service);
        }
    }
    let is_due = !cut_off.is_empty() && gateway.next_cut_off_message.get() <= now;
    if before != cut_off || is_due {
        tell_others(gateway, now, &cut_off);
    }
}

fn tell_others(gateway: &Gateway, now: Time, cut_off: &BTreeSet<String>) {
    let message = CutOffMessage {
        member: gateway.member_id,
        services: cut_off.iter().map(|name| ServiceId::of(name)).collect(),
        is_complete: gateway.is_cut_off_from_all(),
    };
    let others = peers::alive_or_suspect_addrs(&gateway.members.borrow());
    let period = period_ms(others.len() + 1);
    gateway.next_cut_off_message.set(now.plus(period));
    let datagram = GatewayDatagram::CutOff(message);
    if let Some(peer_socket) = gateway.peer_socket.get() {
        for to in others {
            peer_socket.send(gateway, to, &datagram);
        }
    }
}

/// Handles a message from another gateway.
pub(super) fn receive(gateway: &Gateway, message: CutOffMessage) {
    let now = gateway.now();
    let ttl_ms = gateway.reports.borrow().silence_timeout_ms();
    let mut members = gateway.cut_off_members.borrow_mut();
    members.apply(now, message, ttl_ms);
}
