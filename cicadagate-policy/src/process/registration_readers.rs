/*!
Members that read the replicas' registrations on behalf of the others.

# Problem

Replicas renew their registrations about every second. If every member reads every
renewal, the bytes read grow with members times replicas, and in a large fleet all reads
of the store queue, those of the configuration included.

# Choice

Above a share of the store's read limit, a few members ([`readers`]) read, and send the
others what has changed. Each member is served by two of them ([`serving_readers`]). What
they send are ranges of offsets of the topic with the records in them that change
something ([`RegistrationNews`]), so a receiver knows exactly what it has: it applies a
range only if that doesn't begin beyond its own offset. A member that hasn't been at the
end of the topic for a while reads the store itself, from its own offset.
Correctness therefore doesn't depend on the readers.

# Cost

A hash per registration at every member. A change arrives later by the time between two
reads of a reader; without working readers by [`FALLBACK_PERCENT`] of the drain time.
*/

use {
    super::{
        placement::{PlacementCandidate, spread_over_data_centres},
        replicas::Registration,
    },
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{EndpointId, MemberId, hash64},
        time::Time,
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Number of the rules by which [`fingerprint`] decides what counts as a change, to be
/// raised with each change of them: a member ignores the news of readers with older rules,
/// which may omit records that it needs.
pub const CHANGE_RULES: u16 = 1;
/// One in so many members is a reader.
pub const MEMBERS_PER_READER: usize = 16;
/// Least number of readers.
pub const MIN_READERS: usize = 3;
/// Readers that serve a member, so that the loss of one causes no additional reads.
pub const READERS_PER_MEMBER: usize = 2;
/// Share of the store's read limit that the reads of registrations by all members must
/// exceed before they are shared, in percent.
pub const SHARED_FROM_PERCENT: u64 = 25;
/// Share of the read limit below which reads are no longer shared, in percent; lower than
/// [`SHARED_FROM_PERCENT`] so that single members that join or leave don't change it.
pub const SHARED_UNTIL_PERCENT: u64 = 20;
/// Share of the drain time without news after which a member reads itself, in percent:
/// longer than two intervals between reads (40 %), so that one lost datagram causes no read.
pub const FALLBACK_PERCENT: u64 = 50;
/// Share of the drain time over which the reads of members without news are spread, in
/// percent.
pub const FALLBACK_SPREAD_PERCENT: u64 = 10;
/// Most bytes of the changes of one read that a reader sends to one member.
pub const MAX_NEWS_BYTES: usize = 24 * 1024;
/// Most bytes of the changes of one read that a reader sends to all members: a link of
/// 22 Mbit/s takes 0.2 s for them. It has few members to serve except at a start of the whole
/// fleet, when only the first ones can read.
pub const MAX_SENT_BYTES: usize = 512 * 1024;
/// Records per replica by which a member may lag behind before it reads the latest records
/// instead: two renewals of each registration are more bytes than its latest record.
pub const MAX_LAG_PER_REPLICA: u64 = 2;
/// Most bytes of ranges in one datagram, below the 8 KiB of a datagram by its other fields.
pub const MAX_DATAGRAM_NEWS_BYTES: usize = 7 * 1024;
/// Previous reads whose ranges are sent again.
pub const REPEATED_READS: usize = 2;
/// Most bytes of ranges that are sent again.
pub const MAX_REPEATED_BYTES: usize = MAX_DATAGRAM_NEWS_BYTES;
/// Upper bound of the encoded size of a record's offset and length, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 16;
/// Upper bound of the encoded size of a range without records, in bytes.
const RANGE_OVERHEAD_BYTES: usize = 32;

/// Returns a hash of all that counts as a change of a registration.
///
/// This is the only place that decides it. A field whose value changes with every
/// heartbeat must not be part of it as such: of the time for which a replica stays cold,
/// only whether it is cold counts.
#[must_use]
pub fn fingerprint(registration: &Registration, is_cold: bool) -> u64 {
    // All fields are named, so that a new one must be considered here.
    let Registration {
        id: _,
        service,
        addr,
        data_centre,
        slots,
        software_version,
        is_draining,
        started_ms,
    } = registration;
    hash64(&[
        service.as_bytes(),
        addr.to_string().as_bytes(),
        data_centre.as_bytes(),
        &slots.to_le_bytes(),
        software_version.as_bytes(),
        &[u8::from(*is_draining), u8::from(is_cold)],
        &started_ms.to_le_bytes(),
    ])
}

/// Returns the members that read for the others.
#[must_use]
pub fn readers(candidates: &[PlacementCandidate]) -> Vec<PlacementCandidate> {
    let count = candidates.len().div_ceil(MEMBERS_PER_READER);
    let key = hash64(&[b"registration readers"]);
    let chosen = spread_over_data_centres(key, count.max(MIN_READERS), candidates);
    let is_chosen = |candidate: &&PlacementCandidate| chosen.contains(&candidate.member);
    candidates.iter().filter(is_chosen).copied().collect()
}

/// Returns the readers that serve a member.
#[must_use]
pub fn serving_readers(member: MemberId, readers: &[PlacementCandidate]) -> Vec<MemberId> {
    spread_over_data_centres(member.raw(), READERS_PER_MEMBER, readers)
}

/// How a member gets to know the registrations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// All members read.
    #[default]
    Independent,
    /// It reads for others.
    Reader,
    /// Others read for it.
    Served,
}

