/*!
HTTP interface for operators: health, metrics and traces.
*/

use {
    super::Node,
    crate::connection::http::{ConnectionTimeouts, query_param, respond, respond_json, serve},
    actix_http::{Request, Response, body::BoxBody},
    actix_rt::net::TcpListener,
    serde_json::json,
    std::{convert::Infallible, rc::Rc},
};

/// Most open connections.
const MAX_CONNECTIONS: usize = 64;

/// Serves the interface for as long as the process runs.
pub(super) async fn run(node: Rc<Node>, listener: TcpListener) {
    let metrics = Rc::clone(&node.metrics);
    let handler = move |req: Request| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(handle_request(&node, &req)) }
    };
    serve(
        listener,
        MAX_CONNECTIONS,
        ConnectionTimeouts::default(),
        metrics,
        handler,
    )
    .await;
}

fn handle_request(node: &Node, req: &Request) -> Response<BoxBody> {
    match req.path() {
        "/metrics" => respond(200, "text/plain; version=0.0.4", node.metrics.render()),
        "/health" => respond(200, "text/plain", "alive\n"),
        "/ready" => respond_ready(node),
        "/traces" => {
            let own_info = node.own_info();
            respond_json(
                200,
                &node.spans.render(own_info.role.name(), &own_info.instance),
            )
        }
        "/explain" => {
            let id = req
                .uri()
                .query()
                .and_then(|query| query_param(query, "id"))
                .unwrap_or("");
            respond_json(200, &json!({"lines": node.spans.explain(id)}))
        }
        _ => respond(404, "text/plain", "no such page\n"),
    }
}

fn respond_ready(node: &Node) -> Response<BoxBody> {
    let ready = node.is_configured() && node.has_contact() && node.is_advertised();
    let body = json!({
        "ready": ready,
        "version": node.config.borrow().version().0,
        "contact": node.has_contact(),
        "members": node.membership.borrow().alive().count(),
        "epoch": node.config.borrow().epoch().map(|(version, _)| version.0),
        "settled": node.config.borrow().epoch().is_some_and(|(_, epoch)| epoch.settled.is_some()),
        "running": node.running_requests.get(),
    });
    respond_json(if ready { 200 } else { 503 }, &body)
}
