/*!
HTTP/1.1 client for endpoints.

It reports a response that was cut short as such: the end of a connection ends a
body only if its head announces neither a length nor chunks.

* `exchange`: one request and its response.
* `pool`: connections that are reused.
*/

mod exchange;
mod pool;

pub use {
    exchange::{
        Body, BodyFraming, DiscardReason, ExchangeError, ReplicaRequest, ReplicaResponse, Result,
        send_once,
    },
    pool::{DiscardedResponse, Pool, Reuse},
};
