//! The state of a generation, its timers, and the dispatch of its attempts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bytes::BytesMut;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenId;
use cw_types::TokenIndex;

use super::Effect;
use super::Event;
use super::GenerationLimits;
use super::GenerationPlan;
use super::LinkId;
use super::Step;
use super::WorkKind;
use super::tracked_attempt::Phase;
use super::tracked_attempt::TrackedAttempt;

/// The response of a plain service, buffered until it is complete.
#[derive(Clone, Debug, Default)]
pub(super) struct BufferedResponse {
    pub(super) head: Option<(u16, BTreeMap<String, String>)>,
    pub(super) body: BytesMut,
}

/// The state machine of one generation at its entry.
///
/// At any time, at most one attempt writes the output. After a loss, the first attempt to deliver
/// the next token becomes the writer; the others are cancelled, and their later frames are dropped.
#[derive(Clone, Debug)]
pub struct Generation {
    pub(super) plan: GenerationPlan,
    pub(super) limits: GenerationLimits,
    pub(super) attempts: BTreeMap<AttemptNo, TrackedAttempt>,
    pub(super) writer: Option<AttemptNo>,
    pub(super) base_index: TokenIndex,
    pub(super) output: Vec<TokenId>,
    pub(super) response: BufferedResponse,
    pub(super) acked_index: TokenIndex,
    pub(super) next_attempt: AttemptNo,
    pub(super) next_link: LinkId,
    pub(super) dispatch_count: u32,
    pub(super) pending_choices: u32,
    pub(super) queued: bool,
    pub(super) busy_targets: BTreeSet<TargetId>,
    pub(super) lost_targets: BTreeSet<TargetId>,
    pub(super) refusal_count: u32,
    /// The shortest retry delay that a refusing target has given.
    pub(super) retry_after: Option<Duration>,
    pub(super) crash_count: u32,
    pub(super) crash_index: TokenIndex,
    pub(super) cleared_index: TokenIndex,
    pub(super) checking_crashes: bool,
    pub(super) lost_at: Option<Time>,
    pub(super) retry_at: Option<Time>,
    pub(super) gone_since: Option<Time>,
    pub(super) ended: bool,
}

impl Generation {
    /// Returns a generation that awaits [`Event::Start`].
    pub fn new(plan: GenerationPlan, limits: GenerationLimits) -> Self {
        let has_prefix = plan.prefix.len() as u64 >= plan.resume_index.0;
        let base_index = match has_prefix || plan.running_target.is_some() {
            true => TokenIndex(0),
            false => plan.resume_index,
        };
        let mut output = plan.prefix.clone();
        output.truncate(usize::try_from(plan.resume_index.0).unwrap_or(usize::MAX));
        Self {
            next_attempt: plan.next_attempt,
            base_index,
            output,
            plan,
            limits,
            attempts: BTreeMap::new(),
            writer: None,
            response: BufferedResponse::default(),
            acked_index: TokenIndex(0),
            next_link: LinkId(0),
            dispatch_count: 0,
            pending_choices: 0,
            queued: false,
            busy_targets: BTreeSet::new(),
            lost_targets: BTreeSet::new(),
            refusal_count: 0,
            retry_after: None,
            crash_count: 0,
            crash_index: TokenIndex(0),
            cleared_index: TokenIndex(0),
            checking_crashes: false,
            lost_at: None,
            retry_at: None,
            gone_since: None,
            ended: false,
        }
    }

