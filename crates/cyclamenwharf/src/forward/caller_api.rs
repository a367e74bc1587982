//! Accepts requests from callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::Admitted;
use cw_policy::forward::EventStream;
use cw_policy::forward::Exchange;
use cw_policy::forward::ExchangePlan;
use cw_policy::forward::ForwardConfig;
use cw_policy::forward::Precedence;
use cw_policy::forward::Rank;
use cw_policy::forward::RankPlace;
use cw_store::BodyBuffer;
use cw_store::BodyError;
use cw_store::RequestHead;
use cw_types::ErrorKind;
use cw_types::ServiceName;
use cw_types::Time;
use dropshot::Body;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::request;
use http_body::Body as _;
use http_body_util::BodyExt;
use log::info;
use rand::RngExt;

use crate::stream_server::Handler;

use super::exchange_driver::AcceptedRequest;
use super::exchange_driver::ExchangeDriver;
use super::forward_context::ForwardContext;
use super::refusal_response::refusal_response;
use super::response::set_connection_close;

/// The timeout of a request whose caller states none. The limit of the route is usually shorter.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// How long the body of a refused request is read. Callers send theirs within a second or two.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of bytes of such a body that are read. The connection of a larger one is closed.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Serves the callers of a forwarding entry.
pub(super) struct CallerApi {
    pub(super) context: Arc<ForwardContext>,
}

/// A request that was refused on arrival.
struct Refusal {
    kind: ErrorKind,
    /// The cause, in cases where the kind does not tell it.
    reason: String,
    id: Option<String>,
    timeout: Option<Duration>,
}

/// The reason to refuse a request.
struct RefusalReason {
    kind: ErrorKind,
    text: String,
}

impl Handler for CallerApi {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        async move {
            let mut response = match self.accept(request).await {
                Ok(driver) => driver.run().await,
                Err(refusal) => self.refuse(&refusal),
            };
            if self.context.health.is_draining() {
                set_connection_close(&mut response);
            }
            response
        }
        .boxed()
    }
}

impl CallerApi {
    /// Reads a request, and selects its route and service.
    async fn accept(&self, request: Request<Body>) -> Result<ExchangeDriver, Refusal> {
        let arrived = self.context.now();
        let (parts, mut body) = request.into_parts();
        let admission = self.admit(&parts);
        let (head, config, admitted, service) = match admission {
            Ok(admission) => admission,
            Err(refusal) => {
                discard_body(body);
                return Err(refusal);
            }
        };
        let route = &admitted.route;
        let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout = timeout.min(route.timeout);
        let read = self
            .read_body(&mut body, config.limits().max_body, timeout)
            .await;
        let body = match read {
            Ok(read) => read,
            Err(reason) => {
                discard_body(body);
                return Err(Refusal::new(reason, &head));
            }
        };
        let precedence = self.precedence(arrived, &config, &admitted, &service, &head);
        let plan = ExchangePlan {
            repeat: route.repeat,
            streaming: route.streaming,
            attempts: route.attempts,
            arrived,
            deadline: arrived + timeout,
            objective: route.objective,
            max_pause: route.max_pause,
            precedence,
        };
        let mut accepted = AcceptedRequest {
            memory: None,
            copies: false,
            copy_lifetime: Duration::ZERO,
            events: EventStream::after(head.last_event),
            parts,
            body,
            head,
            admitted,
            service: service.clone(),
            config,
        };
        accepted.set_service(service);
        let context = Arc::clone(&self.context);
        let has_lenders = context.has_other_entries();
        let exchange = Exchange::new(plan).with_lenders(has_lenders);
        Ok(ExchangeDriver::new(context, accepted, exchange))
    }

    /// Reads the head of a request, and selects its route and service.
    fn admit(
        &self,
        parts: &request::Parts,
    ) -> Result<(RequestHead, Arc<ForwardConfig>, Admitted, ServiceName), Refusal> {
        let head = self.context.dialect.parse_request(parts);
        let head = head.map_err(Refusal::from_head_error)?;
        match self.select_service(parts, &head) {
            Ok((config, admitted, service)) => Ok((head, config, admitted, service)),
            Err(kind) => Err(Refusal::new(kind.into(), &head)),
        }
    }

