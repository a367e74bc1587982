//! Tests of the generation state machine, at least one for each kind of failure.

use std::time::Duration;

use cw_policy::Effect;
use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::GenerationLimits;
use cw_policy::GenerationPlan;
use cw_policy::LinkId;
use cw_policy::Step;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Failure;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::Load;
use cw_wire::NotRunReason;
use cw_wire::Token;
use rstest::rstest;

fn target(number: u32) -> TargetId {
    format!("t{number}").parse().expect("a valid target name")
}

/// A generation with a driver that selects a new target for each choice.
struct Harness {
    now: Time,
    machine: Generation,
    choices: u32,
    steps: Vec<Step>,
}

impl Harness {
    fn new(plan: GenerationPlan, limits: GenerationLimits) -> Self {
        let mut harness = Self {
            now: Time(1_000_000),
            machine: Generation::new(plan, limits),
            choices: 0,
            steps: Vec::new(),
        };
        harness.feed(Event::Start);
        harness
    }

    fn idempotent() -> Self {
        Self::new(
            GenerationPlan::generate(Duration::from_secs(10)),
            GenerationLimits::default(),
        )
    }

    fn non_idempotent() -> Self {
        let plan = GenerationPlan::generate(Duration::from_secs(10)).with_idempotent(false);
        Self::new(plan, GenerationLimits::default())
    }

    fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while !events.is_empty() {
            let steps = self.machine.on_event(self.now, events.remove(0));
            for step in &steps {
                if let Step::Choose { .. } = step {
                    self.choices += 1;
                    events.push(Event::Chosen(target(self.choices)));
                }
            }
            self.steps.extend(steps);
        }
    }

    fn frame(&mut self, link: u32, frame: Frame) {
        let link = LinkId(link);
        self.feed(Event::Frame { link, frame });
    }

    fn tokens(&mut self, link: u32, range: std::ops::Range<u32>) {
        let first = TokenIndex(u64::from(range.start));
        let token = |id| Token {
            id: TokenId(id),
            text: String::new(),
        };
        let tokens = range.map(token).collect();
        self.frame(link, Frame::Tokens { first, tokens });
    }

    fn fail(&mut self, link: u32, failure: Failure) {
        let (ran, next) = (Ran::Partly, TokenIndex(0));
        self.frame(link, Frame::Failed { failure, ran, next });
    }

    fn refuse_busy(&mut self, link: u32) {
        let refusal = Frame::NotRun {
            reason: NotRunReason::Busy,
            retry: Duration::from_secs(3),
            load: Load::default(),
        };
        self.frame(link, refusal);
    }

    /// Advances the clock to the next deadline and feeds a tick.
    fn advance_to_deadline(&mut self) {
        self.now = self.machine.deadline().expect("a deadline is pending");
        self.feed(Event::Tick);
    }

    fn count(&self, predicate: impl Fn(&Step) -> bool) -> usize {
        self.steps.iter().filter(|step| predicate(step)).count()
    }

    fn dispatches(&self) -> usize {
        self.count(|step| matches!(step, Step::Dispatch { .. }))
    }

    fn failure(&self) -> Option<(ErrorKind, Ran)> {
        self.steps.iter().find_map(|step| match step {
            Step::Fail { kind, ran, .. } => Some((*kind, *ran)),
            _ => None,
        })
    }
}

#[rstest]
fn a_silent_link_leads_to_a_new_connection_before_a_new_attempt() {
    let mut harness = Harness::idempotent();
    harness.tokens(0, 0..3);

    harness.advance_to_deadline();

    assert_eq!(harness.dispatches(), 1);
    let attach = harness.steps.iter().rev().find_map(|step| match step {
        Step::Attach { from, repeat, .. } => Some((*from, repeat.clone())),
        _ => None,
    });
    assert_eq!(attach, Some((TokenIndex(3), Some(Vec::new()))));
}

#[rstest]
#[case::latency(2, 3)]
#[case::thrift(1, 2)]
fn an_agent_that_cannot_be_reached_is_replaced(#[case] hedges: u32, #[case] dispatches: usize) {
    let limits = GenerationLimits {
        hedges,
        ..GenerationLimits::default()
    };
    let mut harness = Harness::new(GenerationPlan::generate(Duration::from_secs(10)), limits);
    harness.tokens(0, 0..3);

    harness.advance_to_deadline();
    harness.advance_to_deadline();

    assert_eq!(harness.dispatches(), dispatches);
}

