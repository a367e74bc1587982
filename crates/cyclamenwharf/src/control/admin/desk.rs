//! What stands behind the operators' interface: proposals and their acceptance.

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
use cw_store::KeyValue;
use cw_store::ModRevision;
use cw_store::StoreError;
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
use super::keys::Stored;
use super::keys::decode;
use crate::control::Event;
use crate::control::Inspection;
use crate::control::lease_calls::Holder;
use crate::control::lease_calls::PLANNER_KEY;
use crate::control::store_task::CONFIG_KEY;

/// Where proposals are kept.
const PROPOSALS: &str = "cyclamenwharf/proposals/";

/// How often a write that met another one, or lost its answer, is tried.
const ATTEMPTS: u32 = 8;

/// The pause before a failed call is tried again.
const PAUSE: Duration = Duration::from_millis(100);

/// How many changes a snapshot remembers before old proposals are removed.
const KEPT_CHANGES: usize = 512;

/// How many revisions lie between two removals of old proposals.
const FORGET_PERIOD: u64 = 64;

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

    /// Returns who holds the planner's lease, if the key-value service says so.
    pub(super) async fn planner(&self) -> Option<(HostId, FencingNumber)> {
        let found = self.key_value.get(PLANNER_KEY).await.ok()??;
        let holder: Holder = serde_json::from_slice(&found.value).ok()?;
        let created = u64::try_from(found.created.0).ok()?;
        Some((holder.host, FencingNumber(created)))
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
            Some(old) if old.value.is_repeat(&proposal) => Ok(old.value),
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
        let in_force = self.inspect().await?.snapshot();
        for _ in 0..ATTEMPTS {
            let stored = self.stored_proposal(id).await?;
            let rejected = match reject(&in_force, &stored.value, &caller.actor) {
                RejectDecision::Write(rejected) => rejected,
                RejectDecision::AlreadyRejected => return Ok(stored.value),
                RejectDecision::RejectedBy(by) => return Err(taken(id, "rejected", &by)),
                RejectDecision::AcceptedBy(by) => return Err(taken(id, "accepted", &by)),
            };
            match self.put(&key_of(id), stored.modified, &rejected).await {
                Ok(Swap::Done(_)) => return Ok(*rejected),
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
        let used = in_use(&inspection.view, proposal);
        match accept(&snapshot, proposal, &acceptance(caller, &inspection, &used)) {
            AcceptDecision::Refused(refusal) => Ok(Some(refusal.to_string())),
            AcceptDecision::Write(_) | AcceptDecision::AlreadyAccepted(_) => Ok(None),
        }
    }

    /// Accepts a proposal. It may be repeated: a change is accepted once.
    pub(super) async fn accept(
        &self,
        caller: &Caller,
        id: &ChangeId,
    ) -> Result<Change, ErrorMessage> {
        let inspection = self.inspect().await?;
        if let Some(alarm @ Alarm::Diverged { .. }) = inspection.in_force.alarm() {
            return Err(ErrorMessage::new(AdminErrorKind::Reverted, alarm));
        }
        let mut flow = AcceptFlow::new();
        let mut step = FlowStep::Read;
        let (mut proposal, mut snapshot) = (None, None);
        loop {
            let event = match &step {
                FlowStep::Read => {
                    let (event, read) = self.read_both(id).await?;
                    (proposal, snapshot) = read;
                    event
                }
                FlowStep::MarkAccepting(marked) => {
                    written(self.put(&key_of(id), proposal, marked).await)?
                }
                FlowStep::WriteSnapshot(next) => {
                    let event = written(self.put(CONFIG_KEY, snapshot, next).await)?;
                    if event == FlowEvent::Written(true) {
                        self.on_accepted(next).await;
                    }
                    event
                }
                FlowStep::End(end) => return ended(end.clone()),
            };
            if matches!(event, FlowEvent::Failed(_) | FlowEvent::Written(false)) {
                tokio::time::sleep(PAUSE).await;
            }
            let edits = match &event {
                FlowEvent::Read { proposal, .. } => proposal.as_ref(),
                _ => None,
            };
            let used = edits.map_or_else(Vec::new, |edits| in_use(&inspection.view, edits));
            step = flow.on_event(event, &acceptance(caller, &inspection, &used));
        }
    }

    /// Reads the proposal and the snapshot, and when each was last written.
    async fn read_both(
        &self,
        id: &ChangeId,
    ) -> Result<(FlowEvent, (Option<ModRevision>, Option<ModRevision>)), ErrorMessage> {
        let failed = (FlowEvent::Failed(StoreFault::Unavailable), (None, None));
        let proposal = match self.read_key::<Proposal>(&key_of(id)).await {
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
            held: self.inspect().await?.highest(),
        };
        Ok((event, (written, snapshot.modified)))
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

    async fn on_accepted(&self, next: &Snapshot) {
        // The watch would tell it too; this entry need not wait.
        let event = Event::Store(Box::new(Some(next.clone())));
        let _ = self.events.send(event).await;
        self.forget(next).await;
    }

    /// Removes proposals that were decided on before the oldest change that is remembered.
    async fn forget(&self, next: &Snapshot) {
        let Some(oldest) = next.changes.first() else {
            return;
        };
        if next.changes.len() < KEPT_CHANGES || !next.revision.0.is_multiple_of(FORGET_PERIOD) {
            return;
        }
        // What is left behind costs only its room, so failures are left to the next time.
        let Ok(found) = self.key_value.list(PROPOSALS).await else {
            return;
        };
        for found in found {
            let old = decode::<Proposal>(&found.value)
                .is_ok_and(|proposal| proposal.proposed_at < oldest.accepted_at);
            if old {
                let _ = self.key_value.remove(&found.key, found.modified).await;
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

fn written(swap: Result<Swap, StoreError>) -> Result<FlowEvent, ErrorMessage> {
    match swap {
        Ok(Swap::Done(_)) => Ok(FlowEvent::Written(true)),
        Ok(Swap::Conflict(_)) => Ok(FlowEvent::Written(false)),
        Err(StoreError::Unavailable { .. }) => Ok(FlowEvent::Failed(StoreFault::Unavailable)),
        Err(StoreError::Lost { .. }) => Ok(FlowEvent::Failed(StoreFault::Lost)),
        Err(error) => Err(error.into()),
    }
}

fn ended(end: FlowEnd) -> Result<Change, ErrorMessage> {
    match end {
        FlowEnd::Accepted(change) => Ok(change),
        FlowEnd::Refused(refusal) => Err(refusal.into()),
        FlowEnd::NotFound => Err(ErrorMessage::new(
            AdminErrorKind::NotFound,
            "no such change is proposed",
        )),
        FlowEnd::Reverted { found, held } => Err(ErrorMessage::new(
            AdminErrorKind::Reverted,
            format!("the service holds revision {found}, in force is {held}: put it back first"),
        )),
        FlowEnd::Unavailable => Err(ErrorMessage::new(
            AdminErrorKind::Unavailable,
            "the key-value service is unavailable; the change was not accepted",
        )),
        FlowEnd::Unknown => Err(unknown()),
    }
}

fn key_of(id: &ChangeId) -> String {
    format!("{PROPOSALS}{id}")
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
