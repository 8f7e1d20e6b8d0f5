/*!
An append-only log in memory.
*/

use {
    bytes::{BufMut, Bytes, BytesMut},
    cicadagate_policy::{process::share_holder::Bucket, time::Time},
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Maximum size of one read, in bytes; a larger first record is returned alone.
const MAX_READ_BYTES: usize = 8 * 1024 * 1024;

#[derive(Default)]
struct Stream {
    /// Offset of the last expired record, or 0.
    expired_to: u64,
    records: VecDeque<Bytes>,
    bytes: usize,
}

impl Stream {
    fn end(&self) -> u64 {
        self.expired_to + self.records.len() as u64
    }
}

#[derive(Default)]
pub(super) struct Log {
    streams: RefCell<BTreeMap<String, Stream>>,
    appended: Notify,
    bucket: Cell<Option<Bucket>>,
    appends: Cell<u64>,
    throttled: Cell<u64>,
}

impl Log {
    /// Takes a token from the rate limit of appends; returns whether there was
    /// one.
    pub(super) fn take_append_token(&self, now: Time, per_sec: u64) -> bool {
        let burst = u32::try_from(per_sec).unwrap_or(u32::MAX);
        let full = || Bucket::full(per_sec * 1000, burst, now);
        let mut bucket = self.bucket.get().unwrap_or_else(full);
        let is_allowed = bucket.take(1, now) == 1;
        self.bucket.set(Some(bucket));
        if !is_allowed {
            self.throttled.set(self.throttled.get() + 1);
        }
        is_allowed
    }

    pub(super) fn append(&self, name: &str, record: Bytes) -> u64 {
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(name.to_owned()).or_default();
        stream.bytes += record.len();
        stream.records.push_back(record);
        self.appends.set(self.appends.get() + 1);
        self.appended.notify_waiters();
        stream.end()
    }

    /// Waits until the stream has a record at offset `from`, for at most
    /// `wait`.
    pub(super) async fn wait_for(&self, name: &str, from: u64, wait: Duration) {
        let has_record = || {
            self.streams
                .borrow()
                .get(name)
                .is_some_and(|stream| stream.end() >= from)
        };
        let waiting = async {
            loop {
                let notified = self.appended.notified();
                if has_record() {
                    return;
                }
                notified.await;
            }
        };
        // After a timeout the read returns no records.
        let _ = actix_rt::time::timeout(wait, waiting).await;
    }

    /// Returns up to `limit` records from offset `from`, the end offset and the
    /// oldest offset.
    pub(super) fn read(&self, name: &str, from: u64, limit: usize) -> (Bytes, u64, u64) {
        let streams = self.streams.borrow();
        let Some(stream) = streams.get(name) else {
            return (Bytes::new(), 0, 1);
        };
        let first = from.max(stream.expired_to + 1);
        let mut out = BytesMut::new();
        let skip = usize::try_from(first - stream.expired_to - 1).unwrap_or(usize::MAX);
        for (offset, record) in (first..).zip(stream.records.iter().skip(skip)).take(limit) {
            if !out.is_empty() && out.len() + record.len() > MAX_READ_BYTES {
                break;
            }
            out.put_u64(offset);
            out.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
            out.extend_from_slice(record);
        }
        (out.freeze(), stream.end(), stream.expired_to + 1)
    }

    /// Expires all but the last `keep` records of each stream.
    pub(super) fn expire_to(&self, keep: usize) {
        for stream in self.streams.borrow_mut().values_mut() {
            while stream.records.len() > keep {
                stream.records.pop_front();
                stream.expired_to += 1;
            }
        }
    }

    pub(super) fn stats(&self) -> Value {
        let streams = self.streams.borrow();
        let sizes: BTreeMap<&String, Value> = streams
            .iter()
            .map(|(name, stream)| (name, json!({"end": stream.end(), "bytes": stream.bytes})))
            .collect();
        json!({
            "appends": self.appends.get(),
            "throttled": self.throttled.get(),
            "streams": sizes,
        })
    }
}
