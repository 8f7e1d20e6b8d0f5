/*!
Connections to replicas.
*/

mod exchange;
mod pool;

pub use {
    exchange::{Body, BodyFraming, ExchangeError, ReplicaRequest, ReplicaResponse, Result},
    pool::{Pool, Reuse},
};
