//! Why a role cannot start.

use snafu::Snafu;

/// A role that cannot start.
#[derive(Debug, Snafu)]
#[snafu(display("cannot start: {message}"))]
pub struct StartError {
    /// What happened.
    pub message: String,
}
