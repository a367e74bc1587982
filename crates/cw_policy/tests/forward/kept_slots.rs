//! Tests that a request which has waited for a slot is sent only where it may run after the wait.

use std::collections::BTreeSet;
use std::time::Duration;

use cw_policy::forward::Fleet;
use cw_policy::forward::Listing;
use cw_policy::forward::Requirements;
use cw_policy::forward::Slot;
use cw_policy::forward::SoftwareFilter;
use cw_types::Incarnation;
use cw_types::Rate;
use cw_types::TargetId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::fixtures::TestRequest;
use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::fleet;
use crate::fixtures::listing;
use crate::fixtures::name;

/// The number of waits that each seed plays.
const WAITS: usize = 300;

/// When the slots are kept, in milliseconds. Knowledge of the targets is trusted by then.
const KEPT_AT: u64 = 10_000;

/// The longest wait, in milliseconds.
const MAX_WAIT: u64 = 5_000;

/// What a test knows of the target that keeps the slot.
#[derive(Clone, Debug)]
struct KnownTarget {
    /// Its record, `None` once it is removed.
    record: Option<Listing>,
    is_excluded: bool,
    /// Whether the target has said that it wants no requests at the time of the slot.
    is_resting: bool,
    /// Whether the target has been lost just before the end of the wait.
    is_lost: bool,
}

/// A change of the target during the wait.
#[derive(Clone, Copy, Debug)]
enum Change {
    SameVersion,
    NextVersion,
    VersionInPlace,
    Leaving,
    Removed,
    OtherService,
    Rest,
    ShortRest,
    Lost,
    Excluded,
    Limit,
}

const CHANGES: [Change; 11] = [
    Change::SameVersion,
    Change::NextVersion,
    Change::VersionInPlace,
    Change::Leaving,
    Change::Removed,
    Change::OtherService,
    Change::Rest,
    Change::ShortRest,
    Change::Lost,
    Change::Excluded,
    Change::Limit,
];

impl KnownTarget {
    fn new() -> Self {
        Self {
            record: Some(listing(0, 0)),
            is_excluded: false,
            is_resting: false,
            is_lost: false,
        }
    }

    fn apply(&mut self, fleet: &mut Fleet, now: u64, slot: &Slot, change: Change) {
        let (id, time) = (engine(0, 0), at(now));
        let known = fleet.incarnation(&id);
        match change {
            Change::Leaving => {
                self.write(fleet, now, |record| record.leaving = true);
            }
            Change::SameVersion => self.restart(fleet, now, "v1"),
            Change::NextVersion => self.restart(fleet, now, "v2"),
            Change::VersionInPlace => {
                self.write(fleet, now, |record| {
                    record.version = "v2".parse().unwrap();
                });
                (self.is_resting, self.is_lost) = (false, false);
            }
            Change::OtherService => {
                self.write(fleet, now, |record| record.service = name("others"));
                (self.is_resting, self.is_lost) = (false, false);
            }
            Change::Removed => {
                fleet.apply_removal(time, &id, true);
                self.record = None;
            }
            Change::Rest => {
                let rest = slot.at.since(time) + Duration::from_millis(1);
                fleet.record_rest(time, &id, known, rest);
                self.is_resting |= self.record.is_some();
            }
            Change::ShortRest => {
                fleet.record_rest(time, &id, known, slot.at.since(time) / 2);
            }
            Change::Lost => {
                let fault = cw_policy::forward::Fault::Unreachable;
                fleet.record_failure(slot.at, &id, known, fault);
                self.is_lost |= self.record.is_some();
            }
            Change::Excluded => self.is_excluded = true,
            Change::Limit => {
                fleet.record_limit(time, &id, known, time, Some(Rate(1.5)));
            }
        }
    }

    fn write(&mut self, fleet: &mut Fleet, now: u64, change: impl FnOnce(&mut Listing)) {
        if let Some(record) = &mut self.record {
            change(record);
            fleet.record_listing(at(now), record.clone());
        }
    }

    fn restart(&mut self, fleet: &mut Fleet, now: u64, version: &str) {
        self.write(fleet, now, |record| {
            record.started = Some(now);
            record.version = version.parse().unwrap();
            record.leaving = false;
        });
        (self.is_resting, self.is_lost) = (false, false);
    }

