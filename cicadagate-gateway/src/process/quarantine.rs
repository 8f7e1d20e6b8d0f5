/*!
Quarantine of requests under which replicas crash.

[`quarantine`](cicadagate_policy::process::quarantine) decides; this module tells
it what this process sees, exchanges it with the other gateways, and keeps the
quarantined parts in the store, so that a restarted process knows them. It also asks the
owners of quarantined parts for [trials](cicadagate_policy::process::quarantine::trials).
*/

use {
    super::{Gateway, lost_contact, owners::owner_of},
    actix_rt::time::sleep,
    cicadagate_node::{clock::unix_time_ms, event},
    cicadagate_policy::{
        ids::{EndpointId, RequestPart, hash64},
        process::{
            quarantine::{
                Crash, Incarnation, QuarantineChange, QuarantineMessage, QuarantinedPart,
                trials::{PartTrials, TrialMessage},
            },
            replicas::Registration,
        },
    },
    cicadagate_wire::datagram::GatewayDatagram,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Compacted topic of the quarantined parts.
const QUARANTINE_TOPIC: &str = "keyed.cicadagate-quarantine";
/// Delay after a failed store operation.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Attempts to write a quarantined part to the store.
const WRITE_ATTEMPTS: u32 = 20;
/// How often the owner is asked for a trial, since datagrams may be lost.
const TRIAL_QUERIES: usize = 4;

/// A quarantined part in the store. The number of its trials follows, which records of
/// earlier builds lack.
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

/// Asks the owner of a request's quarantined parts whether the request may be sent to one
/// replica.
pub async fn request_trial(gateway: &Rc<Gateway>, id: &str, parts: &[RequestPart]) -> bool {
    let blocking = gateway.quarantine.borrow().blocking(gateway.now(), parts);
    // Requests with the same parts ask the same owner.
    let Some(key) = blocking.iter().map(|part| part.hash()).min() else {
        return true;
    };
    let Some((owner, addr)) = owner_of(gateway, key) else {
        return false;
    };
    let request = hash64(&[id.as_bytes()]);
    let is_granted = if owner == gateway.member_id {
        grant_trial(gateway, request, &blocking)
    } else {
        query_owner(gateway, addr, request, &blocking).await
    };
    if is_granted {
        let part = blocking[0];
        event!(QUARANTINE_TRIED, request = id, part: = part, parts = blocking.len());
    }
    is_granted
}

async fn query_owner(
    gateway: &Rc<Gateway>,
    addr: SocketAddr,
    request: u64,
    parts: &[RequestPart],
) -> bool {
    let (quarantined, trials): (Vec<QuarantinedPart>, Vec<PartTrials>) = {
        let now = gateway.now();
        let known = gateway.quarantine.borrow();
        let quarantined = parts
            .iter()
            .filter_map(|part| known.quarantined(now, *part));
        let trials = parts.iter().filter_map(|part| known.trials(now, *part));
        (quarantined.collect(), trials.collect())
    };
    for _ in 0..TRIAL_QUERIES {
        let send_query = |seq| {
            let message = TrialMessage::Ask {
                seq,
                request,
                quarantined: quarantined.clone(),
                trials: trials.clone(),
            };
            send(gateway, addr, message);
        };
        if let Some(is_granted) = gateway.trial_queries.query(send_query).await {
            return is_granted;
        }
    }
    false
}

/// Decides on a trial as the owner of the parts, and lists it in the store.
fn grant_trial(gateway: &Rc<Gateway>, request: u64, parts: &[RequestPart]) -> bool {
    let now = gateway.now();
    let mut known = gateway.quarantine.borrow_mut();
    let is_granted = known.grant_trial(now, request, parts);
    if is_granted {
        for part in parts {
            let quarantined = known.quarantined(now, *part);
            actix_rt::spawn(write(Rc::clone(gateway), *part, quarantined));
        }
    }
    is_granted
}

fn send(gateway: &Gateway, to: SocketAddr, message: TrialMessage) {
    if let Some(peer_socket) = gateway.peer_socket.get() {
        peer_socket.send(gateway, to, &GatewayDatagram::QuarantineTrial(message));
    }
}

/// Handles a message about trials from another gateway.
pub(super) fn receive_trial(gateway: &Rc<Gateway>, from: SocketAddr, message: TrialMessage) {
    match message {
        TrialMessage::Ask {
            seq,
            request,
            quarantined,
            trials,
        } => {
            let parts: Vec<RequestPart> = quarantined.iter().map(|it| it.part).collect();
            for it in quarantined {
                adopt(gateway, it, &[]);
            }
            let now = gateway.now();
            gateway.quarantine.borrow_mut().note_trials(now, &trials);
            let is_granted = grant_trial(gateway, request, &parts);
            send(gateway, from, TrialMessage::Answer { seq, is_granted });
        }
        TrialMessage::Answer { seq, is_granted } => {
            gateway.trial_queries.complete(seq, is_granted);
        }
        TrialMessage::Tried(trials) => {
            let now = gateway.now();
            gateway.quarantine.borrow_mut().note_trials(now, &trials);
        }
    }
}

/// Returns what is to be told to the other gateways of trials.
pub(super) fn next_trials(gateway: &Gateway) -> Option<GatewayDatagram> {
    let now = gateway.now();
    let trials = gateway.quarantine.borrow_mut().next_trials(now)?;
    Some(GatewayDatagram::QuarantineTrial(TrialMessage::Tried(
        trials,
    )))
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

/// Writes a quarantined part and the number of its trials to the store, or removes it from
/// there.
async fn write(gateway: Rc<Gateway>, part: RequestPart, quarantined: Option<QuarantinedPart>) {
    let is_removal = quarantined.is_none();
    let trials = gateway.quarantine.borrow().trials(gateway.now(), part);
    let stored = quarantined.map(|quarantined| {
        let stored = StoredPart {
            part,
            co_occurring: quarantined.co_occurring,
            until_unix_ms: unix_time_ms() + quarantined.left_ms,
        };
        (stored, trials.map_or(0, |trials| trials.count))
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
        let is_quarantined = {
            let known = gateway.quarantine.borrow();
            known.quarantined(gateway.now(), part).is_some()
        };
        // A later write may have been carried out meanwhile.
        if is_quarantined == is_removal {
            return;
        }
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
            match decode(&value) {
                Ok((stored, trials)) => adopt_stored(&gateway, stored, trials),
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

/// Decodes a quarantined part in the store and the number of its trials.
fn decode(value: &[u8]) -> postcard::Result<(StoredPart, u32)> {
    let (stored, rest) = postcard::take_from_bytes::<StoredPart>(value)?;
    let trials = if rest.is_empty() {
        0
    } else {
        postcard::from_bytes(rest)?
    };
    Ok((stored, trials))
}

fn adopt_stored(gateway: &Gateway, stored: StoredPart, trials: u32) {
    let quarantined = QuarantinedPart {
        part: stored.part,
        co_occurring: stored.co_occurring,
        left_ms: stored.until_unix_ms.saturating_sub(unix_time_ms()),
    };
    let trials = PartTrials {
        part: stored.part,
        count: trials,
        // When the last one was is not listed.
        age_ms: 0,
    };
    adopt(gateway, quarantined, &[trials]);
}

fn adopt(gateway: &Gateway, quarantined: QuarantinedPart, trials: &[PartTrials]) {
    let now = gateway.now();
    let change = {
        let mut known = gateway.quarantine.borrow_mut();
        let change = known.adopt(now, quarantined);
        known.note_trials(now, trials);
        change
    };
    if let Some(change) = change {
        log(gateway, &change);
    }
}
