//! What control and decisions cost, as slopes from which the planned size is worked out.

mod calls;
mod choice;
mod in_force;
mod line;
mod message;
mod snapshot;
mod spread;

use std::time::Duration;

use serde_json::json;

use super::ExperimentError;
use super::Report;

use self::line::Line;

/// Entries and targets of each run: the share of the planned size grows.
const SIZES: [(usize, usize); 5] = [(6, 40), (41, 66), (102, 165), (205, 330), (410, 660)];

/// How often agents report, by default and at the planned size.
const REPORT_PERIODS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];

/// The numbers of entries at which calls to the key-value service are counted.
const PROCESSES: [usize; 4] = [4, 16, 64, 256];

/// The numbers of targets among which a choice is made.
const TARGETS: [usize; 5] = [40, 165, 330, 660, 1320];

/// The numbers of workspaces of a snapshot.
const WORKSPACES: [usize; 4] = [60, 120, 240, 420];

/// Measures the slopes of control.
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
    for line in choice::lines() {
        report.push(&line);
    }
    for line in snapshot::lines() {
        report.push(&line);
    }
    let mut points = Vec::new();
    for processes in PROCESSES {
        let count = calls::measure(processes).await;
        points.push((processes as f64, count.calls_per_second()));
    }
    let calls = "calls to the key-value service, all entries together";
    report.push(&Line::fit(calls, "calls/s", "entry", points));
    let message = message::measure().await;
    report.push(&message);
    for size in SIZES {
        report.push(&spread::measure(size, REPORT_PERIODS[0], &message));
    }
    let planned = SIZES[SIZES.len() - 1];
    report.push(&spread::measure(planned, REPORT_PERIODS[1], &message));
    Ok(report)
}

/// Measures how long an accepted change takes to be in force everywhere.
///
/// # Errors
///
/// Fails when the report cannot be written.
pub async fn in_force() -> Result<Report, ExperimentError> {
    let setup = json!({ "entries": 24 });
    let mut report = Report::new("in-force", setup);
    for row in in_force::measure().await {
        report.push(&row);
    }
    Ok(report)
}
