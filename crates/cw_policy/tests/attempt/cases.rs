//! What entries do, case by case.

use std::time::Duration;

use cw_policy::AttemptAnswer;
use cw_policy::AttemptStep;
use cw_policy::AttemptTable;
use cw_policy::End;
use cw_policy::Flow;
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
use super::fixtures::chunk;
use super::fixtures::dispatch;
use super::fixtures::limits;
use super::fixtures::notice;
use super::fixtures::stamp;
use super::fixtures::table;

/// The life of the tables here.
pub(crate) const LIFE: u64 = 1;

pub(crate) fn ordinary(generation: u128) -> Dispatch {
    dispatch(attempt(generation, 1), stamp(LIFE, at(0)))
}

/// Gives a dispatch to the table, and returns the reader of its answer.
pub(crate) fn open(table: &mut AttemptTable, now: Time, dispatch: Dispatch) -> Reader {
    match table.on_dispatch(now, dispatch).0 {
        AttemptAnswer::Read(reader) => reader,
        AttemptAnswer::Frame(frame) => panic!("expected a stream, found {frame:?}"),
    }
}

/// Gives a dispatch to the table, and returns the frame that answers it or ends its stream.
fn ask(table: &mut AttemptTable, now: Time, dispatch: Dispatch) -> Frame {
    match table.on_dispatch(now, dispatch).0 {
        AttemptAnswer::Read(mut reader) => last(table, now, &mut reader),
        AttemptAnswer::Frame(frame) => *frame,
    }
}

