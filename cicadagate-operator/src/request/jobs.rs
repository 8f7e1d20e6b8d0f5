/*!
Listing and cancelling the batch jobs of all customers.

In calls to batch processes, an empty customer name stands for all customers.
*/

use {
    super::Result,
    crate::process::OperatorApi,
    cicadagate_node::request::call_batch,
    cicadagate_policy::ids::JobId,
    cicadagate_wire::{
        peer::{BatchCall, BatchReply, JobStatus},
        rpc::{CancelJobRequest, CancelJobResponse, Job, ListJobsResponse},
    },
    tonic::Status,
};

impl OperatorApi {
    pub(super) async fn list_jobs(&self) -> Result<ListJobsResponse> {
        match self
            .call_batch(BatchCall::List {
                customer: String::new(),
            })
            .await?
        {
            BatchReply::Jobs(jobs) => Ok(ListJobsResponse {
                jobs: jobs.iter().map(job_response).collect(),
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
        let order_seed = self.node.own_info().id.raw();
        match call_batch(&self.node, order_seed, &call).await.reply {
            Some(BatchReply::Error { code, message, .. }) if code == "not_found" => {
                Err(Status::not_found(message))
            }
            Some(BatchReply::Error { message, .. }) => Err(Status::unavailable(message)),
            Some(reply) => Ok(reply),
            None => Err(Status::unavailable(
                "no batch process answers; come back in 1 s",
            )),
        }
    }
}

fn job_response(job: &JobStatus) -> Job {
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
