//! The state machine of one generation: its state, its clock and its beginning.

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
use super::tracked_attempt::Track;

/// The answer of a plain service, held back until it is whole.
#[derive(Clone, Debug, Default)]
pub(super) struct Held {
    pub(super) head: Option<(u16, BTreeMap<String, String>)>,
    pub(super) body: BytesMut,
}

/// One generation at its entry.
///
/// At any moment at most one attempt writes: the first that brings the next token after a loss.
/// All others are cancelled then, and what they still send is dropped.
#[derive(Clone, Debug)]
pub struct Generation {
    pub(super) plan: GenerationPlan,
    pub(super) limits: GenerationLimits,
    pub(super) tracks: BTreeMap<AttemptNo, Track>,
    pub(super) writer: Option<AttemptNo>,
    pub(super) base: TokenIndex,
    pub(super) output: Vec<TokenId>,
    pub(super) held: Held,
    pub(super) acked: TokenIndex,
    pub(super) next_attempt: AttemptNo,
    pub(super) next_link: LinkId,
    pub(super) dispatched: u32,
    pub(super) wanted: u32,
    pub(super) queued: bool,
    pub(super) busy: BTreeSet<TargetId>,
    pub(super) lost: BTreeSet<TargetId>,
    pub(super) refused: u32,
    /// When the targets that refused are worth asking again, as the soonest of them says.
    pub(super) retry: Option<Duration>,
    pub(super) crashes: u32,
    pub(super) crashed_at: TokenIndex,
    pub(super) cleared_at: TokenIndex,
    pub(super) judging: bool,
    pub(super) lost_at: Option<Time>,
    pub(super) retry_at: Option<Time>,
    pub(super) started: Time,
    pub(super) absent: Option<Time>,
    pub(super) ended: bool,
}

impl Generation {
    /// Returns a generation that waits for [`Event::Start`].
    pub fn new(plan: GenerationPlan, limits: GenerationLimits) -> Self {
        let known = plan.prefix.len() as u64 >= plan.resume_index.0;
        let base = match known || plan.running_target.is_some() {
            true => TokenIndex(0),
            false => plan.resume_index,
        };
        let mut output = plan.prefix.clone();
        output.truncate(usize::try_from(plan.resume_index.0).unwrap_or(usize::MAX));
        Self {
            next_attempt: plan.next_attempt,
            base,
            output,
            plan,
            limits,
            tracks: BTreeMap::new(),
            writer: None,
            held: Held::default(),
            acked: TokenIndex(0),
            next_link: LinkId(0),
            dispatched: 0,
            wanted: 0,
            queued: false,
            busy: BTreeSet::new(),
            lost: BTreeSet::new(),
            refused: 0,
            retry: None,
            crashes: 0,
            crashed_at: TokenIndex(0),
            cleared_at: TokenIndex(0),
            judging: false,
            lost_at: None,
            retry_at: None,
            started: Time::default(),
            absent: None,
            ended: false,
        }
    }

    /// Takes in what happened and returns what to do next.
    pub fn on_event(&mut self, now: Time, event: Event) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.ended {
            return steps;
        }
        match event {
            Event::Start => self.start(now, &mut steps),
            Event::Chosen(target) => self.chosen(now, target, &mut steps),
            Event::NoTarget { kind, retry } => self.no_target(now, kind, retry, &mut steps),
            Event::Dequeued => self.turn(&mut steps),
            Event::QueueRejected { kind, retry } => self.unqueued(kind, retry, &mut steps),
            Event::Frame { link, frame } => self.frame(now, link, frame, &mut steps),
            Event::Closed { link, effect } => self.closed(now, link, effect, &mut steps),
            Event::CancelResult { attempt, ran } => self.proof(now, attempt, ran, &mut steps),
            Event::Claimed { link } => self.claimed(now, link),
            Event::NotClaimed { link, kind } => self.not_claimed(link, kind, &mut steps),
            Event::CrashesChecked { at_fault } => self.judged(at_fault, &mut steps),
            Event::Refuse(kind) => self.fail(kind, self.ran(), Duration::ZERO, &mut steps),
            Event::CallerGone => self.caller_gone(now, &mut steps),
            Event::Tick => self.tick(now, &mut steps),
        }
        steps
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Time> {
        if self.ended {
            return None;
        }
        let tracks = self.tracks.values();
        tracks
            .filter_map(|track| track.deadline(&self.limits))
            .chain(self.retry_at)
            .chain(self.leave_at())
            .min()
    }

    /// Returns whether the generation has ended.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the first index that has not come yet.
    pub fn next_index(&self) -> TokenIndex {
        self.base.plus(self.output.len())
    }

    /// Returns whether the request was run, as far as the machine knows.
    pub fn ran(&self) -> Ran {
        let answered =
            self.next_index().max(self.plan.resume_index).0 > 0 || self.held.head.is_some();
        match (answered, self.dispatched) {
            (true, _) => Ran::Partly,
            (false, 0) => Ran::No,
            (false, _) => Ran::Unknown,
        }
    }

    // ---- Beginning ----

    fn start(&mut self, now: Time, steps: &mut Vec<Step>) {
        self.started = now;
        match self.plan.running_target.clone() {
            Some(target) => self.come_back(now, target, steps),
            None => self.choose(self.next_index() > TokenIndex(0), false, steps),
        }
    }

