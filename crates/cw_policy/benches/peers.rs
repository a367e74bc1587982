//! Measures what one message of another entry and one new list of entries cost, and prints the results as
//! JSON.
//!
//! Run with `cargo bench -p cw_policy --bench peers`. A message tells load at a tenth of the targets, of
//! which two shares differ from the message before.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use cw_policy::forward::Fleet;
use cw_policy::forward::FleetLimits;
use cw_policy::forward::Listing;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::CrashNews;
use cw_wire::OutstandingWork;
use cw_wire::TargetHash;
use cw_wire::TargetShare;
use serde_json::json;

/// The measured numbers of entries and targets.
const SIZES: [(u32, u32); 4] = [(4, 30), (23, 84), (103, 294), (410, 660)];

/// The number of timed messages of each other entry.
const ROUNDS: u32 = 20;

/// The number of timed lists of entries.
const LISTS: u32 = 20;

fn target(number: u32) -> TargetId {
    let name = format!("i-{number:010x}");
    name.parse().expect("a valid name")
}

fn host(number: u32) -> HostId {
    let name = format!("edge-hall-heverlee-{number}");
    name.parse().expect("a valid name")
}

fn fleet(targets: u32) -> Fleet {
    let mut fleet = Fleet::new(FleetLimits::default());
    for number in 0..targets {
        let listing = Listing {
            id: target(number),
            service: "engines".parse().expect("a valid name"),
            address: ([127, 0, 0, 1], 80).into(),
            zone: "zone".parse().expect("a valid name"),
            slots: 16,
            version: "v1".parse().unwrap(),
            leaving: false,
            started: Some(1),
        };
        fleet.record_listing(Time::default(), listing);
    }
    fleet
}

/// Returns a message of an entry, in which two shares depend on the round.
fn message(entry: u32, round: u32, targets: u32) -> OutstandingWork {
    let share = |number: u32| {
        let target = target((entry * 7 + number * 10) % targets);
        let runs = match number < 2 {
            true => round % 3,
            false => 1,
        };
        let share = TargetShare {
            runs,
            unread: 0,
            copies: 0,
            tokens: 9000,
        };
        (TargetHash::of_incarnation(&target, Incarnation(1)), share)
    };
    OutstandingWork {
        host: host(entry),
        incarnation: Incarnation(1),
        sequence: u64::from(round) + 1,
        shares: (0..targets / 10).map(share).collect(),
        lost: Vec::new(),
        prompts: Vec::new(),
        origins: Vec::new(),
        clock: None,
        config: 0,
        directory: None,
        crashes: CrashNews::default(),
        limits: Vec::new(),
        demands: None,
        rollouts: Vec::new(),
    }
}

fn main() {
    let mut rows = Vec::new();
    for (entries, targets) in SIZES {
        let mut fleet = fleet(targets);
        let hosts: Vec<HostId> = (1..entries).map(host).collect();
        let start = Instant::now();
        for list in 0..LISTS {
            let known = hosts.len() - (list as usize) % 2;
            fleet.set_entries(&host(0), hosts.iter().take(known).cloned());
        }
        let set_entries = start.elapsed() / LISTS;
        let mut receive = Duration::ZERO;
        let mut bytes = 0;
        for round in 0..ROUNDS {
            let messages: Vec<_> = (1..entries).map(|e| message(e, round, targets)).collect();
            bytes = cw_wire::encode(&messages[0])
                .expect("an encodable message")
                .len();
            let start = Instant::now();
            for message in &messages {
                black_box(fleet.receive_peer(Time::default(), message));
            }
            // The first messages of all entries are not like the others.
            if round > 0 {
                receive += start.elapsed();
            }
        }
        let messages = (ROUNDS - 1) * (entries - 1);
        rows.push(json!({
            "entries": entries,
            "targets": targets,
            "set_entries_us": set_entries.as_secs_f64() * 1e6,
            "receive_peer_us": receive.as_secs_f64() * 1e6 / f64::from(messages),
            "message_bytes": bytes,
        }));
    }
    println!("{}", json!({ "peers": rows }));
}