/// From what a member knows the state of the registrations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KnownFrom {
    /// A read of its own.
    #[default]
    OwnRead,
    /// The news of a reader.
    News,
}

impl KnownFrom {
    /// Returns the name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OwnRead => "own read",
            Self::News => "news",
        }
    }
}

/// Limits that decide whether and when members read.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Bytes per second that the store serves to all reads; `None` if unknown.
    pub read_bytes_per_s: Option<u64>,
    /// Time between two renewals of a registration, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time within which a change must be known, in milliseconds.
    pub drain_ms: u64,
}

/// Records of a topic in a range of offsets, without those that change nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeRange {
    /// First offset.
    pub from: u64,
    /// Offset after the last one.
    pub to: u64,
    /// Records by their offsets, in order.
    pub records: Vec<(u64, Bytes)>,
}

impl ChangeRange {
    fn size(&self) -> usize {
        let records = self.records.iter().map(|(_, record)| record_size(record));
        RANGE_OVERHEAD_BYTES + records.sum::<usize>()
    }

    fn is_well_formed(&self) -> bool {
        let offsets = self.records.iter().map(|(offset, _)| *offset);
        self.from <= self.to
            && offsets.clone().is_sorted()
            && offsets
                .into_iter()
                .all(|offset| (self.from..self.to).contains(&offset))
    }
}

fn record_size(record: &Bytes) -> usize {
    record.len() + RECORD_OVERHEAD_BYTES
}

/// What a reader tells another member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegistrationNews {
    /// The sender's [`CHANGE_RULES`].
    pub rules: u16,
    /// End of the topic at the sender's last read.
    pub end: u64,
    /// Ranges in order of their offsets, each beginning where the previous one ends.
    pub ranges: Vec<ChangeRange>,
}

/// News of a reader, and how old they were when they were sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DatedNews {
    /// The news.
    pub news: RegistrationNews,
    /// Time since the reader's read was sent, in milliseconds.
    pub age_ms: u64,
}

/// What came of a message of a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The ranges begin beyond the member's offset, or can't be used.
    Gap,
    /// Nothing new.
    Known,
    /// Records to apply, in order; may be empty.
    Records(Vec<Bytes>),
}

#[derive(Clone, Copy, Debug)]
struct Known {
    fingerprint: u64,
    bytes: u64,
}

/// A member's position in the topic of registrations, and what it has sent to others.
#[derive(Clone, Debug, Default)]
pub struct RegistrationFeed {
    /// Offset of the next record; `None` until the latest records were read.
    next: Option<u64>,
    /// Offset from which on `known` is exact.
    exact_from: u64,
    known: HashMap<EndpointId, Known>,
    known_bytes: u64,
    /// Time as of which the member was last at the end of the topic.
    at_end: Option<Time>,
    known_from: KnownFrom,
    is_shared: bool,
    /// Ranges of the last reads, by read.
    sent: VecDeque<Vec<ChangeRange>>,
    /// Changes since the last range that was sent, and where they begin.
    pending: Option<ChangeRange>,
}

impl RegistrationFeed {
    /// Returns the offset of the next record; `None` if the latest records must be read.
    #[must_use]
    pub const fn next(&self) -> Option<u64> {
        self.next
    }

    /// Records that the latest records were read: `from` is the end of the topic at the first
    /// page, which was requested at `as_of`, `to` at the last.
    pub fn restart(&mut self, as_of: Time, from: u64, to: u64) {
        self.next = Some(from);
        self.exact_from = to.max(from);
        self.at_end = Some(as_of);
        self.known_from = KnownFrom::OwnRead;
        self.clear_sent();
    }

