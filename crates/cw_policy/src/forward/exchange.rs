//! One forwarded request, from its arrival to its end.

use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::ErrorKind;
use cw_types::TargetId;
use cw_types::Time;

use super::Fault;
use super::Placement;
use super::Repeat;
use super::RunCopy;

/// How often a request may be turned away by targets that did not run it: once by each of a handful.
const REFUSED_MAX: u32 = 6;

/// The pause before a request that found every target full asks again: half the time of a short
/// request, after which a place is free.
const FULL_PAUSE: Duration = Duration::from_millis(15);

/// The part of the objective that a request waits for a free target; beyond it an answer would
/// hardly be in time, and the caller does better to come again.
const WAIT_SHARE: f64 = 0.12;

/// The part of the time to the deadline after which an unanswered request that may be repeated is
/// sent again; the second send needs as long as the first.
const REPEAT_SHARE: f64 = 0.4;

/// The part of the objective after which a stream that has not begun is started elsewhere: the
/// second start must still be in time.
const START_SHARE: f64 = 0.55;

/// The part of the longest pause after which a stream with a copy goes on elsewhere. The other half
/// is for the resumption itself.
const SILENCE_SHARE: f64 = 0.5;

/// How many times the longest pause a stream without a copy is waited for: to go on elsewhere its
/// prompt must be read again, which takes longer than most pauses.
const BARE_PAUSES: f64 = 1.5;

/// How much longer the next silence may be after one that moved the stream: where every target is
/// slow, moving gains nothing.
const SILENCE_GROWTH: f64 = 2.0;

/// The longest pause of a route that states none.
const PAUSE_DEFAULT: Duration = Duration::from_secs(1);

/// The bounds on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExchangePlan {
    /// Whether it may be sent again.
    pub repeat: Repeat,
    /// Whether its answer is a stream of events.
    pub streaming: bool,
    /// The most targets that may run it.
    pub attempts: u32,
    /// When it arrived.
    pub arrived: Time,
    /// When its answer is of no use any more.
    pub deadline: Time,
    /// The time to the answer, or to the first event, that is aimed for.
    pub objective: Duration,
    /// The longest pause between events that is aimed for.
    pub pause: Option<Duration>,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// No target can be chosen.
    NoTarget,
    /// No target can begin it in time, and it was sent to none.
    Crowded,
    /// The target proves that it did not run the request, and will not.
    NotRun(Fault),
    /// The target that was to go on from a copy of the run has none.
    NoCopy,
    /// It may have run, and the rest of its answer will not come.
    Lost(Fault),
    /// The target is leaving, and a copy of the run is elsewhere.
    Leaving,
    /// The target answered with a failure of its own.
    Failed,
    /// The deadline has passed.
    Expired,
}

/// Where and from what a request goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resume {
    /// The copy of the run.
    pub copy: Option<RunCopy>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeStep {
    /// Send the request to a target.
    Send(Resume),
    /// Choose a target again after a pause.
    Wait(Duration),
    /// Answer with an error; whether it ran is said by the kind.
    Refuse(ErrorKind),
    /// Pass on the failure that the target answered with.
    PassOn,
    /// Break the caller's stream off, which has begun.
    Break(ErrorKind),
}

/// One request.
#[derive(Clone, Debug)]
pub struct Exchange {
    plan: ExchangePlan,
    /// Targets that it is not sent to again.
    excluded: BTreeSet<TargetId>,
    /// Where it is now.
    placed: Option<Placement>,
    /// The copy of the run that is there.
    copy: Option<RunCopy>,
    /// Sends that may have run.
    runs: u32,
    /// Sends that did not run.
    refused: u32,
    /// Whether a part of an answer has been passed on.
    begun: bool,
    /// Whether the target where it is now has answered.
    answering: bool,
    /// How much longer than at first a silence may be.
    growth: f64,
}

impl Exchange {
    /// Returns a request that has just arrived.
    pub fn new(plan: ExchangePlan) -> Self {
        Self {
            plan,
            excluded: BTreeSet::new(),
            placed: None,
            copy: None,
            runs: 0,
            refused: 0,
            begun: false,
            answering: false,
            growth: 1.0,
        }
    }

