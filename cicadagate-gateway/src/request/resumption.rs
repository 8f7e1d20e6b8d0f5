/*!
Streams that callers resume.

A resumed stream may go on only at replicas of the software version that began it. See
[`stream_origins`](cicadagate_policy::process::stream_origins) for how that version is known.
*/

use {
    super::{RequestError, event_id_text, pending::PendingRequest},
    crate::process::{
        Gateway,
        stream_origins::{self, OriginSource},
        version_check,
    },
    cicadagate_node::event,
    cicadagate_policy::ids::SoftwareVersion,
    std::rc::Rc,
};

/// Binds a request that resumes a stream to the service and software version that began
/// the stream. Other requests are left as they are.
///
/// # Errors
///
/// Returns an error if the version is not known, or has no replica any more.
pub(super) async fn bind_to_origin(
    gateway: &Rc<Gateway>,
    request: &mut PendingRequest,
) -> Result<(), RequestError> {
    let Some(stream) = request.resumed_stream else {
        return Ok(());
    };
    let asked_at = gateway.now();
    let found = stream_origins::find(gateway, stream).await;
    let bound = if let Some((version, _)) = found {
        let service = service_with(gateway, request, version);
        let bound = service.map(|service| (service, version));
        bound.ok_or(RequestError::VersionGone)
    } else {
        let origin = only_origin(gateway, request).await;
        origin.ok_or(RequestError::VersionUnknown)
    };
    let outcome = match (&bound, found) {
        (Ok(_), Some((_, OriginSource::Known))) => "known",
        (Ok(_), Some((_, OriginSource::Asked))) => "told by another gateway",
        (Ok(_), None) => "only version",
        (Err(request_error), _) => request_error.describe().1,
    };
    gateway
        .metrics
        .resumptions
        .with_label_values(&[outcome])
        .inc();
    event!(
        STREAM_RESUMPTION,
        request = request.id.as_str(),
        resumes = request.resumed_request.as_str(),
        after_event = event_id_text(request.last_event),
        origin = found.map_or_else(String::new, |(version, _)| version.to_string()),
        outcome,
        asked_ms = gateway.now().since(asked_at)
    );
    let (service, version) = bound?;
    request.bind(service, version);
    Ok(())
}

/// Returns the service of the request's route that has replicas of a version.
fn service_with(
    gateway: &Gateway,
    request: &PendingRequest,
    version: SoftwareVersion,
) -> Option<String> {
    let replicas = gateway.replicas.borrow();
    let mut targets = request.route.targets.iter();
    let target = targets.find(|target| replicas.serves_version(&target.service, version));
    target.map(|target| target.service.clone())
}

/// Returns the service and version at which a stream of the request's route must have
/// begun, since there is no other.
async fn only_origin(
    gateway: &Rc<Gateway>,
    request: &PendingRequest,
) -> Option<(String, SoftwareVersion)> {
    let [target] = request.route.targets.as_slice() else {
        return None;
    };
    // If several versions are known, a read can't change that.
    gateway.only_version(&target.service, &[])?;
    let listed = version_check::read(gateway).await?;
    let version = gateway.only_version(&target.service, &listed)?;
    Some((target.service.clone(), version))
}
