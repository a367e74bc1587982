//! The bound on waiting in the fair queue, under random arrivals.
//!
//! `PROPTEST_CASES=100000` makes a longer run, `CYCLAMENWHARF_SEED=2` another one.

use std::collections::BTreeMap;

use cw_policy::FairQueue;
use cw_policy::Ticket;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::GenerationId;
use cw_types::Time;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

/// Every how many starts the oldest ticket goes first.
const TURNS: u64 = 8;

/// One step: a ticket of a rank and workspace arrives, or one starts.
type Step = Option<(u8, u8, bool)>;

fn ticket(number: u64, (rank, workspace, resumed): (u8, u8, bool)) -> Ticket {
    Ticket {
        id: AttemptId {
            generation: GenerationId(number.into()),
            attempt: AttemptNo(1),
        },
        workspace: format!("w{workspace}").parse().unwrap(),
        weight: 1 + u32::from(workspace),
        rank,
        resumed,
        deadline: Time(u64::MAX),
        tokens: 0,
        bytes: 1,
    }
}

/// Checks that each ticket starts once, within eight turns of those older than it.
fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut queue = FairQueue::default();
    let mut latest: BTreeMap<AttemptId, u64> = BTreeMap::new();
    let mut starts = 0;
    // All that is left starts at the end.
    let steps = steps.iter().chain(std::iter::repeat_n(&None, steps.len()));
    for (number, step) in steps.enumerate() {
        match step {
            Some(kind) => {
                let ticket = ticket(number as u64, *kind);
                let older = queue.len() as u64;
                latest.insert(ticket.id, starts + TURNS * (older + 1));
                queue.push(ticket);
            }
            None => {
                let Some(ticket) = queue.pop(false) else {
                    continue;
                };
                starts += 1;
                let bound = latest.remove(&ticket.id);
                prop_assert!(bound.is_some(), "{} started twice", ticket.id);
                prop_assert!(bound >= Some(starts), "{} starved", ticket.id);
            }
        }
    }
    prop_assert!(latest.is_empty());
    prop_assert_eq!(queue.bytes(), 0);
    Ok(())
}

#[rstest]
fn no_ticket_waits_longer_than_the_bound() {
    let seed = std::env::var("CYCLAMENWHARF_SEED").ok();
    let seed: u64 = seed.and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed: {seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let arrival = (0..4_u8, 0..3_u8, prop::bool::weighted(0.1));
    let step = prop_oneof![
        3 => arrival.prop_map(Some),
        2 => Just(None),
    ];

    let run = TestRunner::new_with_rng(config, rng).run(&vec(step, 1..300), |steps| check(&steps));

    if let Err(error) = run {
        panic!("{error}");
    }
}
