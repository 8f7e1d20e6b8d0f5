/*!
Reading a stream whose early records have expired.

Records are kept for a limited time. Before the oldest record that is still
needed expires, a process appends a snapshot record that states up to which
offset it covers the stream. A reader that starts later finds only the tail of
the stream. It must skip to the first snapshot that covers all expired
records, adopt it, and only then apply the records after the covered offset,
some of which come *before* the snapshot in the stream. [`SnapshotCatchUp`]
buffers those.

The buffer is bounded by the length of the retained stream, which is bounded
by the interval between snapshots.
*/

use crate::ids::Offset;

/// What a reader has to apply after its next record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUpStep<R> {
    /// Nothing yet.
    Wait,
    /// These records, in order.
    Apply(Vec<(Offset, R)>),
}

/// Buffers records until a reader has a state to apply them to.
#[derive(Clone, Debug)]
pub struct SnapshotCatchUp<R> {
    /// Offset of the last record that was returned to be applied.
    version: Offset,
    /// Records after `version` have expired and no snapshot has covered them
    /// yet.
    gap: bool,
    buffered: Vec<(Offset, R)>,
}

impl<R> SnapshotCatchUp<R> {
    /// Creates a reader that continues after the version of its state,
    /// [`Offset::NONE`] if the state is empty.
    #[must_use]
    pub const fn new(version: Offset) -> Self {
        Self {
            version,
            gap: false,
            buffered: Vec::new(),
        }
    }

    /// Returns `true` if records have expired that no snapshot has covered yet.
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.gap
    }

    /// Processes the record at `offset`. If it is a snapshot, `covers` is the
    /// offset up to which it covers the stream.
    pub fn push(&mut self, offset: Offset, record: R, covers: Option<Offset>) -> CatchUpStep<R> {
        if offset <= self.version {
            return CatchUpStep::Wait;
        }
        if !self.gap && self.buffered.is_empty() && offset > self.version.next() {
            self.gap = true;
        }
        self.buffered.push((offset, record));
        if self.gap {
            let first_retained = self.buffered[0].0;
            // The snapshot must cover all records before the first one that is
            // retained.
            match covers {
                Some(covered) if covered.next() >= first_retained => self.gap = false,
                _ => return CatchUpStep::Wait,
            }
            let Some(snapshot) = self.buffered.pop() else {
                return CatchUpStep::Wait;
            };
            self.version = offset;
            let buffered = std::mem::take(&mut self.buffered);
            let uncovered = buffered
                .into_iter()
                .filter(|(offset, _)| Some(*offset) > covers);
            return CatchUpStep::Apply(std::iter::once(snapshot).chain(uncovered).collect());
        }
        self.version = offset;
        CatchUpStep::Apply(std::mem::take(&mut self.buffered))
    }
}
