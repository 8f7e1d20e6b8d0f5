/*!
Client side of the peer protocol.

There is one connection to each peer, opened at first use and shared by all
requests. When a connection ends, or membership declares its peer dead, every
attempt on it immediately receives [`AttemptEvent::Lost`]; the code that runs
the request decides what follows from the state of the attempt.

What has arrived and is not consumed yet is held in a
[`response_queue`](super::response_queue).
*/

use {
    super::{
        peer_server::read_hello,
        response_queue::{AttemptEvent, HeldBytes, HeldResponses, ResponseQueue},
    },
    crate::{metrics::Metrics, process::Identity},
    actix_rt::net::TcpStream,
    bytes::BytesMut,
    cicadagate_policy::ids::RequestId,
    cicadagate_wire::peer::{FromServer, PeerCodec, Side, Submit, ToServer},
    snafu::{OptionExt, Snafu},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        sync::{Mutex, Notify, mpsc, oneshot},
    },
};

/// A result of this module.
pub type Result<T, E = PeerError> = std::result::Result<T, E>;

/// Time within which a connection and its handshake must complete.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most messages that may be queued to a peer.
const MAX_QUEUED_MESSAGES: usize = 65_536;
/// Most bytes that are encoded before they are written.
const MAX_WRITE_BYTES: usize = 256 * 1024;
/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Why a call to a peer failed.
#[derive(Clone, Debug)]
#[derive(Snafu)]
pub enum PeerError {
    /// There is no connection, or its queue is full; nothing was sent.
    #[snafu(display("can't connect to the peer or queue a message"))]
    NotConnected,
    /// The connection ended, or no response came in time.
    #[snafu(display("no response from the peer"))]
    NoResponse,
}

type AttemptKey = (RequestId, u32);

/// State shared by a [`Connection`] and the task that runs its connection.
#[derive(Default)]
struct ConnectionState {
    attempts: RefCell<HashMap<AttemptKey, Rc<ResponseQueue>>>,
    calls: RefCell<HashMap<u64, oneshot::Sender<FromServer>>>,
    is_closed: Cell<bool>,
    close: Notify,
}

impl ConnectionState {
    fn close(&self) {
        self.is_closed.set(true);
        self.close.notify_one();
        self.calls.borrow_mut().clear();
        for (_, queue) in self.attempts.borrow_mut().drain() {
            queue.push_lost();
        }
    }

    /// Delivers a message. Returns the cancellation of its attempt if the response is
    /// given up.
    fn deliver(&self, message: FromServer) -> Option<ToServer> {
        match &message {
            FromServer::Drawn { seq, .. }
            | FromServer::Confirmed { seq, .. }
            | FromServer::Config { seq, .. }
            | FromServer::Batch { seq, .. } => {
                if let Some(tx) = self.calls.borrow_mut().remove(seq) {
                    // The call may have timed out.
                    let _ = tx.send(message);
                }
            }
            FromServer::Head { id, attempt, .. }
            | FromServer::Piece { id, attempt, .. }
            | FromServer::End { id, attempt, .. }
            | FromServer::Refused { id, attempt, .. }
            | FromServer::Failed { id, attempt, .. } => {
                // Messages of attempts that have been dropped are ignored.
                let key = (*id, *attempt);
                let mut attempts = self.attempts.borrow_mut();
                if attempts.get(&key)?.push(message) {
                    return None;
                }
                attempts.remove(&key);
                let (id, attempt) = key;
                return Some(ToServer::Cancel { id, attempt });
            }
        }
        None
    }
}

/// A connection to a peer.
struct Connection {
    tx: mpsc::Sender<ToServer>,
    shared: Rc<ConnectionState>,
}

/// A running attempt. Dropping it cancels the attempt at the peer.
pub struct AttemptHandle {
    key: AttemptKey,
    connection: Rc<Connection>,
    queue: Rc<ResponseQueue>,
}

impl AttemptHandle {
    /// Waits for the next event.
    pub async fn next(&self) -> AttemptEvent {
        self.queue.next().await
    }
}

impl Drop for AttemptHandle {
    fn drop(&mut self) {
        let was_open = self
            .connection
            .shared
            .attempts
            .borrow_mut()
            .remove(&self.key)
            .is_some();
        if was_open {
            let (id, attempt) = self.key;
            // A full queue is taken to mean a dead peer, which needs no
            // cancellation.
            let _ = self
                .connection
                .tx
                .try_send(ToServer::Cancel { id, attempt });
        }
    }
}

type ConnectionSlot = Rc<Mutex<Option<Rc<Connection>>>>;

/// The connections of a process to its peers.
pub struct PeerClient {
    identity: Rc<Identity>,
    metrics: Rc<Metrics>,
    slots: RefCell<HashMap<SocketAddr, ConnectionSlot>>,
    next_seq: Cell<u64>,
    responses: Rc<HeldResponses>,
}

impl PeerClient {
    /// Creates a set without connections.
    #[must_use]
    pub fn new(identity: Rc<Identity>, metrics: Rc<Metrics>) -> Self {
        Self {
            identity,
            metrics,
            slots: RefCell::default(),
            next_seq: Cell::new(1),
            responses: Rc::default(),
        }
    }

    /// Returns an empty reservation of bytes, which count as those of responses.
    #[must_use]
    pub fn hold(&self) -> HeldBytes {
        self.responses.hold()
    }

