//! The endpoints that operators call.

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
use super::server::AdminContext;
use crate::control::Inspection;

type Context = RequestContext<Arc<AdminContext>>;
type Answer<T> = Result<HttpResponseOk<T>, ErrorMessage>;

/// Finds the caller and checks the role.
pub(super) async fn admit(
    context: &Context,
    role: OperatorRole,
) -> Result<(Caller, Inspection), ErrorMessage> {
    let shared = context.context();
    let inspection = shared.desk.inspect().await?;
    let headers = context.request.headers();
    let caller = Caller::find(headers, inspection.in_force.config(), &shared.secrets)?;
    caller.require(role)?;
    Ok((caller, inspection))
}

/// Say how things are: the revision in force by process, targets, leaving ones, the planner.
#[endpoint { method = GET, path = "/v1/status" }]
pub(super) async fn status(context: Context) -> Answer<StatusMessage> {
    let (_, mut inspection) = admit(&context, OperatorRole::Reader).await?;
    if let Some((holder, fencing)) = context.context().desk.planner().await {
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
) -> Answer<Vec<RecordMessage>> {
    let (_, inspection) = admit(&context, OperatorRole::Reader).await?;
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
) -> Answer<ProposalMessage> {
    let (caller, _) = admit(&context, OperatorRole::Proposer).await?;
    let ProposeMessage { id, reason, edits } = body.into_inner();
    let edits = edits.into_iter().map(to_edit).collect::<Result<_, _>>()?;
    let desk = &context.context().desk;
    let proposal = desk.propose(&caller, parse(&id)?, &reason, edits).await?;
    let snapshot = desk.inspect().await?.snapshot();
    Ok(HttpResponseOk(from_proposal(&proposal, &snapshot)))
}

/// List the proposals that are kept.
#[endpoint { method = GET, path = "/v1/proposals" }]
pub(super) async fn proposals(context: Context) -> Answer<Vec<ProposalMessage>> {
    let (_, inspection) = admit(&context, OperatorRole::Reader).await?;
    let found = context.context().desk.proposals().await?;
    let snapshot = inspection.snapshot();
    let one = |proposal| from_proposal(proposal, &snapshot);
    Ok(HttpResponseOk(found.iter().map(one).collect()))
}

/// Show a proposal, what it changes, and why it would be refused now.
#[endpoint { method = GET, path = "/v1/proposals/{id}" }]
pub(super) async fn review(context: Context, path: Path<ChangePath>) -> Answer<ReviewMessage> {
    let (caller, inspection) = admit(&context, OperatorRole::Reader).await?;
    let id: ChangeId = parse(&path.into_inner().id)?;
    let desk = &context.context().desk;
    let proposal = desk.proposal(&id).await?;
    let refusal = desk.refusal(&caller, &proposal).await?;
    let snapshot = inspection.snapshot();
    Ok(HttpResponseOk(ReviewMessage {
        differences: diff(&snapshot, &proposal).iter().map(from_diff).collect(),
        proposal: from_proposal(&proposal, &snapshot),
        refusal,
    }))
}

/// Accept a change. The call may be repeated; a change is accepted once.
#[endpoint { method = POST, path = "/v1/proposals/{id}/accept" }]
pub(super) async fn accept(context: Context, path: Path<ChangePath>) -> Answer<ChangeMessage> {
    let (caller, _) = admit(&context, OperatorRole::Accepter).await?;
    let id: ChangeId = parse(&path.into_inner().id)?;
    let change = context.context().desk.accept(&caller, &id).await?;
    Ok(HttpResponseOk(from_change(&change)))
}

/// Reject a change that waits.
#[endpoint { method = POST, path = "/v1/proposals/{id}/reject" }]
pub(super) async fn reject(context: Context, path: Path<ChangePath>) -> Answer<ProposalMessage> {
    let (caller, inspection) = admit(&context, OperatorRole::Accepter).await?;
    let id: ChangeId = parse(&path.into_inner().id)?;
    let proposal = context.context().desk.reject(&caller, &id).await?;
    let snapshot = inspection.snapshot();
    Ok(HttpResponseOk(from_proposal(&proposal, &snapshot)))
}

/// List the accepted changes that are remembered, oldest first.
#[endpoint { method = GET, path = "/v1/history" }]
pub(super) async fn history(
    context: Context,
    query: Query<HistoryQuery>,
) -> Answer<Vec<ChangeMessage>> {
    let (_, inspection) = admit(&context, OperatorRole::Reader).await?;
    let key: Option<RecordKey> = match query.into_inner().key {
        Some(key) => Some(parse(&key)?),
        None => None,
    };
    let snapshot = inspection.snapshot();
    let wanted = |touched: &[RecordKey]| key.as_ref().is_none_or(|k| touched.contains(k));
    let changes = snapshot.changes.iter().filter(|c| wanted(&c.touched));
    Ok(HttpResponseOk(changes.map(from_change).collect()))
}

/// Propose to bring an earlier body of a record back, as a new revision.
#[endpoint { method = POST, path = "/v1/roll-forward" }]
pub(super) async fn roll_forward(
    context: Context,
    body: TypedBody<RollMessage>,
) -> Answer<ProposalMessage> {
    let (caller, inspection) = admit(&context, OperatorRole::Proposer).await?;
    let body = body.into_inner();
    let desk = &context.context().desk;
    let edit = desk
        .earlier(&parse(&body.key)?, Revision(body.revision))
        .await?;
    let id = parse(&body.id)?;
    let proposal = desk.propose(&caller, id, &body.reason, vec![edit]).await?;
    let snapshot = inspection.snapshot();
    Ok(HttpResponseOk(from_proposal(&proposal, &snapshot)))
}

/// Write what is in force back to a key-value service that was restored from an older backup.
#[endpoint { method = POST, path = "/v1/put-back" }]
pub(super) async fn put_back(context: Context) -> Answer<u64> {
    admit(&context, OperatorRole::Accepter).await?;
    let revision = context.context().desk.put_back().await?;
    Ok(HttpResponseOk(revision.0))
}

// ----------------------------------------------------------------------------
// Status

fn to_status(host: String, inspection: &Inspection) -> StatusMessage {
    let revision = inspection.in_force.revision();
    let lowest = inspection.processes.iter().map(|(_, p)| p.revision).min();
    let planner = &inspection.planner;
    StatusMessage {
        host,
        revision: revision.0,
        everywhere: lowest.unwrap_or(revision).0,
        alarm: inspection.in_force.alarm().map(ToString::to_string),
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
    let named = |(kind, version): (&cw_types::RecordKind, &cw_types::SchemaVersion)| {
        (kind.to_string(), version.0)
    };
    ProcessMessage {
        host: state.host.to_string(),
        revision: state.revision.0,
        age_ms: age.as_millis() as u64,
        schemas: state.schemas.iter().map(named).collect(),
    }
}

fn to_targets(inspection: &Inspection) -> Vec<TargetMessage> {
    let one = |(id, seen): (&TargetId, &TargetView)| to_target(inspection, id, seen);
    inspection.view.targets.iter().map(one).collect()
}

fn to_target(inspection: &Inspection, id: &TargetId, seen: &TargetView) -> TargetMessage {
    let revision = inspection.agents.get(id).copied().unwrap_or_default();
    let names = |names: &std::collections::BTreeSet<cw_types::VersionName>| {
        names.iter().map(ToString::to_string).collect()
    };
    TargetMessage {
        id: id.to_string(),
        host: seen.target.host.to_string(),
        zone: seen.target.zone.to_string(),
        liveness: format!("{:?}", seen.liveness).to_lowercase(),
        running: seen.load.running,
        revision: revision.0,
        versions: seen
            .versions
            .iter()
            .map(|(model, versions)| (model.to_string(), names(versions)))
            .collect(),
        drained: inspection.in_force.config().is_drained(id),
    }
}
