/*!
The platform's services, behind traits.

Each call has a time-out of its own. An append whose answer is lost may have
taken effect; callers find out by reading, never by repeating blindly.
*/

pub mod list;
pub mod log;

use {snafu::Snafu, std::time::Duration};

/// A result of the platform's clients.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Time that a call may take beyond what it was asked to wait.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a call failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PlatformError {
    /// No answer, or not in time. An action may have taken effect.
    #[snafu(display("no answer: {detail}"))]
    NoAnswer {
        /// What happened.
        detail: String,
    },
    /// Refused by the service; no effect.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer can't be understood.
    #[snafu(display("unintelligible answer: {detail}"))]
    Unintelligible {
        /// What is wrong with it.
        detail: String,
    },
}
