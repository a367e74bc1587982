//! The agent's HTTP server for operators.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;

use super::agent_state::AgentState;
use crate::StartError;

/// The largest request body from an operator, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;

/// Starts the server.
///
/// # Errors
///
/// Fails if `address` cannot be bound.
pub(super) fn start(
    address: SocketAddr,
    api: ApiDescription<Arc<AgentState>>,
    state: &Arc<AgentState>,
) -> Result<HttpServer<Arc<AgentState>>, StartError> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        // A request is handled completely even if the client disconnects before the response.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, Arc::clone(state), log)
        .config(config)
        .start()
        .map_err(|error| StartError {
            message: format!("{address}: {error}"),
        })
}
