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

/// The minimum time that a claim stays in the store after it is written.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// How long new claims share one lease.
const LEASE_SHARING: Duration = Duration::from_secs(600);

/// The largest answer body that is stored with its claim, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 10;

/// A claim and the store revision that wrote it.
pub(crate) type StoredClaim = (Box<Claim>, ClaimRevision);

/// Reads and writes the claims of all requests of an entry.
pub(crate) struct Claims {
    store: Arc<dyn KeyValueStore>,
    lease: Mutex<Option<(LeaseId, Time)>>,
}

impl Claims {
    /// Creates an accessor for claims in `store`.
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
    /// Returns [`ErrorKind::StoreUnavailable`] when the store cannot be read, and
    /// [`ErrorKind::Internal`] when the stored claim cannot be parsed.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<StoredClaim>, ErrorKind> {
        let value = self.store.get(key).await;
        let value = value.map_err(|_| ErrorKind::StoreUnavailable)?;
        value.as_ref().map(parse).transpose()
    }

    /// Writes `claim` under `key` if the stored claim has the revision `expected`, or if there is
    /// none when `expected` is `None`. Returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns an error kind when it is not certain that the claim was written. The attempt must
    /// not be dispatched then.
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
                    // A read has no effect, so it is safe to repeat.
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
                let stored = value.as_ref().map(parse).transpose()?;
                Ok(ClaimEvent::Current(stored))
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

    /// Returns a lease that lasts at least the retention time of a claim written now.
    async fn lease(&self, now: Time) -> Result<LeaseId, ErrorKind> {
        let mut current = self.lease.lock().await;
        if let Some((lease, _)) = current.filter(|(_, since)| now.since(*since) < LEASE_SHARING) {
            return Ok(lease);
        }
        let grant = self.store.grant(CLAIM_RETENTION + LEASE_SHARING).await;
        let lease = grant.map_err(|_| ErrorKind::StoreUnavailable)?;
        *current = Some((lease, now));
        Ok(lease)
    }
}

fn parse(value: &Versioned) -> Result<StoredClaim, ErrorKind> {
    let claim = serde_json::from_slice(&value.value).map_err(|fault| {
        error!(key = value.key.as_str(); "failed to parse the stored claim: {fault}");
        ErrorKind::Internal
    })?;
    Ok((Box::new(claim), ClaimRevision(value.modified.0)))
}

/// The claim of one request on its idempotency key.
pub(crate) struct RequestClaim {
    claims: Arc<Claims>,
    key: String,
    stored: Mutex<Option<StoredClaim>>,
}

impl RequestClaim {
    /// Creates the claim handle for an idempotency key, given the claim that the store has for it.
    pub(crate) fn new(claims: Arc<Claims>, key: String, stored: Option<StoredClaim>) -> Self {
        let stored = Mutex::new(stored);
        Self {
            claims,
            key,
            stored,
        }
    }

    /// Claims the key for an attempt. This must succeed before the attempt is dispatched.
    ///
    /// # Errors
    ///
    /// See [`Claims::write`].
    pub(crate) async fn acquire(&self, now: Time, mut claim: Claim) -> Result<(), ErrorKind> {
        let mut stored = self.stored.lock().await;
        claim.id = ClaimId(rand::random());
        let expected = stored.as_ref().map(|(_, revision)| *revision);
        let write = self.claims.write(now, &self.key, claim.clone(), expected);
        let revision = write.await?;
        *stored = Some((Box::new(claim), revision));
        Ok(())
    }

    /// Stores the answer with the claim for later calls, unless its body is too large.
    pub(crate) async fn store_answer(&self, now: Time, answer: StoredAnswer) {
        let mut stored = self.stored.lock().await;
        let Some((claim, revision)) = stored.take() else {
            return;
        };
        let length = |body: &Bytes| body.len();
        if length(&answer.body) > MAX_ANSWER_BYTES {
            return;
        }
        let claim = Claim {
            id: ClaimId(rand::random()),
            state: ClaimState::Answered(answer),
            ..*claim
        };
        let write = self.claims.write(now, &self.key, claim, Some(revision));
        if let Err(kind) = write.await {
            // A later call fetches the answer from the agent instead, while the agent still has it.
            error!(key = self.key.as_str(); "failed to store the answer with its claim: {kind}");
        }
    }
}

impl std::fmt::Debug for RequestClaim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestClaim")
            .field("key", &self.key)
            .finish_non_exhaustive()
    }
}
