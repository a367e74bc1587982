//! Tests that a part of prompts that crashes targets is found, and that parts which sound requests share are not
//! refused.

use std::collections::BTreeSet;
use std::time::Duration;

use cw_policy::forward::CrashTracker;
use cw_policy::forward::SendEnd;
use cw_policy::forward::Standing;
use cw_policy::forward::SuspectKeys;
use cw_types::Incarnation;
use cw_wire::Fingerprint;
use cw_wire::PartHash;
use cw_wire::Suspect;
use cw_wire::TrialAction;
use cw_wire::TrialAnswer;
use cw_wire::TrialCall;
use cw_wire::TrialEnd;
use rstest::rstest;

use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::name;

/// The part that crashes targets.
const CRASHING: PartHash = PartHash(1);

/// A part that all requests of a caller share.
const SHARED: PartHash = PartHash(2);

/// The number of crashes after which the platform's rules count the requests with a part.
const COUNTED_CRASHES: u64 = 5;

/// The number of requests that may reach targets after that.
const MAX_LATE_SENDS: u64 = 3;

/// Returns the keys of a request that is like no other one.
fn keys(request: u64, parts: &[PartHash]) -> SuspectKeys {
    SuspectKeys::new(Fingerprint(1000 + request), parts.iter().copied())
}

/// Sends a request to an engine, which crashes under it.
fn crash(tracker: &mut CrashTracker, millis: u64, number: u64, keys: &SuspectKeys) {
    let (target, incarnation) = (engine(0, 0), Incarnation(number + 1));
    let send = tracker.record_send(at(millis), &target, incarnation, keys.clone());
    tracker.record_end(at(millis), &target, send, SendEnd::Unanswered);
    tracker.record_crash(at(millis), &target, incarnation, &name("z0"));
}

/// Lets a request run on at an engine that goes on.
fn run_on(tracker: &mut CrashTracker, millis: u64, keys: &SuspectKeys) {
    let (target, incarnation) = (engine(1, 0), Incarnation(1));
    let send = tracker.record_send(at(millis), &target, incarnation, keys.clone());
    tracker.record_run_on(at(millis + 400), &target, send, keys.clone());
}

/// Returns a tracker after `count` crashes, one a second, under requests with these parts.
fn tracker_after(count: u64, parts: &[PartHash]) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for number in 0..count {
        crash(
            &mut tracker,
            1000 * (number + 1),
            number,
            &keys(number, parts),
        );
    }
    tracker
}

/// Guards against requests with one part in common that are all different: each was another suspect.
#[rstest]
fn a_part_that_crashes_targets_is_refused_whatever_else_requests_have() {
    let before = tracker_after(COUNTED_CRASHES - 1, &[SHARED, CRASHING]);
    let after = tracker_after(COUNTED_CRASHES, &[SHARED, CRASHING]);

    assert_eq!(
        before.standing(keys(100, &[SHARED, CRASHING])),
        Standing::Probation
    );
    assert_eq!(
        after.standing(keys(100, &[SHARED, CRASHING])),
        Standing::Refused
    );
    assert_eq!(after.standing(keys(100, &[])), Standing::Clear);
}

/// Guards against refusing sound requests that share a part with those that crash targets, where no sound one
/// has run between the crashes: one of them is tried, and clears the part.
#[rstest]
fn sound_requests_with_the_same_first_part_are_served() {
    let mut tracker = tracker_after(COUNTED_CRASHES, &[SHARED, CRASHING]);
    let sound = keys(100, &[SHARED]);
    let before = tracker.standing(sound.clone());

    let (target, incarnation) = (engine(0, 1), Incarnation(1));
    let send = tracker.record_send(at(7000), &target, incarnation, sound.clone());
    tracker.record_run_on(at(7500), &target, send, sound);

    assert_eq!(before, Standing::Probation);
    assert_eq!(tracker.standing(keys(101, &[SHARED])), Standing::Clear);
    assert_eq!(
        tracker.standing(keys(101, &[SHARED, CRASHING])),
        Standing::Refused
    );
    assert_eq!(tracker.standing(keys(101, &[CRASHING])), Standing::Refused);
}

/// Guards against refusing a part because all requests that share it were lost with many targets at once.
#[rstest]
fn a_part_that_many_requests_share_is_not_refused_after_mass_losses() {
    let mut tracker = CrashTracker::default();
    let mut standings = BTreeSet::new();
    run_on(&mut tracker, 1000, &keys(0, &[SHARED]));

    for round in 0..10 {
        let start = 2000 * (round + 1);
        for number in 0..100 {
            let request = keys(100 * round + number, &[SHARED]);
            crash(&mut tracker, start + number, 100 * round + number, &request);
        }
        let request = keys(10_000 + round, &[SHARED]);
        standings.insert(tracker.standing(request.clone()));
        run_on(&mut tracker, start + 600, &request);
    }

    assert_eq!(standings, BTreeSet::from([Standing::Clear]));
}

/// Guards against refusing a part with which no request has run on yet, because all requests that share it were lost with many
/// targets at once: one of them is tried, and clears it.
#[rstest]
fn a_new_part_is_tried_after_a_mass_loss() {
    let mut tracker = CrashTracker::default();
    for number in 0..100 {
        crash(
            &mut tracker,
            1000 + number,
            number,
            &keys(number, &[SHARED]),
        );
    }
    let request = keys(1000, &[SHARED]);

    let before = tracker.standing(request.clone());
    run_on(&mut tracker, 1600, &request);
    let after = tracker.standing(keys(1001, &[SHARED]));

    assert_eq!((before, after), (Standing::Probation, Standing::Clear));
}

