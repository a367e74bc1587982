//! Tests of admission to one target: control, adaptive limit and fair queue.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_policy::AdaptiveLimit;
use cw_policy::AdmissionControl;
use cw_policy::AdmissionLimits;
use cw_policy::AdmissionOutcome;
use cw_policy::FairQueue;
use cw_policy::Ticket;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::ByteSize;
use cw_types::GenerationId;
use cw_types::Time;
use cw_types::TokenCount;
use cw_wire::Load;
use rstest::rstest;

/// The limit on the time between tokens.
const STEP_LIMIT: Duration = Duration::from_millis(78);

fn limits() -> AdmissionLimits {
    AdmissionLimits {
        max_running: 8,
        max_waiting: 4,
        queue_bytes: ByteSize(10_000),
        reserved_slots: 2,
        step_limit: STEP_LIMIT,
    }
}

fn id(number: u128) -> AttemptId {
    AttemptId {
        generation: GenerationId(number),
        attempt: AttemptNo(1),
    }
}

fn ticket(number: u128) -> Ticket {
    Ticket {
        id: id(number),
        workspace: "partagez".parse().unwrap(),
        weight: 1,
        rank: 1,
        resumed: false,
        deadline: Time(u64::MAX),
        tokens: 100,
        bytes: 1000,
    }
}

fn ticket_of(number: u128, workspace: &str, weight: u32) -> Ticket {
    Ticket {
        workspace: workspace.parse().unwrap(),
        weight,
        ..ticket(number)
    }
}

/// Returns a control whose slots for ordinary attempts are all taken.
fn full_control() -> AdmissionControl {
    let mut control = AdmissionControl::new(limits());
    for number in 0..6 {
        assert_eq!(
            control.submit(Time(0), ticket(number)),
            AdmissionOutcome::Start
        );
    }
    control
}

#[rstest]
fn reserved_slots_admit_only_resumed_attempts() {
    let mut control = full_control();
    let resumed = Ticket {
        resumed: true,
        ..ticket(11)
    };

    let ordinary = control.submit(Time(0), ticket(10));
    let waiting = control.submit(Time(0), resumed);
    let admitted = control.admit_next();

    assert_eq!(ordinary, AdmissionOutcome::Wait { displaced: None });
    assert_eq!(waiting, AdmissionOutcome::Wait { displaced: None });
    assert_eq!(admitted, Some(id(11)));
    assert_eq!(control.admit_next(), None);
}

#[rstest]
fn a_full_queue_refuses_with_a_retry_delay() {
    let mut control = full_control();
    for number in 10..14 {
        control.submit(Time(0), ticket(number));
    }

    let outcome = control.submit(Time(0), ticket(20));

    let AdmissionOutcome::Refuse { retry } = outcome else {
        panic!("expected a refusal, found {outcome:?}");
    };
    assert!(retry > Duration::ZERO);
    assert_eq!(control.load(Time(0)).waiting, 4);
}

#[rstest]
fn waiting_attempts_are_bounded_in_bytes() {
    let mut control = full_control();
    let large = |number| Ticket {
        bytes: 6000,
        ..ticket(number)
    };

    let first = control.submit(Time(0), large(10));
    let second = control.submit(Time(0), large(11));
    control.release(Time(0), id(10));
    let third = control.submit(Time(0), large(12));

    assert_eq!(first, AdmissionOutcome::Wait { displaced: None });
    assert!(matches!(second, AdmissionOutcome::Refuse { .. }));
    assert_eq!(third, AdmissionOutcome::Wait { displaced: None });
}

#[rstest]
fn a_higher_rank_displaces_the_newest_ticket_of_the_lowest() {
    let mut control = full_control();
    for number in 10..14 {
        control.submit(Time(0), ticket(number));
    }
    let urgent = Ticket {
        rank: 2,
        ..ticket(20)
    };

    let outcome = control.submit(Time(0), urgent);

    let displaced = Some(id(13));
    assert_eq!(outcome, AdmissionOutcome::Wait { displaced });
}

#[rstest]
fn an_attempt_at_its_deadline_is_not_queued() {
    let mut control = full_control();
    let now = Time(5);
    let expired = Ticket {
        deadline: now,
        ..ticket(10)
    };

    let outcome = control.submit(now, expired);

    assert!(matches!(outcome, AdmissionOutcome::Refuse { .. }));
}

#[rstest]
fn the_cache_bounds_running_attempts_but_not_a_single_one() {
    let mut control = AdmissionControl::new(limits());
    control.observe(Load {
        capacity: TokenCount(1000),
        ..Load::default()
    });
    let large = |number| Ticket {
        tokens: 2000,
        ..ticket(number)
    };

    let single = control.submit(Time(0), large(1));
    let second = control.submit(Time(0), ticket(2));
    control.release(Time(0), id(1));
    let admitted = control.admit_next();

    assert_eq!(single, AdmissionOutcome::Start);
    assert_eq!(second, AdmissionOutcome::Wait { displaced: None });
    assert_eq!(admitted, Some(id(2)));
}

#[rstest]
fn output_counts_against_the_cache() {
    let mut control = AdmissionControl::new(limits());
    control.observe(Load {
        capacity: TokenCount(1000),
        ..Load::default()
    });
    control.submit(Time(0), ticket(1));

    control.add_output(id(1), 800);
    let outcome = control.submit(Time(0), ticket(2));

    assert_eq!(outcome, AdmissionOutcome::Wait { displaced: None });
}

// ---- The limit

