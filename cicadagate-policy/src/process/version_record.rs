/*!
Which software versions of a service are recorded in the store.

# Problem

After a restart of all processes nobody knows which version began a stream, and a
version that is the only one present may not be the only one at which a live stream
began.

# Choice

The store lists the versions of each service, one key each. A version is recorded before
resumable streams are sent to its replicas, and removed once no stream that began at it
can be alive. A process reads the list at its start; what it lists counts as present
for [`VERSION_MEMORY_MS`]. No times are stored, so that clocks do not matter.

What a member has seen since may be stale without its knowledge: notices are lost, and a
member that was cut off or suspended acts on its old state before it has read anything. So
a stream of unknown origin goes on only after the list and the registrations were read
once more, in reads that began after the caller resumed it: the stream had begun before,
and its version was registered before that.

A member that sees no replica of a version for [`UNRECORDED_AFTER_MS`] takes it as
unrecorded, and the owner removes it only after [`REMOVE_AFTER_MS`]: a version that comes
back is recorded again, also where the notice of its removal was lost. The store may carry a
removal out late, after the version was recorded again, so the member that sent it records
a version that has come back once more after [`LATE_REMOVAL_MS`].

# Cost

One store call for each version that appears and one for each that is gone; two for the
streams of unknown origin that callers resume during one read, none for others.
*/

use {
    super::stream_origins::{VERSION_MEMORY_MS, VersionHistory},
    crate::{
        fault_injection::{Fault, is_injected},
        ids::SoftwareVersion,
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// Time for which a member that isn't the owner of a version waits for notice that it is
/// recorded before it records the version itself, in milliseconds.
pub const NOTICE_WAIT_MS: u64 = 1_000;
/// Time between two attempts to record or remove a version, in milliseconds.
pub const WRITE_INTERVAL_MS: u64 = 1_000;
/// Time without a replica after which a version must be recorded again, in milliseconds.
pub const UNRECORDED_AFTER_MS: u64 = 30_000;
/// Time without a replica after which a version is removed, in milliseconds: longer than
/// streams live, by more than the views of two members differ.
pub const REMOVE_AFTER_MS: u64 = VERSION_MEMORY_MS + 15_000;
/// Time without a replica after which a version is forgotten, in milliseconds. Until then
/// a new owner may remove it if the previous one ended.
pub const FORGET_AFTER_MS: u64 = 2 * REMOVE_AFTER_MS;
/// Time within which the store carries out a removal, in milliseconds.
pub const LATE_REMOVAL_MS: u64 = 15_000;
/// Most versions that are remembered.
pub const MAX_VERSIONS: usize = 4_096;

/// A software version of a service, by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct VersionName {
    /// Service.
    pub service: String,
    /// Name of the version; empty if the replicas' registrations name none.
    pub version: String,
}

impl VersionName {
    /// Returns the id of the version.
    #[must_use]
    pub fn id(&self) -> SoftwareVersion {
        SoftwareVersion::of_service(&self.service, &self.version)
    }
}

/// A change to make in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// Records a version.
    Add(VersionName),
    /// Removes a version.
    Remove(SoftwareVersion),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Whether resumable streams may be sent to its replicas.
    is_recorded: bool,
    /// Whether the store lists it, as far as known.
    is_stored: bool,
    /// Whether the store listed it when it was first read.
    was_listed: bool,
    /// When a replica of it, or the record itself, was last seen.
    last_seen: Time,
    /// Since when its record is missing.
    missing_since: Option<Time>,
    /// Time before which no further attempt to write is made.
    next_write: Time,
    /// When this member last tried to remove it, until it is recorded again for sure.
    removal_sent: Option<Time>,
}

impl Entry {
    fn new(now: Time) -> Self {
        Self {
            is_recorded: false,
            is_stored: false,
            was_listed: false,
            last_seen: now,
            missing_since: None,
            next_write: Time::default(),
            removal_sent: None,
        }
    }

    fn set_recorded(&mut self, now: Time) {
        self.is_recorded = true;
        self.is_stored = true;
        self.last_seen = now;
        self.missing_since = None;
        self.removal_sent = self.removal_sent.filter(|_| !self.is_removal_over(now));
    }

    fn is_removal_over(&self, now: Time) -> bool {
        let over = |sent: Time| now.since(sent) >= LATE_REMOVAL_MS;
        self.removal_sent.is_some_and(over)
    }

    fn may_write(&mut self, now: Time) -> bool {
        let is_due = self.next_write <= now;
        if is_due {
            self.next_write = now.plus(WRITE_INTERVAL_MS);
        }
        is_due
    }
}

/// The record of software versions, as far as a member knows it.
#[derive(Clone, Debug, Default)]
pub struct VersionRecord {
    read_at: Option<Time>,
    entries: HashMap<SoftwareVersion, Entry>,
    /// Whether there were more versions than are remembered.
    is_incomplete: bool,
}

