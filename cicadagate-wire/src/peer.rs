/*!
Requests and responses between processes, over TCP.

One connection multiplexes many requests. Each frame is a length, a MAC and a
`postcard` message. A connection starts with a [`Hello`] from each side,
authenticated with a subkey of the fleet's key; all later frames are
authenticated with session keys that are also derived from both nonces.

The response to an attempt is a `Head` for plain services, any number of
`Piece`s, numbered from the start of the response, and an `End` with the number
of pieces. A failed attempt ends with `Refused` (it has not run) or with
`Failed`, which says how far it got. If the connection is lost before `End`,
`Refused` or `Failed`, the connecting side must assume that the attempt may have
run. A message that reports when the attempt was sent to the endpoint would not
help, since it could be lost with the connection.

Some messages refer to the *roster*, the members that may hold shares of
customers' rate limits. It is agreed on through the log. A *witness* is a member
of the roster that confirms to other processes that it knows no later
configuration version than theirs.
*/

use {
    crate::{
        key::FleetKey,
        mac::{DecodeError, MAC_BYTES, Result, append_authenticated, verify},
    },
    bytes::{Buf, Bytes, BytesMut},
    cicadagate_policy::{
        ids::{CustomerId, EndpointId, FileId, JobId, MemberId, Offset, RequestId},
        process::{replica_queue::Class, share_holder::GrantOutcome},
        request::attempt::Progress,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::marker::PhantomData,
};

/// Maximum length of a frame, in bytes. File uploads are the longest messages.
pub const MAX_FRAME_BYTES: usize = 96 * 1024 * 1024;
/// Maximum length of a [`Hello`] frame, in bytes.
const MAX_HELLO_BYTES: usize = 256;

/// First frame that each side sends.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender, see [`PROTOCOL_VERSION`].
    pub protocol: u32,
    /// Random nonce for the session keys.
    pub nonce: [u8; 16],
    /// Member that sends it.
    pub member: MemberId,
}

/// Version of the peer protocol.
pub const PROTOCOL_VERSION: u32 = 1;

/// Kind of endpoint that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndpointKind {
    /// A model engine; the response is a stream of token events.
    Engine,
    /// A plain service; the response is relayed unchanged.
    Service,
}

/// One attempt at running a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submit {
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Priority class.
    pub class: Class,
    /// Customer that the request is accounted to.
    pub customer: CustomerId,
    /// Replica that the attempt is sent to.
    pub endpoint: EndpointId,
    /// Kind of that replica.
    pub target: EndpointKind,
    /// HTTP method.
    pub method: String,
    /// Path and query string.
    pub path: String,
    /// Headers, without the caller's API key in any form.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Estimated work, in tokens.
    pub cost: u64,
    /// Maximum time until the attempt starts, in milliseconds.
    pub start_within_ms: u64,
    /// Number of response pieces that were received in earlier attempts.
    pub resume_from: u64,
    /// Whether to accept the attempt even if the load has reached the bound.
    pub force: bool,
    /// Load from which the replica's owner refuses the attempt.
    pub load_bound: u64,
    /// Hash of the API key that the request was sent with, if any.
    pub key: Option<[u8; 32]>,
    /// Whether the caller sent an idempotency key: a retry with the same id
    /// must get the response of the first run.
    pub keyed: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// W3C trace context, as in the `traceparent` header.
    pub traceparent: String,
}

/// Why an attempt was refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RefusalReason {
    /// The queueing delay would be too long; retry after this many
    /// milliseconds.
    WouldWait(u64),
    /// The queue is full; retry after this many milliseconds.
    Full(u64),
    /// The replica's load has reached the bound.
    OverBound,
    /// The endpoint is draining and takes no new work.
    Leaving,
    /// The process does not have the endpoint in its instance list.
    UnknownEndpoint,
    /// The same request is queued or running.
    Duplicate,
    /// The endpoint could not be reached.
    Unreachable,
    /// The attempt was queued until its start deadline had passed.
    Expired,
    /// The process does not take new work: it is shutting down.
    Stopping,
    /// The API key was withdrawn while the attempt was queued.
    KeyWithdrawn,
    /// The log, which records whether the request has run before, is
    /// unavailable.
    LogUnavailable,
}

