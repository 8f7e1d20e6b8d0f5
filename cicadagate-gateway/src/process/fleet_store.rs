/*!
The store, reached directly or through another gateway.

# Problem

The store may reject some instances while it serves others, and a network
partition may separate some instances from the store but not from the fleet.
Such an instance would serve with a stale configuration, keep results that
nobody can read, and refuse jobs.

# Choice

If the store rejects an operation or does not respond, the operation is
forwarded to a gateway whose load reports say that it reaches the store. That
gateway carries it out and returns the store's response. An operation that takes
much longer than usual is hedged: it is also forwarded, and the first usable
response counts. The code that uses the store does not see which path was taken.
An operation whose response was lost is forwarded like any other, so an append may be
carried out twice, the second time seconds later: each kind of record has to mean the
same if there are two of it. An operation that fails on both paths was not carried out
only if both say so. While the store does not respond directly but another
gateway reaches it, operations are forwarded without a direct attempt, except
for one every half second that tries the store first.

# Cost

None while the store responds. Otherwise there is one message each way between
two gateways, and an operation that tries the store directly may wait for a
timeout before it is forwarded.
*/

use {
    super::Gateway,
    crate::platform::{KeyedRecord, LatestPage, RecordPage, Result, Store, StoreError},
    actix_http::Request,
    actix_rt::time::timeout,
    bytes::Bytes,
    cicadagate_node::{connection::http::read_body, event},
    cicadagate_policy::{process::membership::Health, time::Time},
    cicadagate_wire::{
        key::FleetKey,
        mac::{append_authenticated, verify},
    },
    serde::{Deserialize, Serialize},
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::{Rc, Weak},
        time::Duration,
    },
};

/// Time between two direct operations while the store does not respond.
const PROBE_INTERVAL_MS: u64 = 500;
/// Time without a response from the store, in addition to the operation's own
/// wait, after which an operation is also forwarded: many times the usual
/// response time of the store.
const HEDGE_DELAY: Duration = Duration::from_millis(120);
/// Consecutive operations completed first by another gateway after which the
/// store counts as not reachable directly.
const MAX_HEDGE_WINS: u32 = 2;
/// Time for another gateway to carry out an operation, in addition to the
/// operation's own wait.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest forwarded operation or response, in bytes.
const MAX_MESSAGE_BYTES: usize = 10 * 1024 * 1024;
/// Longest wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A store operation.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
enum Operation {
    Append {
        topic: String,
        part: u32,
        records: Vec<Bytes>,
    },
    Read {
        topic: String,
        part: u32,
        from: u64,
        max_bytes: usize,
        wait_ms: u64,
    },
    Newest {
        topic: String,
        after: Option<String>,
    },
}

impl Operation {
    /// Returns the time for which the store may delay its response.
    const fn wait(&self) -> Duration {
        match self {
            Self::Read { wait_ms, .. } => Duration::from_millis(*wait_ms),
            Self::Append { .. } | Self::Newest { .. } => Duration::ZERO,
        }
    }
}

/// The store's response to an operation.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
enum Output {
    Appended(u64),
    Page(RecordPage),
    Newest(LatestPage),
}

/// The store, reached directly or through another gateway.
pub struct FleetStore {
    direct: Rc<dyn Store>,
    gateway: Weak<Gateway>,
    client: awc::Client,
    /// Authenticates forwarded operations, with sequence number 0, and their
    /// responses, with sequence number 1.
    key: [u8; 32],
    is_reachable: Cell<bool>,
    /// Whether the store has ever responded to this process directly.
    has_responded: Cell<bool>,
    hedge_wins: Cell<u32>,
    last_probe: Cell<Time>,
    /// Time of the last response of the store, on any path.
    answered_at: Cell<Time>,
}

impl FleetStore {
    pub(super) fn new(direct: Rc<dyn Store>, gateway: Weak<Gateway>, key: &FleetKey) -> Self {
        Self {
            direct,
            gateway,
            client: awc::Client::builder().disable_redirects().finish(),
            key: key.derive_subkey("store calls v1"),
            is_reachable: Cell::new(true),
            has_responded: Cell::new(false),
            hedge_wins: Cell::new(0),
            last_probe: Cell::default(),
            answered_at: Cell::default(),
        }
    }

