//! Takes requests in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::Admitted;
use cw_policy::forward::EventStream;
use cw_policy::forward::Exchange;
use cw_policy::forward::ExchangePlan;
use cw_policy::forward::ForwardConfig;
use cw_store::RequestHead;
use cw_types::ErrorKind;
use cw_types::ServiceName;
use dropshot::Body;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::request;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use log::info;
use rand::RngExt;

use crate::stream_server::Handler;

use super::answer::close_after;
use super::courier::Courier;
use super::courier::Parcel;
use super::shared::Shared;

/// How long a caller waits that does not say so; the route's own limit is shorter as a rule.
const PATIENCE_DEFAULT: Duration = Duration::from_secs(30);

/// The parts of the caller's time between which it is told to come again: callers follow it up to
/// a third of their time, and spreading them avoids that all come at once.
const AGAIN_SHARE: std::ops::Range<f64> = 0.1..0.33;

/// Takes requests in.
pub(super) struct Front {
    pub(super) shared: Arc<Shared>,
}

/// A request that is not carried any further.
struct Refusal {
    kind: ErrorKind,
    /// What was wrong with it, where the kind does not say it all.
    reason: String,
    id: Option<String>,
    patience: Option<Duration>,
}

/// Why a request is not carried any further.
struct Fault {
    kind: ErrorKind,
    reason: String,
}

impl Handler for Front {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        async move {
            let mut response = match self.accept(request).await {
                Ok(courier) => courier.carry().await,
                Err(refusal) => self.refuse(&refusal),
            };
            if self.shared.health.is_draining() {
                close_after(&mut response);
            }
            response
        }
        .boxed()
    }
}

impl Front {
    /// Reads a request, and finds out where it may go.
    async fn accept(&self, request: Request<Body>) -> Result<Courier, Refusal> {
        let arrived = self.shared.now();
        let (parts, body) = request.into_parts();
        let head = self.shared.dialect.read_request(&parts);
        let head = head.map_err(Refusal::unread)?;
        let refuse = |fault| Refusal::new(fault, &head);
        let (config, admitted, service) = self
            .admit(&parts, &head)
            .map_err(|kind| refuse(kind.into()))?;
        let route = &admitted.route;
        let patience = head.patience.unwrap_or(PATIENCE_DEFAULT);
        let patience = patience.min(route.timeout);
        let body = self.read(body, config.limits().body, patience).await;
        let body = body.map_err(refuse)?;
        let plan = ExchangePlan {
            repeat: route.repeat,
            streaming: route.streaming,
            attempts: route.attempts,
            arrived,
            deadline: arrived + patience,
            objective: route.objective,
            pause: route.pause,
        };
        let known = config.service(&service);
        let parcel = Parcel {
            memory: known.and_then(|service| service.memory),
            copies: known.is_some_and(|service| service.copies),
            copy_life: known.map_or(Duration::ZERO, |service| service.copy_life),
            events: EventStream::after(head.after),
            parts,
            body,
            head,
            admitted,
            service,
        };
        let shared = Arc::clone(&self.shared);
        Ok(Courier::new(shared, parcel, Exchange::new(plan)))
    }

    /// Finds out by which route a request may go, and to which service.
    fn admit(
        &self,
        parts: &request::Parts,
        head: &RequestHead,
    ) -> Result<(Arc<ForwardConfig>, Admitted, ServiceName), ErrorKind> {
        let config = self.shared.config().ok_or(ErrorKind::NotReady)?;
        let admitted = config.admit(&head.host, parts.uri.path(), head.key.as_deref())?;
        let draw = self.shared.beliefs().rng.random();
        let service = admitted.route.service(draw).cloned();
        let service = service.ok_or(ErrorKind::NoTarget)?;
        Ok((config, admitted, service))
    }

    async fn read(&self, body: Body, most: usize, time: Duration) -> Result<Bytes, Fault> {
        let body = Limited::new(body, most).collect();
        let kind = match tokio::time::timeout(time, body).await {
            Ok(Ok(body)) => return Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => ErrorKind::TooLarge,
            Ok(Err(error)) => {
                return Err(Fault {
                    kind: ErrorKind::BadRequest,
                    reason: format!("the body broke off: {error}"),
                });
            }
            Err(_) => ErrorKind::Expired,
        };
        Err(kind.into())
    }

    fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        info!(
            request = refusal.id.as_deref().unwrap_or("none"),
            outcome = refusal.kind.code(),
            reason = refusal.reason.as_str(),
            version = self.shared.metrics.version.get();
            "a request was refused on arrival"
        );
        self.shared.metrics.ended(None, refusal.kind.code());
        refusal_response(
            &self.shared,
            refusal.kind,
            refusal.patience,
            None,
            refusal.id.as_deref(),
        )
    }
}

impl Refusal {
    fn new(fault: Fault, head: &RequestHead) -> Self {
        Self {
            kind: fault.kind,
            reason: fault.reason,
            id: Some(head.id.clone()),
            patience: head.patience,
        }
    }

    /// Refuses a request whose head cannot be read.
    fn unread(reason: String) -> Self {
        Self {
            kind: ErrorKind::BadRequest,
            reason,
            id: None,
            patience: None,
        }
    }
}

impl From<ErrorKind> for Fault {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            reason: kind.to_string(),
        }
    }
}

/// Returns an answer of the entry's own. `left` is the time that the caller has; `soonest` is when
/// it could be served, if that is known.
pub(super) fn refusal_response(
    shared: &Shared,
    kind: ErrorKind,
    left: Option<Duration>,
    soonest: Option<Duration>,
    id: Option<&str>,
) -> Response<Body> {
    let share = shared.beliefs().rng.random_range(AGAIN_SHARE);
    let latest = AGAIN_SHARE.end;
    let again = left.filter(|_| kind.is_retryable()).map(|left| {
        let soonest = soonest.unwrap_or_default().max(left.mul_f64(share));
        soonest.min(left.mul_f64(latest))
    });
    shared
        .dialect
        .refusal(kind, again, id)
        .map(|()| Body::empty())
}
