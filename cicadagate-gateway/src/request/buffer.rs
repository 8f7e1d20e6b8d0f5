/*!
Reads short response bodies completely before they are passed on, so that a
request can be retried if its response is cut short.
*/

use {
    crate::process::{Gateway, memory::HeldResponse},
    actix_rt::time::timeout,
    bytes::{Bytes, BytesMut},
    cicadagate_node::connection::http_client::Body,
    cicadagate_policy::time::Time,
    std::{rc::Rc, time::Duration},
};

/// Longest response that is buffered until it is complete. Longer ones are
/// streamed, as are those for which memory is short.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A response body, or what was read of it.
pub(super) enum BufferedBody {
    Complete(Bytes),
    TooLong(Bytes, Box<Body>),
    Failed {
        reason: String,
        /// Whether the replica closed the connection.
        is_closed: bool,
    },
}

/// Reads a response body up to [`MAX_BUFFERED_BYTES`], until the deadline.
pub(super) async fn read(
    gateway: &Rc<Gateway>,
    request: &str,
    deadline: Time,
    mut body: Body,
) -> BufferedBody {
    let mut held = HeldResponse::new(gateway);
    let read = async {
        let mut buffer = BytesMut::new();
        while let Some(chunk) = body.chunk().await {
            match chunk {
                Ok(chunk) => buffer.extend_from_slice(&chunk),
                Err(err) => {
                    return BufferedBody::Failed {
                        reason: err.to_string(),
                        is_closed: err.is_closed_by_peer(),
                    };
                }
            }
            if buffer.len() > MAX_BUFFERED_BYTES || !held.resize(request, buffer.len()) {
                return BufferedBody::TooLong(buffer.freeze(), Box::new(body));
            }
        }
        BufferedBody::Complete(buffer.freeze())
    };
    let left = Duration::from_millis(deadline.since(gateway.now()));
    timeout(left, read)
        .await
        .unwrap_or_else(|_| BufferedBody::Failed {
            reason: "deadline exceeded".to_owned(),
            is_closed: false,
        })
}
