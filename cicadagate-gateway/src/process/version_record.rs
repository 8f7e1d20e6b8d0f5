/*!
Software versions that the store lists.

[`version_record`](cicadagate_policy::process::version_record) decides; this module reads
the list at the start, writes the changes that are due, and tells the other gateways.
*/

use {
    super::{Gateway, owners::owner_of, peers::alive_or_suspect_addrs, stream_origins::send},
    crate::platform::Result,
    actix_rt::time::sleep,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::SoftwareVersion,
        process::{
            stream_origins::StreamOriginMessage,
            version_record::{RecordChange, VersionName},
        },
        version::serving::RouteKind,
    },
    std::{collections::HashSet, rc::Rc, time::Duration},
};

/// Compacted topic of the versions.
const VERSIONS_TOPIC: &str = "keyed.cicadagate-versions";
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time between two checks whether registrations and configuration are known, at the
/// start.
const START_CHECK: Duration = Duration::from_millis(5);
/// Time between two checks for due changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the listed versions, and keeps them up to date until the process ends.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        match read(&gateway).await {
            Ok(listed) => {
                let now = gateway.now();
                let mut history = gateway.version_history.borrow_mut();
                let mut record = gateway.version_record.borrow_mut();
                record.note_read(now, &listed, &mut history);
                event!(VERSIONS_READ, count = listed.len());
                break;
            }
            Err(err) => {
                event!(VERSIONS_UNREAD, reason: = err);
                gateway.version_record_tried.set(true);
                sleep(RETRY_DELAY).await;
            }
        }
    }
    while !gateway.registrations_loaded.get() || gateway.current_config().is_none() {
        sleep(START_CHECK).await;
    }
    loop {
        write_due(&gateway).await;
        gateway.version_record_tried.set(true);
        sleep(CHECK_INTERVAL).await;
    }
}

/// Reads the versions that the store lists.
pub(super) async fn read(gateway: &Gateway) -> Result<Vec<VersionName>> {
    let mut listed = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let latest = gateway.store.latest(VERSIONS_TOPIC, after.as_deref());
        let page = latest.await?;
        after = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            let value = item.value.unwrap_or_default();
            match postcard::from_bytes(&value) {
                Ok(name) => listed.push(name),
                Err(err) if !value.is_empty() => {
                    event!(RECORD_SKIPPED, key = item.key, reason: = err);
                }
                Err(_) => {}
            }
        }
        if !page.has_more || after.is_none() {
            return Ok(listed);
        }
    }
}

/// Returns the versions of services with streams that callers may resume.
fn present_versions(gateway: &Gateway) -> HashSet<VersionName> {
    let Some(config) = gateway.current_config() else {
        return HashSet::new();
    };
    let routes = config
        .routes()
        .iter()
        .filter(|route| route.is_resumable && route.kind == RouteKind::Streaming);
    let services: HashSet<&str> = routes
        .flat_map(|route| &route.targets)
        .map(|target| target.service.as_str())
        .collect();
    let replicas = gateway.replicas.borrow();
    let names: HashSet<(&str, &str)> = services
        .iter()
        .copied()
        .flat_map(|service| {
            let versions = replicas.version_names_of(service);
            versions.map(move |version| (service, version))
        })
        .collect();
    let name = |(service, version): (&str, &str)| VersionName {
        service: service.to_owned(),
        version: version.to_owned(),
    };
    names.into_iter().map(name).collect()
}

/// Writes the changes that are due, all in one store call.
async fn write_due(gateway: &Gateway) {
    let now = gateway.now();
    let present = present_versions(gateway);
    {
        let mut history = gateway.version_history.borrow_mut();
        for name in &present {
            history.note(now, &name.service, name.id());
        }
    }
    let owns = |version: SoftwareVersion| {
        let owner = owner_of(gateway, version.raw());
        owner.is_none_or(|(owner, _)| owner == gateway.member_id)
    };
    let changes = {
        let mut record = gateway.version_record.borrow_mut();
        let changes = record.due_changes(now, &present, owns);
        gateway.metrics.set_state("recorded_versions", record.len());
        changes
    };
    if changes.is_empty() {
        return;
    }
    let mut records = Vec::new();
    for change in &changes {
        let (version, value) = match change {
            RecordChange::Add(name) => match postcard::to_stdvec(name) {
                Ok(value) => (name.id(), Some(value)),
                Err(err) => {
                    event!(APPEND_FAILED, topic = VERSIONS_TOPIC, reason: = err);
                    return;
                }
            },
            RecordChange::Remove(version) => (*version, None),
        };
        let key = version.to_string();
        records.push(gateway.store.encode_keyed(&key, value.as_deref()));
    }
    if let Err(err) = gateway.store.append(VERSIONS_TOPIC, 0, records).await {
        event!(APPEND_FAILED, topic = VERSIONS_TOPIC, reason: = err);
        return;
    }
    for change in changes {
        apply(gateway, &change);
    }
}

/// Applies a change that is in the store, and tells the other gateways.
fn apply(gateway: &Gateway, change: &RecordChange) {
    let mut record = gateway.version_record.borrow_mut();
    let message = match change {
        RecordChange::Add(name) => {
            let version = name.id();
            record.note_added(gateway.now(), version);
            event!(
                VERSION_RECORDED,
                service = name.service.as_str(),
                version = name.version.as_str(),
                origin: = version
            );
            StreamOriginMessage::Recorded { version }
        }
        RecordChange::Remove(version) => {
            record.note_removed(*version);
            event!(VERSION_REMOVED, origin: = version);
            StreamOriginMessage::Removed { version: *version }
        }
    };
    drop(record);
    let others = alive_or_suspect_addrs(&gateway.members.borrow());
    for addr in others {
        send(gateway, addr, message);
    }
}
