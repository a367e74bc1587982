//! The HTTP endpoints for the other entries.

use std::sync::Arc;

use bytes::Bytes;
use cw_store::BodyBuffer;
use cw_store::BodyMemory;
use cw_wire::DirectorySnapshot;
use cw_wire::DirectoryUpdate;
use cw_wire::LoanCall;
use cw_wire::OriginCall;
use cw_wire::TrialCall;
use dropshot::Body;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use log::warn;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::stream_server::Handler;

use super::budget_loans::answer_loan;
use super::forward_context::ForwardContext;
use super::stream_take_up::answer_origin;
use super::trial_guard::answer_trial;

/// The path of the directory changes. The query is the revision after which they begin.
pub(super) const CHANGES_PATH: &str = "/changes";

/// The path of the configuration.
pub(super) const CONFIG_PATH: &str = "/config";

/// The path of the evidence against requests that crash targets.
pub(super) const CRASHES_PATH: &str = "/crashes";

/// The path of the roll-outs.
pub(super) const ROLLOUTS_PATH: &str = "/rollouts";

/// The header of a configuration that says that there are roll-outs, so that nobody asks for them otherwise.
pub(super) const ROLLOUTS_HEADER: &str = "rollouts";

/// The path of questions for trials of requests that may crash their targets.
pub(super) const TRIAL_PATH: &str = "/trial";

/// The path of questions for a part of the budget for repeated sends.
pub(super) const LOAN_PATH: &str = "/loan";

/// The path of questions for the software that began a stream.
pub(super) const ORIGIN_PATH: &str = "/origin";

/// The path of the known targets.
pub(super) const TARGETS_PATH: &str = "/targets";

/// The maximum size of a question. It names one request, and a host or some services.
const MAX_QUESTION_BYTES: usize = 4096;

/// Serves the other entries.
pub(super) struct PeerApi {
    pub(super) context: Arc<ForwardContext>,
}

impl Handler for PeerApi {
    fn handle(self: Arc<Self>, request: Request<Body>) -> BoxFuture<'static, Response<Body>> {
        async move { self.respond(request).await }.boxed()
    }
}

impl PeerApi {
    async fn respond(&self, request: Request<Body>) -> Response<Body> {
        let tells_rollouts =
            request.uri().path() == CONFIG_PATH && !self.context.state().rollouts.is_empty();
        let memory = &self.context.peer_memory;
        let body = match request.uri().path() {
            TRIAL_PATH => {
                let answer = |call: &TrialCall| answer_trial(&self.context, call);
                answer_question(request.into_body(), memory, answer).await
            }
            ORIGIN_PATH => {
                let answer = |call: &OriginCall| answer_origin(&self.context, call);
                answer_question(request.into_body(), memory, answer).await
            }
            LOAN_PATH => {
                let answer = |call: &LoanCall| answer_loan(&self.context, call);
                answer_question(request.into_body(), memory, answer).await
            }
            CHANGES_PATH => self.changes(request.uri().query()),
            CONFIG_PATH => self.context.state().config_bytes.clone(),
            CRASHES_PATH => self.crash_evidence(),
            ROLLOUTS_PATH => self.rollouts(),
            TARGETS_PATH => self.targets(),
            _ => None,
        };
        let mut response = Response::new(Body::empty());
        match body {
            Some(body) => *response.body_mut() = Body::from(body.to_vec()),
            None => *response.status_mut() = StatusCode::NOT_FOUND,
        }
        if tells_rollouts {
            let headers = response.headers_mut();
            headers.insert(ROLLOUTS_HEADER, HeaderValue::from_static("1"));
        }
        response
    }

    /// Returns the evidence against requests that crash targets in encoded form, `None` if there is
    /// none.
    fn crash_evidence(&self) -> Option<Bytes> {
        let now = self.context.now();
        let evidence = self.context.state().crashes.evidence(now);
        if evidence.is_empty() {
            return None;
        }
        match cw_wire::encode(&evidence) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!("failed to encode the evidence of requests that crash targets: {error}");
                None
            }
        }
    }

    /// Returns the known roll-outs in encoded form.
    fn rollouts(&self) -> Option<Bytes> {
        let now = self.context.now();
        let notices = self.context.state().rollouts.notices(now);
        match cw_wire::encode(&notices) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!("failed to encode the roll-outs: {error}");
                None
            }
        }
    }

    /// Returns the directory changes after a revision in encoded form, `None` if they are not known.
    fn changes(&self, since: Option<&str>) -> Option<Bytes> {
        let since: i64 = since?.parse().ok()?;
        let now = self.context.now();
        let update = {
            let state = self.context.state();
            let changes = state.directory_log.changes_since(since)?;
            let config = state.config_version();
            DirectoryUpdate {
                changes,
                ..state.directory_log.digest(now, &state.fleet, config)
            }
        };
        match cw_wire::encode(&update) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!("failed to encode directory changes: {error}");
                None
            }
        }
    }

    /// Returns the known targets in encoded form, `None` if the directory has not been read.
    fn targets(&self) -> Option<Bytes> {
        let snapshot = {
            let state = self.context.state();
            let listings = state.listings.iter();
            let known = listings.filter(|(id, _)| state.fleet.listing(id).is_some());
            DirectorySnapshot {
                newest: state.directory_log.newest(),
                last_change: Some(state.directory_log.last_change()),
                targets: known
                    .map(|(id, value)| (id.clone(), value.clone()))
                    .collect(),
            }
        };
        if snapshot.newest == 0 {
            return None;
        }
        match cw_wire::encode(&snapshot) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!("failed to encode the known targets: {error}");
                None
            }
        }
    }
}

/// Answers the question of another entry, `None` if it cannot be understood.
async fn answer_question<Q: DeserializeOwned, A: Serialize>(
    body: Body,
    memory: &BodyMemory,
    answer: impl FnOnce(&Q) -> A,
) -> Option<Bytes> {
    let body = match BodyBuffer::new(MAX_QUESTION_BYTES, memory).read(body).await {
        Ok(body) => body,
        Err(error) => {
            warn!("failed to read the question of another entry: {error}");
            return None;
        }
    };
    let question = match cw_wire::decode::<Q>(&body) {
        Ok(question) => question,
        Err(error) => {
            warn!("failed to decode the question of another entry: {error}");
            return None;
        }
    };
    match cw_wire::encode(&answer(&question)) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            warn!("failed to encode the answer to another entry: {error}");
            None
        }
    }
}
