//! Formats responses of the admin API as tables.

use cyclamenwharf::admin::ChangeMessage;
use cyclamenwharf::admin::DiffMessage;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::ProposalMessage;
use cyclamenwharf::admin::RecordMessage;
use cyclamenwharf::admin::ReviewMessage;

use crate::output_format::Table;

/// Returns the key of the record that an edit changes, prefixed with `-` if it removes the record.
pub(super) fn edit_label(edit: &EditMessage) -> String {
    match edit {
        EditMessage::Put(record) => format!("{}/{}", record.kind, record.name),
        EditMessage::Remove(key) => format!("-{key}"),
    }
}

pub(super) fn proposal_table(proposals: &[ProposalMessage]) -> Table {
    let mut table = Table::new([
        "CHANGE",
        "STATUS",
        "PROPOSER",
        "DECIDED BY",
        "RECORDS",
        "REASON",
    ]);
    for proposal in proposals {
        let labels: Vec<_> = proposal.edits.iter().map(edit_label).collect();
        table.add_row([
            proposal.id.clone(),
            format!("{:?}", proposal.status).to_lowercase(),
            proposal.proposer.clone(),
            proposal.decided_by.clone().unwrap_or_default(),
            labels.join(" "),
            proposal.reason.clone(),
        ]);
    }
    table
}

pub(super) fn change_table(changes: &[ChangeMessage]) -> Table {
    let mut table = Table::new([
        "REVISION", "CHANGE", "PROPOSER", "ACCEPTER", "AT", "RECORDS",
    ]);
    for change in changes {
        table.add_row([
            change.revision.to_string(),
            change.id.clone(),
            change.proposer.clone(),
            change.accepter.clone(),
            change.accepted_at.to_string(),
            change.touched.join(" "),
        ]);
    }
    table
}

pub(super) fn record_table(records: &[RecordMessage]) -> Table {
    let mut table = Table::new(["RECORD", "SCHEMA", "REVISION", "BODY"]);
    for record in records {
        table.add_row([
            format!("{}/{}", record.kind, record.name),
            record.schema.unwrap_or_default().to_string(),
            record.revision.unwrap_or_default().to_string(),
            body_json(record),
        ]);
    }
    table
}

pub(super) fn review_table(review: &ReviewMessage) -> Table {
    let mut table = diff_table(&review.differences);
    let refusal = review.refusal.clone();
    table.add_row([
        "WOULD BE".to_owned(),
        refusal.map_or("accepted".to_owned(), |reason| format!("refused: {reason}")),
    ]);
    table
}

/// Returns a table with one row for each field that differs.
pub(super) fn diff_table(differences: &[DiffMessage]) -> Table {
    let mut table = Table::new(["RECORD", "CHANGE"]);
    for difference in differences {
        for line in diff_lines(difference) {
            table.add_row([difference.key.clone(), line]);
        }
    }
    table
}

fn diff_lines(difference: &DiffMessage) -> Vec<String> {
    match (&difference.before, &difference.after) {
        (None, Some(after)) => vec![format!("+ {}", body_json(after))],
        (Some(before), None) => vec![format!("- {}", body_json(before))],
        (Some(before), Some(after)) => field_diffs(before, after),
        (None, None) => Vec::new(),
    }
}

fn field_diffs(before: &RecordMessage, after: &RecordMessage) -> Vec<String> {
    let mut lines = Vec::new();
    if before.schema != after.schema {
        let schema = |record: &RecordMessage| record.schema.unwrap_or_default();
        lines.push(format!("schema {} -> {}", schema(before), schema(after)));
    }
    let names = before.body.keys().chain(after.body.keys());
    let names: std::collections::BTreeSet<_> = names.collect();
    for name in names {
        match (before.body.get(name), after.body.get(name)) {
            (Some(old), Some(new)) if old != new => lines.push(format!("{name}: {old} -> {new}")),
            (Some(old), None) => lines.push(format!("- {name}: {old}")),
            (None, Some(new)) => lines.push(format!("+ {name}: {new}")),
            _ => {}
        }
    }
    lines
}

fn body_json(record: &RecordMessage) -> String {
    serde_json::to_string(&record.body).unwrap_or_default()
}
