/*!
The operator process of cicadagate: a gRPC API for changes of the
configuration.

It checks each change, appends it to the platform's log, reads the record back
and returns its verdict. It also lists the configuration, its history and the
version in force at each process. Any operator process can serve any request:
the order of the log decides between concurrent changes.
*/

mod process;
mod request;

use {
    cicadagate_node::{
        command::{settings_or_exit, start_or_exit},
        settings::{InvalidValue, NodeSettings, Validate},
    },
    cicadagate_policy::process::membership::Role,
    cicadagate_wire::rpc::{DESCRIPTORS, operator_server::OperatorServer},
    process::OperatorApi,
    request::Service,
    serde::Deserialize,
    std::rc::Rc,
    tokio::sync::mpsc,
    tokio_stream::wrappers::TcpListenerStream,
    tonic::transport::Server,
};

/// Settings of the process.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    node: NodeSettings,
}

impl Validate for Settings {
    fn validate(&self) -> Vec<InvalidValue> {
        self.node.validate()
    }
}

/// Maximum number of RPCs queued for the process's own thread.
const MAX_QUEUED_RPCS: usize = 256;

async fn run(settings: Settings) {
    let started = start_or_exit(Role::Operator, settings.node).await;
    let node = started.node;
    let api = OperatorApi::start(Rc::clone(&node));
    let (tx, rx) = mpsc::channel(MAX_QUEUED_RPCS);
    actix_rt::spawn(request::run(api, rx));
    let (health, health_service) = tonic_health::server::health_reporter();
    health.set_serving::<OperatorServer<Service>>().await;
    let reflection = tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(DESCRIPTORS)
        .build_v1();
    let server = Server::builder()
        .add_service(health_service)
        .add_service(OperatorServer::new(Service::new(tx)))
        .add_optional_service(reflection.ok())
        .serve_with_incoming(TcpListenerStream::new(started.listener));
    actix_rt::spawn(async move {
        // The server runs until the process exits.
        let _ = server.await;
    });
    node.run_until_stopped().await;
}

fn main() {
    let settings = settings_or_exit("cicadagate-operator");
    actix_rt::System::new().block_on(run(settings));
}
