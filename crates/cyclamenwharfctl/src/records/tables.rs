//! Answers as tables.

use cyclamenwharf::admin::ChangeMessage;
use cyclamenwharf::admin::DiffMessage;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::ProposalMessage;
use cyclamenwharf::admin::RecordMessage;
use cyclamenwharf::admin::ReviewMessage;

use crate::output::Table;

/// Returns the key of the record that an edit touches.
pub(super) fn key_of(edit: &EditMessage) -> String {
    match edit {
        EditMessage::Put(record) => format!("{}/{}", record.kind, record.name),
        EditMessage::Remove(key) => format!("-{key}"),
    }
}

pub(super) fn of_proposals(proposals: &[ProposalMessage]) -> Table {
    let mut table = Table::new([
        "CHANGE",
        "STATUS",
        "PROPOSER",
        "DECIDED BY",
        "RECORDS",
        "REASON",
    ]);
    for proposal in proposals {
        let keys: Vec<_> = proposal.edits.iter().map(key_of).collect();
        table.row([
            proposal.id.clone(),
            format!("{:?}", proposal.status).to_lowercase(),
            proposal.proposer.clone(),
            proposal.decided_by.clone().unwrap_or_default(),
            keys.join(" "),
            proposal.reason.clone(),
        ]);
    }
    table
}

pub(super) fn of_changes(changes: &[ChangeMessage]) -> Table {
    let mut table = Table::new([
        "REVISION", "CHANGE", "PROPOSER", "ACCEPTER", "AT", "RECORDS",
    ]);
    for change in changes {
        table.row([
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

pub(super) fn of_records(records: &[RecordMessage]) -> Table {
    let mut table = Table::new(["RECORD", "SCHEMA", "REVISION", "BODY"]);
    for record in records {
        table.row([
            format!("{}/{}", record.kind, record.name),
            record.schema.unwrap_or_default().to_string(),
            record.revision.unwrap_or_default().to_string(),
            body(record),
        ]);
    }
    table
}

pub(super) fn of_review(review: &ReviewMessage) -> Table {
    let mut table = of_diffs(&review.differences);
    let refusal = review.refusal.clone();
    table.row([
        "WOULD BE".to_owned(),
        refusal.map_or("accepted".to_owned(), |why| format!("refused: {why}")),
    ]);
    table
}

/// Returns a line for each field that differs.
pub(super) fn of_diffs(differences: &[DiffMessage]) -> Table {
    let mut table = Table::new(["RECORD", "CHANGE"]);
    for difference in differences {
        for line in lines(difference) {
            table.row([difference.key.clone(), line]);
        }
    }
    table
}

fn lines(difference: &DiffMessage) -> Vec<String> {
    match (&difference.before, &difference.after) {
        (None, Some(after)) => vec![format!("+ {}", body(after))],
        (Some(before), None) => vec![format!("- {}", body(before))],
        (Some(before), Some(after)) => fields(before, after),
        (None, None) => Vec::new(),
    }
}

fn fields(before: &RecordMessage, after: &RecordMessage) -> Vec<String> {
    let mut found = Vec::new();
    if before.schema != after.schema {
        let version = |record: &RecordMessage| record.schema.unwrap_or_default();
        found.push(format!("schema {} -> {}", version(before), version(after)));
    }
    let names = before.body.keys().chain(after.body.keys());
    let names: std::collections::BTreeSet<_> = names.collect();
    for name in names {
        match (before.body.get(name), after.body.get(name)) {
            (Some(old), Some(new)) if old != new => found.push(format!("{name}: {old} -> {new}")),
            (Some(old), None) => found.push(format!("- {name}: {old}")),
            (None, Some(new)) => found.push(format!("+ {name}: {new}")),
            _ => {}
        }
    }
    found
}

fn body(record: &RecordMessage) -> String {
    serde_json::to_string(&record.body).unwrap_or_default()
}
