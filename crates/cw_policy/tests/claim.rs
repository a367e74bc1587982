//! Tests that at most one writer acquires a claim, whichever replies of the key-value service are
//! lost.

use cw_policy::Claim;
use cw_policy::ClaimEvent;
use cw_policy::ClaimId;
use cw_policy::ClaimRevision;
use cw_policy::ClaimState;
use cw_policy::ClaimStep;
use cw_policy::ClaimWrite;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::GenerationId;
use cw_types::Incarnation;
use cw_types::WorkspaceId;
use cw_wire::Fingerprint;
use cw_wire::Stamp;
use proptest::prelude::*;
use rstest::rstest;

fn claim(id: u64) -> Claim {
    Claim {
        id: ClaimId(id),
        fingerprint: Fingerprint(7),
        attempt: AttemptId {
            generation: GenerationId(u128::from(id)),
            attempt: AttemptNo(1),
        },
        target: "t".parse().expect("a valid name"),
        agent: "127.0.0.1:1".parse().expect("a valid address"),
        stamp: Stamp {
            incarnation: Incarnation(1),
            age: std::time::Duration::ZERO,
        },
        version: None,
        state: ClaimState::Open,
    }
}

fn current(id: u64, revision: i64) -> ClaimEvent {
    ClaimEvent::Current(Some((Box::new(claim(id)), ClaimRevision(revision))))
}

#[rstest]
fn a_written_claim_is_acquired() {
    let mut write = ClaimWrite::new(claim(1), None);
    write.start();

    let step = write.on_event(ClaimEvent::Written(ClaimRevision(4)));

    assert_eq!(step, ClaimStep::Acquired(ClaimRevision(4)));
}

#[rstest]
fn a_lost_reply_is_resolved_by_reading_the_key() {
    let mut write = ClaimWrite::new(claim(1), None);
    write.start();

    assert_eq!(write.on_event(ClaimEvent::Unconfirmed), ClaimStep::Read);
    assert_eq!(
        write.on_event(current(1, 4)),
        ClaimStep::Acquired(ClaimRevision(4))
    );
}

#[rstest]
fn a_lost_write_is_retried() {
    let mut write = ClaimWrite::new(claim(1), None);
    let first = write.start();
    write.on_event(ClaimEvent::Unconfirmed);

    let step = write.on_event(ClaimEvent::Current(None));

    assert_eq!(step, first);
}

#[rstest]
fn another_claim_is_a_conflict() {
    let mut write = ClaimWrite::new(claim(1), None);
    write.start();

    let step = write.on_event(current(2, 4));

    let conflict = ClaimStep::Conflict(Box::new(claim(2)), ClaimRevision(4));
    assert_eq!(step, conflict);
}

#[rstest]
fn an_expired_claim_is_not_replaced() {
    let mut write = ClaimWrite::new(claim(1), Some(ClaimRevision(3)));
    write.start();

    assert_eq!(
        write.on_event(ClaimEvent::Current(None)),
        ClaimStep::Unavailable
    );
}

#[rstest]
fn keys_of_different_workspaces_differ() {
    let key = |workspace: &str| {
        let workspace: WorkspaceId = workspace.parse().expect("a valid name");
        Claim::key(&workspace, "k")
    };

    assert_ne!(key("a"), key("b"));
    assert!(!key("a").contains("/k"));
}

/// A store with one key and injected faults.
#[derive(Default)]
struct Store {
    value: Option<(Claim, ClaimRevision)>,
    revision: i64,
}

impl Store {
    /// Answers `step`. Fault 0 is none, 1 loses the reply, 2 loses the call, and 3 refuses a write.
    fn answer(&mut self, step: &ClaimStep, fault: u8) -> ClaimEvent {
        if fault == 2 {
            return ClaimEvent::Unconfirmed;
        }
        let event = match step {
            ClaimStep::Swap { expected, claim } => self.swap(*expected, claim, fault),
            _ => ClaimEvent::Current(self.boxed_value()),
        };
        match fault {
            1 => ClaimEvent::Unconfirmed,
            _ => event,
        }
    }

    fn swap(&mut self, expected: Option<ClaimRevision>, claim: &Claim, fault: u8) -> ClaimEvent {
        if fault == 3 {
            return ClaimEvent::Unavailable;
        }
        if self.value.as_ref().map(|stored| stored.1) != expected {
            return ClaimEvent::Current(self.boxed_value());
        }
        self.revision += 1;
        let revision = ClaimRevision(self.revision);
        self.value = Some((claim.clone(), revision));
        ClaimEvent::Written(revision)
    }

    fn boxed_value(&self) -> Option<(Box<Claim>, ClaimRevision)> {
        let stored = self.value.clone();
        stored.map(|(claim, revision)| (Box::new(claim), revision))
    }
}

fn runner() -> proptest::test_runner::TestRunner {
    use proptest::test_runner::Config;
    use proptest::test_runner::RngAlgorithm;
    use proptest::test_runner::TestRng;
    println!("seed 1, 2000 cases");
    let config = Config {
        cases: 2000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    proptest::test_runner::TestRunner::new_with_rng(config, rng)
}

#[rstest]
fn at_most_one_of_several_writers_acquires_a_claim() {
    let turns = proptest::collection::vec((0..3_usize, 0..4_u8), 1..40);

    let result = runner().run(&turns, |turns| {
        let mut store = Store::default();
        let mut writes: Vec<ClaimWrite> =
            (1..4).map(|id| ClaimWrite::new(claim(id), None)).collect();
        let mut steps: Vec<ClaimStep> = writes.iter_mut().map(ClaimWrite::start).collect();
        for (writer, fault) in turns {
            let is_pending = matches!(steps[writer], ClaimStep::Swap { .. } | ClaimStep::Read);
            if is_pending {
                let event = store.answer(&steps[writer], fault);
                steps[writer] = writes[writer].on_event(event);
            }
        }
        let acquired = |step: &&ClaimStep| matches!(step, ClaimStep::Acquired(_));
        prop_assert!(steps.iter().filter(acquired).count() <= 1, "{steps:?}");
        Ok(())
    });

    result.expect("at most one writer acquires the claim");
}