    /// Returns whether the store responds to this process directly: not before it has.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.is_reachable.get() && self.has_responded.get()
    }

    fn record_outcome(&self, outcome: Option<&StoreError>) {
        let is_reachable = !outcome.is_some_and(StoreError::is_unavailable);
        if is_reachable {
            self.hedge_wins.set(0);
            self.has_responded.set(true);
        }
        if self.is_reachable.replace(is_reachable) == is_reachable {
            return;
        }
        log_reachability("direct", outcome.filter(|_| !is_reachable));
    }

    /// Returns whether another gateway says that it reaches the store.
    #[must_use]
    pub fn is_reached_elsewhere(gateway: &Gateway) -> bool {
        Self::pick_peer(gateway).is_some()
    }

    /// Returns the address of a random gateway that reaches the store.
    fn pick_peer(gateway: &Gateway) -> Option<SocketAddr> {
        let now = gateway.now();
        let members = gateway.members.borrow();
        let reports = gateway.reports.borrow();
        let peers: Vec<SocketAddr> = reports
            .recent(now)
            .filter(|report| report.has_store)
            .filter_map(|report| members.member(report.member))
            .filter(|(_, health)| *health <= Health::Suspect)
            .map(|(info, _)| info.udp)
            .collect();
        let pick = usize::try_from(gateway.next_random()).unwrap_or_default();
        let count = peers.len();
        (count > 0).then(|| peers[pick % count])
    }

    /// Returns whether the store has carried out an operation of this process in the last
    /// `time_ms` milliseconds.
    #[must_use]
    pub fn has_answered_within(&self, now: Time, time_ms: u64) -> bool {
        now.since(self.answered_at.get()) < time_ms
    }

    /// Carries out an operation; `hedge_delay` is the time without a response, in addition to
    /// the operation's own wait, after which it is also forwarded.
    async fn execute(
        self: Rc<Self>,
        operation: Operation,
        hedge_delay: Duration,
    ) -> Result<Output> {
        let Some(gateway) = self.gateway.upgrade() else {
            return perform(&*self.direct, operation).await;
        };
        let now = gateway.now();
        let is_probe = now.since(self.last_probe.get()) >= PROBE_INTERVAL_MS;
        let peer = Self::pick_peer(&gateway);
        if !self.is_reachable.get()
            && !is_probe
            && let Some(peer) = peer
        {
            let outcome = self.forward(peer, &operation).await;
            self.note_answer(&gateway, outcome.as_ref().err());
            return outcome;
        }
        if !self.is_reachable.get() {
            self.last_probe.set(now);
        }
        let outcome = self.execute_directly(&gateway, operation, hedge_delay);
        let outcome = outcome.await;
        self.note_answer(&gateway, outcome.as_ref().err());
        outcome
    }

    fn note_answer(&self, gateway: &Gateway, failure: Option<&StoreError>) {
        if failure.is_none_or(|err| !err.is_unavailable()) {
            self.answered_at.set(gateway.now());
        }
    }

    /// Carries out an operation directly, and also through another gateway if
    /// the store fails or takes longer than `hedge_delay`.
    async fn execute_directly(
        &self,
        gateway: &Gateway,
        operation: Operation,
        hedge_delay: Duration,
    ) -> Result<Output> {
        let direct = perform(&*self.direct, operation.clone());
        tokio::pin!(direct);
        let early = timeout(hedge_delay + operation.wait(), &mut direct).await;
        if let Ok(outcome) = early {
            self.record_outcome(outcome.as_ref().err());
            return match (outcome, Self::pick_peer(gateway)) {
                (Err(err), Some(peer)) if err.is_unavailable() => {
                    let forwarded = self.forward(peer, &operation).await;
                    forwarded.map_err(|next| err.join(next))
                }
                (outcome, _) => outcome,
            };
        }
        let Some(peer) = Self::pick_peer(gateway) else {
            let outcome = direct.await;
            self.record_outcome(outcome.as_ref().err());
            return outcome;
        };
        let forwarded = self.forward(peer, &operation);
        tokio::pin!(forwarded);
        tokio::select! {
            outcome = &mut direct => {
                self.record_outcome(outcome.as_ref().err());
                match outcome {
                    // The forwarded operation may be carried out whatever this one says.
                    Err(err) if err.is_unavailable() || err.is_not_done() => {
                        forwarded.await.map_err(|next| err.join(next))
                    }
                    outcome => outcome,
                }
            }
            outcome = &mut forwarded => {
                let err = match outcome {
                    Ok(output) => {
                        self.record_hedge_win();
                        return Ok(output);
                    }
                    Err(err) => err,
                };
                let outcome = direct.await;
                self.record_outcome(outcome.as_ref().err());
                outcome.map_err(|next| err.join(next))
            }
        }
    }

    fn record_hedge_win(&self) {
        self.hedge_wins.set(self.hedge_wins.get() + 1);
        if self.hedge_wins.get() >= MAX_HEDGE_WINS {
            let reason = "slower than through another gateway".to_owned();
            self.record_outcome(Some(&StoreError::Unknown { reason }));
        }
    }

    async fn forward(&self, peer: SocketAddr, operation: &Operation) -> Result<Output> {
        let unknown = |reason: String| StoreError::Unknown { reason };
        let body = postcard::to_stdvec(operation).map_err(|err| unknown(err.to_string()))?;
        let mut authenticated = Vec::with_capacity(body.len() + 16);
        append_authenticated(&self.key, 0, &body, &mut authenticated);
        let total_timeout = FORWARD_TIMEOUT + operation.wait();
        let req = self
            .client
            .post(format!("http://{peer}/store"))
            .timeout(total_timeout);
        let exchange = timeout(total_timeout, async {
            let mut res = req
                .send_body(authenticated)
                .await
                .map_err(|err| err.to_string())?;
            let body = res.body().limit(MAX_MESSAGE_BYTES);
            body.await.map_err(|err| err.to_string())
        });
        let body = match exchange.await {
            Ok(body) => body.map_err(unknown)?,
            Err(_) => return Err(unknown(format!("no response from gateway {peer}"))),
        };
        let body = verify(&self.key, 1, &body).map_err(|err| unknown(err.to_string()))?;
        let outcome: Result<Output> =
            postcard::from_bytes(body).map_err(|err| unknown(err.to_string()))?;
        outcome
    }
}

