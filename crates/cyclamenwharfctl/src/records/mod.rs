//! Commands for records: proposing, reviewing and accepting changes, and draining targets.

mod apply;
mod changes;
mod drain;
mod record_file;
mod tables;

pub(crate) use apply::apply;
pub(crate) use apply::apply_command;
pub(crate) use changes::accept;
pub(crate) use changes::commands;
pub(crate) use changes::diff;
pub(crate) use changes::history;
pub(crate) use changes::proposals;
pub(crate) use changes::propose;
pub(crate) use changes::put_back;
pub(crate) use changes::records;
pub(crate) use changes::reject;
pub(crate) use changes::roll_forward;
pub(crate) use changes::show;
pub(crate) use drain::drain;
pub(crate) use drain::drain_commands;
pub(crate) use drain::undrain;
pub(crate) use record_file::RecordFile;

use cyclamenwharf::admin::ChangeMessage;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::ProposalMessage;
use cyclamenwharf::admin::ProposeMessage;

use crate::admin_client::AdminClient;
use crate::command_error::CommandError;

/// Returns a random id for a change.
fn random_id() -> String {
    format!("change-{:016x}", rand::random::<u64>())
}

/// Proposes `edits` as one change.
async fn propose_edits(
    client: &AdminClient,
    id: &str,
    reason: &str,
    edits: Vec<EditMessage>,
) -> Result<ProposalMessage, CommandError> {
    let message = ProposeMessage {
        id: id.to_owned(),
        reason: reason.to_owned(),
        edits,
    };
    client.post("/v1/proposals", &message).await
}

/// Accepts the change `id`.
async fn accept_change(client: &AdminClient, id: &str) -> Result<ChangeMessage, CommandError> {
    let path = format!("/v1/proposals/{id}/accept");
    client.post_empty(&path).await
}