#[rstest]
fn slow_steps_lower_the_limit_once_per_number_of_running_attempts() {
    let mut limit = AdaptiveLimit::new(STEP_LIMIT, 3, 64);

    limit.observe(2 * STEP_LIMIT, 40, 0);
    let first = limit.get();
    limit.observe(2 * STEP_LIMIT, 40, 0);
    let repeated = limit.get();
    limit.observe(2 * STEP_LIMIT, first, 0);

    assert!(first < 40);
    assert_eq!(repeated, first);
    assert!(limit.get() < first);
}

#[rstest]
fn the_limit_stays_between_its_bounds() {
    let mut limit = AdaptiveLimit::new(STEP_LIMIT, 3, 64);

    for _ in 0..100 {
        limit.observe(4 * STEP_LIMIT, limit.get(), 0);
    }
    let low = limit.get();
    for _ in 0..1000 {
        limit.observe(STEP_LIMIT / 4, limit.get(), 0);
    }

    assert_eq!(low, 3);
    assert_eq!(limit.get(), 64);
}

#[rstest]
fn the_limit_rises_only_when_it_is_reached() {
    let mut limit = AdaptiveLimit::new(STEP_LIMIT, 3, 64);
    for _ in 0..20 {
        limit.observe(2 * STEP_LIMIT, limit.get(), 0);
    }
    let low = limit.get();

    for _ in 0..20 {
        limit.observe(STEP_LIMIT / 4, low - 1, 0);
    }

    assert_eq!(limit.get(), low);
}

#[test]
fn the_limit_rises_while_the_reserved_slots_stay_free() {
    let mut limit = AdaptiveLimit::new(STEP_LIMIT, 5, 64).with_reserved_slots(4);
    for _ in 0..20 {
        limit.observe(2 * STEP_LIMIT, limit.get(), 0);
    }
    let low = limit.get();

    for _ in 0..200 {
        limit.observe(STEP_LIMIT / 4, limit.get() - 4, 0);
    }

    assert_eq!(low, 5);
    assert_eq!(limit.get(), 64);
}

#[rstest]
#[case::for_the_next_step(&[6, 0, 6], 8)]
#[case::for_room(&[6, 6], 5)]
fn an_engine_queue_counts_once_two_samples_show_it(#[case] samples: &[u32], #[case] expected: u32) {
    let mut control = AdmissionControl::new(limits());
    let sample = |waiting| Load {
        running: 5,
        waiting,
        step: STEP_LIMIT / 4,
        ..Load::default()
    };

    for waiting in samples {
        control.observe(sample(*waiting));
    }

    assert_eq!(control.load(Time(0)).limit, expected);
}

#[rstest]
fn an_engine_queue_lowers_the_limit_to_the_running_attempts() {
    let mut limit = AdaptiveLimit::new(STEP_LIMIT, 3, 64);

    limit.observe(STEP_LIMIT / 4, 20, 6);

    assert_eq!(limit.get(), 20);
}

// ---- The queue

#[rstest]
fn workspaces_share_by_weight_whatever_their_demand() {
    let mut queue = FairQueue::default();
    for number in 0..300 {
        queue.push(ticket_of(number, "flood", 1));
    }
    for number in 300..400 {
        queue.push(ticket_of(number, "heavy", 3));
        queue.push(ticket_of(number + 1000, "light", 1));
    }

    let mut starts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..100 {
        let ticket = queue.pop(false).unwrap();
        *starts.entry(ticket.workspace.to_string()).or_default() += 1;
    }

    // An eighth of the starts goes to the oldest tickets, which are all of `flood`.
    let [flood, heavy, light] = ["flood", "heavy", "light"].map(|name| starts[name]);
    assert!(heavy >= 2 * light, "{starts:?}");
    assert!(light >= 15, "{starts:?}");
    assert!(flood <= 18 + 100 / 8, "{starts:?}");
}

#[rstest]
fn the_lowest_rank_starts_within_eight_starts_per_older_ticket() {
    let mut queue = FairQueue::default();
    for number in 0..3 {
        queue.push(Ticket {
            rank: 9,
            ..ticket(number)
        });
    }
    queue.push(Ticket {
        rank: 0,
        ..ticket(100)
    });

    let mut starts = 0;
    loop {
        starts += 1;
        // Tickets of a higher rank keep arriving.
        queue.push(Ticket {
            rank: 9,
            ..ticket(1000 + starts)
        });
        if queue.pop(false).unwrap().id == id(100) {
            break;
        }
    }

    assert!(starts <= 8 * (3 + 1), "{starts}");
}

#[rstest]
fn higher_ranks_start_first_and_resumed_attempts_before_all() {
    let mut queue = FairQueue::default();
    let ranked = |number, rank, resumed| Ticket {
        rank,
        resumed,
        ..ticket(number)
    };
    queue.push(ranked(1, 1, false));
    queue.push(ranked(2, 5, false));
    queue.push(ranked(3, 0, true));

    let order: Vec<AttemptId> = std::iter::from_fn(|| queue.pop(false))
        .map(|ticket| ticket.id)
        .collect();

    assert_eq!(order, vec![id(3), id(2), id(1)]);
}

#[rstest]
fn a_removed_ticket_never_starts() {
    let mut queue = FairQueue::default();
    queue.push(ticket(1));
    queue.push(ticket(2));

    queue.remove(id(1));

    assert_eq!(queue.pop(false).map(|ticket| ticket.id), Some(id(2)));
    assert!(queue.pop(false).is_none());
}
