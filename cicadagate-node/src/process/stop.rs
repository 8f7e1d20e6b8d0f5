/*!
Graceful shutdown.
*/

use {
    super::Node,
    crate::event,
    actix_rt::time::sleep,
    std::{rc::Rc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Time between two checks whether the process may exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the exit in which the last messages are sent.
const FINAL_SEND_TIME: Duration = Duration::from_millis(200);

/// Waits for a termination signal, then until running requests have ended and
/// callers may no longer use the process's address.
pub(super) async fn run(node: &Rc<Node>) {
    wait_for_signal().await;
    node.phase.set(node.phase.get().stop(node.now()));
    event!(STOPPING, running = node.running_requests.get());
    let version = node.config.borrow().version();
    node.membership.borrow_mut().set_own_state(version, true);
    let keep_ms = node.settings.keep_address_ms;
    while !node
        .phase
        .get()
        .may_exit(node.now(), keep_ms, node.running_requests.get())
    {
        sleep(CHECK_INTERVAL).await;
    }
    node.about_to_exit.notify_one();
    sleep(FINAL_SEND_TIME).await;
    event!(STOPPED);
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_signal() {
    let (term, int) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut term), Ok(mut int)) = (term, int) else {
        // Without signal handlers the process runs until it is killed.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

impl Node {
    /// Waits until the process is about to exit.
    pub(super) async fn exiting(&self) {
        self.about_to_exit.notified().await;
    }
}
