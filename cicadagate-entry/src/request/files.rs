/*!
Upload and download of the files of batch jobs.
*/

use {
    super::{
        RequestInfo, admit,
        batches::call_batch,
        error::{ApiError, Result},
        read_limited_body,
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

/// The fields of an uploaded multipart form.
#[derive(Default)]
struct UploadForm {
    purpose: Option<String>,
    name: String,
    body: Option<Bytes>,
}

/// Maximum number of bytes of a form in addition to its file.
const MAX_FORM_OVERHEAD_BYTES: usize = 64 * 1024;
/// Maximum length of a field other than the file, in bytes.
const MAX_FIELD_BYTES: usize = 1024;

pub(super) async fn upload(info: RequestInfo, req: Request) -> Result<Response<BoxBody>> {
    // The body is read before admission: many HTTP clients do not see a
    // response that is sent before the server has read their body.
    let form = read_form(req, info.entry.settings.max_file_bytes).await?;
    admit(&info).await?;
    let invalid = |message: &str| ApiError::invalid(400, "invalid_request", message);
    if form.purpose.as_deref() != Some("batch") {
        return Err(invalid("'purpose' must be 'batch'"));
    }
    let body = form.body.ok_or_else(|| invalid("the form has no 'file'"))?;
    let customer = info.customer.name.clone();
    let reply = call_batch(
        &info,
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

/// Reads a multipart form whose file has up to `limit` bytes.
async fn read_form(mut req: Request, limit: usize) -> Result<UploadForm> {
    let malformed = |err: &dyn std::fmt::Display| {
        ApiError::invalid(400, "malformed_form", &format!("form: {err}"))
    };
    let content_type = req
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let boundary =
        multer::parse_boundary(content_type.unwrap_or_default()).map_err(|err| malformed(&err))?;
    let mut form = UploadForm::default();
    let body = read_limited_body(&mut req, limit + MAX_FORM_OVERHEAD_BYTES).await?;
    let stream = futures_util::stream::once(std::future::ready(Ok::<_, Infallible>(body)));
    let mut parts = multer::Multipart::new(stream, boundary);
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

pub(super) async fn content(info: RequestInfo, file: &str) -> Result<Response<BoxBody>> {
    let customer = info.customer.name.clone();
    let not_found = || ApiError::invalid(404, "not_found", "there is no such file");
    let parse_id = |text: &str| u64::from_str_radix(text, 16).ok();
    let (kind, id) = file.rsplit_once('-').ok_or_else(not_found)?;
    let id = parse_id(id).ok_or_else(not_found)?;
    let request = match kind {
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
    match call_batch(&info, request).await? {
        BatchReply::Content(body) => Ok(respond(200, "application/jsonl", body)),
        _ => Err(ApiError::not_run(
            503,
            "unavailable",
            "unexpected answer",
            1_000,
        )),
    }
}
