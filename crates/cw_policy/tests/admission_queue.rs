//! A property test of the bound on waiting in the fair queue, under random arrivals.
//!
//! `PROPTEST_CASES=100000` runs more cases, `CYCLAMENWHARF_SEED=2` uses another seed.

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

/// One in this many starts goes to the oldest ticket.
const OLDEST_FIRST_PERIOD: u64 = 8;

/// One step: a ticket arrives (rank, workspace, whether it resumes), or the next one starts.
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

/// Checks that each ticket starts once, within eight starts for itself and each older ticket.
fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut queue = FairQueue::default();
    let mut bounds: BTreeMap<AttemptId, u64> = BTreeMap::new();
    let mut starts = 0;
    // As many starts as there are steps empty the queue at the end.
    let steps = steps.iter().chain(std::iter::repeat_n(&None, steps.len()));
    for (number, step) in steps.enumerate() {
        match step {
            Some(kind) => {
                let ticket = ticket(number as u64, *kind);
                let older = queue.len() as u64;
                bounds.insert(ticket.id, starts + OLDEST_FIRST_PERIOD * (older + 1));
                queue.push(ticket);
            }
            None => {
                let Some(ticket) = queue.pop(false) else {
                    continue;
                };
                starts += 1;
                let bound = bounds.remove(&ticket.id);
                prop_assert!(bound.is_some(), "{} started twice", ticket.id);
                prop_assert!(
                    bound >= Some(starts),
                    "{} started after its bound",
                    ticket.id
                );
            }
        }
    }
    prop_assert!(bounds.is_empty());
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
