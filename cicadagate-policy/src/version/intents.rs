/*!
The fold of the intents stream.

A caller that got no answer sends its request again, with the same idempotency
key. If the call may not be repeated, a home writes an intent before it runs
it. The first intent for a request in log order may run it; whoever finds
another's intent must say "maybe run".

Intents are forgotten after [`REMEMBERED`] further ones, so that the state stays
bounded. A resend is expected within minutes.
*/

use {
    crate::{
        ids::{MemberId, Offset, RequestId},
        planted::{Fault, is_planted},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Intents that are remembered. At 20 a second that is above an hour.
pub const REMEMBERED: usize = 100_000;

/// A record of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Intent {
    /// Request.
    pub id: RequestId,
    /// Member that is about to run it.
    pub member: MemberId,
}

/// The state after folding the stream up to a version.
#[derive(Clone, Debug, Default)]
pub struct State {
    version: Offset,
    first: BTreeMap<RequestId, MemberId>,
    order: VecDeque<RequestId>,
}

impl State {
    /// Returns the offset of the last folded record.
    #[must_use]
    pub const fn version(&self) -> Offset {
        self.version
    }

    /// Folds the record at `offset`.
    pub fn fold(&mut self, offset: Offset, intent: &Intent) {
        if offset <= self.version {
            return;
        }
        self.version = offset;
        if self.first.contains_key(&intent.id) && !is_planted(Fault::IgnoreIntent) {
            return;
        }
        self.first.insert(intent.id, intent.member);
        self.order.push_back(intent.id);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.first.remove(&oldest);
        }
    }

    /// Marks an offset as read that held no readable record.
    pub fn skip(&mut self, offset: Offset) {
        self.version = self.version.max(offset);
    }

    /// Returns the member whose intent came first.
    #[must_use]
    pub fn first(&self, id: RequestId) -> Option<MemberId> {
        self.first.get(&id).copied()
    }
}
