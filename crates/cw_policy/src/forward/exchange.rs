//! The state machine of one forwarded request, from its arrival to its end.

use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::ErrorKind;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::SoftwareHash;

use super::Fault;
use super::Placement;
use super::Precedence;
use super::Progress;
use super::Repeat;
use super::RunCopy;

/// The maximum number of sends of a request that did not run. It allows one refusal from each of a
/// few targets.
const MAX_REFUSALS: u32 = 6;

/// The delay before a request that found every target full is placed again. It is half the duration
/// of a short request, after which a slot is free.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(15);

/// The maximum delay before a stream of which the caller has a part is placed again, after it has found targets full time and again.
/// A run of a stream lasts for seconds, so that a slot is free soon enough.
const MAX_FULL_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The fraction of the objective that a new request waits for a slot of a target that takes it later. The answer must
/// still come in time. The fraction is the same of the time that is left to a request that has been sent before.
const SLOT_WAIT_SHARE: f64 = 0.25;

/// How long callers of streams wait for the next event, by the users' platform: the longest of this time, this many
/// objectives and this many of the longest pauses.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_OBJECTIVES: f64 = 4.0;
const PATIENCE_PAUSES: f64 = 8.0;

/// The delay before a request asks again for a trial while another one is in progress. Each question is a call
/// to another entry.
const TRIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The fraction of the objective that a request waits for a free target. After a longer wait an
/// answer in time is unlikely, and a retry by the caller is preferable.
const WAIT_SHARE: f64 = 0.12;

/// The fraction of the time to the deadline after which an unanswered request that may be repeated
/// is sent again. The second send needs as long as the first.
const REPEAT_SHARE: f64 = 0.4;

/// The fraction of the objective after which a stream that has not begun is started at another
/// target. The second start must still meet the objective.
const START_SHARE: f64 = 0.55;

/// The fraction of the longest pause after which a stream with a copy moves to another target. The
/// other half is left for the resumption itself.
const SILENCE_SHARE: f64 = 0.5;

/// The maximum silence of a stream without a copy, as a multiple of the longest pause. To resume
/// elsewhere, its prompt must be read again, which takes longer than most pauses.
const NO_COPY_PAUSES: f64 = 1.5;

/// The factor by which the maximum silence grows each time that silence moves the stream. If every
/// target is slow, moving does not help.
const SILENCE_GROWTH: f64 = 2.0;

/// The fraction of the longest pause for which a stream that was lost waits for a part of the budget from another
/// entry. Silence takes the other half before a loss is noticed ([`SILENCE_SHARE`]).
const BUDGET_WAIT_SHARE: f64 = 0.5;

/// The delay before the other entries are asked for a part of the budget again. New requests add to it meanwhile.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The longest pause for a route without a setting for it.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_secs(1);

/// The limits of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExchangePlan {
    /// Whether and how the request may be sent again.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// The maximum number of targets that may run the request.
    pub attempts: u32,
    /// When the request arrived.
    pub arrived: Time,
    /// The deadline, after which the answer is useless to the caller.
    pub deadline: Time,
    /// The latency objective for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// The objective for the longest pause between events.
    pub max_pause: Option<Duration>,
    /// The precedence over other requests of the service.
    pub precedence: Precedence,
}

/// An event that ends a send or an attempt to place the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// No target is available.
    NoTarget,
    /// No target can start the request in time, and it was not sent.
    Crowded,
    /// It is not known which software began the stream that the request takes up.
    OriginUnknown,
    /// No target has the software that began the stream.
    VersionGone,
    /// The request crashes the targets that run it, and was not sent.
    CrashesTargets,
    /// The request may be sent only on trial, and another trial of it is in progress.
    TrialInProgress,
    /// The target provably has not run the request and will not run it.
    NotRun(Fault),
    /// No part of the request reached the target: its host refused the connection or did not answer, another
    /// incarnation has taken its place, or it has begun to leave.
    NotSent(Fault),
    /// The other entries were asked for a part of the budget.
    BudgetAsked,
    /// The target that should have resumed from a copy of the run does not have it.
    NoCopy,
    /// The request may have run, and the rest of the answer is lost.
    Lost(Fault),
    /// The target answered with an error.
    Failed,
    /// The deadline has passed.
    Expired,
    /// The process is about to end.
    Stopping,
}

