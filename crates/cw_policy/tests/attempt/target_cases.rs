//! Tests of the attempt table at events of its target: output, crashes and drains.

use super::cases::INCARNATION;
use super::cases::full_table;
use super::cases::last_frame;
use super::cases::open;
use super::cases::ordinary;
use super::cases::reason;
use super::fixtures::at;
use super::fixtures::attempt;
use super::fixtures::chunk;
use super::fixtures::table;
use super::fixtures::versions;
use cw_policy::AttemptEnd;
use cw_policy::AttemptStep;
use cw_wire::Fingerprint;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::Load;
use cw_wire::NotRunReason;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn waiting_attempts_are_refused_when_the_target_leaves_and_running_ones_continue() {
    let mut table = full_table();
    let mut reader = open(&mut table, at(0), ordinary(3));

    let steps = table.on_leaving(at(1), true);

    let frame = last_frame(&mut table, at(1), &mut reader);
    assert_eq!(reason(&frame), Some(NotRunReason::Leaving));
    assert_eq!(steps, vec![AttemptStep::Wake(reader.id)]);
    assert_eq!(table.live(), 2);
}

#[rstest]
fn heartbeats_report_how_long_the_target_was_idle() {
    let mut table = table(at(0), INCARNATION);
    let reader = open(&mut table, at(0), ordinary(1));
    table.on_output(at(1_000), reader.id, chunk(reader.id, 0));

    let heartbeat = table.heartbeat(at(4_000), reader.id);

    let quiet = Duration::from_secs(3);
    assert_eq!(heartbeat, Frame::Heartbeat { quiet });
}

#[rstest]
fn a_crash_suspects_running_and_disconnected_attempts_but_not_ended_ones() {
    let mut table = table(at(0), INCARNATION);
    for generation in 1..=2 {
        open(&mut table, at(0), ordinary(generation));
    }
    table.on_end(at(1), attempt(1, 1), AttemptEnd::Done(FinishReason::Stop));
    open(&mut table, at(1), ordinary(3));
    table.on_disconnect(at(2), attempt(2, 1));

    table.on_crash(at(3));

    let crashes = table.crashes();
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].suspects, vec![Fingerprint(2), Fingerprint(3)]);
}

#[rstest]
fn nothing_starts_at_a_target_that_may_have_crashed() {
    let mut table = full_table();
    let waiting = open(&mut table, at(0), ordinary(3));

    let disconnected = table.on_disconnect(at(2), attempt(1, 1));
    let stale = table.on_load(at(3), at(1), Load::default(), versions());
    let alive = table.on_load(at(4), at(3), Load::default(), versions());

    let is_start = |step: &AttemptStep| matches!(step, AttemptStep::Start(_));
    assert!(!disconnected.iter().any(is_start), "{disconnected:?}");
    assert!(!stale.iter().any(is_start), "{stale:?}");
    assert!(alive.iter().any(is_start), "{alive:?}");
    assert_eq!(table.live(), 2);
    assert_eq!(waiting.id, attempt(3, 1));
}

#[rstest]
fn an_attempt_that_waits_during_a_crash_is_no_suspect() {
    let mut table = full_table();
    open(&mut table, at(0), ordinary(3));

    table.on_disconnect(at(2), attempt(1, 1));
    table.on_crash(at(3));

    let suspects = vec![Fingerprint(1), Fingerprint(2)];
    assert_eq!(table.crashes()[0].suspects, suspects);
}

#[rstest]
fn an_attempt_disconnected_before_the_target_answered_is_no_suspect() {
    let mut table = full_table();
    table.on_disconnect(at(2), attempt(1, 1));
    table.on_load(at(5), at(4), Load::default(), versions());

    table.on_crash(at(6));

    assert_eq!(table.crashes()[0].suspects, vec![Fingerprint(2)]);
}

#[rstest]
fn a_crash_of_an_idle_target_has_no_suspects() {
    let mut table = table(at(0), INCARNATION);

    table.on_crash(at(1));

    assert_eq!(table.crashes(), Vec::new());
}
