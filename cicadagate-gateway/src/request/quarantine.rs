/*!
Checks of requests against the quarantined parts of requests.
*/

use {
    crate::process::Gateway,
    cicadagate_node::event,
    cicadagate_policy::ids::RequestPart,
    std::{fmt, time::Duration},
};

/// Checks a request against the quarantined parts.
///
/// # Errors
///
/// Returns the time until the request may be sent, if one of its parts is
/// quarantined.
pub(super) fn check(gateway: &Gateway, id: &str, parts: &[RequestPart]) -> Result<(), Duration> {
    let found = gateway.quarantine.borrow().find(gateway.now(), parts);
    let Some((part, left_ms)) = found else {
        return Ok(());
    };
    event!(QUARANTINED, request = id, part: = part, left_ms);
    Err(Duration::from_millis(left_ms))
}

/// Returns the time until a request with these parts may be sent, if one of them
/// is quarantined.
pub(super) fn time_left(gateway: &Gateway, parts: &[RequestPart]) -> Option<Duration> {
    let found = gateway.quarantine.borrow().find(gateway.now(), parts);
    found.map(|(_, left_ms)| Duration::from_millis(left_ms))
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
