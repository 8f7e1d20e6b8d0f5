/*!
Quarantine of requests under which replicas crash.

[`quarantine`](cicadagate_policy::process::quarantine) decides; this module tells
it what this process sees, exchanges it with the other gateways, and keeps the
quarantined parts in the store, so that a restarted process knows them.
*/

use {
    super::{Gateway, lost_contact, owners::owner_of},
    actix_rt::time::sleep,
    cicadagate_node::{clock::unix_time_ms, event},
    cicadagate_policy::{
        ids::{EndpointId, RequestPart},
        process::{
            quarantine::{
                Crash, Incarnation, QuarantineChange, QuarantineMessage, QuarantinedPart,
            },
            replicas::Registration,
        },
    },
    serde::{Deserialize, Serialize},
    std::{rc::Rc, time::Duration},
};

/// Compacted topic of the quarantined parts.
const QUARANTINE_TOPIC: &str = "keyed.cicadagate-quarantine";
/// Delay after a failed store operation.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Attempts to write a quarantined part to the store.
const WRITE_ATTEMPTS: u32 = 20;

/// A quarantined part in the store.
#[derive(Serialize, Deserialize)]
struct StoredPart {
    part: RequestPart,
    co_occurring: Vec<RequestPart>,
    /// End of the quarantine, in milliseconds since the Unix epoch.
    until_unix_ms: u64,
}

impl Gateway {
    /// Records that a replica ended while it had a request with these parts.
    pub fn note_crash(&self, replica: &Registration, parts: &[RequestPart]) {
        let endpoint = EndpointId::of(&replica.id);
        lost_contact::note(self, endpoint, false);
        if parts.is_empty() {
            return;
        }
        let crash = Crash {
            replica: Incarnation::new(endpoint, replica.started_ms),
            parts: parts.to_vec(),
        };
        self.quarantine.borrow_mut().note_crash(self.now(), crash);
    }

    /// Records that a replica answered a request with these parts.
    pub fn note_completed(self: &Rc<Self>, parts: &[RequestPart]) {
        let changes = self
            .quarantine
            .borrow_mut()
            .note_completed(self.now(), parts);
        for change in changes {
            if let QuarantineChange::Ended(part) = &change {
                actix_rt::spawn(write(Rc::clone(self), *part, None));
            }
            log(self, &change);
        }
    }
}

/// Applies a message of another gateway.
pub(super) fn receive(gateway: &Rc<Gateway>, message: QuarantineMessage) {
    let now = gateway.now();
    let changes = gateway.quarantine.borrow_mut().apply(now, message);
    handle_changes(gateway, changes);
}

/// Quarantines what is due, and returns the next message to the other gateways.
pub(super) fn tick(gateway: &Rc<Gateway>) -> Option<QuarantineMessage> {
    let now = gateway.now();
    let changes = gateway.quarantine.borrow_mut().decide(now);
    handle_changes(gateway, changes);
    gateway.quarantine.borrow_mut().next_message(now)
}

fn handle_changes(gateway: &Rc<Gateway>, changes: Vec<QuarantineChange>) {
    for change in changes {
        log(gateway, &change);
        if let QuarantineChange::Begun(quarantined, _) = change {
            let owner = owner_of(gateway, quarantined.part.hash());
            if owner.is_none_or(|(owner, _)| owner == gateway.member_id) {
                let part = quarantined.part;
                actix_rt::spawn(write(Rc::clone(gateway), part, Some(quarantined)));
            }
        }
    }
}

fn log(gateway: &Gateway, change: &QuarantineChange) {
    match change {
        QuarantineChange::Begun(quarantined, crashes) => event!(
            PROMPT_QUARANTINED,
            part: = quarantined.part,
            co_occurring = quarantined.co_occurring.len(),
            crashes = *crashes,
            source = if *crashes > 0 { "decided here" } else { "other member or store" },
            left_ms = quarantined.left_ms
        ),
        QuarantineChange::Ended(part) => event!(PROMPT_RELEASED, part: = part),
    }
    let count = gateway.quarantine.borrow().len(gateway.now());
    gateway.metrics.set_state("quarantined_prompt_parts", count);
}

/// Writes a quarantined part to the store, or removes it from there.
async fn write(gateway: Rc<Gateway>, part: RequestPart, quarantined: Option<QuarantinedPart>) {
    let stored = quarantined.map(|quarantined| StoredPart {
        part,
        co_occurring: quarantined.co_occurring,
        until_unix_ms: unix_time_ms() + quarantined.left_ms,
    });
    let value = match stored.as_ref().map(postcard::to_stdvec).transpose() {
        Ok(value) => value,
        Err(err) => {
            event!(APPEND_FAILED, topic = QUARANTINE_TOPIC, reason: = err);
            return;
        }
    };
    let key = format!("{:016x}", part.hash());
    let record = gateway.store.encode_keyed(&key, value.as_deref());
    for _ in 0..WRITE_ATTEMPTS {
        let append = gateway
            .store
            .append(QUARANTINE_TOPIC, 0, vec![record.clone()]);
        match append.await {
            Ok(_) => return,
            Err(err) => event!(APPEND_FAILED, topic = QUARANTINE_TOPIC, reason: = err),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads the quarantined parts from the store once.
pub(super) async fn load(gateway: Rc<Gateway>) {
    let mut after: Option<String> = None;
    loop {
        let page = match gateway
            .store
            .latest(QUARANTINE_TOPIC, after.as_deref())
            .await
        {
            Ok(page) => page,
            Err(err) => {
                event!(QUARANTINE_UNREAD, reason: = err);
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        after = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            let value = item.value.unwrap_or_default();
            match postcard::from_bytes::<StoredPart>(&value) {
                Ok(stored) => adopt(&gateway, stored),
                Err(err) if !value.is_empty() => {
                    event!(RECORD_SKIPPED, key = item.key, reason: = err);
                }
                Err(_) => {}
            }
        }
        if !page.has_more || after.is_none() {
            return;
        }
    }
}

fn adopt(gateway: &Gateway, stored: StoredPart) {
    let quarantined = QuarantinedPart {
        part: stored.part,
        co_occurring: stored.co_occurring,
        left_ms: stored.until_unix_ms.saturating_sub(unix_time_ms()),
    };
    let now = gateway.now();
    let change = gateway.quarantine.borrow_mut().adopt(now, quarantined);
    if let Some(change) = change {
        log(gateway, &change);
    }
}
