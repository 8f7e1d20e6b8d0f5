/*!
Datagrams between gateways: membership and load reports.

Gateways discover each other through seed addresses and through the store, in
which each of them keeps a record with its address. The store may carry out the removal of
a record seconds late, after the next process of the same instance has written its own, so
a process that does not find its record writes it again. Load reports are sent to all
members that are alive or suspected to have failed; their period grows with the
number of members.
*/

use {
    super::Gateway,
    actix_rt::{net::UdpSocket, time::sleep},
    cicadagate_node::event,
    cicadagate_policy::{
        ids::{MemberId, Offset},
        process::{
            membership::{Health, Info, Membership, Outgoing},
            registration_readers::DatedNews,
            reports::{Report, period_ms},
        },
        time::Time,
    },
    cicadagate_wire::datagram::{DatagramCodec, GatewayDatagram, MAX_DATAGRAM_BYTES},
    serde::{Deserialize, Serialize},
    std::{cell::Cell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration},
};

/// Compacted topic of the addresses at which instances receive datagrams.
const MEMBERS_TOPIC: &str = "keyed.cicadagate-members";
/// Interval between reads of the addresses in the store.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a failed store operation.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time by which a member must have started earlier than this process to know
/// what customers used before, in milliseconds: the processes of a fleet that is
/// restarted as a whole start within less.
const MIN_OLDER_MS: u64 = 5_000;
/// Longest wait for a datagram before due work is checked, in milliseconds.
const MAX_WAIT_MS: u64 = 100;
/// Most datagrams that are received before other tasks run.
const MAX_DATAGRAMS_AT_ONCE: usize = 32;

/// The socket for datagrams, their codec, and the schedule and sequence number
/// of this process's load reports.
pub struct PeerSocket {
    socket: UdpSocket,
    codec: DatagramCodec,
    /// When the socket was last known to hold no datagram. One that is received now has
    /// arrived later.
    drained_at: Cell<Time>,
    seq: Cell<u64>,
    next_report_ms: Cell<u64>,
}

#[derive(Serialize, Deserialize)]
struct Announcement {
    peers: SocketAddr,
    started_ms: u64,
}

/// Receives and sends datagrams until the process ends.
pub(super) async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let peer_socket = gateway.peer_socket.get_or_init(|| PeerSocket {
        socket,
        codec: DatagramCodec::new(&gateway.settings.fleet_key),
        drained_at: Cell::new(gateway.now()),
        seq: Cell::new(0),
        next_report_ms: Cell::new(0),
    });
    add_seeds(&gateway);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut known = BTreeMap::new();
    loop {
        let now = gateway.now();
        let due = gateway
            .members
            .borrow()
            .next_tick()
            .0
            .min(peer_socket.next_report_ms.get());
        let wait = due.saturating_sub(now.0).min(MAX_WAIT_MS);
        tokio::select! {
            _ = peer_socket.socket.readable() => {
                receive_waiting(&gateway, peer_socket, &mut buf);
            }
            () = sleep(Duration::from_millis(wait)) => {}
        }
        announce_readiness(&gateway);
        let out = gateway.members.borrow_mut().tick(gateway.now());
        peer_socket.send_all(&gateway, out);
        if let Some(message) = super::quarantine::tick(&gateway) {
            let datagram = GatewayDatagram::Quarantine(message);
            for to in alive_or_suspect_addrs(&gateway.members.borrow()) {
                peer_socket.send(&gateway, to, &datagram);
            }
        }
        if let Some(datagram) = super::quarantine::next_trials(&gateway) {
            for to in alive_or_suspect_addrs(&gateway.members.borrow()) {
                peer_socket.send(&gateway, to, &datagram);
            }
        }
        if peer_socket.next_report_ms.get() <= gateway.now().0 {
            send_report(&gateway, peer_socket);
            record_member_changes(&gateway, &mut known);
        }
    }
}

