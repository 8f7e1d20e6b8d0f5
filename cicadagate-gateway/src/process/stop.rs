/*!
Ending without cutting a request.

From the stop signal on the process is not ready and is not given out, but it
listens and serves, with `Connection: close`, since callers keep addresses for
a while. Shortly before the platform would kill it, new requests are refused as
not run, and what still runs gets the rest of the time.
*/

use {
    super::Gateway,
    actix_rt::time::{sleep, timeout},
    cicadagate_node::{event, process::wait_for_signal},
    cicadagate_policy::{ids::Offset, time::Time},
    std::{rc::Rc, time::Duration},
};

/// Time before the kill at which new requests are refused.
const REFUSE_BEFORE: Duration = Duration::from_millis(1_500);
/// Time before the kill at which the process ends by itself.
const END_BEFORE: Duration = Duration::from_millis(500);
/// Time to tell others and the store of the end.
const LEAVE_FOR: Duration = Duration::from_millis(200);
/// How often it is looked whether the process may end.
const LOOK_EVERY: Duration = Duration::from_millis(20);

impl Gateway {
    /// Tells whether the process is so close to its end that it refuses requests.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.stopping_for()
            .is_some_and(|since| since >= self.bounds().grace.saturating_sub(REFUSE_BEFORE))
    }

    /// Returns the time since the stop signal.
    #[must_use]
    pub fn stopping_for(&self) -> Option<Duration> {
        use cicadagate_policy::process::shutdown::Phase;
        match self.phase.get() {
            Phase::Serving => None,
            Phase::Leaving { since } => Some(Duration::from_millis(self.now().since(since))),
        }
    }
}

/// Waits for the stop signal and then for the end of what runs.
pub(super) async fn run(gateway: &Rc<Gateway>) {
    wait_for_signal().await;
    let now: Time = gateway.now();
    gateway.phase.set(gateway.phase.get().stop(now));
    event!(STOPPING, running = gateway.open_requests.get());
    let version = gateway.config.borrow().version().unwrap_or_default();
    gateway.members.borrow_mut().set_me(Offset(version), true);
    super::peers::report_now(gateway);
    gateway.work.hand_over(gateway).await;
    loop {
        let since = gateway.stopping_for().unwrap_or_default();
        let grace = gateway.bounds().grace;
        let is_idle = gateway.open_requests.get() == 0;
        let may_end = since >= grace.saturating_sub(REFUSE_BEFORE) && is_idle;
        if may_end || since >= grace.saturating_sub(END_BEFORE) {
            break;
        }
        sleep(LOOK_EVERY).await;
    }
    if timeout(LEAVE_FOR, super::peers::leave(gateway))
        .await
        .is_err()
    {
        event!(
            APPEND_FAILED,
            reason = "no time left to leave the store's list"
        );
    }
    event!(STOPPED, running = gateway.open_requests.get());
}