/// Reads a stream to its end.
pub(crate) fn last(table: &mut AttemptTable, now: Time, reader: &mut Reader) -> Frame {
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

/// Fills the slots that ordinary attempts may take.
pub(crate) fn full() -> AttemptTable {
    let mut table = table(at(0), LIFE);
    open(&mut table, at(0), ordinary(1));
    open(&mut table, at(0), ordinary(2));
    table
}

fn produce(table: &mut AttemptTable, id: AttemptId, count: u64) -> Flow {
    (0..count).fold(Flow::Go, |_, index| {
        table.on_output(at(0), id, chunk(id, index)).0
    })
}

// ---- Promises

#[rstest]
fn impatience_is_told_as_soon_as_it_is_over() {
    let mut table = full();
    let mut reader = open(&mut table, at(0), ordinary(3));

    table.on_tick(at(4_999));
    let early = table.read(at(4_999), &mut reader).0;
    table.on_tick(at(5_000));
    let late = last(&mut table, at(5_000), &mut reader);

    assert_eq!(early, ReadStep::Wait);
    assert_eq!(reason(&late), Some(NotRunReason::Expired));
}

#[rstest]
fn a_refusal_is_a_promise_also_when_there_is_room_later() {
    let mut table = full();
    let hasty = Dispatch {
        patience: Duration::ZERO,
        ..ordinary(3)
    };
    let refused = ask(&mut table, at(0), hasty.clone());
    table.on_end(at(1), attempt(1, 1), End::Done(FinishReason::Stop));

    let repeated = Dispatch {
        repeat: true,
        ..hasty
    };
    let again = ask(&mut table, at(2), repeated);

    assert_eq!(reason(&refused), Some(NotRunReason::Busy));
    assert_eq!(reason(&again), Some(NotRunReason::Busy));
}

#[rstest]
#[case(99_999, NotRunReason::Cancelled)]
#[case(100_000, NotRunReason::Unknown)]
#[case(500_000, NotRunReason::Unknown)]
fn a_cancelled_attempt_never_runs_however_late_it_comes(
    #[case] millis: u64,
    #[case] expected: NotRunReason,
) {
    let mut table = table(at(0), LIFE);
    let late = ordinary(1);
    let (id, stamp) = (late.id, late.stamp);
    let (cancelled, _) = table.on_cancel(at(0), &Cancel { id, stamp });
    table.on_tick(at(millis));

    let frame = ask(&mut table, at(millis), late);

    assert_eq!(cancelled.ran, Ran::No);
    assert_eq!(reason(&frame), Some(expected));
}

#[rstest]
fn a_repeat_that_is_too_old_to_know_leaves_the_outcome_open() {
    let mut table = table(at(0), LIFE);
    let old = Dispatch {
        repeat: true,
        ..notice(attempt(2, 1), stamp(LIFE - 1, at(0)))
    };

    let frame = ask(&mut table, at(10), old.clone());
    let (cancelled, _) = table.on_cancel(
        at(10),
        &Cancel {
            id: old.id,
            stamp: old.stamp,
        },
    );

    let open = matches!(
        frame,
        Frame::Failed {
            ran: Ran::Unknown,
            ..
        }
    );
    assert!(open, "{frame:?}");
    assert_eq!(cancelled.ran, Ran::Unknown);
}

#[rstest]
fn another_run_is_never_joined_to_output_that_the_entry_has() {
    let mut table = table(at(0), LIFE);
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
fn a_dispatch_of_another_workspace_sees_nothing() {
    let mut table = full();
    let foreign = Dispatch {
        workspace: "office".parse().unwrap(),
        ..ordinary(1)
    };

    let frame = ask(&mut table, at(0), foreign);

    assert_eq!(reason(&frame), Some(NotRunReason::Unknown));
}

#[rstest]
fn a_caller_finds_the_attempt_with_output_not_the_one_refused_later() {
    let mut table = full();
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

// ---- Callers that are gone

#[rstest]
fn an_unread_generation_is_cancelled_after_a_while_but_never_a_notice() {
    let mut table = table(at(0), LIFE);
    let generation = open(&mut table, at(0), ordinary(1));
    let once = open(&mut table, at(0), notice(attempt(2, 1), stamp(LIFE, at(0))));
    table.on_leave(at(1_000), &generation);
    table.on_leave(at(1_000), &once);

    let early = table.on_tick(at(10_999));
    let late = table.on_tick(at(11_000));
    let much_later = table.on_tick(at(1_000_000));

    assert_eq!(early, Vec::new());
    assert!(late.contains(&AttemptStep::Abort(generation.id)));
    assert!(!late.contains(&AttemptStep::Abort(once.id)));
    assert_eq!(much_later, Vec::new());
    assert_eq!(table.live(), 1);
}

#[rstest]
fn an_end_that_nobody_has_read_holds_up_a_drain_until_it_expires() {
    let mut table = table(at(0), LIFE);
    let reader = open(&mut table, at(0), ordinary(1));
    table.on_leave(at(0), &reader);
    table.on_leaving(at(0), true);
    table.on_end(at(0), reader.id, End::Done(FinishReason::Stop));

    let early = table.is_drained();
    table.on_tick(at(0) + limits().retention);

    assert!(!early);
    assert!(table.is_drained());
}

// ---- Output

#[rstest]
fn acknowledged_output_is_forgotten_and_the_end_is_not() {
    let mut table = table(at(0), LIFE);
    let reader = open(&mut table, at(0), ordinary(1));
    let id = reader.id;
    produce(&mut table, id, 5);
    table.on_end(at(0), id, End::Done(FinishReason::Stop));

    let next = TokenIndex(5);
    table.on_ack(at(0), &Ack { id, next });
    let again = |from| Dispatch {
        repeat: true,
        from: TokenIndex(from),
        ..ordinary(1)
    };
    let whole = ask(&mut table, at(0), again(5));
    let behind = ask(&mut table, at(0), again(4));

    let finish = FinishReason::Stop;
    assert_eq!(whole, Frame::Done { finish, next });
    let trimmed = matches!(
        behind,
        Frame::Failed {
            failure: Failure::Trimmed,
            ..
        }
    );
    assert!(trimmed, "{behind:?}");
    assert_eq!(table.kept(), 0);
}

#[rstest]
fn a_stream_that_is_not_read_holds_its_target_back_and_nothing_is_quiet() {
    let mut table = table(at(0), LIFE);
    let mut reader = open(&mut table, at(0), ordinary(1));
    let id = reader.id;

    let mut count = 0;
    while table.on_output(at(0), id, chunk(id, count)).0 == Flow::Go {
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
fn delivered_output_makes_room_before_output_that_is_still_waited_for() {
    let mut table = table(at(0), LIFE);
    let mut ends = Vec::new();
    for generation in 1..=6 {
        let mut reader = open(&mut table, at(0), ordinary(generation));
        produce(&mut table, reader.id, 60);
        table.on_end(at(0), reader.id, End::Done(FinishReason::Stop));
        if generation != 1 {
            last(&mut table, at(0), &mut reader);
        }
        table.on_leave(at(0), &reader);
        ends.push(reader.id);
    }

    let mut first = open(&mut table, at(0), ordinary(1));
    let end = last(&mut table, at(0), &mut first);

    assert!(table.kept() <= limits().kept.as_usize());
    assert!(matches!(end, Frame::Done { .. }), "{end:?}");
    let mut second = open(&mut table, at(0), ordinary(2));
    let end = last(&mut table, at(0), &mut second);
    assert!(matches!(end, Frame::Failed { .. }), "{end:?}");
}