    /// Attaches to the attempt that an earlier entry, or an earlier call, dispatched.
    fn come_back(&mut self, now: Time, target: TargetId, steps: &mut Vec<Step>) {
        let attempt = self.plan.running_attempt;
        self.dispatched += 1;
        let link = self.new_link();
        let track = Track {
            attempt,
            target: target.clone(),
            link,
            phase: Phase::Reattached,
            heard: now,
            moved: now,
            so_far: None,
            resumed: false,
            begun: false,
            stalled: false,
            reattached: 1,
        };
        self.tracks.insert(attempt, track);
        steps.push(Step::Attach {
            link,
            attempt,
            target,
            repeat: None,
            from: self.next_index(),
        });
    }

    pub(super) fn choose(&mut self, resumed: bool, hedge: bool, steps: &mut Vec<Step>) {
        self.wanted += 1;
        steps.push(Step::Choose {
            exclude: self.busy.union(&self.lost).cloned().collect(),
            resumed,
            suspect: self.crashes > 0,
            hedge,
        });
    }

    fn chosen(&mut self, now: Time, target: TargetId, steps: &mut Vec<Step>) {
        if self.wanted == 0 {
            return;
        }
        self.wanted -= 1;
        let attempt = self.next_attempt;
        self.next_attempt = attempt.next();
        let resumed = self.dispatched > 0 || self.next_index() > TokenIndex(0);
        self.dispatched += 1;
        let link = self.new_link();
        let so_far = self.output.clone();
        let track = Track {
            attempt,
            target: target.clone(),
            link,
            phase: match self.plan.claimed {
                true => Phase::Claiming,
                false => Phase::Dispatched,
            },
            heard: now,
            moved: now,
            so_far: Some(so_far.clone()),
            resumed,
            begun: false,
            stalled: false,
            reattached: 0,
        };
        // A second hedge must not go to the target of the first.
        self.busy.insert(target.clone());
        self.tracks.insert(attempt, track);
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

    // ---- Time ----

    fn leave_at(&self) -> Option<Time> {
        let absent = self.absent.filter(|_| self.plan.idempotent);
        absent.map(|absent| absent + self.limits.caller_timeout)
    }

    fn caller_gone(&mut self, now: Time, steps: &mut Vec<Step>) {
        self.absent = self.absent.or(Some(now));
        if self.dispatched == 0 {
            // Nothing runs that a caller could come back to.
            self.abandon(steps);
        }
    }

    fn tick(&mut self, now: Time, steps: &mut Vec<Step>) {
        if self.leave_at().is_some_and(|at| at <= now) {
            return self.abandon(steps);
        }
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            self.busy.clear();
            self.choose(true, false, steps);
        }
        let limits = &self.limits;
        let tracks = self.tracks.values();
        let silent: Vec<AttemptNo> = tracks
            .filter(|track| track.deadline(limits).is_some_and(|at| at <= now))
            .map(|track| track.attempt)
            .collect();
        for attempt in silent {
            self.silent(now, attempt, steps);
        }
    }

    // ---- End ----

    pub(super) fn end(&mut self) {
        self.ended = true;
        self.tracks.clear();
        self.wanted = 0;
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

    /// Cancels every attempt that may still run. One that may run once is left to end by itself.
    fn cancel_all(&mut self, steps: &mut Vec<Step>) {
        let attempts: Vec<AttemptNo> = self.tracks.keys().copied().collect();
        for attempt in attempts {
            self.drop_track(attempt, steps);
        }
    }

    /// Closes and cancels one attempt, and returns its target.
    pub(super) fn drop_track(
        &mut self,
        attempt: AttemptNo,
        steps: &mut Vec<Step>,
    ) -> Option<TargetId> {
        let track = self.tracks.remove(&attempt)?;
        if self.writer == Some(attempt) {
            self.writer = None;
        }
        steps.push(Step::Close { link: track.link });
        if self.plan.idempotent {
            let target = track.target.clone();
            steps.push(Step::Cancel { attempt, target });
        }
        Some(track.target)
    }

    // ---- Links ----

    pub(super) fn track_of(&mut self, link: LinkId) -> Option<&mut Track> {
        self.tracks
            .values_mut()
            .find(|track| track.link == link && track.is_linked())
    }

    fn closed(&mut self, now: Time, link: LinkId, effect: Effect, steps: &mut Vec<Step>) {
        let Some(track) = self.track_of(link) else {
            return;
        };
        let (attempt, phase) = (track.attempt, track.phase);
        if self.absent.is_some() && self.plan.idempotent {
            // The caller may be back by now, through another entry that reads the attempt.
            self.remove(attempt);
            return self.abandon(steps);
        }
        match (phase, effect) {
            (Phase::Claiming, _) | (Phase::Dispatched, Effect::None) => {
                self.not_sent(now, attempt, steps)
            }
            (Phase::Reattached, _) => self.unreachable(now, attempt, steps),
            // A call that may have been read is asked for by its id, whatever became of it.
            _ => self.reattach(now, attempt, steps),
        }
    }

    fn claimed(&mut self, now: Time, link: LinkId) {
        if let Some(track) = self.track_of(link) {
            track.phase = Phase::Dispatched;
            track.heard = now;
        }
    }

    fn not_claimed(&mut self, link: LinkId, kind: ErrorKind, steps: &mut Vec<Step>) {
        let Some(track) = self.track_of(link) else {
            return;
        };
        let attempt = track.attempt;
        self.remove(attempt);
        self.dispatched -= 1;
        self.fail(kind, self.ran(), CLAIM_RETRY, steps);
    }

    pub(super) fn is_call(&self) -> bool {
        self.plan.kind == WorkKind::Call
    }
}

/// When to call again after a claim could not be written.
const CLAIM_RETRY: Duration = Duration::from_secs(1);
