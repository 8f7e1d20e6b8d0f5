/*!
Batch jobs.
*/

use {
    super::{
        Call, admit,
        error::{ApiError, Result},
        json_body,
    },
    actix_http::{Request, Response, body::BoxBody},
    cicadagate_node::connection::http::respond_json,
    cicadagate_policy::ids::{CustomerId, FileId, JobId},
    cicadagate_wire::peer::{BatchCall, BatchReply, JobView},
    serde_json::{Value, json},
};

/// Retry-after when no batch process answers, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Calls a batch process.
pub(super) async fn call_batch(call: &Call, batch_call: BatchCall) -> Result<BatchReply> {
    let spread = CustomerId::of(&call.customer.name).raw();
    match cicadagate_node::request::call_batch(&call.entry.node, spread, &batch_call).await {
        Some(BatchReply::Error {
            code,
            message,
            retry_ms,
        }) => Err(ApiError::from_peer(code, message, retry_ms)),
        Some(reply) => Ok(reply),
        None => Err(ApiError::not_run(
            503,
            "unavailable",
            "no batch process answers",
            RETRY_MS,
        )),
    }
}

pub(super) async fn create(call: Call, mut req: Request) -> Result<Response<BoxBody>> {
    let body = json_body(&mut req, call.entry.settings.max_body_bytes).await?;
    let invalid = |message: &str| ApiError::invalid(400, "invalid_request", message);
    let file = body["input_file_id"]
        .as_str()
        .and_then(|id| id.strip_prefix("file-"));
    let file = file.and_then(|id| u64::from_str_radix(id, 16).ok());
    let file = file.ok_or_else(|| invalid("'input_file_id' must be the id of a file"))?;
    let endpoint = body["endpoint"]
        .as_str()
        .filter(|path| path.starts_with('/'));
    let endpoint = endpoint.ok_or_else(|| invalid("'endpoint' must be a path"))?;
    admit(&call).await?;
    let batch_call = BatchCall::Create {
        customer: call.customer.name.clone(),
        file: FileId::from_raw(file),
        endpoint: endpoint.to_owned(),
        idempotency_key: call
            .idempotency_key
            .clone()
            .unwrap_or_else(|| call.id.to_string()),
    };
    show_reply(call_batch(&call, batch_call).await?)
}

fn job_id(job: &str) -> Result<JobId> {
    let id = job
        .strip_prefix("batch_")
        .and_then(|id| u64::from_str_radix(id, 16).ok());
    let not_found = || ApiError::invalid(404, "not_found", "there is no such job");
    id.map(JobId::from_raw).ok_or_else(not_found)
}

pub(super) async fn show(call: Call, job: &str) -> Result<Response<BoxBody>> {
    let customer = call.customer.name.clone();
    let job = job_id(job)?;
    show_reply(call_batch(&call, BatchCall::Get { customer, job }).await?)
}

pub(super) async fn cancel(call: Call, job: &str) -> Result<Response<BoxBody>> {
    let customer = call.customer.name.clone();
    let job = job_id(job)?;
    show_reply(call_batch(&call, BatchCall::Cancel { customer, job }).await?)
}

pub(super) async fn list(call: Call) -> Result<Response<BoxBody>> {
    let customer = call.customer.name.clone();
    match call_batch(&call, BatchCall::List { customer }).await? {
        BatchReply::Jobs(jobs) => {
            let jobs: Vec<Value> = jobs.iter().map(render).collect();
            Ok(respond_json(
                200,
                &json!({"object": "list", "data": jobs, "has_more": false}),
            ))
        }
        _ => Err(ApiError::not_run(
            503,
            "unavailable",
            "unexpected answer",
            RETRY_MS,
        )),
    }
}

fn show_reply(reply: BatchReply) -> Result<Response<BoxBody>> {
    match reply {
        BatchReply::Job(job) => Ok(respond_json(200, &render(&job))),
        _ => Err(ApiError::not_run(
            503,
            "unavailable",
            "unexpected answer",
            RETRY_MS,
        )),
    }
}

fn render(job: &JobView) -> Value {
    let ended = job.state == "completed";
    let output = ended.then(|| format!("file-output-{}", job.id));
    let errors = (ended && job.failed > 0).then(|| format!("file-errors-{}", job.id));
    json!({
        "id": format!("batch_{}", job.id),
        "object": "batch",
        "endpoint": job.endpoint,
        "input_file_id": format!("file-{}", job.file),
        "completion_window": "24h",
        "status": job.state,
        "output_file_id": output,
        "error_file_id": errors,
        "created_at": job.created,
        "expires_at": job.keep_until,
        "request_counts": {
            "total": job.items,
            "completed": job.completed,
            "failed": job.failed,
        },
    })
}
