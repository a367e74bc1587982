//! Calls to the key-value service for the planner's lease.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_macro::data;
use cw_policy::planner::LeaseEvent;
use cw_policy::planner::LeaseStep;
use cw_store::KeyValueStore;
use cw_store::LeaseId;
use cw_store::StoreError;
use cw_store::Swap;
use cw_store::Versioned;
use cw_types::FencingNumber;
use cw_types::HostId;
use cw_types::Time;
use tokio::sync::mpsc;

use super::call_result::CallResult;
use crate::planner_key::PLANNER_KEY;

/// The value of the planner's key.
#[data(Eq)]
pub(super) struct LeaseHolder {
    /// The host of the holder.
    pub(super) host: HostId,
    /// The lease under which the key was written, by which a holder recognizes its own claim after a
    /// lost response.
    pub(super) lease: LeaseId,
}

/// Calls to the key-value service for the planner's lease, each in its own task.
#[derive(Clone)]
pub(super) struct LeaseCalls {
    pub(super) key_value: Arc<dyn KeyValueStore>,
    pub(super) host: HostId,
}

impl LeaseCalls {
    /// Starts the call of `step`, whose result is sent to `results`.
    pub(super) fn start(&self, step: LeaseStep, now: Time, results: mpsc::Sender<CallResult>) {
        if step == LeaseStep::Wait {
            return;
        }
        let this = self.clone();
        tokio::spawn(async move {
            let event = match step {
                LeaseStep::Wait => None,
                LeaseStep::Grant { ttl } => Some(this.grant(now, ttl).await),
                LeaseStep::Claim { lease } => Some(this.claim(LeaseId(lease)).await),
                LeaseStep::Renew { lease } => Some(this.renew(now, LeaseId(lease)).await),
                LeaseStep::Revoke { lease } => {
                    // A lease that could not be revoked expires.
                    let _ = this.key_value.revoke(LeaseId(lease)).await;
                    None
                }
            };
            if let Some(event) = event {
                let _ = results.send(CallResult::Lease(event)).await;
            }
        });
    }

    async fn grant(&self, requested_at: Time, ttl: Duration) -> LeaseEvent {
        match self.key_value.get(PLANNER_KEY).await {
            Ok(None) => {}
            Ok(Some(_)) => return LeaseEvent::HeldElsewhere,
            Err(_) => return LeaseEvent::Failed,
        }
        match self.key_value.grant(ttl).await {
            Ok(lease) => LeaseEvent::Granted {
                requested_at,
                lease: lease.0,
            },
            Err(_) => LeaseEvent::Failed,
        }
    }

    async fn claim(&self, lease: LeaseId) -> LeaseEvent {
        let holder = LeaseHolder {
            host: self.host.clone(),
            lease,
        };
        let value = serde_json::to_vec(&holder).expect("a holder serializes to JSON");
        let swap = self
            .key_value
            .swap(PLANNER_KEY, None, Bytes::from(value), Some(lease))
            .await;
        match swap {
            Ok(Swap::Done(revision)) => claimed_event(revision.0),
            Ok(Swap::Conflict(Some(found))) if is_own_claim(&found, &holder) => {
                claimed_event(found.created.0)
            }
            Ok(Swap::Conflict(_)) => LeaseEvent::HeldElsewhere,
            Err(StoreError::LeaseExpired) => LeaseEvent::Expired,
            Err(_) => LeaseEvent::Failed,
        }
    }

    async fn renew(&self, requested_at: Time, lease: LeaseId) -> LeaseEvent {
        match self.key_value.keep_alive(lease).await {
            Ok(ttl) => LeaseEvent::Renewed { requested_at, ttl },
            Err(StoreError::LeaseExpired) => LeaseEvent::Expired,
            Err(_) => LeaseEvent::Failed,
        }
    }
}

fn is_own_claim(found: &Versioned, holder: &LeaseHolder) -> bool {
    serde_json::from_slice::<LeaseHolder>(&found.value).is_ok_and(|found| found == *holder)
}

fn claimed_event(revision: i64) -> LeaseEvent {
    LeaseEvent::Claimed {
        created: FencingNumber(u64::try_from(revision).unwrap_or_default()),
    }
}
