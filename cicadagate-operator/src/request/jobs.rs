/*!
Batch jobs, as operators see them.
*/

use {
    super::Result,
    crate::process::Operators,
    cicadagate_policy::{ids::JobId, process::membership::Role},
    cicadagate_wire::{
        peer::{BatchCall, BatchReply, FromServer, JobView, ToServer},
        rpc::{CancelJobRequest, CancelJobResponse, Job, ListJobsResponse},
    },
    std::time::Duration,
    tonic::Status,
};

/// Time that a batch process has to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Batch processes that are tried for a call.
const MAX_TRIES: usize = 3;

impl Operators {
    pub(super) async fn list_jobs(&self) -> Result<ListJobsResponse> {
        match self
            .call_batch(BatchCall::List {
                customer: String::new(),
            })
            .await?
        {
            BatchReply::Jobs(jobs) => Ok(ListJobsResponse {
                jobs: jobs.iter().map(convert).collect(),
            }),
            _ => Err(Status::internal("unexpected answer")),
        }
    }

    pub(super) async fn cancel_job(&self, req: CancelJobRequest) -> Result<CancelJobResponse> {
        let id = req.id.strip_prefix("batch_").unwrap_or(&req.id);
        let id = u64::from_str_radix(id, 16)
            .map_err(|_| Status::invalid_argument("a job's id is batch_ and 16 digits"))?;
        let call = BatchCall::Cancel {
            customer: String::new(),
            job: JobId::from_raw(id),
        };
        match self.call_batch(call).await? {
            BatchReply::Job(job) if job.state == "cancelled" => {
                Ok(CancelJobResponse { version: 0 })
            }
            BatchReply::Job(job) => Err(Status::failed_precondition(format!(
                "the job is {}",
                job.state
            ))),
            _ => Err(Status::internal("unexpected answer")),
        }
    }

    async fn call_batch(&self, call: BatchCall) -> Result<BatchReply> {
        for peer in self.node.live(Role::Batch).into_iter().take(MAX_TRIES) {
            let message = call.clone();
            let make = |seq| ToServer::Batch { seq, call: message };
            match self.node.links.call(peer.tcp, CALL_TIMEOUT, make).await {
                Ok(FromServer::Batch {
                    reply: BatchReply::Error { code, message, .. },
                    ..
                }) => {
                    return Err(if code == "not_found" {
                        Status::not_found(message)
                    } else {
                        Status::unavailable(message)
                    });
                }
                Ok(FromServer::Batch { reply, .. }) => return Ok(reply),
                _ => {}
            }
        }
        Err(Status::unavailable(
            "no batch process answers; come back in 1 s",
        ))
    }
}

fn convert(job: &JobView) -> Job {
    Job {
        id: format!("batch_{}", job.id),
        customer: job.customer.clone(),
        state: job.state.clone(),
        items: job.items,
        completed: job.completed,
        failed: job.failed,
        claimant: job.claimant.clone(),
    }
}
