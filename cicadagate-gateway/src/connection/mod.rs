/*!
Connections to replicas.
*/

mod exchange;
mod pool;

pub use {
    exchange::{Answer, Body, ExchangeError, Outgoing, Result},
    pool::{Pool, Reuse},
};