/// A remote call to a batch process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum BatchCall {
    /// Stores a file.
    PutFile {
        /// Customer that owns it.
        customer: String,
        /// File name given by the caller.
        name: String,
        /// Contents.
        body: Bytes,
    },
    /// Reads a file.
    GetFile {
        /// Customer that calls.
        customer: String,
        /// File to read.
        file: FileId,
    },
    /// Reads a job's results.
    GetOutput {
        /// Customer that calls.
        customer: String,
        /// Job to read.
        job: JobId,
        /// Whether to return the failed items instead of the completed ones.
        failed: bool,
    },
    /// Creates a job.
    Create {
        /// Customer that owns it.
        customer: String,
        /// Input file.
        file: FileId,
        /// Path that each item is sent to.
        endpoint: String,
        /// Key that identifies retries of the same call.
        idempotency_key: String,
    },
    /// Returns a job's status.
    Get {
        /// Customer that calls, empty for operators.
        customer: String,
        /// Job to return.
        job: JobId,
    },
    /// Lists jobs.
    List {
        /// Customer that calls, empty for operators.
        customer: String,
    },
    /// Cancels a job.
    Cancel {
        /// Customer that calls, empty for operators.
        customer: String,
        /// Job to cancel.
        job: JobId,
    },
}

/// Status of a batch job, as returned to callers and operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobStatus {
    /// Id.
    pub id: JobId,
    /// Customer that owns it.
    pub customer: String,
    /// Input file.
    pub file: FileId,
    /// Path that each item is sent to.
    pub endpoint: String,
    /// State, as named in the callers' HTTP API.
    pub state: String,
    /// Number of items.
    pub items: u32,
    /// Number of items that completed.
    pub completed: u32,
    /// Number of items that failed.
    pub failed: u32,
    /// Process that has claimed the job, or empty.
    pub claimant: String,
    /// Time of creation, in seconds since the Unix epoch.
    pub created: u64,
    /// Time until which the job is kept, in seconds since the Unix epoch.
    pub keep_until: u64,
}

/// Error code of a call that may still take effect. The errors of all other
/// codes say that it has not and never will.
pub const OUTCOME_UNKNOWN: &str = "outcome_unknown";

/// A batch process's response to a [`BatchCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum BatchReply {
    /// A stored file.
    File {
        /// Id of the file.
        id: FileId,
        /// Length in bytes.
        bytes: u64,
        /// Time of the upload, in seconds since the Unix epoch.
        created: u64,
        /// File name given by the caller.
        name: String,
    },
    /// Contents of a file.
    Content(Bytes),
    /// Status of a job.
    Job(Box<JobStatus>),
    /// Status of each listed job.
    Jobs(Vec<JobStatus>),
    /// The call failed.
    Error {
        /// Stable error code.
        code: String,
        /// Description of the error.
        message: String,
        /// Delay before a retry in milliseconds, 0 if a retry is pointless.
        retry_ms: u64,
    },
}

/// A message from the connecting side.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum ToServer {
    /// Runs an attempt.
    Submit(Box<Submit>),
    /// Cancels an attempt and discards its response.
    Cancel {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Requests a grant of tokens from a member that holds a share of the
    /// customer's token bucket.
    Draw {
        /// Number of the call on this connection.
        seq: u64,
        /// Customer.
        customer: CustomerId,
        /// Maximum number of tokens; each admits one request.
        want: u32,
    },
    /// Asks a witness to confirm the roster and the configuration version.
    Confirm {
        /// Number of the call on this connection.
        seq: u64,
        /// Hashes of the withdrawn API keys that the sender knows of.
        withdrawn: Vec<[u8; 32]>,
    },
    /// Fetches the configuration in force.
    FetchConfig {
        /// Number of the call on this connection.
        seq: u64,
    },
    /// A call to a batch process.
    Batch {
        /// Number of the call on this connection.
        seq: u64,
        /// The call.
        call: BatchCall,
    },
}

/// A message to the connecting side.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum FromServer {
    /// Status and headers of a plain service's response.
    Head {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, String)>,
    },
    /// A piece of the response.
    Piece {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Position in the complete response, counted over all attempts.
        index: u64,
        /// Contents.
        body: Bytes,
    },
    /// The response is complete.
    End {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Number of pieces in the complete response.
        pieces: u64,
        /// The engine's finish reason, empty for a plain service.
        finish: String,
        /// Number of prompt tokens, as counted by the engine.
        prompt_tokens: u64,
        /// Load of the replica.
        load: u64,
    },
    /// The attempt has not run and will not.
    Refused {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Load of the replica.
        load: u64,
    },
    /// The attempt failed.
    Failed {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How far the attempt got.
        progress: Progress,
        /// Whether the failure is final: another attempt would fail as well.
        permanent: bool,
        /// HTTP status of the failure, 0 if none.
        status: u16,
        /// Description of the failure.
        detail: String,
    },
    /// Responds to [`ToServer::Draw`].
    Drawn {
        /// Number of the call.
        seq: u64,
        /// The grant, or why there is none.
        draw: GrantOutcome,
    },
    /// Responds to [`ToServer::Confirm`].
    Confirmed {
        /// Number of the call.
        seq: u64,
        /// Epoch of the witness's roster; `None` if it may not confirm.
        epoch: Option<Offset>,
        /// Version of the witness's configuration.
        version: Offset,
        /// Hashes of the withdrawn API keys that the witness knows of.
        withdrawn: Vec<[u8; 32]>,
    },
    /// Responds to [`ToServer::FetchConfig`].
    Config {
        /// Number of the call.
        seq: u64,
        /// Replicated state of the configuration, encoded with `postcard`.
        state: Bytes,
    },
    /// Responds to [`ToServer::Batch`].
    Batch {
        /// Number of the call.
        seq: u64,
        /// The response.
        reply: BatchReply,
    },
}

