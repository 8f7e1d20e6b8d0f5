/*!
Requests and answers between processes, over TCP.

One connection carries many requests at once. Each frame is a length, a MAC
and a `postcard` message. A connection starts with a [`Hello`] from each side,
under the fleet's key; all later frames are under a key derived from both
nonces.

An attempt's answer is a `Head` for plain services, any number of `Piece`s
counted from the stream's beginning, and `End` with the number of pieces. An
attempt that fails ends with `Refused` (it has not run) or `Failed`, which says
how far it got. Whoever loses the connection before either must take it that
the attempt may have run: a notice "sent now" could be lost with it.
*/

use {
    crate::{
        key::FleetKey,
        seal::{MAC_BYTES, Result, SealError, open, seal},
    },
    bytes::{Buf, Bytes, BytesMut},
    cicadagate_policy::{
        ids::{CustomerId, EndpointId, FileId, JobId, MemberId, Offset, RequestId},
        process::{dispatch::Class, holder::Draw},
        request::attempt::Progress,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::marker::PhantomData,
};

/// Longest frame, in bytes. A file upload is the longest message.
pub const MAX_FRAME_BYTES: usize = 96 * 1024 * 1024;
/// Longest hello, in bytes.
const MAX_HELLO_BYTES: usize = 256;

/// First frame of each side.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol.
    pub protocol: u32,
    /// Random.
    pub nonce: [u8; 16],
    /// Who speaks.
    pub member: MemberId,
}

/// Version of the protocol.
pub const PROTOCOL: u32 = 1;

/// Kind of endpoint that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Target {
    /// A model engine; the answer is a stream of token events.
    Engine,
    /// A plain service; the answer is relayed as it is.
    Service,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submit {
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Class of work.
    pub class: Class,
    /// Customer that it runs for.
    pub customer: CustomerId,
    /// Replica that it should go to.
    pub endpoint: EndpointId,
    /// Kind of endpoint.
    pub target: Target,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, without any form of the caller's key.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Estimated work, in tokens.
    pub cost: u64,
    /// Milliseconds within which it must have started.
    pub start_within_ms: u64,
    /// Pieces that were received by earlier attempts.
    pub resume_from: u64,
    /// Take it although the load is above the bound.
    pub force: bool,
    /// Load above which the home should refuse.
    pub load_bound: u64,
    /// Hash of the key that the request came with, if any.
    pub key: Option<[u8; 32]>,
    /// Resends of the same id must meet its first run.
    pub keyed: bool,
    /// It may run more than once.
    pub idempotent: bool,
    /// W3C trace context.
    pub traceparent: String,
}

/// Why an attempt was refused. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RefusedReason {
    /// It would wait too long; retry after so many milliseconds.
    WouldWait(u64),
    /// The queue is full; retry after so many milliseconds.
    Full(u64),
    /// The replica's load is above the bound.
    OverBound,
    /// The endpoint gets no new work.
    Leaving,
    /// The endpoint is not known at this home.
    UnknownEndpoint,
    /// The same request is queued or running.
    Duplicate,
    /// The endpoint could not be reached.
    Unreachable,
    /// It waited in the queue until it could no longer start in time.
    Expired,
    /// The home is stopping.
    Stopping,
    /// Its key was withdrawn while it waited.
    KeyWithdrawn,
    /// The log, which must tell whether it ran before, does not answer.
    LogUnavailable,
}

/// A call to a batch process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum BatchCall {
    /// Stores a file.
    PutFile {
        /// Customer that owns it.
        customer: String,
        /// Name that the client gave.
        name: String,
        /// Contents.
        body: Bytes,
    },
    /// Reads a file.
    GetFile {
        /// Customer that asks.
        customer: String,
        /// File.
        file: FileId,
    },
    /// Reads a job's results.
    GetOutput {
        /// Customer that asks.
        customer: String,
        /// Job.
        job: JobId,
        /// The failed items in place of the completed ones.
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
        /// Key by which a resend is recognised.
        idempotency_key: String,
    },
    /// Shows a job.
    Get {
        /// Customer that asks, empty for operators.
        customer: String,
        /// Job.
        job: JobId,
    },
    /// Lists jobs.
    List {
        /// Customer that asks, empty for operators.
        customer: String,
    },
    /// Cancels a job.
    Cancel {
        /// Customer that asks, empty for operators.
        customer: String,
        /// Job.
        job: JobId,
    },
}

/// A job as shown.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobView {
    /// Id.
    pub id: JobId,
    /// Customer that owns it.
    pub customer: String,
    /// Input file.
    pub file: FileId,
    /// Path that each item is sent to.
    pub endpoint: String,
    /// State, in the words of the callers' interface.
    pub state: String,
    /// Items.
    pub items: u32,
    /// Items that completed.
    pub completed: u32,
    /// Items that failed.
    pub failed: u32,
    /// Claimant, or empty.
    pub claimant: String,
    /// Seconds since the epoch.
    pub created: u64,
    /// Seconds since the epoch.
    pub keep_until: u64,
}

/// A batch process's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum BatchReply {
    /// A stored file.
    File {
        /// Id.
        id: FileId,
        /// Length in bytes.
        bytes: u64,
        /// Seconds since the epoch.
        created: u64,
        /// Name that the client gave.
        name: String,
    },
    /// Contents of a file.
    Content(Bytes),
    /// A job.
    Job(Box<JobView>),
    /// Jobs.
    Jobs(Vec<JobView>),
    /// The call failed.
    Error {
        /// Stable code.
        code: String,
        /// What is wrong.
        message: String,
        /// Retry after so many milliseconds, 0 if there is no point.
        retry_ms: u64,
    },
}

