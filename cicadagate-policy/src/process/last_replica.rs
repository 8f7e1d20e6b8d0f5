/*!
Whether a preempted batch item continues at the replica that ran it last.

That replica may still have the item's prompt in its cache. It is asked for a slot first,
once for each start: if it has none, the item goes to any replica of its version, so that
the cache never delays it.
*/

use {
    super::replicas::{Replica, ReplicaLoad, ReplicaSet, Wanted},
    crate::{ids::EndpointId, time::Time},
};

/// Returns the replica that ran an item last, if it is one of the wanted ones, is sound and
/// has a free slot by the reports.
#[must_use]
pub fn last_replica<'a>(
    now: Time,
    replicas: &'a ReplicaSet,
    wanted: &Wanted<'_>,
    last: EndpointId,
    load: ReplicaLoad,
) -> Option<&'a Replica> {
    let replica = replicas.get(last)?;
    let has_version = wanted.version.is_none_or(|it| it == replica.version);
    let is_wanted = replica.registration.service == wanted.service
        && has_version
        && !wanted.excluded.contains(&last);
    let is_sound = replicas.leaving_source(now, last).is_none()
        && !replica.is_avoided(now)
        && !load.is_suspect;
    let has_free_slot = load.in_flight < replica.registration.slots;
    (is_wanted && replicas.is_usable(last) && is_sound && has_free_slot).then_some(replica)
}