async fn perform(store: &dyn Store, operation: Operation) -> Result<Output> {
    match operation {
        Operation::Append {
            topic,
            part,
            records,
        } => {
            let append = store.append(&topic, part, records);
            append.await.map(Output::Appended)
        }
        Operation::Read {
            topic,
            part,
            from,
            max_bytes,
            wait_ms,
        } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
            let read = store.read(&topic, part, from, max_bytes, wait);
            read.await.map(Output::Page)
        }
        Operation::Newest { topic, after } => {
            let latest = store.latest(&topic, after.as_deref());
            latest.await.map(Output::Newest)
        }
    }
}

fn log_reachability(reader: &'static str, failure: Option<&StoreError>) {
    if let Some(err) = failure {
        event!(STORE_LOST, reader, reason: = err);
    } else {
        event!(STORE_BACK, reader);
    }
}

/// Tracks whether a reader's store operations succeed, and logs changes.
#[derive(Debug)]
pub struct StoreReachability {
    reader: &'static str,
    is_reachable: bool,
}

impl StoreReachability {
    /// Creates the state of a reader that has not failed.
    #[must_use]
    pub const fn new(reader: &'static str) -> Self {
        Self {
            reader,
            is_reachable: true,
        }
    }

    /// Records the outcome of an operation; returns whether it succeeded or
    /// failed only because records have expired.
    pub fn note(&mut self, failure: Option<&StoreError>) -> bool {
        // If the records have expired, the store did respond.
        let failure = failure.filter(|err| !matches!(err, StoreError::Expired { .. }));
        let is_reachable = failure.is_none();
        if self.is_reachable != is_reachable {
            self.is_reachable = is_reachable;
            log_reachability(self.reader, failure);
        }
        is_reachable
    }
}

