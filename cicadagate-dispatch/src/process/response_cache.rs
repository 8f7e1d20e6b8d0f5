/*!
Cache of responses to requests with an idempotency key.

A caller's retry is routed by its idempotency key alone, so it normally reaches
the same process and gets the response of the first run. The cache is bounded in
time and bytes. A retry whose response was evicted is run again if the request
is idempotent; otherwise the intent that was written to the log before the first
run shows that it may have run.
*/

use {
    bytes::Bytes,
    cicadagate_policy::{ids::RequestId, time::Time},
    cicadagate_wire::peer::{FromServer, Submit},
    std::collections::{HashMap, VecDeque},
};

/// Maximum age of a cached response, in milliseconds.
const MAX_AGE_MS: u64 = 600_000;
/// Maximum size of all cached responses, in bytes.
const MAX_BYTES: usize = 32 * 1024 * 1024;

/// A response as it was relayed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordedResponse {
    pub head: Option<(u16, Vec<(String, String)>)>,
    pub pieces: Vec<Bytes>,
    pub finish: String,
    pub prompt_tokens: u64,
    /// Whether pieces were left out since there was no memory to hold them.
    pub is_incomplete: bool,
}

impl RecordedResponse {
    /// Returns the size that counts towards the bound: all pieces, and 256
    /// bytes for the rest.
    fn bytes(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum::<usize>() + 256
    }

    /// Returns the messages that send the response to another attempt.
    fn replay(&self, submit: &Submit) -> Vec<FromServer> {
        let (id, attempt) = (submit.id, submit.attempt);
        let head = self.head.clone().map(|(status, headers)| FromServer::Head {
            id,
            attempt,
            status,
            headers,
        });
        let pieces = (0..)
            .zip(&self.pieces)
            .filter(|(index, _)| *index >= submit.resume_from);
        let pieces = pieces.map(|(index, body)| FromServer::Piece {
            id,
            attempt,
            index,
            body: body.clone(),
        });
        let end = FromServer::End {
            id,
            attempt,
            pieces: self.pieces.len() as u64,
            finish: self.finish.clone(),
            prompt_tokens: self.prompt_tokens,
            load: 0,
        };
        head.into_iter()
            .chain(pieces)
            .chain(std::iter::once(end))
            .collect()
    }
}

/// Cached responses of this process, in order of insertion.
#[derive(Debug, Default)]
pub(super) struct ResponseCache {
    responses: HashMap<RequestId, RecordedResponse>,
    order: VecDeque<(Time, RequestId)>,
    bytes: usize,
}

impl ResponseCache {
    /// Caches a complete response.
    pub fn insert(&mut self, now: Time, id: RequestId, response: RecordedResponse) {
        self.bytes += response.bytes();
        match self.responses.insert(id, response) {
            Some(old) => self.bytes = self.bytes.saturating_sub(old.bytes()),
            None => self.order.push_back((now, id)),
        }
        self.evict(now);
    }

    /// Returns the messages that respond to a retry, if its response is cached.
    pub fn replay(&mut self, now: Time, submit: &Submit) -> Option<Vec<FromServer>> {
        self.evict(now);
        self.responses
            .get(&submit.id)
            .map(|response| response.replay(submit))
    }

    /// Removes the oldest responses until the cache is within its bounds.
    fn evict(&mut self, now: Time) {
        while let Some((inserted, id)) = self.order.front().copied() {
            if now.since(inserted) < MAX_AGE_MS && self.bytes <= MAX_BYTES {
                return;
            }
            self.order.pop_front();
            if let Some(response) = self.responses.remove(&id) {
                self.bytes = self.bytes.saturating_sub(response.bytes());
            }
        }
    }
}
