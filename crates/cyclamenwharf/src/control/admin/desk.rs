//! What stands behind the operators' interface: proposals and their acceptance.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use cw_policy::configuration::Acceptance;
use cw_policy::configuration::Edit;
use cw_policy::configuration::Proposal;
use cw_policy::configuration::ProposalState;
use cw_policy::configuration::Verdict;
use cw_policy::configuration::accept;
use cw_policy::configuration::in_use;
use cw_store::KeyValue;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Swap;
use cw_types::Change;
use cw_types::ChangeId;
use cw_types::RecordKey;
use cw_types::Revision;
use cw_types::Snapshot;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::AdminErrorKind;
use super::ErrorMessage;
use super::auth::Caller;
use crate::control::Event;
use crate::control::Inspection;
use crate::control::store_task::CONFIG_KEY;

/// Where proposals are kept.
const PROPOSALS: &str = "cyclamenwharf/proposals/";

/// How often a write that met another one, or lost its answer, is tried.
const ATTEMPTS: u32 = 8;

/// The pause before a failed call is tried again.
const PAUSE: Duration = Duration::from_millis(100);

/// How many changes back proposals are kept.
const KEPT_CHANGES: usize = 512;

/// A value with the revision that wrote it.
struct Stored<T> {
    value: T,
    modified: Option<ModRevision>,
}

/// What stands behind the operators' interface.
#[derive(Clone)]
pub(in crate::control) struct Desk {
    pub(in crate::control) key_value: Arc<dyn KeyValue>,
    pub(in crate::control) events: mpsc::Sender<Event>,
}

impl Desk {
    /// Asks the control state how things are.
    pub(super) async fn inspect(&self) -> Result<Inspection, ErrorMessage> {
        let stopping = || ErrorMessage::new(AdminErrorKind::Unavailable, "the process is stopping");
        let (answer, receiver) = oneshot::channel();
        let sent = self.events.send(Event::Inspect { answer }).await;
        sent.map_err(|_| stopping())?;
        receiver.await.map_err(|_| stopping())
    }

    // ------------------------------------------------------------------------
    // Proposals

    /// Keeps a proposal. A repeat with the same id and edits returns the one that is kept.
    pub(super) async fn propose(
        &self,
        caller: &Caller,
        id: ChangeId,
        reason: &str,
        edits: Vec<Edit>,
    ) -> Result<Proposal, ErrorMessage> {
        if edits.is_empty() {
            return Err(bad("a change has at least one edit"));
        }
        let snapshot = self.snapshot().await?.value;
        let proposal = Proposal::new(id, caller.actor.clone(), unix_now(), edits, &snapshot);
        let proposal = proposal.with_reason(reason);
        let key = key_of(&proposal.id);
        let written = self.put(&key, None, &proposal).await;
        let found = match written {
            Ok(Swap::Done(_)) => return Ok(proposal),
            Ok(Swap::Conflict(_)) | Err(StoreError::Lost { .. }) => {
                self.read_key::<Proposal>(&key).await?
            }
            Err(error) => return Err(error.into()),
        };
        match found {
            Some(old) if old.value.is_same(&proposal) => Ok(old.value),
            Some(old) => {
                let message = format!(
                    "change {} was proposed by {} with other edits",
                    old.value.id, old.value.proposer
                );
                Err(ErrorMessage::new(AdminErrorKind::Conflict, message))
            }
            None => Err(ErrorMessage::new(
                AdminErrorKind::OutcomeUnknown,
                "the answer of the key-value service was lost",
            )),
        }
    }

    /// Returns all proposals that are kept.
    pub(super) async fn proposals(&self) -> Result<Vec<Proposal>, ErrorMessage> {
        let found = self.key_value.list(PROPOSALS).await?;
        found.iter().map(|found| decode(&found.value)).collect()
    }

    /// Returns one proposal.
    pub(super) async fn proposal(&self, id: &ChangeId) -> Result<Proposal, ErrorMessage> {
        Ok(self.stored_proposal(id).await?.value)
    }

    /// Rejects a proposal that waits.
    pub(super) async fn reject(
        &self,
        caller: &Caller,
        id: &ChangeId,
    ) -> Result<Proposal, ErrorMessage> {
        for _ in 0..ATTEMPTS {
            let stored = self.stored_proposal(id).await?;
            match &stored.value.state {
                ProposalState::Pending => {}
                ProposalState::Rejected(by) if *by == caller.actor => return Ok(stored.value),
                ProposalState::Rejected(by) => return Err(taken(id, "rejected", by)),
                ProposalState::Accepting(by) => return Err(taken(id, "accepted", by)),
            }
            let mut rejected = stored.value;
            rejected.state = ProposalState::Rejected(caller.actor.clone());
            match self.put(&key_of(id), stored.modified, &rejected).await {
                Ok(Swap::Done(_)) => return Ok(rejected),
                Ok(Swap::Conflict(_)) | Err(StoreError::Lost { .. }) => continue,
                Err(error) => return Err(error.into()),
            }
        }
        Err(unknown())
    }

