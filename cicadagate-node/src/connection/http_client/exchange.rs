/*!
One request and its response on a connection to a replica.

# Problem

The response to a caller depends on how far a failed request got: until its
first byte is written it has not run; afterwards it may have. A replica may
respond before it has read the request, late, twice, or with bytes that are no
HTTP response. Another request must never receive any of those.

# Choice

A connection carries one request at a time. The request is written while the
response is read, so that an early response is not blocked by a long request
body. A response that echoes another request's id is read to its end, if that is
not far, and discarded; interim responses are skipped. A connection is reused only if the
request was written completely, the response ended by its own framing, and nothing
followed it.

A body without a length or chunks ends with its connection. If a part of the request is
still unsent then, the peer may have broken off as well, so such a body is not complete. An
early response with a length or chunks is, also if the rest of the request can't be written
any more.

An id identifies a response only among requests with different ids, and all runs of a batch
item have the same one. A connection therefore remembers the ids that it has carried, never
carries one again, and is closed after [`MAX_REQUESTS`] rather than forgetting any. A
response that echoes no id may be to any request that its connection has carried. It is
attributed only if that is a single one, and its connection is not reused, so a replica that
echoes no ids is served at the cost of a connection for each request. On a reused connection,
where each earlier response had an id, it fails the exchange at once: whether the request
runs is unknown, no other response is certain to follow, and a request that may run again is
better sent to another replica. Whether a response has a body depends on the method of its
request, so `HEAD` gets a connection of its own.

Peers that respond exactly once to each request need no ids: see [`Attribution`].

The kernel detects peers that are gone: TCP keep-alive probes and a timeout for
unacknowledged data end their connections. A replica that is only slow is waited
for.
*/

use {
    super::pool::PoolHandle,
    actix_http::{
        ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Version,
        body::BodySize,
        h1::{ClientCodec, ClientPayloadCodec, Message as Frame, MessageType},
        header::{self, HeaderMap, HeaderName},
    },
    actix_rt::net::TcpStream,
    bytes::{Buf, Bytes, BytesMut, buf::Chain},
    snafu::Snafu,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio::io::{AsyncReadExt, AsyncWriteExt},
    tokio_util::codec::{Decoder, Encoder},
};

/// A result of this module.
pub type Result<T, E = ExchangeError> = std::result::Result<T, E>;

/// Time for a replica to accept a connection. Far more than a handshake takes
/// within a region, far less than a route's latency objective.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without an acknowledgement after which the kernel ends a connection, in
/// milliseconds.
const TCP_USER_TIMEOUT_MS: u32 = 900;
/// Idle time before the first TCP keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the kernel ends a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Buffer space reserved for a read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Most responses read for one request, including those to other requests.
const MAX_RESPONSES_READ: usize = 4;
/// Highest status that HTTP defines.
const MAX_STATUS: u16 = 599;
/// Most interim (1xx) responses skipped before a response.
const MAX_INTERIM_RESPONSES: usize = 8;
/// Most requests that a connection carries. It remembers eight bytes for each.
const MAX_REQUESTS: usize = 128;
/// Most bytes of a response to another request that are read and discarded, to
/// get to the next response.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// Most bytes of the heads of a request's responses, interim and discarded ones included.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most bytes between two chunks of a body or after the last one: sizes, extensions and
/// trailers.
pub const MAX_CHUNK_FRAMING_BYTES: usize = 16 * 1024;

