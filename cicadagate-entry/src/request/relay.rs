/*!
Relays a response to the caller as a stream.

A response arrives in steps: the head if it is of a plain service, pieces of
the body and the end. The first step is awaited before any of the response is
sent to the caller, so that a request that fails before it gets an error
status. The HTTP library drops the body when the caller disconnects; this drops
the [`RequestRun`] and so cancels the request.
*/

use {
    super::error::{ApiError, Result},
    bytes::Bytes,
    cicadagate_node::{
        process::RunningGuard,
        request::{Failure, RequestRun, ResponseEvent},
    },
    futures_util::{Stream, stream::unfold},
    std::io,
};

/// Encodes the steps of a response as bytes of an HTTP body.
pub(super) trait Encoder {
    /// Returns the bytes before the first piece.
    fn start(&mut self) -> Bytes;
    /// Returns the bytes of a piece.
    fn piece(&mut self, piece: &Bytes) -> Bytes;
    /// Returns the bytes after the last piece. `finish` is the engine's reason
    /// for the end, empty for a plain service.
    fn end(&mut self, finish: &str, prompt_tokens: u64) -> Bytes;
    /// Returns the bytes for a failure after the response has started.
    fn failure(&mut self, failure: &Failure) -> Bytes;
}

/// A response whose first step has arrived.
pub(super) struct StartedResponse {
    pub run: RequestRun,
    pub first: ResponseEvent,
}

/// Awaits the first step of a response.
pub(super) async fn await_first_step(mut run: RequestRun) -> Result<StartedResponse> {
    let first = run
        .next()
        .await
        .map_err(|failure| ApiError::from_failure(&failure))?;
    Ok(StartedResponse { run, first })
}

enum RelayState<E> {
    /// The first step is known but not encoded yet.
    Started(StartedResponse, E),
    Streaming(RequestRun, E),
    /// The response failed after it had begun.
    Failed,
    Ended,
}

/// Returns the response as a stream of chunks of an HTTP body. The request
/// counts as running until the stream is dropped, since it holds `guard`.
pub(super) fn response_body<E: Encoder>(
    started: StartedResponse,
    encoder: E,
    guard: RunningGuard,
) -> impl Stream<Item = std::result::Result<Bytes, io::Error>> {
    unfold(
        (RelayState::Started(started, encoder), guard),
        |(state, guard)| async move {
            let (bytes, state) = next_chunk(state).await?;
            Some((bytes, (state, guard)))
        },
    )
}

/// A chunk of an HTTP body, or an error that closes the connection.
type Chunk = std::result::Result<Bytes, io::Error>;

async fn next_chunk<E: Encoder>(state: RelayState<E>) -> Option<(Chunk, RelayState<E>)> {
    match state {
        RelayState::Started(started, mut encoder) => {
            let mut out = encoder.start().to_vec();
            let (bytes, ended) = encode_step(started.first, &mut encoder);
            out.extend_from_slice(&bytes);
            let state = if ended {
                RelayState::Ended
            } else {
                RelayState::Streaming(started.run, encoder)
            };
            Some((Ok(out.into()), state))
        }
        RelayState::Streaming(mut run, mut encoder) => match run.next().await {
            Ok(step) => {
                let (bytes, ended) = encode_step(step, &mut encoder);
                let state = if ended {
                    RelayState::Ended
                } else {
                    RelayState::Streaming(run, encoder)
                };
                Some((Ok(bytes), state))
            }
            Err(failure) => Some((Ok(encoder.failure(&failure)), RelayState::Failed)),
        },
        // An error closes the connection, so that the caller does not take the
        // body as complete.
        RelayState::Failed => Some((
            Err(io::Error::other("response is incomplete")),
            RelayState::Ended,
        )),
        RelayState::Ended => None,
    }
}

/// Encodes a step; the second value is true if it was the last one.
fn encode_step<E: Encoder>(step: ResponseEvent, encoder: &mut E) -> (Bytes, bool) {
    match step {
        ResponseEvent::Head(..) => (Bytes::new(), false),
        ResponseEvent::Piece(piece) => (encoder.piece(&piece), false),
        ResponseEvent::End {
            finish,
            prompt_tokens,
        } => (encoder.end(&finish, prompt_tokens), true),
    }
}
