/*!
A data stream of the log. Its large records are read only by the processes that
work on a job or serve its files and results.
*/

use {
    cicadagate_node::platform::{
        PlatformError,
        log::{Log, decode, encode, read_record},
    },
    cicadagate_policy::{
        ids::{FileId, Offset},
        version::jobs::Data,
    },
    std::{rc::Rc, time::Duration},
};

/// Maximum number of records of one read.
const MAX_READ_RECORDS: usize = 64;

/// A data stream.
#[derive(Clone)]
pub(crate) struct DataStream {
    log: Rc<dyn Log>,
    name: String,
}

/// The offset up to which a data stream was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Position(pub Offset);

impl DataStream {
    /// Returns the stream that holds a file and the results of its jobs.
    pub fn of(log: &Rc<dyn Log>, file: FileId, streams: u64) -> Self {
        Self {
            log: Rc::clone(log),
            name: format!("data-{}", file.raw() % streams.max(1)),
        }
    }

    /// Appends a record and returns its offset.
    pub async fn append(&self, data: &Data) -> Result<Offset, PlatformError> {
        self.log.append(self.name.clone(), encode(data)?).await
    }

    /// Returns the offset of the stream's current end.
    pub async fn end(&self) -> Result<Offset, PlatformError> {
        // A read from far beyond the end returns no records, only the end.
        let batch = self
            .log
            .read(self.name.clone(), Offset(u64::MAX / 2), 1, Duration::ZERO)
            .await?;
        Ok(batch.end)
    }

    /// Reads the record at an offset; `None` if it can't be decoded.
    pub async fn read_one(&self, offset: Offset) -> Result<Option<Data>, PlatformError> {
        let body = read_record(&*self.log, &self.name, offset).await?;
        Ok(decode(&body).ok())
    }

    /// Reads the records after a position, up to and including `until`, and
    /// advances the position.
    ///
    /// Records that cannot be decoded are skipped. Reading stops early if the
    /// stream has no more records.
    pub async fn read_until(
        &self,
        position: &mut Position,
        until: Offset,
        mut visit: impl FnMut(Offset, &Data),
    ) -> Result<(), PlatformError> {
        while position.0 < until {
            let from = position.0.next();
            let batch = self
                .log
                .read(self.name.clone(), from, MAX_READ_RECORDS, Duration::ZERO)
                .await?;
            let is_empty = batch.records.is_empty();
            for (offset, body) in batch.records {
                if offset > position.0
                    && let Ok(data) = decode::<Data>(&body)
                {
                    visit(offset, &data);
                }
                position.0 = position.0.max(offset);
            }
            if is_empty {
                break;
            }
        }
        Ok(())
    }
}
