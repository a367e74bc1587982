//! The proposals of changes and their acceptance, as the admin API offers them.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cw_policy::configuration::AcceptDecision;
use cw_policy::configuration::AcceptFlow;
use cw_policy::configuration::Acceptance;
use cw_policy::configuration::Alarm;
use cw_policy::configuration::Breakage;
use cw_policy::configuration::Edit;
use cw_policy::configuration::FlowEnd;
use cw_policy::configuration::FlowEvent;
use cw_policy::configuration::FlowStep;
use cw_policy::configuration::Proposal;
use cw_policy::configuration::RejectDecision;
use cw_policy::configuration::StoreFault;
use cw_policy::configuration::accept;
use cw_policy::configuration::in_use;
use cw_policy::configuration::reject;
use cw_store::KeyValueStore;
use cw_store::StoreError;
use cw_store::StoreRevision;
use cw_store::Swap;
use cw_types::Change;
use cw_types::ChangeId;
use cw_types::FencingNumber;
use cw_types::HostId;
use cw_types::RecordKey;
use cw_types::Revision;
use cw_types::Snapshot;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::AdminErrorKind;
use super::ErrorMessage;
use super::auth::Caller;
use super::stored::Stored;
use super::stored::decode;
use crate::control::Event;
use crate::control::Inspection;
use crate::control::lease_calls::LeaseHolder;
use crate::control::store_task::CONFIG_KEY;
use crate::planner_key::PLANNER_KEY;

/// The prefix of the keys of proposals.
const PROPOSAL_PREFIX: &str = "cyclamenwharf/proposals/";

/// The maximum number of attempts of a write that conflicts or whose response is lost.
const MAX_ATTEMPTS: u32 = 8;

/// The delay before a retry after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The minimum number of changes in the history of a snapshot for old proposals to be removed.
const PRUNE_MIN_CHANGES: usize = 512;

/// The number of revisions between two removals of old proposals.
const PRUNE_PERIOD: u64 = 64;

/// Stores, accepts and rejects the proposals of operators.
#[derive(Clone)]
pub(in crate::control) struct ChangeService {
    pub(in crate::control) key_value: Arc<dyn KeyValueStore>,
    pub(in crate::control) events: mpsc::Sender<Event>,
}

impl ChangeService {
    /// Returns a copy of the control state.
    pub(super) async fn inspect(&self) -> Result<Inspection, ErrorMessage> {
        let shutting_down =
            || ErrorMessage::new(AdminErrorKind::Unavailable, "the process is shutting down");
        let (reply, receiver) = oneshot::channel();
        let sent = self.events.send(Event::Inspect { reply }).await;
        sent.map_err(|_| shutting_down())?;
        receiver.await.map_err(|_| shutting_down())
    }

    /// Returns the holder of the planner's lease and its fencing number from the key-value service,
    /// or `None` if nobody holds the lease or the call fails.
    pub(super) async fn lease_holder(&self) -> Option<(HostId, FencingNumber)> {
        let found = self.key_value.get(PLANNER_KEY).await.ok()??;
        let holder: LeaseHolder = serde_json::from_slice(&found.value).ok()?;
        let created = u64::try_from(found.created.0).ok()?;
        Some((holder.host, FencingNumber(created)))
    }

    // ------------------------------------------------------------------------
    // Proposals