    /// Returns the bounds on it.
    pub fn plan(&self) -> &ExchangePlan {
        &self.plan
    }

    /// Returns the targets that it is not sent to again.
    pub fn excluded(&self) -> &BTreeSet<TargetId> {
        &self.excluded
    }

    /// Returns where it is now.
    pub fn placed(&self) -> Option<&Placement> {
        self.placed.as_ref()
    }

    /// Returns how often it was sent.
    pub fn sends(&self) -> u32 {
        self.runs + self.refused
    }

    /// Returns whether another engine is to keep a copy of the run.
    pub fn wants_copy(&self) -> bool {
        self.plan.repeat == Repeat::Resume
    }

    /// It is sent to a target.
    pub fn send(&mut self, now: Time, placement: Placement) {
        self.copy = placement.copy.clone().map(|keeper| RunCopy {
            keeper,
            since: now,
            name: None,
        });
        self.placed = Some(placement);
        self.answering = false;
        self.runs += 1;
    }

    /// Returns the copy of the run.
    pub fn copy(&self) -> Option<&RunCopy> {
        self.copy.as_ref()
    }

    /// The copy of the run is another one now, or lost.
    pub fn set_copy(&mut self, copy: Option<RunCopy>) {
        self.copy = copy;
    }

    /// A part of the answer is passed on.
    pub fn begin(&mut self) {
        self.begun = true;
        self.answering = true;
    }

    /// Returns when a target that was sent the request now is given up if it does not answer,
    /// `None` for never. `resumed` says that it goes on from a copy of the run; `reading` is the
    /// longest time that reading its prompt should take.
    pub fn start_deadline(
        &self,
        now: Time,
        resumed: bool,
        reading: Option<Duration>,
    ) -> Option<Time> {
        if self.runs >= self.plan.attempts {
            // It cannot be sent again, so a late answer is the best that can come.
            return None;
        }
        match self.plan.repeat {
            Repeat::Never => None,
            Repeat::Whole => Some(now + now.until(self.plan.deadline).mul_f64(REPEAT_SHARE)),
            Repeat::Resume if resumed => Some(now + self.pause().mul_f64(self.growth)),
            Repeat::Resume => {
                let start = self.plan.objective.mul_f64(START_SHARE);
                Some(now + start.max(reading.unwrap_or(self.plan.objective)))
            }
        }
    }

    /// Returns when a target whose last event came now is given up, `None` for never.
    pub fn event_deadline(&self, now: Time) -> Option<Time> {
        let resumes = self.plan.repeat == Repeat::Resume && self.runs < self.plan.attempts;
        resumes.then(|| now + self.silence())
    }

    fn pause(&self) -> Duration {
        self.plan.pause.unwrap_or(PAUSE_DEFAULT)
    }

    fn silence(&self) -> Duration {
        let share = match &self.copy {
            Some(_) => SILENCE_SHARE * self.growth,
            None => BARE_PAUSES * self.growth,
        };
        self.pause().mul_f64(share)
    }

    /// Returns what to do after an event. `spend` asks the budget for one more send.
    pub fn on_event(
        &mut self,
        now: Time,
        event: ExchangeEvent,
        spend: impl FnOnce() -> bool,
    ) -> ExchangeStep {
        match event {
            ExchangeEvent::NoTarget => self.unplaced(now),
            ExchangeEvent::Crowded => self.end(ErrorKind::Overloaded),
            ExchangeEvent::NotRun(fault) => self.not_run(now, fault, spend),
            ExchangeEvent::NoCopy => self.no_copy(now, spend),
            ExchangeEvent::Lost(fault) => self.lost(now, fault, spend),
            ExchangeEvent::Leaving => self.leave(spend),
            ExchangeEvent::Failed => self.failed(now, spend),
            ExchangeEvent::Expired => self.end(ErrorKind::Expired),
        }
    }

    // ---- What follows from each event ----

    fn unplaced(&mut self, now: Time) -> ExchangeStep {
        let waits = if self.begun {
            now < self.plan.deadline
        } else {
            now.since(self.plan.arrived) < self.plan.objective.mul_f64(WAIT_SHARE)
        };
        if waits {
            // Those that were full or broke may have recovered.
            self.excluded.clear();
            return ExchangeStep::Wait(FULL_PAUSE);
        }
        self.end(ErrorKind::NoTarget)
    }

