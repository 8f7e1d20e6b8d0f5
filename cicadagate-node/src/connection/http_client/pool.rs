/*!
Connection pool for replicas.

Opening a connection costs a replica time and may occupy one of its slots, so
connections are reused. A replica may close an idle connection at any moment,
and a request that is sent at that moment may or may not run. A request that
must not run twice is therefore sent on an idle connection only if the replica
has announced a keep-alive timeout that has not passed, or if the connection was
in use within [`RECENT_USE`]; see [`Reuse`]. After a reused connection has
failed, announced timeouts are ignored for [`IGNORE_ANNOUNCED_MS`]. Other
requests may take any idle connection, since they can be sent again. No request takes a
connection that has carried one with its id; see `exchange`.
*/

use {
    super::exchange::{
        Attribution, Connection, DiscardReason, ExchangeError, ReplicaRequest, ReplicaResponse,
        Result, allows_reuse, exchange,
    },
    actix_http::ResponseHead,
    cicadagate_policy::{ids::EndpointId, time::Time},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Most idle connections per replica: about as many as an engine has slots, so
/// that a burst of requests needs few new connections.
const MAX_IDLE_PER_REPLICA: usize = 8;
/// Time for which an idle connection is kept if the replica announces none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Time before the end of a replica's keep-alive timeout at which a connection
/// is no longer used, since a request takes time to arrive.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Idle time up to which a connection is assumed to be open at the replica.
const RECENT_USE: Duration = Duration::from_millis(900);

/// Most heads of discarded responses that are kept until they are taken.
const MAX_DISCARDED_HEADS: usize = 64;

/// Time for which announced keep-alive timeouts are ignored after a reused
/// connection failed, in milliseconds.
const IGNORE_ANNOUNCED_MS: u64 = 30_000;

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any, since the request can be sent again.
    Any,
    /// Only one that was in use within the last 900 ms, or that the replica has
    /// announced to keep open.
    RecentOrGuaranteed,
}

#[derive(Debug)]
struct IdleConnection {
    conn: Connection,
    idle_since: Time,
    expires: Time,
    is_announced: bool,
}

type IdleConnections = Rc<RefCell<Vec<IdleConnection>>>;

/// Returns a connection to the pool after its response.
#[derive(Clone, Debug)]
pub(super) struct PoolHandle {
    idle_list: IdleConnections,
    now: Rc<Cell<Time>>,
}

impl PoolHandle {
    pub(super) fn put_back(&self, conn: Connection, keep_alive_timeout: Option<Duration>) {
        self.keep(self.idle(conn, keep_alive_timeout));
    }