/// Why an exchange failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ExchangeError {
    /// No connection could be established: nothing was sent.
    #[snafu(display("no connection to {addr}: {source}"))]
    Connect {
        /// Replica's address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The sender no longer permitted to send when the connection was there: nothing was
    /// sent.
    #[snafu(display("not sent: what is known of the replica no longer permits it"))]
    Withheld,
    /// The connection ended before the response did: the request may have run.
    #[snafu(display("connection ended before an answer: {source}"))]
    Broken {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The replica sent an invalid response, or the request could not be
    /// encoded. Treated as if the request may have run.
    #[snafu(display("malformed request or response: {reason}"))]
    Malformed {
        /// What is malformed.
        reason: String,
    },
    /// Only responses to other requests arrived: the request may have run.
    #[snafu(display("received responses to other requests"))]
    MismatchedId,
    /// A response without an id arrived on a connection that had carried other
    /// requests: the request may have run.
    #[snafu(display("received a response that may be to another request"))]
    Unattributed,
}

impl ExchangeError {
    /// Returns whether the replica accepts no connections or its connection
    /// timed out.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        match self {
            Self::Connect { .. } => true,
            Self::Broken { source } => source.kind() == io::ErrorKind::TimedOut,
            Self::Malformed { .. } | Self::MismatchedId | Self::Unattributed | Self::Withheld => {
                false
            }
        }
    }

    /// Returns whether the replica refused the connection, as while it restarts.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Connect { source, .. } => source.kind() == io::ErrorKind::ConnectionRefused,
            Self::Broken { .. }
            | Self::Malformed { .. }
            | Self::MismatchedId
            | Self::Unattributed
            | Self::Withheld => false,
        }
    }

    /// Returns whether the replica did not respond at all.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::Connect { source, .. } | Self::Broken { source } => {
                source.kind() == io::ErrorKind::TimedOut
            }
            Self::Malformed { .. } | Self::MismatchedId | Self::Unattributed | Self::Withheld => {
                false
            }
        }
    }

    /// Returns whether the replica closed or reset the connection after the
    /// request was sent, as one does that crashes.
    #[must_use]
    pub fn is_closed_by_peer(&self) -> bool {
        match self {
            Self::Broken { source } => source.kind() != io::ErrorKind::TimedOut,
            Self::Connect { .. }
            | Self::Malformed { .. }
            | Self::MismatchedId
            | Self::Unattributed
            | Self::Withheld => false,
        }
    }

    /// Returns whether the replica may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect { .. } | Self::Withheld)
    }
}

/// A request to a replica.
#[derive(Debug)]
pub struct ReplicaRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without those about the connection or the body's length.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Response header that echoes the request's id, and the id. A response
    /// with another id is discarded. A request without one gets a connection of its own.
    pub id: Option<(HeaderName, String)>,
}

/// How the responses of a peer are attributed to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Attribution {
    /// By the id that they echo, since the peer may respond twice.
    #[default]
    ById,
    /// By their order, since the peer responds exactly once to each request. A
    /// response with another id is discarded all the same.
    ByOrder,
}

/// The rest of a request: its head, and its body, which is not copied.
type Unsent = Chain<BytesMut, Bytes>;

/// A connection to a replica.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    /// Hashes of the ids of the requests sent so far.
    carried: Vec<u64>,
}

impl Connection {
    /// Connects to a replica.
    pub(super) async fn open(addr: SocketAddr) -> Result<Self> {
        let connect = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(source)) => return Err(ExchangeError::Connect { addr, source }),
            Err(_) => {
                let source = io::ErrorKind::TimedOut.into();
                return Err(ExchangeError::Connect { addr, source });
            }
        };
        set_socket_options(&stream).map_err(|source| ExchangeError::Connect { addr, source })?;
        Ok(Self {
            stream,
            buf: BytesMut::new(),
            carried: Vec::new(),
        })
    }

    /// Returns whether a request with this id was sent on the connection. May be true
    /// for another id, which only costs a connection.
    pub(super) fn has_carried(&self, id: &str) -> bool {
        self.carried.contains(&hash_id(id))
    }

    /// Returns whether an idle connection is still open and has received no
    /// bytes, which would belong to no request.
    pub(super) fn is_open_and_empty(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buf.is_empty() && matches!(read, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }
}

fn hash_id(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    use rustix::net::sockopt;
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}

/// A response whose body has not been read.
#[derive(Debug)]
pub struct ReplicaResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body.
    pub body: Body,
    /// Whether the head echoes the request's id.
    pub echoes_id: bool,
    /// Requests that the connection had carried before.
    pub earlier_requests: u32,
}

/// What marks the end of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The response has no body.
    None,
    /// Its length is announced.
    Length,
    /// A last chunk.
    Chunked,
    /// The end of the connection.
    Close,
}

impl BodyFraming {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }

    /// Returns whether the body itself marks its end.
    #[must_use]
    pub const fn marks_end(self) -> bool {
        !matches!(self, Self::Close)
    }

    fn of(head: &ResponseHead, method: &Method) -> Self {
        let is_bodiless = method == Method::HEAD || matches!(head.status.as_u16(), 204 | 304);
        if is_bodiless {
            Self::None
        } else if head.headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunked
        } else if head.headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }
}

