/*!
RPC client of an operator process.
*/

use {
    crate::error::{ConnectSnafu, Result, UsageSnafu},
    cicadagate_wire::rpc::{
        ApplyRequest, ApplyResponse, CancelJobRequest, Change, HistoryRequest, HistoryResponse,
        ListJobsRequest, ListJobsResponse, ListRequest, ListResponse, VersionsRequest,
        VersionsResponse, WaitInForceRequest, operator_client::OperatorClient,
    },
    serde_json::json,
    snafu::OptionExt,
    std::time::Duration,
    tonic::transport::{Channel, Endpoint},
};

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Default timeout when waiting for a version, in milliseconds.
const DEFAULT_WAIT_MS: u32 = 15_000;

/// A connection to an operator process.
pub(crate) struct Client {
    rpc: OperatorClient<Channel>,
}

impl Client {
    pub async fn connect(addr: Option<&str>) -> Result<Self> {
        let from_env = std::env::var("CICADAGATE_OPERATOR").ok();
        let addr = addr.map(str::to_owned).or(from_env);
        let reason = "name an operator process: --operator IP:PORT or CICADAGATE_OPERATOR";
        let addr = addr.context(UsageSnafu { reason })?;
        let failed = |err: tonic::transport::Error| {
            ConnectSnafu {
                reason: format!("{addr}: {err}"),
            }
            .build()
        };
        let endpoint = Endpoint::from_shared(format!("http://{addr}")).map_err(failed)?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .connect()
            .await
            .map_err(failed)?;
        Ok(Self {
            rpc: OperatorClient::new(channel),
        })
    }

    /// Applies a change and returns the response.
    ///
    /// Without `based_on`, the change is based on the version in force when the
    /// operator process receives it.
    pub async fn apply(
        &mut self,
        change: Change,
        based_on: Option<u64>,
        request_id: String,
        dry_run: bool,
    ) -> Result<ApplyResponse> {
        let req = ApplyRequest {
            request_id,
            based_on: based_on.unwrap_or(0),
            change: Some(change),
            force: based_on.is_none(),
            dry_run,
        };
        Ok(self.rpc.apply(req).await?.into_inner())
    }

    /// Applies a change and prints its version, and the secret of a new key.
    pub async fn apply_and_print(
        &mut self,
        change: Change,
        based_on: Option<u64>,
        request_id: Option<String>,
        json: bool,
    ) -> Result<()> {
        let id = request_id.unwrap_or_default();
        let response = self.apply(change, based_on, id, false).await?;
        if json {
            let body = json!({
                "version": response.version,
                "secret": response.secret,
                "log_pending": response.log_pending,
                "peers_pending": response.peers_pending,
            });
            println!("{body}");
            return Ok(());
        }
        if response.log_pending {
            println!("in force through peers; appended to the log once it is reachable");
        } else {
            println!("version {}", response.version);
        }
        if response.peers_pending {
            println!("processes cut off from the log may not know it yet");
        }
        if !response.secret.is_empty() {
            println!("key {} (shown only now)", response.secret);
        }
        Ok(())
    }

    pub async fn list(&mut self) -> Result<ListResponse> {
        Ok(self.rpc.list(ListRequest {}).await?.into_inner())
    }

    pub async fn versions(&mut self) -> Result<VersionsResponse> {
        Ok(self.rpc.versions(VersionsRequest {}).await?.into_inner())
    }

    pub async fn wait(
        &mut self,
        version: u64,
        timeout_ms: Option<u32>,
    ) -> Result<VersionsResponse> {
        let req = WaitInForceRequest {
            version,
            timeout_ms: timeout_ms.unwrap_or(DEFAULT_WAIT_MS),
        };
        Ok(self.rpc.wait_in_force(req).await?.into_inner())
    }

    pub async fn history(&mut self) -> Result<HistoryResponse> {
        Ok(self.rpc.history(HistoryRequest {}).await?.into_inner())
    }

    pub async fn jobs(&mut self) -> Result<ListJobsResponse> {
        Ok(self.rpc.list_jobs(ListJobsRequest {}).await?.into_inner())
    }

    pub async fn cancel_job(&mut self, id: String) -> Result<()> {
        self.rpc.cancel_job(CancelJobRequest { id }).await?;
        println!("cancelled");
        Ok(())
    }
}
