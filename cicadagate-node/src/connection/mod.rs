/*!
Connections to other processes, connections from them, HTTP for callers and
operators, and HTTP to endpoints.
*/

pub mod http;
pub mod http_client;
pub mod peer_client;
pub mod peer_server;
pub mod response_queue;