/// Reader of the rest of a body.
enum Remainder {
    /// The response has no body, or its body has ended.
    Ended,
    /// The body has a length or is chunked.
    Delimited(ClientPayloadCodec),
    /// The body ends with the connection.
    UntilClose,
}

/// The body of a response. Dropping it before its end closes the connection.
pub struct Body {
    conn: Option<Connection>,
    framing: BodyFraming,
    remainder: Remainder,
    /// Bytes since the last chunk that are no part of the body.
    framing_bytes: usize,
    unsent: Unsent,
    /// Where the connection goes after the response, if it may be reused.
    pool_handle: Option<PoolHandle>,
    keep_alive_timeout: Option<Duration>,
    /// Whether the connection may be reused after the response (HTTP
    /// keep-alive).
    is_kept: bool,
}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Body")
            .field("is_kept", &self.is_kept)
            .finish_non_exhaustive()
    }
}

/// Sends a request on a connection of its own and reads the head of its
/// response.
///
/// # Errors
///
/// Returns an error if there is no response; the error says whether the request
/// may have run.
pub async fn send_once(addr: SocketAddr, req: &ReplicaRequest) -> Result<ReplicaResponse> {
    let conn = Connection::open(addr).await?;
    exchange(conn, None, Attribution::ById, req, |_, _| ()).await
}

/// Returns whether a request may use a connection with others before or after it.
pub(super) fn allows_reuse(req: &ReplicaRequest) -> bool {
    req.id.is_some() && req.method != Method::HEAD
}

/// Why a response was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// It echoes the id of another request.
    OtherRequest,
    /// It echoes no id and may be to another request.
    Unattributed,
}

impl DiscardReason {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OtherRequest => "other_request",
            Self::Unattributed => "unattributed",
        }
    }
}

/// Whose id a response echoes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Echo {
    Own,
    Other,
    Missing,
}

fn echo(headers: &HeaderMap, req: &ReplicaRequest) -> Echo {
    let Some((name, id)) = &req.id else {
        return Echo::Missing;
    };
    let mut echoed = headers.get_all(name).peekable();
    if echoed.peek().is_none() {
        Echo::Missing
    } else if echoed.all(|echoed| echoed.as_bytes() == id.as_bytes()) {
        Echo::Own
    } else {
        Echo::Other
    }
}

/// Sends a request on a connection and reads the head of its response.
/// `on_discarded` is called with the heads of responses that are not known to be to
/// this request.
pub(super) async fn exchange(
    mut conn: Connection,
    pool_handle: Option<PoolHandle>,
    attribution: Attribution,
    req: &ReplicaRequest,
    on_discarded: impl Fn(ResponseHead, DiscardReason),
) -> Result<ReplicaResponse> {
    let mut codec = ClientCodec::default();
    let mut unsent = encode(&mut codec, req)?;
    let earlier_requests = u32::try_from(conn.carried.len()).unwrap_or(u32::MAX);
    let id = req.id.as_ref().map_or("", |(_, id)| id.as_str());
    conn.carried.push(hash_id(id));
    let mut head_bytes = 0;
    for _ in 0..MAX_RESPONSES_READ {
        let head = read_final_head(&mut conn, &mut codec, &mut unsent, &mut head_bytes).await?;
        let echo = echo(&head.headers, req);
        let is_attributed = echo == Echo::Own || attribution == Attribution::ByOrder;
        if echo == Echo::Missing && !is_attributed && earlier_requests > 0 {
            on_discarded(head, DiscardReason::Unattributed);
            return Err(ExchangeError::Unattributed);
        }
        let keep_alive_timeout = keep_alive_timeout(&head.headers);
        let framing = BodyFraming::of(&head, &req.method);
        if framing == BodyFraming::Chunked && codec.message_type() == MessageType::None {
            return Err(ExchangeError::Malformed {
                reason: "transfer coding that is not chunked".to_owned(),
            });
        }
        let is_own = echo != Echo::Other;
        let is_reusable = is_attributed && allows_reuse(req) && conn.carried.len() < MAX_REQUESTS;
        let is_kept = codec.keep_alive() && (is_reusable || !is_own);
        let mut body = Body {
            conn: Some(conn),
            framing,
            remainder: remainder(codec, framing),
            framing_bytes: 0,
            unsent,
            pool_handle: pool_handle.clone(),
            keep_alive_timeout,
            is_kept,
        };
        if is_own {
            if matches!(body.remainder, Remainder::Ended) {
                body.return_to_pool();
            }
            return Ok(ReplicaResponse {
                head,
                body,
                echoes_id: echo == Echo::Own,
                earlier_requests,
            });
        }
        on_discarded(head, DiscardReason::OtherRequest);
        // A response to another method may have a body.
        if req.method == Method::HEAD {
            return Err(ExchangeError::MismatchedId);
        }
        let mut discarded = 0;
        while let Some(chunk) = body.read_chunk().await {
            discarded += chunk?.len();
            if discarded > MAX_DISCARDED_BYTES {
                return Err(ExchangeError::MismatchedId);
            }
        }
        let Some(reusable) = body.conn.take().filter(|_| body.is_kept) else {
            return Err(ExchangeError::MismatchedId);
        };
        conn = reusable;
        unsent = std::mem::replace(&mut body.unsent, BytesMut::new().chain(Bytes::new()));
        codec = ClientCodec::default();
    }
    Err(ExchangeError::MismatchedId)
}

