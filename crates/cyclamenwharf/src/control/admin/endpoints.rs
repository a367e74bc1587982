//! The endpoints of the admin API for the configuration and the status.

use std::sync::Arc;

use cw_policy::TargetView;
use cw_policy::configuration::diff;
use cw_types::ChangeId;
use cw_types::OperatorRole;
use cw_types::RecordKey;
use cw_types::Revision;
use cw_types::TargetId;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;

use super::AdminContext;
use super::ChangeMessage;
use super::ChangePath;
use super::ErrorMessage;
use super::HistoryQuery;
use super::PlannerMessage;
use super::ProcessMessage;
use super::ProposalMessage;
use super::ProposeMessage;
use super::RecordMessage;
use super::RecordsQuery;
use super::ReviewMessage;
use super::RollMessage;
use super::StatusMessage;
use super::TargetMessage;
use super::auth::Caller;
use super::convert::from_change;
use super::convert::from_diff;
use super::convert::from_proposal;
use super::convert::from_record;
use super::convert::parse;
use super::convert::to_edit;
use crate::control::Inspection;

type Context = RequestContext<Arc<AdminContext>>;
type EndpointResult<T> = Result<HttpResponseOk<T>, ErrorMessage>;

/// Authenticates the caller, and checks that its role is at least `role`.
pub(super) async fn authorize(
    context: &Context,
    role: OperatorRole,
) -> Result<(Caller, Inspection), ErrorMessage> {
    let shared = context.context();
    let inspection = shared.changes.inspect().await?;
    let headers = context.request.headers();
    let caller = Caller::authenticate(headers, inspection.active_config.config(), &shared.secrets)?;
    caller.require_role(role)?;
    Ok((caller, inspection))
}

/// Return the status: the revision in force at each process, the targets and the planner.
#[endpoint { method = GET, path = "/v1/status" }]
pub(super) async fn status(context: Context) -> EndpointResult<StatusMessage> {
    let (_, mut inspection) = authorize(&context, OperatorRole::Reader).await?;
    if let Some((holder, fencing)) = context.context().changes.lease_holder().await {
        inspection.planner.holder = Some(holder);
        inspection.planner.fencing = fencing;
    }
    let host = context.context().host.to_string();
    Ok(HttpResponseOk(to_status(host, &inspection)))
}

/// List the records in force.
#[endpoint { method = GET, path = "/v1/records" }]
pub(super) async fn records(
    context: Context,
    query: Query<RecordsQuery>,
) -> EndpointResult<Vec<RecordMessage>> {
    let (_, inspection) = authorize(&context, OperatorRole::Reader).await?;
    let RecordsQuery { kind, name } = query.into_inner();
    let wanted = |key: &RecordKey| {
        kind.as_ref().is_none_or(|k| *k == key.kind.to_string())
            && name.as_ref().is_none_or(|n| *n == key.name)
    };
    let snapshot = inspection.snapshot();
    let found = snapshot
        .records
        .iter()
        .filter(|(key, _)| wanted(key))
        .map(|(_, (revision, record))| RecordMessage {
            revision: Some(revision.0),
            ..from_record(record)
        })
        .collect();
    Ok(HttpResponseOk(found))
}

/// Propose a change. A call with the same id and edits may be repeated.
#[endpoint { method = POST, path = "/v1/proposals" }]
pub(super) async fn propose(
    context: Context,
    body: TypedBody<ProposeMessage>,
) -> EndpointResult<ProposalMessage> {
    let (caller, _) = authorize(&context, OperatorRole::Proposer).await?;
    let ProposeMessage { id, reason, edits } = body.into_inner();
    let edits = edits.into_iter().map(to_edit).collect::<Result<_, _>>()?;
    let changes = &context.context().changes;
    let proposal = changes
        .propose(&caller, parse(&id)?, &reason, edits)
        .await?;
    let snapshot = changes.inspect().await?.snapshot();
    Ok(HttpResponseOk(from_proposal(&proposal, &snapshot)))
}

/// List the stored proposals.
#[endpoint { method = GET, path = "/v1/proposals" }]
pub(super) async fn proposals(context: Context) -> EndpointResult<Vec<ProposalMessage>> {
    let (_, inspection) = authorize(&context, OperatorRole::Reader).await?;
    let found = context.context().changes.proposals().await?;
    let snapshot = inspection.snapshot();
    let to_message = |proposal| from_proposal(proposal, &snapshot);
    Ok(HttpResponseOk(found.iter().map(to_message).collect()))
}

/// Return a proposal, what it changes, and the reason why it would be refused now.
#[endpoint { method = GET, path = "/v1/proposals/{id}" }]
pub(super) async fn review(
    context: Context,
    path: Path<ChangePath>,
) -> EndpointResult<ReviewMessage> {
    let (caller, inspection) = authorize(&context, OperatorRole::Reader).await?;
    let id: ChangeId = parse(&path.into_inner().id)?;
    let changes = &context.context().changes;
    let proposal = changes.proposal(&id).await?;
    let refusal = changes.check_accept(&caller, &proposal).await?;
    let snapshot = inspection.snapshot();
    Ok(HttpResponseOk(ReviewMessage {
        differences: diff(&snapshot, &proposal).iter().map(from_diff).collect(),
        proposal: from_proposal(&proposal, &snapshot),
        refusal,
    }))
}

