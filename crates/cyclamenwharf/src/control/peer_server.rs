//! The server for agents and other entries.

use std::net::SocketAddr;
use std::sync::Arc;

use cw_wire::ConfigRequest;
use cw_wire::Report;
use cw_wire::ReportBatch;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ClientErrorStatusCode;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::UntypedBody;
use dropshot::endpoint;
use http::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Event;
use crate::StartError;
use crate::peer_auth;

/// The maximum size of a request body. The largest one is a full state, which is well below it.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The state that the handlers share.
pub(super) struct PeerContext {
    pub(super) events: mpsc::Sender<Event>,
    pub(super) secrets: Vec<String>,
}

type Context = RequestContext<Arc<PeerContext>>;
type HandlerResult = Result<Response<Body>, HttpError>;

/// Starts the server on the current runtime.
pub(super) fn start(
    address: SocketAddr,
    context: PeerContext,
) -> Result<HttpServer<Arc<PeerContext>>, StartError> {
    let mut api = ApiDescription::new();
    let registration = api
        .register(report)
        .and_then(|()| api.register(batch))
        .and_then(|()| api.register(config))
        .and_then(|()| api.register(state));
    registration.map_err(|error| StartError {
        message: error.to_string(),
    })?;
    let settings = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, Arc::new(context), log)
        .config(settings)
        .start()
        .map_err(|error| StartError {
            message: format!("cannot listen on {address}: {error}"),
        })
}

/// Receives a report from an agent.
#[endpoint { method = POST, path = "/peer/v1/reports" }]
async fn report(context: Context, body: UntypedBody) -> HandlerResult {
    let report: Box<Report> = Box::new(decode_request(&context, &body)?);
    let response = request(&context, |reply| Event::Report { report, reply }).await?;
    encode_response(&response)
}

/// Receives a batch from a relay.
#[endpoint { method = POST, path = "/peer/v1/batches" }]
async fn batch(context: Context, body: UntypedBody) -> HandlerResult {
    let batch: ReportBatch = decode_request(&context, &body)?;
    let event = Event::Batch(Box::new(batch));
    let sent = context.context().events.send(event).await;
    sent.map_err(|_| shutting_down())?;
    encode_response(&())
}

/// Returns the configuration to a peer that has an older one.
#[endpoint { method = POST, path = "/peer/v1/config" }]
async fn config(context: Context, body: UntypedBody) -> HandlerResult {
    let ConfigRequest { have } = decode_request(&context, &body)?;
    let response = request(&context, |reply| Event::ConfigRequested { have, reply }).await?;
    encode_response(&response)
}

/// Returns the full state.
#[endpoint { method = POST, path = "/peer/v1/state" }]
async fn state(context: Context, body: UntypedBody) -> HandlerResult {
    let () = decode_request(&context, &body)?;
    let response = request(&context, |reply| Event::StateRequested { reply }).await?;
    encode_response(&response)
}

async fn request<R>(
    context: &Context,
    event: impl FnOnce(oneshot::Sender<R>) -> Event,
) -> Result<R, HttpError> {
    let (sender, receiver) = oneshot::channel();
    let sent = context.context().events.send(event(sender)).await;
    sent.map_err(|_| shutting_down())?;
    receiver.await.map_err(|_| shutting_down())
}

fn shutting_down() -> HttpError {
    HttpError::for_unavail(None, "the process is shutting down".to_owned())
}

fn decode_request<T: DeserializeOwned>(
    context: &Context,
    body: &UntypedBody,
) -> Result<T, HttpError> {
    let secrets = &context.context().secrets;
    if !peer_auth::is_authorized(context.request.headers(), secrets) {
        let status = ClientErrorStatusCode::UNAUTHORIZED;
        return Err(HttpError::for_client_error_with_status(None, status));
    }
    cw_wire::decode(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, error.to_string()))
}

fn encode_response<T: Serialize>(message: &T) -> HandlerResult {
    let bytes = cw_wire::encode(message)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    Ok(Response::new(Body::wrap(http_body_util::Full::new(bytes))))
}
