/*!
Errors of commands, and their exit codes.
*/

use {snafu::Snafu, tonic::Code};

/// The result of a command.
pub(crate) type Result<T, E = CtlError> = std::result::Result<T, E>;

/// Why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CtlError {
    #[snafu(display("{reason}"))]
    Usage { reason: String },
    #[snafu(display("can't reach an operator process: {reason}"))]
    Connect { reason: String },
    #[snafu(display("{}", status.message()))]
    Rpc { status: Box<tonic::Status> },
    #[snafu(display("{path}: {reason}"))]
    File { path: String, reason: String },
}

impl CtlError {
    /// Exit code of a wrong command line or an unusable file.
    pub const USAGE: i32 = 2;

    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Usage { .. } | Self::File { .. } => Self::USAGE,
            Self::Connect { .. } => 4,
            Self::Rpc { status } => match status.code() {
                Code::FailedPrecondition => 3,
                Code::Unavailable | Code::DeadlineExceeded | Code::Unknown => 4,
                _ => 1,
            },
        }
    }
}

impl From<tonic::Status> for CtlError {
    fn from(status: tonic::Status) -> Self {
        Self::Rpc {
            status: Box::new(status),
        }
    }
}
