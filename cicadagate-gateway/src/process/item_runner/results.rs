/*!
Writes results and outputs of batch items to the store.
*/

use {
    super::{
        ItemName,
        run::{Task, known_failures},
    },
    crate::{
        platform::StoreError,
        process::{Gateway, contents},
    },
    actix_rt::time::sleep,
    bytes::Bytes,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::SoftwareVersion,
        version::job_index::{ContentLocation, ItemRef, Outcome, Progress, Record},
    },
    std::{rc::Rc, time::Duration},
};

/// Interval between two saves of partial outputs.
const SAVE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Events by which an output must have grown to be saved.
const MIN_NEW_EVENTS: u64 = 24;
/// First delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before a failed write is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

pub(super) async fn finish(gateway: &Rc<Gateway>, task: &Task) {
    let item = task.item;
    let (events, data) = {
        let outputs = gateway.item_runner.outputs.borrow();
        let output = outputs.get(&item);
        output.map_or((0, Bytes::new()), |output| {
            (output.events, Bytes::copy_from_slice(&output.data))
        })
    };
    let location = store_output(gateway, item, &data).await;
    append_result(gateway, item, Outcome::Done(location)).await;
    gateway.metrics.items.with_label_values(&["done"]).inc();
    event!(ITEM_DONE, item: = ItemName(item), id = task.id.as_str(), events, bytes = data.len(), due_in_ms = task.due_in_ms());
}

/// Writes an output, with retries until the store accepts it.
async fn store_output(gateway: &Rc<Gateway>, item: ItemRef, data: &Bytes) -> ContentLocation {
    let mut delay = RETRY_DELAY;
    loop {
        let written =
            contents::write(gateway, partition_of(item), std::slice::from_ref(data)).await;
        match written.map(|locations| locations.first().copied()) {
            Ok(Some(location)) => return location,
            Ok(None) => event!(APPEND_FAILED, item: = ItemName(item), reason = "no location"),
            Err(err) => event!(APPEND_FAILED, item: = ItemName(item), reason: = err),
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

fn partition_of(item: ItemRef) -> u32 {
    u32::try_from(item.hash() >> 40).unwrap_or_default()
}

/// Returns the submitter's id of an item, empty if its job is not in the index.
fn item_id(gateway: &Gateway, item: ItemRef) -> String {
    let index = gateway.jobs.index.borrow();
    let entry = index.job(item.job).and_then(|job| job.item(item.index));
    entry.map_or_else(String::new, |entry| entry.id.clone())
}

pub(super) async fn abandon(gateway: &Rc<Gateway>, item: ItemRef, reason: &str) {
    // The index drops them with the result.
    let failures = known_failures(gateway, item);
    append_result(gateway, item, Outcome::Abandoned).await;
    gateway
        .metrics
        .items
        .with_label_values(&["abandoned"])
        .inc();
    let id = item_id(gateway, item);
    event!(
        ITEM_ABANDONED,
        item: = ItemName(item),
        id,
        own_failures = failures.own,
        recorded_failures = failures.recorded,
        reason
    );
}

/// Appends an item's result, with retries until it is acknowledged or the item
/// has another result, and waits until the index has a result.
async fn append_result(gateway: &Rc<Gateway>, item: ItemRef, outcome: Outcome) {
    let record = Record::Finished { item, outcome };
    let mut delay = RETRY_DELAY;
    while gateway.jobs.index.borrow().is_item_open(item) {
        match gateway.jobs.append(gateway, &record).await {
            Ok(()) => break,
            Err(err) => event!(APPEND_FAILED, item: = ItemName(item), reason: = err),
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
    // The item counts as running here until this function returns, so that it
    // is not planned again before the index has the result.
    while gateway.jobs.index.borrow().is_item_open(item) {
        gateway.jobs.wait_for_change(MAX_RETRY_DELAY).await;
    }
}

pub(super) async fn save_periodically(gateway: Rc<Gateway>) {
    loop {
        sleep(SAVE_INTERVAL).await;
        save_grown_outputs(&gateway, MIN_NEW_EVENTS).await;
    }
}

/// Saves the outputs that have grown by at least `min_new_events`; returns
/// whether the store accepted them.
pub(super) async fn save_grown_outputs(gateway: &Rc<Gateway>, min_new_events: u64) -> bool {
    let grown: Vec<GrownOutput> = {
        let outputs = gateway.item_runner.outputs.borrow();
        let grown = outputs.iter().filter_map(|(item, output)| {
            let (last_event, version) = (output.sequencer.last()?, output.version?);
            let has_grown = output.events >= output.saved_events + min_new_events;
            has_grown.then(|| GrownOutput {
                item: *item,
                last_event,
                version,
                events: output.events,
                data: Bytes::from(output.data.clone()),
            })
        });
        grown.collect()
    };
    if grown.is_empty() {
        return true;
    }
    match write_outputs(gateway, &grown).await {
        Ok(()) => true,
        Err(err) => {
            event!(APPEND_FAILED, items = grown.len(), reason: = err);
            false
        }
    }
}

/// A partial output that has grown since it was last saved.
struct GrownOutput {
    item: ItemRef,
    last_event: u64,
    version: SoftwareVersion,
    events: u64,
    data: Bytes,
}

async fn write_outputs(gateway: &Rc<Gateway>, grown: &[GrownOutput]) -> Result<(), StoreError> {
    let contents: Vec<Bytes> = grown.iter().map(|output| output.data.clone()).collect();
    let part = grown.first().map_or(0, |output| partition_of(output.item));
    let locations = contents::write(gateway, part, &contents).await?;
    for (grown, location) in grown.iter().zip(locations) {
        let GrownOutput { item, version, .. } = *grown;
        let progress = Progress {
            output: location,
            last_event: grown.last_event,
            version: None,
        };
        let record = Record::SavedAtVersion {
            item,
            progress,
            version,
        };
        gateway.jobs.append(gateway, &record).await?;
        let mut outputs = gateway.item_runner.outputs.borrow_mut();
        let saved = outputs.get_mut(&item);
        if let Some(output) = saved.filter(|output| output.version == Some(version)) {
            output.saved_events = output.saved_events.max(grown.events);
        }
    }
    Ok(())
}
