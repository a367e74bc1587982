//! Tests of sliding windows, burn rates and the limit on the number of classes.

use std::time::Duration;

use cw_policy::slo::Burn;
use cw_policy::slo::Class;
use cw_policy::slo::Condition;
use cw_policy::slo::Counts;
use cw_policy::slo::Objective;
use cw_policy::slo::Objectives;
use cw_policy::slo::SloRecorder;
use cw_policy::slo::Window;
use cw_types::Time;
use rstest::rstest;

const MINUTE: Duration = Duration::from_secs(60);

fn class(route: &str) -> Class {
    Class {
        route: route.parse().expect("a route name"),
        priority: "ordinary".parse().expect("a priority name"),
    }
}

fn total(recorder: &mut SloRecorder, now: Time, window: Window) -> Counts {
    recorder
        .counts(now, window)
        .map(|(_, _, counts)| counts)
        .fold(Counts::default(), Counts::plus)
}

fn burn(bad: [u64; 4], total: u64) -> Burn {
    Burn {
        fraction: 0.95,
        counts: bad.map(|bad| Counts {
            good: total - bad,
            total,
        }),
    }
}

#[rstest]
fn event_leaves_each_window_when_it_is_too_old() {
    let start = Time(0);
    let mut recorder = SloRecorder::new(start, Objectives::default());
    recorder.record_first_token(start, &class("chat"), Duration::from_secs(9));

    let after_4m = start + MINUTE * 4;
    let after_6m = start + MINUTE * 6;
    let after_2h = start + MINUTE * 120;

    assert_eq!(total(&mut recorder, after_4m, Window::FiveMinutes).total, 1);
    assert_eq!(total(&mut recorder, after_6m, Window::FiveMinutes).total, 0);
    assert_eq!(total(&mut recorder, after_6m, Window::Hour).total, 1);
    assert_eq!(total(&mut recorder, after_2h, Window::Hour).total, 0);
    assert_eq!(total(&mut recorder, after_2h, Window::ThreeDays).total, 1);
}

#[rstest]
fn covered_time_is_bounded_by_the_process_start() {
    let start = Time(5_000_000);
    let recorder = SloRecorder::new(start, Objectives::default());

    let now = start + MINUTE * 10;

    assert_eq!(recorder.covered(now, Window::FiveMinutes), MINUTE * 5);
    assert_eq!(recorder.covered(now, Window::ThreeDays), MINUTE * 10);
}

#[rstest]
#[case(Duration::from_millis(1500), 1)]
#[case(Duration::from_millis(1501), 0)]
fn event_at_the_limit_is_good(#[case] took: Duration, #[case] good: u64) {
    let mut recorder = SloRecorder::new(Time(0), Objectives::default());

    recorder.record_first_token(Time(0), &class("chat"), took);

    assert_eq!(total(&mut recorder, Time(0), Window::Hour).good, good);
}

#[rstest]
fn the_number_of_classes_is_bounded() {
    let mut recorder = SloRecorder::new(Time(0), Objectives::default());

    for number in 0..1000 {
        recorder.record_response(Time(0), &class(&format!("route-{number}")), true);
    }

    assert!(recorder.counts(Time(0), Window::Hour).count() <= 64 * 5);
}

#[rstest]
#[case([0, 0, 0, 0], Condition::Ok)]
#[case([90, 90, 0, 0], Condition::Page)]
#[case([0, 90, 0, 0], Condition::Ok)]
#[case([0, 40, 40, 0], Condition::Page)]
#[case([0, 0, 6, 6], Condition::Ticket)]
fn burn_pages_only_while_it_continues(#[case] bad: [u64; 4], #[case] expected: Condition) {
    assert_eq!(burn(bad, 100).condition(), expected);
}

#[rstest]
fn no_events_give_no_data() {
    let burn = burn([0; 4], 0);

    assert_eq!(burn.condition(), Condition::NoData);
    assert_eq!(burn.budget_left(), None);
    assert_eq!(burn.rate(Window::Hour), None);
}

#[rstest]
fn objectives_are_parsed_from_their_names() {
    for objective in Objective::ALL {
        assert_eq!(objective.to_string().parse(), Ok(objective));
    }
}