    /// Returns the time as of which all registrations are known, and from what; `None` until
    /// the latest records were read.
    #[must_use]
    pub const fn known_as_of(&self) -> (Option<Time>, KnownFrom) {
        (self.at_end, self.known_from)
    }

    /// Records that the member's offset has expired.
    pub fn expire(&mut self) {
        self.next = None;
        self.clear_sent();
    }

    fn clear_sent(&mut self) {
        self.sent.clear();
        self.pending = None;
    }

    /// Records the registration that a record contains; `None` if it contains none. Returns
    /// whether this is a change.
    pub fn note(
        &mut self,
        endpoint: EndpointId,
        registration: Option<(&Registration, bool)>,
        bytes: usize,
    ) -> bool {
        let new = registration.map(|(registration, is_cold)| Known {
            fingerprint: fingerprint(registration, is_cold),
            bytes: bytes as u64,
        });
        let old = match new {
            Some(new) => self.known.insert(endpoint, new),
            None => self.known.remove(&endpoint),
        };
        self.known_bytes += new.map_or(0, |new| new.bytes);
        self.known_bytes -= old.map_or(0, |old| old.bytes);
        new.map(|new| new.fingerprint) != old.map(|old| old.fingerprint)
    }

    /// Returns the bytes of all registrations.
    #[must_use]
    pub const fn known_bytes(&self) -> u64 {
        self.known_bytes
    }

    /// Decides how this member gets to know the registrations. `candidates` are the members
    /// that may read, `members` the number of all.
    pub fn role(
        &mut self,
        own_id: MemberId,
        members: usize,
        candidates: &[PlacementCandidate],
        limits: &ReadLimits,
    ) -> Role {
        let Some(read_limit) = limits.read_bytes_per_s else {
            return Role::Independent;
        };
        let needed = members as u64 * self.known_bytes * 1_000 / limits.heartbeat_ms.max(1);
        let percent = if self.is_shared {
            SHARED_UNTIL_PERCENT
        } else {
            SHARED_FROM_PERCENT
        };
        self.is_shared = needed * 100 > read_limit * percent;
        let is_reader = |reader: &PlacementCandidate| reader.member == own_id;
        if !self.is_shared {
            Role::Independent
        } else if readers(candidates).iter().any(is_reader) {
            Role::Reader
        } else {
            Role::Served
        }
    }

    /// Returns whether reads were shared at the last call of [`role`](Self::role).
    #[must_use]
    pub const fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// Returns when a member that others read for must read itself.
    #[must_use]
    pub fn read_due(&self, own_id: MemberId, limits: &ReadLimits) -> Time {
        if is_injected(Fault::TrustRegistrationReaders) {
            return Time(u64::MAX);
        }
        let spread_ms = (limits.drain_ms * FALLBACK_SPREAD_PERCENT / 100).max(1);
        let wait_ms = limits.drain_ms * FALLBACK_PERCENT / 100;
        let at_end = self.at_end.unwrap_or_default();
        at_end.plus(wait_ms + own_id.raw() % spread_ms)
    }

    /// Begins to apply the records of an own read. Returns how many of its first records are
    /// already known, or `None` if it begins beyond the member's offset.
    #[must_use]
    pub fn known_records(&self, from: u64) -> Option<usize> {
        let known = self.next?.checked_sub(from)?;
        usize::try_from(known).ok()
    }

    /// Records that a record of an own read was applied, and whether it is a change.
    pub fn note_read(&mut self, record: &Bytes, is_change: bool) {
        let Some(offset) = self.next else { return };
        self.next = Some(offset + 1);
        if offset < self.exact_from {
            return;
        }
        let pending = self.pending.get_or_insert_with(|| ChangeRange {
            from: offset,
            to: offset,
            records: Vec::new(),
        });
        pending.to = offset + 1;
        if is_change {
            pending.records.push((offset, record.clone()));
        }
    }

    /// Records the end of an own read that was sent at `sent`: the topic ended at `end`.
    pub fn finish_read(&mut self, sent: Time, end: u64) {
        if self.next.is_some_and(|next| next >= end) {
            self.note_at_end(sent, KnownFrom::OwnRead);
        }
    }

    fn note_at_end(&mut self, as_of: Time, known_from: KnownFrom) {
        if self.at_end.is_none_or(|at_end| as_of >= at_end) {
            self.at_end = Some(as_of);
            self.known_from = known_from;
        }
    }