/// Accept a change. The call may be repeated; a change is accepted only once.
#[endpoint { method = POST, path = "/v1/proposals/{id}/accept" }]
pub(super) async fn accept(
    context: Context,
    path: Path<ChangePath>,
) -> EndpointResult<ChangeMessage> {
    let (caller, _) = authorize(&context, OperatorRole::Accepter).await?;
    let id: ChangeId = parse(&path.into_inner().id)?;
    let change = context.context().changes.accept(&caller, &id).await?;
    Ok(HttpResponseOk(from_change(&change)))
}

/// Reject a change that is not decided yet.
#[endpoint { method = POST, path = "/v1/proposals/{id}/reject" }]
pub(super) async fn reject(
    context: Context,
    path: Path<ChangePath>,
) -> EndpointResult<ProposalMessage> {
    let (caller, inspection) = authorize(&context, OperatorRole::Accepter).await?;
    let id: ChangeId = parse(&path.into_inner().id)?;
    let proposal = context.context().changes.reject(&caller, &id).await?;
    let snapshot = inspection.snapshot();
    Ok(HttpResponseOk(from_proposal(&proposal, &snapshot)))
}

/// List the accepted changes in the history, oldest first.
#[endpoint { method = GET, path = "/v1/history" }]
pub(super) async fn history(
    context: Context,
    query: Query<HistoryQuery>,
) -> EndpointResult<Vec<ChangeMessage>> {
    let (_, inspection) = authorize(&context, OperatorRole::Reader).await?;
    let key: Option<RecordKey> = match query.into_inner().key {
        Some(key) => Some(parse(&key)?),
        None => None,
    };
    let snapshot = inspection.snapshot();
    let wanted = |touched: &[RecordKey]| key.as_ref().is_none_or(|k| touched.contains(k));
    let changes = snapshot.changes.iter().filter(|c| wanted(&c.touched));
    Ok(HttpResponseOk(changes.map(from_change).collect()))
}

/// Propose to restore an earlier body of a record, as a new revision.
#[endpoint { method = POST, path = "/v1/roll-forward" }]
pub(super) async fn roll_forward(
    context: Context,
    body: TypedBody<RollMessage>,
) -> EndpointResult<ProposalMessage> {
    let (caller, inspection) = authorize(&context, OperatorRole::Proposer).await?;
    let body = body.into_inner();
    let changes = &context.context().changes;
    let edit = changes
        .earlier_edit(&parse(&body.key)?, Revision(body.revision))
        .await?;
    let id = parse(&body.id)?;
    let proposal = changes
        .propose(&caller, id, &body.reason, vec![edit])
        .await?;
    let snapshot = inspection.snapshot();
    Ok(HttpResponseOk(from_proposal(&proposal, &snapshot)))
}

/// Write the configuration in force back to a key-value service restored from an older backup.
#[endpoint { method = POST, path = "/v1/put-back" }]
pub(super) async fn put_back(context: Context) -> EndpointResult<u64> {
    authorize(&context, OperatorRole::Accepter).await?;
    let revision = context.context().changes.restore_snapshot().await?;
    Ok(HttpResponseOk(revision.0))
}

// ----------------------------------------------------------------------------
// Status

fn to_status(host: String, inspection: &Inspection) -> StatusMessage {
    let revision = inspection.active_config.revision();
    let lowest = inspection.processes.iter().map(|(_, p)| p.revision).min();
    let planner = &inspection.planner;
    StatusMessage {
        host,
        revision: revision.0,
        everywhere: lowest.unwrap_or(revision).0,
        alarm: inspection.active_config.alarm().map(ToString::to_string),
        processes: inspection.processes.iter().map(to_process).collect(),
        targets: to_targets(inspection),
        planner: PlannerMessage {
            holder: planner.holder.as_ref().map(ToString::to_string),
            fencing: planner.fencing.0,
            orders: planner.orders,
        },
    }
}

fn to_process((age, state): &(std::time::Duration, cw_wire::ProcessState)) -> ProcessMessage {
    let to_entry = |(kind, version): (&cw_types::RecordKind, &cw_types::SchemaVersion)| {
        (kind.to_string(), version.0)
    };
    ProcessMessage {
        host: state.host.to_string(),
        revision: state.revision.0,
        age_ms: age.as_millis() as u64,
        schemas: state.schemas.iter().map(to_entry).collect(),
    }
}

fn to_targets(inspection: &Inspection) -> Vec<TargetMessage> {
    let to_message = |(id, view): (&TargetId, &TargetView)| to_target(inspection, id, view);
    inspection.view.targets.iter().map(to_message).collect()
}

fn to_target(inspection: &Inspection, id: &TargetId, view: &TargetView) -> TargetMessage {
    let revision = inspection.agents.get(id).copied().unwrap_or_default();
    let names = |names: &std::collections::BTreeSet<cw_types::VersionName>| {
        names.iter().map(ToString::to_string).collect()
    };
    TargetMessage {
        id: id.to_string(),
        host: view.target.host.to_string(),
        zone: view.target.zone.to_string(),
        liveness: format!("{:?}", view.liveness).to_lowercase(),
        running: view.load.running,
        revision: revision.0,
        versions: view
            .versions
            .iter()
            .map(|(model, versions)| (model.to_string(), names(versions)))
            .collect(),
        drained: inspection.active_config.config().is_drained(id),
    }
}
