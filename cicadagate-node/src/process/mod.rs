/*!
The node: state that the tasks of a process share.
*/

mod contact;
mod follower;
mod gossip;
mod join;
mod operations;
mod stop;

pub use stop::wait_for_signal;

pub use {
    contact::WitnessResponse,
    follower::{StreamConsumer, follow_stream},
};

use {
    crate::{
        clock::{Clock, unix_time_ms},
        connection::peer_client::PeerClient,
        event,
        metrics::Metrics,
        platform::{
            instance_list::{HttpInstanceList, InstanceList, ListedInstances},
            log::{HttpLog, Log},
        },
        settings::NodeSettings,
        trace::SpanBuffer,
    },
    actix_rt::net::{TcpListener, UdpSocket},
    bytes::Bytes,
    cicadagate_policy::{
        ids::{MemberId, Offset},
        process::{
            contact::Contact,
            membership::{Health, Info, Membership, Outgoing, Role},
            placement::PlacementCandidate,
            shutdown::Phase,
        },
        time::Time,
        version::config::{Customer, RosterMember, State},
    },
    cicadagate_wire::{
        key::FleetKey,
        peer::{FromServer, Hello, PROTOCOL_VERSION, ToServer},
    },
    serde_json::json,
    snafu::{ResultExt, Snafu},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::{Notify, mpsc, watch},
};

/// A result of this module.
pub type Result<T, E = StartError> = std::result::Result<T, E>;

/// Why a node could not start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StartError {
    /// An address could not be bound.
    #[snafu(display("can't bind {addr}: {source}"))]
    Bind {
        /// Address.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The fleet's key is invalid.
    #[snafu(display("{source}"))]
    Key {
        /// Cause.
        source: cicadagate_wire::key::InvalidKey,
    },
}

/// Name of the log stream that holds the configuration.
pub const CONFIG_STREAM: &str = "config";

/// How this process authenticates and identifies itself to its peers.
pub struct Identity {
    /// Fleet's key.
    pub key: FleetKey,
    /// Member id of this process.
    pub member: MemberId,
}

impl Identity {
    /// Creates the first message of a connection.
    #[must_use]
    pub fn hello(&self) -> Hello {
        let mut nonce = [0; 16];
        // If this fails the nonce is zero; the peer's nonce still makes the
        // session's keys unique.
        let _ = getrandom::fill(&mut nonce);
        Hello {
            protocol: PROTOCOL_VERSION,
            nonce,
            member: self.member,
        }
    }
}

/// A process of the fleet: the state shared by its tasks.
pub struct Node {
    /// Settings.
    pub settings: NodeSettings,
    /// Clock.
    pub clock: Clock,
    /// Fleet's key.
    pub key: FleetKey,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Spans that ended recently.
    pub spans: SpanBuffer,
    /// This process's view of the members of the fleet.
    pub membership: RefCell<Membership>,
    /// Configuration in force.
    pub config: RefCell<State>,
    /// Contact, the lease on the configuration in force.
    pub contact: RefCell<Contact>,
    /// The platform's instance list as last read.
    pub listed_instances: RefCell<ListedInstances>,
    /// Connections to peers.
    pub peers: PeerClient,
    /// The platform's log.
    pub log: Rc<dyn Log>,
    identity: Rc<Identity>,
    instance_list: Rc<dyn InstanceList>,
    phase: Cell<Phase>,
    has_caught_up: Cell<bool>,
    has_joined: Cell<bool>,
    running_requests: Cell<usize>,
    about_to_exit: Notify,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    version_changes: watch::Sender<Offset>,
    config_hooks: RefCell<Vec<ConfigHook>>,
}

/// Function that is called whenever the configuration changes: after a record
/// is applied or skipped, or a peer's configuration is adopted. It runs before
/// any other task can see the change.
pub type ConfigHook = Box<dyn Fn(&Node)>;

/// A started node and its main listener.
pub struct Started {
    /// The node.
    pub node: Rc<Node>,
    /// Listener on the main address.
    pub listener: TcpListener,
}

