/*!
Bodies and outputs of batch items in the store.

A content is split into records no longer than the store accepts, and located by
its partition and offset. Contents that are written together go to one
partition. A small cache keeps recently written and read contents, since the
results of a job are mostly read shortly after they were written.
*/

use {
    super::Gateway,
    crate::platform::{Result, StoreError},
    bytes::{Bytes, BytesMut},
    cicadagate_policy::version::job_index::ContentLocation,
    std::{
        cell::RefCell,
        collections::{HashMap, VecDeque},
        rc::Rc,
        time::Duration,
    },
};

/// Topic of the contents.
const TOPIC: &str = "cicadagate.content";
/// Size of the cache, in bytes.
const CACHE_BYTES: usize = 2 * 1024 * 1024;
/// Bytes that the store adds to each record of an append or read.
const RECORD_OVERHEAD: usize = 4;
/// Most bytes of one read.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Cache of recently written and read contents.
#[derive(Debug, Default)]
pub struct Cache {
    contents: HashMap<(u32, u64), Bytes>,
    insertion_order: VecDeque<(u32, u64)>,
    bytes: usize,
}

impl Cache {
    fn get(&self, location: ContentLocation) -> Option<Bytes> {
        self.contents
            .get(&(location.part, location.offset))
            .cloned()
    }

    fn insert(&mut self, location: ContentLocation, content: &Bytes) {
        let key = (location.part, location.offset);
        if self.contents.insert(key, content.clone()).is_some() {
            return;
        }
        self.insertion_order.push_back(key);
        self.bytes += content.len();
        while self.bytes > CACHE_BYTES {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            if let Some(content) = self.contents.remove(&oldest) {
                self.bytes -= content.len();
            }
        }
    }
}

/// Writes contents to a partition; returns their locations in the same order.
///
/// # Errors
///
/// Returns an error if the store did not acknowledge all contents. Some may
/// have been written nevertheless; they are not read unless a record in the
/// index refers to them.
pub async fn write(
    gateway: &Rc<Gateway>,
    part: u32,
    contents: &[Bytes],
) -> Result<Vec<ContentLocation>> {
    let bounds = gateway.bounds();
    let part = part % bounds.parts;
    let split: Vec<Vec<Bytes>> = contents
        .iter()
        .map(|content| split_into_records(content, bounds.record_bytes))
        .collect();
    let mut locations = Vec::with_capacity(contents.len());
    let mut first = 0;
    while first < split.len() {
        let len = fitting_count(&split[first..], bounds.call_bytes);
        let records = split[first..first + len].concat();
        let mut offset = gateway.store.append(TOPIC, part, records).await?;
        for index in first..first + len {
            let records = u32::try_from(split[index].len()).unwrap_or(u32::MAX);
            let location = ContentLocation {
                part,
                offset,
                records,
                bytes: u32::try_from(contents[index].len()).unwrap_or(u32::MAX),
            };
            offset += u64::from(records);
            gateway
                .content_cache
                .borrow_mut()
                .insert(location, &contents[index]);
            locations.push(location);
        }
        first += len;
    }
    Ok(locations)
}

fn split_into_records(content: &Bytes, record_bytes: usize) -> Vec<Bytes> {
    if content.is_empty() {
        return vec![Bytes::new()];
    }
    (0..content.len())
        .step_by(record_bytes)
        .map(|at| content.slice(at..content.len().min(at + record_bytes)))
        .collect()
}

/// Returns how many contents fit into one append, at least one.
fn fitting_count(split: &[Vec<Bytes>], call_bytes: usize) -> usize {
    let mut sum = 0;
    let fits = split.iter().take_while(|records| {
        sum += records
            .iter()
            .map(|record| record.len() + RECORD_OVERHEAD)
            .sum::<usize>();
        sum <= call_bytes
    });
    fits.count().max(1)
}

/// Reads a content.
///
/// # Errors
///
/// Returns an error if the store does not respond or the content has expired.
pub async fn read(gateway: &Rc<Gateway>, location: ContentLocation) -> Result<Bytes> {
    let cached = gateway.content_cache.borrow().get(location);
    if let Some(content) = cached {
        return Ok(content);
    }
    let mut content = BytesMut::with_capacity(location.bytes as usize);
    let mut records = 0;
    while records < location.records {
        let missing = location.bytes as usize - content.len().min(location.bytes as usize);
        let from = location.offset + u64::from(records);
        let max = (missing + RECORD_OVERHEAD).min(MAX_READ_BYTES);
        let read = gateway
            .store
            .read(TOPIC, location.part, from, max, Duration::ZERO);
        let page = read.await?;
        if page.records.is_empty() || page.from != from {
            return Err(StoreError::Unintelligible {
                reason: format!("no record at offset {from} of partition {}", location.part),
            });
        }
        for record in page
            .records
            .iter()
            .take((location.records - records) as usize)
        {
            content.extend_from_slice(record);
            records += 1;
        }
    }
    let content = content.freeze();
    gateway
        .content_cache
        .borrow_mut()
        .insert(location, &content);
    Ok(content)
}

/// Cache of contents with interior mutability.
pub type SharedCache = RefCell<Cache>;
