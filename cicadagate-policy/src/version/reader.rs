/*!
Starting a fold from a stream whose early records have expired.

Records live for a limited time. Before the oldest needed one lapses, some
process appends a snapshot record that says which offset it covers. A reader
that starts later meets the stream in its middle: it must skip to the first
snapshot that covers everything already gone, adopt it, and only then fold
the records after the covered offset, some of which came *before* the
snapshot in the stream. [`Start`] buffers those.

The buffer is bounded by the stream's retained length, which the snapshot
interval bounds in turn.
*/

use crate::ids::Offset;

/// What the reader should do with its next record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<R> {
    /// Nothing to fold yet.
    Wait,
    /// Fold these, in order.
    Fold(Vec<(Offset, R)>),
}

/// A reader that has not found its starting point yet.
#[derive(Clone, Debug)]
pub struct Start<R> {
    version: Offset,
    gap: bool,
    buffered: Vec<(Offset, R)>,
}

impl<R> Start<R> {
    /// Starts at a version in force, [`Offset::NONE`] if there is none.
    #[must_use]
    pub const fn new(version: Offset) -> Self {
        Self {
            version,
            gap: false,
            buffered: Vec::new(),
        }
    }

    /// Tells whether records are missing that no snapshot has covered yet.
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.gap
    }

    /// Takes the record at `offset`; `covers` is set if it is a snapshot.
    pub fn push(&mut self, offset: Offset, record: R, covers: Option<Offset>) -> Step<R> {
        if offset <= self.version {
            return Step::Wait;
        }
        if !self.gap && self.buffered.is_empty() && offset > self.version.next() {
            self.gap = true;
        }
        self.buffered.push((offset, record));
        if self.gap {
            let first = self.buffered[0].0;
            // The snapshot must reach up to the record before the first one
            // that is still there.
            match covers {
                Some(covered) if covered.next() >= first => self.gap = false,
                _ => return Step::Wait,
            }
            let Some(snapshot) = self.buffered.pop() else {
                return Step::Wait;
            };
            self.version = offset;
            let rest = std::mem::take(&mut self.buffered);
            let after = rest.into_iter().filter(|(at, _)| Some(*at) > covers);
            return Step::Fold(std::iter::once(snapshot).chain(after).collect());
        }
        self.version = offset;
        Step::Fold(std::mem::take(&mut self.buffered))
    }
}
