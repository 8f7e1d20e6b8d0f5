/*!
Checks of a change that do not depend on the state.
*/

use {
    super::{
        Change, Customer, MAX_BURST, MAX_NAME_BYTES, MAX_RATE_MILLI_RPS, MAX_ROSTER_MEMBERS,
        MAX_WITNESSES, ObjectKey, Rejection, Route, RouteKind,
    },
    std::result::Result,
};

/// Returns `true` if a path starts with a prefix, compared by whole segments.
pub(super) fn has_prefix(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}

pub(super) fn invalid(reason: &str) -> Rejection {
    Rejection::Invalid(reason.to_owned())
}

/// Returns the key of the object that a change concerns, or `None` for a
/// snapshot.
#[must_use]
pub fn object_key(change: &Change) -> Option<ObjectKey> {
    Some(match change {
        Change::PutCustomer(customer) => ObjectKey::Customer(customer.name.clone()),
        Change::RemoveCustomer(name) => ObjectKey::Customer(name.clone()),
        Change::PutKey(key) => ObjectKey::Key(key.id.clone()),
        Change::WithdrawKey(id) => ObjectKey::Key(id.clone()),
        Change::PutRoute(route) => ObjectKey::Route(route.name.clone()),
        Change::RemoveRoute(name) => ObjectKey::Route(name.clone()),
        Change::PutModelVersion(version) => ObjectKey::ModelVersion(version.deployment.clone()),
        Change::Drain(name) | Change::Undrain(name) => ObjectKey::Drain(name.clone()),
        Change::PutRoster(_) | Change::SettleRoster => ObjectKey::Roster,
        Change::Snapshot(_) => return None,
    })
}

/// Checks a change without regard to the state.
pub(super) fn validate(change: &Change) -> Result<(), Rejection> {
    let name = match object_key(change) {
        Some(
            ObjectKey::Customer(name)
            | ObjectKey::Key(name)
            | ObjectKey::Route(name)
            | ObjectKey::ModelVersion(name)
            | ObjectKey::Drain(name),
        ) => name,
        Some(ObjectKey::Roster) | None => return validate_roster(change),
    };
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(char::is_control) {
        return Err(invalid(
            "a name has 1 to 128 bytes and no control characters",
        ));
    }
    match change {
        Change::PutCustomer(customer) => validate_customer(customer),
        Change::PutRoute(route) => validate_route(route),
        _ => Ok(()),
    }
}

fn validate_customer(customer: &Customer) -> Result<(), Rejection> {
    if !(1..=MAX_RATE_MILLI_RPS).contains(&customer.rate_milli) {
        return Err(invalid("a rate is from 0.001 to 1000000 requests a second"));
    }
    if !(1..=MAX_BURST).contains(&customer.burst) {
        return Err(invalid("a burst is from 1 to 1000000 requests"));
    }
    Ok(())
}

fn validate_route(route: &Route) -> Result<(), Rejection> {
    if route.backends.iter().all(|backend| backend.weight == 0) {
        return Err(invalid("a route needs a deployment with a weight above 0"));
    }
    if route.backends.len() > 64 {
        return Err(invalid("a route has at most 64 deployments"));
    }
    if route.kind == RouteKind::Service && !route.name.starts_with('/') {
        return Err(invalid(
            "a service route's name is a path that starts with '/'",
        ));
    }
    if route.kind == RouteKind::Service && (route.name == "/" || has_prefix(&route.name, "/v1")) {
        return Err(invalid("'/' and '/v1' are taken by the system itself"));
    }
    Ok(())
}

fn validate_roster(change: &Change) -> Result<(), Rejection> {
    let Change::PutRoster(roster) = change else {
        return Ok(());
    };
    let too_many =
        roster.members.len() > MAX_ROSTER_MEMBERS || roster.witnesses.len() > MAX_WITNESSES;
    if roster.members.is_empty() || roster.witnesses.is_empty() || too_many {
        return Err(invalid(
            "a roster has 1 to 4096 members and 1 to 15 witnesses",
        ));
    }
    Ok(())
}
