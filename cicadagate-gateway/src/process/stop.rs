/*!
Shutdown without interrupting requests.

After the stop signal the process reports that it is not ready, and its address
is no longer advertised to callers. It still accepts and serves requests, with
`Connection: close`, since callers cache addresses for a while. Shortly before
the platform would kill the process, it rejects new requests without running
them, and open requests get the remaining time.
*/

use {
    super::Gateway,
    actix_rt::time::{sleep, timeout},
    cicadagate_node::{event, process::wait_for_signal},
    cicadagate_policy::time::Time,
    std::{rc::Rc, time::Duration},
};

/// Time before the kill from which new requests are rejected.
const REJECT_BEFORE_KILL: Duration = Duration::from_millis(1_500);
/// Time before the kill at which the process exits, even if requests are open.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(500);
/// Longest time for announcing the exit to other gateways and in the store.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between checks whether the process may exit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Gateway {
    /// Returns whether the process is so close to its kill that it rejects new
    /// requests.
    #[must_use]
    pub fn rejects_requests(&self) -> bool {
        self.time_since_stop()
            .is_some_and(|since| since >= self.bounds().grace.saturating_sub(REJECT_BEFORE_KILL))
    }

    /// Returns the time since the stop signal, or `None` before it.
    #[must_use]
    pub fn time_since_stop(&self) -> Option<Duration> {
        use cicadagate_policy::process::shutdown::Phase;
        match self.phase.get() {
            Phase::Serving => None,
            Phase::Leaving { since } => Some(Duration::from_millis(self.now().since(since))),
        }
    }
}

/// Waits for the stop signal, hands off the batch items, and returns when the
/// process should exit: once new requests are rejected and none is open, but at
/// the latest [`EXIT_BEFORE_KILL`] before the kill.
pub(super) async fn run(gateway: &Rc<Gateway>) {
    wait_for_signal().await;
    let now: Time = gateway.now();
    gateway.phase.set(gateway.phase.get().stop(now));
    event!(STOPPING, running = gateway.open_requests.get());
    super::peers::publish_own_state(gateway, true);
    gateway.item_runner.hand_off(gateway).await;
    loop {
        let since = gateway.time_since_stop().unwrap_or_default();
        let grace = gateway.bounds().grace;
        let is_idle = gateway.open_requests.get() == 0;
        let may_exit = since >= grace.saturating_sub(REJECT_BEFORE_KILL) && is_idle;
        if may_exit || since >= grace.saturating_sub(EXIT_BEFORE_KILL) {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    if timeout(LEAVE_TIMEOUT, super::peers::leave(gateway))
        .await
        .is_err()
    {
        event!(
            APPEND_FAILED,
            reason = "timed out removing this instance from the store's members"
        );
    }
    event!(STOPPED, running = gateway.open_requests.get());
}
