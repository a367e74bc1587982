//! What all requests of an entry share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cw_policy::budget::Budgets;
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

use super::claims::Claims;
use super::key_book::KeyBook;
use super::metrics::EntryMetrics;
use super::peer_pool::PeerPool;
use super::quota_gate::QuotaGate;
use super::refusal::Refusal;
use super::router::Router;
use super::suspicion::Suspicion;
use super::wait_line::WaitLine;

/// How long a call that carries no output may take.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// How often a cancellation is tried.
const CANCEL_TRIES: u32 = 3;

/// The pause between tries of a cancellation.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

/// What all requests of an entry share.
pub(crate) struct Frontend {
    /// The entry's settings.
    pub(crate) settings: EntrySettings,
    /// The entry's clock.
    pub(crate) clock: Clock,
    /// The view in force.
    pub(crate) view: SharedView,
    /// The claims of idempotency keys.
    pub(crate) claims: Arc<Claims>,
    /// Idempotent requests in progress, by their keys.
    pub(crate) keys: KeyBook,
    /// Requests that crash their targets.
    pub(crate) suspicion: Suspicion,
    /// How much may be sent beyond first tries.
    pub(crate) budgets: Mutex<Budgets>,
    /// The quotas of workspaces.
    pub(crate) quotas: QuotaGate,
    /// Requests that wait for a target.
    pub(crate) line: WaitLine,
    /// The service-level events.
    pub(crate) slo: Arc<SloMetrics>,
    /// The promised time between tokens.
    pub(crate) gap: Duration,
    /// Whether the entry takes work.
    pub(crate) health: Arc<Health>,
    /// What the entry counts.
    pub(crate) metrics: EntryMetrics,
    /// Clients for the agents.
    pub(crate) peers: PeerPool,
    /// The choice of targets.
    pub(crate) router: Router,
    /// Recorded decisions.
    pub(crate) traces: Arc<TraceStore>,
    /// The requests in progress.
    pub(crate) progress: TaskTracker,
}

impl Frontend {
    /// Takes a request in, until the returned token is dropped.
    ///
    /// # Errors
    ///
    /// Refuses when the entry is starting or draining.
    pub(crate) fn admit(&self) -> Result<TaskTrackerToken, Refusal> {
        // The token is taken before the check, so that a drain that begins in between waits for it.
        let token = self.progress.token();
        match self.health.is_ready() {
            true => Ok(token),
            false => Err(Refusal::new(ErrorKind::NotReady)),
        }
    }

    /// Returns the budgets of further sends.
    pub(crate) fn budgets(&self) -> MutexGuard<'_, Budgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cancels an attempt, and tries again a few times if the agent cannot be reached.
    pub(crate) fn cancel(self: &Arc<Self>, peer: SocketAddr, cancel: Cancel) {
        let front = Arc::clone(self);
        tokio::spawn(async move {
            for _ in 0..CANCEL_TRIES {
                if front.prove(peer, cancel.clone()).await.is_some() {
                    return;
                }
                tokio::time::sleep(CANCEL_PAUSE).await;
            }
        });
    }

    /// Cancels an attempt, and returns the agent's word on whether it was run.
    pub(crate) async fn prove(&self, peer: SocketAddr, cancel: Cancel) -> Option<Ran> {
        let client = self.peers.client(peer);
        let answer = client.call(peer, path::CANCEL, &cancel, CALL_LIMIT).await;
        if let Ok(Cancelled { ran }) = answer {
            return Some(ran);
        }
        let client = self.peers.renew(peer);
        let answer = client.call(peer, path::CANCEL, &cancel, CALL_LIMIT).await;
        answer.ok().map(|Cancelled { ran }| ran)
    }

    /// Tells an agent that the output below `next` is not needed any more.
    pub(crate) fn ack(self: &Arc<Self>, peer: SocketAddr, id: AttemptId, next: TokenIndex) {
        self.tell(peer, path::ACK, Ack { id, next });
    }

    /// Sends a message whose loss does no harm.
    fn tell<M>(self: &Arc<Self>, peer: SocketAddr, path: &'static str, message: M)
    where
        M: Serialize + Send + Sync + 'static,
    {
        let client = self.peers.client(peer);
        tokio::spawn(async move {
            let answer: Result<(), _> = client.call(peer, path, &message, CALL_LIMIT).await;
            drop(answer);
        });
    }
}