/// Returns the reader of a response body. The codec treats a response without a
/// length and without chunks as one without a body, but in HTTP its body ends
/// with the connection.
fn remainder(codec: ClientCodec, framing: BodyFraming) -> Remainder {
    match (framing, codec.message_type()) {
        (BodyFraming::Close, _) => Remainder::UntilClose,
        (BodyFraming::None, _) | (_, MessageType::None) => Remainder::Ended,
        (_, MessageType::Payload | MessageType::Stream) => {
            Remainder::Delimited(codec.into_payload_codec())
        }
    }
}

fn encode(codec: &mut ClientCodec, req: &ReplicaRequest) -> Result<Unsent> {
    let malformed = |err: &dyn std::fmt::Display| ExchangeError::Malformed {
        reason: format!("request can't be encoded: {err}"),
    };
    let mut head = RequestHead::default();
    head.method = req.method.clone();
    head.uri = req.target.parse().map_err(|err| malformed(&err))?;
    head.version = Version::HTTP_11;
    head.headers = req.headers.clone();
    head.set_connection_type(ConnectionType::KeepAlive);
    let size = if req.body.is_empty() && matches!(req.method, Method::GET | Method::HEAD) {
        BodySize::None
    } else {
        BodySize::Sized(req.body.len() as u64)
    };
    let mut out = BytesMut::new();
    let head = RequestHeadType::Owned(head);
    codec
        .encode(Frame::Item((head, size)), &mut out)
        .map_err(|err| malformed(&err))?;
    Ok(out.chain(req.body.clone()))
}

/// Reads the head of the response, after interim responses.
async fn read_final_head(
    conn: &mut Connection,
    codec: &mut ClientCodec,
    unsent: &mut Unsent,
    head_bytes: &mut usize,
) -> Result<ResponseHead> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = read_head(conn, codec, unsent, head_bytes).await?;
        if head.status.as_u16() > MAX_STATUS {
            return Err(ExchangeError::Malformed {
                reason: format!("status {}", head.status.as_u16()),
            });
        }
        if !head.status.is_informational() {
            return Ok(head);
        }
        // No request asks for another protocol.
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            break;
        }
        *codec = ClientCodec::default();
    }
    Err(ExchangeError::Malformed {
        reason: "no final response after interim ones".to_owned(),
    })
}

async fn read_head(
    conn: &mut Connection,
    codec: &mut ClientCodec,
    unsent: &mut Unsent,
    head_bytes: &mut usize,
) -> Result<ResponseHead> {
    loop {
        let received = conn.buf.len();
        let head = codec.decode(&mut conn.buf);
        let is_complete = matches!(head, Ok(Some(_)));
        let decoded = received - conn.buf.len();
        let partial = if is_complete { 0 } else { conn.buf.len() };
        *head_bytes += decoded;
        if *head_bytes + partial > MAX_HEAD_BYTES {
            return Err(ExchangeError::Malformed {
                reason: "heads exceed the maximum size".to_owned(),
            });
        }
        match head {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(err) => {
                return Err(ExchangeError::Malformed {
                    reason: err.to_string(),
                });
            }
        }
        let read = transfer(conn, unsent)
            .await
            .map_err(|source| ExchangeError::Broken { source })?;
        if read == 0 {
            let source = io::ErrorKind::UnexpectedEof.into();
            return Err(ExchangeError::Broken { source });
        }
    }
}

