//! The table of attempts.

mod peer_events;
mod target_events;
mod time_events;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use cw_types::AttemptId;
use cw_types::Incarnation;
use cw_types::Time;
use cw_types::TokenCount;
use cw_types::TokenIndex;
use cw_wire::CrashReport;
use cw_wire::Dispatch;
use cw_wire::Frame;
use cw_wire::Load;
use cw_wire::NotRunReason;
use cw_wire::Prompt;
use cw_wire::Stamp;
use cw_wire::Work;

use super::AttemptLimits;
use super::AttemptStep;
use super::CrashLog;
use super::End;
use super::ReadStep;
use super::Reader;
use super::TargetGate;
use super::attempt_state::AttemptState;
use super::attempt_state::Stage;
use crate::AdmissionControl;
use crate::Ticket;

/// How many bytes of text are counted as one token.
const TOKEN_BYTES: u64 = 4;

/// The attempts of one target: each runs at most once, whatever arrives twice, late or crossed.
///
/// An attempt waits, runs or has ended, in this order, and never goes back. An ended one is
/// remembered longer than a dispatch of it is valid, see [`Stamp`].
#[derive(Clone, Debug)]
pub struct AttemptTable {
    limits: AttemptLimits,
    incarnation: Incarnation,
    attempts: BTreeMap<AttemptId, AttemptState>,
    live: BTreeSet<AttemptId>,
    /// Ended attempts by the time of their end.
    ended: VecDeque<(Time, AttemptId)>,
    /// Those of them whose output is kept.
    retained: VecDeque<(Time, AttemptId)>,
    kept: usize,
    readers: u32,
    admission: AdmissionControl,
    gate: TargetGate,
    crashes: CrashLog,
    /// When a connection broke, until the target is known to live or not.
    broken: Option<Time>,
}

impl AttemptTable {
    /// Returns the empty table of an agent's new life.
    pub fn new(incarnation: Incarnation, limits: AttemptLimits) -> Self {
        Self {
            admission: AdmissionControl::new(limits.admission.clone()),
            limits,
            incarnation,
            attempts: BTreeMap::new(),
            live: BTreeSet::new(),
            ended: VecDeque::new(),
            retained: VecDeque::new(),
            kept: 0,
            readers: 0,
            gate: TargetGate::default(),
            crashes: CrashLog::default(),
            broken: None,
        }
    }

    // ---- What it knows

    /// Returns the agent's life.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the target's load.
    pub fn load(&self, now: Time) -> Load {
        self.admission.load(now)
    }

    /// Returns whether the target takes new work.
    pub fn gate(&self) -> &TargetGate {
        &self.gate
    }

    /// Returns the crashes to report.
    pub fn crashes(&self) -> Vec<CrashReport> {
        self.crashes.reports()
    }

    /// Returns how many attempts wait or run.
    pub fn live(&self) -> usize {
        self.live.len()
    }

    /// Returns how many attempts are remembered, live ones included.
    pub fn remembered(&self) -> usize {
        self.attempts.len()
    }

    /// Returns how many bytes of output are kept.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// Returns whether nothing is in progress, nothing is being read and no end is undelivered.
    pub fn is_drained(&self) -> bool {
        let waiting = |&(_, id): &(Time, AttemptId)| {
            self.attempts
                .get(&id)
                .is_some_and(|attempt| !attempt.delivered)
        };
        self.live.is_empty() && self.readers == 0 && !self.retained.iter().any(waiting)
    }

    // ---- Reading

    /// Returns the next frame for a reader.
    pub fn read(&mut self, now: Time, reader: &mut Reader) -> (ReadStep, Vec<AttemptStep>) {
        let mut steps = Vec::new();
        if reader.ended {
            return (ReadStep::Close, steps);
        }
        let step = self.next_frame(now, reader);
        if let Some(attempt) = self.attempts.get_mut(&reader.id) {
            attempt.sent = attempt.sent.max(reader.next);
            self.make_room(now, reader.id, &mut steps);
        }
        (step, steps)
    }

    /// Returns a heartbeat for a reader.
    pub fn heartbeat(&self, now: Time, id: AttemptId) -> Frame {
        let quiet = self.attempts.get(&id).map(|attempt| attempt.quiet(now));
        Frame::Heartbeat {
            quiet: quiet.unwrap_or_default(),
        }
    }

    /// A reader's stream is gone.
    pub fn on_leave(&mut self, now: Time, reader: &Reader) {
        self.readers = self.readers.saturating_sub(1);
        if let Some(attempt) = self.attempts.get_mut(&reader.id) {
            attempt.readers = attempt.readers.saturating_sub(1);
            attempt.alone = now;
        }
    }

    fn next_frame(&mut self, now: Time, reader: &mut Reader) -> ReadStep {
        let Some(attempt) = self.attempts.get_mut(&reader.id) else {
            return ReadStep::Close;
        };
        if let (false, Some(cached)) = (reader.accepted, attempt.accepted) {
            reader.accepted = true;
            let load = self.admission.load(now);
            return ReadStep::Frame(Frame::Accepted { cached, load });
        }
        if let (false, Some(head)) = (reader.head, attempt.output.head()) {
            reader.head = true;
            return ReadStep::Frame(head);
        }
        if let Some((frame, next)) = attempt.output.frame(reader.next) {
            reader.next = next;
            return ReadStep::Frame(frame);
        }
        let next = attempt.output.next();
        if reader.next < next {
            reader.ended = true;
            return ReadStep::Frame(trimmed(attempt));
        }
        let Stage::Ended(end, _) = attempt.stage else {
            return ReadStep::Wait;
        };
        reader.ended = true;
        attempt.delivered = true;
        ReadStep::Frame(self.end_frame(now, end, next))
    }

