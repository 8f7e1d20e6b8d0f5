/*!
Files of batch jobs.
*/

use {
    super::{
        Call, admit,
        batches::call_batch,
        body,
        error::{ApiError, Result},
    },
    actix_http::{HttpMessage as _, Request, Response, body::BoxBody},
    bytes::{Bytes, BytesMut},
    cicadagate_node::connection::http::{respond, respond_json},
    cicadagate_policy::ids::{FileId, JobId},
    cicadagate_wire::peer::{BatchCall, BatchReply},
    futures_util::StreamExt,
    serde_json::json,
    std::convert::Infallible,
};

/// What an uploaded form holds.
#[derive(Default)]
struct Form {
    purpose: Option<String>,
    name: String,
    body: Option<Bytes>,
}

/// Bytes that a form may have beside its file.
const MAX_FORM_OVERHEAD_BYTES: usize = 64 * 1024;
/// Longest field beside the file, in bytes.
const MAX_FIELD_BYTES: usize = 1024;

pub(super) async fn upload(call: Call, req: Request) -> Result<Response<BoxBody>> {
    // Read before it is admitted: many clients see no answer to a body that
    // is not taken.
    let form = read_form(req, call.entry.settings.max_file_bytes).await?;
    admit(&call).await?;
    let invalid = |message: &str| ApiError::invalid(400, "invalid_request", message);
    if form.purpose.as_deref() != Some("batch") {
        return Err(invalid("'purpose' must be 'batch'"));
    }
    let body = form.body.ok_or_else(|| invalid("the form has no 'file'"))?;
    let customer = call.customer.name.clone();
    let reply = call_batch(
        &call,
        BatchCall::PutFile {
            customer,
            name: form.name,
            body,
        },
    )
    .await?;
    let BatchReply::File {
        id,
        bytes,
        created,
        name,
    } = reply
    else {
        return Err(ApiError::not_run(
            503,
            "unavailable",
            "unexpected answer",
            1_000,
        ));
    };
    let body = json!({
        "id": format!("file-{id}"),
        "object": "file",
        "bytes": bytes,
        "created_at": created,
        "filename": name,
        "purpose": "batch",
    });
    Ok(respond_json(200, &body))
}

async fn read_form(mut req: Request, limit: usize) -> Result<Form> {
    let malformed = |err: &dyn std::fmt::Display| {
        ApiError::invalid(400, "malformed_form", &format!("form: {err}"))
    };
    let content_type = req
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let boundary =
        multer::parse_boundary(content_type.unwrap_or_default()).map_err(|err| malformed(&err))?;
    let mut form = Form::default();
    let body = body(&mut req, limit + MAX_FORM_OVERHEAD_BYTES).await?;
    let whole = futures_util::stream::once(std::future::ready(Ok::<_, Infallible>(body)));
    let mut parts = multer::Multipart::new(whole, boundary);
    while let Some(mut field) = parts.next_field().await.map_err(|err| malformed(&err))? {
        let name = field.name().unwrap_or_default().to_owned();
        let limit = if name == "file" {
            limit
        } else {
            MAX_FIELD_BYTES
        };
        if name == "file" {
            field
                .file_name()
                .unwrap_or("upload.jsonl")
                .clone_into(&mut form.name);
        }
        let mut body = BytesMut::new();
        while let Some(chunk) = field.next().await {
            let chunk = chunk.map_err(|err| malformed(&err))?;
            if body.len() + chunk.len() > limit {
                let message = format!("'{name}' has at most {limit} bytes");
                return Err(ApiError::invalid(413, "body_too_long", &message));
            }
            body.extend_from_slice(&chunk);
        }
        match name.as_str() {
            "purpose" => form.purpose = Some(String::from_utf8_lossy(&body).into_owned()),
            "file" => form.body = Some(body.freeze()),
            _ => {}
        }
    }
    Ok(form)
}

pub(super) async fn content(call: Call, file: &str) -> Result<Response<BoxBody>> {
    let customer = call.customer.name.clone();
    let not_found = || ApiError::invalid(404, "not_found", "there is no such file");
    let number = |text: &str| u64::from_str_radix(text, 16).ok();
    let (kind, id) = file.rsplit_once('-').ok_or_else(not_found)?;
    let id = number(id).ok_or_else(not_found)?;
    let batch_call = match kind {
        "file" => BatchCall::GetFile {
            customer,
            file: FileId::from_raw(id),
        },
        "file-output" => BatchCall::GetOutput {
            customer,
            job: JobId::from_raw(id),
            failed: false,
        },
        "file-errors" => BatchCall::GetOutput {
            customer,
            job: JobId::from_raw(id),
            failed: true,
        },
        _ => return Err(not_found()),
    };
    match call_batch(&call, batch_call).await? {
        BatchReply::Content(body) => Ok(respond(200, "application/jsonl", body)),
        _ => Err(ApiError::not_run(
            503,
            "unavailable",
            "unexpected answer",
            1_000,
        )),
    }
}