/// A message from the side that connected.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum ToServer {
    /// Run an attempt.
    Submit(Box<Submit>),
    /// Stop an attempt; its answer is not wanted any more.
    Cancel {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
    },
    /// Draw grants.
    Draw {
        /// Number of the call.
        seq: u64,
        /// Customer.
        customer: CustomerId,
        /// How many.
        want: u32,
    },
    /// Ask a witness to confirm.
    Confirm {
        /// Number of the call.
        seq: u64,
        /// Withdrawn keys that the asker knows.
        withdrawn: Vec<[u8; 32]>,
    },
    /// Ask for the configuration in force.
    FetchConfig {
        /// Number of the call.
        seq: u64,
    },
    /// A call to a batch process.
    Batch {
        /// Number of the call.
        seq: u64,
        /// The call.
        call: BatchCall,
    },
}

/// A message to the side that connected.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum FromServer {
    /// Status and headers of a plain service's answer.
    Head {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, String)>,
    },
    /// A piece of the answer.
    Piece {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
        /// Position in the whole answer.
        index: u64,
        /// Contents.
        body: Bytes,
    },
    /// The answer is whole.
    End {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
        /// Number of pieces in the whole answer.
        pieces: u64,
        /// Why an engine ended its answer, empty for a plain service.
        finish: String,
        /// Tokens of the prompt, as the engine counts them.
        prompt_tokens: u64,
        /// Load of the replica.
        load: u64,
    },
    /// The attempt has not run and will not.
    Refused {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
        /// Why.
        reason: RefusedReason,
        /// Load of the replica.
        load: u64,
    },
    /// The attempt failed.
    Failed {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
        /// How far it got.
        progress: Progress,
        /// Final answer of the endpoint that another attempt won't change.
        permanent: bool,
        /// HTTP status that the endpoint gave, 0 if none.
        status: u16,
        /// What went wrong.
        detail: String,
    },
    /// Answers a draw.
    Drawn {
        /// Number of the call.
        seq: u64,
        /// The draw.
        draw: Draw,
    },
    /// Answers a confirm.
    Confirmed {
        /// Number of the call.
        seq: u64,
        /// Epoch of the roster that the witness knows; none if it may not
        /// confirm.
        epoch: Option<Offset>,
        /// Version of the configuration that the witness knows.
        version: Offset,
        /// Withdrawn keys that the witness knows.
        withdrawn: Vec<[u8; 32]>,
    },
    /// The configuration in force, encoded.
    Config {
        /// Number of the call.
        seq: u64,
        /// State.
        state: Bytes,
    },
    /// Answers a batch call.
    Batch {
        /// Number of the call.
        seq: u64,
        /// The answer.
        reply: BatchReply,
    },
}

/// Encodes and decodes one side of a connection.
#[derive(Debug)]
pub struct PeerCodec<In> {
    send_key: [u8; 32],
    send_number: u64,
    receive_key: [u8; 32],
    receive_number: u64,
    max_bytes: usize,
    buf: BytesMut,
    message: PhantomData<fn() -> In>,
}

/// Which side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Connected.
    Client,
    /// Was connected to.
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
    /// Makes the codec for the first frames.
    #[must_use]
    pub fn handshake(key: &FleetKey, side: Side) -> Self {
        let derive = |side: Side| key.derive(&format!("peer hello v1 {}", side.label()));
        Self {
            send_key: derive(side),
            send_number: 0,
            receive_key: derive(side.other()),
            receive_number: 0,
            max_bytes: MAX_HELLO_BYTES,
            buf: BytesMut::new(),
            message: PhantomData,
        }
    }

    /// Goes on to the connection's own keys.
    #[must_use]
    pub fn established<In>(
        self,
        key: &FleetKey,
        side: Side,
        client: &Hello,
        server: &Hello,
    ) -> PeerCodec<In> {
        let derive = |side: Side| {
            let mut material = key.derive("peer session v1").to_vec();
            material.extend_from_slice(&client.nonce);
            material.extend_from_slice(&server.nonce);
            blake3::derive_key(
                &format!("cicadagate peer session {}", side.label()),
                &material,
            )
        };
        PeerCodec {
            send_key: derive(side),
            send_number: 0,
            receive_key: derive(side.other()),
            receive_number: 0,
            max_bytes: MAX_FRAME_BYTES,
            buf: self.buf,
            message: PhantomData,
        }
    }
}

impl<In: DeserializeOwned> PeerCodec<In> {
    /// Encodes a message as a frame, appended to `out`.
    pub fn encode<T: Serialize>(&mut self, message: &T, out: &mut Vec<u8>) {
        let body = postcard::to_stdvec(message).unwrap_or_default();
        let bytes = u32::try_from(body.len() + MAC_BYTES).unwrap_or(u32::MAX);
        out.extend_from_slice(&bytes.to_be_bytes());
        seal(&self.send_key, self.send_number, &body, out);
        self.send_number += 1;
    }

    /// Takes received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole message.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long, was not sealed for this
    /// place in the stream or holds no message. The connection is of no use
    /// after that.
    pub fn next_message(&mut self) -> Result<Option<In>> {
        let Some((head, rest)) = self.buf.split_first_chunk::<4>() else {
            return Ok(None);
        };
        let bytes = u32::from_be_bytes(*head) as usize;
        if bytes > self.max_bytes {
            return Err(SealError::TooLong { bytes });
        }
        let Some(frame) = rest.get(..bytes) else {
            return Ok(None);
        };
        let body = open(&self.receive_key, self.receive_number, frame)?;
        let message = postcard::from_bytes(body).map_err(|_| SealError::Undecodable)?;
        self.receive_number += 1;
        self.buf.advance(4 + bytes);
        Ok(Some(message))
    }
}
