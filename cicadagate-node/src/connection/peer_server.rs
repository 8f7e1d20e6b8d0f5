/*!
Server side of the peer protocol.

A connection is closed if its handshake does not prove in time that the peer
has the fleet's key. Responses are queued per connection up to a limit.
Messages beyond it are dropped. The peer detects a missing piece and treats the
attempt as failed; if the response to a call or the end of an attempt is
missing, the peer's call or request times out.

The sender of pieces waits for [`PeerSender::ready`], so that a peer that doesn't
read stops the endpoints that answer it. The connections share a bound on queued
bytes equally.
*/

use {
    crate::{event, process::Node},
    actix_rt::net::{TcpListener, TcpStream},
    bytes::BytesMut,
    cicadagate_wire::peer::{FromServer, Hello, PROTOCOL_VERSION, PeerCodec, Side, ToServer},
    std::{cell::Cell, io, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        sync::{Notify, mpsc},
    },
};

/// Time within which the handshake must complete.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Most messages that may be queued on a connection.
const MAX_QUEUED_MESSAGES: usize = 65_536;
/// Bytes queued on all connections together from which senders of pieces wait.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;
/// Most bytes that are encoded before they are written.
const MAX_WRITE_BYTES: usize = 256 * 1024;
/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The bytes that are queued on one connection.
#[derive(Debug)]
struct QueuedBytes {
    bytes: Cell<usize>,
    /// Notified when messages were taken from the queue or the connection ended.
    taken: Notify,
    open_connections: Rc<Cell<usize>>,
}

impl QueuedBytes {
    fn is_full(&self) -> bool {
        self.bytes.get() >= MAX_QUEUED_BYTES / self.open_connections.get().max(1)
    }

    fn take(&self, message: &FromServer) {
        let bytes = self.bytes.get().saturating_sub(message.held_bytes());
        self.bytes.set(bytes);
        self.taken.notify_waiters();
    }
}

/// The sending half of one peer's connection.
#[derive(Clone, Debug)]
pub struct PeerSender {
    tx: mpsc::Sender<FromServer>,
    queued: Rc<QueuedBytes>,
}

impl PeerSender {
    /// Queues a message, or drops it if the queue is full or the connection has
    /// ended. The peer detects a dropped piece as missing.
    pub fn send(&self, message: FromServer) {
        let bytes = message.held_bytes();
        if self.tx.try_send(message).is_ok() {
            self.queued.bytes.set(self.queued.bytes.get() + bytes);
        }
    }

    /// Waits until the queue has room for a piece, or the connection has ended.
    pub async fn ready(&self) {
        loop {
            let taken = self.queued.taken.notified();
            if !self.queued.is_full() || self.is_closed() {
                return;
            }
            taken.await;
        }
    }

    /// Returns whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}

/// Handles a role's messages from peers.
pub trait PeerHandler {
    /// Handles a message; responses are sent to `sender`.
    fn handle(&self, sender: &PeerSender, message: ToServer);

    /// Called when a connection has ended.
    fn closed(&self, sender: &PeerSender);
}

/// Serves connections of peers until the returned future is dropped.
pub async fn serve(node: Rc<Node>, listener: TcpListener, handler: Rc<dyn PeerHandler>) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if open.get() >= node.settings.max_connections {
            node.metrics
                .refused_messages
                .with_label_values(&["connection"])
                .inc();
            event!(CONNECTION_REFUSED, open = open.get());
            continue;
        }
        open.set(open.get() + 1);
        let (node, handler, open) = (Rc::clone(&node), Rc::clone(&handler), Rc::clone(&open));
        actix_rt::spawn(async move {
            if let Err(err) = serve_peer(&node, stream, &*handler, &open).await {
                node.metrics
                    .refused_messages
                    .with_label_values(&["frame"])
                    .inc();
                event!(MESSAGE_REFUSED, reason = err.to_string());
            }
            open.set(open.get() - 1);
        });
    }
}

async fn serve_peer(
    node: &Rc<Node>,
    mut stream: TcpStream,
    handler: &dyn PeerHandler,
    open_connections: &Rc<Cell<usize>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let hello = actix_rt::time::timeout(HELLO_TIMEOUT, handshake(node, &mut stream));
    let mut codec = hello
        .await
        .map_err(|_| io::Error::other("no hello within the timeout"))??;
    let (tx, mut rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let queued = Rc::new(QueuedBytes {
        bytes: Cell::new(0),
        taken: Notify::new(),
        open_connections: Rc::clone(open_connections),
    });
    let sender = PeerSender {
        tx,
        queued: Rc::clone(&queued),
    };
    let (mut reader, mut writer) = stream.into_split();
    let mut buf = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let mut out = Vec::new();
    let result = loop {
        tokio::select! {
            read = reader.read_buf(&mut buf) => match read {
                Ok(0) | Err(_) => break Ok(()),
                Ok(_) => {
                    let bytes = buf.split();
                    codec.feed(&bytes);
                    if let Err(err) = handle_received(node, &mut codec, &sender, handler) {
                        break Err(err);
                    }
                }
            },
            message = rx.recv() => {
                let Some(message) = message else { break Ok(()) };
                queued.take(&message);
                codec.encode(&message, &mut out);
                while out.len() < MAX_WRITE_BYTES
                    && let Ok(message) = rx.try_recv()
                {
                    queued.take(&message);
                    codec.encode(&message, &mut out);
                }
                node.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(out.len() as u64);
                if writer.write_all(&out).await.is_err() {
                    break Ok(());
                }
                out.clear();
            }
        }
    };
    rx.close();
    queued.taken.notify_waiters();
    handler.closed(&sender);
    result
}

fn handle_received(
    node: &Rc<Node>,
    codec: &mut PeerCodec<ToServer>,
    sender: &PeerSender,
    handler: &dyn PeerHandler,
) -> io::Result<()> {
    while let Some(message) = codec.next_message().map_err(io::Error::other)? {
        match node.respond_common(&message) {
            // Dropped if the queue is full; the peer's call then times out.
            Some(response) => {
                sender.send(response);
            }
            None => handler.handle(sender, message),
        }
    }
    Ok(())
}

async fn handshake(node: &Node, stream: &mut TcpStream) -> io::Result<PeerCodec<ToServer>> {
    let mut codec = PeerCodec::handshake(&node.key, Side::Server);
    let client = read_hello(&mut codec, stream).await?;
    let server = node.hello();
    let mut out = Vec::new();
    codec.encode(&server, &mut out);
    stream.write_all(&out).await?;
    Ok(codec.into_session(&node.key, Side::Server, &client, &server))
}

/// Reads the peer's hello.
///
/// # Errors
///
/// Returns an error if the connection fails or ends, if the message is not
/// authenticated by the fleet's key, or if the peer uses another version of the
/// protocol.
pub(crate) async fn read_hello(
    codec: &mut PeerCodec<Hello>,
    stream: &mut TcpStream,
) -> io::Result<Hello> {
    let mut buf = [0; 512];
    loop {
        if let Some(hello) = codec.next_message().map_err(io::Error::other)? {
            if hello.protocol != PROTOCOL_VERSION {
                return Err(io::Error::other(
                    "peer uses another version of the protocol",
                ));
            }
            return Ok(hello);
        }
        let read = stream.read(&mut buf).await?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        codec.feed(&buf[..read]);
    }
}