    fn not_run(&mut self, now: Time, fault: Fault, spend: impl FnOnce() -> bool) -> ExchangeStep {
        self.runs = self.runs.saturating_sub(1);
        self.refused += 1;
        // A keeper without the copy may still take the run from the beginning.
        self.leave_target();
        if now >= self.plan.deadline {
            return self.end(ErrorKind::Expired);
        }
        // A send that reached no target is not counted, so the next one takes its place.
        let allowed = fault == Fault::Unreachable || spend();
        if !self.begun && (self.refused >= REFUSED_MAX || !allowed) {
            let kind = match fault {
                Fault::Full => ErrorKind::Overloaded,
                _ => ErrorKind::NoTarget,
            };
            return self.end(kind);
        }
        ExchangeStep::Send(Resume::default())
    }

    fn no_copy(&mut self, now: Time, spend: impl FnOnce() -> bool) -> ExchangeStep {
        self.runs = self.runs.saturating_sub(1);
        self.refused += 1;
        // The target is as good as any other for a start from the beginning.
        self.placed = None;
        self.copy = None;
        if now >= self.plan.deadline {
            return self.end(ErrorKind::Expired);
        }
        match spend() {
            true => ExchangeStep::Send(Resume::default()),
            false => self.end(ErrorKind::TargetFailed),
        }
    }

    fn lost(&mut self, now: Time, fault: Fault, spend: impl FnOnce() -> bool) -> ExchangeStep {
        if fault == Fault::Silent {
            self.growth *= SILENCE_GROWTH;
        }
        let copy = self.leave_target();
        match self.plan.repeat {
            Repeat::Never => return self.end(ErrorKind::OutcomeUnknown),
            Repeat::Whole | Repeat::Resume => {}
        }
        if now >= self.plan.deadline {
            return self.end(ErrorKind::Expired);
        }
        if self.runs >= self.plan.attempts || !spend() {
            return self.end(ErrorKind::TargetFailed);
        }
        ExchangeStep::Send(Resume { copy })
    }

    fn leave(&mut self, spend: impl FnOnce() -> bool) -> ExchangeStep {
        let copy = self.leave_target();
        // The move is not owed to a loss, so it is not counted among the attempts.
        self.runs = self.runs.saturating_sub(1);
        match spend() {
            true => ExchangeStep::Send(Resume { copy }),
            false => self.end(ErrorKind::TargetFailed),
        }
    }

    fn failed(&mut self, now: Time, spend: impl FnOnce() -> bool) -> ExchangeStep {
        let again = self.plan.repeat != Repeat::Never
            && self.runs < self.plan.attempts
            && now < self.plan.deadline;
        if !again || !spend() {
            return match self.begun {
                true => self.end(ErrorKind::TargetFailed),
                false => ExchangeStep::PassOn,
            };
        }
        let copy = self.leave_target();
        ExchangeStep::Send(Resume { copy })
    }

    /// Leaves the present target for good, and returns the copy of the run.
    ///
    /// There is none before the first event: engines send memory on only as they generate.
    fn leave_target(&mut self) -> Option<RunCopy> {
        let placed = self.placed.take()?;
        self.excluded.insert(placed.target);
        self.copy.take().filter(|_| self.answering)
    }

    fn end(&self, kind: ErrorKind) -> ExchangeStep {
        if self.begun {
            return ExchangeStep::Break(kind);
        }
        // An answer that says "not run" needs proof for each send.
        let proven = self.runs == 0 || self.plan.repeat != Repeat::Never;
        let kind = match kind {
            ErrorKind::Expired if self.runs > 0 => ErrorKind::TargetFailed,
            ErrorKind::NoTarget | ErrorKind::Overloaded if !proven => ErrorKind::OutcomeUnknown,
            ErrorKind::NoTarget | ErrorKind::Overloaded if self.runs > 0 => ErrorKind::TargetFailed,
            kind => kind,
        };
        ExchangeStep::Refuse(kind)
    }
}
