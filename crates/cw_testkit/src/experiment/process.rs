//! What this process uses, as the system tells it.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// The system's clock ticks in a second, as Linux gives them to processes.
const TICKS: u64 = 100;
/// The size of a page, in bytes.
const PAGE: u64 = 4096;

/// Returns the processor time of this process's threads of a name, in user and system mode.
pub(super) fn cpu_of_threads(name: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    let ticks: u64 = tasks
        .flatten()
        .filter(|task| has_name(&task.path(), name))
        .filter_map(|task| ticks(&task.path()))
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS)
}

/// Returns the memory that this process has in use, in bytes.
pub(super) fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE
}

fn has_name(task: &Path, name: &str) -> bool {
    fs::read_to_string(task.join("comm")).is_ok_and(|text| text.trim() == name)
}

fn ticks(task: &Path) -> Option<u64> {
    let text = fs::read_to_string(task.join("stat")).ok()?;
    // The fields after the name, which may itself have spaces, begin with the state.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}
