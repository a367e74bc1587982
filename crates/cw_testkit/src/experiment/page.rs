//! Writes the tables of reports into the Markdown page of measurements.

use std::fmt::Write;
use std::path::Path;

use serde_json::Value;

use super::ExperimentError;
use super::Report;

/// A column: its heading, and the JSON pointer to its value in a row.
type Column = (&'static str, &'static str);

/// The columns of the experiments on recovery from faults.
const RECOVERY: &[Column] = &[
    ("engines", "/engines"),
    ("zones", "/zones"),
    ("fault", "/fault"),
    ("recovery", "/recovery"),
    ("streams hit", "/hit"),
    ("resume p50 ms", "/resume/p50_ms"),
    ("p95 ms", "/resume/p95_ms"),
    ("max ms", "/resume/max_ms"),
    ("within 4 s", "/met"),
    ("extra output", "/extra_output"),
    ("extra prompt", "/extra_prompt"),
    ("delivered", "/tally/delivered"),
    ("missing", "/tally/missing"),
    ("repeated", "/tally/repeated"),
    ("mixed", "/tally/mixed"),
    ("lost", "/tally/lost"),
];
/// The columns of the overhead experiment.
const OVERHEAD: &[Column] = &[
    ("measure", "/measure"),
    ("direct p50 ms", "/direct/p50_ms"),
    ("through p50 ms", "/through/p50_ms"),
    ("added p50 ms", "/added_p50_ms"),
    ("added p95 ms", "/added_p95_ms"),
    ("tokens/s", "/tokens_per_s"),
    ("tokens/s per core", "/tokens_per_core_s"),
    ("bytes a stream", "/added_bytes"),
    ("aim met", "/met"),
];
/// The columns of linear fits, and of the cost of control traffic for an entry.
const CAPACITY: &[Column] = &[
    ("measure", "/measure"),
    ("unit", "/unit"),
    ("per", "/per"),
    ("at none", "/intercept"),
    ("slope", "/slope"),
    ("residual", "/residual"),
    ("points", "/points"),
    ("HTTP bytes a message", "/overhead_bytes"),
    ("HTTP us a message", "/cpu_micros"),
    ("entries", "/entries"),
    ("targets", "/targets"),
    ("report ms", "/report_ms"),
    ("batch ms", "/period_ms"),
    ("bytes/s", "/bytes_per_second"),
    ("of them reports", "/report_bytes_per_second"),
    ("worst bytes/s", "/worst_bytes_per_second"),
    ("messages/s", "/messages_per_second"),
    ("share of a core", "/total_share"),
    ("of it view", "/view_share"),
    ("age of a load p50 ms", "/age_p50_ms"),
    ("max ms", "/age_max_ms"),
];
/// The columns of the propagation of configuration changes.
const PROPAGATION: &[Column] = &[
    ("case", "/case"),
    ("entries", "/entries"),
    ("changes", "/changes"),
    ("p50 ms", "/p50_ms"),
    ("max ms", "/max_ms"),
];
/// The columns of the experiments under open-loop load.
const LOAD: &[Column] = &[
    ("policy", "/policy"),
    ("entries", "/entries"),
    ("admission", "/admission"),
    ("of capacity", "/demand_of_capacity"),
    ("longest gap ms", "/longest_gap_ms"),
    ("offered/s", "/load/offered_per_s"),
    ("first token p50 ms", "/load/first_token/p50_ms"),
    ("p95 ms", "/load/first_token/p95_ms"),
    ("p99 ms", "/load/first_token/p99_ms"),
    ("between tokens p95 ms", "/load/between_tokens/p95_ms"),
    ("prefix hits", "/load/prefix_hit_rate"),
    ("goodput/s", "/load/goodput_per_s"),
    ("of offered", "/load/goodput_of_offered"),
    ("Jain", "/load/fairness"),
    ("max/mean", "/load/max_over_mean"),
    ("refused", "/load/refused"),
    ("refused but run", "/load/refused_but_run"),
    ("computed/delivered", "/load/computed_per_delivered"),
    ("wrong tokens", "/load/tally/mixed"),
];

/// Replaces the section of a report on a page, or appends it if the page has none.
///
/// # Errors
///
/// Fails when the page cannot be read or written.
pub fn write_table(page: &Path, report: &Report) -> Result<(), ExperimentError> {
    let begin = format!("<!-- begin {} -->", report.experiment);
    let end = format!("<!-- end {} -->", report.experiment);
    let text = match std::fs::read_to_string(page) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => String::new(),
        text => text.map_err(ExperimentError::new)?,
    };
    let section = format!("{begin}\n{}\n{end}", section(report));
    let new = match (text.find(&begin), text.find(&end)) {
        (Some(from), Some(to)) => {
            format!("{}{section}{}", &text[..from], &text[to + end.len()..])
        }
        _ => format!("{}\n{section}\n", text.trim_end()),
    };
    std::fs::write(page, new).map_err(ExperimentError::new)
}

/// Formats a report as a Markdown section, without the columns that no row has a value for.
fn section(report: &Report) -> String {
    let columns: Vec<Column> = columns(&report.experiment)
        .iter()
        .filter(|column| {
            report
                .rows
                .iter()
                .any(|row| row.pointer(column.1).is_some())
        })
        .copied()
        .collect();
    let headings: Vec<&str> = columns.iter().map(|column| column.0).collect();
    let mut text = format!("## {}\n\n`{}`\n\n", report.experiment, report.command);
    let _ = writeln!(text, "Setup: `{}`\n", report.setup);
    let _ = writeln!(text, "| {} |", headings.join(" | "));
    let _ = writeln!(text, "|{}", "---|".repeat(headings.len()));
    for row in &report.rows {
        let cells: Vec<String> = columns.iter().map(|column| cell(row, column.1)).collect();
        let _ = writeln!(text, "| {} |", cells.join(" | "));
    }
    text
}

fn columns(experiment: &str) -> &'static [Column] {
    match experiment {
        "engine-death" | "faults" => RECOVERY,
        "overhead" => OVERHEAD,
        "capacity" => CAPACITY,
        "in-force" => PROPAGATION,
        _ => LOAD,
    }
}

fn cell(row: &Value, pointer: &str) -> String {
    match row.pointer(pointer) {
        None => "-".to_owned(),
        Some(Value::Bool(true)) => "yes".to_owned(),
        Some(Value::Bool(false)) => "no".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Number(number)) => match number.as_u64() {
            Some(whole) => whole.to_string(),
            None => format_rounded(number.as_f64().unwrap_or_default()),
        },
        Some(other) => other.to_string(),
    }
}

/// Formats a number with fewer decimal places the larger it is.
fn format_rounded(number: f64) -> String {
    match number.abs() {
        magnitude if magnitude >= 100.0 => format!("{number:.0}"),
        magnitude if magnitude >= 1.0 => format!("{number:.2}"),
        _ => format!("{number:.4}"),
    }
}