/// Tells the other members once this process is ready: its own messages carry
/// the configuration version from then on, and all members get a report at once.
fn announce_readiness(gateway: &Rc<Gateway>) {
    let is_announced = gateway.members.borrow().own_info().version > Offset::NONE;
    if !is_announced && gateway.is_ready() {
        publish_own_state(gateway, false);
    }
}

/// Sets what the membership says of this process, and sends a report at once
/// instead of with the next period.
pub(super) fn publish_own_state(gateway: &Rc<Gateway>, is_leaving: bool) {
    let version = gateway.config.borrow().version().unwrap_or_default();
    gateway
        .members
        .borrow_mut()
        // `Offset::NONE` stands for a process that is not ready.
        .set_own_state(Offset(version.max(1)), is_leaving);
    if let Some(peer_socket) = gateway.peer_socket.get() {
        send_report(gateway, peer_socket);
    }
}

impl PeerSocket {
    fn send_all(&self, gateway: &Gateway, out: Vec<Outgoing>) {
        for (to, message) in out {
            self.send(gateway, to, &GatewayDatagram::Membership(message));
        }
    }

    pub(super) fn send(&self, gateway: &Gateway, to: SocketAddr, datagram: &GatewayDatagram) {
        let bytes = self.codec.encode(datagram);
        let sent = gateway.metrics.datagram_bytes.with_label_values(&["sent"]);
        sent.inc_by(bytes.len() as u64);
        // A datagram that can't be sent is not retried: membership messages and
        // reports are sent periodically, and queries time out.
        if self.socket.try_send_to(&bytes, to).is_err() {
            let lost = gateway.metrics.datagram_bytes.with_label_values(&["lost"]);
            lost.inc_by(bytes.len() as u64);
        }
    }
}

/// Receives the datagrams that have arrived, a limited number at once.
fn receive_waiting(gateway: &Rc<Gateway>, peer_socket: &PeerSocket, buf: &mut [u8]) {
    for _ in 0..MAX_DATAGRAMS_AT_ONCE {
        let now = gateway.now();
        match peer_socket.socket.try_recv_from(buf) {
            Ok((len, from)) => receive(gateway, peer_socket, &buf[..len], from),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                peer_socket.drained_at.set(now);
                return;
            }
            // An error of an earlier send; the socket stays usable.
            Err(_) => {}
        }
    }
}

fn receive(gateway: &Rc<Gateway>, peer_socket: &PeerSocket, bytes: &[u8], from: SocketAddr) {
    let metrics = &gateway.metrics;
    metrics
        .datagram_bytes
        .with_label_values(&["received"])
        .inc_by(bytes.len() as u64);
    match peer_socket.codec.decode(bytes) {
        Ok(GatewayDatagram::Membership(message)) => {
            let now = gateway.now();
            let out = gateway.members.borrow_mut().handle(now, from, message);
            peer_socket.send_all(gateway, out);
        }
        Ok(GatewayDatagram::Report(report)) => apply_report(gateway, report),
        Ok(GatewayDatagram::Slot(message)) => super::slots::receive(gateway, from, message),
        Ok(GatewayDatagram::Limit(message)) => super::limits::receive(gateway, from, message),
        Ok(GatewayDatagram::Quarantine(message)) => super::quarantine::receive(gateway, message),
        Ok(GatewayDatagram::QuarantineTrial(message)) => {
            super::quarantine::receive_trial(gateway, from, message);
        }
        Ok(GatewayDatagram::StreamOrigin(message)) => {
            super::stream_origins::receive(gateway, from, message);
        }
        Ok(GatewayDatagram::CutOff(message)) => super::reachability::receive(gateway, message),
        Ok(GatewayDatagram::UnresolvedJob(message)) => {
            super::unresolved_jobs::receive(gateway, from, message);
        }
        Ok(GatewayDatagram::Registrations(news)) => {
            let arrived_after = peer_socket.drained_at.get();
            super::registration_news::receive(gateway, arrived_after, None, news);
        }
        Ok(GatewayDatagram::DatedRegistrations(DatedNews { news, age_ms })) => {
            let arrived_after = peer_socket.drained_at.get();
            super::registration_news::receive(gateway, arrived_after, Some(age_ms), news);
        }
        Err(err) => {
            metrics
                .refused_messages
                .with_label_values(&["datagram"])
                .inc();
            event!(MESSAGE_REFUSED, from: = from, reason: = err);
        }
    }
}