#[rstest]
fn the_first_hedge_to_deliver_a_token_becomes_the_writer_and_the_other_is_cancelled() {
    let mut harness = Harness::idempotent();
    harness.tokens(0, 0..3);
    harness.advance_to_deadline();
    harness.advance_to_deadline();

    harness.tokens(3, 3..4);
    harness.tokens(2, 3..5);

    let cancelled = |number| {
        let attempt = AttemptNo(number);
        harness.count(|step| matches!(step, Step::Cancel { attempt: a, .. } if *a == attempt))
    };
    assert_eq!((cancelled(2), cancelled(3)), (1, 0));
    assert_eq!(harness.machine.next_index(), TokenIndex(4));
}

#[rstest]
fn a_stalled_engine_keeps_running_and_may_become_the_writer_again() {
    let mut harness = Harness::idempotent();
    harness.tokens(0, 0..3);
    let quiet = GenerationLimits::default().stall_timeout;
    harness.frame(0, Frame::Heartbeat { quiet });
    assert_eq!(harness.dispatches(), 3);

    harness.tokens(0, 3..4);

    assert_eq!(harness.machine.next_index(), TokenIndex(4));
    assert_eq!(harness.count(|step| matches!(step, Step::Cancel { .. })), 2);
}

#[rstest]
fn a_request_whose_engine_crashed_is_not_sent_to_two_targets_at_once() {
    let mut harness = Harness::idempotent();
    harness.tokens(0, 0..3);

    harness.fail(0, Failure::TargetLost);

    assert_eq!(harness.dispatches(), 2);
}

#[rstest]
#[case::guilty(true, Some((ErrorKind::CrashesTargets, Ran::Partly)), 2)]
#[case::not_guilty(false, None, 3)]
fn the_second_crash_is_checked_before_a_third_target_is_tried(
    #[case] at_fault: bool,
    #[case] end: Option<(ErrorKind, Ran)>,
    #[case] dispatches: usize,
) {
    let mut harness = Harness::idempotent();
    harness.tokens(0, 0..3);
    harness.fail(0, Failure::TargetLost);
    harness.fail(1, Failure::TargetLost);
    assert_eq!(harness.dispatches(), 2);

    harness.feed(Event::CrashesChecked { at_fault });

    assert_eq!((harness.failure(), harness.dispatches()), (end, dispatches));
}

#[rstest]
fn a_request_that_finds_all_targets_busy_is_queued() {
    let mut harness = Harness::idempotent();

    for link in 0..GenerationLimits::default().max_refusals {
        harness.refuse_busy(link);
    }

    assert_eq!(harness.count(|step| matches!(step, Step::Enqueue)), 1);

    harness.feed(Event::Dequeued);
    assert_eq!(harness.dispatches(), 4);
    let (kind, retry) = (ErrorKind::Overloaded, Duration::from_secs(1));
    harness.feed(Event::QueueRejected { kind, retry });
    assert_eq!(harness.failure(), None);
}

#[rstest]
fn a_request_that_the_queue_rejects_was_not_run() {
    let mut harness = Harness::idempotent();
    for link in 0..GenerationLimits::default().max_refusals {
        harness.refuse_busy(link);
    }

    let (kind, retry) = (ErrorKind::Expired, Duration::from_secs(1));
    harness.feed(Event::QueueRejected { kind, retry });

    assert_eq!(harness.failure(), Some((ErrorKind::Expired, Ran::No)));
}

#[rstest]
fn a_resumed_attempt_that_finds_all_targets_busy_is_retried_after_a_backoff() {
    let mut harness = Harness::idempotent();
    harness.tokens(0, 0..3);
    harness.fail(0, Failure::TargetLost);
    for link in 1..4 {
        harness.refuse_busy(link);
    }
    assert_eq!(harness.failure(), None);

    harness.advance_to_deadline();

    assert_eq!(harness.dispatches(), 5);
}

