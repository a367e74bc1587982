//! Keeps a copy of a stream's run when the first one is lost.
//!
//! The target sends memory on to the keeper that it was told at the start. When that keeper dies
//! first, another engine gets a copy, which is renewed until the stream ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::CopyName;
use cw_policy::forward::RunCopy;
use cw_types::TargetId;
use cw_types::Time;
use futures::FutureExt;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use log::error;
use log::info;
use tokio_util::task::AbortOnDropHandle;

use super::courier::Courier;
use super::guards::CopyPlace;
use super::link::Link;
use super::shared::Shared;

/// How long making a copy may take: it moves some hundred megabytes over a fast link.
const COPY_TIMEOUT: Duration = Duration::from_millis(1500);

/// The part of a copy's life after which it is renewed: the other half is for making it.
const RENEW_SHARE: f64 = 0.5;

/// The pause after a copy that could not be made: engines have room again when a run ends.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The copies that a stream has had made while it comes from one target.
#[derive(Default)]
pub(super) struct Copying {
    task: Option<AbortOnDropHandle<Option<RunCopy>>>,
    place: Option<CopyPlace>,
    /// When the next copy may be made.
    next: Time,
}

impl Courier {
    /// Has a copy made, or renewed, when there is need of one.
    pub(super) fn tend_copy(&mut self, now: Time, copying: &mut Copying) {
        if !self.parcel.copies || !self.exchange.wants_copy() {
            return;
        }
        if let Some(task) = &mut copying.task {
            let Some(end) = task.now_or_never() else {
                return;
            };
            copying.task = None;
            let made = end.unwrap_or_else(|error| {
                error!(request = self.parcel.head.id.as_str(); "making a copy failed: {error}");
                None
            });
            match made {
                Some(copy) => {
                    copying.next = now + self.parcel.copy_life.mul_f64(RENEW_SHARE);
                    self.exchange.set_copy(Some(copy));
                }
                None => {
                    copying.next = now + RETRY_PAUSE;
                    copying.place = None;
                    self.exchange.set_copy(None);
                }
            }
            return;
        }
        if now < copying.next {
            return;
        }
        let Some(keeper) = self.next_keeper(now) else {
            return;
        };
        if copying
            .place
            .as_ref()
            .is_none_or(|place| !place.is_at(&keeper))
        {
            let demand = self.parcel.head.demand;
            copying.place = Some(CopyPlace::take(&self.shared, &keeper, demand));
        }
        copying.task = self.start_copy(now, keeper);
    }

    /// Returns who is to keep the next copy; `None` when the present one needs no renewal.
    fn next_keeper(&mut self, now: Time) -> Option<TargetId> {
        let shared = Arc::clone(&self.shared);
        let mut beliefs = shared.beliefs();
        let beliefs = &mut *beliefs;
        if let Some(copy) = self.exchange.copy()
            && beliefs.fleet.has_copy(now, copy)
        {
            return copy.name.as_ref().map(|_| copy.keeper.clone());
        }
        self.exchange.set_copy(None);
        let target = self.exchange.placed()?.target.clone();
        let need = self.need(now, beliefs);
        beliefs.fleet.keeper(now, &need, &target, &mut beliefs.rng)
    }

    /// Tells the target that the copy which it had made is of no more use.
    pub(super) fn drop_copy(&mut self) {
        let Some(name) = self.exchange.copy().and_then(|copy| copy.name.clone()) else {
            return;
        };
        let Some(source) = self.exchange.placed().map(|placed| placed.target.clone()) else {
            return;
        };
        self.exchange.set_copy(None);
        let call = self.shared.dialect.drop_call(&name.name);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let dropped = call_target(&shared, &source, name.address, call);
            match tokio::time::timeout(COPY_TIMEOUT, dropped).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => {
                    info!(target_id = source.as_str(); "a copy cannot be dropped: {error}");
                }
                Err(_) => info!(target_id = source.as_str(); "a copy cannot be dropped in time"),
            }
        });
    }

    fn start_copy(
        &self,
        now: Time,
        keeper: TargetId,
    ) -> Option<AbortOnDropHandle<Option<RunCopy>>> {
        let source = self.exchange.placed()?.target.clone();
        let from = self.address(&source)?;
        let to = self.address(&keeper)?;
        let call = self.shared.dialect.copy_call(&self.parcel.head.id, to);
        let shared = Arc::clone(&self.shared);
        let request = self.parcel.head.id.clone();
        let task = tokio::spawn(async move {
            let made = tokio::time::timeout(COPY_TIMEOUT, make(&shared, &source, from, call));
            let end = made
                .await
                .unwrap_or_else(|_| Err(format!("no answer in {COPY_TIMEOUT:?}")));
            match end {
                Ok(name) => Some(RunCopy {
                    keeper,
                    since: now,
                    name: Some(CopyName {
                        address: from,
                        name,
                    }),
                }),
                Err(error) => {
                    info!(
                        request = request.as_str(),
                        target_id = source.as_str(),
                        copy_at = keeper.as_str();
                        "a copy cannot be made: {error}"
                    );
                    None
                }
            }
        });
        Some(AbortOnDropHandle::new(task))
    }
}

/// Makes a copy, and returns its name.
async fn make(
    shared: &Shared,
    source: &TargetId,
    from: SocketAddr,
    call: Request<Bytes>,
) -> Result<String, String> {
    let (status, body) = call_target(shared, source, from, call).await?;
    shared.dialect.read_copy(status, &body)
}

/// Makes a call to a target that is no request of a caller.
async fn call_target(
    shared: &Shared,
    target: &TargetId,
    address: SocketAddr,
    call: Request<Bytes>,
) -> Result<(StatusCode, Bytes), String> {
    let taken = shared.pool.take(shared.now(), target, address).await;
    let mut link: Link = taken.map_err(|error| error.to_string())?.link;
    let answer = link
        .send(call.map(Full::new))
        .await
        .map_err(|error| error.to_string())?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    let connection = shared.dialect.read_answer(&head);
    if !connection.close {
        shared.pool.put(shared.now(), target, link, connection.idle);
    }
    Ok((head.status, body.to_bytes()))
}
