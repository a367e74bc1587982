//! The error type of the commands, and the exit code of each error.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use cyclamenwharf::admin::AdminErrorKind;
use cyclamenwharf::admin::ErrorMessage;
use snafu::Snafu;

use crate::slo::SloError;

/// The error of a failed command.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    /// A file or an argument is invalid.
    #[snafu(display("{message}"))]
    InvalidInput {
        /// What is invalid.
        message: String,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The path of the file or directory that cannot be read.
        file: PathBuf,
        /// The I/O error of the read.
        source: std::io::Error,
    },
    /// The entry rejected the call.
    #[snafu(display("{}", response.message))]
    Rejected {
        /// The error message of the entry.
        response: ErrorMessage,
    },
    /// No entry responds.
    #[snafu(display("no entry responds: {message}"))]
    Unreachable {
        /// The failure of the last call that was tried.
        message: String,
    },
    /// The response of an entry cannot be parsed, for example because its version is another one.
    #[snafu(display("cannot parse the response of {entry}: {source}"))]
    InvalidResponse {
        /// The entry.
        entry: SocketAddr,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// An awaited state was not reached within the timeout.
    #[snafu(display("{message}"))]
    Timeout {
        /// The state that was not reached.
        message: String,
    },
    /// The replay of a trace differs from the recording.
    #[snafu(display("{}: {difference}", file.display()))]
    Replay {
        /// The trace file.
        file: PathBuf,
        /// The first difference.
        difference: String,
    },
    /// The service-level report failed.
    #[snafu(display("{source}"), context(false))]
    Slo {
        /// The error that the `slo` command returned.
        source: SloError,
    },
}

impl CommandError {
    /// Creates an error for an invalid argument or file.
    pub(crate) fn invalid_input(message: impl ToString) -> Self {
        CommandError::InvalidInput {
            message: message.to_string(),
        }
    }

    /// Returns the exit code of the tool for this error.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::InvalidResponse { .. } | CommandError::Replay { .. } => 1,
            CommandError::Slo { source } => slo_code(source),
            CommandError::InvalidInput { .. } | CommandError::Read { .. } => 2,
            CommandError::Rejected { response } => rejection_code(response.kind),
            CommandError::Unreachable { .. } => 7,
            CommandError::Timeout { .. } => 9,
        })
    }
}

fn slo_code(error: &SloError) -> u8 {
    match error {
        SloError::Draw { .. } => 1,
        SloError::Write { .. } => 2,
        SloError::Unreachable { .. } => 7,
    }
}

fn rejection_code(kind: AdminErrorKind) -> u8 {
    match kind {
        AdminErrorKind::Internal => 1,
        AdminErrorKind::BadRequest => 2,
        AdminErrorKind::Unauthorized | AdminErrorKind::Forbidden => 3,
        AdminErrorKind::NotFound => 4,
        AdminErrorKind::Conflict => 5,
        AdminErrorKind::Breaks | AdminErrorKind::Unreadable => 6,
        AdminErrorKind::Reverted | AdminErrorKind::Unavailable => 7,
        AdminErrorKind::OutcomeUnknown => 8,
    }
}
