//! Which statuses an answer may have.

use http::StatusCode;
use snafu::Snafu;

/// The status of an answer is none that ends a request: it is interim, or none of HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the status {status} is not the status of an answer"))]
pub struct NoFinalStatus {
    /// The status.
    pub status: StatusCode,
}

/// Checks that the status of an answer ends a request.
///
/// A library skips interim answers but 101, behind which another protocol begins. Nothing here asks for one, and what
/// answers with it, or with a status from 600 on, does not speak HTTP.
///
/// # Errors
///
/// Fails if the status is none from 200 to 599.
pub fn check_final_status(status: StatusCode) -> Result<(), NoFinalStatus> {
    match status.as_u16() {
        200..=599 => Ok(()),
        _ => Err(NoFinalStatus { status }),
    }
}
