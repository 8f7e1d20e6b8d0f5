/*!
Clients of the platform's services, behind traits.

Each call has its own timeout. An append whose response is lost may have taken
effect; the code that appends finds out by reading the stream and never just
repeats the append.
*/

pub mod instance_list;
pub mod log;

use {snafu::Snafu, std::time::Duration};

/// A result of the platform's clients.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Timeout of an operation, in addition to the time that the service is asked to
/// wait.
pub const OPERATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a call failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PlatformError {
    /// No response in time. The call may have taken effect.
    #[snafu(display("no response: {detail}"))]
    NoResponse {
        /// What happened.
        detail: String,
    },
    /// The service refused the call, which has no effect.
    #[snafu(display("request refused with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// A response or a record is invalid. The call may have taken effect.
    #[snafu(display("unintelligible answer: {detail}"))]
    InvalidResponse {
        /// What is wrong with it.
        detail: String,
    },
}

impl PlatformError {
    /// Returns whether the call may have taken effect.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        !matches!(self, Self::Refused { .. })
    }
}