    /// Returns whether a stream that `v1` has begun, or one that may begin there only, may be sent in a slot that the
    /// first start of the target has kept.
    fn takes_request(&self) -> bool {
        let is_first = self.record.as_ref().is_some_and(|record| {
            *record
                == Listing {
                    leaving: false,
                    ..listing(0, 0)
                }
        });
        is_first && !self.is_excluded && !self.is_resting && !self.is_lost
    }
}

/// Returns the requirements of a stream that `v1` has begun, or of one that may begin there only.
fn requirements(request: &TestRequest, has_begun: bool) -> Requirements<'_> {
    let software = listing(0, 0).software();
    match has_begun {
        true => Requirements {
            software: Some(software),
            ..request.requirements()
        },
        false => Requirements {
            filter: SoftwareFilter::Only(software),
            ..request.requirements()
        },
    }
}

/// Guards against a stream that goes on at an engine which has started again as another version during the wait, and against
/// each other question that is asked at the choice of a target and not after the wait.
#[rstest]
fn a_kept_slot_is_used_only_where_the_request_may_run(
    #[values(1, 2, 3)] seed: u64,
    #[values(true, false)] has_begun: bool,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut used = 0;
    for _ in 0..WAITS {
        let mut fleet = fleet(1, 2);
        let id = engine(0, 0);
        fleet.record_limit(at(0), &id, Incarnation(1), at(0), Some(Rate(2.0)));
        let mut target = KnownTarget::new();
        let slot = fleet.keep_slot(at(KEPT_AT), &id).unwrap();
        let wait = rng.random_range(1..MAX_WAIT);
        let slot = Slot {
            at: at(KEPT_AT + wait),
            ..slot
        };
        let mut history = Vec::new();
        for _ in 0..rng.random_range(0..3) {
            let change = CHANGES[rng.random_range(0..CHANGES.len())];
            target.apply(&mut fleet, KEPT_AT + wait / 2, &slot, change);
            history.push(change);
        }
        let mut request = TestRequest::default();
        let excluded = target.is_excluded.then_some(id);
        request.excluded = excluded.into_iter().collect::<BTreeSet<TargetId>>();

        let may_use = fleet.may_use_slot(slot.at, &requirements(&request, has_begun), &slot);

        assert_eq!(may_use, target.takes_request(), "{history:?}");
        used += usize::from(may_use);
    }
    assert!(used > WAITS / 4, "{used} of {WAITS} slots were used");
    assert!(used < WAITS, "no change took a slot away");
}

/// Guards against a limit that shrinks with each request that leaves its slot unused.
#[rstest]
fn a_slot_that_is_given_back_is_there_for_the_next_request() {
    let mut fleet = fleet(1, 1);
    let id = engine(0, 0);
    fleet.record_limit(at(0), &id, Incarnation(1), at(0), Some(Rate(2.0)));
    fleet.keep_slot(at(1000), &id);
    fleet.keep_slot(at(1000), &id);
    let third = fleet.keep_slot(at(1000), &id).unwrap();

    fleet.return_slot(&third);
    let next = fleet.keep_slot(at(1000), &id).unwrap();

    assert!(third.at > at(1000), "the target is at its limit");
    assert_eq!(next, third);
}

/// Guards against a slot that is given back to a target that has started again, and to one that named its limit later.
#[rstest]
#[case(true)]
#[case(false)]
fn a_slot_that_was_not_taken_from_a_limit_is_not_given_back_to_it(#[case] restarts: bool) {
    let mut fleet = fleet(1, 1);
    let id = engine(0, 0);
    let slot = fleet.keep_slot(at(0), &id).unwrap();
    let mut incarnation = Incarnation(1);
    if restarts {
        incarnation = Incarnation(2);
        let record = Listing {
            started: Some(2),
            ..listing(0, 0)
        };
        fleet.record_listing(at(10), record);
    }
    fleet.record_limit(at(20), &id, incarnation, at(20), Some(Rate(1.0)));
    fleet.take_slot(at(1000), &id);
    let next = fleet.keep_slot(at(1000), &id).unwrap();

    fleet.return_slot(&slot);
    let after = fleet.keep_slot(at(1000), &id).unwrap();

    assert_eq!(next.at.until(after.at), Duration::from_secs(1));
}