fn apply_report(gateway: &Rc<Gateway>, report: Report) {
    let now = gateway.now();
    let member = report.member;
    if report.config_version > gateway.config.borrow().version().unwrap_or_default() {
        gateway.newer_operator_record.notify_one();
    }
    let admitted = report.admitted.clone();
    let in_flight = report.in_flight.clone();
    if !gateway.reports.borrow_mut().apply(now, report) {
        return;
    }
    {
        let mut ledger = gateway.slot_ledger.borrow_mut();
        ledger.apply_report(now, member, &in_flight);
    }
    let mut limiter = gateway.limiter.borrow_mut();
    for (customer, spent) in admitted {
        let limit = super::limits::limit_of(gateway, customer);
        if let Some(limit) = limit {
            limiter.ensure_bucket(now, customer, limit);
        }
        limiter.apply_remote_total(now, member, customer, spent);
    }
    limiter.note_reporting_member(member);
    let members = gateway.members.borrow();
    let started = members.member(member).map(|(info, _)| info.started);
    if started.is_some_and(|started| started + MIN_OLDER_MS < members.own_info().started) {
        limiter.release_bursts();
    }
}

fn send_report(gateway: &Rc<Gateway>, peer_socket: &PeerSocket) {
    let now = gateway.now();
    let members = gateway.members.borrow();
    gateway
        .reports
        .borrow_mut()
        .expire(now, |id| is_alive_or_suspect(&members, id));
    let member_count = u32::try_from(gateway.member_count()).unwrap_or(u32::MAX);
    gateway
        .limiter
        .borrow_mut()
        .retain_members(member_count, |id| members.member(id).is_some());
    let replicas = gateway.replicas.borrow();
    gateway.slot_ledger.borrow_mut().retain(
        |id| is_alive_or_suspect(&members, id),
        |endpoint| replicas.get(endpoint).is_some(),
    );
    let mut rates = gateway.replica_rates.borrow_mut();
    rates.retain(|endpoint| replicas.get(endpoint).is_some());
    drop(rates);
    let others = alive_or_suspect_addrs(&members);
    let period = period_ms(others.len() + 1);
    peer_socket.next_report_ms.set(now.plus(period).0);
    peer_socket.seq.set(peer_socket.seq.get() + 1);
    let report = Report {
        member: gateway.member_id,
        seq: peer_socket.seq.get(),
        in_flight: gateway.own_loads(),
        items: gateway.item_runner.running(),
        admitted: gateway.limiter.borrow_mut().totals_to_report(now),
        config_version: gateway.config.borrow().version().unwrap_or_default(),
        suspects: replicas.suspects(now),
        has_store: gateway.store.is_reachable(),
        is_leaving: !gateway.is_ready(),
    };
    let datagram = GatewayDatagram::Report(report);
    for to in others {
        peer_socket.send(gateway, to, &datagram);
    }
}

pub(super) fn alive_or_suspect_addrs(members: &Membership) -> Vec<SocketAddr> {
    members
        .members()
        .filter(|(_, health)| *health <= Health::Suspect)
        .map(|(info, _)| info.udp)
        .collect()
}

fn is_alive_or_suspect(members: &Membership, id: MemberId) -> bool {
    members
        .member(id)
        .is_some_and(|(_, health)| health <= Health::Suspect)
}