impl ExchangeEvent {
    /// Returns the event that ends a send if an earlier transmission of it may have run at the same
    /// target. What shows that the last transmission did not run says nothing about that one.
    #[must_use]
    pub fn after_earlier_run(self, may_have_run: bool) -> Self {
        match self {
            ExchangeEvent::NotRun(fault) | ExchangeEvent::NotSent(fault) if may_have_run => {
                ExchangeEvent::Lost(fault)
            }
            ExchangeEvent::NoCopy if may_have_run => ExchangeEvent::Lost(Fault::Broken),
            event => event,
        }
    }
}

/// The state from which a request resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resume {
    /// The copy of the run, `None` to start from the beginning.
    pub copy: Option<RunCopy>,
}

/// The action that follows an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeStep {
    /// Send the request to a target.
    Send(Resume),
    /// Select a target again after this delay.
    Wait(Duration),
    /// Ask the other entries for a part of the budget, and report [`ExchangeEvent::BudgetAsked`], after this delay
    /// if none lends one.
    AskBudget(Duration),
    /// Answer with an error, whose kind says whether the request ran.
    Refuse(ErrorKind),
    /// Pass on the error that the target answered with.
    PassOn,
    /// Abort the caller's stream, which has already begun.
    Break(ErrorKind),
}

/// A send that waits for a part of the budget.
#[derive(Clone, Debug)]
struct UnpaidSend {
    /// When the send is given up.
    until: Time,
    /// The delay before the budget is asked again.
    pause: Duration,
    /// The state from which the request resumes.
    resume: Resume,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct Exchange {
    plan: ExchangePlan,
    /// The targets that the request is not sent to again.
    excluded: BTreeSet<TargetId>,
    /// The current target, and the keeper of the copy that was selected with it.
    placed: Option<Placement>,
    /// The current copy of the run.
    copy: Option<RunCopy>,
    /// The number of sends that may have run.
    runs: u32,
    /// The number of sends that did not run.
    refused: u32,
    /// Whether a part of an answer was passed on to the caller.
    begun: bool,
    /// The software that began the stream, at which alone it goes on.
    origin: Option<SoftwareHash>,
    /// Whether the current target has answered.
    answering: bool,
    /// The maximum silence relative to its initial value, see [`SILENCE_GROWTH`].
    silence_factor: f64,
    /// Whether other entries may lend a part of their budget.
    has_lenders: bool,
    /// The send that waits for a part of the budget.
    unpaid: Option<UnpaidSend>,
}

impl Exchange {
    /// Creates the state of a request that has just arrived.
    pub fn new(plan: ExchangePlan) -> Self {
        Self {
            plan,
            excluded: BTreeSet::new(),
            placed: None,
            copy: None,
            runs: 0,
            refused: 0,
            begun: false,
            origin: None,
            answering: false,
            silence_factor: 1.0,
            has_lenders: false,
            unpaid: None,
        }
    }

    /// Sets whether other entries may lend a part of their budget.
    #[must_use]
    pub fn with_lenders(self, has_lenders: bool) -> Self {
        Self {
            has_lenders,
            ..self
        }
    }

    /// Returns the limits of the request.
    pub fn plan(&self) -> &ExchangePlan {
        &self.plan
    }

    /// Returns the targets that the request is not sent to again.
    pub fn excluded(&self) -> &BTreeSet<TargetId> {
        &self.excluded
    }

    /// Returns the current target, and the keeper of the copy that was selected with it.
    pub fn placed(&self) -> Option<&Placement> {
        self.placed.as_ref()
    }

    /// Returns how often the request was sent, whether it ran or not.
    pub fn sends(&self) -> u32 {
        self.runs + self.refused
    }

    /// Returns how far the request has come.
    pub fn progress(&self) -> Progress {
        match (self.begun, self.origin) {
            (true, _) => Progress::Begun,
            // What this exchange has not begun was begun by an earlier try.
            (false, Some(_)) => Progress::TakenUp,
            (false, None) if self.sends() > 0 => Progress::Sent,
            (false, None) => Progress::New,
        }
    }

    /// Returns how long the request waits for a slot of a target that takes it later. The caller has got nothing since
    /// `silent_since`. A stream of which it has a part needs up to `reading` for the prompt and then about `rest` for the
    /// events that it lacks.
    pub fn longest_slot_wait(
        &self,
        now: Time,
        silent_since: Time,
        reading: Duration,
        rest: Duration,
    ) -> Duration {
        let left = now.until(self.plan.deadline);
        match self.progress() {
            Progress::New => self.plan.objective.mul_f64(SLOT_WAIT_SHARE),
            Progress::Sent => left.mul_f64(SLOT_WAIT_SHARE),
            Progress::TakenUp | Progress::Begun => {
                let patience = now.until(silent_since + self.caller_patience());
                left.saturating_sub(rest)
                    .min(patience)
                    .saturating_sub(reading)
            }
        }
    }

