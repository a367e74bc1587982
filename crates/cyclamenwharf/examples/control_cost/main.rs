//! What control costs an entry: bytes, messages and processor time by the number of entries and
//! targets, and calls to the key-value service by the number of entries.
//!
//! `cargo run --release --example control_cost -- WHAT` writes JSON to standard output, where
//! `WHAT` is `spread`, `calls` or `in-force`. The random loads are seeded.

mod calls;
mod in_force;
mod message;
mod spread;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

/// Entries and targets of each run: the share of the planned size grows.
const SIZES: [(usize, usize); 5] = [(6, 40), (41, 66), (102, 165), (205, 330), (410, 660)];

/// How often agents report by default.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// The numbers of entries at which calls are counted.
const PROCESSES: [usize; 4] = [4, 16, 64, 256];

#[tokio::main]
async fn main() {
    let what = std::env::args().nth(1);
    let report = match what.as_deref() {
        Some("spread") => spread_costs().await,
        Some("calls") => call_counts().await,
        Some("in-force") => json!({ "in_force": in_force::measure().await }),
        _ => {
            eprintln!("expected spread, calls or in-force");
            std::process::exit(2);
        }
    };
    let text = serde_json::to_string_pretty(&report).expect("JSON");
    println!("{text}");
}

async fn spread_costs() -> Value {
    let message = message::measure().await;
    let one = |size, period| spread::measure(size, period, &message);
    let mut spread: Vec<_> = SIZES.map(|size| one(size, REPORT_PERIOD)).into();
    spread.push(one(SIZES[SIZES.len() - 1], REPORT_PERIOD * 2));
    json!({ "message": message, "spread": spread })
}

async fn call_counts() -> Value {
    let mut calls = Vec::new();
    for processes in PROCESSES {
        calls.push(calls::measure(processes).await);
    }
    json!({ "key_value": calls })
}