#[rstest]
#[case::proof(Some(Ran::No), None, 2)]
#[case::it_ran(Some(Ran::Unknown), Some((ErrorKind::OutcomeUnknown, Ran::Unknown)), 1)]
#[case::no_answer(None, Some((ErrorKind::OutcomeUnknown, Ran::Unknown)), 1)]
fn non_idempotent_work_is_dispatched_again_only_if_it_is_confirmed_not_run(
    #[case] ran: Option<Ran>,
    #[case] end: Option<(ErrorKind, Ran)>,
    #[case] dispatches: usize,
) {
    let mut harness = Harness::non_idempotent();
    while harness.count(|step| matches!(step, Step::ConfirmCancel { .. })) == 0 {
        harness.advance_to_deadline();
    }
    assert_eq!(harness.dispatches(), 1);

    let attempt = AttemptNo(1);
    harness.feed(Event::CancelResult { attempt, ran });

    assert_eq!((harness.failure(), harness.dispatches()), (end, dispatches));
}

#[rstest]
fn non_idempotent_work_is_reattached_and_never_dispatched_to_the_same_agent_again() {
    let mut harness = Harness::non_idempotent();

    harness.feed(Event::Closed {
        link: LinkId(0),
        effect: Effect::Possible,
    });

    let repeated = |step: &Step| {
        matches!(
            step,
            Step::Attach {
                repeat: Some(_),
                ..
            }
        )
    };
    assert_eq!(harness.count(repeated), 0);
    assert_eq!(harness.count(|step| matches!(step, Step::Attach { .. })), 1);
}

#[rstest]
fn the_generation_of_a_disconnected_caller_is_cancelled_after_the_timeout() {
    let mut harness = Harness::idempotent();
    harness.tokens(0, 0..3);
    harness.feed(Event::CallerGone);
    let timeout = harness.now + GenerationLimits::default().caller_timeout;

    while harness.now < timeout {
        harness.now = harness.now + Duration::from_millis(500);
        let quiet = Duration::ZERO;
        harness.frame(0, Frame::Heartbeat { quiet });
        harness.feed(Event::Tick);
    }

    assert_eq!(harness.count(|step| matches!(step, Step::Abandon)), 1);
    assert_eq!(harness.count(|step| matches!(step, Step::Cancel { .. })), 1);
}

#[rstest]
fn non_idempotent_work_continues_without_its_caller() {
    let mut harness = Harness::non_idempotent();
    harness.tokens(0, 0..3);
    harness.feed(Event::CallerGone);

    for _ in 0..100 {
        harness.now = harness.now + Duration::from_millis(500);
        harness.frame(
            0,
            Frame::Heartbeat {
                quiet: Duration::ZERO,
            },
        );
        harness.feed(Event::Tick);
    }

    assert!(!harness.machine.is_ended());
}

#[rstest]
fn an_output_lost_after_its_last_token_is_complete() {
    let mut plan = GenerationPlan::generate(Duration::from_secs(10));
    plan.max_tokens = Some(TokenCount(3));
    let mut harness = Harness::new(plan, GenerationLimits::default());
    harness.tokens(0, 0..3);

    harness.fail(0, Failure::TargetLost);

    let complete = |step: &Step| matches!(step, Step::Finish(FinishReason::Length));
    assert_eq!((harness.count(complete), harness.dispatches()), (1, 1));
}

#[rstest]
fn an_attempt_whose_claim_could_not_be_written_was_not_run() {
    let mut harness = Harness::non_idempotent();

    harness.feed(Event::NotClaimed {
        link: LinkId(0),
        kind: ErrorKind::StoreUnavailable,
    });

    assert_eq!(
        harness.failure(),
        Some((ErrorKind::StoreUnavailable, Ran::No))
    );
}

#[rstest]
fn a_caller_with_output_is_never_told_that_it_was_not_run() {
    let mut plan = GenerationPlan::generate(Duration::from_secs(10)).with_idempotent(false);
    plan.resume_index = TokenIndex(3);
    plan.running_target = Some(target(1));
    plan.running_attempt = AttemptNo(1);
    let mut harness = Harness::new(plan, GenerationLimits::default());

    let (reason, retry) = (NotRunReason::Unknown, Duration::ZERO);
    let load = Load::default();
    harness.frame(
        0,
        Frame::NotRun {
            reason,
            retry,
            load,
        },
    );

    assert_eq!(
        harness.failure(),
        Some((ErrorKind::OutcomeUnknown, Ran::Partly))
    );
    assert_eq!(harness.dispatches(), 0);
}
