//! A node without I/O, and the fake log.

use {
    cicadagate_policy::{
        ids::{CustomerId, MemberId, Offset, hash64},
        process::{
            contact::{CONTACT_TTL_MS, Contact},
            share_holder::{GrantOutcome, ShareHolder},
        },
        request::token_grants::GrantCache,
        time::Time,
        version::{
            config::{Record, RosterMember, State},
            reader::{CatchUpStep, SnapshotCatchUp},
        },
    },
    std::collections::BTreeSet,
};

/// Rates of the nodes' clocks, in parts per million of true time.
const CLOCK_RATE_PPM: [u128; 5] = [1_000_000, 1_000_500, 999_500, 1_000_300, 999_600];

/// The fake log.
#[derive(Default)]
pub struct Log {
    pub down: bool,
    /// Number of records dropped from the beginning.
    expired: u64,
    records: Vec<Record>,
}

impl Log {
    pub fn append(&mut self, record: Record) {
        self.records.push(record);
    }

    pub fn end(&self) -> Offset {
        Offset(self.expired + self.records.len() as u64)
    }

    fn records_from(&self, next: Offset) -> impl Iterator<Item = (Offset, &Record)> {
        let expired = self.expired;
        let offsets = (expired + 1..).map(Offset);
        offsets
            .zip(&self.records)
            .filter(move |(offset, _)| *offset >= next)
    }

    /// Drops the records that the last snapshot covers; returns whether there
    /// were any.
    pub fn expire(&mut self) -> bool {
        let covered = self.records.iter().rev().find_map(Record::covers);
        let drop = covered.unwrap_or_default().0.saturating_sub(self.expired);
        self.records
            .drain(..usize::try_from(drop).expect("no more than the records"));
        self.expired += drop;
        drop > 0
    }
}

/// A node, both an entry and a dispatch process.
pub struct Node {
    index: usize,
    pub incarnation: u64,
    pub id: MemberId,
    pub alive: bool,
    pub paused: bool,
    pub log_partitioned: bool,
    /// Time at which the node first applied the log up to its end, by its own
    /// clock.
    pub caught_up: Option<Time>,
    pub state: State,
    pub highest_version: Offset,
    pub contact: Contact,
    pub withdrawn: BTreeSet<[u8; 32]>,
    pub grant_cache: GrantCache,
    catch_up: SnapshotCatchUp<Record>,
    next: Offset,
    holder: ShareHolder,
    last_log_read: Time,
}

impl Node {
    pub fn new(index: usize) -> Self {
        Self::with_incarnation(index, 0)
    }

    fn with_incarnation(index: usize, incarnation: u64) -> Self {
        let id = MemberId::of(&format!("n{index}#{incarnation}"));
        Self {
            index,
            incarnation,
            id,
            alive: true,
            paused: false,
            log_partitioned: false,
            caught_up: None,
            state: State::default(),
            highest_version: Offset::NONE,
            contact: Contact::default(),
            withdrawn: BTreeSet::new(),
            grant_cache: GrantCache::default(),
            catch_up: SnapshotCatchUp::new(Offset::NONE),
            next: Offset(1),
            holder: ShareHolder::new(id),
            last_log_read: Time::default(),
        }
    }

    /// Restarts with empty state, as the next incarnation.
    pub fn restart(&mut self) {
        *self = Self::with_incarnation(self.index, self.incarnation + 1);
    }

    pub fn roster_member(&self) -> RosterMember {
        RosterMember {
            member: self.id,
            process: hash64(&[&self.index.to_le_bytes()]),
            data_centre: (self.index % 3) as u64,
        }
    }

    /// Returns this node's clock reading at a true time.
    pub fn clock(&self, now_us: u64) -> Time {
        let us = u128::from(now_us) * CLOCK_RATE_PPM[self.index] / 1_000_000;
        let ms = u64::try_from(us / 1000).expect("times are small");
        Time(ms + self.index as u64 * 77_777)
    }

    /// Applies the log up to `end`; returns whether a snapshot replaced expired
    /// records.
    pub fn read_until(&mut self, log: &Log, end: Offset, sent: Time, now: Time) -> bool {
        let mut adopted = false;
        let records: Vec<(Offset, Record)> = log
            .records_from(self.next)
            .take_while(|(offset, _)| *offset <= end)
            .map(|(offset, record)| (offset, record.clone()))
            .collect();
        for (offset, record) in records {
            self.next = offset.next();
            let covers = record.covers();
            let had_gap = self.catch_up.has_gap();
            if let CatchUpStep::Apply(records) = self.catch_up.push(offset, record, covers) {
                adopted |= had_gap;
                for (offset, record) in records {
                    self.state.apply(offset, &record);
                    self.apply_config(now);
                }
            }
        }
        if !self.catch_up.has_gap() && self.next > end {
            self.contact.note_log_read(sent);
            self.last_log_read = self.last_log_read.max(sent);
            self.caught_up.get_or_insert(now);
        }
        adopted
    }

    /// Adopts a peer's configuration.
    pub fn adopt(&mut self, now: Time, state: State) {
        self.state = state;
        self.catch_up = SnapshotCatchUp::new(self.state.version());
        self.next = self.state.version().next();
        self.apply_config(now);
    }

    fn apply_config(&mut self, now: Time) {
        if let Some((epoch, state)) = self.state.epoch() {
            let witnesses: Vec<MemberId> = state
                .roster
                .witnesses
                .iter()
                .map(|roster_member| roster_member.member)
                .collect();
            self.contact.set_roster(epoch, &witnesses);
        }
        if self.caught_up.is_some() {
            self.holder.update(now, &self.state);
        }
    }

    pub fn note_witnessed(&mut self, now: Time, epoch: Offset, version: Offset) {
        self.holder.update(now, &self.state);
        self.holder.note_witnessed(now, epoch, version);
    }

    /// Returns the epoch that this node confirms as a witness; none before it
    /// has applied the log up to its end.
    pub fn confirmable_epoch(&self) -> Option<Offset> {
        self.state
            .epoch()
            .map(|(epoch, _)| epoch)
            .filter(|_| self.caught_up.is_some())
    }

    /// Returns whether contact is fresh through a read of the log.
    pub fn has_log_contact(&self, now: Time) -> bool {
        now.since(self.last_log_read) < CONTACT_TTL_MS
    }

    pub fn grant_tokens(&mut self, now: Time, id: CustomerId, want: u32) -> GrantOutcome {
        self.holder
            .grant_tokens(now, self.contact.is_fresh(now), id, want)
    }
}