    /// Proposes the body that a record had at an earlier revision.
    pub(super) async fn earlier(
        &self,
        key: &RecordKey,
        revision: Revision,
    ) -> Result<Edit, ErrorMessage> {
        let snapshot = self.snapshot().await?.value;
        let touched =
            |change: &&Change| change.revision <= revision && change.touched.contains(key);
        let Some(change) = snapshot.changes.iter().rev().find(touched) else {
            let message = format!("no change of {key} up to revision {revision} is remembered");
            return Err(ErrorMessage::new(AdminErrorKind::NotFound, message));
        };
        let proposal = self.proposal(&change.id).await?;
        let edit = proposal.edits.into_iter().find(|edit| edit.key() == *key);
        edit.ok_or_else(|| ErrorMessage::new(AdminErrorKind::Internal, "the edit is not kept"))
    }

    // ------------------------------------------------------------------------
    // Acceptance

    /// Says why a proposal would be refused now, if so.
    pub(super) async fn refusal(
        &self,
        caller: &Caller,
        proposal: &Proposal,
    ) -> Result<Option<String>, ErrorMessage> {
        let inspection = self.inspect().await?;
        let snapshot = self.snapshot().await?.value;
        match decide(&snapshot, proposal, caller, &inspection) {
            Verdict::Refused(refusal) => Ok(Some(refusal.to_string())),
            Verdict::Write(_) | Verdict::Already(_) => Ok(None),
        }
    }

    /// Accepts a proposal. It may be repeated: a change is accepted once.
    pub(super) async fn accept(
        &self,
        caller: &Caller,
        id: &ChangeId,
    ) -> Result<Change, ErrorMessage> {
        let inspection = self.inspect().await?;
        let mut lost = false;
        for _ in 0..ATTEMPTS {
            match self.try_accept(caller, id, &inspection).await {
                Ok(Some(change)) => return Ok(change),
                Ok(None) => {}
                Err(error) if error.kind == AdminErrorKind::OutcomeUnknown => lost = true,
                Err(error) if error.kind == AdminErrorKind::Unavailable => {}
                Err(error) => return Err(error),
            }
            tokio::time::sleep(PAUSE).await;
        }
        if lost {
            return Err(unknown());
        }
        Err(ErrorMessage::new(
            AdminErrorKind::Unavailable,
            "the key-value service is unavailable; the change was not accepted",
        ))
    }

    /// Tries once; `None` when another write came between.
    ///
    /// An answer that was lost needs no handling of its own: the next try finds the change's id
    /// in the snapshot if the write took effect, and a write that arrives late cannot win twice
    /// over the same revision.
    async fn try_accept(
        &self,
        caller: &Caller,
        id: &ChangeId,
        inspection: &Inspection,
    ) -> Result<Option<Change>, ErrorMessage> {
        let stored = self.stored_proposal(id).await?;
        let snapshot = self.snapshot().await?;
        check_not_reverted(&snapshot.value, inspection)?;
        let next = match decide(&snapshot.value, &stored.value, caller, inspection) {
            Verdict::Already(change) => return Ok(Some(change)),
            Verdict::Refused(refusal) => return Err(refusal.into()),
            Verdict::Write(next) => next,
        };
        if !self.mark_accepting(caller, stored).await? {
            return Ok(None);
        }
        match self.put(CONFIG_KEY, snapshot.modified, &next).await? {
            Swap::Conflict(_) => Ok(None),
            Swap::Done(_) => {
                let change = next.changes.last().cloned();
                self.tell(&next).await;
                self.forget(&snapshot.value, &next).await;
                Ok(change)
            }
        }
    }

    /// Takes the proposal out of the reach of a rejection.
    async fn mark_accepting(
        &self,
        caller: &Caller,
        stored: Stored<Proposal>,
    ) -> Result<bool, ErrorMessage> {
        if let ProposalState::Accepting(_) = stored.value.state {
            return Ok(true);
        }
        let mut marked = stored.value;
        marked.state = ProposalState::Accepting(caller.actor.clone());
        let swap = self
            .put(&key_of(&marked.id), stored.modified, &marked)
            .await?;
        Ok(matches!(swap, Swap::Done(_)))
    }

