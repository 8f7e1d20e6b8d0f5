/*!
Queries for the configuration in force, its history, and the version that each
process has applied.
*/

use {
    super::{Result, convert},
    crate::process::OperatorApi,
    actix_rt::time::sleep,
    cicadagate_policy::{
        process::membership::{Health, Info},
        version::config::{Object, ObjectKey},
    },
    cicadagate_wire::rpc::{
        Drain, HistoryEntry, HistoryResponse, ListResponse, ListedCustomer, ListedDrain, ListedKey,
        ListedModelVersion, ListedRoute, ModelVersion, ProcessVersion, VersionsResponse,
        WaitInForceRequest,
    },
    std::time::Duration,
    tonic::Status,
};

/// Interval at which a wait compares versions.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of processes queried for their version per interval.
const MAX_QUERIES_PER_POLL: usize = 32;
/// Longest wait for a version, in milliseconds.
const MAX_WAIT_MS: u32 = 120_000;

impl OperatorApi {
    pub(super) fn list(&self) -> Result<ListResponse> {
        if !self.node.is_configured() {
            return Err(Status::unavailable(
                "the configuration is not read yet; come back in 1 s",
            ));
        }
        let config = self.node.config.borrow();
        let mut list = ListResponse {
            version: config.version().0,
            ..ListResponse::default()
        };
        for (key, object) in config.objects() {
            let version = object.version.0;
            match (key, &object.value) {
                (_, Object::Customer(customer)) => {
                    let customer = Some(convert::rpc_customer(customer));
                    list.customers.push(ListedCustomer { customer, version });
                }
                (_, Object::Key(key)) => {
                    let key = Some(convert::rpc_key(key, false));
                    list.keys.push(ListedKey { key, version });
                }
                (_, Object::WithdrawnKey(key)) => {
                    let key = Some(convert::rpc_key(key, true));
                    list.keys.push(ListedKey { key, version });
                }
                (_, Object::Route(route)) => {
                    let route = Some(convert::rpc_route(route));
                    list.routes.push(ListedRoute { route, version });
                }
                (_, Object::ModelVersion(desired)) => {
                    let model_version = Some(ModelVersion {
                        deployment: desired.deployment.clone(),
                        version: desired.version.clone(),
                    });
                    list.model_versions.push(ListedModelVersion {
                        model_version,
                        version,
                    });
                }
                (ObjectKey::Drain(endpoint), Object::Drained) => {
                    let drain = Some(Drain {
                        endpoint: endpoint.clone(),
                    });
                    list.drains.push(ListedDrain { drain, version });
                }
                _ => {}
            }
        }
        Ok(list)
    }

    pub(super) fn versions(&self) -> VersionsResponse {
        let membership = self.node.membership.borrow();
        let own = (membership.own_info(), Health::Alive);
        let mut processes: Vec<ProcessVersion> = std::iter::once(own)
            .chain(membership.members())
            .map(process_version)
            .collect();
        processes.sort_by(|a, b| (&a.instance, &a.role).cmp(&(&b.instance, &b.role)));
        let live = processes
            .iter()
            .filter(|process| process.state != "dead" && process.state != "left");
        let in_force_everywhere = live.map(|process| process.version).min().unwrap_or(0);
        VersionsResponse {
            in_force_everywhere,
            processes,
        }
    }

    pub(super) async fn wait_in_force(&self, req: WaitInForceRequest) -> Result<VersionsResponse> {
        let timeout = Duration::from_millis(u64::from(req.timeout_ms.min(MAX_WAIT_MS)));
        let waiting = async {
            loop {
                let versions = self.versions();
                if versions.in_force_everywhere >= req.version {
                    return versions;
                }
                self.query_lagging_members(req.version);
                sleep(POLL_INTERVAL).await;
            }
        };
        let timed_out = |_| {
            let versions = self.versions();
            let lagging = versions
                .processes
                .iter()
                .filter(|process| process.version < req.version);
            let names: Vec<String> = lagging
                .map(|process| format!("{}/{}", process.instance, process.role))
                .collect();
            Status::deadline_exceeded(format!("not yet in force at: {}", names.join(", ")))
        };
        actix_rt::time::timeout(timeout, waiting)
            .await
            .map_err(timed_out)
    }

    /// Queries some of the live processes whose last known version is older
    /// than `version`.
    fn query_lagging_members(&self, version: u64) {
        let lagging: Vec<_> = {
            let membership = self.node.membership.borrow();
            let is_lagging = |info: &&Info| info.version.0 < version;
            let mut lagging: Vec<_> = membership
                .alive()
                .filter(is_lagging)
                .map(|info| info.id)
                .collect();
            // Starts at a position given by the clock, so that different
            // members are queried when there are too many for one round.
            let shift = usize::try_from(self.node.now().0).unwrap_or(0);
            let len = lagging.len().max(1);
            lagging.rotate_left(shift % len);
            lagging
        };
        self.node
            .ping_members(&lagging[..lagging.len().min(MAX_QUERIES_PER_POLL)]);
    }

    pub(super) fn list_history(&self) -> HistoryResponse {
        let entries = self
            .history
            .changes()
            .into_iter()
            .map(|change| HistoryEntry {
                version: change.version.0,
                request_id: change.request_id,
                object: change.object,
                accepted: change.accepted,
                verdict: change.verdict,
            });
        HistoryResponse {
            entries: entries.collect(),
        }
    }
}

fn process_version((info, health): (&Info, Health)) -> ProcessVersion {
    let state = match health {
        Health::Alive if info.leaving => "leaving",
        Health::Alive => "alive",
        Health::Suspect => "suspect",
        Health::Dead => "dead",
        Health::Left => "left",
    };
    ProcessVersion {
        instance: info.instance.clone(),
        role: info.role.name().to_owned(),
        state: state.to_owned(),
        version: info.version.0,
    }
}