/// Guards against refusing sound requests that share a part with one request that crashes targets: it was sent several times at
/// once, and an entry that has started since has seen no sound request run on.
#[test]
fn a_part_of_one_crashing_request_is_not_refused_for_its_crashes() {
    let mut tracker = CrashTracker::default();
    let crashing = keys(1, &[SHARED]);
    for (number, millis) in [1000, 1010, 1020, 1030, 2000, 3000].into_iter().enumerate() {
        crash(&mut tracker, millis, number as u64, &crashing);
    }

    assert_eq!(tracker.standing(keys(2, &[SHARED])), Standing::Clear);
    assert_eq!(tracker.standing(crashing), Standing::Refused);
}

/// Guards against groups of requests with a part that crashes targets: the crashes of a group counted once, so that each
/// group ended as many targets as the one before.
#[rstest]
#[case(6, 7000)]
#[case(6, 12_000)]
#[case(2, 7000)]
#[case(20, 500)]
fn groups_of_requests_with_a_crashing_part_reach_few_targets(
    #[case] size: u64,
    #[case] period: u64,
) {
    let mut tracker = CrashTracker::default();
    let mut crashes = 0;
    let mut late = 0;
    for group in 0..40 {
        let now = 1000 + group * period;
        tracker.expire(at(now));
        // All requests of a group are decided on before the first crash is known, but those on trial.
        let standing = tracker.standing(keys(1000 * group, &[SHARED, CRASHING]));
        let sent = match standing {
            Standing::Clear => size,
            Standing::Probation => 1,
            Standing::Refused => 0,
        };
        if crashes >= COUNTED_CRASHES {
            late += sent;
        }
        for number in 0..sent {
            let request = keys(1000 * group + number, &[SHARED, CRASHING]);
            crash(&mut tracker, now + number, crashes, &request);
            crashes += 1;
        }
        run_on(
            &mut tracker,
            now + 250,
            &keys(1000 * group + 999, &[SHARED]),
        );
    }

    assert!(
        late <= MAX_LATE_SENDS,
        "{late} late sends, {crashes} crashes"
    );
}

/// Guards against a part that is refused for good although it was in flight by chance: it is tried again, and the
/// number of all trials is bounded.
#[rstest]
fn a_refused_part_is_tried_again_a_few_times() {
    let mut tracker = tracker_after(COUNTED_CRASHES, &[CRASHING]);
    let mut late = 0;
    for number in COUNTED_CRASHES..100 {
        let now = 1000 * (number + 1);
        tracker.expire(at(now));
        let request = keys(number, &[CRASHING]);
        if tracker.standing(request.clone()) != Standing::Refused {
            late += 1;
            crash(&mut tracker, now, number, &request);
        }
    }

    assert!((1..=MAX_LATE_SENDS).contains(&late), "{late} sends");
}

/// Guards against entries that learn only of whole requests from each other.
#[rstest]
fn crashes_under_a_part_add_up_over_entries_and_restarts() {
    let mut entries = vec![CrashTracker::default(); 3];
    for number in 0..COUNTED_CRASHES {
        let now = 1000 * (number + 1);
        let entry = usize::try_from(number % 3).unwrap();
        crash(&mut entries[entry], now, number, &keys(number, &[CRASHING]));
        let news = entries[entry].news(at(now));
        for entry in &mut entries {
            entry.receive(at(now), &news);
        }
    }
    let mut fresh = CrashTracker::default();
    fresh.receive(at(10), &entries[0].evidence(at(9000)));

    for entry in entries.iter().chain([&fresh]) {
        assert_eq!(entry.standing(keys(100, &[CRASHING])), Standing::Refused);
    }
}

/// Guards against trials that several entries begin at once, and against more of them than the rules allow.
#[rstest]
#[case(TrialEnd::NotRun, 20)]
#[case(TrialEnd::RanOn, 20)]
#[case(TrialEnd::Lost, 3)]
fn trials_are_granted_one_at_a_time(#[case] end: TrialEnd, #[case] granted: usize) {
    let mut keeper = CrashTracker::default();
    let call = |holder: &str, action: TrialAction| TrialCall {
        suspect: Suspect::Part(CRASHING),
        holder: name(holder),
        action,
    };
    let begin = TrialAction::Begin(Duration::from_secs(5));
    let mut answers = Vec::new();

    for round in 0..20 {
        let now = at(1000 * (round + 1));
        let first = keeper.answer_trial(now, &call("entry-0", begin));
        if first == TrialAnswer::Granted {
            let second = keeper.answer_trial(now, &call("entry-1", begin));
            assert_eq!(second, TrialAnswer::Busy);
            // Another entry cannot end it.
            keeper.answer_trial(now, &call("entry-1", TrialAction::End(TrialEnd::RanOn)));
            let third = keeper.answer_trial(now, &call("entry-1", begin));
            assert_eq!(third, TrialAnswer::Busy);
            keeper.answer_trial(now, &call("entry-0", TrialAction::End(end)));
        }
        answers.push(first);
    }

    let count = answers
        .iter()
        .filter(|answer| **answer == TrialAnswer::Granted);
    assert_eq!(count.count(), granted);
}
