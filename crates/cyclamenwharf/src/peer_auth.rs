//! Authentication of peers by a shared secret.

use cw_wire::path::SECRET_HEADER;
use http::HeaderMap;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// Returns whether `headers` contain one of `secrets`.
///
/// The comparison takes constant time for given lengths.
pub(crate) fn is_authorized(headers: &HeaderMap, secrets: &[String]) -> bool {
    let Some(presented) = headers.get(SECRET_HEADER) else {
        return false;
    };
    let presented = presented.as_bytes();
    let matches = |secret: &String| presented.ct_eq(secret.as_bytes());
    secrets
        .iter()
        .map(matches)
        .fold(Choice::from(0), |found, matching| found | matching)
        .into()
}
