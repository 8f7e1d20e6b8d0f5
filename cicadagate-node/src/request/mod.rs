/*!
Running a request at the endpoints, over as many attempts as it may have.

Entries and batch processes share this: both choose a replica, send the
request to its home, and decide what follows a failed attempt.
*/

mod answer;
mod batch;
mod router;

pub use {
    answer::{Answer, Failure, FailureKind, Plan, Step},
    batch::call_batch,
    router::Router,
};
