/*!
Client of the platform's append-only log.

Over HTTP, `POST /v1/streams/{stream}/records` appends its body as a record and
returns `{"offset": n}`. `GET` of the same path with the parameters `from`,
`limit` and `wait_ms` returns records, each as offset (8 bytes), length
(4 bytes, both big-endian) and body. The header `x-end-offset` gives the offset
of the stream's last record and `x-oldest-offset` that of the first one that is
still retained.
*/

use {
    super::{
        InvalidResponseSnafu, NoResponseSnafu, OPERATION_TIMEOUT, PlatformError, RefusedSnafu,
        Result,
    },
    bytes::{Buf, Bytes},
    cicadagate_policy::ids::Offset,
    futures_util::future::LocalBoxFuture,
    serde::Deserialize,
    snafu::{OptionExt, ensure},
    std::{net::SocketAddr, time::Duration},
};

/// Largest response to a read, in bytes.
const MAX_READ_BYTES: usize = 64 * 1024 * 1024;

/// Records of a stream that one read returned.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// Records in the order of their offsets.
    pub records: Vec<(Offset, Bytes)>,
    /// Offset of the stream's last record when the service responded.
    pub end: Offset,
    /// Offset of the first record that is still retained.
    pub oldest: Offset,
}

/// The platform's log.
pub trait Log {
    /// Appends a record and returns its offset.
    fn append(&self, stream: String, record: Bytes) -> LocalBoxFuture<'static, Result<Offset>>;

    /// Reads up to `limit` records from offset `from` on; if there is none yet,
    /// waits for one for up to `wait`.
    fn read(
        &self,
        stream: String,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<RecordBatch>>;
}

/// HTTP client of the log.
pub struct HttpLog {
    addr: SocketAddr,
    client: awc::Client,
}

impl HttpLog {
    /// Creates a client of the service at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let client = awc::Client::builder().disable_redirects().finish();
        Self { addr, client }
    }
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

impl Log for HttpLog {
    fn append(&self, stream: String, record: Bytes) -> LocalBoxFuture<'static, Result<Offset>> {
        let url = format!("http://{}/v1/streams/{stream}/records", self.addr);
        let call = self
            .client
            .post(url)
            .timeout(OPERATION_TIMEOUT)
            .send_body(record);
        Box::pin(async move {
            let mut res = call.await.map_err(no_response)?;
            let status = res.status().as_u16();
            ensure!(status != 503 && status != 429, RefusedSnafu { status });
            ensure!(
                status == 200,
                InvalidResponseSnafu {
                    detail: format!("status {status}")
                }
            );
            let body = res.body().await.map_err(no_response)?;
            let appended: Appended =
                serde_json::from_slice(&body)
                    .ok()
                    .context(InvalidResponseSnafu {
                        detail: "no offset in the response",
                    })?;
            Ok(Offset(appended.offset))
        })
    }

    fn read(
        &self,
        stream: String,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<RecordBatch>> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "http://{}/v1/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}",
            self.addr
        );
        let call = self
            .client
            .get(url)
            .timeout(OPERATION_TIMEOUT + wait)
            .send();
        Box::pin(async move {
            let mut res = call.await.map_err(no_response)?;
            let status = res.status().as_u16();
            ensure!(status == 200, RefusedSnafu { status });
            let header = |name: &str| {
                let value = res
                    .headers()
                    .get(name)
                    .and_then(|value| value.to_str().ok());
                let offset = value.and_then(|value| value.parse().ok()).map(Offset);
                offset.context(InvalidResponseSnafu {
                    detail: format!("no valid header {name}"),
                })
            };
            let (end, oldest) = (header("x-end-offset")?, header("x-oldest-offset")?);
            let body = res
                .body()
                .limit(MAX_READ_BYTES)
                .await
                .map_err(no_response)?;
            let records = split_records(body)?;
            Ok(RecordBatch {
                records,
                end,
                oldest,
            })
        })
    }
}

fn no_response(err: impl std::fmt::Display) -> PlatformError {
    NoResponseSnafu {
        detail: err.to_string(),
    }
    .build()
}

fn split_records(mut body: Bytes) -> Result<Vec<(Offset, Bytes)>> {
    let mut records = Vec::new();
    while body.has_remaining() {
        ensure!(
            body.len() >= 12,
            InvalidResponseSnafu {
                detail: "truncated record header"
            }
        );
        let offset = Offset(body.get_u64());
        let len = body.get_u32() as usize;
        ensure!(
            body.len() >= len,
            InvalidResponseSnafu {
                detail: "truncated record"
            }
        );
        records.push((offset, body.split_to(len)));
    }
    Ok(records)
}

/// Encodes a record.
///
/// # Errors
///
/// Returns an error if the record can't be encoded.
pub fn encode<T: serde::Serialize>(record: &T) -> Result<Bytes> {
    postcard::to_stdvec(record)
        .map(Bytes::from)
        .ok()
        .context(InvalidResponseSnafu {
            detail: "record can't be encoded",
        })
}

/// Decodes a record.
///
/// # Errors
///
/// Returns an error if the bytes are not a record of type `T`.
pub fn decode<T: serde::de::DeserializeOwned>(record: &[u8]) -> Result<T> {
    postcard::from_bytes(record)
        .map_err(|err| err.to_string())
        .or_else(|detail| InvalidResponseSnafu { detail }.fail())
}

/// Reads the record at an offset.
///
/// # Errors
///
/// Returns an error if the log does not respond or has no record at the offset.
pub async fn read_record(log: &dyn Log, stream: &str, offset: Offset) -> Result<Bytes> {
    let batch = log
        .read(stream.to_owned(), offset, 1, Duration::ZERO)
        .await?;
    let record = batch.records.into_iter().find(|(at, _)| *at == offset);
    record.map(|(_, body)| body).context(InvalidResponseSnafu {
        detail: "no record at the offset",
    })
}
