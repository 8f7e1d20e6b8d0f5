/*!
Client of the platform's instance list.

The list lags behind the actual state of the instances. Over HTTP,
`GET /v1/instances` returns all instances as JSON, with an `ETag`. If the
request carries the list's current tag in `If-None-Match`, the response is a
304, so that a large list is transferred only when it has changed. Instances of
cicadagate are listed with the datagram addresses of their processes, endpoints
with their deployment and address.
*/

use {
    super::{InvalidResponseSnafu, NoResponseSnafu, OPERATION_TIMEOUT, RefusedSnafu, Result},
    cicadagate_policy::{ids::EndpointId, process::placement::data_centre_hash},
    futures_util::future::LocalBoxFuture,
    serde::{Deserialize, Serialize},
    snafu::ensure,
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc},
};

/// Kind of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An instance of cicadagate.
    Node,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of an instance as the list reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is about to be removed.
    Leaving,
}

/// A listed instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub id: String,
    /// Kind.
    pub kind: InstanceKind,
    /// Data centre.
    pub data_centre: String,
    /// State.
    pub state: InstanceState,
    /// Datagram address of each process, for an instance of cicadagate.
    #[serde(default)]
    pub gossip: Vec<SocketAddr>,
    /// Address, for an endpoint.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Deployment, for an endpoint.
    #[serde(default)]
    pub deployment: String,
    /// Most streams that an engine runs at once, 0 if unknown.
    #[serde(default)]
    pub max_streams: usize,
    /// Whether the engine rejects load orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Version of an endpoint's software, empty if unknown.
    #[serde(default)]
    pub software_version: String,
}

/// A listed endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id, derived from the name.
    pub id: EndpointId,
    /// Name of its instance.
    pub name: String,
    /// Kind.
    pub kind: InstanceKind,
    /// Address that it serves requests at.
    pub addr: SocketAddr,
    /// Deployment that it belongs to.
    pub deployment: String,
    /// Hash of the data centre's name.
    pub data_centre: u64,
    /// Whether the platform lists it as about to be removed.
    pub leaving: bool,
    /// Most streams that it runs at once, 0 if unknown.
    pub max_streams: usize,
    /// Whether it rejects load orders with an old fencing token.
    pub checks_fencing: bool,
    /// Version of its software, empty if unknown. A stream goes on only at the
    /// version that began it.
    pub software_version: String,
}

/// The instance list as last read.
#[derive(Clone, Debug, Default)]
pub struct ListedInstances {
    /// Endpoints by id.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Datagram addresses of the processes of cicadagate.
    pub gossip: Vec<SocketAddr>,
}

impl ListedInstances {
    /// Creates a set from instances; endpoints without an address are left
    /// out.
    #[must_use]
    pub fn new(instances: Vec<Instance>) -> Self {
        let mut listed = Self::default();
        for instance in instances {
            listed.gossip.extend(&instance.gossip);
            if let Some(endpoint) = endpoint(instance) {
                listed.endpoints.insert(endpoint.id, endpoint);
            }
        }
        listed
    }

    /// Returns the endpoints of a deployment, in order of their ids.
    pub fn deployment<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |endpoint| endpoint.deployment == name)
    }
}

fn endpoint(instance: Instance) -> Option<Endpoint> {
    if instance.kind == InstanceKind::Node {
        return None;
    }
    Some(Endpoint {
        id: EndpointId::of(&instance.id),
        addr: instance.address?,
        kind: instance.kind,
        deployment: instance.deployment,
        data_centre: data_centre_hash(&instance.data_centre),
        leaving: instance.state == InstanceState::Leaving,
        max_streams: instance.max_streams,
        checks_fencing: instance.checks_fencing,
        software_version: instance.software_version,
        name: instance.id,
    })
}

/// The platform's instance list.
pub trait InstanceList {
    /// Returns all listed instances.
    fn read(&self) -> LocalBoxFuture<'static, Result<Vec<Instance>>>;
}

/// HTTP client of the instance list.
pub struct HttpInstanceList {
    addr: SocketAddr,
    client: awc::Client,
    cached: Rc<RefCell<CachedResponse>>,
}

/// The last complete response and its `ETag`.
#[derive(Default)]
struct CachedResponse {
    tag: String,
    instances: Vec<Instance>,
}

impl HttpInstanceList {
    /// Creates a client of the service at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let client = awc::Client::builder().disable_redirects().finish();
        Self {
            addr,
            client,
            cached: Rc::default(),
        }
    }
}

/// Largest instance list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

impl InstanceList for HttpInstanceList {
    fn read(&self) -> LocalBoxFuture<'static, Result<Vec<Instance>>> {
        let url = format!("http://{}/v1/instances", self.addr);
        let cached = Rc::clone(&self.cached);
        let tag = cached.borrow().tag.clone();
        let request = self.client.get(url).timeout(OPERATION_TIMEOUT);
        let call = request.insert_header(("if-none-match", tag)).send();
        Box::pin(async move {
            let no_response = |detail: String| NoResponseSnafu { detail }.build();
            let mut res = call.await.map_err(|err| no_response(err.to_string()))?;
            let status = res.status().as_u16();
            if status == 304 {
                return Ok(cached.borrow().instances.clone());
            }
            ensure!(status == 200, RefusedSnafu { status });
            let tag = res.headers().get("etag").and_then(|tag| tag.to_str().ok());
            let tag = tag.unwrap_or_default().to_owned();
            let body = res.body().limit(MAX_LIST_BYTES).await;
            let body = body.map_err(|err| no_response(err.to_string()))?;
            let instances: Vec<Instance> = serde_json::from_slice(&body).map_err(|err| {
                InvalidResponseSnafu {
                    detail: err.to_string(),
                }
                .build()
            })?;
            *cached.borrow_mut() = CachedResponse {
                tag,
                instances: instances.clone(),
            };
            Ok(instances)
        })
    }
}
