/*!
Connections to other processes, connections from them, and HTTP for callers and
operators.
*/

pub mod http;
pub mod peer_client;
pub mod peer_server;