impl Node {
    /// Binds the process's addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet's key is invalid or an address can't be
    /// bound.
    pub async fn start(role: Role, settings: NodeSettings) -> Result<Started> {
        let key = FleetKey::from_hex(&settings.fleet_key).context(KeySnafu)?;
        let listener = bind(settings.listen).await?;
        let operations = bind(settings.operations).await?;
        let socket = UdpSocket::bind(settings.gossip).await;
        let socket = socket.context(BindSnafu {
            addr: settings.gossip,
        })?;
        let local = |addr: std::io::Result<SocketAddr>, configured| addr.unwrap_or(configured);
        let started = unix_time_ms();
        let name = format!("{}/{}#{started}", settings.instance, role.name());
        let info = Info {
            id: MemberId::of(&name),
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            role,
            udp: local(socket.local_addr(), settings.gossip),
            tcp: local(listener.local_addr(), settings.listen),
            started,
            version: Offset::NONE,
            // Not advertised before it has joined.
            leaving: true,
        };
        let operations_addr = local(operations.local_addr(), settings.operations);
        report_addresses(&info, operations_addr);
        let metrics = Rc::new(Metrics::new());
        let identity = Rc::new(Identity {
            key: key.clone(),
            member: info.id,
        });
        let seed = info.id.raw();
        let (outgoing, outgoing_rx) = mpsc::unbounded_channel();
        let node = Rc::new(Self {
            clock: Clock::start(),
            key,
            spans: SpanBuffer::default(),
            membership: RefCell::new(Membership::new(info, seed)),
            config: RefCell::default(),
            contact: RefCell::default(),
            listed_instances: RefCell::default(),
            peers: PeerClient::new(Rc::clone(&identity), Rc::clone(&metrics)),
            metrics,
            log: Rc::new(HttpLog::new(settings.log)),
            identity,
            instance_list: Rc::new(HttpInstanceList::new(settings.instances)),
            phase: Cell::default(),
            has_caught_up: Cell::new(false),
            has_joined: Cell::new(false),
            running_requests: Cell::new(0),
            about_to_exit: Notify::new(),
            outgoing,
            version_changes: watch::channel(Offset::NONE).0,
            config_hooks: RefCell::default(),
            settings,
        });
        node.spawn_tasks(socket, outgoing_rx, operations);
        Ok(Started { node, listener })
    }

    fn spawn_tasks(
        self: &Rc<Self>,
        socket: UdpSocket,
        outgoing_rx: mpsc::UnboundedReceiver<Outgoing>,
        operations: TcpListener,
    ) {
        actix_rt::spawn(gossip::run(Rc::clone(self), socket, outgoing_rx));
        actix_rt::spawn(gossip::watch_members(Rc::clone(self)));
        actix_rt::spawn(follower::follow_config(Rc::clone(self)));
        actix_rt::spawn(follower::follow_list(Rc::clone(self)));
        actix_rt::spawn(contact::run(Rc::clone(self)));
        actix_rt::spawn(join::run(Rc::clone(self)));
        actix_rt::spawn(operations::run(Rc::clone(self), operations));
    }

    /// Waits for a termination signal and then shuts down gracefully.
    pub async fn run_until_stopped(self: &Rc<Self>) {
        stop::run(self).await;
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns what this process reports about itself to other members.
    #[must_use]
    pub fn own_info(&self) -> Info {
        self.membership.borrow().own_info().clone()
    }

    /// Creates the first message of a connection.
    #[must_use]
    pub fn hello(&self) -> Hello {
        self.identity.hello()
    }

    /// Returns whether contact is fresh, so that the configuration in force is
    /// recent enough to serve requests under.
    #[must_use]
    pub fn has_contact(&self) -> bool {
        self.contact.borrow().is_fresh(self.now())
    }

    /// Returns whether the process has replayed the configuration stream to its
    /// end since its start.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.has_caught_up.get()
    }

