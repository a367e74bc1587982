//! The error responses of an entry itself.

use std::time::Duration;

use cw_policy::forward::Precedence;
use cw_types::ErrorKind;
use dropshot::Body;
use http::Response;
use rand::RngExt;

use super::forward_context::ForwardContext;

/// The range of the retry delay in a refusal, as a share of the caller's timeout. Callers follow a
/// delay of up to a third of their timeout, and a random delay keeps them from returning all at
/// once.
const RETRY_AFTER_SHARE: std::ops::Range<f64> = 0.1..0.33;

/// Returns an error response of the entry itself. `time_left` is the time until the caller's
/// timeout, and `soonest` the shortest delay after which the request could be served, if known. Callers of the most urgent rank come back
/// first, by `precedence`.
pub(super) fn refusal_response(
    context: &ForwardContext,
    kind: ErrorKind,
    time_left: Option<Duration>,
    soonest: Option<Duration>,
    id: Option<&str>,
    precedence: Precedence,
) -> Response<Body> {
    let share = context
        .state()
        .rng
        .random_range(precedence.return_range(RETRY_AFTER_SHARE));
    let max_share = RETRY_AFTER_SHARE.end;
    let retry_after = time_left.filter(|_| kind.is_retryable()).map(|time_left| {
        let soonest = soonest.unwrap_or_default();
        match kind {
            // Nothing that the caller does serves the request before the delay is over.
            ErrorKind::Quarantined => soonest,
            // Another entry serves the request at once.
            ErrorKind::NotReady if context.health.is_draining() => Duration::ZERO,
            _ => soonest
                .max(time_left.mul_f64(share))
                .min(time_left.mul_f64(max_share)),
        }
    });
    context
        .dialect
        .error_response(kind, retry_after, id)
        .map(|()| Body::empty())
}
