//! A property test of the attempt table: random histories checked against the oracle.
//!
//! `PROPTEST_CASES=100000` runs more cases, `CYCLAMENWHARF_SEED=2` uses another seed.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use super::world::Op;
use super::world::World;

/// The default number of histories, which `PROPTEST_CASES` overrides.
const DEFAULT_CASES: u32 = 1024;
/// The maximum number of steps in a history.
const STEPS_MAX: usize = 160;
/// The maximum of the more frequent pauses, in milliseconds.
const SHORT_PAUSE_MS: u32 = 6_000;
/// The maximum of all pauses, in milliseconds, which is longer than a tombstone is kept.
const LONG_PAUSE_MS: u32 = 130_000;

fn op() -> impl Strategy<Value = Op> {
    let n = any::<u8>;
    prop_oneof![
        6 => n().prop_map(Op::Send),
        2 => n().prop_map(Op::Cancel),
        8 => n().prop_map(Op::Deliver),
        1 => n().prop_map(Op::Drop),
        2 => n().prop_map(Op::Accept),
        1 => n().prop_map(Op::Refuse),
        6 => (n(), 1..90_u8).prop_map(|(n, count)| Op::Produce(n, count)),
        2 => n().prop_map(Op::Finish),
        1 => n().prop_map(Op::Disconnect),
        1 => Just(Op::Crash),
        2 => Just(Op::Up),
        1 => any::<bool>().prop_map(Op::Leaving),
        8 => n().prop_map(Op::Read),
        2 => n().prop_map(Op::Detach),
        2 => n().prop_map(Op::Ack),
        2 => (0..SHORT_PAUSE_MS).prop_map(Op::Wait),
        1 => (0..LONG_PAUSE_MS).prop_map(Op::Wait),
        2 => (n(), any::<bool>()).prop_map(|(n, own)| Op::Attach(n, own)),
        1 => any::<bool>().prop_map(Op::Unload),
        2 => Just(Op::Report),
        1 => Just(Op::Restart),
    ]
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[rstest]
fn random_histories_keep_the_invariants() {
    let seed = env_number("CYCLAMENWHARF_SEED").unwrap_or(1);
    println!("seed: {seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let cases = env_number("PROPTEST_CASES").unwrap_or(DEFAULT_CASES.into());
    let config = ProptestConfig {
        cases: u32::try_from(cases).unwrap_or(u32::MAX),
        failure_persistence: None,
        ..ProptestConfig::default()
    };

    let history = |ops: Vec<Op>| {
        let mut world = World::new();
        for op in &ops {
            world.step(op).map_err(TestCaseError::fail)?;
        }
        world.drain().map_err(TestCaseError::fail)
    };

    let result = TestRunner::new_with_rng(config, rng).run(&vec(op(), 1..STEPS_MAX), history);
    if let Err(error) = result {
        panic!("{error}");
    }
}
