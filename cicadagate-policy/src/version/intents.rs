/*!
State of the intents stream.

A caller that got no response sends its request again with the same
idempotency key. If the request must not run twice, the process that is about to
run it first writes an intent. The first intent for a request in log order
permits its writer to run it. A process that finds another process's intent
has to report "maybe run".

An intent is removed once [`MAX_INTENTS`] further ones have been written, which
bounds the state. A request is expected to be sent again within minutes.
*/

use {
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{MemberId, Offset, RequestId},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum number of intents in the state. At 20 intents a second they cover
/// more than an hour.
pub const MAX_INTENTS: usize = 100_000;

/// A record of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Intent {
    /// The request.
    pub id: RequestId,
    /// The member that is about to run it.
    pub member: MemberId,
}

/// The state after applying the stream up to a version.
#[derive(Clone, Debug, Default)]
pub struct State {
    version: Offset,
    /// Writer of the first intent for each request.
    first_writers: BTreeMap<RequestId, MemberId>,
    /// Keys of `first_writers`, oldest first.
    insertion_order: VecDeque<RequestId>,
}

impl State {
    /// Returns the offset of the last applied record.
    #[must_use]
    pub const fn version(&self) -> Offset {
        self.version
    }

    /// Applies the record at `offset`; one at or before the version is ignored.
    pub fn apply(&mut self, offset: Offset, intent: &Intent) {
        if offset <= self.version {
            return;
        }
        self.version = offset;
        if self.first_writers.contains_key(&intent.id) && !is_injected(Fault::IgnoreIntent) {
            return;
        }
        self.first_writers.insert(intent.id, intent.member);
        self.insertion_order.push_back(intent.id);
        if self.insertion_order.len() > MAX_INTENTS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.first_writers.remove(&oldest);
        }
    }

    /// Advances the version past an offset whose record could not be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.version = self.version.max(offset);
    }

    /// Returns the member whose intent for a request came first.
    #[must_use]
    pub fn first_member(&self, id: RequestId) -> Option<MemberId> {
        self.first_writers.get(&id).copied()
    }
}
