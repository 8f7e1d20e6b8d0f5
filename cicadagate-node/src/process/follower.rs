/*!
Replaying and tailing streams of the log, and polling the platform's instance
list.
*/

use {
    super::{CONFIG_STREAM, Node},
    crate::{
        event,
        platform::{
            instance_list::ListedInstances,
            log::{Log, decode},
        },
    },
    actix_rt::time::sleep,
    cicadagate_policy::{
        ids::{MemberId, Offset},
        process::membership::Role,
        time::Time,
        version::{
            config::{Change, Object, ObjectKey, Record, State, Verdict},
            reader::{CatchUpStep, SnapshotCatchUp},
        },
    },
    cicadagate_wire::peer::{FromServer, ToServer},
    serde::de::DeserializeOwned,
    std::{rc::Rc, time::Duration},
};

/// Most records of one read.
const READ_LIMIT_RECORDS: usize = 1_000;
/// Time for which a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time between two reads of the instance list.
const LIST_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Most peers that are queried for the configuration when a process starts
/// while the log is unreachable.
const MAX_PEERS_QUERIED: usize = 5;
/// Time within which a peer must respond.
const FETCH_CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// Consumer of a stream's records that maintains a replicated state, driven by
/// [`follow_stream`].
pub trait StreamConsumer {
    /// Type of the stream's records.
    type Record: DeserializeOwned;

    /// Returns the offset up to which the record, if it is a snapshot, replaces
    /// the stream.
    fn covered_offset(&self, record: &Self::Record) -> Option<Offset>;

    /// Returns whether records that expired before they were read may be left
    /// out.
    fn allows_gaps(&self) -> bool {
        false
    }

    /// Applies the record at an offset.
    fn apply(&self, offset: Offset, record: &Self::Record);

    /// Skips an offset whose record can't be decoded.
    fn skip(&self, offset: Offset);

    /// Returns the offset of the last record that was applied or skipped.
    fn applied_offset(&self) -> Offset;

    /// Called when a read that was sent at `sent` has reached the end of the
    /// stream.
    fn on_caught_up(&self, sent: Time);

    /// Called when a read has failed.
    fn on_read_failure(&self) {}
}

