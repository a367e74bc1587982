//! State that all requests of an entry share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cw_policy::budget::Budgets;
use cw_store::BodyMemory;
use cw_types::AttemptId;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TokenIndex;
use cw_wire::Ack;
use cw_wire::Cancel;
use cw_wire::Cancelled;
use cw_wire::path;
use serde::Serialize;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Clock;
use crate::EntrySettings;
use crate::Health;
use crate::SharedView;
use crate::SloMetrics;
use crate::TraceStore;

use super::api_error::ApiError;
use super::claims::Claims;
use super::entry_metrics::EntryMetrics;
use super::idempotency_cache::IdempotencyCache;
use super::peer_pool::PeerPool;
use super::router::Router;
use super::shared_queue::SharedQueue;
use super::shared_quotas::SharedQuotas;
use super::suspicion_tracker::SuspicionTracker;

/// The timeout of a call to an agent that returns no output.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of tries of one cancellation.
const MAX_CANCEL_TRIES: u32 = 3;

/// The delay between tries of one cancellation.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// State that all requests of an entry share.
pub(crate) struct EntryContext {
    /// The entry's settings.
    pub(crate) settings: EntrySettings,
    /// The entry's clock.
    pub(crate) clock: Clock,
    /// The current view.
    pub(crate) view: SharedView,
    /// The claims of idempotency keys.
    pub(crate) claims: Arc<Claims>,
    /// Idempotent requests in progress or just ended, by their idempotency keys.
    pub(crate) idempotency_cache: IdempotencyCache,
    /// Requests that crash their targets, or are suspected to.
    pub(crate) suspicion: SuspicionTracker,
    /// Budgets for sends beyond first tries.
    pub(crate) budgets: Mutex<Budgets>,
    /// The quotas of workspaces.
    pub(crate) quotas: SharedQuotas,
    /// The memory that the bodies of requests may take.
    pub(crate) request_memory: BodyMemory,
    /// The queue of requests that wait for a target.
    pub(crate) queue: SharedQueue,
    /// Metrics of the service-level objectives.
    pub(crate) slo: Arc<SloMetrics>,
    /// The longest time between tokens that meets the service-level objective.
    pub(crate) token_gap: Duration,
    /// The entry's health, which decides whether it accepts requests.
    pub(crate) health: Arc<Health>,
    /// The entry's metrics.
    pub(crate) metrics: EntryMetrics,
    /// Clients for the agents.
    pub(crate) peers: PeerPool,
    /// The selection of targets.
    pub(crate) router: Router,
    /// Recorded traces of generations.
    pub(crate) traces: Arc<TraceStore>,
    /// Tracks the requests in progress, for which a drain waits.
    pub(crate) progress: TaskTracker,
}

impl EntryContext {
    /// Accepts a request, which counts as in progress until the returned token is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotReady`] when the entry is starting or draining.
    pub(crate) fn admit(&self) -> Result<TaskTrackerToken, ApiError> {
        // The token is taken before the check, so that a drain that starts in between waits for
        // this request.
        let token = self.progress.token();
        match self.health.is_ready() {
            true => Ok(token),
            false => Err(ApiError::new(ErrorKind::NotReady)),
        }
    }

    /// Locks the budgets for sends beyond first tries.
    pub(crate) fn budgets(&self) -> MutexGuard<'_, Budgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cancels an attempt in the background, with a few retries if the agent cannot be reached.
    pub(crate) fn cancel(self: &Arc<Self>, peer: SocketAddr, cancel: Cancel) {
        let context = Arc::clone(self);
        tokio::spawn(async move {
            for _ in 0..MAX_CANCEL_TRIES {
                if context.cancel_once(peer, cancel.clone()).await.is_some() {
                    return;
                }
                tokio::time::sleep(CANCEL_RETRY_DELAY).await;
            }
        });
    }

    /// Cancels an attempt, and returns whether it was run, as the agent reports it.
    ///
    /// If the first call fails, it is repeated over a new connection. Returns `None` when the agent
    /// does not answer either call.
    pub(crate) async fn cancel_once(&self, peer: SocketAddr, cancel: Cancel) -> Option<Ran> {
        let client = self.peers.client(peer);
        let answer = client.call(peer, path::CANCEL, &cancel, CALL_TIMEOUT).await;
        if let Ok(Cancelled { ran }) = answer {
            return Some(ran);
        }
        let client = self.peers.replace_client(peer);
        let answer = client.call(peer, path::CANCEL, &cancel, CALL_TIMEOUT).await;
        answer.ok().map(|Cancelled { ran }| ran)
    }

    /// Tells an agent that it may drop the output before the index `next`.
    pub(crate) fn ack(self: &Arc<Self>, peer: SocketAddr, id: AttemptId, next: TokenIndex) {
        self.send_best_effort(peer, path::ACK, Ack { id, next });
    }

    /// Sends a message in the background, and ignores a failure, because its loss does no harm.
    fn send_best_effort<M>(self: &Arc<Self>, peer: SocketAddr, path: &'static str, message: M)
    where
        M: Serialize + Send + Sync + 'static,
    {
        let client = self.peers.client(peer);
        tokio::spawn(async move {
            let answer: Result<(), _> = client.call(peer, path, &message, CALL_TIMEOUT).await;
            drop(answer);
        });
    }
}