/// Carries out a store operation for another gateway.
pub async fn serve(gateway: Rc<Gateway>, mut req: Request) -> crate::request::Response {
    let store = Rc::clone(&gateway.store);
    let body = match read_body(&mut req, MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(err) => {
            event!(MESSAGE_REFUSED, reason: = format!("{err:?}"));
            return crate::request::respond(400, "text/plain", "");
        }
    };
    let operation = verify(&store.key, 0, &body)
        .map_err(|err| err.to_string())
        .and_then(|body| postcard::from_bytes::<Operation>(body).map_err(|err| err.to_string()));
    let operation = match operation {
        Ok(operation) => operation,
        Err(reason) => {
            event!(MESSAGE_REFUSED, reason);
            return crate::request::respond(403, "text/plain", "");
        }
    };
    let outcome = perform(&*store.direct, operation).await;
    let body = postcard::to_stdvec(&outcome).unwrap_or_default();
    let mut authenticated = Vec::with_capacity(body.len() + 16);
    append_authenticated(&store.key, 1, &body, &mut authenticated);
    crate::request::respond(200, "application/octet-stream", authenticated)
}

impl FleetStore {
    /// Appends records to a partition, all or none, and returns the offset of
    /// the first.
    ///
    /// # Errors
    ///
    /// Returns an error if neither path to the store succeeded.
    pub async fn append(
        self: &Rc<Self>,
        topic: &str,
        part: u32,
        records: Vec<Bytes>,
    ) -> Result<u64> {
        let operation = Operation::Append {
            topic: topic.to_owned(),
            part,
            records,
        };
        match Rc::clone(self).execute(operation, HEDGE_DELAY).await? {
            Output::Appended(offset) => Ok(offset),
            _ => Err(mismatched_response()),
        }
    }

    /// Reads records starting at an offset; if there are none, waits up to
    /// `wait` for one.
    ///
    /// # Errors
    ///
    /// Returns an error if neither path to the store succeeded.
    pub async fn read(
        self: &Rc<Self>,
        topic: &str,
        part: u32,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> Result<RecordPage> {
        let large = Duration::ZERO;
        self.read_large(topic, part, from, max_bytes, wait, large)
            .await
    }

    /// Reads records as [`read`](Self::read) does. `transfer` is the time that the store may
    /// take to send them: a second read of large records through another gateway would
    /// add to what makes the first one slow.
    ///
    /// # Errors
    ///
    /// Returns an error if neither path to the store succeeded.
    pub async fn read_large(
        self: &Rc<Self>,
        topic: &str,
        part: u32,
        from: u64,
        max_bytes: usize,
        wait: Duration,
        transfer: Duration,
    ) -> Result<RecordPage> {
        let operation = Operation::Read {
            topic: topic.to_owned(),
            part,
            from,
            max_bytes,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let hedge_delay = HEDGE_DELAY + transfer;
        match Rc::clone(self).execute(operation, hedge_delay).await? {
            Output::Page(page) if page.from == from => Ok(page),
            _ => Err(mismatched_response()),
        }
    }

    /// Reads a page of the latest records of a compacted topic, starting after
    /// a key.
    ///
    /// # Errors
    ///
    /// Returns an error if neither path to the store succeeded.
    pub async fn latest(self: &Rc<Self>, topic: &str, after: Option<&str>) -> Result<LatestPage> {
        self.latest_large(topic, after, Duration::ZERO).await
    }

    /// Reads a page as [`latest`](Self::latest) does. `transfer` is the time that the store may
    /// take to send it.
    ///
    /// # Errors
    ///
    /// Returns an error if neither path to the store succeeded.
    pub async fn latest_large(
        self: &Rc<Self>,
        topic: &str,
        after: Option<&str>,
        transfer: Duration,
    ) -> Result<LatestPage> {
        let operation = Operation::Newest {
            topic: topic.to_owned(),
            after: after.map(str::to_owned),
        };
        let hedge_delay = HEDGE_DELAY + transfer;
        match Rc::clone(self).execute(operation, hedge_delay).await? {
            Output::Newest(latest) => Ok(latest),
            _ => Err(mismatched_response()),
        }
    }

    /// Encodes a record of a compacted topic.
    #[must_use]
    pub fn encode_keyed(&self, key: &str, value: Option<&[u8]>) -> Bytes {
        self.direct.encode_keyed(key, value)
    }

    /// Decodes a record of a compacted topic.
    #[must_use]
    pub fn decode_keyed(&self, record: &Bytes) -> Option<KeyedRecord> {
        self.direct.decode_keyed(record)
    }
}

fn mismatched_response() -> StoreError {
    StoreError::Unintelligible {
        reason: "response to another kind of operation".to_owned(),
    }
}