    /// Writes the snapshot in force back to a service that went back to an older one.
    pub(super) async fn put_back(&self) -> Result<Revision, ErrorMessage> {
        let inspection = self.inspect().await?;
        let held = inspection.snapshot();
        let stored = self.snapshot().await?;
        if stored.value.revision >= held.revision {
            let message = format!("the service holds revision {}", stored.value.revision);
            return Err(ErrorMessage::new(AdminErrorKind::Conflict, message));
        }
        match self.put(CONFIG_KEY, stored.modified, &*held).await? {
            Swap::Done(_) => Ok(held.revision),
            Swap::Conflict(_) => Err(ErrorMessage::new(
                AdminErrorKind::Conflict,
                "the service was written to at the same time",
            )),
        }
    }

    async fn tell(&self, next: &Snapshot) {
        // The watch would tell it too; this entry need not wait.
        let event = Event::Store(Box::new(Some(next.clone())));
        let _ = self.events.send(event).await;
    }

    /// Removes the proposals of changes that the snapshot no longer remembers.
    async fn forget(&self, old: &Snapshot, next: &Snapshot) {
        if next.changes.len() < KEPT_CHANGES {
            return;
        }
        let is_kept = |change: &&Change| next.changes.iter().any(|kept| kept.id == change.id);
        for change in old.changes.iter().filter(|change| !is_kept(change)) {
            let key = key_of(&change.id);
            if let Ok(Some(found)) = self.key_value.get(&key).await {
                // What is left behind costs only its room.
                let _ = self.key_value.remove(&key, found.modified).await;
            }
        }
    }

    // ------------------------------------------------------------------------
    // Keys

    async fn snapshot(&self) -> Result<Stored<Snapshot>, ErrorMessage> {
        let found = self.read_key(CONFIG_KEY).await?;
        Ok(found.unwrap_or(Stored {
            value: Snapshot::default(),
            modified: None,
        }))
    }

    async fn stored_proposal(&self, id: &ChangeId) -> Result<Stored<Proposal>, ErrorMessage> {
        let found = self.read_key(&key_of(id)).await?;
        found.ok_or_else(|| {
            let message = format!("no change {id} is proposed");
            ErrorMessage::new(AdminErrorKind::NotFound, message)
        })
    }

    async fn read_key<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Stored<T>>, ErrorMessage> {
        let found = self.key_value.get(key).await.map_err(|error| {
            // A read changes nothing, whether or not its answer came.
            ErrorMessage::new(AdminErrorKind::Unavailable, error)
        })?;
        let Some(found) = found else { return Ok(None) };
        Ok(Some(Stored {
            value: decode(&found.value)?,
            modified: Some(found.modified),
        }))
    }

    async fn put<T: Serialize>(
        &self,
        key: &str,
        expected: Option<ModRevision>,
        value: &T,
    ) -> Result<Swap, StoreError> {
        let value = serde_json::to_vec(value).map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })?;
        self.key_value
            .swap(key, expected, Bytes::from(value), None)
            .await
    }
}

fn decide(
    snapshot: &Snapshot,
    proposal: &Proposal,
    caller: &Caller,
    inspection: &Inspection,
) -> Verdict {
    let by = Acceptance {
        accepter: &caller.actor,
        operator: &caller.operator,
        at: unix_now(),
        unable: &|kind, schema| inspection.unable(kind, schema),
        in_use: &in_use(&inspection.view, proposal),
    };
    accept(snapshot, proposal, &by)
}

/// Refuses to build on a service that went back: what is in force must never revert.
fn check_not_reverted(found: &Snapshot, inspection: &Inspection) -> Result<(), ErrorMessage> {
    let held = inspection.in_force.revision();
    if found.revision >= held && inspection.in_force.alarm().is_none() {
        return Ok(());
    }
    let message = format!(
        "the key-value service holds revision {}, in force is {held}: put it back first",
        found.revision
    );
    Err(ErrorMessage::new(AdminErrorKind::Reverted, message))
}

fn key_of(id: &ChangeId) -> String {
    format!("{PROPOSALS}{id}")
}

fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, ErrorMessage> {
    serde_json::from_slice(value)
        .map_err(|error| ErrorMessage::new(AdminErrorKind::Internal, error))
}

fn bad(message: &str) -> ErrorMessage {
    ErrorMessage::new(AdminErrorKind::BadRequest, message)
}

fn unknown() -> ErrorMessage {
    ErrorMessage::new(
        AdminErrorKind::OutcomeUnknown,
        "the answer of the key-value service was lost; repeat the same call",
    )
}

fn taken(id: &ChangeId, what: &str, by: &cw_types::Actor) -> ErrorMessage {
    let message = format!("change {id} is {what} by {by}");
    ErrorMessage::new(AdminErrorKind::Conflict, message)
}

fn unix_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
