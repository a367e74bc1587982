//! Replaces the copy of a run when the engine that keeps it is lost.
//!
//! The target sends the memory of the run to the keeper, which was selected when the run started.
//! If that keeper fails first, a copy is made at another engine and renewed until the stream ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::CopyName;
use cw_policy::forward::RunCopy;
use cw_store::BodyBuffer;
use cw_types::TargetId;
use cw_types::Time;
use futures::FutureExt;
use http::Request;
use http::StatusCode;
use log::error;
use log::info;
use tokio_util::task::AbortOnDropHandle;

use super::exchange_driver::ExchangeDriver;
use super::forward_context::ForwardContext;
use super::guards::CopyGuard;
use super::target_connection::TargetConnection;

/// The timeout for making a copy, which transfers some hundred megabytes over a fast link.
const COPY_TIMEOUT: Duration = Duration::from_millis(1500);

/// The share of a copy's lifetime after which it is renewed. The other half is left for the renewal
/// itself.
const RENEWAL_SHARE: f64 = 0.5;

/// The delay after a copy could not be made. Engines have free memory again when a run ends.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The maximum size of the answer to a call that makes or drops a copy, in bytes. It holds the name of a copy.
const MAX_ANSWER_BYTES: usize = 16 << 10;

/// The state of the copies that are made on request while a stream comes from one target.
#[derive(Default)]
pub(super) struct CopyRenewal {
    task: Option<AbortOnDropHandle<Option<RunCopy>>>,
    guard: Option<CopyGuard>,
    /// The earliest time of the next copy.
    next_at: Time,
}

impl ExchangeDriver {
    /// Starts to make or renew a copy when one is needed, and records the result.
    pub(super) fn maintain_copy(&mut self, now: Time, renewal: &mut CopyRenewal) {
        if !self.request.copies || !self.exchange.wants_copy() {
            return;
        }
        if let Some(task) = &mut renewal.task {
            let Some(result) = task.now_or_never() else {
                return;
            };
            renewal.task = None;
            let copy = result.unwrap_or_else(|error| {
                error!(
                    request = self.request.head.id.as_str();
                    "the task that makes a copy failed: {error}"
                );
                None
            });
            match copy {
                Some(copy) => {
                    renewal.next_at = now + self.request.copy_lifetime.mul_f64(RENEWAL_SHARE);
                    self.exchange.set_copy(Some(copy));
                }
                None => {
                    renewal.next_at = now + RETRY_DELAY;
                    renewal.guard = None;
                    self.exchange.set_copy(None);
                }
            }
            return;
        }
        if now < renewal.next_at {
            return;
        }
        let Some(keeper) = self.next_keeper(now) else {
            return;
        };
        if renewal
            .guard
            .as_ref()
            .is_none_or(|guard| !guard.is_at(&keeper))
        {
            let demand = self.request.head.demand;
            renewal.guard = Some(CopyGuard::acquire(&self.context, &keeper, demand));
        }
        renewal.task = self.start_copy(now, keeper);
    }

    /// Returns the keeper of the next copy, `None` if the current copy needs no renewal.
    fn next_keeper(&mut self, now: Time) -> Option<TargetId> {
        let context = Arc::clone(&self.context);
        let mut state = context.state();
        let state = &mut *state;
        if let Some(copy) = self.exchange.copy()
            && state.fleet.has_copy(now, copy)
        {
            return copy.name.as_ref().map(|_| copy.keeper.clone());
        }
        self.exchange.set_copy(None);
        let target = self.exchange.placed()?.target.clone();
        let requirements = self.requirements(now, state, self.exchange.excluded());
        state
            .fleet
            .select_keeper(now, &requirements, &target, &mut state.rng)
    }

