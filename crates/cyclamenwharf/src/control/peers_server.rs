//! The server for other processes of the system.

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

/// The largest message, in bytes: a whole state with room to spare.
const MESSAGE_MAX: usize = 4 << 20;

/// What the handlers share.
pub(super) struct PeersContext {
    pub(super) events: mpsc::Sender<Event>,
    pub(super) secrets: Vec<String>,
}

type Context = RequestContext<Arc<PeersContext>>;
type Answer = Result<Response<Body>, HttpError>;

/// Starts the server on the present runtime.
pub(super) fn start(
    address: SocketAddr,
    context: PeersContext,
) -> Result<HttpServer<Arc<PeersContext>>, StartError> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(report)
        .and_then(|()| api.register(batch))
        .and_then(|()| api.register(config))
        .and_then(|()| api.register(state));
    registered.map_err(|error| StartError {
        message: error.to_string(),
    })?;
    let settings = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MESSAGE_MAX,
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

/// Takes an agent's report.
#[endpoint { method = POST, path = "/peer/v1/reports" }]
async fn report(context: Context, body: UntypedBody) -> Answer {
    let report: Box<Report> = Box::new(read(&context, &body)?);
    let answer = ask(&context, |answer| Event::Report { report, answer }).await?;
    write(&answer)
}

/// Takes a relay's batch.
#[endpoint { method = POST, path = "/peer/v1/batches" }]
async fn batch(context: Context, body: UntypedBody) -> Answer {
    let batch: ReportBatch = read(&context, &body)?;
    let event = Event::Batch(Box::new(batch));
    let sent = context.context().events.send(event).await;
    sent.map_err(|_| stopping())?;
    write(&())
}

/// Answers with a newer configuration than the peer has.
#[endpoint { method = POST, path = "/peer/v1/config" }]
async fn config(context: Context, body: UntypedBody) -> Answer {
    let ConfigRequest { have } = read(&context, &body)?;
    let answer = ask(&context, |answer| Event::ConfigAsked { have, answer }).await?;
    write(&answer)
}

/// Answers with all reports.
#[endpoint { method = POST, path = "/peer/v1/state" }]
async fn state(context: Context, body: UntypedBody) -> Answer {
    let () = read(&context, &body)?;
    let answer = ask(&context, |answer| Event::StateAsked { answer }).await?;
    write(&answer)
}

async fn ask<A>(
    context: &Context,
    event: impl FnOnce(oneshot::Sender<A>) -> Event,
) -> Result<A, HttpError> {
    let (sender, receiver) = oneshot::channel();
    let sent = context.context().events.send(event(sender)).await;
    sent.map_err(|_| stopping())?;
    receiver.await.map_err(|_| stopping())
}

fn stopping() -> HttpError {
    HttpError::for_unavail(None, "the process is stopping".to_owned())
}

fn read<T: DeserializeOwned>(context: &Context, body: &UntypedBody) -> Result<T, HttpError> {
    let secrets = &context.context().secrets;
    if !peer_auth::is_authorized(context.request.headers(), secrets) {
        let status = ClientErrorStatusCode::UNAUTHORIZED;
        return Err(HttpError::for_client_error_with_status(None, status));
    }
    cw_wire::decode(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, error.to_string()))
}

fn write<T: Serialize>(message: &T) -> Answer {
    let bytes = cw_wire::encode(message)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    Ok(Response::new(Body::wrap(http_body_util::Full::new(bytes))))
}
