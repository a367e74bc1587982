//! The costs of control traffic and routing decisions, as linear fits for capacity planning.

mod call_rate;
mod dissemination;
mod linear_fit;
mod message_cost;
mod propagation;
mod snapshot;
mod target_choice;

use std::time::Duration;

use serde_json::json;

use super::ExperimentError;
use super::Report;

use self::linear_fit::LinearFit;

/// The numbers of entries and targets of each run; the last is the planned size.
const SIZES: [(usize, usize); 5] = [(6, 40), (41, 66), (102, 165), (205, 330), (410, 660)];

/// The intervals between an agent's reports, by default and at the planned size.
const REPORT_PERIODS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];

/// The numbers of entries for which calls to the key-value service are counted.
const ENTRY_COUNTS: [usize; 4] = [4, 16, 64, 256];

/// The numbers of targets among which the router chooses.
const TARGET_COUNTS: [usize; 5] = [40, 165, 330, 660, 1320];

/// The numbers of workspaces in a snapshot.
const WORKSPACE_COUNTS: [usize; 4] = [60, 120, 240, 420];

/// Measures how the costs of control traffic and decisions grow with the deployment.
///
/// # Errors
///
/// Fails when a control state does not start.
pub async fn capacity() -> Result<Report, ExperimentError> {
    let setup = json!({
        "sizes": SIZES,
        "seeded": true,
        "processes": "one process; entries of the spread are state machines without sockets",
    });
    let mut report = Report::new("capacity", setup);
    for fit in target_choice::fits() {
        report.push(&fit);
    }
    for fit in snapshot::fits() {
        report.push(&fit);
    }
    let mut points = Vec::new();
    for processes in ENTRY_COUNTS {
        let rate = call_rate::measure(processes).await;
        points.push((processes as f64, rate.calls_per_second()));
    }
    let calls = "calls to the key-value service, all entries together";
    report.push(&LinearFit::fit(calls, "calls/s", "entry", points));
    let message = message_cost::measure().await;
    report.push(&message);
    for size in SIZES {
        report.push(&dissemination::measure(size, REPORT_PERIODS[0], &message));
    }
    let planned = SIZES[SIZES.len() - 1];
    report.push(&dissemination::measure(
        planned,
        REPORT_PERIODS[1],
        &message,
    ));
    Ok(report)
}

/// Measures how long an accepted configuration change takes to reach every entry.
///
/// # Errors
///
/// Fails when the report cannot be written.
pub async fn in_force() -> Result<Report, ExperimentError> {
    let setup = json!({ "entries": 24 });
    let mut report = Report::new("in-force", setup);
    for row in propagation::measure().await {
        report.push(&row);
    }
    Ok(report)
}