    /// Selects the route and the service of a request.
    fn select_service(
        &self,
        parts: &request::Parts,
        head: &RequestHead,
    ) -> Result<(Arc<ForwardConfig>, Admitted, ServiceName), ErrorKind> {
        let config = self.context.config().ok_or(ErrorKind::NotReady)?;
        let admitted = config.admit(&head.host, parts.uri.path(), head.api_key.as_deref())?;
        let draw = self.context.state().rng.random();
        let service = admitted.route.service(draw).cloned();
        let service = service.ok_or(ErrorKind::NoTarget)?;
        Ok((config, admitted, service))
    }

    /// Records the work that a request asks for, and returns its precedence.
    fn precedence(
        &self,
        now: Time,
        config: &ForwardConfig,
        admitted: &Admitted,
        service: &ServiceName,
        head: &RequestHead,
    ) -> Precedence {
        let rank = Rank {
            priority: admitted.priority,
            route: admitted.route.priority,
        };
        let place = RankPlace::among(rank, config.ranks(service));
        if place == RankPlace::Only {
            return Precedence {
                rank,
                ..Precedence::default()
            };
        }
        let mut state = self.context.state();
        let tokens = head.demand.tokens();
        state.rank_demand.record(now, service, rank, tokens);
        Precedence {
            rank,
            place,
            shares: state.rank_demand.shares(service, rank),
        }
    }

    async fn read_body(
        &self,
        body: &mut Body,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Bytes, RefusalReason> {
        let body = BodyBuffer::new(max_bytes, &self.context.caller_memory).read(body);
        let body = tokio::select! {
            body = tokio::time::timeout(timeout, body) => body,
            () = self.context.stopping.cancelled() => return Err(ErrorKind::NotReady.into()),
        };
        let kind = match body {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(BodyError::TooLong { .. })) => ErrorKind::TooLarge,
            Ok(Err(error @ BodyError::Memory { .. })) => {
                return Err(RefusalReason {
                    kind: ErrorKind::Overloaded,
                    text: error.to_string(),
                });
            }
            Ok(Err(error @ BodyError::Broken { .. })) => {
                return Err(RefusalReason {
                    kind: ErrorKind::BadRequest,
                    text: format!("failed to read the request body: {error}"),
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
            version = self.context.metrics.version.get();
            "request refused on arrival"
        );
        self.context
            .metrics
            .record_request(None, refusal.kind.code());
        refusal_response(
            &self.context,
            refusal.kind,
            refusal.timeout,
            None,
            refusal.id.as_deref(),
            Precedence::default(),
        )
    }
}

/// Reads the rest of the body of a refused request while the refusal is sent. If the connection were closed with bytes unread,
/// it would be reset, and a caller that still writes would not read the refusal.
fn discard_body(mut body: Body) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let read = async {
            let mut discarded = 0;
            while let Some(Ok(frame)) = body.frame().await {
                discarded += frame.data_ref().map_or(0, Bytes::len);
                if discarded > MAX_DISCARDED_BYTES {
                    return;
                }
            }
        };
        // A caller that sends for longer finds the connection closed.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
    });
}

impl Refusal {
    fn new(reason: RefusalReason, head: &RequestHead) -> Self {
        Self {
            kind: reason.kind,
            reason: reason.text,
            id: Some(head.id.clone()),
            timeout: head.timeout,
        }
    }

    /// Refuses a request whose head cannot be parsed.
    fn from_head_error(reason: String) -> Self {
        Self {
            kind: ErrorKind::BadRequest,
            reason,
            id: None,
            timeout: None,
        }
    }
}

impl From<ErrorKind> for RefusalReason {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            text: kind.to_string(),
        }
    }
}
