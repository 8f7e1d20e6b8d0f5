/*!
Errors in the format of the inference protocol.

Each error has a stable code, says whether the request has certainly not run,
and holds a retry-after where a retry can succeed.
*/

use {
    actix_http::{Response, body::BoxBody},
    cicadagate_node::{
        connection::http::respond_json,
        request::{Failure, FailureKind},
    },
    cicadagate_wire::peer::OUTCOME_UNKNOWN,
    serde_json::{Value, json},
};

/// The result of handling a caller's request.
pub(crate) type Result<T, E = ApiError> = std::result::Result<T, E>;

/// An error that is sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ApiError {
    status: u16,
    code: String,
    message: String,
    not_run: bool,
    retry_ms: Option<u64>,
}

impl ApiError {
    /// Creates an error for an invalid request that has not run.
    pub fn invalid(status: u16, code: &str, message: &str) -> Self {
        Self {
            status,
            code: code.to_owned(),
            message: message.to_owned(),
            not_run: true,
            retry_ms: None,
        }
    }

    /// Creates an error for a request that has not run and may be retried after
    /// `retry_ms` milliseconds.
    pub fn not_run(status: u16, code: &str, message: &str, retry_ms: u64) -> Self {
        Self {
            retry_ms: Some(retry_ms),
            ..Self::invalid(status, code, message)
        }
    }

    /// Creates an error from the error code of another process.
    pub fn from_peer(code: String, message: String, retry_ms: u64) -> Self {
        let status = match code.as_str() {
            "not_found" => 404,
            "conflict" => 409,
            _ if retry_ms > 0 => 503,
            _ => 400,
        };
        let not_run = code != OUTCOME_UNKNOWN;
        let retry_ms = (retry_ms > 0).then_some(retry_ms);
        Self {
            status,
            code,
            message,
            not_run,
            retry_ms,
        }
    }

    /// Returns the error without the promise that the request has not run if an
    /// earlier try may have run it.
    pub const fn unless_run(mut self, may_have_run: bool) -> Self {
        self.not_run = self.not_run && !may_have_run;
        self
    }

    /// Creates an error for a request that failed without a complete response.
    pub fn from_failure(failure: &Failure) -> Self {
        let (status, code) = match failure.kind {
            FailureKind::Busy => (503, "overloaded"),
            FailureKind::Unavailable => (503, "no_replica"),
            FailureKind::Permanent if failure.status == 0 => (502, "endpoint_refused"),
            FailureKind::Permanent => (failure.status, "endpoint_refused"),
            FailureKind::Failed => (502, "attempts_failed"),
            FailureKind::Deadline => (504, "deadline_exceeded"),
            FailureKind::KeyWithdrawn => (401, "invalid_key"),
            FailureKind::LogUnavailable => (503, "log_unavailable"),
        };
        Self {
            status,
            code: code.to_owned(),
            message: failure.detail.clone(),
            not_run: failure.not_run,
            retry_ms: failure.retry_after_ms,
        }
    }

    /// Returns the error as the JSON of a response body.
    pub fn body(&self) -> Value {
        let kind = if self.status < 500 {
            "invalid_request_error"
        } else {
            "server_error"
        };
        json!({"error": {
            "message": self.message,
            "type": kind,
            "code": self.code,
            "not_run": self.not_run,
            "retry_after_ms": self.retry_ms,
        }})
    }

    pub fn into_response(self) -> Response<BoxBody> {
        let mut res = respond_json(self.status, &self.body());
        if let Some(retry_ms) = self.retry_ms {
            let name = actix_http::header::HeaderName::from_static("retry-after");
            res.headers_mut()
                .insert(name, retry_ms.div_ceil(1000).into());
        }
        res
    }
}
