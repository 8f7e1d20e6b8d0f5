//! A stream of the fake log.

use cicadagate_policy::{ids::Offset, version::jobs::Record};

pub struct Stream<R> {
    /// Number of records dropped from the beginning.
    expired: u64,
    records: Vec<R>,
}

impl<R> Default for Stream<R> {
    fn default() -> Self {
        Self {
            expired: 0,
            records: Vec::new(),
        }
    }
}

impl<R: Clone> Stream<R> {
    pub fn append(&mut self, record: R) -> Offset {
        self.records.push(record);
        Offset(self.expired + self.records.len() as u64)
    }

    pub fn records_from(&self, next: Offset) -> Vec<(Offset, R)> {
        let offsets = (self.expired + 1..).map(Offset);
        offsets
            .zip(self.records.iter().cloned())
            .filter(|(offset, _)| *offset >= next)
            .collect()
    }
}

impl Stream<Record> {
    /// Drops the records that the last snapshot covers; returns whether there
    /// were any.
    pub fn expire_covered(&mut self) -> bool {
        let covered = self.records.iter().rev().find_map(Record::covers);
        let drop = covered.unwrap_or_default().0.saturating_sub(self.expired);
        self.records
            .drain(..usize::try_from(drop).expect("no more than the records"));
        self.expired += drop;
        drop > 0
    }
}
