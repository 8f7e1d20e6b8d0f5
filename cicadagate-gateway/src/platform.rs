/*!
What a gateway needs of a platform.

# Problem

Platforms differ in how they name and encode the same things. A decision must
not depend on those names.

# Choice

Two traits. [`Store`] is an append-only log with partitions, of which some
topics also keep the newest record of each key. [`Codec`] turns the platform's
bytes into the product's types and back. An adapter implements both and
decides nothing: no retries, no pacing, no caching.
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

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store says that it did nothing, or was not reached.
    #[snafu(display("the store did nothing: {reason}"))]
    NotDone {
        /// What it answered, or why it was not reached.
        reason: String,
    },
    /// No answer: the call may have been carried out, or may still be.
    #[snafu(display("the store did not answer: {reason}"))]
    Unknown {
        /// How the answer was lost.
        reason: String,
    },
    /// The records asked for have expired.
    #[snafu(display("records before offset {first} have expired"))]
    Expired {
        /// First offset that is still kept.
        first: u64,
    },
    /// The store takes no more records.
    #[snafu(display("the store is full"))]
    Full,
    /// The answer makes no sense.
    #[snafu(display("unintelligible answer of the store: {reason}"))]
    Unintelligible {
        /// What was wrong with it.
        reason: String,
    },
}

impl StoreError {
    /// Tells whether the store gave no answer to go by.
    #[must_use]
    pub const fn is_unreached(&self) -> bool {
        matches!(self, Self::NotDone { .. } | Self::Unknown { .. })
    }
}

/// Records of a partition, as read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Page {
    /// Offset of the first record of `records`.
    pub from: u64,
    /// Records in order.
    pub records: Vec<Bytes>,
    /// Offset after the partition's last record when the store answered.
    pub end: u64,
}

/// A record of a topic that keeps the newest one of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Keyed {
    /// Key.
    pub key: String,
    /// Value, `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// The newest records of some keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Newest {
    /// Records, one for each key.
    pub items: Vec<Keyed>,
    /// Whether further keys follow.
    pub has_more: bool,
    /// Offset after the topic's last record when the store answered.
    pub end: u64,
}

/// The platform's store.
pub trait Store {
    /// Appends records to a partition, all or none; returns the first's offset.
    fn append(
        &self,
        topic: &str,
        part: u32,
        records: Vec<Bytes>,
    ) -> LocalBoxFuture<'static, Result<u64>>;

    /// Reads records from an offset on, up to about `max_bytes`, waiting for
    /// one up to `wait` if there is none.
    fn read(
        &self,
        topic: &str,
        part: u32,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<Page>>;

    /// Reads the newest records of the keys after one.
    fn newest(&self, topic: &str, after: Option<&str>) -> LocalBoxFuture<'static, Result<Newest>>;

    /// Encodes a record of a topic with keys.
    fn encode_keyed(&self, key: &str, value: Option<&[u8]>) -> Bytes;

    /// Decodes a record of a topic with keys.
    fn decode_keyed(&self, record: &Bytes) -> Option<Keyed>;
}

/// Names of the headers that carry the product's values.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a caller's attempt, or of a job or item.
    pub request_id: HeaderName,
    /// Time that the caller still waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Last event that the reader of a stream has.
    pub last_event_id: HeaderName,
    /// Name of the customer, set towards replicas.
    pub customer: HeaderName,
    /// Incarnation that must run the request.
    pub expected_replica: HeaderName,
    /// On an answer: the replica did not run the request.
    pub not_run: HeaderName,
    /// On an answer: its replica's signature.
    pub signature: HeaderName,
    /// Time that a read of results may wait, in milliseconds.
    pub wait_ms: HeaderName,
}

/// A call about batch jobs, other than a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Results from a position on.
    Results {
        /// Submitter's id of the job.
        job: String,
        /// First position.
        from: usize,
    },
    /// The body of an item without a result.
    Body {
        /// Submitter's id of the job.
        job: String,
        /// Submitter's id of the item.
        item: String,
    },
    /// The end of a job.
    End {
        /// Submitter's id of the job.
        job: String,
    },
}

/// An item as submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedItem {
    /// Submitter's id.
    pub id: String,
    /// Path to run it at.
    pub path: String,
    /// Headers to run it with.
    pub headers: Vec<(String, String)>,
    /// Body to run it with.
    pub body: Bytes,
    /// Tokens that it may take, prompt and output.
    pub tokens: u32,
}

/// A result as listed; `None` as output stands for an abandoned item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedResult {
    /// Submitter's id of the item.
    pub id: String,
    /// The item's whole output.
    pub output: Option<Bytes>,
}

/// Turns the platform's bytes into the product's types and back.
pub trait Codec {
    /// Returns the names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the topic and key of the configuration.
    fn config_source(&self) -> (&'static str, &'static str);

    /// Returns the topic of the replicas' registrations.
    fn replica_source(&self) -> &'static str;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn config(&self, value: &[u8]) -> std::result::Result<ServingConfig, String>;

    /// Decodes a replica's registration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn registration(&self, id: &str, value: &[u8]) -> std::result::Result<Registration, String>;

    /// Recognises calls about jobs.
    fn job_call(&self, method: &Method, path: &str, query: &str) -> Option<JobCall>;

    /// Decodes a submission.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn submission(&self, body: &[u8]) -> std::result::Result<Vec<SubmittedItem>, String>;

    /// Encodes a page of results; `next` is the position after its last one.
    fn results(&self, total: usize, next: usize, results: &[ListedResult]) -> Bytes;

    /// Tells whether a path asks for the addresses to use.
    fn is_address_call(&self, path: &str) -> bool;

    /// Encodes the addresses that callers are to use for `ttl`.
    fn addresses(&self, addresses: &[std::net::SocketAddr], ttl: Duration) -> Bytes;

    /// Encodes an error of ours.
    fn error(&self, code: &str, message: &str) -> Bytes;
}
