//! Focused cases of the generation machine, one for each thing that goes wrong.

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
use cw_wire::Finish;
use cw_wire::Frame;
use cw_wire::Load;
use cw_wire::Reason;
use cw_wire::Token;
use rstest::rstest;

fn target(at: u32) -> TargetId {
    format!("t{at}").parse().expect("a name")
}

/// A machine whose targets are chosen in turn.
struct Rig {
    now: Time,
    machine: Generation,
    chosen: u32,
    log: Vec<Step>,
}

impl Rig {
    fn new(plan: GenerationPlan, limits: GenerationLimits) -> Self {
        let mut rig = Self {
            now: Time(1_000_000),
            machine: Generation::new(plan, limits),
            chosen: 0,
            log: Vec::new(),
        };
        rig.feed(Event::Start);
        rig
    }

    fn engine() -> Self {
        Self::new(
            GenerationPlan::generate(Duration::from_secs(10)),
            GenerationLimits::default(),
        )
    }

    fn once() -> Self {
        let plan = GenerationPlan::generate(Duration::from_secs(10)).with_idempotent(false);
        Self::new(plan, GenerationLimits::default())
    }

    fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while !events.is_empty() {
            let steps = self.machine.on_event(self.now, events.remove(0));
            for step in &steps {
                if let Step::Choose { .. } = step {
                    self.chosen += 1;
                    events.push(Event::Chosen(target(self.chosen)));
                }
            }
            self.log.extend(steps);
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

    fn busy(&mut self, link: u32) {
        let refusal = Frame::NotRun {
            reason: Reason::Busy,
            retry: Duration::from_secs(3),
            load: Load::default(),
        };
        self.frame(link, refusal);
    }

    /// Lets time pass to the next deadline.
    fn expire(&mut self) {
        self.now = self.machine.deadline().expect("something is waited for");
        self.feed(Event::Tick);
    }

    fn count(&self, is: impl Fn(&Step) -> bool) -> usize {
        self.log.iter().filter(|step| is(step)).count()
    }

    fn dispatches(&self) -> usize {
        self.count(|step| matches!(step, Step::Dispatch { .. }))
    }

    fn end(&self) -> Option<(ErrorKind, Ran)> {
        self.log.iter().find_map(|step| match step {
            Step::Fail { kind, ran, .. } => Some((*kind, *ran)),
            _ => None,
        })
    }
}

#[rstest]
fn silence_leads_to_a_new_connection_before_a_new_attempt() {
    let mut rig = Rig::engine();
    rig.tokens(0, 0..3);

    rig.expire();

    assert_eq!(rig.dispatches(), 1);
    let attach = rig.log.iter().rev().find_map(|step| match step {
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
    let mut rig = Rig::new(GenerationPlan::generate(Duration::from_secs(10)), limits);
    rig.tokens(0, 0..3);

    rig.expire();
    rig.expire();

    assert_eq!(rig.dispatches(), dispatches);
}

#[rstest]
fn the_first_hedge_to_bring_a_token_wins_and_the_other_is_cancelled() {
    let mut rig = Rig::engine();
    rig.tokens(0, 0..3);
    rig.expire();
    rig.expire();

    rig.tokens(3, 3..4);
    rig.tokens(2, 3..5);

    let cancelled = |no| {
        let attempt = AttemptNo(no);
        rig.count(|step| matches!(step, Step::Cancel { attempt: a, .. } if *a == attempt))
    };
    assert_eq!((cancelled(2), cancelled(3)), (1, 0));
    assert_eq!(rig.machine.next_index(), TokenIndex(4));
}

#[rstest]
fn a_stalled_engine_stays_in_the_race_and_may_win_it() {
    let mut rig = Rig::engine();
    rig.tokens(0, 0..3);
    let quiet = GenerationLimits::default().stall_timeout;
    rig.frame(0, Frame::Heartbeat { quiet });
    assert_eq!(rig.dispatches(), 3);

    rig.tokens(0, 3..4);

    assert_eq!(rig.machine.next_index(), TokenIndex(4));
    assert_eq!(rig.count(|step| matches!(step, Step::Cancel { .. })), 2);
}

#[rstest]
fn a_request_whose_engine_crashed_is_not_given_to_two_others_at_once() {
    let mut rig = Rig::engine();
    rig.tokens(0, 0..3);

    rig.fail(0, Failure::TargetLost);

    assert_eq!(rig.dispatches(), 2);
}

#[rstest]
#[case::guilty(true, Some((ErrorKind::CrashesTargets, Ran::Partly)), 2)]
#[case::not_guilty(false, None, 3)]
fn the_second_crash_is_judged_before_a_third_target_is_tried(
    #[case] guilty: bool,
    #[case] end: Option<(ErrorKind, Ran)>,
    #[case] dispatches: usize,
) {
    let mut rig = Rig::engine();
    rig.tokens(0, 0..3);
    rig.fail(0, Failure::TargetLost);
    rig.fail(1, Failure::TargetLost);
    assert_eq!(rig.dispatches(), 2);

    rig.feed(Event::CrashesChecked { at_fault: guilty });

    assert_eq!((rig.end(), rig.dispatches()), (end, dispatches));
}

#[rstest]
fn a_request_that_finds_all_targets_busy_waits_for_its_turn() {
    let mut rig = Rig::engine();

    for link in 0..GenerationLimits::default().max_refusals {
        rig.busy(link);
    }

    assert_eq!(rig.count(|step| matches!(step, Step::Enqueue)), 1);

    rig.feed(Event::Dequeued);
    assert_eq!(rig.dispatches(), 4);
    let (kind, retry) = (ErrorKind::Overloaded, Duration::from_secs(1));
    rig.feed(Event::QueueRejected { kind, retry });
    assert_eq!(rig.end(), None);
}

#[rstest]
fn a_request_that_the_queue_gives_up_was_not_run() {
    let mut rig = Rig::engine();
    for link in 0..GenerationLimits::default().max_refusals {
        rig.busy(link);
    }

    let (kind, retry) = (ErrorKind::Expired, Duration::from_secs(1));
    rig.feed(Event::QueueRejected { kind, retry });

    assert_eq!(rig.end(), Some((ErrorKind::Expired, Ran::No)));
}

#[rstest]
fn a_resumed_attempt_that_finds_all_busy_tries_again_soon() {
    let mut rig = Rig::engine();
    rig.tokens(0, 0..3);
    rig.fail(0, Failure::TargetLost);
    for link in 1..4 {
        rig.busy(link);
    }
    assert_eq!(rig.end(), None);

    rig.expire();

    assert_eq!(rig.dispatches(), 5);
}

#[rstest]
#[case::proof(Some(Ran::No), None, 2)]
#[case::it_ran(Some(Ran::Unknown), Some((ErrorKind::OutcomeUnknown, Ran::Unknown)), 1)]
#[case::no_answer(None, Some((ErrorKind::OutcomeUnknown, Ran::Unknown)), 1)]
fn work_that_may_run_once_is_dispatched_again_only_with_proof(
    #[case] ran: Option<Ran>,
    #[case] end: Option<(ErrorKind, Ran)>,
    #[case] dispatches: usize,
) {
    let mut rig = Rig::once();
    while rig.count(|step| matches!(step, Step::ConfirmCancel { .. })) == 0 {
        rig.expire();
    }
    assert_eq!(rig.dispatches(), 1);

    let attempt = AttemptNo(1);
    rig.feed(Event::CancelResult { attempt, ran });

    assert_eq!((rig.end(), rig.dispatches()), (end, dispatches));
}

#[rstest]
fn work_that_may_run_once_is_attached_to_and_never_dispatched_to_the_same_agent_again() {
    let mut rig = Rig::once();

    rig.feed(Event::Closed {
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
    assert_eq!(rig.count(repeated), 0);
    assert_eq!(rig.count(|step| matches!(step, Step::Attach { .. })), 1);
}

#[rstest]
fn a_caller_that_stays_away_has_its_generation_cancelled() {
    let mut rig = Rig::engine();
    rig.tokens(0, 0..3);
    rig.feed(Event::CallerGone);
    let leave = rig.now + GenerationLimits::default().caller_timeout;

    while rig.now < leave {
        rig.now = rig.now + Duration::from_millis(500);
        let quiet = Duration::ZERO;
        rig.frame(0, Frame::Heartbeat { quiet });
        rig.feed(Event::Tick);
    }

    assert_eq!(rig.count(|step| matches!(step, Step::Abandon)), 1);
    assert_eq!(rig.count(|step| matches!(step, Step::Cancel { .. })), 1);
}

#[rstest]
fn work_that_may_run_once_goes_on_without_its_caller() {
    let mut rig = Rig::once();
    rig.tokens(0, 0..3);
    rig.feed(Event::CallerGone);

    for _ in 0..100 {
        rig.now = rig.now + Duration::from_millis(500);
        rig.frame(
            0,
            Frame::Heartbeat {
                quiet: Duration::ZERO,
            },
        );
        rig.feed(Event::Tick);
    }

    assert!(!rig.machine.is_ended());
}

#[rstest]
fn an_output_lost_after_its_last_token_is_whole() {
    let mut plan = GenerationPlan::generate(Duration::from_secs(10));
    plan.max_tokens = Some(TokenCount(3));
    let mut rig = Rig::new(plan, GenerationLimits::default());
    rig.tokens(0, 0..3);

    rig.fail(0, Failure::TargetLost);

    let whole = |step: &Step| matches!(step, Step::Finish(Finish::Length));
    assert_eq!((rig.count(whole), rig.dispatches()), (1, 1));
}

#[rstest]
fn an_attempt_whose_claim_could_not_be_written_was_not_run() {
    let mut rig = Rig::once();

    rig.feed(Event::NotClaimed {
        link: LinkId(0),
        kind: ErrorKind::StoreUnavailable,
    });

    assert_eq!(rig.end(), Some((ErrorKind::StoreUnavailable, Ran::No)));
}

#[rstest]
fn a_caller_with_output_is_never_told_that_it_was_not_run() {
    let mut plan = GenerationPlan::generate(Duration::from_secs(10)).with_idempotent(false);
    plan.resume_index = TokenIndex(3);
    plan.running_target = Some(target(1));
    plan.running_attempt = AttemptNo(1);
    let mut rig = Rig::new(plan, GenerationLimits::default());

    let (reason, retry) = (Reason::Unknown, Duration::ZERO);
    let load = Load::default();
    rig.frame(
        0,
        Frame::NotRun {
            reason,
            retry,
            load,
        },
    );

    assert_eq!(rig.end(), Some((ErrorKind::OutcomeUnknown, Ran::Partly)));
    assert_eq!(rig.dispatches(), 0);
}