    /// Stores a proposal. A repeated call with the same id and edits returns the stored one.
    pub(super) async fn propose(
        &self,
        caller: &Caller,
        id: ChangeId,
        reason: &str,
        edits: Vec<Edit>,
    ) -> Result<Proposal, ErrorMessage> {
        if edits.is_empty() {
            return Err(bad_request("a change requires at least one edit"));
        }
        let snapshot = self.snapshot().await?.value;
        let proposal = Proposal::new(id, caller.actor.clone(), unix_now(), edits, &snapshot);
        let proposal = proposal.with_reason(reason);
        let key = proposal_key(&proposal.id);
        let written = self.write_key(&key, None, &proposal).await;
        let found = match written {
            Ok(Swap::Done(_)) => return Ok(proposal),
            Ok(Swap::Conflict(_)) | Err(StoreError::OutcomeUnknown { .. }) => {
                self.read_key::<Proposal>(&key).await?
            }
            Err(error) => return Err(error.into()),
        };
        match found {
            Some(old) if old.value.is_repeat(&proposal) => Ok(old.value),
            Some(old) => {
                let message = format!(
                    "change {} was already proposed by {} with other edits",
                    old.value.id, old.value.proposer
                );
                Err(ErrorMessage::new(AdminErrorKind::Conflict, message))
            }
            None => Err(ErrorMessage::new(
                AdminErrorKind::OutcomeUnknown,
                "the response of the key-value service was lost",
            )),
        }
    }

    /// Returns all stored proposals.
    pub(super) async fn proposals(&self) -> Result<Vec<Proposal>, ErrorMessage> {
        let found = self.key_value.list(PROPOSAL_PREFIX).await?;
        found.iter().map(|found| decode(&found.value)).collect()
    }

    /// Returns one stored proposal.
    pub(super) async fn proposal(&self, id: &ChangeId) -> Result<Proposal, ErrorMessage> {
        Ok(self.stored_proposal(id).await?.value)
    }

    /// Rejects a proposal that is not decided yet.
    pub(super) async fn reject(
        &self,
        caller: &Caller,
        id: &ChangeId,
    ) -> Result<Proposal, ErrorMessage> {
        let snapshot = self.inspect().await?.snapshot();
        for _ in 0..MAX_ATTEMPTS {
            let stored = self.stored_proposal(id).await?;
            let rejected = match reject(&snapshot, &stored.value, &caller.actor) {
                RejectDecision::Write(rejected) => rejected,
                RejectDecision::AlreadyRejected => return Ok(stored.value),
                RejectDecision::RejectedBy(by) => return Err(already_decided(id, "rejected", &by)),
                RejectDecision::AcceptedBy(by) => return Err(already_decided(id, "accepted", &by)),
            };
            match self
                .write_key(&proposal_key(id), stored.modified, &rejected)
                .await
            {
                Ok(Swap::Done(_)) => return Ok(*rejected),
                Ok(Swap::Conflict(_)) | Err(StoreError::OutcomeUnknown { .. }) => continue,
                Err(error) => return Err(error.into()),
            }
        }
        Err(outcome_unknown())
    }

    /// Returns the edit that restores a record to its state at `revision`.
    ///
    /// # Errors
    ///
    /// Fails with [`AdminErrorKind::NotFound`] if the history of the snapshot lacks the change.
    pub(super) async fn earlier_edit(
        &self,
        key: &RecordKey,
        revision: Revision,
    ) -> Result<Edit, ErrorMessage> {
        let snapshot = self.snapshot().await?.value;
        let touched =
            |change: &&Change| change.revision <= revision && change.touched.contains(key);
        let Some(change) = snapshot.changes.iter().rev().find(touched) else {
            let message = format!("the history has no change of {key} up to revision {revision}");
            return Err(ErrorMessage::new(AdminErrorKind::NotFound, message));
        };
        let proposal = self.proposal(&change.id).await?;
        let edit = proposal.edits.into_iter().find(|edit| edit.key() == *key);
        edit.ok_or_else(|| {
            ErrorMessage::new(
                AdminErrorKind::Internal,
                "the stored proposal lacks the edit",
            )
        })
    }

    // ------------------------------------------------------------------------
    // Acceptance

    /// Returns the reason why an acceptance would be refused now, or `None` if it would not be.
    pub(super) async fn check_accept(
        &self,
        caller: &Caller,
        proposal: &Proposal,
    ) -> Result<Option<String>, ErrorMessage> {
        let inspection = self.inspect().await?;
        let snapshot = self.snapshot().await?.value;
        let used = in_use(&inspection.view, proposal);
        match accept(&snapshot, proposal, &acceptance(caller, &inspection, &used)) {
            AcceptDecision::Refused(refusal) => Ok(Some(refusal.to_string())),
            AcceptDecision::Write(_) | AcceptDecision::AlreadyAccepted(_) => Ok(None),
        }
    }

