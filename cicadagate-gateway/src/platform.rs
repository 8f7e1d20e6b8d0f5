/*!
Interface between a gateway and a platform.

# Problem

Platforms name and encode the same things differently. Decisions must not
depend on those names.

# Choice

There are two traits. [`Store`] is an append-only log of partitioned topics;
some topics are compacted, that is, they keep the latest record of each key.
[`Codec`] converts between the platform's encodings and cicadagate's types. An
adapter implements both and makes no decisions: it does not retry, pace or
cache.
*/

use {
    actix_http::{Method, header::HeaderName},
    bytes::Bytes,
    cicadagate_policy::{process::replicas::Registration, version::serving::ServingConfig},
    futures_util::future::LocalBoxFuture,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// A result of this module.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// Why a store operation failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store rejected the operation or was not reached: nothing was done.
    #[snafu(display("store operation not carried out: {reason}"))]
    NotDone {
        /// The store's response, or why it was not reached.
        reason: String,
    },
    /// No response: the operation may have been carried out, or may still be.
    #[snafu(display("no response from the store: {reason}"))]
    Unknown {
        /// How the response was lost.
        reason: String,
    },
    /// The requested records have expired.
    #[snafu(display("records before offset {first} have expired"))]
    Expired {
        /// First offset that has not expired.
        first: u64,
    },
    /// The store accepts no more records.
    #[snafu(display("the store is full"))]
    Full,
    /// The response is invalid.
    #[snafu(display("invalid response from the store: {reason}"))]
    Unintelligible {
        /// What is invalid.
        reason: String,
    },
}

impl StoreError {
    /// Returns whether the operation was not carried out and never will be.
    #[must_use]
    pub const fn is_not_done(&self) -> bool {
        matches!(self, Self::NotDone { .. } | Self::Full)
    }

    /// Returns the error of an operation that was sent once more with the error `next`: it
    /// was not carried out only if both errors say so.
    #[must_use]
    pub fn join(self, next: Self) -> Self {
        if next.is_not_done() && !self.is_not_done() {
            self
        } else {
            next
        }
    }

    /// Returns whether the store rejected the operation or did not respond, so
    /// that it may succeed through another gateway.
    #[must_use]
    pub const fn is_unavailable(&self) -> bool {
        matches!(self, Self::NotDone { .. } | Self::Unknown { .. })
    }
}

/// Records of a partition returned by one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordPage {
    /// Offset of the first record of `records`.
    pub from: u64,
    /// Records in order of their offsets.
    pub records: Vec<Bytes>,
    /// Offset after the partition's last record at the time of the read.
    pub end: u64,
}

/// A record of a compacted topic.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// A page of the latest records of a compacted topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LatestPage {
    /// Records, one per key.
    pub items: Vec<KeyedRecord>,
    /// Whether there are more keys.
    pub has_more: bool,
    /// Offset after the topic's last record at the time of the read.
    pub end: u64,
}

/// The platform's store.
pub trait Store {
    /// Appends records to a partition, all or none, and returns the offset of
    /// the first.
    fn append(
        &self,
        topic: &str,
        part: u32,
        records: Vec<Bytes>,
    ) -> LocalBoxFuture<'static, Result<u64>>;

    /// Reads records starting at an offset, up to about `max_bytes`. If there
    /// are none, waits up to `wait` for one.
    fn read(
        &self,
        topic: &str,
        part: u32,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<RecordPage>>;

    /// Reads a page of the latest records of a compacted topic, starting after
    /// a key.
    fn latest(
        &self,
        topic: &str,
        after: Option<&str>,
    ) -> LocalBoxFuture<'static, Result<LatestPage>>;

    /// Encodes a record of a compacted topic.
    fn encode_keyed(&self, key: &str, value: Option<&[u8]>) -> Bytes;

    /// Decodes a record of a compacted topic.
    fn decode_keyed(&self, record: &Bytes) -> Option<KeyedRecord>;
}

/// Names of the HTTP headers that carry cicadagate's values.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a caller's attempt, or of a job or item.
    pub request_id: HeaderName,
    /// Time that the caller keeps waiting, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Id of the last event of a stream that its reader has received.
    pub last_event_id: HeaderName,
    /// Name of the customer, on requests to replicas.
    pub customer: HeaderName,
    /// Id of the replica incarnation that must run the request.
    pub expected_replica: HeaderName,
    /// On a response: the replica did not run the request.
    pub not_run: HeaderName,
    /// On a response: the replica is leaving.
    pub leaving: HeaderName,
    /// On a response: requests per second that the replica accepts from all
    /// gateways together, a decimal number.
    pub max_rate: HeaderName,
    /// On a response: the replica's signature.
    pub signature: HeaderName,
    /// Parts of the request's prompt.
    pub prompt_parts: HeaderName,
    /// Longest wait of a request for results, in milliseconds.
    pub wait_ms: HeaderName,
    /// On a request that resumes a stream: id of the request whose response
    /// brought the stream's first event.
    pub resumed_request: HeaderName,
}

