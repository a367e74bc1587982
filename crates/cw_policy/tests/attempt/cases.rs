//! Tests of the attempt table's answers to entries: refusals, cancellations, disconnections and
//! output.

use std::time::Duration;

use cw_policy::AttemptAnswer;
use cw_policy::AttemptEnd;
use cw_policy::AttemptStep;
use cw_policy::AttemptTable;
use cw_policy::FlowControl;
use cw_policy::ReadStep;
use cw_policy::Reader;
use cw_types::AttemptId;
use cw_types::Ran;
use cw_types::Time;
use cw_types::TokenIndex;
use cw_wire::Ack;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Dispatch;
use cw_wire::Failure;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::NotRunReason;
use rstest::rstest;

use super::fixtures::at;
use super::fixtures::attempt;
use super::fixtures::call_dispatch;
use super::fixtures::chunk;
use super::fixtures::dispatch;
use super::fixtures::limits;
use super::fixtures::stamp;
use super::fixtures::table;

/// The incarnation of the tables in these tests.
pub(crate) const INCARNATION: u64 = 1;

pub(crate) fn ordinary(generation: u128) -> Dispatch {
    dispatch(attempt(generation, 1), stamp(INCARNATION, at(0)))
}

/// Dispatches an attempt, and returns the reader of its stream.
pub(crate) fn open(table: &mut AttemptTable, now: Time, dispatch: Dispatch) -> Reader {
    match table.on_dispatch(now, dispatch).0 {
        AttemptAnswer::Read(reader) => reader,
        AttemptAnswer::Frame(frame) => panic!("expected a stream, found {frame:?}"),
    }
}

/// Dispatches an attempt, and returns the last frame of the answer.
fn dispatch_to_end(table: &mut AttemptTable, now: Time, dispatch: Dispatch) -> Frame {
    match table.on_dispatch(now, dispatch).0 {
        AttemptAnswer::Read(mut reader) => last_frame(table, now, &mut reader),
        AttemptAnswer::Frame(frame) => *frame,
    }
}

/// Reads all available frames of a stream, and returns the last one.
pub(crate) fn last_frame(table: &mut AttemptTable, now: Time, reader: &mut Reader) -> Frame {
    let mut last = None;
    while let (ReadStep::Frame(frame), _) = table.read(now, reader) {
        last = Some(frame);
    }
    last.expect("the stream has frames")
}

