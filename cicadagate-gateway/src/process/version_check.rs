/*!
Reads of the store that precede a decision about a stream of unknown origin.

What this gateway knows of the versions may be stale without its knowledge, see
[`version_record`](cicadagate_policy::process::version_record). A read that begins after a
stream was resumed shows each version at which the stream can have begun, however long the
read takes and whether or not the process is suspended meanwhile; no clock is needed.
Requests that arrive before a read begins share it.
*/

use {
    super::{
        Gateway,
        registry::{self, MAX_READ_BYTES},
        version_record,
    },
    crate::platform::{Result, StoreError},
    actix_rt::time::{sleep, timeout},
    cicadagate_node::event,
    cicadagate_policy::process::version_record::VersionName,
    futures_util::{
        FutureExt as _,
        future::{LocalBoxFuture, Shared, try_join},
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Mutex,
};

/// Longest time of a read with its retries, after which streams of unknown origin are
/// refused: longer than the time between two direct operations while the store counts as
/// unreachable, as it may after a suspension.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(50);

type Listed = Option<Rc<[VersionName]>>;

/// Reads that requests share.
#[derive(Default)]
pub(super) struct SharedReads {
    /// The read that has not begun yet.
    next: RefCell<Option<Shared<LocalBoxFuture<'static, Listed>>>>,
    /// Held during a read.
    turn: Mutex<()>,
    /// Number of reads that failed.
    failures: Cell<u64>,
}

/// Returns the versions that the store lists, and records those that are registered, both at
/// a time after the call; `None` if the store can't be read.
pub async fn read(gateway: &Rc<Gateway>) -> Listed {
    let shared = {
        let mut next = gateway.version_checks.next.borrow_mut();
        let shared = next.get_or_insert_with(|| begin(Rc::clone(gateway)).boxed_local().shared());
        shared.clone()
    };
    shared.await
}

async fn begin(gateway: Rc<Gateway>) -> Listed {
    let checks = &gateway.version_checks;
    let failures = checks.failures.get();
    let _turn = checks.turn.lock().await;
    // Requests that arrive from now on need a later read.
    checks.next.take();
    if checks.failures.get() != failures {
        // So no request is held for longer than one read.
        return None;
    }
    match read_in_time(&gateway).await {
        Ok(listed) => {
            let mut record = gateway.version_record.borrow_mut();
            record.note_listed(gateway.now(), &listed);
            Some(listed.into())
        }
        Err(err) => {
            checks.failures.set(failures + 1);
            event!(VERSIONS_UNREAD, reason: = err);
            None
        }
    }
}

/// Reads until it succeeds, for at most [`READ_TIMEOUT`].
async fn read_in_time(gateway: &Gateway) -> Result<Vec<VersionName>> {
    let mut failure = StoreError::Unknown {
        reason: format!("no response within {} ms", READ_TIMEOUT.as_millis()),
    };
    let reads = async {
        loop {
            match try_join(version_record::read(gateway), note_registered(gateway)).await {
                Ok((listed, ())) => return listed,
                Err(err) => failure = err,
            }
            sleep(RETRY_DELAY).await;
        }
    };
    let outcome = timeout(READ_TIMEOUT, reads).await;
    outcome.map_err(|_| failure)
}

/// Reads the registrations that this gateway has not read yet, and records their versions.
/// They are applied by the reader of registrations.
async fn note_registered(gateway: &Gateway) -> Result<()> {
    let not_done = |reason: &str| StoreError::NotDone {
        reason: reason.to_owned(),
    };
    let next = gateway.registration_feed.borrow().next();
    let mut from = next.ok_or_else(|| not_done("the latest registrations have not been read"))?;
    let topic = gateway.codec.replica_topic();
    loop {
        let read = gateway
            .store
            .read(topic, 0, from, MAX_READ_BYTES, Duration::ZERO);
        let page = read.await?;
        if page.from > from {
            return Err(not_done("registrations are missing"));
        }
        for record in &page.records {
            registry::note_version(gateway, record);
        }
        let next = page.from + page.records.len() as u64;
        if next >= page.end {
            return Ok(());
        }
        if next <= from {
            return Err(not_done("registrations are missing"));
        }
        from = next;
    }
}