impl VersionRecord {
    /// Records what the store lists at the start of the process.
    pub fn note_read(&mut self, now: Time, listed: &[VersionName], history: &mut VersionHistory) {
        self.read_at.get_or_insert(now);
        if is_injected(Fault::IgnoreVersionRecord) {
            return;
        }
        for name in listed {
            history.note(now, &name.service, name.id());
            if let Some(entry) = self.entry(now, name.id()) {
                entry.set_recorded(now);
                entry.was_listed = true;
            }
        }
    }

    /// Records what the store lists at a later read. A version that no member knows any more
    /// is removed in time.
    pub fn note_listed(&mut self, now: Time, listed: &[VersionName]) {
        for name in listed {
            if let Some(entry) = self.entry(now, name.id()) {
                entry.is_stored = true;
            }
        }
    }

    /// Returns whether the store was read.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Records that the store lists a version.
    pub fn note_added(&mut self, now: Time, version: SoftwareVersion) {
        if let Some(entry) = self.entry(now, version) {
            entry.set_recorded(now);
        }
    }

    /// Records that a version was removed from the store.
    pub fn note_removed(&mut self, version: SoftwareVersion) {
        if let Some(entry) = self.entries.get_mut(&version) {
            entry.is_recorded = false;
            entry.is_stored = false;
        }
    }

    /// Returns whether resumable streams may be sent to replicas of a version.
    #[must_use]
    pub fn is_recorded(&self, version: SoftwareVersion) -> bool {
        let entry = self.entries.get(&version);
        entry.is_some_and(|entry| entry.is_recorded)
    }

    /// Returns the number of versions that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no version is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the only version of a service at which a stream may have begun; `None` if
    /// there are several, or if the record does not show that there is only one. `listed`
    /// is what the store listed at a read that began after the caller resumed the stream.
    #[must_use]
    pub fn only_version(
        &self,
        now: Time,
        service: &str,
        present: impl Iterator<Item = SoftwareVersion>,
        history: &VersionHistory,
        listed: &[VersionName],
    ) -> Option<SoftwareVersion> {
        let version = history.only_version(now, service, present)?;
        if is_injected(Fault::IgnoreVersionRecord) {
            return Some(version);
        }
        let mut of_service = listed.iter().filter(|name| name.service == service);
        if of_service.any(|name| name.id() != version) {
            return None;
        }
        let read_at = self.read_at.filter(|_| !self.is_incomplete)?;
        let was_listed = self
            .entries
            .get(&version)
            .is_some_and(|entry| entry.was_listed);
        (was_listed || now.since(read_at) >= VERSION_MEMORY_MS).then_some(version)
    }

    /// Returns the changes that this member is to make now. `present` are the versions
    /// that have replicas; `owns` returns whether this member owns a version's key.
    pub fn due_changes(
        &mut self,
        now: Time,
        present: &HashSet<VersionName>,
        owns: impl Fn(SoftwareVersion) -> bool,
    ) -> Vec<RecordChange> {
        if self.read_at.is_none() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for entry in self.entries.values_mut() {
            if now.since(entry.last_seen) >= UNRECORDED_AFTER_MS {
                entry.is_recorded = false;
                entry.missing_since = None;
            }
        }
        for name in present {
            let version = name.id();
            let Some(entry) = self.entry(now, version) else {
                continue;
            };
            entry.last_seen = now;
            if entry.is_recorded {
                if entry.is_removal_over(now) && entry.may_write(now) {
                    changes.push(RecordChange::Add(name.clone()));
                }
                continue;
            }
            let since = *entry.missing_since.get_or_insert(now);
            let is_due = now.since(since) >= NOTICE_WAIT_MS || owns(version);
            if is_due && entry.may_write(now) {
                changes.push(RecordChange::Add(name.clone()));
            }
        }
        for (version, entry) in &mut self.entries {
            let is_gone = now.since(entry.last_seen) >= REMOVE_AFTER_MS;
            if is_gone && entry.is_stored && owns(*version) && entry.may_write(now) {
                entry.removal_sent = Some(now);
                changes.push(RecordChange::Remove(*version));
            }
        }
        self.entries
            .retain(|_, entry| now.since(entry.last_seen) < FORGET_AFTER_MS);
        changes
    }

    fn entry(&mut self, now: Time, version: SoftwareVersion) -> Option<&mut Entry> {
        if self.entries.len() >= MAX_VERSIONS && !self.entries.contains_key(&version) {
            self.is_incomplete = true;
            return None;
        }
        Some(
            self.entries
                .entry(version)
                .or_insert_with(|| Entry::new(now)),
        )
    }
}
