/*!
Emulators of the systems that cicadagate depends on.

There are stand-ins for the platform (log, instance list, weight store), for
model engines and for plain services. Each has a control interface for injected
faults. They follow the published protocols and the users' description, and are
for tests, demonstrations and experiments only.
*/

pub mod engine;
pub mod platform;
pub mod service;

use {
    actix_rt::net::TcpListener,
    cicadagate_node::{
        connection::http::{ConnectionTimeouts, serve},
        metrics::Metrics,
    },
    serde_json::json,
    std::{convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc},
};

/// Maximum number of open connections of a stand-in.
const MAX_CONNECTIONS: usize = 16_384;

/// Binds an address, prints it as a line of JSON on standard output, and serves
/// HTTP on it.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve_announced<F, Fut>(addr: SocketAddr, name: &str, handler: F) -> io::Result<()>
where
    F: Fn(actix_http::Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<actix_http::Response<actix_http::body::BoxBody>, Infallible>>
        + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let bound = json!({"bound": {"standin": name, "listen": listener.local_addr()?}});
    println!("{bound}");
    serve(
        listener,
        MAX_CONNECTIONS,
        ConnectionTimeouts::default(),
        Rc::new(Metrics::new()),
        handler,
    )
    .await;
    Ok(())
}
