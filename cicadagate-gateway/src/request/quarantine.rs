/*!
Checks of requests against the quarantined parts of prompts.
*/

use {
    crate::process::Gateway,
    cicadagate_node::event,
    cicadagate_policy::ids::PromptPart,
    std::{fmt, time::Duration},
};

/// Checks a request with the value of its header of prompt parts.
///
/// # Errors
///
/// Returns the time until it may be sent, if a part of its prompt is
/// quarantined.
pub(super) fn check(
    gateway: &Gateway,
    id: &str,
    service: &str,
    prompt_parts: &str,
) -> Result<(), Duration> {
    let parts = gateway.prompt_parts(service, prompt_parts);
    time_left(gateway, id, &parts).map_or(Ok(()), Err)
}

/// Returns the time until a request may be sent, if a part of its prompt is
/// quarantined.
pub(super) fn time_left(gateway: &Gateway, id: &str, parts: &[PromptPart]) -> Option<Duration> {
    let found = gateway.quarantine.borrow().find(gateway.now(), parts);
    let (part, left_ms) = found?;
    event!(QUARANTINED, request = id, prompt_part: = part, left_ms);
    Some(Duration::from_millis(left_ms))
}

/// Display of prompt parts in logs.
pub(super) struct PartList<'a>(pub &'a [PromptPart]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, part) in self.0.iter().enumerate() {
            let separator = if at == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
