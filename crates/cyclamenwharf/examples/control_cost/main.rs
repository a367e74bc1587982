//! What control costs an entry: bytes, messages and processor time by the number of entries and
//! targets, and calls to the key-value service by the number of entries.
//!
//! `cargo run --release --example control_cost` writes JSON to standard output. The random loads
//! are seeded.

mod calls;
mod message;
mod spread;

use serde_json::json;

/// Entries and targets of each run: the share of the planned size grows.
const SIZES: [(usize, usize); 5] = [(6, 40), (41, 66), (102, 165), (205, 330), (410, 660)];

/// The numbers of entries at which calls are counted.
const PROCESSES: [usize; 4] = [4, 16, 64, 256];

#[tokio::main]
async fn main() {
    let message = message::measure().await;
    let spread: Vec<_> = SIZES
        .into_iter()
        .map(|(entries, targets)| spread::measure(entries, targets, &message))
        .collect();
    let mut calls = Vec::new();
    for processes in PROCESSES {
        calls.push(calls::measure(processes).await);
    }
    let report = json!({ "message": message, "spread": spread, "key_value": calls });
    let text = serde_json::to_string_pretty(&report).expect("JSON");
    println!("{text}");
}