/// A request about an accepted batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobRequest {
    /// Reads results, starting at a position.
    Results {
        /// Caller's id of the job.
        job: String,
        /// Position of the first result.
        from: usize,
    },
    /// Reads the input body of an item without a result.
    ItemBody {
        /// Caller's id of the job.
        job: String,
        /// Caller's id of the item.
        item: String,
    },
    /// Cancels a job; its items without a result are not run any further.
    Cancel {
        /// Caller's id of the job.
        job: String,
    },
}

/// An item of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedItem {
    /// Caller's id of the item.
    pub id: String,
    /// Path of the request to the replica.
    pub path: String,
    /// Headers of the request to the replica.
    pub headers: Vec<(String, String)>,
    /// Body of the request to the replica.
    pub body: Bytes,
    /// Most tokens that it may use, prompt and output together.
    pub tokens: u32,
}

/// A result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedResult {
    /// Caller's id of the item.
    pub id: String,
    /// The item's complete output; `None` if the item was abandoned.
    pub output: Option<Bytes>,
}

/// A record that operators wrote.
#[derive(Debug)]
pub enum OperatorRecord {
    /// A version of the configuration.
    Config(Box<ServingConfig>),
    /// The evacuation of a data centre, or its end.
    Evacuation {
        /// Name of the data centre.
        data_centre: String,
        /// Whether the evacuation is in force.
        is_in_force: bool,
    },
}

/// Converts between the platform's encodings and cicadagate's types.
pub trait Codec {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the compacted topic that operators write to.
    fn operator_topic(&self) -> &'static str;

    /// Returns the compacted topic of the replicas' registrations.
    fn replica_topic(&self) -> &'static str;

    /// Decodes an operators' record.
    ///
    /// # Errors
    ///
    /// Returns what is invalid.
    fn operator_record(&self, record: &KeyedRecord) -> std::result::Result<OperatorRecord, String>;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns what is invalid.
    fn config(&self, value: &[u8]) -> std::result::Result<ServingConfig, String>;

    /// Decodes a replica's registration.
    ///
    /// # Errors
    ///
    /// Returns what is invalid.
    fn registration(&self, id: &str, value: &[u8]) -> std::result::Result<Registration, String>;

    /// Decodes for how long a replica remains cold, from its registration.
    ///
    /// # Errors
    ///
    /// Returns what is invalid.
    fn cold_left(&self, value: &[u8]) -> std::result::Result<Duration, String>;

    /// Decodes the header of prompt parts, and returns the ids of the parts
    /// that requests may share: all but the last one.
    fn shared_prompt_parts(&self, value: &str) -> Vec<u64>;

    /// Recognizes a request about an accepted job.
    fn parse_job_request(&self, method: &Method, path: &str, query: &str) -> Option<JobRequest>;

    /// Decodes a submitted job.
    ///
    /// # Errors
    ///
    /// Returns what is invalid.
    fn submission(&self, body: &[u8]) -> std::result::Result<Vec<SubmittedItem>, String>;

    /// Encodes a page of results; `next` is the position after its last result.
    fn results(&self, total: usize, next: usize, results: &[ListedResult]) -> Bytes;

    /// Returns whether a path is that of the query for the gateways' addresses.
    fn is_address_request(&self, path: &str) -> bool;

    /// Encodes the addresses of the gateways, which callers may cache for
    /// `ttl`.
    fn addresses(&self, addresses: &[std::net::SocketAddr], ttl: Duration) -> Bytes;

    /// Encodes an error response of the gateway.
    fn error(&self, code: &str, message: &str) -> Bytes;
}