/// Announces to the other members and in the store that this process exits.
pub(super) async fn leave(gateway: &Rc<Gateway>) {
    let out = gateway.members.borrow_mut().leave();
    if let Some(peer_socket) = gateway.peer_socket.get() {
        peer_socket.send_all(gateway, out);
    }
    let value = gateway.store.encode_keyed(&gateway.settings.instance, None);
    if let Err(err) = gateway.store.append(MEMBERS_TOPIC, 0, vec![value]).await {
        event!(APPEND_FAILED, topic = MEMBERS_TOPIC, reason: = err);
    }
}

fn record_member_changes(gateway: &Rc<Gateway>, known: &mut BTreeMap<MemberId, Health>) {
    let members = gateway.members.borrow();
    let changed: Vec<(Info, Health)> = members
        .members()
        .filter(|(info, health)| known.get(&info.id) != Some(health))
        .map(|(info, health)| (info.clone(), health))
        .collect();
    for (info, health) in changed {
        known.insert(info.id, health);
        event!(MEMBER_CHANGED, process = info.instance, member: = info.id, health:? = health);
    }
    known.retain(|id, _| members.member(*id).is_some());
    gateway.metrics.set_state("members", known.len());
}

fn add_seeds(gateway: &Rc<Gateway>) {
    let port = gateway.settings.addresses.peers.port();
    let seeds = gateway.settings.seeds.iter();
    let seeds = seeds.map(|ip| SocketAddr::new(*ip, port)).collect();
    gateway.members.borrow_mut().set_candidates(seeds);
}

/// Publishes this instance's address in the store, and reads those of the
/// others periodically.
pub(super) async fn announce(gateway: Rc<Gateway>) {
    let announcement = Announcement {
        peers: gateway.settings.addresses.peers,
        started_ms: cicadagate_node::clock::unix_time_ms(),
    };
    let Ok(value) = postcard::to_stdvec(&announcement) else {
        return;
    };
    let record = gateway
        .store
        .encode_keyed(&gateway.settings.instance, Some(&value));
    let mut is_announced = false;
    loop {
        if !is_announced {
            let append = gateway.store.append(MEMBERS_TOPIC, 0, vec![record.clone()]);
            match append.await {
                Ok(_) => is_announced = true,
                Err(err) => event!(APPEND_FAILED, topic = MEMBERS_TOPIC, reason: = err),
            }
        }
        let listed = read_members(&gateway).await;
        if let Some(is_listed) = listed
            && gateway.ms_since_stop().is_none()
        {
            is_announced = is_listed;
        }
        let delay = if is_announced && listed.is_some() {
            READ_INTERVAL
        } else {
            RETRY_DELAY
        };
        sleep(delay).await;
    }
}

/// Reads the addresses of all instances; returns whether this process's is among them, or
/// `None` if the store can't be read.
async fn read_members(gateway: &Rc<Gateway>) -> Option<bool> {
    let own = gateway.settings.addresses.peers;
    let mut is_listed = false;
    let mut found = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let Ok(page) = gateway.store.latest(MEMBERS_TOPIC, after.as_deref()).await else {
            return None;
        };
        after = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            let value = item.value.unwrap_or_default();
            match postcard::from_bytes::<Announcement>(&value) {
                Ok(announcement) => {
                    is_listed |= item.key == gateway.settings.instance && announcement.peers == own;
                    found.push(announcement.peers);
                }
                Err(err) if !value.is_empty() => {
                    event!(RECORD_SKIPPED, key = item.key, reason: = err);
                }
                Err(_) => {}
            }
        }
        if !page.has_more || after.is_none() {
            break;
        }
    }
    let port = gateway.settings.addresses.peers.port();
    let seeds = gateway.settings.seeds.iter();
    found.extend(seeds.map(|ip| SocketAddr::new(*ip, port)));
    found.sort_unstable();
    found.dedup();
    let out = gateway.members.borrow_mut().ping_candidates(found);
    if let Some(peer_socket) = gateway.peer_socket.get() {
        peer_socket.send_all(gateway, out);
    }
    let read_at = gateway.members_read_at.get();
    gateway
        .members_read_at
        .set(read_at.or_else(|| Some(gateway.now())));
    Some(is_listed)
}
