/*!
Stand-ins for what surrounds cicadagate.

Small emulators of the platform (log, instance list, weight store), of model
engines and of plain services, each with faults that can be ordered over a
control interface. They are written from the published protocols and from the
users' description; they are for tests, demonstrations and experiments only.
*/

pub mod engine;
pub mod platform;
pub mod service;

use {
    actix_rt::net::TcpListener,
    cicadagate_node::{
        connection::http::{Timeouts, serve},
        metrics::Metrics,
    },
    serde_json::json,
    std::{convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc},
};

/// Most connections of a stand-in.
const MAX_CONNECTIONS: usize = 16_384;

/// Binds an address, announces it on standard output and serves HTTP there.
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
        Timeouts::default(),
        Rc::new(Metrics::new()),
        handler,
    )
    .await;
    Ok(())
}
