/*!
Connections: to peers, from peers, and HTTP from callers and operators.
*/

pub mod http;
pub mod link;
pub mod server;
