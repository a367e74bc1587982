//! Tests that each event has the ending that is right for how far a request has come.

use std::time::Duration;

use cw_policy::forward::Exchange;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::ExchangePlan;
use cw_policy::forward::ExchangeStep;
use cw_policy::forward::Fault;
use cw_policy::forward::Progress;
use cw_policy::forward::Repeat;
use cw_policy::forward::RunTimes;
use cw_types::ErrorKind;
use cw_types::Time;
use rstest::rstest;

use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::listing;
use crate::fixtures::name;
use crate::fixtures::placement;
use crate::fixtures::plan;

/// When the events come: after the objective, and long before the deadline.
const LATE: u64 = 5_000;

const DEADLINE: u64 = 25_000;

/// Creates a stream that has come so far.
fn exchange_at(progress: Progress) -> Exchange {
    let mut exchange = Exchange::new(plan(Repeat::Resume));
    let sent = placement(engine(0, 0), None);
    match progress {
        Progress::New => {}
        Progress::Sent => {
            exchange.record_send(at(0), sent);
            exchange.on_event(at(10), ExchangeEvent::Lost(Fault::Broken), || true);
        }
        Progress::TakenUp => exchange.take_up(sent.software),
        Progress::Begun => {
            exchange.record_send(at(0), sent);
            exchange.record_start();
            exchange.on_event(at(10), ExchangeEvent::Lost(Fault::Broken), || true);
        }
    }
    exchange
}

/// What becomes of a request after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// It is sent again at once.
    Send,
    /// It waits for a target.
    Wait,
    /// It waits for the budget.
    Budget,
    /// It is refused as one that has not run.
    RefuseNotRun,
    /// It is refused.
    Refuse,
    /// The caller's stream is broken off.
    Break,
}

fn next(step: &ExchangeStep) -> Next {
    match step {
        ExchangeStep::Send(_) => Next::Send,
        ExchangeStep::Wait(_) => Next::Wait,
        ExchangeStep::AskBudget(_) => Next::Budget,
        ExchangeStep::Refuse(
            ErrorKind::NoTarget
            | ErrorKind::Overloaded
            | ErrorKind::Quarantined
            | ErrorKind::OriginUnknown
            | ErrorKind::VersionGone
            | ErrorKind::NotReady,
        ) => Next::RefuseNotRun,
        ExchangeStep::Refuse(_) | ExchangeStep::PassOn => Next::Refuse,
        ExchangeStep::Break(_) => Next::Break,
    }
}

const NO_TARGET: ExchangeEvent = ExchangeEvent::NoTarget;
const CROWDED: ExchangeEvent = ExchangeEvent::Crowded;
const TRIAL: ExchangeEvent = ExchangeEvent::TrialInProgress;
const CRASHES: ExchangeEvent = ExchangeEvent::CrashesTargets;
const ORIGIN: ExchangeEvent = ExchangeEvent::OriginUnknown;
const GONE: ExchangeEvent = ExchangeEvent::VersionGone;
const EXPIRED: ExchangeEvent = ExchangeEvent::Expired;
const STOPPING: ExchangeEvent = ExchangeEvent::Stopping;

/// Guards against a stream that is broken off, or refused when its caller takes it up, by a rule for new requests: it could go
/// on once a target is free.
#[rstest]
#[case(NO_TARGET, [Next::RefuseNotRun, Next::Refuse, Next::Wait, Next::Wait])]
#[case(CROWDED, [Next::RefuseNotRun, Next::Refuse, Next::RefuseNotRun, Next::Break])]
#[case(TRIAL, [Next::RefuseNotRun, Next::Refuse, Next::Wait, Next::Wait])]
#[case(CRASHES, [Next::RefuseNotRun, Next::Refuse, Next::RefuseNotRun, Next::Break])]
#[case(ORIGIN, [Next::RefuseNotRun, Next::RefuseNotRun, Next::RefuseNotRun, Next::Break])]
#[case(GONE, [Next::RefuseNotRun, Next::Refuse, Next::RefuseNotRun, Next::Break])]
#[case(EXPIRED, [Next::Refuse, Next::Refuse, Next::Refuse, Next::Break])]
#[case(STOPPING, [Next::RefuseNotRun, Next::Refuse, Next::RefuseNotRun, Next::Break])]
fn an_event_without_a_send_ends_a_request_by_its_progress(
    #[case] event: ExchangeEvent,
    #[case] expected: [Next; 4],
) {
    let all = [
        Progress::New,
        Progress::Sent,
        Progress::TakenUp,
        Progress::Begun,
    ];

    let steps = all.map(|progress| {
        let mut exchange = exchange_at(progress);
        assert_eq!(exchange.progress(), progress);
        next(&exchange.on_event(at(LATE), event, || false))
    });

    assert_eq!(steps, expected);
}