    fn end_frame(&self, now: Time, end: End, next: u64) -> Frame {
        let next = TokenIndex(next);
        match end {
            End::Done(finish) => Frame::Done { finish, next },
            End::Failed { failure, ran } => Frame::Failed { failure, ran, next },
            End::NotRun(reason) => self.not_run(now, reason),
        }
    }

    fn not_run(&self, now: Time, reason: NotRunReason) -> Frame {
        Frame::NotRun {
            reason,
            retry: self.admission.retry(),
            load: self.admission.load(now),
        }
    }

    // ---- Room for output

    /// Forgets output that a reader has where an attempt keeps more than its share, and reads on
    /// from the target once there is room.
    fn make_room(&mut self, now: Time, id: AttemptId, steps: &mut Vec<AttemptStep>) {
        let share = self.limits.share();
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let before = attempt.output.bytes();
        attempt.output.trim_to(share, attempt.sent);
        let after = attempt.output.bytes();
        self.kept -= before - after;
        if attempt.held && after < share {
            attempt.held = false;
            // The target could produce nothing while it was not read from.
            attempt.active = now;
            steps.push(AttemptStep::Resume(id));
        }
    }

    fn clear_output(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            self.kept -= attempt.output.bytes();
            attempt.output.clear();
        }
    }

    // ---- Ends

    /// Ends an attempt unless it has ended before, and starts what waits for its place.
    fn end(&mut self, now: Time, id: AttemptId, end: End, steps: &mut Vec<AttemptStep>) {
        if !self.live.remove(&id) {
            return;
        }
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.stage = Stage::Ended(end, now);
            attempt.held = false;
        }
        self.ended.push_back((now, id));
        self.retained.push_back((now, id));
        self.admission.release(now, id);
        self.crashes.on_end(id);
        steps.push(AttemptStep::Wake(id));
        self.start_waiting(now, steps);
    }

    fn start_waiting(&mut self, now: Time, steps: &mut Vec<AttemptStep>) {
        while let Some(id) = self.admission.admit_next() {
            self.start(now, id, steps);
        }
    }

    fn start(&mut self, now: Time, id: AttemptId, steps: &mut Vec<AttemptStep>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let stage = std::mem::replace(&mut attempt.stage, Stage::Running);
        match stage {
            Stage::Waiting(dispatch) => {
                attempt.active = now;
                self.crashes.on_start(id, attempt.fingerprint);
                steps.push(AttemptStep::Start(dispatch));
            }
            other => attempt.stage = other,
        }
    }

    // ---- Stamps

    /// Returns whether an attempt with this stamp, if it is not remembered, was never seen.
    ///
    /// What was seen since is remembered for `tombstone` after its end, so for longer than a stamp
    /// made before is taken.
    fn is_fresh(&self, now: Time, stamp: Stamp) -> bool {
        let age = now.since(Time::default());
        let oldest = stamp.age.saturating_add(self.limits.tombstone);
        stamp.incarnation == self.incarnation && stamp.age <= age && age < oldest
    }
}

fn trimmed(attempt: &AttemptState) -> Frame {
    Frame::Failed {
        failure: cw_wire::Failure::Trimmed,
        ran: attempt.ran(),
        next: TokenIndex(attempt.output.next()),
    }
}

fn ticket(now: Time, dispatch: &Dispatch) -> Ticket {
    Ticket {
        id: dispatch.id,
        workspace: dispatch.workspace.clone(),
        weight: dispatch.weight,
        rank: dispatch.rank,
        resumed: dispatch.resumed,
        deadline: now + dispatch.patience,
        tokens: tokens(&dispatch.work),
        bytes: bytes(&dispatch.work),
    }
}

/// Returns about how many bytes the work keeps.
fn bytes(work: &Work) -> u64 {
    let generate = match work {
        Work::Call(call) => return call.body.len() as u64,
        Work::Generate(generate) => generate,
    };
    let prompt = match &generate.prompt {
        Prompt::Text(text) => text.len(),
        Prompt::Ids(ids) => size_of_val(ids.as_slice()),
        Prompt::Chat(messages) => messages.iter().map(|message| message.content.len()).sum(),
    };
    (prompt + size_of_val(generate.so_far.as_slice())) as u64
}

/// Returns about how many tokens the work brings into an engine's cache.
fn tokens(work: &Work) -> u64 {
    let Work::Generate(work) = work else {
        return 0;
    };
    let TokenCount(prompt) = match &work.prompt {
        Prompt::Ids(ids) => TokenCount(ids.len() as u64),
        Prompt::Text(text) => TokenCount(text.len() as u64 / TOKEN_BYTES),
        Prompt::Chat(messages) => {
            let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
            TokenCount(bytes as u64 / TOKEN_BYTES)
        }
    };
    prompt + work.so_far.len() as u64
}
