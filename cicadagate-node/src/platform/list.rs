/*!
The platform's lagging list of instances.

HTTP: `GET /v1/instances` answers all instances as JSON, with an `ETag`; asked
with the same one in `If-None-Match` it answers 304, so that a large list costs
its bytes only when it has changed. Ours come with the
addresses that their processes listen on for datagrams; endpoints come with
their deployment and address.
*/

use {
    super::{CALL_TIMEOUT, NoAnswerSnafu, RefusedSnafu, Result, UnintelligibleSnafu},
    cicadagate_policy::{ids::EndpointId, process::homes::data_centre_hash},
    futures_util::future::LocalBoxFuture,
    serde::{Deserialize, Serialize},
    snafu::ensure,
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc},
};

/// What kind of instance is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// One of ours.
    Node,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of an instance, by the platform's lagging account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Runs.
    Live,
    /// Will go soon.
    Leaving,
}

/// A listed instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Data centre.
    pub data_centre: String,
    /// State.
    pub state: State,
    /// Address for datagrams of each process of a node.
    #[serde(default)]
    pub gossip: Vec<SocketAddr>,
    /// Address of an endpoint.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Deployment that an endpoint belongs to.
    #[serde(default)]
    pub deployment: String,
    /// Most streams that an engine runs at once, 0 if not known.
    #[serde(default)]
    pub max_streams: usize,
    /// The engine refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// An endpoint of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id.
    pub id: EndpointId,
    /// Name.
    pub name: String,
    /// Kind.
    pub kind: Kind,
    /// Address.
    pub addr: SocketAddr,
    /// Deployment.
    pub deployment: String,
    /// Hash of the data centre's name.
    pub data_centre: u64,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
    /// Most streams at once.
    pub max_streams: usize,
    /// Refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

/// The list as last read.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Endpoints.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Datagram addresses of our processes.
    pub gossip: Vec<SocketAddr>,
}

impl Listing {
    /// Makes a listing of instances.
    #[must_use]
    pub fn new(instances: Vec<Instance>) -> Self {
        let mut listing = Self::default();
        for instance in instances {
            listing.gossip.extend(&instance.gossip);
            if let Some(endpoint) = endpoint(instance) {
                listing.endpoints.insert(endpoint.id, endpoint);
            }
        }
        listing
    }

    /// Returns the endpoints of a deployment, in order of their ids.
    pub fn deployment<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |endpoint| endpoint.deployment == name)
    }
}

fn endpoint(instance: Instance) -> Option<Endpoint> {
    if instance.kind == Kind::Node {
        return None;
    }
    Some(Endpoint {
        id: EndpointId::of(&instance.id),
        addr: instance.address?,
        kind: instance.kind,
        deployment: instance.deployment,
        data_centre: data_centre_hash(&instance.data_centre),
        leaving: instance.state == State::Leaving,
        max_streams: instance.max_streams,
        checks_fencing: instance.checks_fencing,
        name: instance.id,
    })
}

/// The platform's list of instances.
pub trait InstanceList {
    /// Reads the list.
    fn read(&self) -> LocalBoxFuture<'static, Result<Vec<Instance>>>;
}

/// Client of the list over HTTP.
pub struct HttpInstanceList {
    addr: SocketAddr,
    client: awc::Client,
    last: Rc<RefCell<Last>>,
}

/// The last answer and its tag.
#[derive(Default)]
struct Last {
    tag: String,
    instances: Vec<Instance>,
}

impl HttpInstanceList {
    /// Makes a client of the service at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let client = awc::Client::builder().disable_redirects().finish();
        Self {
            addr,
            client,
            last: Rc::default(),
        }
    }
}

/// Most bytes of a list.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

impl InstanceList for HttpInstanceList {
    fn read(&self) -> LocalBoxFuture<'static, Result<Vec<Instance>>> {
        let url = format!("http://{}/v1/instances", self.addr);
        let last = Rc::clone(&self.last);
        let tag = last.borrow().tag.clone();
        let request = self.client.get(url).timeout(CALL_TIMEOUT);
        let call = request.insert_header(("if-none-match", tag)).send();
        Box::pin(async move {
            let no_answer = |detail: String| NoAnswerSnafu { detail }.build();
            let mut res = call.await.map_err(|err| no_answer(err.to_string()))?;
            let status = res.status().as_u16();
            if status == 304 {
                return Ok(last.borrow().instances.clone());
            }
            ensure!(status == 200, RefusedSnafu { status });
            let tag = res.headers().get("etag").and_then(|tag| tag.to_str().ok());
            let tag = tag.unwrap_or_default().to_owned();
            let body = res.body().limit(MAX_LIST_BYTES).await;
            let body = body.map_err(|err| no_answer(err.to_string()))?;
            let instances: Vec<Instance> = serde_json::from_slice(&body).map_err(|err| {
                UnintelligibleSnafu {
                    detail: err.to_string(),
                }
                .build()
            })?;
            *last.borrow_mut() = Last {
                tag,
                instances: instances.clone(),
            };
            Ok(instances)
        })
    }
}
