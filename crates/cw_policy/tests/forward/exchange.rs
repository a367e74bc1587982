//! Tests of the action that follows each event of a request.

use std::time::Duration;

use cw_policy::forward::CopyName;
use cw_policy::forward::Exchange;
use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::ExchangePlan;
use cw_policy::forward::ExchangeStep;
use cw_policy::forward::Fault;
use cw_policy::forward::Repeat;
use cw_policy::forward::Resume;
use cw_policy::forward::RunCopy;
use cw_types::ErrorKind;
use rstest::rstest;

use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::placement;
use crate::fixtures::plan;

/// Creates a request that was sent to the first engine at the origin, with a copy at another.
fn sent(repeat: Repeat) -> Exchange {
    let mut exchange = Exchange::new(plan(repeat));
    exchange.record_send(at(0), placement(engine(0, 0), Some(engine(1, 0))));
    exchange
}

fn allowed() -> bool {
    true
}

fn denied() -> bool {
    false
}

#[rstest]
#[case(Fault::Broken)]
#[case(Fault::Silent)]
fn a_request_that_may_run_once_is_not_sent_again(#[case] fault: Fault) {
    let mut exchange = sent(Repeat::Never);

    let step = exchange.on_event(at(10), ExchangeEvent::Lost(fault), allowed);

    assert_eq!(step, ExchangeStep::Refuse(ErrorKind::OutcomeUnknown));
}

#[test]
fn a_request_that_may_run_once_is_sent_again_when_it_provably_has_not_run() {
    let mut exchange = sent(Repeat::Never);

    let step = exchange.on_event(at(10), ExchangeEvent::NotRun(Fault::Full), allowed);

    assert_eq!(step, ExchangeStep::Send(Resume::default()));
    assert!(exchange.excluded().contains(&engine(0, 0)));
}

#[test]
fn a_request_that_may_run_once_waits_until_its_deadline() {
    let exchange = sent(Repeat::Never);

    assert_eq!(exchange.start_deadline(at(0), false, None), None);
    assert_eq!(exchange.event_deadline(at(0)), None);
}

#[rstest]
#[case(Repeat::Never)]
#[case(Repeat::Whole)]
#[case(Repeat::Resume)]
fn without_budget_a_refusal_says_that_nothing_ran(#[case] repeat: Repeat) {
    let mut exchange = sent(repeat);

    let step = exchange.on_event(at(10), ExchangeEvent::NotRun(Fault::Full), denied);

    assert_eq!(step, ExchangeStep::Refuse(ErrorKind::Overloaded));
}

#[test]
fn an_unreachable_target_costs_no_budget() {
    let mut exchange = sent(Repeat::Never);

    let step = exchange.on_event(at(10), ExchangeEvent::NotRun(Fault::Unreachable), denied);

    assert_eq!(step, ExchangeStep::Send(Resume::default()));
}