pub(crate) fn reason(frame: &Frame) -> Option<NotRunReason> {
    match frame {
        Frame::NotRun { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Returns a table whose slots for ordinary attempts are all taken.
pub(crate) fn full_table() -> AttemptTable {
    let mut table = table(at(0), INCARNATION);
    open(&mut table, at(0), ordinary(1));
    open(&mut table, at(0), ordinary(2));
    table
}

fn produce(table: &mut AttemptTable, id: AttemptId, count: u64) -> FlowControl {
    (0..count).fold(FlowControl::Continue, |_, index| {
        table.on_output(at(0), id, chunk(id, index)).0
    })
}

// ---- Refusals and cancellation

#[rstest]
fn a_waiting_attempt_is_refused_once_its_patience_ends() {
    let mut table = full_table();
    let mut reader = open(&mut table, at(0), ordinary(3));

    table.on_tick(at(4_999));
    let early = table.read(at(4_999), &mut reader).0;
    table.on_tick(at(5_000));
    let late = last_frame(&mut table, at(5_000), &mut reader);

    assert_eq!(early, ReadStep::Wait);
    assert_eq!(reason(&late), Some(NotRunReason::Expired));
}

#[rstest]
fn a_refusal_is_permanent_even_if_there_is_room_later() {
    let mut table = full_table();
    let impatient = Dispatch {
        patience: Duration::ZERO,
        ..ordinary(3)
    };
    let refused = dispatch_to_end(&mut table, at(0), impatient.clone());
    table.on_end(at(1), attempt(1, 1), AttemptEnd::Done(FinishReason::Stop));

    let repeated = Dispatch {
        repeat: true,
        ..impatient
    };
    let again = dispatch_to_end(&mut table, at(2), repeated);

    assert_eq!(reason(&refused), Some(NotRunReason::Busy));
    assert_eq!(reason(&again), Some(NotRunReason::Busy));
}

#[rstest]
#[case(99_999, NotRunReason::Cancelled)]
#[case(100_000, NotRunReason::Unknown)]
#[case(500_000, NotRunReason::Unknown)]
fn a_cancelled_attempt_never_runs_however_late_it_arrives(
    #[case] millis: u64,
    #[case] expected: NotRunReason,
) {
    let mut table = table(at(0), INCARNATION);
    let late = ordinary(1);
    let (id, stamp) = (late.id, late.stamp);
    let (cancelled, _) = table.on_cancel(at(0), &Cancel { id, stamp });
    table.on_tick(at(millis));

    let frame = dispatch_to_end(&mut table, at(millis), late);

    assert_eq!(cancelled.ran, Ran::No);
    assert_eq!(reason(&frame), Some(expected));
}

#[rstest]
fn the_outcome_of_a_repeat_from_another_incarnation_is_unknown() {
    let mut table = table(at(0), INCARNATION);
    let old = Dispatch {
        repeat: true,
        ..call_dispatch(attempt(2, 1), stamp(INCARNATION - 1, at(0)))
    };

    let frame = dispatch_to_end(&mut table, at(10), old.clone());
    let (cancelled, _) = table.on_cancel(
        at(10),
        &Cancel {
            id: old.id,
            stamp: old.stamp,
        },
    );

    let is_unknown = matches!(
        frame,
        Frame::Failed {
            ran: Ran::Unknown,
            ..
        }
    );
    assert!(is_unknown, "{frame:?}");
    assert_eq!(cancelled.ran, Ran::Unknown);
}

#[rstest]
fn a_new_run_never_continues_output_of_another_run() {
    let mut table = table(at(0), INCARNATION);
    let repeated = Dispatch {
        repeat: true,
        from: TokenIndex(7),
        ..ordinary(1)
    };

    let (answer, steps) = table.on_dispatch(at(0), repeated);

    let AttemptAnswer::Frame(frame) = answer else {
        panic!("expected a refusal, found {answer:?}");
    };
    assert_eq!(reason(&frame), Some(NotRunReason::Unknown));
    assert_eq!(steps, Vec::new());
}

#[rstest]
fn a_dispatch_of_another_workspace_is_refused() {
    let mut table = full_table();
    let foreign = Dispatch {
        workspace: "office".parse().unwrap(),
        ..ordinary(1)
    };

    let frame = dispatch_to_end(&mut table, at(0), foreign);

    assert_eq!(reason(&frame), Some(NotRunReason::Unknown));
}

#[rstest]
fn an_attach_prefers_the_attempt_with_output_to_a_newer_refused_one() {
    let mut table = full_table();
    let hedge = Dispatch {
        id: attempt(1, 2),
        ..ordinary(1)
    };
    open(&mut table, at(0), hedge);
    table.on_tick(at(5_000));
    let attach = Attach {
        generation: attempt(1, 1).generation,
        attempt: None,
        workspace: "partagez".parse().unwrap(),
        from: TokenIndex(0),
    };

    let found = table.on_attach(at(5_000), &attach);

    let reader = Reader::new(attempt(1, 1), 0);
    assert_eq!(found, AttemptAnswer::Read(reader));
}

// ---- Disconnected callers

#[rstest]
fn an_unread_generation_is_cancelled_after_the_retention_but_a_call_never() {
    let mut table = table(at(0), INCARNATION);
    let generation = open(&mut table, at(0), ordinary(1));
    let call = open(
        &mut table,
        at(0),
        call_dispatch(attempt(2, 1), stamp(INCARNATION, at(0))),
    );
    table.on_detach(at(1_000), &generation);
    table.on_detach(at(1_000), &call);

    let early = table.on_tick(at(10_999));
    let late = table.on_tick(at(11_000));
    let much_later = table.on_tick(at(1_000_000));

    assert_eq!(early, Vec::new());
    assert!(late.contains(&AttemptStep::Abort(generation.id)));
    assert!(!late.contains(&AttemptStep::Abort(call.id)));
    assert_eq!(much_later, Vec::new());
    assert_eq!(table.live(), 1);
}

#[rstest]
fn an_undelivered_end_delays_the_drain_until_it_expires() {
    let mut table = table(at(0), INCARNATION);
    let reader = open(&mut table, at(0), ordinary(1));
    table.on_detach(at(0), &reader);
    table.on_leaving(at(0), true);
    table.on_end(at(0), reader.id, AttemptEnd::Done(FinishReason::Stop));

    let early = table.is_drained();
    table.on_tick(at(0) + limits().retention);

    assert!(!early);
    assert!(table.is_drained());
}

// ---- Output

#[rstest]
fn acknowledged_output_is_discarded_but_the_end_is_kept() {
    let mut table = table(at(0), INCARNATION);
    let reader = open(&mut table, at(0), ordinary(1));
    let id = reader.id;
    produce(&mut table, id, 5);
    table.on_end(at(0), id, AttemptEnd::Done(FinishReason::Stop));

    let next = TokenIndex(5);
    table.on_ack(at(0), &Ack { id, next });
    let again = |from| Dispatch {
        repeat: true,
        from: TokenIndex(from),
        ..ordinary(1)
    };
    let at_ack = dispatch_to_end(&mut table, at(0), again(5));
    let before_ack = dispatch_to_end(&mut table, at(0), again(4));

    let finish = FinishReason::Stop;
    assert_eq!(at_ack, Frame::Done { finish, next });
    let trimmed = matches!(
        before_ack,
        Frame::Failed {
            failure: Failure::Trimmed,
            ..
        }
    );
    assert!(trimmed, "{before_ack:?}");
    assert_eq!(table.output_bytes(), 0);
}

#[rstest]
fn an_unread_stream_pauses_its_target_and_does_not_count_as_idle() {
    let mut table = table(at(0), INCARNATION);
    let mut reader = open(&mut table, at(0), ordinary(1));
    let id = reader.id;

    let mut count = 0;
    while table.on_output(at(0), id, chunk(id, count)).0 == FlowControl::Continue {
        count += 1;
    }
    let heartbeat = table.heartbeat(at(9_000), id);
    let mut steps = Vec::new();
    while let (ReadStep::Frame(_), more) = table.read(at(9_000), &mut reader) {
        steps.extend(more);
    }

    let resumed = table.heartbeat(at(9_000), id);

    let quiet = Duration::ZERO;
    assert_eq!(heartbeat, Frame::Heartbeat { quiet });
    assert_eq!(steps, vec![AttemptStep::Resume(id)]);
    assert_eq!(resumed, Frame::Heartbeat { quiet });
    assert_eq!(reader.next, count + 1);
}

#[rstest]
fn delivered_output_is_evicted_before_undelivered_output() {
    let mut table = table(at(0), INCARNATION);
    let mut ends = Vec::new();
    for generation in 1..=6 {
        let mut reader = open(&mut table, at(0), ordinary(generation));
        produce(&mut table, reader.id, 60);
        table.on_end(at(0), reader.id, AttemptEnd::Done(FinishReason::Stop));
        if generation != 1 {
            last_frame(&mut table, at(0), &mut reader);
        }
        table.on_detach(at(0), &reader);
        ends.push(reader.id);
    }

    let mut first = open(&mut table, at(0), ordinary(1));
    let end = last_frame(&mut table, at(0), &mut first);

    assert!(table.output_bytes() <= limits().output_bytes.as_usize());
    assert!(matches!(end, Frame::Done { .. }), "{end:?}");
    let mut second = open(&mut table, at(0), ordinary(2));
    let end = last_frame(&mut table, at(0), &mut second);
    assert!(matches!(end, Frame::Failed { .. }), "{end:?}");
}