    /// Returns whether a configuration is in force in this process.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        self.has_caught_up.get() || self.config.borrow().version() > Offset::NONE
    }

    /// Returns whether other processes may route work to this one: it has a
    /// configuration, has joined the other members, and is not stopping.
    #[must_use]
    pub fn is_advertised(&self) -> bool {
        self.has_joined.get() && self.phase.get().is_advertised()
    }

    /// Returns the phase of the shutdown.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Counts a request as running until the returned guard is dropped.
    #[must_use]
    pub fn track_running(self: &Rc<Self>) -> RunningGuard {
        self.running_requests.set(self.running_requests.get() + 1);
        RunningGuard {
            node: Rc::clone(self),
        }
    }

    /// Returns a receiver that is notified of each new configuration version.
    #[must_use]
    pub fn subscribe_config(&self) -> watch::Receiver<Offset> {
        self.version_changes.subscribe()
    }

    /// Registers a hook that is called whenever the configuration changes.
    pub fn on_config_change(&self, hook: ConfigHook) {
        self.config_hooks.borrow_mut().push(hook);
    }

    /// Returns the customer that an API key belongs to.
    ///
    /// Returns `None` for a key whose withdrawal this process has learned of by
    /// gossip, even if the record of the withdrawal has not been applied yet.
    #[must_use]
    pub fn customer_of_key(&self, secret: &str) -> Option<Customer> {
        let hash = self.key.hash_api_key(secret);
        if self.membership.borrow().is_withdrawn(&hash) {
            return None;
        }
        self.config.borrow().customer_of_key(&hash).cloned()
    }

    /// Returns the live and advertised processes of a role, including this one
    /// if it is one of them.
    #[must_use]
    pub fn live_members(&self, role: Role) -> Vec<Info> {
        self.map_live(role, Info::clone)
    }

    /// Returns the live and advertised members of a role as candidates for the
    /// placement of replicas and shares.
    #[must_use]
    pub fn placement_candidates(&self, role: Role) -> Vec<PlacementCandidate> {
        self.map_live(role, placement_candidate)
    }

    /// Returns the entries that a roster of the live and advertised members of
    /// a role would have.
    #[must_use]
    pub fn roster_candidates(&self, role: Role) -> Vec<RosterMember> {
        self.map_live(role, |info| RosterMember {
            member: info.id,
            process: info.process_hash(),
            data_centre: placement_candidate(info).data_centre,
        })
    }

    fn map_live<T>(&self, role: Role, of: impl Fn(&Info) -> T) -> Vec<T> {
        let membership = self.membership.borrow();
        let own_info = std::iter::once(membership.own_info()).filter(|_| self.is_advertised());
        let others = membership.alive().filter(|info| !info.leaving);
        own_info
            .chain(others)
            .filter(|info| info.role == role)
            .map(of)
            .collect()
    }

    /// Returns the address of a member's main interface.
    #[must_use]
    pub fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        self.membership
            .borrow()
            .member(member)
            .map(|(info, _)| info.tcp)
    }

    /// Returns whether a member is known and neither dead nor gone; a suspected
    /// member counts as alive.
    #[must_use]
    pub fn is_alive(&self, member: MemberId) -> bool {
        let membership = self.membership.borrow();
        membership
            .member(member)
            .is_some_and(|(_, health)| health <= Health::Suspect)
    }

    /// Pings members directly, to obtain their current state; their replies
    /// update the membership.
    pub fn ping_members(&self, members: &[MemberId]) {
        for datagram in self.membership.borrow_mut().ping(members) {
            // The receiving task ends only with the process.
            let _ = self.outgoing.send(datagram);
        }
    }

    /// Returns the response to a message that every role handles in the same
    /// way, or `None` for other messages.
    #[must_use]
    pub fn respond_common(&self, message: &ToServer) -> Option<FromServer> {
        match message {
            ToServer::Confirm { seq, withdrawn } => {
                let mut membership = self.membership.borrow_mut();
                for hash in withdrawn {
                    membership.gossip_withdrawn_key(*hash);
                }
                let known = membership.withdrawn_keys().copied().collect();
                let config = self.config.borrow();
                // Without a roster there is nothing to confirm, and a process
                // that has not replayed the log since its start may not
                // confirm.
                let epoch = config.epoch().map(|(version, _)| version);
                let epoch = epoch.filter(|_| self.has_caught_up.get());
                Some(FromServer::Confirmed {
                    seq: *seq,
                    epoch,
                    version: config.version(),
                    withdrawn: known,
                })
            }
            ToServer::FetchConfig { seq } => {
                let config = self.config.borrow();
                let state = postcard::to_stdvec(&*config).unwrap_or_default();
                Some(FromServer::Config {
                    seq: *seq,
                    state: Bytes::from(state),
                })
            }
            _ => None,
        }
    }
}

/// Returns a member as a placement candidate.
fn placement_candidate(info: &Info) -> PlacementCandidate {
    let data_centre = cicadagate_policy::process::placement::data_centre_hash(&info.data_centre);
    PlacementCandidate {
        member: info.id,
        data_centre,
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.context(BindSnafu { addr })
}

/// Prints the bound addresses to standard output, so that the process that
/// started this one learns the ports that replace a configured port of 0.
fn report_addresses(info: &Info, operations: SocketAddr) {
    let bound = json!({"bound": {
        "instance": info.instance,
        "role": info.role.name(),
        "listen": info.tcp,
        "gossip": info.udp,
        "operations": operations,
    }});
    println!("{bound}");
    event!(STARTED, listen: = info.tcp, gossip: = info.udp, operations: = operations);
}

/// Counts a request as running until it is dropped.
pub struct RunningGuard {
    node: Rc<Node>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.node
            .running_requests
            .set(self.node.running_requests.get() - 1);
    }
}
