/*!
The operator RPCs.

Tonic requires a service to be `Send` and `Sync`, but the state of a process is
single-threaded. The service therefore only sends each RPC over a channel to a
task on the process's own thread and awaits the response.
*/

mod apply;
mod convert;
mod jobs;
mod queries;

use {
    crate::process::OperatorApi,
    cicadagate_wire::rpc::{
        ApplyRequest, ApplyResponse, CancelJobRequest, CancelJobResponse, HistoryRequest,
        HistoryResponse, ListJobsRequest, ListJobsResponse, ListRequest, ListResponse,
        VersionsRequest, VersionsResponse, WaitInForceRequest, operator_server::Operator,
    },
    std::rc::Rc,
    tokio::sync::{mpsc, oneshot},
    tonic::{Request, Response, Status},
};

/// The result of an RPC.
pub(crate) type Result<T, E = Status> = std::result::Result<T, E>;

/// An RPC with the channel for its response.
pub(crate) enum Rpc {
    Apply(ApplyRequest, oneshot::Sender<Result<ApplyResponse>>),
    List(oneshot::Sender<Result<ListResponse>>),
    Versions(oneshot::Sender<Result<VersionsResponse>>),
    WaitInForce(
        WaitInForceRequest,
        oneshot::Sender<Result<VersionsResponse>>,
    ),
    History(oneshot::Sender<Result<HistoryResponse>>),
    ListJobs(oneshot::Sender<Result<ListJobsResponse>>),
    CancelJob(CancelJobRequest, oneshot::Sender<Result<CancelJobResponse>>),
}

/// The tonic service, which forwards RPCs to the process's own thread.
pub(crate) struct Service {
    tx: mpsc::Sender<Rpc>,
}

impl Service {
    pub const fn new(tx: mpsc::Sender<Rpc>) -> Self {
        Self { tx }
    }

    async fn forward<T>(
        &self,
        to_rpc: impl FnOnce(oneshot::Sender<Result<T>>) -> Rpc,
    ) -> Result<Response<T>> {
        let (tx, rx) = oneshot::channel();
        let queue_full =
            |_| Status::resource_exhausted("too many RPCs wait; not run, come back in 1 s");
        self.tx.try_send(to_rpc(tx)).map_err(queue_full)?;
        let response = rx
            .await
            .map_err(|_| Status::unavailable("the process is stopping"))?;
        response.map(Response::new)
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn apply(&self, req: Request<ApplyRequest>) -> Result<Response<ApplyResponse>> {
        self.forward(|tx| Rpc::Apply(req.into_inner(), tx)).await
    }

    async fn list(&self, _req: Request<ListRequest>) -> Result<Response<ListResponse>> {
        self.forward(Rpc::List).await
    }

    async fn versions(&self, _req: Request<VersionsRequest>) -> Result<Response<VersionsResponse>> {
        self.forward(Rpc::Versions).await
    }

    async fn wait_in_force(
        &self,
        req: Request<WaitInForceRequest>,
    ) -> Result<Response<VersionsResponse>> {
        self.forward(|tx| Rpc::WaitInForce(req.into_inner(), tx))
            .await
    }

    async fn history(&self, _req: Request<HistoryRequest>) -> Result<Response<HistoryResponse>> {
        self.forward(Rpc::History).await
    }

    async fn list_jobs(
        &self,
        _req: Request<ListJobsRequest>,
    ) -> Result<Response<ListJobsResponse>> {
        self.forward(Rpc::ListJobs).await
    }

    async fn cancel_job(
        &self,
        req: Request<CancelJobRequest>,
    ) -> Result<Response<CancelJobResponse>> {
        self.forward(|tx| Rpc::CancelJob(req.into_inner(), tx))
            .await
    }
}

/// Handles RPCs for as long as the process runs.
pub(crate) async fn run(api: Rc<OperatorApi>, mut rx: mpsc::Receiver<Rpc>) {
    while let Some(rpc) = rx.recv().await {
        actix_rt::spawn(handle(Rc::clone(&api), rpc));
    }
}

async fn handle(api: Rc<OperatorApi>, rpc: Rpc) {
    let _guard = api.node.track_running();
    // Sending fails only if the operator has disconnected.
    match rpc {
        Rpc::Apply(req, tx) => drop(tx.send(api.apply(req).await)),
        Rpc::List(tx) => drop(tx.send(api.list())),
        Rpc::Versions(tx) => drop(tx.send(Ok(api.versions()))),
        Rpc::WaitInForce(req, tx) => drop(tx.send(api.wait_in_force(req).await)),
        Rpc::History(tx) => drop(tx.send(Ok(api.list_history()))),
        Rpc::ListJobs(tx) => drop(tx.send(api.list_jobs().await)),
        Rpc::CancelJob(req, tx) => drop(tx.send(api.cancel_job(req).await)),
    }
}