    /// Returns a connection as idle from now on.
    fn idle(&self, conn: Connection, keep_alive_timeout: Option<Duration>) -> IdleConnection {
        let keep_alive = keep_alive_timeout.map_or(DEFAULT_KEEP_ALIVE, |keep_alive| {
            keep_alive.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        let now = self.now.get();
        IdleConnection {
            conn,
            idle_since: now,
            expires: now.plus(u64::try_from(keep_alive.as_millis()).unwrap_or(u64::MAX)),
            is_announced: keep_alive_timeout.is_some(),
        }
    }

    fn keep(&self, idle: IdleConnection) {
        let mut idle_list = self.idle_list.borrow_mut();
        if idle_list.len() < MAX_IDLE_PER_REPLICA && idle.idle_since < idle.expires {
            idle_list.push(idle);
        }
    }
}

/// A response that was discarded, since it is not known to be to the request that was
/// sent last.
#[derive(Debug)]
pub struct DiscardedResponse {
    /// Replica.
    pub endpoint: EndpointId,
    /// Id of the request that waited for a response on the connection; empty if it had
    /// none.
    pub request: String,
    /// Status and headers.
    pub head: ResponseHead,
    /// Why it was discarded.
    pub reason: DiscardReason,
}

/// Idle connections to all replicas.
#[derive(Debug, Default)]
pub struct Pool {
    attribution: Attribution,
    idle_connections: RefCell<HashMap<EndpointId, IdleConnections>>,
    now: Rc<Cell<Time>>,
    opened: Cell<u64>,
    reused: Cell<u64>,
    ignore_announced_until: Cell<Time>,
    discarded: RefCell<Vec<DiscardedResponse>>,
}

impl Pool {
    /// Creates an empty pool for peers that may respond twice to a request.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty pool for peers that respond exactly once to each request.
    #[must_use]
    pub fn of_ordered_peers() -> Self {
        Self {
            attribution: Attribution::ByOrder,
            ..Self::default()
        }
    }

    /// Sends a request to a replica and reads the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response; the error says whether the
    /// request may have run.
    pub async fn send(
        &self,
        now: Time,
        endpoint: EndpointId,
        addr: SocketAddr,
        reuse: Reuse,
        req: &ReplicaRequest,
    ) -> Result<ReplicaResponse> {
        self.send_if(now, endpoint, addr, reuse, req, || true).await
    }

    /// Like [`send`](Self::send), but asks `may_send` right before the first byte is written:
    /// since the decision to send, a connection had to be opened, and the process may have
    /// stood still.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send), and [`ExchangeError::Withheld`] if `may_send` says no.
    pub async fn send_if(
        &self,
        now: Time,
        endpoint: EndpointId,
        addr: SocketAddr,
        reuse: Reuse,
        req: &ReplicaRequest,
        may_send: impl FnOnce() -> bool,
    ) -> Result<ReplicaResponse> {
        self.set_now(now);
        let idle_list = Rc::clone(
            self.idle_connections
                .borrow_mut()
                .entry(endpoint)
                .or_default(),
        );
        let trusts_announced = reuse == Reuse::Any || now >= self.ignore_announced_until.get();
        let id = req.id.as_ref().filter(|_| allows_reuse(req));
        let reused = id.and_then(|(_, id)| {
            take_idle(
                &mut idle_list.borrow_mut(),
                now,
                reuse,
                trusts_announced,
                id,
            )
        });
        let is_reused = reused.is_some();
        let handle = PoolHandle {
            idle_list: Rc::clone(&idle_list),
            now: Rc::clone(&self.now),
        };
        let idle = if let Some(idle) = reused {
            self.reused.set(self.reused.get() + 1);
            idle
        } else {
            self.opened.set(self.opened.get() + 1);
            handle.idle(Connection::open(addr).await?, None)
        };
        if !may_send() {
            // It has not been in use since it was idle.
            handle.keep(idle);
            return Err(ExchangeError::Withheld);
        }
        let conn = idle.conn;
        let on_discarded = |head, reason| {
            let mut discarded = self.discarded.borrow_mut();
            if discarded.len() < MAX_DISCARDED_HEADS {
                let id = req.id.as_ref().map(|(_, id)| id.clone());
                discarded.push(DiscardedResponse {
                    endpoint,
                    request: id.unwrap_or_default(),
                    head,
                    reason,
                });
            }
        };
        let outcome = exchange(conn, Some(handle), self.attribution, req, on_discarded).await;
        if is_reused && matches!(outcome, Err(ExchangeError::Broken { .. })) {
            idle_list.borrow_mut().clear();
            self.ignore_announced_until
                .set(now.plus(IGNORE_ANNOUNCED_MS));
        }
        outcome
    }

    /// Takes the responses that were discarded since the last call. Their heads still tell
    /// of the replica.
    pub fn take_discarded(&self) -> Vec<DiscardedResponse> {
        self.discarded.take()
    }

    /// Connects to a replica and adds the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica accepts no connection.
    pub async fn probe(&self, now: Time, endpoint: EndpointId, addr: SocketAddr) -> Result<()> {
        let idle_list = Rc::clone(
            self.idle_connections
                .borrow_mut()
                .entry(endpoint)
                .or_default(),
        );
        let conn = Connection::open(addr).await?;
        self.opened.set(self.opened.get() + 1);
        let handle = PoolHandle {
            idle_list,
            now: Rc::clone(&self.now),
        };
        self.set_now(now);
        handle.put_back(conn, None);
        Ok(())
    }

    /// Advances the clock that the age of idle connections is based on.
    pub fn set_now(&self, now: Time) {
        self.now.set(self.now.get().max(now));
    }

    /// Closes idle connections that have expired, ended or received data, and
    /// those to unknown replicas with no request in progress.
    pub fn expire(&self, now: Time, is_known: impl Fn(EndpointId) -> bool) {
        self.set_now(now);
        self.idle_connections
            .borrow_mut()
            .retain(|endpoint, idle_list| {
                idle_list
                    .borrow_mut()
                    .retain(|idle| now < idle.expires && idle.conn.is_open_and_empty());
                is_known(*endpoint) || Rc::strong_count(idle_list) > 1
            });
    }

    /// Returns whether there is an idle connection to a replica.
    #[must_use]
    pub fn has_idle(&self, endpoint: EndpointId) -> bool {
        let idle_connections = self.idle_connections.borrow();
        idle_connections
            .get(&endpoint)
            .is_some_and(|idle_list| !idle_list.borrow().is_empty())
    }

    /// Closes the idle connections to a replica.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(idle_list) = self.idle_connections.borrow().get(&endpoint) {
            idle_list.borrow_mut().clear();
        }
    }

    /// Returns how many connections were opened and how many were reused.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.opened.get(), self.reused.get())
    }
}

/// Takes the connection that was in use most recently, among those that have not carried
/// a request with this id.
fn take_idle(
    idle_list: &mut Vec<IdleConnection>,
    now: Time,
    reuse: Reuse,
    trusts_announced: bool,
    id: &str,
) -> Option<IdleConnection> {
    let recent_ms = u64::try_from(RECENT_USE.as_millis()).unwrap_or(u64::MAX);
    for at in (0..idle_list.len()).rev() {
        let idle = &idle_list[at];
        let is_safe = reuse == Reuse::Any
            || now.since(idle.idle_since) < recent_ms
            || (trusts_announced && idle.is_announced);
        if !is_safe {
            return None;
        }
        if idle.conn.has_carried(id) {
            continue;
        }
        let idle = idle_list.remove(at);
        if now < idle.expires && idle.conn.is_open_and_empty() {
            return Some(idle);
        }
    }
    None
}
