/*!
Connections to replicas.
*/

mod exchange;
mod pool;

pub use {
    exchange::{Body, ExchangeError, ReplicaRequest, ReplicaResponse, Result},
    pool::{Pool, Reuse},
};