#[test]
fn a_refusal_after_a_run_does_not_say_that_nothing_ran() {
    let mut exchange = sent(Repeat::Whole);
    exchange.on_event(at(10), ExchangeEvent::Lost(Fault::Broken), allowed);
    exchange.record_send(at(11), placement(engine(0, 1), None));

    let step = exchange.on_event(at(12), ExchangeEvent::NotRun(Fault::Full), denied);

    assert_eq!(step, ExchangeStep::Refuse(ErrorKind::TargetFailed));
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_as_not_run() {
    for repeat in [Repeat::Never, Repeat::Whole, Repeat::Resume] {
        let mut exchange = Exchange::new(plan(repeat));

        let step = exchange.on_event(at(1), ExchangeEvent::Crowded, denied);

        assert_eq!(step, ExchangeStep::Refuse(ErrorKind::Overloaded));
    }
}

#[test]
fn every_target_full_is_refused_within_the_objective() {
    let mut exchange = Exchange::new(ExchangePlan {
        objective: Duration::from_millis(150),
        ..plan(Repeat::Whole)
    });
    let mut now = 0;

    let end = loop {
        match exchange.on_event(at(now), ExchangeEvent::NoTarget, allowed) {
            ExchangeStep::Wait(pause) => now += pause.as_millis() as u64,
            step => break step,
        }
    };

    assert_eq!(end, ExchangeStep::Refuse(ErrorKind::NoTarget));
    assert!(now < 150, "refused after {now} ms");
}

/// Guards against ending a stream because the budget allows no move away from a target that is leaving: the
/// target continues its runs.
#[test]
fn a_stream_that_may_not_move_stays_at_its_target() {
    let mut exchange = sent(Repeat::Resume);
    exchange.record_start();
    let target = exchange.placed().cloned();

    let step = exchange.leave_target(denied);

    assert_eq!(step, None);
    assert_eq!(exchange.placed().cloned(), target);
    assert!(exchange.copy().is_some());
}

/// Guards against holding a request until its deadline while another trial of it is in progress.
#[test]
fn a_request_that_waits_for_a_trial_is_refused_within_the_objective() {
    for repeat in [Repeat::Never, Repeat::Whole, Repeat::Resume] {
        let mut exchange = Exchange::new(plan(repeat));
        let mut now = 0;

        let end = loop {
            match exchange.on_event(at(now), ExchangeEvent::TrialInProgress, denied) {
                ExchangeStep::Wait(pause) => now += pause.as_millis() as u64,
                step => break step,
            }
        };

        assert_eq!(end, ExchangeStep::Refuse(ErrorKind::Quarantined));
        let objective = exchange.plan().objective;
        assert!(
            Duration::from_millis(now) < objective,
            "refused after {now} ms"
        );
    }
}

#[test]
fn a_lost_stream_resumes_at_the_keeper_of_its_copy() {
    let mut exchange = sent(Repeat::Resume);
    exchange.record_start();

    let step = exchange.on_event(at(900), ExchangeEvent::Lost(Fault::Broken), allowed);

    let copy = Some(RunCopy {
        keeper: engine(1, 0),
        since: at(0),
        name: None,
    });
    assert_eq!(step, ExchangeStep::Send(Resume { copy }));
}

/// Guards against a resumption from a copy that does not exist: engines of a zone crash while they
/// still read many prompts, so their runs have no copies and start from the beginning.
#[test]
fn before_the_first_event_there_is_no_copy() {
    let mut exchange = sent(Repeat::Resume);

    let step = exchange.on_event(at(900), ExchangeEvent::Lost(Fault::Broken), allowed);

    assert_eq!(step, ExchangeStep::Send(Resume::default()));
}

/// Guards against a resumption from the first copy when its keeper is lost in one outage and the
/// target in the next: the run must resume from the copy made in between.
#[test]
fn a_stream_resumes_from_the_newest_copy() {
    let mut exchange = sent(Repeat::Resume);
    exchange.record_start();
    let copy = RunCopy {
        keeper: engine(2, 0),
        since: at(2000),
        name: Some(CopyName {
            address: "127.0.0.1:80".parse().unwrap(),
            name: "h1".to_owned(),
        }),
    };

    exchange.set_copy(Some(copy.clone()));
    let step = exchange.on_event(at(4000), ExchangeEvent::Lost(Fault::Broken), allowed);

    assert_eq!(step, ExchangeStep::Send(Resume { copy: Some(copy) }));
}

#[test]
fn a_keeper_without_the_copy_may_start_the_run() {
    let mut exchange = sent(Repeat::Resume);
    exchange.record_start();
    exchange.on_event(at(900), ExchangeEvent::Lost(Fault::Broken), allowed);
    exchange.record_send(at(901), placement(engine(1, 0), None));

    let step = exchange.on_event(at(905), ExchangeEvent::NoCopy, allowed);

    assert_eq!(step, ExchangeStep::Send(Resume::default()));
    assert!(!exchange.excluded().contains(&engine(1, 0)));
}

#[test]
fn a_stream_is_aborted_only_when_it_cannot_resume() {
    let mut exchange = sent(Repeat::Resume);
    exchange.record_start();

    let step = exchange.on_event(at(900), ExchangeEvent::Lost(Fault::Broken), denied);

    assert_eq!(step, ExchangeStep::Break(ErrorKind::TargetFailed));
}

#[test]
fn no_more_targets_run_a_request_than_its_route_allows() {
    let mut exchange = Exchange::new(plan(Repeat::Resume));
    let mut sends = 0;
    loop {
        exchange.record_send(at(sends), placement(engine(0, sends as usize), None));
        sends += 1;
        let event = ExchangeEvent::Lost(Fault::Broken);
        let ExchangeStep::Send(_) = exchange.on_event(at(sends), event, allowed) else {
            break;
        };
    }

    assert_eq!(sends, 5);
}

/// Moving off a target that drains is not a failure, so the number of moves is not limited.
#[test]
fn moving_off_a_leaving_target_does_not_count_as_an_attempt() {
    let mut exchange = Exchange::new(plan(Repeat::Resume));
    for number in 0..8 {
        exchange.record_send(
            at(number),
            placement(engine(0, number as usize), Some(engine(1, 0))),
        );
        exchange.record_start();

        let step = exchange.leave_target(allowed);

        assert!(matches!(step, Some(ExchangeStep::Send(_))), "{step:?}");
    }
}

#[test]
fn a_failed_request_is_sent_to_another_target_before_its_failure_is_passed_on() {
    let mut exchange = Exchange::new(ExchangePlan {
        attempts: 2,
        ..plan(Repeat::Whole)
    });
    exchange.record_send(at(0), placement(engine(0, 0), None));

    let first = exchange.on_event(at(10), ExchangeEvent::Failed, allowed);
    exchange.record_send(at(10), placement(engine(0, 1), None));
    let second = exchange.on_event(at(20), ExchangeEvent::Failed, allowed);

    assert_eq!(first, ExchangeStep::Send(Resume::default()));
    assert_eq!(second, ExchangeStep::PassOn);
}

#[test]
fn a_failure_of_a_request_that_may_run_once_is_passed_on() {
    let mut exchange = sent(Repeat::Never);

    let step = exchange.on_event(at(10), ExchangeEvent::Failed, allowed);

    assert_eq!(step, ExchangeStep::PassOn);
}

#[rstest]
#[case(Repeat::Never)]
#[case(Repeat::Whole)]
fn a_sent_request_that_expires_is_not_reported_as_not_run(#[case] repeat: Repeat) {
    let mut exchange = sent(repeat);

    let step = exchange.on_event(at(25_000), ExchangeEvent::Expired, allowed);

    assert_eq!(step, ExchangeStep::Refuse(ErrorKind::TargetFailed));
}

/// Guards against a request that is counted as run although its deadline passed while a connection for it was made.
#[rstest]
#[case(Repeat::Never)]
#[case(Repeat::Resume)]
fn a_request_that_expires_before_it_is_sent_has_not_run(#[case] repeat: Repeat) {
    let mut exchange = sent(repeat);

    let step = exchange.on_event(at(25_000), ExchangeEvent::NotSent(Fault::Late), denied);

    assert_eq!(step, ExchangeStep::Refuse(ErrorKind::Expired));
}

/// Guards against giving up a request while its prompt is read: a prompt of 14,000 tokens takes
/// longer to read than the fraction of the objective that other requests get.
#[test]
fn a_long_prompt_is_waited_for() {
    let exchange = sent(Repeat::Resume);
    let usual = exchange
        .start_deadline(at(0), false, Some(Duration::from_secs(1)))
        .unwrap();
    let long = exchange
        .start_deadline(at(0), false, Some(Duration::from_secs(7)))
        .unwrap();

    assert!(usual < at(4500), "{usual}");
    assert_eq!(long, at(7000));
}

#[test]
fn a_silent_stream_with_a_copy_is_given_up_sooner() {
    let mut exchange = sent(Repeat::Resume);
    exchange.record_start();
    let with_copy = exchange.event_deadline(at(1000)).unwrap();

    exchange.set_copy(None);
    let without = exchange.event_deadline(at(1000)).unwrap();

    assert!(with_copy < at(1700), "a pause of 700 ms is too long");
    assert!(without > at(1700), "reading the prompt again takes longer");
}

/// If every target is slow, a stream must not move from one to the next without end.
#[test]
fn the_maximum_silence_grows_after_a_move() {
    let mut exchange = sent(Repeat::Resume);
    exchange.record_start();
    let first = exchange.event_deadline(at(0)).unwrap();
    exchange.on_event(at(400), ExchangeEvent::Lost(Fault::Silent), allowed);
    exchange.record_send(at(400), placement(engine(1, 0), Some(engine(2, 0))));
    exchange.record_start();

    let second = exchange.event_deadline(at(0)).unwrap();

    assert!(second > first);
}

#[test]
fn the_last_send_is_not_given_up() {
    let mut exchange = Exchange::new(ExchangePlan {
        attempts: 1,
        ..plan(Repeat::Whole)
    });
    exchange.record_send(at(0), placement(engine(0, 0), None));

    assert_eq!(exchange.start_deadline(at(0), false, None), None);
}

/// Guards against a request that a process drops as it ends: what no target has got is refused as not run, and nothing else is.
#[rstest]
#[case(Repeat::Never, ErrorKind::OutcomeUnknown)]
#[case(Repeat::Whole, ErrorKind::TargetFailed)]
#[case(Repeat::Resume, ErrorKind::TargetFailed)]
fn a_process_that_ends_refuses_what_has_no_answer(
    #[case] repeat: Repeat,
    #[case] after_send: ErrorKind,
) {
    let mut waiting = Exchange::new(plan(repeat));
    let mut begun = sent(repeat);
    begun.record_start();

    let steps = [&mut waiting, &mut sent(repeat), &mut begun]
        .map(|exchange| exchange.on_event(at(10), ExchangeEvent::Stopping, allowed));

    assert_eq!(steps[0], ExchangeStep::Refuse(ErrorKind::NotReady));
    assert_eq!(steps[1], ExchangeStep::Refuse(after_send));
    assert!(matches!(steps[2], ExchangeStep::Break(_)));
}
