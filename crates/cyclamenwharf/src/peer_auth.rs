//! The secret that processes of the system show each other.

use cw_wire::path::SECRET_HEADER;
use http::HeaderMap;
use subtle::ConstantTimeEq;

/// Returns whether the headers carry one of `secrets`, in a time that tells nothing about them.
pub(crate) fn check(headers: &HeaderMap, secrets: &[String]) -> bool {
    let Some(shown) = headers.get(SECRET_HEADER) else {
        return false;
    };
    let matches = |secret: &String| bool::from(secret.as_bytes().ct_eq(shown.as_bytes()));
    secrets
        .iter()
        .fold(false, |found, secret| matches(secret) | found)
}
