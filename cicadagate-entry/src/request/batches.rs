/*!
Requests on batch jobs, forwarded to a batch process.
*/

use {
    super::{
        RequestInfo, admit,
        error::{ApiError, Result},
        read_json_body,
    },
    actix_http::{Request, Response, body::BoxBody},
    cicadagate_node::connection::http::respond_json,
    cicadagate_policy::ids::{CustomerId, FileId, JobId},
    cicadagate_wire::peer::{BatchCall, BatchReply, JobStatus},
    serde_json::{Value, json},
};

/// Retry-after when no batch process replies or the reply is unexpected, in
/// milliseconds.
const BATCH_RETRY_MS: u64 = 1_000;

/// Sends a request to a batch process and returns its reply.
///
/// # Errors
///
/// Returns an error if no batch process replies or the reply is an error.
pub(super) async fn call_batch(info: &RequestInfo, request: BatchCall) -> Result<BatchReply> {
    let hash = CustomerId::of(&info.customer.name).raw();
    let outcome = cicadagate_node::request::call_batch(&info.entry.node, hash, &request).await;
    let err = match outcome.reply {
        Some(BatchReply::Error {
            code,
            message,
            retry_ms,
        }) => ApiError::from_peer(code, message, retry_ms),
        Some(reply) => return Ok(reply),
        None => ApiError::not_run(
            503,
            "unavailable",
            "no batch process answers",
            BATCH_RETRY_MS,
        ),
    };
    Err(err.unless_run(outcome.may_be_done))
}

pub(super) async fn create(info: RequestInfo, mut req: Request) -> Result<Response<BoxBody>> {
    let body = read_json_body(&mut req, info.entry.settings.max_body_bytes).await?;
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
    admit(&info).await?;
    let request = BatchCall::Create {
        customer: info.customer.name.clone(),
        file: FileId::from_raw(file),
        endpoint: endpoint.to_owned(),
        idempotency_key: info
            .idempotency_key
            .clone()
            .unwrap_or_else(|| info.id.to_string()),
    };
    job_response(call_batch(&info, request).await?)
}

/// Parses the id of a job.
fn parse_job_id(job: &str) -> Result<JobId> {
    let id = job
        .strip_prefix("batch_")
        .and_then(|id| u64::from_str_radix(id, 16).ok());
    let not_found = || ApiError::invalid(404, "not_found", "there is no such job");
    id.map(JobId::from_raw).ok_or_else(not_found)
}

pub(super) async fn get(info: RequestInfo, job: &str) -> Result<Response<BoxBody>> {
    let customer = info.customer.name.clone();
    let job = parse_job_id(job)?;
    job_response(call_batch(&info, BatchCall::Get { customer, job }).await?)
}

pub(super) async fn cancel(info: RequestInfo, job: &str) -> Result<Response<BoxBody>> {
    let customer = info.customer.name.clone();
    let job = parse_job_id(job)?;
    job_response(call_batch(&info, BatchCall::Cancel { customer, job }).await?)
}

pub(super) async fn list(info: RequestInfo) -> Result<Response<BoxBody>> {
    let customer = info.customer.name.clone();
    match call_batch(&info, BatchCall::List { customer }).await? {
        BatchReply::Jobs(jobs) => {
            let jobs: Vec<Value> = jobs.iter().map(job_json).collect();
            Ok(respond_json(
                200,
                &json!({"object": "list", "data": jobs, "has_more": false}),
            ))
        }
        _ => Err(ApiError::not_run(
            503,
            "unavailable",
            "unexpected answer",
            BATCH_RETRY_MS,
        )),
    }
}

fn job_response(reply: BatchReply) -> Result<Response<BoxBody>> {
    match reply {
        BatchReply::Job(job) => Ok(respond_json(200, &job_json(&job))),
        _ => Err(ApiError::not_run(
            503,
            "unavailable",
            "unexpected answer",
            BATCH_RETRY_MS,
        )),
    }
}

fn job_json(job: &JobStatus) -> Value {
    let is_completed = job.state == "completed";
    let output = is_completed.then(|| format!("file-output-{}", job.id));
    let errors = (is_completed && job.failed > 0).then(|| format!("file-errors-{}", job.id));
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
