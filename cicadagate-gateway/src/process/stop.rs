/*!
Shutdown without interrupting requests.

After the stop signal the process reports that it is not ready, and its address
is no longer advertised to callers. It still accepts and serves requests, with
`Connection: close`, since callers cache addresses for a while. Later it refuses new
requests that may last longer than the process does, and shortly before the
platform would kill it all of them, without running them. [`Grace`] decides which.
*/

use {
    super::Gateway,
    actix_rt::time::{sleep, timeout},
    cicadagate_node::{event, process::wait_for_signal},
    cicadagate_policy::{
        process::shutdown::{Grace, Phase},
        time::Time,
    },
    std::{rc::Rc, time::Duration},
};

/// Longest time for announcing the exit to other gateways and in the store.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between checks whether the process may exit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Gateway {
    /// Returns whether the process is so close to its kill that it refuses all new
    /// requests.
    #[must_use]
    pub fn refuses_requests(&self) -> bool {
        let since_ms = self.ms_since_stop();
        since_ms.is_some_and(|since_ms| since_ms >= self.grace().refuse_ms())
    }

    /// Returns whether a new request that may last until `deadline` is admitted, as far as
    /// the stop of the process is concerned.
    #[must_use]
    pub fn admits_until(&self, now: Time, deadline: Time) -> bool {
        let since_ms = self.ms_since_stop();
        since_ms.is_none_or(|since_ms| self.grace().admits(since_ms, deadline.since(now)))
    }

    /// Returns the time until which responses should begin, `until` if that is earlier or
    /// the process is not stopping.
    #[must_use]
    pub fn respond_until(&self, until: Time) -> Time {
        match self.phase.get() {
            Phase::Serving => until,
            Phase::Leaving { since } => until.min(since.plus(self.grace().respond_ms())),
        }
    }

    fn grace(&self) -> Grace {
        Grace::new(self.bounds().grace)
    }

    /// Returns the time since the stop signal in milliseconds, or `None` before it.
    #[must_use]
    pub fn ms_since_stop(&self) -> Option<u64> {
        match self.phase.get() {
            Phase::Serving => None,
            Phase::Leaving { since } => Some(self.now().since(since)),
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
        let since_ms = gateway.ms_since_stop().unwrap_or_default();
        let is_idle = gateway.open_requests.get() == 0;
        let may_exit = gateway.refuses_requests() && is_idle;
        if may_exit || since_ms >= gateway.grace().exit_ms() {
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
