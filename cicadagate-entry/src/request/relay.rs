/*!
Relaying an answer as a stream.

The first step is awaited before the response's head is sent, so that a
request that fails at once gets a proper status. Dropping the body, as the
library does when the caller goes away, drops the answer and so cancels it.
*/

use {
    super::error::{ApiError, Result},
    bytes::Bytes,
    cicadagate_node::{
        process::RunningGuard,
        request::{Answer, Failure, Step},
    },
    futures_util::{Stream, stream::unfold},
    std::io,
};

/// Writes steps of an answer as bytes of a body.
pub(super) trait Render {
    /// Bytes before the first piece.
    fn begin(&mut self) -> Bytes;
    /// Bytes of a piece.
    fn piece(&mut self, piece: &Bytes) -> Bytes;
    /// Bytes after the last piece.
    fn end(&mut self, finish: &str, prompt_tokens: u64) -> Bytes;
    /// Bytes for a failure in the midst of the answer.
    fn failure(&mut self, failure: &Failure) -> Bytes;
}

/// An answer whose first step is known.
pub(super) struct Begun {
    pub answer: Answer,
    pub first: Step,
}

/// Awaits the first step of an answer.
pub(super) async fn begin(mut answer: Answer) -> Result<Begun> {
    let first = answer
        .next()
        .await
        .map_err(|failure| ApiError::from_failure(&failure))?;
    Ok(Begun { answer, first })
}

enum State<R> {
    First(Begun, R),
    Rest(Answer, R),
    Broken,
    Ended,
}

/// Returns the rest of an answer as a body.
pub(super) fn body<R: Render>(
    begun: Begun,
    render: R,
    guard: RunningGuard,
) -> impl Stream<Item = std::result::Result<Bytes, io::Error>> {
    unfold(
        (State::First(begun, render), guard),
        |(state, guard)| async move {
            let (bytes, state) = next(state).await?;
            Some((bytes, (state, guard)))
        },
    )
}

type Item = std::result::Result<Bytes, io::Error>;

async fn next<R: Render>(state: State<R>) -> Option<(Item, State<R>)> {
    match state {
        State::First(begun, mut render) => {
            let mut out = render.begin().to_vec();
            let (bytes, ended) = write(begun.first, &mut render);
            out.extend_from_slice(&bytes);
            let state = if ended {
                State::Ended
            } else {
                State::Rest(begun.answer, render)
            };
            Some((Ok(out.into()), state))
        }
        State::Rest(mut answer, mut render) => match answer.next().await {
            Ok(step) => {
                let (bytes, ended) = write(step, &mut render);
                let state = if ended {
                    State::Ended
                } else {
                    State::Rest(answer, render)
                };
                Some((Ok(bytes), state))
            }
            Err(failure) => Some((Ok(render.failure(&failure)), State::Broken)),
        },
        // The connection is broken off, so that nobody takes it as whole.
        State::Broken => Some((Err(io::Error::other("answer is not whole")), State::Ended)),
        State::Ended => None,
    }
}

fn write<R: Render>(step: Step, render: &mut R) -> (Bytes, bool) {
    match step {
        Step::Head(..) => (Bytes::new(), false),
        Step::Piece(piece) => (render.piece(&piece), false),
        Step::End {
            finish,
            prompt_tokens,
        } => (render.end(&finish, prompt_tokens), true),
    }
}
