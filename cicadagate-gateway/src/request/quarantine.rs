/*!
Checks of requests against the quarantined parts of requests.

A request that may be a trial passes the checks until it has a slot at a replica. Only
then is the owner of its parts asked, so that no trial is spent on a request that is refused
for another reason.
*/

use {
    super::pending::PendingRequest,
    crate::process::{Gateway, quarantine::request_trial},
    cicadagate_node::event,
    cicadagate_policy::ids::RequestPart,
    std::{fmt, rc::Rc, time::Duration},
};

/// Whether a request may be sent although a part of it is quarantined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Trial {
    /// The owner of the part has not been asked.
    #[default]
    Unasked,
    /// It may be sent to one replica.
    Granted,
    /// It was sent to one.
    Used,
}

/// Checks a request that has not been sent against the quarantined parts. It passes also if
/// it may be a trial.
///
/// # Errors
///
/// Returns the time after which the caller should come back.
pub(super) fn check(gateway: &Gateway, id: &str, parts: &[RequestPart]) -> Result<(), Duration> {
    let now = gateway.now();
    let quarantine = gateway.quarantine.borrow();
    let Some((part, left_ms)) = quarantine.find(now, parts) else {
        return Ok(());
    };
    if quarantine.is_trial_due(now, parts) {
        return Ok(());
    }
    event!(QUARANTINED, request = id, part: = part, left_ms);
    let retry_after_ms = quarantine.retry_after_ms(now, parts);
    Err(Duration::from_millis(retry_after_ms.unwrap_or(left_ms)))
}

/// Returns the time after which the caller of a refused request should come back, if a part
/// of it is quarantined.
pub(super) fn retry_after(gateway: &Gateway, parts: &[RequestPart]) -> Option<Duration> {
    let quarantine = gateway.quarantine.borrow();
    let retry_after_ms = quarantine.retry_after_ms(gateway.now(), parts)?;
    Some(Duration::from_millis(retry_after_ms))
}

impl PendingRequest {
    /// Returns whether the request may be sent, or may still be a trial.
    pub(super) fn passes_quarantine(&self, gateway: &Gateway) -> bool {
        match self.trial {
            Trial::Unasked => check(gateway, &self.id, &self.parts).is_ok(),
            Trial::Granted => true,
            Trial::Used => {
                let quarantine = gateway.quarantine.borrow();
                quarantine.find(gateway.now(), &self.parts).is_none()
            }
        }
    }

    /// Returns whether the request may be sent now, and asks for a trial if a part of it is
    /// quarantined.
    pub(super) async fn may_be_sent(&mut self, gateway: &Rc<Gateway>) -> bool {
        if !self.passes_quarantine(gateway) {
            return false;
        }
        let is_quarantined = {
            let quarantine = gateway.quarantine.borrow();
            quarantine.find(gateway.now(), &self.parts).is_some()
        };
        if !is_quarantined || self.trial == Trial::Granted {
            return true;
        }
        let is_granted = request_trial(gateway, &self.id, &self.parts).await;
        if is_granted {
            self.trial = Trial::Granted;
        }
        is_granted
    }
}

/// Display of the parts of a request in logs.
pub(super) struct PartList<'a>(pub &'a [RequestPart]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, part) in self.0.iter().enumerate() {
            let separator = if at == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