    /// Accepts a proposal. A repeated call returns the same change, which is accepted only once.
    pub(super) async fn accept(
        &self,
        caller: &Caller,
        id: &ChangeId,
    ) -> Result<Change, ErrorMessage> {
        let inspection = self.inspect().await?;
        if let Some(alarm @ Alarm::Diverged { .. }) = inspection.active_config.alarm() {
            return Err(ErrorMessage::new(AdminErrorKind::Reverted, alarm));
        }
        let mut flow = AcceptFlow::new();
        let mut step = FlowStep::Read;
        let (mut proposal, mut snapshot) = (None, None);
        loop {
            let event = match &step {
                FlowStep::Read => {
                    let (event, read) = self.read_for_accept(id).await?;
                    (proposal, snapshot) = read;
                    event
                }
                FlowStep::MarkAccepting(marked) => {
                    to_flow_event(self.write_key(&proposal_key(id), proposal, marked).await)?
                }
                FlowStep::WriteSnapshot(next) => {
                    let event = to_flow_event(self.write_key(CONFIG_KEY, snapshot, next).await)?;
                    if event == FlowEvent::Written(true) {
                        self.on_accepted(next).await;
                    }
                    event
                }
                FlowStep::End(end) => return into_result(end.clone()),
            };
            if matches!(event, FlowEvent::Failed(_) | FlowEvent::Written(false)) {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let edits = match &event {
                FlowEvent::Read { proposal, .. } => proposal.as_ref(),
                _ => None,
            };
            let used = edits.map_or_else(Vec::new, |edits| in_use(&inspection.view, edits));
            step = flow.on_event(event, &acceptance(caller, &inspection, &used));
        }
    }

    /// Reads the proposal and the snapshot, with the store revision at which each was last written.
    async fn read_for_accept(
        &self,
        id: &ChangeId,
    ) -> Result<(FlowEvent, (Option<StoreRevision>, Option<StoreRevision>)), ErrorMessage> {
        let failed = (FlowEvent::Failed(StoreFault::Unavailable), (None, None));
        let proposal = match self.read_key::<Proposal>(&proposal_key(id)).await {
            Err(error) if error.kind == AdminErrorKind::Unavailable => return Ok(failed),
            other => other?,
        };
        let snapshot = match self.snapshot().await {
            Err(error) if error.kind == AdminErrorKind::Unavailable => return Ok(failed),
            other => other?,
        };
        let written = proposal.as_ref().and_then(|stored| stored.modified);
        let event = FlowEvent::Read {
            proposal: proposal.map(|stored| stored.value),
            snapshot: Box::new(snapshot.value),
            held: self.inspect().await?.highest_revision(),
        };
        Ok((event, (written, snapshot.modified)))
    }

    /// Writes the snapshot in force back to a key-value service that was restored to an older one.
    pub(super) async fn restore_snapshot(&self) -> Result<Revision, ErrorMessage> {
        let inspection = self.inspect().await?;
        let current = inspection.snapshot();
        let stored = self.snapshot().await?;
        if stored.value.revision >= current.revision {
            let message = format!(
                "the key-value service already holds revision {}",
                stored.value.revision
            );
            return Err(ErrorMessage::new(AdminErrorKind::Conflict, message));
        }
        match self
            .write_key(CONFIG_KEY, stored.modified, &*current)
            .await?
        {
            Swap::Done(_) => Ok(current.revision),
            Swap::Conflict(_) => Err(ErrorMessage::new(
                AdminErrorKind::Conflict,
                "the key-value service was written to concurrently",
            )),
        }
    }

    async fn on_accepted(&self, next: &Snapshot) {
        // The watch would deliver the snapshot too, but later.
        let event = Event::StoreSnapshot(Box::new(Some(next.clone())));
        let _ = self.events.send(event).await;
        self.prune_proposals(next).await;
    }

    /// Removes the proposals that are decided and older than the history of the snapshot.
    async fn prune_proposals(&self, next: &Snapshot) {
        if next.changes.len() < PRUNE_MIN_CHANGES || !next.revision.0.is_multiple_of(PRUNE_PERIOD) {
            return;
        }
        // Proposals that remain only take up space, so after a failure the next call removes them.
        let Ok(found) = self.key_value.list(PROPOSAL_PREFIX).await else {
            return;
        };
        for found in found {
            let proposal = decode::<Proposal>(&found.value);
            if proposal.is_ok_and(|proposal| proposal.is_obsolete(next)) {
                let _ = self.key_value.remove(&found.key, found.modified).await;
            }
        }
    }

    // ------------------------------------------------------------------------
    // Stored values

    async fn snapshot(&self) -> Result<Stored<Snapshot>, ErrorMessage> {
        let found = self.read_key(CONFIG_KEY).await?;
        Ok(found.unwrap_or(Stored {
            value: Snapshot::default(),
            modified: None,
        }))
    }

    async fn stored_proposal(&self, id: &ChangeId) -> Result<Stored<Proposal>, ErrorMessage> {
        let found = self.read_key(&proposal_key(id)).await?;
        found.ok_or_else(|| {
            let message = format!("there is no proposal {id}");
            ErrorMessage::new(AdminErrorKind::NotFound, message)
        })
    }
}

fn acceptance<'a>(
    caller: &'a Caller,
    inspection: &'a Inspection,
    in_use: &'a [Breakage],
) -> Acceptance<'a> {
    Acceptance {
        accepter: &caller.actor,
        operator: &caller.operator,
        at: unix_now(),
        readers: inspection,
        in_use,
    }
}