    /// Returns whether the latest records are fewer bytes than the records from the member's
    /// offset to `end`.
    #[must_use]
    pub fn is_far_behind(&self, end: u64) -> bool {
        let max_lag = self.known.len() as u64 * MAX_LAG_PER_REPLICA;
        self.next.is_some_and(|next| end > next + max_lag)
    }

    /// Drops the changes that were read for the member itself only.
    pub fn skip_news(&mut self) {
        self.clear_sent();
    }

    /// Returns the messages that a reader sends after a read to each of the `served` members.
    /// `end` is the end of the topic at the read.
    pub fn news(&mut self, served: usize, end: u64) -> Vec<RegistrationNews> {
        let Some(read) = self.pending.take() else {
            return Vec::new();
        };
        let max_bytes = (MAX_SENT_BYTES / served.max(1)).min(MAX_NEWS_BYTES);
        if read.size() > max_bytes {
            self.sent.clear();
            return Vec::new();
        }
        let Some(new) = split(read) else {
            self.sent.clear();
            return Vec::new();
        };
        let mut ranges: Vec<ChangeRange> = Vec::new();
        let mut repeated_bytes = 0;
        for range in self.sent.iter().flatten().rev() {
            repeated_bytes += range.size();
            if repeated_bytes > max_bytes.min(MAX_REPEATED_BYTES) {
                break;
            }
            ranges.insert(0, range.clone());
        }
        ranges.extend(new.iter().cloned());
        self.sent.push_back(new);
        while self.sent.len() > REPEATED_READS {
            self.sent.pop_front();
        }
        pack(ranges, end)
    }

    /// Takes the news of a reader. `as_of` is when its read was sent, or a time before that;
    /// `None` if the reader doesn't say how old they are.
    pub fn receive(&mut self, as_of: Option<Time>, news: RegistrationNews) -> Received {
        let Some(mut next) = self.next else {
            return Received::Gap;
        };
        if news.rules < CHANGE_RULES {
            return Received::Gap;
        }
        let (before, mut records, mut is_gap) = (next, Vec::new(), false);
        for range in news.ranges {
            let is_beyond = range.from > next && !is_injected(Fault::IgnoreRegistrationGap);
            if !range.is_well_formed() || is_beyond {
                is_gap = true;
                break;
            }
            let new = range.records.into_iter();
            let new = new.filter(|(offset, _)| *offset >= next);
            records.extend(new.map(|(_, record)| record));
            next = next.max(range.to);
        }
        self.next = Some(next);
        if let Some(as_of) = as_of.filter(|_| next >= news.end) {
            self.note_at_end(as_of, KnownFrom::News);
        }
        if next > before {
            // What this member would send begins with its own next read.
            self.clear_sent();
            Received::Records(records)
        } else if is_gap {
            Received::Gap
        } else {
            Received::Known
        }
    }
}

/// Splits a range into consecutive ones that fit a datagram each; `None` if a record is too
/// long for that.
fn split(read: ChangeRange) -> Option<Vec<ChangeRange>> {
    let mut ranges = Vec::new();
    let mut current = ChangeRange {
        from: read.from,
        ..ChangeRange::default()
    };
    let mut size = RANGE_OVERHEAD_BYTES;
    for (offset, record) in read.records {
        let added = record_size(&record);
        if RANGE_OVERHEAD_BYTES + added > MAX_DATAGRAM_NEWS_BYTES {
            return None;
        }
        if size + added > MAX_DATAGRAM_NEWS_BYTES {
            current.to = offset;
            ranges.push(std::mem::take(&mut current));
            current.from = offset;
            size = RANGE_OVERHEAD_BYTES;
        }
        size += added;
        current.records.push((offset, record));
    }
    current.to = read.to;
    ranges.push(current);
    Some(ranges)
}

/// Distributes consecutive ranges over as few messages as their order allows.
fn pack(ranges: Vec<ChangeRange>, end: u64) -> Vec<RegistrationNews> {
    let message = |ranges| RegistrationNews {
        rules: CHANGE_RULES,
        end,
        ranges,
    };
    let (mut messages, mut current, mut size) = (Vec::new(), Vec::new(), 0);
    for range in ranges {
        let added = range.size();
        if size + added > MAX_DATAGRAM_NEWS_BYTES && !current.is_empty() {
            messages.push(message(std::mem::take(&mut current)));
            size = 0;
        }
        size += added;
        current.push(range);
    }
    messages.push(message(current));
    messages
}
