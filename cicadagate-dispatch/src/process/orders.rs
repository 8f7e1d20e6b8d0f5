/*!
Load orders, which make engines load the configured model version.

A load order carries the offset of the configuration record that set the version
as a fencing token, so that an engine that checks the token refuses an outdated
order. Engines that ignore the token are protected by the sender: it sends load
orders only while its contact is fresh, which is checked just before sending,
and only for versions in force. Load orders are idempotent, and the version that
the engine then reports is read back.
*/

use {
    actix_rt::time::sleep,
    awc::Client,
    cicadagate_node::{
        event,
        platform::instance_list::{Endpoint, InstanceKind},
        process::Node,
    },
    cicadagate_policy::{
        ids::Offset,
        process::{membership::Role, placement::preferred_member},
        version::config::Object,
    },
    serde::Deserialize,
    serde_json::json,
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// Interval between comparisons of the engines with the configuration. The
/// version that an engine reports decides, not the load orders sent before: an
/// engine that was replaced does not have the version that its predecessor
/// loaded.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a request to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// An engine's report on its state, reduced to the model version that it has
/// loaded.
#[derive(Deserialize)]
struct EngineReport {
    version: String,
}

/// Version that a deployment's engines should have loaded.
struct DesiredVersion {
    version: String,
    /// Fencing token of load orders for this version.
    fence: Offset,
}

/// Keeps the engines of this process at the configured versions, for as long as
/// the process runs.
pub(super) async fn run(node: Rc<Node>) {
    let client = Client::builder()
        .timeout(ORDER_TIMEOUT)
        .disable_redirects()
        .finish();
    loop {
        sleep(CHECK_INTERVAL).await;
        if !node.has_contact() {
            continue;
        }
        let desired_versions = desired_versions(&node);
        for endpoint in owned_engines(&node) {
            let Some(desired) = desired_versions.get(&endpoint.deployment) else {
                continue;
            };
            let reported = reported_version(&client, &endpoint).await;
            if reported.is_some_and(|version| version != desired.version) {
                send_load_order(&node, &client, &endpoint, desired).await;
            }
        }
    }
}

/// Returns the desired version of each deployment.
fn desired_versions(node: &Node) -> BTreeMap<String, DesiredVersion> {
    let config = node.config.borrow();
    let versions = config
        .objects()
        .filter_map(|(_, object)| match &object.value {
            Object::ModelVersion(version) => {
                let desired = DesiredVersion {
                    version: version.version.clone(),
                    fence: object.version,
                };
                Some((version.deployment.clone(), desired))
            }
            _ => None,
        });
    versions.collect()
}

/// Returns the listed engines that this process owns.
fn owned_engines(node: &Node) -> Vec<Endpoint> {
    let candidates = node.placement_candidates(Role::Dispatch);
    let own_id = node.own_info().id;
    let listed = node.listed_instances.borrow();
    let is_owned = |endpoint: &&Endpoint| {
        endpoint.kind == InstanceKind::Engine
            && preferred_member(endpoint.id.raw(), endpoint.data_centre, &candidates)
                == Some(own_id)
    };
    listed
        .endpoints
        .values()
        .filter(is_owned)
        .cloned()
        .collect()
}

/// Sends an engine a load order and checks that the engine has followed it.
async fn send_load_order(
    node: &Node,
    client: &Client,
    endpoint: &Endpoint,
    desired: &DesiredVersion,
) {
    // Contact may have been lost while an earlier load order was in progress.
    if !node.has_contact() {
        return;
    }
    let url = format!("http://{}/control/orders", endpoint.addr);
    let order = json!({"version": desired.version, "fence": desired.fence.0});
    let sent = client.post(url).send_json(&order).await;
    let status = sent.map_or(0, |res| res.status().as_u16());
    let loaded = reported_version(client, endpoint)
        .await
        .is_some_and(|version| version == desired.version);
    if loaded {
        event!(
            ORDER_SENT,
            endpoint = endpoint.name.as_str(),
            version = desired.version.as_str()
        );
    } else {
        event!(ORDER_FAILED, endpoint = endpoint.name.as_str(), status);
    }
}

/// Returns the version that an engine reports as loaded.
async fn reported_version(client: &Client, endpoint: &Endpoint) -> Option<String> {
    let url = format!("http://{}/control/load", endpoint.addr);
    let mut res = client.get(url).send().await.ok()?;
    let body = res.body().await.ok()?;
    serde_json::from_slice::<EngineReport>(&body)
        .ok()
        .map(|report| report.version)
}
