//! Why a command fails, and the exit code for each kind of reason.

use std::path::PathBuf;
use std::process::ExitCode;

use cyclamenwharf::admin::AdminErrorKind;
use cyclamenwharf::admin::ErrorMessage;
use snafu::Snafu;

use crate::slo::SloError;

/// A command that fails.
#[derive(Debug, Snafu)]
pub(crate) enum Failure {
    /// A file or an argument cannot be used.
    #[snafu(display("{message}"))]
    Input {
        /// What is wrong with it.
        message: String,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The entry refused the call.
    #[snafu(display("{}", error.message))]
    Refused {
        /// What it answered.
        error: ErrorMessage,
    },
    /// No entry answers.
    #[snafu(display("no entry answers: {message}"))]
    Unreachable {
        /// What happened.
        message: String,
    },
    /// What was waited for did not happen in time.
    #[snafu(display("{message}"))]
    Timeout {
        /// What was waited for.
        message: String,
    },
    /// A replay differs from its trace.
    #[snafu(display("{}: {difference}", file.display()))]
    Replay {
        /// The trace.
        file: PathBuf,
        /// Where it differs.
        difference: String,
    },
    /// The service-level report failed.
    #[snafu(display("{source}"), context(false))]
    Slo {
        /// The cause.
        source: SloError,
    },
}

impl Failure {
    /// Returns a failure of an argument or a file.
    pub(crate) fn input(message: impl ToString) -> Self {
        Failure::Input {
            message: message.to_string(),
        }
    }

    /// Returns the exit code.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Slo { .. } | Failure::Replay { .. } => 1,
            Failure::Input { .. } | Failure::Read { .. } => 2,
            Failure::Refused { error } => refused(error.kind),
            Failure::Unreachable { .. } => 7,
            Failure::Timeout { .. } => 9,
        })
    }
}

fn refused(kind: AdminErrorKind) -> u8 {
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
