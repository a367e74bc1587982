//! What the target does, case by case.

use super::cases::LIFE;
use super::cases::full;
use super::cases::last;
use super::cases::open;
use super::cases::ordinary;
use super::cases::reason;
use super::fixtures::at;
use super::fixtures::attempt;
use super::fixtures::chunk;
use super::fixtures::table;
use super::fixtures::versions;
use cw_policy::AttemptStep;
use cw_policy::End;
use cw_wire::Fingerprint;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::Load;
use cw_wire::NotRunReason;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn what_waits_is_refused_when_the_target_leaves_and_what_runs_goes_on() {
    let mut table = full();
    let mut reader = open(&mut table, at(0), ordinary(3));

    let steps = table.on_leaving(at(1), true);

    let frame = last(&mut table, at(1), &mut reader);
    assert_eq!(reason(&frame), Some(NotRunReason::Leaving));
    assert_eq!(steps, vec![AttemptStep::Wake(reader.id)]);
    assert_eq!(table.live(), 2);
}

#[rstest]
fn heartbeats_tell_a_quiet_target() {
    let mut table = table(at(0), LIFE);
    let reader = open(&mut table, at(0), ordinary(1));
    table.on_output(at(1_000), reader.id, chunk(reader.id, 0));

    let heartbeat = table.heartbeat(at(4_000), reader.id);

    let quiet = Duration::from_secs(3);
    assert_eq!(heartbeat, Frame::Heartbeat { quiet });
}

#[rstest]
fn a_crash_names_what_ran_and_what_just_broke_but_not_what_ended() {
    let mut table = table(at(0), LIFE);
    for generation in 1..=2 {
        open(&mut table, at(0), ordinary(generation));
    }
    table.on_end(at(1), attempt(1, 1), End::Done(FinishReason::Stop));
    open(&mut table, at(1), ordinary(3));
    table.on_break(at(2), attempt(2, 1));

    table.on_crash(at(3));

    let crashes = table.crashes();
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].suspects, vec![Fingerprint(2), Fingerprint(3)]);
}

#[rstest]
fn nothing_starts_at_a_target_that_may_have_died() {
    let mut table = full();
    let waiting = open(&mut table, at(0), ordinary(3));

    let broken = table.on_break(at(2), attempt(1, 1));
    let stale = table.on_load(at(3), at(1), Load::default(), versions());
    let alive = table.on_load(at(4), at(3), Load::default(), versions());

    let is_start = |step: &AttemptStep| matches!(step, AttemptStep::Start(_));
    assert!(!broken.iter().any(is_start), "{broken:?}");
    assert!(!stale.iter().any(is_start), "{stale:?}");
    assert!(alive.iter().any(is_start), "{alive:?}");
    assert_eq!(table.live(), 2);
    assert_eq!(waiting.id, attempt(3, 1));
}

#[rstest]
fn what_waited_at_a_crash_is_no_suspect() {
    let mut table = full();
    open(&mut table, at(0), ordinary(3));

    table.on_break(at(2), attempt(1, 1));
    table.on_crash(at(3));

    let suspects = vec![Fingerprint(1), Fingerprint(2)];
    assert_eq!(table.crashes()[0].suspects, suspects);
}

#[rstest]
fn what_broke_before_the_target_answered_again_is_no_suspect() {
    let mut table = full();
    table.on_break(at(2), attempt(1, 1));
    table.on_load(at(5), at(4), Load::default(), versions());

    table.on_crash(at(6));

    assert_eq!(table.crashes()[0].suspects, vec![Fingerprint(2)]);
}

#[rstest]
fn the_loss_of_an_idle_target_accuses_nobody() {
    let mut table = table(at(0), LIFE);

    table.on_crash(at(1));

    assert_eq!(table.crashes(), Vec::new());
}