fn to_flow_event(swap: Result<Swap, StoreError>) -> Result<FlowEvent, ErrorMessage> {
    match swap {
        Ok(Swap::Done(_)) => Ok(FlowEvent::Written(true)),
        Ok(Swap::Conflict(_)) => Ok(FlowEvent::Written(false)),
        Err(StoreError::Unavailable { .. }) => Ok(FlowEvent::Failed(StoreFault::Unavailable)),
        Err(StoreError::OutcomeUnknown { .. }) => Ok(FlowEvent::Failed(StoreFault::Lost)),
        Err(error) => Err(error.into()),
    }
}

fn into_result(end: FlowEnd) -> Result<Change, ErrorMessage> {
    match end {
        FlowEnd::Accepted(change) => Ok(change),
        FlowEnd::Refused(refusal) => Err(refusal.into()),
        FlowEnd::NotFound => Err(ErrorMessage::new(
            AdminErrorKind::NotFound,
            "there is no such proposal",
        )),
        FlowEnd::Reverted { found, held } => Err(ErrorMessage::new(
            AdminErrorKind::Reverted,
            format!(
                "the key-value service holds revision {found}, but revision {held} is in force: \
                 call put-back first"
            ),
        )),
        FlowEnd::Unavailable => Err(ErrorMessage::new(
            AdminErrorKind::Unavailable,
            "the key-value service is unavailable; the change was not accepted",
        )),
        FlowEnd::Unknown => Err(outcome_unknown()),
    }
}

fn proposal_key(id: &ChangeId) -> String {
    format!("{PROPOSAL_PREFIX}{id}")
}

fn bad_request(message: &str) -> ErrorMessage {
    ErrorMessage::new(AdminErrorKind::BadRequest, message)
}

fn outcome_unknown() -> ErrorMessage {
    ErrorMessage::new(
        AdminErrorKind::OutcomeUnknown,
        "the response of the key-value service was lost; repeat the same call",
    )
}

fn already_decided(id: &ChangeId, what: &str, by: &cw_types::Actor) -> ErrorMessage {
    let message = format!("change {id} is already {what} by {by}");
    ErrorMessage::new(AdminErrorKind::Conflict, message)
}

fn unix_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