/// Replays a stream of the log from the version of `consumer` on, and keeps
/// applying new records for as long as the process runs.
pub async fn follow_stream<F: StreamConsumer>(
    node: Rc<Node>,
    log: Rc<dyn Log>,
    stream: &'static str,
    consumer: Rc<F>,
) {
    let mut catch_up = SnapshotCatchUp::new(consumer.applied_offset());
    let mut next = consumer.applied_offset().next();
    let mut reachable = true;
    loop {
        let sent = node.now();
        match log
            .read(stream.to_owned(), next, READ_LIMIT_RECORDS, READ_WAIT)
            .await
        {
            Ok(batch) => {
                if !reachable {
                    event!(LOG_REACHABLE, stream);
                    reachable = true;
                }
                if consumer.applied_offset() >= next {
                    // The state has been fetched from a peer meanwhile.
                    catch_up = SnapshotCatchUp::new(consumer.applied_offset());
                    next = consumer.applied_offset().next();
                }
                let had_gap = catch_up.has_gap();
                for (offset, body) in batch.records {
                    if offset < next {
                        continue;
                    }
                    next = offset.next();
                    push_record(&mut catch_up, &*consumer, offset, &body, stream);
                }
                if catch_up.has_gap() && !had_gap {
                    event!(LOG_GAP, stream);
                }
                if !catch_up.has_gap() && next > batch.end {
                    consumer.on_caught_up(sent);
                }
            }
            Err(err) => {
                if reachable {
                    event!(LOG_UNREACHABLE, stream, reason: = err);
                    reachable = false;
                }
                consumer.on_read_failure();
                sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

fn push_record<F: StreamConsumer>(
    catch_up: &mut SnapshotCatchUp<Option<F::Record>>,
    consumer: &F,
    offset: Offset,
    body: &[u8],
    stream: &str,
) {
    let record = decode::<F::Record>(body);
    if let Err(err) = &record {
        event!(RECORD_SKIPPED, stream, offset: = offset, reason: = err);
    }
    let record = record.ok();
    if consumer.allows_gaps() {
        match record {
            Some(record) => consumer.apply(offset, &record),
            None => consumer.skip(offset),
        }
        return;
    }
    let covers = record
        .as_ref()
        .and_then(|record| consumer.covered_offset(record));
    if let CatchUpStep::Apply(records) = catch_up.push(offset, record, covers) {
        for (offset, record) in records {
            match record {
                Some(record) => consumer.apply(offset, &record),
                None => consumer.skip(offset),
            }
        }
    }
}

struct ConfigConsumer {
    node: Rc<Node>,
}

impl StreamConsumer for ConfigConsumer {
    type Record = Record;

    fn covered_offset(&self, record: &Record) -> Option<Offset> {
        record.covers()
    }

    fn apply(&self, offset: Offset, record: &Record) {
        let verdict = self.node.config.borrow_mut().apply(offset, record);
        if let Some(verdict) = &verdict {
            event!(CONFIG_IN_FORCE, offset: = offset, verdict:? = verdict);
        }
        if let (Change::WithdrawKey(id), Some(Verdict::Accepted(_))) = (&record.change, &verdict) {
            self.gossip_withdrawal(id);
        }
        self.node.propagate_config();
    }

    fn skip(&self, offset: Offset) {
        self.node.config.borrow_mut().skip(offset);
        self.node.propagate_config();
    }

    fn applied_offset(&self) -> Offset {
        self.node.config.borrow().version()
    }

    fn on_caught_up(&self, sent: Time) {
        if !self.node.has_caught_up.replace(true) {
            event!(READY, version: = self.applied_offset());
        }
        self.node.contact.borrow_mut().note_log_read(sent);
    }

    fn on_read_failure(&self) {
        if !self.node.is_configured() {
            actix_rt::spawn(fetch_config_from_peers(Rc::clone(&self.node)));
        }
    }
}

impl ConfigConsumer {
    fn gossip_withdrawal(&self, id: &str) {
        let config = self.node.config.borrow();
        let key = ObjectKey::Key(id.to_owned());
        let object = config.objects().find(|(other, _)| **other == key);
        if let Some((_, object)) = object
            && let Object::WithdrawnKey(key) = &object.value
        {
            self.node
                .membership
                .borrow_mut()
                .gossip_withdrawn_key(key.hash);
            event!(KEY_WITHDRAWN, id);
        }
    }
}

impl Node {
    /// Propagates a change of the configuration: to the membership, contact,
    /// metrics and hooks, and to receivers of changes.
    fn propagate_config(&self) {
        let config = self.config.borrow();
        let version = config.version();
        let leaving = !self.is_advertised();
        self.membership.borrow_mut().set_own_state(version, leaving);
        if let Some((epoch, state)) = config.epoch() {
            let witnesses: Vec<_> = state
                .roster
                .witnesses
                .iter()
                .map(|roster_member| roster_member.member)
                .collect();
            self.contact.borrow_mut().set_roster(epoch, &witnesses);
        }
        self.metrics
            .set_state("config_version", usize::try_from(version.0).unwrap_or(0));
        drop(config);
        for hook in &*self.config_hooks.borrow() {
            hook(self);
        }
        self.version_changes.send_replace(version);
    }

    /// Fetches a peer's configuration and adopts it if it is newer.
    pub(super) async fn fetch_config_from(&self, peer: MemberId) {
        let Some(addr) = self.address_of(peer) else {
            return;
        };
        let call = self
            .peers
            .call(addr, FETCH_CONFIG_TIMEOUT, |seq| ToServer::FetchConfig {
                seq,
            });
        let Ok(FromServer::Config { state, .. }) = call.await else {
            return;
        };
        let Ok(state) = decode::<State>(&state) else {
            return;
        };
        if state.version() > self.config.borrow().version() {
            event!(CONFIG_FROM_PEER, peer: = peer, version: = state.version());
            *self.config.borrow_mut() = state;
            self.propagate_config();
        }
    }
}

/// Follows the configuration stream.
pub(super) async fn follow_config(node: Rc<Node>) {
    let consumer = Rc::new(ConfigConsumer {
        node: Rc::clone(&node),
    });
    let log = Rc::clone(&node.log);
    follow_stream(node, log, CONFIG_STREAM, consumer).await;
}

/// Fetches the configuration from several peers and keeps the latest version.
async fn fetch_config_from_peers(node: Rc<Node>) {
    let peers: Vec<_> = [Role::Dispatch, Role::Batch]
        .into_iter()
        .flat_map(|role| node.live_members(role))
        .filter(|info| info.id != node.membership.borrow().own_info().id)
        .take(MAX_PEERS_QUERIED)
        .collect();
    for peer in peers {
        node.fetch_config_from(peer.id).await;
    }
}

/// Polls the platform's instance list.
pub(super) async fn follow_list(node: Rc<Node>) {
    let mut reachable = true;
    loop {
        match node.instance_list.read().await {
            Ok(instances) => {
                reachable = true;
                let listed = ListedInstances::new(instances);
                let mut membership = node.membership.borrow_mut();
                membership.set_candidates(listed.gossip.clone());
                *node.listed_instances.borrow_mut() = listed;
            }
            Err(err) => {
                if reachable {
                    event!(LIST_UNREACHABLE, reason: = err);
                    reachable = false;
                }
            }
        }
        sleep(LIST_READ_INTERVAL).await;
    }
}
