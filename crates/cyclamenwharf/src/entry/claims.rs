//! Claims of idempotency keys in the key-value service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::Claim;
use cw_policy::ClaimEvent;
use cw_policy::ClaimId;
use cw_policy::ClaimRevision;
use cw_policy::ClaimState;
use cw_policy::ClaimStep;
use cw_policy::ClaimWrite;
use cw_policy::StoredAnswer;
use cw_store::KeyValueStore;
use cw_store::LeaseId;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Swap;
use cw_store::Versioned;
use cw_types::ErrorKind;
use cw_types::Time;
use log::error;
use tokio::sync::Mutex;

/// How long a claim is kept.
const KEPT: Duration = Duration::from_secs(24 * 3600);

/// How long one lease is used for new claims.
const LEASE_USE: Duration = Duration::from_secs(600);

/// The largest answer that is kept with its claim, in bytes.
const ANSWER_MAX: usize = 16 << 10;

/// A claim and the revision that wrote it.
pub(crate) type Held = (Box<Claim>, ClaimRevision);

/// The claims of all requests of an entry.
pub(crate) struct Claims {
    store: Arc<dyn KeyValueStore>,
    lease: Mutex<Option<(LeaseId, Time)>>,
}

impl Claims {
    /// Returns claims kept in `store`.
    pub(crate) fn new(store: Arc<dyn KeyValueStore>) -> Self {
        Self {
            store,
            lease: Mutex::default(),
        }
    }

    /// Reads the claim under `key`.
    ///
    /// # Errors
    ///
    /// Returns the kind of refusal when the service cannot be read.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<Held>, ErrorKind> {
        let value = self.store.get(key).await;
        let value = value.map_err(|_| ErrorKind::StoreUnavailable)?;
        value.as_ref().map(parse).transpose()
    }

    /// Writes `claim` under `key` over the claim of revision `expected`, or over nothing.
    ///
    /// # Errors
    ///
    /// Returns the kind of refusal when the claim is not there for sure; its attempt must not be
    /// dispatched then.
    pub(crate) async fn write(
        &self,
        now: Time,
        key: &str,
        claim: Claim,
        expected: Option<ClaimRevision>,
    ) -> Result<ClaimRevision, ErrorKind> {
        let lease = self.lease(now).await?;
        let mut write = ClaimWrite::new(claim, expected);
        let mut step = write.start();
        loop {
            let event = match step {
                ClaimStep::Swap { expected, claim } => {
                    self.swap(key, expected, &claim, lease).await?
                }
                ClaimStep::Read => match self.store.get(key).await {
                    Ok(value) => ClaimEvent::Current(value.as_ref().map(parse).transpose()?),
                    // A read has no effect, so it may be asked again.
                    Err(_) => ClaimEvent::Unconfirmed,
                },
                ClaimStep::Acquired(revision) => return Ok(revision),
                ClaimStep::Conflict(..) => return Err(ErrorKind::InProgress),
                ClaimStep::Unavailable => return Err(ErrorKind::StoreUnavailable),
            };
            step = write.on_event(event);
        }
    }

    async fn swap(
        &self,
        key: &str,
        expected: Option<ClaimRevision>,
        claim: &Claim,
        lease: LeaseId,
    ) -> Result<ClaimEvent, ErrorKind> {
        let value = serde_json::to_vec(claim).map_err(|_| ErrorKind::Internal)?;
        let expected = expected.map(|revision| ModRevision(revision.0));
        let swap = self.store.swap(key, expected, value.into(), Some(lease));
        match swap.await {
            Ok(Swap::Done(revision)) => Ok(ClaimEvent::Written(ClaimRevision(revision.0))),
            Ok(Swap::Conflict(value)) => {
                let held = value.as_ref().map(parse).transpose()?;
                Ok(ClaimEvent::Current(held))
            }
            Err(StoreError::Unavailable { .. } | StoreError::Compacted) => {
                Ok(ClaimEvent::Unavailable)
            }
            Err(StoreError::LeaseExpired) => {
                *self.lease.lock().await = None;
                Ok(ClaimEvent::Unavailable)
            }
            Err(StoreError::OutcomeUnknown { .. } | StoreError::Protocol { .. }) => {
                Ok(ClaimEvent::Unconfirmed)
            }
        }
    }

    /// Returns a lease that outlives a claim written now by at least its time to be kept.
    async fn lease(&self, now: Time) -> Result<LeaseId, ErrorKind> {
        let mut held = self.lease.lock().await;
        if let Some((lease, _)) = held.filter(|(_, since)| now.since(*since) < LEASE_USE) {
            return Ok(lease);
        }
        let grant = self.store.grant(KEPT + LEASE_USE).await;
        let lease = grant.map_err(|_| ErrorKind::StoreUnavailable)?;
        *held = Some((lease, now));
        Ok(lease)
    }
}

fn parse(value: &Versioned) -> Result<Held, ErrorKind> {
    let claim = serde_json::from_slice(&value.value).map_err(|fault| {
        error!(key = value.key.as_str(); "a claim cannot be read: {fault}");
        ErrorKind::Internal
    })?;
    Ok((Box::new(claim), ClaimRevision(value.modified.0)))
}

/// The claim of one request.
pub(crate) struct ClaimSlot {
    claims: Arc<Claims>,
    key: String,
    held: Mutex<Option<Held>>,
}

impl ClaimSlot {
    /// Returns the slot of an idempotency key, with the claim that is there already.
    pub(crate) fn new(claims: Arc<Claims>, key: String, held: Option<Held>) -> Self {
        let held = Mutex::new(held);
        Self { claims, key, held }
    }

    /// Claims the key for an attempt, before it is dispatched.
    ///
    /// # Errors
    ///
    /// See [`Claims::write`].
    pub(crate) async fn take(&self, now: Time, mut claim: Claim) -> Result<(), ErrorKind> {
        let mut held = self.held.lock().await;
        claim.id = ClaimId(rand::random());
        let expected = held.as_ref().map(|(_, revision)| *revision);
        let write = self.claims.write(now, &self.key, claim.clone(), expected);
        let revision = write.await?;
        *held = Some((Box::new(claim), revision));
        Ok(())
    }

    /// Keeps the answer with the claim, for later calls; one that is too large is not kept.
    pub(crate) async fn keep(&self, now: Time, answer: StoredAnswer) {
        let mut held = self.held.lock().await;
        let Some((claim, revision)) = held.take() else {
            return;
        };
        let length = |body: &Bytes| body.len();
        if length(&answer.body) > ANSWER_MAX {
            return;
        }
        let claim = Claim {
            id: ClaimId(rand::random()),
            state: ClaimState::Answered(answer),
            ..*claim
        };
        let write = self.claims.write(now, &self.key, claim, Some(revision));
        if let Err(kind) = write.await {
            // A later call asks the agent instead, as long as that remembers.
            error!(key = self.key.as_str(); "an answer is not kept: {kind}");
        }
    }
}

impl std::fmt::Debug for ClaimSlot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClaimSlot")
            .field("key", &self.key)
            .finish_non_exhaustive()
    }
}