    /// Tells the target to drop the copy that was made on request, which is no longer needed.
    pub(super) fn drop_copy(&mut self) {
        let Some(name) = self.exchange.copy().and_then(|copy| copy.name.clone()) else {
            return;
        };
        let Some(source) = self.exchange.placed().map(|placed| placed.target.clone()) else {
            return;
        };
        self.exchange.set_copy(None);
        // A copy that is not dropped ends with its lifetime.
        if !self.take_own_slot(self.context.now(), &source) {
            return;
        }
        let call = self.context.dialect.drop_copy_request(&name.name);
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let dropped = call_target(&context, &source, name.address, call).await;
            if let Err(error) = dropped {
                info!(target_id = source.as_str(); "failed to drop a copy: {error}");
            }
        });
    }

    /// Uses a slot for a call of the entry itself. Returns whether the target takes it now.
    fn take_own_slot(&self, now: Time, target: &TargetId) -> bool {
        let mut state = self.context.state();
        let has_slot =
            state.fleet.takes_copy_calls(now, target) && state.fleet.has_slot(now, target);
        if has_slot {
            state.fleet.take_slot(now, target);
        }
        has_slot
    }

    fn start_copy(
        &self,
        now: Time,
        keeper: TargetId,
    ) -> Option<AbortOnDropHandle<Option<RunCopy>>> {
        let source = self.exchange.placed()?.target.clone();
        if !self.take_own_slot(now, &source) {
            return None;
        }
        let source_address = self.address(&source)?;
        let keeper_address = self.address(&keeper)?;
        let call = self
            .context
            .dialect
            .copy_request(&self.request.head.id, keeper_address);
        let context = Arc::clone(&self.context);
        let request = self.request.head.id.clone();
        let task = tokio::spawn(async move {
            match make_copy(&context, &source, source_address, call).await {
                Ok(name) => Some(RunCopy {
                    keeper,
                    since: now,
                    name: Some(CopyName {
                        address: source_address,
                        name,
                    }),
                }),
                Err(error) => {
                    info!(
                        request = request.as_str(),
                        target_id = source.as_str(),
                        copy_at = keeper.as_str();
                        "failed to make a copy: {error}"
                    );
                    None
                }
            }
        });
        Some(AbortOnDropHandle::new(task))
    }
}

/// Asks a target to make a copy, and returns the name of the copy.
async fn make_copy(
    context: &ForwardContext,
    source: &TargetId,
    address: SocketAddr,
    call: Request<Bytes>,
) -> Result<String, String> {
    let (status, body) = call_target(context, source, address, call).await?;
    context.dialect.parse_copy_response(status, &body)
}

/// Sends a call of the entry itself to a target. A target that gives no complete answer gets none for a while.
async fn call_target(
    context: &ForwardContext,
    target: &TargetId,
    address: SocketAddr,
    call: Request<Bytes>,
) -> Result<(StatusCode, Bytes), String> {
    let answer = exchange_call(context, target, address, call);
    let answer = tokio::time::timeout(COPY_TIMEOUT, answer).await;
    let answer = answer.unwrap_or_else(|_| Err(format!("no answer within {COPY_TIMEOUT:?}")));
    if answer.is_err() {
        let now = context.now();
        context.state().fleet.record_copy_failure(now, target);
    }
    answer
}

async fn exchange_call(
    context: &ForwardContext,
    target: &TargetId,
    address: SocketAddr,
    call: Request<Bytes>,
) -> Result<(StatusCode, Bytes), String> {
    let pooled = context.pool.take(context.now(), target, address).await;
    let mut connection: TargetConnection = pooled.map_err(|error| error.to_string())?.connection;
    let answer = connection
        .send(call)
        .await
        .map_err(|error| error.to_string())?;
    let (head, body) = answer.into_parts();
    let memory = context.pool.memory(target);
    let body = BodyBuffer::new(MAX_ANSWER_BYTES, &memory).read(body).await;
    let body = body.map_err(|error| error.to_string())?;
    let answer = context.dialect.parse_response(&head);
    if !answer.close {
        context
            .pool
            .put(context.now(), target, connection, answer.idle_timeout);
    }
    Ok((head.status, body))
}
