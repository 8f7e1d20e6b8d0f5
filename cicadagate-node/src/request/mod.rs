/*!
Running a request at the endpoints, with retries.

Entries and batch processes share this module. Both select a replica, send the
request to the process that owns it, and decide whether to retry a failed
attempt.
*/

mod answer;
mod batch;
mod router;

pub use {
    answer::{CollectedBody, Failure, FailureKind, RequestRun, RequestSpec, ResponseEvent},
    batch::{CallOutcome, call_batch},
    router::Router,
};