    /// Returns how long the caller of a stream waits for the next event.
    fn caller_patience(&self) -> Duration {
        let objectives = self.plan.objective.mul_f64(PATIENCE_OBJECTIVES);
        let pauses = self.max_pause().mul_f64(PATIENCE_PAUSES);
        MIN_CALLER_PATIENCE.max(objectives).max(pauses)
    }

    /// Returns whether another engine should keep a copy of the run.
    pub fn wants_copy(&self) -> bool {
        self.plan.repeat == Repeat::Resume
    }

    /// Records that the request is sent to a target.
    pub fn record_send(&mut self, now: Time, placement: Placement) {
        self.copy = placement.keeper.clone().map(|keeper| RunCopy {
            keeper,
            since: now,
            name: None,
        });
        self.placed = Some(placement);
        self.answering = false;
        self.runs += 1;
    }

    /// Returns the current copy of the run.
    pub fn copy(&self) -> Option<&RunCopy> {
        self.copy.as_ref()
    }

    /// Replaces the copy of the run, with `None` if it was lost.
    pub fn set_copy(&mut self, copy: Option<RunCopy>) {
        self.copy = copy;
    }

    /// Records that a part of the answer is passed on. It binds a stream to the software of its target.
    pub fn record_start(&mut self) {
        self.begun = true;
        self.answering = true;
        if let (Repeat::Resume, Some(placed)) = (self.plan.repeat, &self.placed) {
            self.origin.get_or_insert(placed.software);
        }
    }

    /// Records which software began the stream, of which the caller already has a part.
    pub fn take_up(&mut self, origin: SoftwareHash) {
        self.origin = Some(origin);
    }

    /// Returns the software that began the stream, `None` while it may begin anywhere.
    pub fn origin(&self) -> Option<SoftwareHash> {
        self.origin
    }

    /// Returns the deadline for the first answer of a target that the request is sent to now,
    /// `None` for no deadline.
    ///
    /// `resumed` says whether the target resumes from a copy of the run. `reading` is the maximum
    /// expected time for reading the prompt.
    pub fn start_deadline(
        &self,
        now: Time,
        resumed: bool,
        reading: Option<Duration>,
    ) -> Option<Time> {
        if self.runs >= self.plan.attempts {
            // The request cannot be sent again, so even a late answer is worth waiting for.
            return None;
        }
        match self.plan.repeat {
            Repeat::Never => None,
            Repeat::Whole => Some(now + now.until(self.plan.deadline).mul_f64(REPEAT_SHARE)),
            Repeat::Resume if resumed => Some(now + self.max_pause().mul_f64(self.silence_factor)),
            Repeat::Resume => {
                let start = self.plan.objective.mul_f64(START_SHARE);
                Some(now + start.max(reading.unwrap_or(self.plan.objective)))
            }
        }
    }

    /// Returns the deadline for the next event of a target whose last event came now, `None` for no
    /// deadline.
    pub fn event_deadline(&self, now: Time) -> Option<Time> {
        let resumes = self.plan.repeat == Repeat::Resume && self.runs < self.plan.attempts;
        resumes.then(|| now + self.silence_limit())
    }

    fn max_pause(&self) -> Duration {
        self.plan.max_pause.unwrap_or(DEFAULT_MAX_PAUSE)
    }

    /// Returns the maximum silence of a stream that has begun.
    fn silence_limit(&self) -> Duration {
        let share = match &self.copy {
            Some(_) => SILENCE_SHARE * self.silence_factor,
            None => NO_COPY_PAUSES * self.silence_factor,
        };
        self.max_pause().mul_f64(share)
    }

    /// Returns the action after an event. `spend` asks the budget for one more send.
    pub fn on_event(
        &mut self,
        now: Time,
        event: ExchangeEvent,
        spend: impl FnOnce() -> bool,
    ) -> ExchangeStep {
        match event {
            ExchangeEvent::NoTarget => self.on_no_target(now),
            ExchangeEvent::Crowded => self.end(ErrorKind::Overloaded),
            ExchangeEvent::OriginUnknown => self.end(ErrorKind::OriginUnknown),
            ExchangeEvent::VersionGone => self.end(ErrorKind::VersionGone),
            ExchangeEvent::CrashesTargets => self.end(ErrorKind::Quarantined),
            ExchangeEvent::TrialInProgress => self.on_trial_in_progress(now),
            ExchangeEvent::NotSent(_) | ExchangeEvent::NotRun(Fault::Unreachable) => {
                self.on_not_sent(now)
            }
            ExchangeEvent::NotRun(fault) => self.on_not_run(now, fault, spend),
            ExchangeEvent::BudgetAsked => self.on_budget_asked(now, spend),
            ExchangeEvent::NoCopy => self.on_no_copy(now, spend),
            ExchangeEvent::Lost(fault) => self.on_lost(now, fault, spend),
            ExchangeEvent::Failed => self.on_failed(now, spend),
            ExchangeEvent::Expired => self.end(ErrorKind::Expired),
            ExchangeEvent::Stopping => self.end(ErrorKind::NotReady),
        }
    }