const FULL: ExchangeEvent = ExchangeEvent::NotRun(Fault::Full);
const NOT_SENT: ExchangeEvent = ExchangeEvent::NotSent(Fault::Unreachable);
const NO_COPY: ExchangeEvent = ExchangeEvent::NoCopy;
const LOST: ExchangeEvent = ExchangeEvent::Lost(Fault::Broken);
const FAILED: ExchangeEvent = ExchangeEvent::Failed;

/// Guards against the same after a send, with and without budget for another one.
#[rstest]
#[case(FULL, true, [Next::Send, Next::Send, Next::Send, Next::Send])]
#[case(FULL, false, [Next::RefuseNotRun, Next::Refuse, Next::Budget, Next::Budget])]
#[case(NOT_SENT, false, [Next::RefuseNotRun, Next::Refuse, Next::Send, Next::Send])]
#[case(NO_COPY, true, [Next::Send, Next::Send, Next::Send, Next::Send])]
#[case(NO_COPY, false, [Next::Refuse, Next::Refuse, Next::Refuse, Next::Break])]
#[case(LOST, true, [Next::Send, Next::Send, Next::Send, Next::Send])]
#[case(LOST, false, [Next::Refuse, Next::Refuse, Next::Refuse, Next::Break])]
#[case(FAILED, true, [Next::Send, Next::Send, Next::Send, Next::Send])]
#[case(FAILED, false, [Next::Refuse, Next::Refuse, Next::Refuse, Next::Break])]
fn an_event_after_a_send_ends_a_request_by_its_progress(
    #[case] event: ExchangeEvent,
    #[case] has_budget: bool,
    #[case] expected: [Next; 4],
) {
    let all = [
        Progress::New,
        Progress::Sent,
        Progress::TakenUp,
        Progress::Begun,
    ];

    let steps = all.map(|progress| {
        let mut exchange = exchange_at(progress);
        exchange.record_send(at(LATE), placement(engine(0, 1), None));
        next(&exchange.on_event(at(LATE), event, || has_budget))
    });

    assert_eq!(steps, expected);
}

/// Guards against a wait beyond what the caller waits for, and against one that ends while there is time.
#[rstest]
#[case(Progress::New, 4_500 / 4)]
#[case(Progress::Sent, (DEADLINE - LATE) / 4)]
#[case(Progress::TakenUp, 18_000 - LATE - 1_000)]
#[case(Progress::Begun, 18_000 - LATE - 1_000)]
fn a_request_waits_for_a_slot_by_its_progress(#[case] progress: Progress, #[case] expected: u64) {
    let exchange = exchange_at(progress);

    let (reading, rest) = (Duration::from_secs(1), Duration::from_secs(3));
    let longest = exchange.longest_slot_wait(at(LATE), at(0), reading, rest);

    assert_eq!(longest, Duration::from_millis(expected));
}

/// Guards against a stream that is still waiting when it is too late to begin before its deadline.
#[rstest]
fn a_stream_waits_for_no_slot_behind_its_deadline() {
    let mut exchange = Exchange::new(ExchangePlan {
        deadline: at(6_000),
        ..plan(Repeat::Resume)
    });
    exchange.take_up(listing(0, 0).software());

    let reading = Duration::from_millis(400);
    let longest = exchange.longest_slot_wait(at(LATE), at(LATE), reading, Duration::ZERO);

    assert_eq!(longest, Duration::from_millis(600));
}