/// Bytes that a message takes beside its content.
const MESSAGE_OVERHEAD_BYTES: usize = 256;

impl FromServer {
    /// Returns roughly how many bytes a message of an attempt takes while it is held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let content = match self {
            Self::Piece { body, .. } => body.len(),
            Self::Head { headers, .. } => headers
                .iter()
                .map(|(name, value)| name.len() + value.len() + MESSAGE_OVERHEAD_BYTES)
                .sum(),
            Self::Failed { detail, .. } => detail.len(),
            Self::End { finish, .. } => finish.len(),
            _ => 0,
        };
        content + MESSAGE_OVERHEAD_BYTES
    }
}

/// Encodes and decodes the frames of one side of a connection. `In` is the type
/// of the messages that this side receives.
#[derive(Debug)]
pub struct PeerCodec<In> {
    send_key: [u8; 32],
    send_sequence: u64,
    receive_key: [u8; 32],
    receive_sequence: u64,
    max_frame_bytes: usize,
    buf: BytesMut,
    message: PhantomData<fn() -> In>,
}

/// Side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that connected.
    Client,
    /// The side that accepted the connection.
    Server,
}

impl Side {
    const fn label(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Server => "server",
        }
    }

    const fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

impl PeerCodec<Hello> {
    /// Creates the codec for the [`Hello`] frames.
    #[must_use]
    pub fn handshake(key: &FleetKey, side: Side) -> Self {
        let derive = |side: Side| key.derive_subkey(&format!("peer hello v1 {}", side.label()));
        Self {
            send_key: derive(side),
            send_sequence: 0,
            receive_key: derive(side.other()),
            receive_sequence: 0,
            max_frame_bytes: MAX_HELLO_BYTES,
            buf: BytesMut::new(),
            message: PhantomData,
        }
    }

    /// Switches to the session keys, once both sides' hellos are known.
    ///
    /// Bytes that were received but not yet decoded are kept.
    #[must_use]
    pub fn into_session<In>(
        self,
        key: &FleetKey,
        side: Side,
        client: &Hello,
        server: &Hello,
    ) -> PeerCodec<In> {
        let derive = |side: Side| {
            let mut material = key.derive_subkey("peer session v1").to_vec();
            material.extend_from_slice(&client.nonce);
            material.extend_from_slice(&server.nonce);
            blake3::derive_key(
                &format!("cicadagate peer session {}", side.label()),
                &material,
            )
        };
        PeerCodec {
            send_key: derive(side),
            send_sequence: 0,
            receive_key: derive(side.other()),
            receive_sequence: 0,
            max_frame_bytes: MAX_FRAME_BYTES,
            buf: self.buf,
            message: PhantomData,
        }
    }
}

impl<In: DeserializeOwned> PeerCodec<In> {
    /// Appends a message to `out` as a frame.
    pub fn encode<T: Serialize>(&mut self, message: &T, out: &mut Vec<u8>) {
        let body = postcard::to_stdvec(message).unwrap_or_default();
        let bytes = u32::try_from(body.len() + MAC_BYTES).unwrap_or(u32::MAX);
        out.extend_from_slice(&bytes.to_be_bytes());
        append_authenticated(&self.send_key, self.send_sequence, &body, out);
        self.send_sequence += 1;
    }

    /// Appends received bytes to the decode buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Decodes the next message; returns `None` until its frame is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long, if its MAC does not match at
    /// this position in the stream, or if the message can't be decoded. The
    /// connection can't be used after an error.
    pub fn next_message(&mut self) -> Result<Option<In>> {
        let Some((head, rest)) = self.buf.split_first_chunk::<4>() else {
            return Ok(None);
        };
        let bytes = u32::from_be_bytes(*head) as usize;
        if bytes > self.max_frame_bytes {
            return Err(DecodeError::TooLong { bytes });
        }
        let Some(frame) = rest.get(..bytes) else {
            return Ok(None);
        };
        let body = verify(&self.receive_key, self.receive_sequence, frame)?;
        let message = postcard::from_bytes(body).map_err(|_| DecodeError::Undecodable)?;
        self.receive_sequence += 1;
        self.buf.advance(4 + bytes);
        Ok(Some(message))
    }
}