/// Reads, while writing the rest of the request; returns the number of bytes
/// read.
async fn transfer(conn: &mut Connection, unsent: &mut Unsent) -> io::Result<usize> {
    conn.buf.reserve(READ_BUFFER_BYTES);
    if !unsent.has_remaining() {
        return conn.stream.read_buf(&mut conn.buf).await;
    }
    let (mut reader, mut writer) = conn.stream.split();
    loop {
        tokio::select! {
            biased;
            read = reader.read_buf(&mut conn.buf) => return read,
            written = writer.write_buf(unsent), if unsent.has_remaining() => {
                let Err(err) = written else { continue };
                // What has arrived may hold a complete response.
                let read = reader.read_buf(&mut conn.buf).await?;
                return if read == 0 { Err(err) } else { Ok(read) };
            }
        }
    }
}

/// Returns the time for which a replica keeps an idle connection open, if its
/// `Keep-Alive` header has it.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}

impl Body {
    /// Returns what marks the body's end.
    #[must_use]
    pub const fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns the next bytes, or `None` at the body's end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or fails before the body's end,
    /// or if the body is malformed.
    pub async fn chunk(&mut self) -> Option<Result<Bytes>> {
        let chunk = self.read_chunk().await;
        match &chunk {
            None => self.return_to_pool(),
            Some(Err(_)) => self.conn = None,
            Some(Ok(_)) => {}
        }
        chunk
    }

    async fn read_chunk(&mut self) -> Option<Result<Bytes>> {
        loop {
            let conn = self.conn.as_mut()?;
            match &mut self.remainder {
                Remainder::Ended => return None,
                Remainder::UntilClose if !conn.buf.is_empty() => {
                    return Some(Ok(conn.buf.split().freeze()));
                }
                Remainder::UntilClose => {}
                Remainder::Delimited(codec) => {
                    let received = conn.buf.len();
                    let decoded = codec.decode(&mut conn.buf);
                    let taken = received.saturating_sub(conn.buf.len());
                    match decoded {
                        Ok(Some(Some(chunk))) => {
                            self.framing_bytes = 0;
                            return Some(Ok(chunk));
                        }
                        Ok(Some(None)) => {
                            self.remainder = Remainder::Ended;
                            return None;
                        }
                        Ok(None) => self.framing_bytes += taken,
                        Err(err) => {
                            let reason = err.to_string();
                            return Some(Err(ExchangeError::Malformed { reason }));
                        }
                    }
                    if self.framing_bytes > MAX_CHUNK_FRAMING_BYTES {
                        let reason = "framing of chunks exceeds the maximum size".to_owned();
                        return Some(Err(ExchangeError::Malformed { reason }));
                    }
                }
            }
            match transfer(conn, &mut self.unsent).await {
                Ok(0)
                    if matches!(self.remainder, Remainder::UntilClose)
                        && !self.unsent.has_remaining() =>
                {
                    self.is_kept = false;
                    self.remainder = Remainder::Ended;
                    return None;
                }
                Ok(0) => {
                    let source = io::ErrorKind::UnexpectedEof.into();
                    return Some(Err(ExchangeError::Broken { source }));
                }
                Ok(_) => {}
                Err(source) => return Some(Err(ExchangeError::Broken { source })),
            }
        }
    }

    /// Returns the connection to the pool if it can carry another request, and
    /// closes it otherwise.
    fn return_to_pool(&mut self) {
        let Some(conn) = self.conn.take() else {
            return;
        };
        let is_reusable = self.is_kept && conn.buf.is_empty() && !self.unsent.has_remaining();
        if let Some(pool_handle) = self.pool_handle.as_ref().filter(|_| is_reusable) {
            pool_handle.put_back(conn, self.keep_alive_timeout);
        }
    }
}