    /// Sends an attempt to the peer at `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no connection or its queue is full; nothing
    /// was sent.
    pub async fn submit(&self, addr: SocketAddr, submit: Submit) -> Result<AttemptHandle> {
        let connection = self.connection(addr).await?;
        let key = (submit.id, submit.attempt);
        let queue = self.responses.queue();
        connection
            .shared
            .attempts
            .borrow_mut()
            .insert(key, Rc::clone(&queue));
        let queued = connection
            .tx
            .try_send(ToServer::Submit(Box::new(submit)))
            .is_ok();
        if !queued {
            connection.shared.attempts.borrow_mut().remove(&key);
            return NotConnectedSnafu.fail();
        }
        Ok(AttemptHandle {
            key,
            connection,
            queue,
        })
    }

    /// Calls the peer at `addr` and waits for its response.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NotConnected`] if nothing was sent, and
    /// [`PeerError::NoResponse`] if no response came in time; the call may then
    /// have taken effect.
    pub async fn call(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        make: impl FnOnce(u64) -> ToServer,
    ) -> Result<FromServer> {
        let connection = self.connection(addr).await?;
        let seq = self.next_seq.get();
        self.next_seq.set(seq + 1);
        let (tx, rx) = oneshot::channel();
        connection.shared.calls.borrow_mut().insert(seq, tx);
        if connection.tx.try_send(make(seq)).is_err() {
            connection.shared.calls.borrow_mut().remove(&seq);
            return NotConnectedSnafu.fail();
        }
        let response = actix_rt::time::timeout(timeout, rx).await;
        connection.shared.calls.borrow_mut().remove(&seq);
        response
            .ok()
            .and_then(std::result::Result::ok)
            .context(NoResponseSnafu)
    }

    /// Closes the connection to a dead peer.
    pub fn close(&self, addr: SocketAddr) {
        let slot = self.slots.borrow_mut().remove(&addr);
        if let Some(slot) = slot
            && let Ok(connection) = slot.try_lock()
            && let Some(connection) = &*connection
        {
            connection.shared.close();
        }
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Rc<Connection>> {
        let slot = Rc::clone(self.slots.borrow_mut().entry(addr).or_default());
        // Concurrent calls wait here for the same connection.
        let mut connection = slot.lock().await;
        if let Some(connection) = connection
            .as_ref()
            .filter(|connection| !connection.shared.is_closed.get())
        {
            return Ok(Rc::clone(connection));
        }
        let connect = actix_rt::time::timeout(CONNECT_TIMEOUT, self.connect(addr));
        let (stream, codec) = connect
            .await
            .ok()
            .and_then(io::Result::ok)
            .context(NotConnectedSnafu)?;
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let new = Rc::new(Connection {
            tx,
            shared: Rc::default(),
        });
        let run = run_connection(
            stream,
            codec,
            rx,
            Rc::clone(&new.shared),
            Rc::clone(&self.metrics),
        );
        actix_rt::spawn(run);
        *connection = Some(Rc::clone(&new));
        Ok(new)
    }

    async fn connect(&self, addr: SocketAddr) -> io::Result<(TcpStream, PeerCodec<FromServer>)> {
        let key = &self.identity.key;
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let mut codec = PeerCodec::handshake(key, Side::Client);
        let client = self.identity.hello();
        let mut out = Vec::new();
        codec.encode(&client, &mut out);
        stream.write_all(&out).await?;
        let server = read_hello(&mut codec, &mut stream).await?;
        Ok((
            stream,
            codec.into_session(key, Side::Client, &client, &server),
        ))
    }
}

async fn run_connection(
    stream: TcpStream,
    mut codec: PeerCodec<FromServer>,
    mut rx: mpsc::Receiver<ToServer>,
    shared: Rc<ConnectionState>,
    metrics: Rc<Metrics>,
) {
    let (mut reader, mut writer) = stream.into_split();
    let mut buf = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let mut out = Vec::new();
    loop {
        tokio::select! {
            () = shared.close.notified() => break,
            read = reader.read_buf(&mut buf) => {
                if !matches!(read, Ok(1..)) {
                    break;
                }
                let bytes = buf.split();
                codec.feed(&bytes);
                let Some(cancels) = deliver_received(&mut codec, &shared) else {
                    break;
                };
                for cancel in &cancels {
                    codec.encode(cancel, &mut out);
                }
                if writer.write_all(&out).await.is_err() {
                    break;
                }
                out.clear();
            }
            message = rx.recv() => {
                let Some(message) = message else { break };
                codec.encode(&message, &mut out);
                while out.len() < MAX_WRITE_BYTES
                    && let Ok(message) = rx.try_recv()
                {
                    codec.encode(&message, &mut out);
                }
                metrics.peer_bytes.with_label_values(&["sent"]).inc_by(out.len() as u64);
                if writer.write_all(&out).await.is_err() {
                    break;
                }
                out.clear();
            }
        }
    }
    shared.close();
}

/// Delivers the received messages and returns the cancellations to send; `None` if a
/// message is invalid and the connection must be closed.
fn deliver_received(
    codec: &mut PeerCodec<FromServer>,
    shared: &ConnectionState,
) -> Option<Vec<ToServer>> {
    let mut cancels = Vec::new();
    while let Some(message) = codec.next_message().ok()? {
        cancels.extend(shared.deliver(message));
    }
    Some(cancels)
}
