//! Fuzz test of the generation state machine with the real attempt table, over a simulated network
//! with injected faults.
//!
//! An engine never generates the same token twice, and each token encodes a digest of the output
//! that it continues, so any missing, repeated or mixed token is detected. `CW_FUZZ_CASES` and
//! `CW_FUZZ_SEED` set the number of cases and the seed; a failing case is printed with its
//! operations.

mod generation_world;

use cw_policy::GenerationLimits;
use cw_policy::GenerationPlan;
use generation_world::Op;
use generation_world::TARGETS;
use generation_world::World;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use std::cell::Cell;
use std::time::Duration;

/// The default number of operation sequences.
const CASES: u32 = 800;

/// The exclusive upper bound of the length of a sequence.
const MAX_OPS: usize = 120;

fn from_env<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn op() -> impl Strategy<Value = Op> {
    let link = || 0..8_usize;
    let target = || 0..TARGETS;
    prop_oneof![
        30 => link().prop_map(Op::Deliver),
        20 => target().prop_map(Op::StepEngine),
        8 => (50..700_u64).prop_map(Op::AdvanceTime),
        4 => link().prop_map(Op::DeliverCancel),
        2 => link().prop_map(Op::LoseCancel),
        2 => link().prop_map(Op::BreakLink),
        2 => link().prop_map(Op::SilenceLink),
        2 => link().prop_map(Op::RepeatFrame),
        4 => link().prop_map(Op::SwapFrames),
        2 => link().prop_map(Op::RepeatDispatch),
        2 => target().prop_map(Op::KillEngine),
        2 => target().prop_map(Op::TogglePause),
        1 => target().prop_map(Op::KillAgent),
        4 => target().prop_map(Op::RestartAgent),
        3 => target().prop_map(Op::Report),
        1 => (0..3_usize).prop_map(Op::Disconnect),
        4 => (0..3_usize, prop_oneof![4 => Just(0_u8), 2 => 1..4_u8])
            .prop_map(|(at, fault)| Op::AnswerStore(at, fault)),
        1 => Just(Op::ApplyLateWrite),
        1 => Just(Op::CallAgain),
        1 => (0..8_usize).prop_map(Op::KillEntry),
        2 => (0..8_usize, any::<bool>())
            .prop_map(|(at, with_output)| Op::Reconnect(at, with_output)),
    ]
}

fn plans() -> Vec<(GenerationPlan, GenerationLimits)> {
    let patience = Duration::from_secs(10);
    let hedged = GenerationLimits::default();
    let unhedged = GenerationLimits {
        hedges: 1,
        link_timeout: Duration::from_millis(1200),
        stall_timeout: Duration::from_millis(2000),
        ..GenerationLimits::default()
    };
    vec![
        (GenerationPlan::generate(patience), hedged.clone()),
        (GenerationPlan::generate(patience), unhedged),
        (
            GenerationPlan::generate(patience).with_idempotent(false),
            hedged.clone(),
        ),
        (
            GenerationPlan::generate(patience).with_idempotent(false),
            hedged,
        ),
    ]
}

fn run(ops: &[Op], complete: &Cell<usize>) -> Result<(), TestCaseError> {
    let mut world = World::new(plans());
    for &op in ops {
        world.apply(op);
        world.check().map_err(TestCaseError::fail)?;
    }
    world.settle();
    world.check_settled().map_err(TestCaseError::fail)?;
    complete.set(complete.get() + world.complete_count());
    Ok(())
}

#[rstest]
fn no_caller_gets_a_wrong_output_and_nothing_runs_twice_that_may_not() {
    let seed: u64 = from_env("CW_FUZZ_SEED", 1);
    let cases = from_env("CW_FUZZ_CASES", CASES);
    println!("seed {seed}, {cases} cases");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 1..MAX_OPS);
    let complete = Cell::new(0);

    let result = runner.run(&ops, |ops| run(&ops, &complete));

    if let Err(fault) = result {
        panic!("seed {seed}: {fault}");
    }
    // Requires more complete outputs than cases, so that refusals do not hide the injected faults.
    assert!(
        complete.get() > cases as usize,
        "{} complete outputs",
        complete.get()
    );
}