    /// Leaves a target that is leaving, as another one has a copy of the run. Returns `None` if the budget allows
    /// no further send: the target continues its runs for a while.
    pub fn leave_target(&mut self, spend: impl FnOnce() -> bool) -> Option<ExchangeStep> {
        if !spend() {
            return None;
        }
        let copy = self.exclude_target();
        // The move is not caused by a loss, so it does not count as an attempt.
        self.runs = self.runs.saturating_sub(1);
        Some(ExchangeStep::Send(Resume { copy }))
    }

    // ---- The action after each event ----

    fn on_trial_in_progress(&self, now: Time) -> ExchangeStep {
        match self.may_wait(now) {
            true => ExchangeStep::Wait(TRIAL_RETRY_DELAY),
            false => self.end(ErrorKind::Quarantined),
        }
    }

    /// Returns whether the request may wait for a target: not for long, unless its caller already has the
    /// beginning of the answer.
    fn may_wait(&self, now: Time) -> bool {
        match self.progress() {
            Progress::TakenUp | Progress::Begun => now < self.plan.deadline,
            Progress::New | Progress::Sent => {
                let objective = self.plan.objective;
                let usual = objective.mul_f64(WAIT_SHARE);
                let longest = self.plan.precedence.longest_wait(objective, usual);
                now.since(self.plan.arrived) < longest
            }
        }
    }

    fn on_no_target(&mut self, now: Time) -> ExchangeStep {
        if self.may_wait(now) {
            // The excluded targets may have recovered.
            self.excluded.clear();
            return ExchangeStep::Wait(self.full_retry_delay());
        }
        self.end(ErrorKind::NoTarget)
    }

    /// Returns the delay before the request is placed again. It grows with the refusals that a stream has met with.
    fn full_retry_delay(&self) -> Duration {
        let delay = FULL_RETRY_DELAY.saturating_mul(self.refused.max(1));
        delay.min(MAX_FULL_RETRY_DELAY)
    }

    fn on_not_run(
        &mut self,
        now: Time,
        fault: Fault,
        spend: impl FnOnce() -> bool,
    ) -> ExchangeStep {
        self.runs = self.runs.saturating_sub(1);
        self.refused += 1;
        self.exclude_target();
        if now >= self.plan.deadline {
            return self.end(ErrorKind::Expired);
        }
        if self.progress().has_part() {
            // The stream can still go on when there is budget again.
            let unpaid = UnpaidSend {
                until: self.plan.deadline,
                pause: MAX_FULL_RETRY_DELAY,
                resume: Resume::default(),
            };
            return self.send_again(now, unpaid, spend);
        }
        if self.refused >= MAX_REFUSALS || !spend() {
            let kind = match fault {
                Fault::Full => ErrorKind::Overloaded,
                _ => ErrorKind::NoTarget,
            };
            return self.end(kind);
        }
        ExchangeStep::Send(Resume::default())
    }

    /// Replaces a send that reached no target. It is no answer of the service, so it costs neither budget nor one
    /// of the refusals that a request may get. Each target is tried once, and none after the objective.
    fn on_not_sent(&mut self, now: Time) -> ExchangeStep {
        self.runs = self.runs.saturating_sub(1);
        self.exclude_target();
        if now >= self.plan.deadline {
            return self.end(ErrorKind::Expired);
        }
        let objective = self.plan.objective;
        let is_late = !objective.is_zero() && now.since(self.plan.arrived) >= objective;
        if !self.progress().has_part() && is_late {
            return self.end(ErrorKind::NoTarget);
        }
        ExchangeStep::Send(Resume::default())
    }

