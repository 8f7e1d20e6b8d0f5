/*!
Answers to requests with an idempotency key.

A resend comes to the same home, since its key decides the replica, and gets
the first run's answer. The memory is bounded in time and bytes; what falls out
of it is answered by the intents, or run again if it may be.
*/

use {
    bytes::Bytes,
    cicadagate_policy::{ids::RequestId, time::Time},
    cicadagate_wire::peer::{FromServer, Submit},
    std::collections::{HashMap, VecDeque},
};

/// How long an answer is kept, in milliseconds.
const MAX_AGE_MS: u64 = 600_000;
/// Bytes of answers that are kept.
const MAX_BYTES: usize = 32 * 1024 * 1024;

/// An answer as it was relayed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordedResponse {
    pub head: Option<(u16, Vec<(String, String)>)>,
    pub pieces: Vec<Bytes>,
    pub finish: String,
    pub prompt_tokens: u64,
}

impl RecordedResponse {
    fn bytes(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum::<usize>() + 256
    }

    /// Returns the messages that give the answer again.
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

/// The answers of one home.
#[derive(Debug, Default)]
pub(super) struct ResponseCache {
    responses: HashMap<RequestId, RecordedResponse>,
    order: VecDeque<(Time, RequestId)>,
    bytes: usize,
}

impl ResponseCache {
    /// Keeps a whole answer.
    pub fn insert(&mut self, now: Time, id: RequestId, response: RecordedResponse) {
        self.bytes += response.bytes();
        match self.responses.insert(id, response) {
            Some(old) => self.bytes = self.bytes.saturating_sub(old.bytes()),
            None => self.order.push_back((now, id)),
        }
        self.evict(now);
    }

    /// Returns the messages that answer a resend, if the answer is kept.
    pub fn replay(&mut self, now: Time, submit: &Submit) -> Option<Vec<FromServer>> {
        self.evict(now);
        self.responses
            .get(&submit.id)
            .map(|response| response.replay(submit))
    }

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