    /// Processes an event and returns the steps to carry out.
    pub fn on_event(&mut self, now: Time, event: Event) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.ended {
            return steps;
        }
        match event {
            Event::Start => self.on_start(now, &mut steps),
            Event::Chosen(target) => self.on_chosen(now, target, &mut steps),
            Event::NoTarget { kind, retry } => self.on_no_target(now, kind, retry, &mut steps),
            Event::Dequeued => self.on_dequeued(&mut steps),
            Event::QueueRejected { kind, retry } => self.on_queue_rejected(kind, retry, &mut steps),
            Event::Frame { link, frame } => self.on_frame(now, link, frame, &mut steps),
            Event::Closed { link, effect } => self.on_closed(now, link, effect, &mut steps),
            Event::CancelResult { attempt, ran } => {
                self.on_cancel_result(now, attempt, ran, &mut steps)
            }
            Event::Claimed { link } => self.on_claimed(now, link),
            Event::NotClaimed { link, kind } => self.on_not_claimed(link, kind, &mut steps),
            Event::CrashesChecked { at_fault } => self.on_crashes_checked(at_fault, &mut steps),
            Event::Refuse(kind) => self.fail(kind, self.ran(), Duration::ZERO, &mut steps),
            Event::CallerGone => self.on_caller_gone(now, &mut steps),
            Event::Tick => self.on_tick(now, &mut steps),
        }
        steps
    }

    /// Returns the time at which the next [`Event::Tick`] is due, if a timeout is pending.
    pub fn deadline(&self) -> Option<Time> {
        if self.ended {
            return None;
        }
        let attempts = self.attempts.values();
        attempts
            .filter_map(|tracked| tracked.deadline(&self.limits))
            .chain(self.retry_at)
            .chain(self.abandon_at())
            .min()
    }

    /// Returns whether the generation has ended.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the first token index that has not been received.
    pub fn next_index(&self) -> TokenIndex {
        self.base_index.plus(self.output.len())
    }

    /// Returns whether the request has run, as far as the machine knows.
    pub fn ran(&self) -> Ran {
        let answered =
            self.next_index().max(self.plan.resume_index).0 > 0 || self.response.head.is_some();
        match (answered, self.dispatch_count) {
            (true, _) => Ran::Partly,
            (false, 0) => Ran::No,
            (false, _) => Ran::Unknown,
        }
    }

    // ---- Start and dispatch ----

    fn on_start(&mut self, now: Time, steps: &mut Vec<Step>) {
        match self.plan.running_target.clone() {
            Some(target) => self.attach_running(now, target, steps),
            None => self.choose_target(self.next_index() > TokenIndex(0), false, steps),
        }
    }

    /// Attaches to an attempt that another entry or an earlier call dispatched.
    fn attach_running(&mut self, now: Time, target: TargetId, steps: &mut Vec<Step>) {
        let attempt = self.plan.running_attempt;
        self.dispatch_count += 1;
        let link = self.new_link();
        let tracked = TrackedAttempt {
            attempt,
            target: target.clone(),
            link,
            phase: Phase::Reattached,
            last_frame: now,
            last_output: now,
            dispatched_output: None,
            resumed: false,
            has_output: false,
            stalled: false,
            reattach_count: 1,
        };
        self.attempts.insert(attempt, tracked);
        steps.push(Step::Attach {
            link,
            attempt,
            target,
            repeat: None,
            from: self.next_index(),
        });
    }

    pub(super) fn choose_target(&mut self, resumed: bool, hedge: bool, steps: &mut Vec<Step>) {
        self.pending_choices += 1;
        steps.push(Step::Choose {
            exclude: self
                .busy_targets
                .union(&self.lost_targets)
                .cloned()
                .collect(),
            resumed,
            suspect: self.crash_count > 0,
            hedge,
        });
    }

    fn on_chosen(&mut self, now: Time, target: TargetId, steps: &mut Vec<Step>) {
        if self.pending_choices == 0 {
            return;
        }
        self.pending_choices -= 1;
        let attempt = self.next_attempt;
        self.next_attempt = attempt.next();
        let resumed = self.dispatch_count > 0 || self.next_index() > TokenIndex(0);
        self.dispatch_count += 1;
        let link = self.new_link();
        let so_far = self.output.clone();
        let tracked = TrackedAttempt {
            attempt,
            target: target.clone(),
            link,
            phase: match self.plan.claimed {
                true => Phase::Claiming,
                false => Phase::Dispatched,
            },
            last_frame: now,
            last_output: now,
            dispatched_output: Some(so_far.clone()),
            resumed,
            has_output: false,
            stalled: false,
            reattach_count: 0,
        };
        // Excludes the target from the choice for a second hedge.
        self.busy_targets.insert(target.clone());
        self.attempts.insert(attempt, tracked);
        steps.push(Step::Dispatch {
            link,
            attempt,
            target,
            so_far,
            resumed,
        });
    }

    pub(super) fn new_link(&mut self) -> LinkId {
        let link = self.next_link;
        self.next_link = LinkId(link.0 + 1);
        link
    }

    // ---- Timeouts ----

    fn abandon_at(&self) -> Option<Time> {
        let gone_since = self.gone_since.filter(|_| self.plan.idempotent);
        gone_since.map(|since| since + self.limits.caller_timeout)
    }

    fn on_caller_gone(&mut self, now: Time, steps: &mut Vec<Step>) {
        self.gone_since = self.gone_since.or(Some(now));
        if self.dispatch_count == 0 {
            // No attempt runs that the caller could reconnect to.
            self.abandon(steps);
        }
    }

    fn on_tick(&mut self, now: Time, steps: &mut Vec<Step>) {
        if self.abandon_at().is_some_and(|at| at <= now) {
            return self.abandon(steps);
        }
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            self.busy_targets.clear();
            self.choose_target(true, false, steps);
        }
        let limits = &self.limits;
        let attempts = self.attempts.values();
        let timed_out: Vec<AttemptNo> = attempts
            .filter(|tracked| tracked.deadline(limits).is_some_and(|at| at <= now))
            .map(|tracked| tracked.attempt)
            .collect();
        for attempt in timed_out {
            self.on_timeout(now, attempt, steps);
        }
    }

    // ---- End ----

    pub(super) fn end(&mut self) {
        self.ended = true;
        self.attempts.clear();
        self.pending_choices = 0;
    }

    pub(super) fn fail(
        &mut self,
        kind: ErrorKind,
        ran: Ran,
        retry: Duration,
        steps: &mut Vec<Step>,
    ) {
        self.cancel_all(steps);
        steps.push(Step::Fail { kind, ran, retry });
        self.end();
    }

    pub(super) fn abandon(&mut self, steps: &mut Vec<Step>) {
        self.cancel_all(steps);
        steps.push(Step::Abandon);
        self.end();
    }

    /// Closes the link of every attempt and cancels idempotent work; non-idempotent work runs to
    /// completion.
    fn cancel_all(&mut self, steps: &mut Vec<Step>) {
        let attempts: Vec<AttemptNo> = self.attempts.keys().copied().collect();
        for attempt in attempts {
            self.cancel_attempt(attempt, steps);
        }
    }

    /// Removes an attempt, closes its link, cancels it if it is idempotent, and returns its target.
    pub(super) fn cancel_attempt(
        &mut self,
        attempt: AttemptNo,
        steps: &mut Vec<Step>,
    ) -> Option<TargetId> {
        let tracked = self.attempts.remove(&attempt)?;
        if self.writer == Some(attempt) {
            self.writer = None;
        }
        steps.push(Step::Close { link: tracked.link });
        if self.plan.idempotent {
            let target = tracked.target.clone();
            steps.push(Step::Cancel { attempt, target });
        }
        Some(tracked.target)
    }

    // ---- Links ----

    pub(super) fn linked_attempt(&mut self, link: LinkId) -> Option<&mut TrackedAttempt> {
        self.attempts
            .values_mut()
            .find(|tracked| tracked.link == link && tracked.has_link())
    }

    fn on_closed(&mut self, now: Time, link: LinkId, effect: Effect, steps: &mut Vec<Step>) {
        let Some(tracked) = self.linked_attempt(link) else {
            return;
        };
        let (attempt, phase) = (tracked.attempt, tracked.phase);
        if self.gone_since.is_some() && self.plan.idempotent {
            // The caller may have reconnected through another entry that reads the attempt, so the
            // attempt is not cancelled.
            self.remove_attempt(attempt);
            return self.abandon(steps);
        }
        match (phase, effect) {
            (Phase::Claiming, _) | (Phase::Dispatched, Effect::None) => {
                self.on_not_sent(now, attempt, steps)
            }
            (Phase::Reattached, _) => self.on_unreachable(now, attempt, steps),
            // The agent may have read the call, so the machine reattaches by the attempt's id.
            _ => self.reattach(now, attempt, steps),
        }
    }

    fn on_claimed(&mut self, now: Time, link: LinkId) {
        if let Some(tracked) = self.linked_attempt(link) {
            tracked.phase = Phase::Dispatched;
            tracked.last_frame = now;
        }
    }

    fn on_not_claimed(&mut self, link: LinkId, kind: ErrorKind, steps: &mut Vec<Step>) {
        let Some(tracked) = self.linked_attempt(link) else {
            return;
        };
        let attempt = tracked.attempt;
        self.remove_attempt(attempt);
        self.dispatch_count -= 1;
        self.fail(kind, self.ran(), CLAIM_RETRY_DELAY, steps);
    }

    pub(super) fn is_call(&self) -> bool {
        self.plan.kind == WorkKind::Call
    }
}

/// The retry delay reported to the caller after a failed write of a claim.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(1);