/// Guards against a stream that waits for a slot and is broken off at its deadline all the same, while one that could have ended
/// in time waits behind it.
#[rstest]
#[case(0, 10_000)]
#[case(70, 15_000)]
#[case(140, 18_000)]
#[case(200, 18_000)]
fn a_stream_waits_for_a_slot_only_if_it_can_end_in_time(#[case] events: u64, #[case] until: u64) {
    let mut times = RunTimes::default();
    let service = name("engines");
    let before = times.rest_time(&service, events);
    times.record_run(&service, Duration::from_secs(10), 140);
    let exchange = exchange_at(Progress::Begun);

    let rest = times.rest_time(&service, events);
    let longest = exchange.longest_slot_wait(at(LATE), at(LATE), Duration::ZERO, rest);

    assert_eq!(before, Duration::ZERO);
    assert_eq!(longest, Duration::from_millis(until));
}

/// Guards against a stream that is sent to full targets time and again: it was sent every 15 ms, whatever the budget.
#[rstest]
#[case(true)]
#[case(false)]
fn a_begun_stream_is_sent_to_full_targets_within_the_budget(#[case] taken_up: bool) {
    let progress = match taken_up {
        true => Progress::TakenUp,
        false => Progress::Begun,
    };
    let mut exchange = exchange_at(progress);
    let (mut now, mut sends, mut budget) = (at(LATE), 0, 5);
    let mut step = ExchangeStep::Send(Default::default());

    while now < at(LATE) + Duration::from_secs(10) {
        let mut spend = || {
            budget -= 1;
            budget >= 0
        };
        step = match step {
            ExchangeStep::Send(_) => {
                sends += 1;
                exchange.record_send(now, placement(engine(0, 0), None));
                now = now + Duration::from_millis(2);
                exchange.on_event(now, FULL, &mut spend)
            }
            ExchangeStep::Wait(pause) => {
                now = now + pause;
                ExchangeStep::Send(Default::default())
            }
            ExchangeStep::AskBudget(pause) => {
                now = now + pause;
                exchange.on_event(now, ExchangeEvent::BudgetAsked, &mut spend)
            }
            step => panic!("{step:?} at {now}"),
        };
    }

    assert_eq!(
        sends,
        1 + 5,
        "the first send, and those that the budget allows"
    );
}

/// Guards against a fixed delay between the rounds in which a stream finds all targets full.
#[rstest]
fn a_begun_stream_looks_for_a_target_less_and_less_often() {
    let mut exchange = exchange_at(Progress::Begun);
    let mut pauses: Vec<Duration> = Vec::new();
    for _ in 0..40 {
        exchange.record_send(at(LATE), placement(engine(0, 0), None));
        exchange.on_event(at(LATE), FULL, || true);
        let ExchangeStep::Wait(pause) = exchange.on_event(at(LATE), NO_TARGET, || true) else {
            panic!("the stream waits");
        };
        pauses.push(pause);
    }

    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses[0] < Duration::from_millis(50), "{pauses:?}");
    assert!(pauses[39] >= Duration::from_millis(200), "{pauses:?}");
    assert!(
        pauses[39] <= Duration::from_millis(700),
        "a pause of events"
    );
}

/// Returns the time at which a stream that waits from `now` on without a target ends.
fn end_without_target(exchange: &mut Exchange, mut now: Time) -> Time {
    while let ExchangeStep::Wait(pause) = exchange.on_event(now, NO_TARGET, || true) {
        now = now + pause;
    }
    now
}

/// Guards against refusing a stream that is taken up as if it were new, when no target is there for a moment.
#[rstest]
#[case(Progress::New, LATE, LATE)]
#[case(Progress::TakenUp, LATE, DEADLINE)]
#[case(Progress::Begun, LATE, DEADLINE)]
fn a_stream_waits_for_a_target_by_its_progress(
    #[case] progress: Progress,
    #[case] from: u64,
    #[case] until: u64,
) {
    let mut exchange = exchange_at(progress);

    let end = end_without_target(&mut exchange, at(from));

    assert!(end >= at(until) && end < at(until + 100), "{end}");
}