    /// Sends a request again if the budget allows it, and otherwise asks the other entries for a part of theirs.
    fn send_again(
        &mut self,
        now: Time,
        unpaid: UnpaidSend,
        spend: impl FnOnce() -> bool,
    ) -> ExchangeStep {
        if spend() {
            return ExchangeStep::Send(unpaid.resume);
        }
        if now >= unpaid.until {
            return self.end(ErrorKind::TargetFailed);
        }
        let pause = unpaid.pause;
        self.unpaid = Some(unpaid);
        ExchangeStep::AskBudget(pause)
    }

    /// Returns a send of a request that a target has lost. It waits for the budget only while other entries may lend a part
    /// of theirs, and not for long.
    fn lost_send(&self, now: Time, resume: Resume) -> UnpaidSend {
        let longest = match (self.has_lenders, self.begun) {
            (false, _) => Duration::ZERO,
            (true, true) => self.max_pause().mul_f64(BUDGET_WAIT_SHARE),
            (true, false) => self.plan.objective.mul_f64(WAIT_SHARE),
        };
        UnpaidSend {
            until: now + longest,
            pause: BUDGET_RETRY_DELAY,
            resume,
        }
    }

    fn on_budget_asked(&mut self, now: Time, spend: impl FnOnce() -> bool) -> ExchangeStep {
        match self.unpaid.take() {
            _ if now >= self.plan.deadline => self.end(ErrorKind::Expired),
            Some(unpaid) => self.send_again(now, unpaid, spend),
            None => self.end(ErrorKind::TargetFailed),
        }
    }

    fn on_no_copy(&mut self, now: Time, spend: impl FnOnce() -> bool) -> ExchangeStep {
        self.runs = self.runs.saturating_sub(1);
        self.refused += 1;
        // The target may still run the request from the beginning, so it is not excluded.
        self.placed = None;
        self.copy = None;
        if now >= self.plan.deadline {
            return self.end(ErrorKind::Expired);
        }
        let unpaid = self.lost_send(now, Resume::default());
        self.send_again(now, unpaid, spend)
    }

    fn on_lost(&mut self, now: Time, fault: Fault, spend: impl FnOnce() -> bool) -> ExchangeStep {
        if fault == Fault::Silent {
            self.silence_factor *= SILENCE_GROWTH;
        }
        let copy = self.exclude_target();
        match self.plan.repeat {
            Repeat::Never => return self.end(ErrorKind::OutcomeUnknown),
            Repeat::Whole | Repeat::Resume => {}
        }
        if now >= self.plan.deadline {
            return self.end(ErrorKind::Expired);
        }
        if self.runs >= self.plan.attempts {
            return self.end(ErrorKind::TargetFailed);
        }
        let unpaid = self.lost_send(now, Resume { copy });
        self.send_again(now, unpaid, spend)
    }

    fn on_failed(&mut self, now: Time, spend: impl FnOnce() -> bool) -> ExchangeStep {
        let may_retry = self.plan.repeat != Repeat::Never
            && self.runs < self.plan.attempts
            && now < self.plan.deadline;
        if !may_retry || !spend() {
            return match self.begun {
                true => self.end(ErrorKind::TargetFailed),
                false => ExchangeStep::PassOn,
            };
        }
        let copy = self.exclude_target();
        ExchangeStep::Send(Resume { copy })
    }

    /// Excludes the current target from further sends, and returns the copy of the run.
    ///
    /// There is no copy before the first event, because engines replicate memory only as they
    /// generate.
    fn exclude_target(&mut self) -> Option<RunCopy> {
        let placed = self.placed.take()?;
        self.excluded.insert(placed.target);
        self.copy.take().filter(|_| self.answering)
    }

    /// Returns the action that ends the request with an error.
    fn end(&self, kind: ErrorKind) -> ExchangeStep {
        let kind = match kind {
            ErrorKind::VersionGone if self.runs > 0 || self.begun => ErrorKind::GenerationLost,
            kind => kind,
        };
        if self.begun {
            return ExchangeStep::Break(kind);
        }
        // An error that says "not run" requires proof for every send.
        let proven = self.runs == 0 || self.plan.repeat != Repeat::Never;
        let kind = match kind {
            ErrorKind::Expired if self.runs > 0 => ErrorKind::TargetFailed,
            ErrorKind::Quarantined if self.runs > 0 => ErrorKind::CrashesTargets,
            ErrorKind::NoTarget | ErrorKind::Overloaded | ErrorKind::NotReady if !proven => {
                ErrorKind::OutcomeUnknown
            }
            ErrorKind::NoTarget | ErrorKind::Overloaded | ErrorKind::NotReady if self.runs > 0 => {
                ErrorKind::TargetFailed
            }
            kind => kind,
        };
        ExchangeStep::Refuse(kind)
    }
}
