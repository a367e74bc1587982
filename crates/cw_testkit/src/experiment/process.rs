//! The processor time and memory of this process, read from `/proc`.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Clock ticks per second, the unit in which Linux reports processor time to processes.
const TICKS_PER_SECOND: u64 = 100;
/// The size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Returns the user and system processor time of this process's threads with the given name.
pub(super) fn cpu_of_threads(name: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    let ticks: u64 = tasks
        .flatten()
        .filter(|task| has_name(&task.path(), name))
        .filter_map(|task| cpu_ticks(&task.path()))
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Returns the resident set size of this process, in bytes.
pub(super) fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn has_name(task: &Path, name: &str) -> bool {
    fs::read_to_string(task.join("comm")).is_ok_and(|text| text.trim() == name)
}

fn cpu_ticks(task: &Path) -> Option<u64> {
    let text = fs::read_to_string(task.join("stat")).ok()?;
    // The thread name can contain spaces and parentheses, so the fields are counted from the last
    // `)`. The first one is the state.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}
