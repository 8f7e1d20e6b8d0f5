/*!
Connection pool for replicas.

Opening a connection costs a replica time and may occupy one of its slots, so
connections are reused. A replica may close an idle connection at any moment,
and a request that is sent at that moment may or may not run. A request that
must not run twice is therefore sent on an idle connection only if the replica
has announced a keep-alive timeout that has not passed, or if the connection was
in use a moment ago; see [`Reuse`]. After a reused connection has failed,
announced timeouts are ignored for [`DISTRUST_MS`]. Other requests may take any
idle connection, since they can be sent again.
*/

use {
    super::exchange::{Answer, Conn, ExchangeError, Outgoing, Result, exchange},
    cicadagate_policy::{ids::EndpointId, time::Time},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Most idle connections per replica: about the slots of an engine, so that a
/// burst of requests needs few new connections.
const MAX_IDLE: usize = 8;
/// Time for which an idle connection is kept if the replica announces none.
const DEFAULT_IDLE_LIFE: Duration = Duration::from_secs(4);
/// Time before the end of a replica's keep-alive timeout at which a connection
/// is no longer used, since a request takes time to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle time up to which a connection is assumed to be open at the replica.
const FRESH: Duration = Duration::from_millis(900);

/// Time for which announced keep-alive timeouts are ignored after a reused
/// connection failed, in milliseconds.
const DISTRUST_MS: u64 = 30_000;

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any, since the request can be sent again.
    Any,
    /// Only one that was in use a moment ago, or that the replica has announced
    /// to keep open.
    Fresh,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: Time,
    until: Time,
    is_promised: bool,
}

type Stock = Rc<RefCell<Vec<Idle>>>;

/// Returns a connection to the pool after its response.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    stock: Stock,
    now: Rc<Cell<Time>>,
}

impl Slot {
    pub(super) fn give_back(&self, conn: Conn, idle_life: Option<Duration>) {
        let life = idle_life.map_or(DEFAULT_IDLE_LIFE, |life| life.saturating_sub(IDLE_MARGIN));
        let now = self.now.get();
        let mut stock = self.stock.borrow_mut();
        if stock.len() < MAX_IDLE && !life.is_zero() {
            let until = now.plus(u64::try_from(life.as_millis()).unwrap_or(u64::MAX));
            stock.push(Idle {
                conn,
                since: now,
                until,
                is_promised: idle_life.is_some(),
            });
        }
    }
}

/// Idle connections to all replicas.
#[derive(Debug, Default)]
pub struct Pool {
    stocks: RefCell<HashMap<EndpointId, Stock>>,
    now: Rc<Cell<Time>>,
    opened: Cell<u64>,
    reused: Cell<u64>,
    distrust_until: Cell<Time>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
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
        req: &Outgoing,
    ) -> Result<Answer> {
        self.set_now(now);
        let stock = Rc::clone(self.stocks.borrow_mut().entry(endpoint).or_default());
        let trusts_promises = reuse == Reuse::Any || now >= self.distrust_until.get();
        let kept = take(&mut stock.borrow_mut(), now, reuse, trusts_promises);
        let is_kept = kept.is_some();
        let conn = if let Some(conn) = kept {
            self.reused.set(self.reused.get() + 1);
            conn
        } else {
            self.opened.set(self.opened.get() + 1);
            Conn::open(addr).await?
        };
        let slot = Slot {
            stock: Rc::clone(&stock),
            now: Rc::clone(&self.now),
        };
        let outcome = exchange(conn, slot, req).await;
        if is_kept && matches!(outcome, Err(ExchangeError::Broken { .. })) {
            stock.borrow_mut().clear();
            self.distrust_until.set(now.plus(DISTRUST_MS));
        }
        outcome
    }

    /// Connects to a replica and adds the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica accepts no connection.
    pub async fn probe(&self, now: Time, endpoint: EndpointId, addr: SocketAddr) -> Result<()> {
        let stock = Rc::clone(self.stocks.borrow_mut().entry(endpoint).or_default());
        let conn = Conn::open(addr).await?;
        self.opened.set(self.opened.get() + 1);
        let slot = Slot {
            stock,
            now: Rc::clone(&self.now),
        };
        self.set_now(now);
        slot.give_back(conn, None);
        Ok(())
    }

    /// Advances the clock that the age of idle connections is based on.
    pub fn set_now(&self, now: Time) {
        self.now.set(self.now.get().max(now));
    }

    /// Closes idle connections that have expired, ended or received data, and
    /// those to unknown replicas.
    pub fn expire(&self, now: Time, is_known: impl Fn(EndpointId) -> bool) {
        self.set_now(now);
        self.stocks.borrow_mut().retain(|endpoint, stock| {
            stock
                .borrow_mut()
                .retain(|idle| now < idle.until && idle.conn.is_quiet());
            is_known(*endpoint) || Rc::strong_count(stock) > 1
        });
    }

    /// Returns whether there is an idle connection to a replica.
    #[must_use]
    pub fn has_idle(&self, endpoint: EndpointId) -> bool {
        let stocks = self.stocks.borrow();
        stocks
            .get(&endpoint)
            .is_some_and(|stock| !stock.borrow().is_empty())
    }

    /// Closes the idle connections to a replica.
    pub fn forget(&self, endpoint: EndpointId) {
        if let Some(stock) = self.stocks.borrow().get(&endpoint) {
            stock.borrow_mut().clear();
        }
    }

    /// Returns how many connections were opened and how many were reused.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.opened.get(), self.reused.get())
    }
}

fn take(stock: &mut Vec<Idle>, now: Time, reuse: Reuse, trusts_promises: bool) -> Option<Conn> {
    let fresh_ms = u64::try_from(FRESH.as_millis()).unwrap_or(u64::MAX);
    // The last element was in use most recently.
    while let Some(idle) = stock.pop() {
        let is_safe = reuse == Reuse::Any
            || now.since(idle.since) < fresh_ms
            || (trusts_promises && idle.is_promised);
        if !is_safe {
            stock.push(idle);
            return None;
        }
        if now < idle.until && idle.conn.is_quiet() {
            return Some(idle.conn);
        }
    }
    None
}
