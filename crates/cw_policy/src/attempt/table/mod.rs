//! The state machine of the attempts at one target.

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

use super::AttemptEnd;
use super::AttemptLimits;
use super::AttemptStep;
use super::CrashLog;
use super::ReadStep;
use super::Reader;
use super::TargetReadiness;
use super::attempt_state::AttemptState;
use super::attempt_state::Stage;
use crate::AdmissionControl;
use crate::Ticket;

/// The assumed length of a token in bytes of text.
const TOKEN_BYTES: u64 = 4;

/// The attempts at one target.
///
/// Each attempt runs at most once, even if messages are duplicated, delayed or reordered. An
/// attempt waits, runs and ends, in this order, and never goes back. An ended attempt is remembered
/// for longer than its dispatch stays valid, see [`Stamp`].
#[derive(Clone, Debug)]
pub struct AttemptTable {
    limits: AttemptLimits,
    incarnation: Incarnation,
    attempts: BTreeMap<AttemptId, AttemptState>,
    live: BTreeSet<AttemptId>,
    /// The ended attempts, ordered by the time of their end.
    ended: VecDeque<(Time, AttemptId)>,
    /// The ended attempts whose output is kept, in the same order.
    retained: VecDeque<(Time, AttemptId)>,
    output_bytes: usize,
    readers: u32,
    admission: AdmissionControl,
    readiness: TargetReadiness,
    crashes: CrashLog,
    /// When a connection broke, until it is known whether the target crashed.
    disconnected_at: Option<Time>,
}

impl AttemptTable {
    /// Returns an empty table for a new incarnation of the agent.
    pub fn new(incarnation: Incarnation, limits: AttemptLimits) -> Self {
        Self {
            admission: AdmissionControl::new(limits.admission.clone()),
            limits,
            incarnation,
            attempts: BTreeMap::new(),
            live: BTreeSet::new(),
            ended: VecDeque::new(),
            retained: VecDeque::new(),
            output_bytes: 0,
            readers: 0,
            readiness: TargetReadiness::default(),
            crashes: CrashLog::default(),
            disconnected_at: None,
        }
    }

    // ---- Accessors ----

    /// Returns the incarnation of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the load of the target.
    pub fn load(&self, now: Time) -> Load {
        self.admission.load(now)
    }

    /// Returns whether the target accepts new work, and for which versions.
    pub fn readiness(&self) -> &TargetReadiness {
        &self.readiness
    }

    /// Returns the crashes to report.
    pub fn crashes(&self) -> Vec<CrashReport> {
        self.crashes.reports()
    }

    /// Returns the number of waiting and running attempts.
    pub fn live(&self) -> usize {
        self.live.len()
    }

    /// Returns the number of attempts in the table, live ones included.
    pub fn remembered(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the size of the buffered output of all attempts, in bytes.
    pub fn output_bytes(&self) -> usize {
        self.output_bytes
    }

    /// Returns whether no attempt is live, no stream is open and every kept end is delivered.
    pub fn is_drained(&self) -> bool {
        let undelivered = |&(_, id): &(Time, AttemptId)| {
            self.attempts
                .get(&id)
                .is_some_and(|attempt| !attempt.delivered)
        };
        self.live.is_empty() && self.readers == 0 && !self.retained.iter().any(undelivered)
    }

    // ---- Reading ----

    /// Returns the next action of a reader's stream.
    pub fn read(&mut self, now: Time, reader: &mut Reader) -> (ReadStep, Vec<AttemptStep>) {
        let mut steps = Vec::new();
        if reader.ended {
            return (ReadStep::Close, steps);
        }
        let step = self.next_frame(now, reader);
        if let Some(attempt) = self.attempts.get_mut(&reader.id) {
            attempt.sent_until = attempt.sent_until.max(reader.next);
            self.trim_output(now, reader.id, &mut steps);
        }
        (step, steps)
    }

    /// Returns a heartbeat frame for the readers of an attempt.
    pub fn heartbeat(&self, now: Time, id: AttemptId) -> Frame {
        let quiet = self.attempts.get(&id).map(|attempt| attempt.idle_time(now));
        Frame::Heartbeat {
            quiet: quiet.unwrap_or_default(),
        }
    }

    /// Handles the end of a reader's stream.
    pub fn on_detach(&mut self, now: Time, reader: &Reader) {
        self.readers = self.readers.saturating_sub(1);
        if let Some(attempt) = self.attempts.get_mut(&reader.id) {
            attempt.readers = attempt.readers.saturating_sub(1);
            attempt.unread_since = now;
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
            return ReadStep::Frame(trimmed_frame(attempt));
        }
        let Stage::Ended(end, _) = attempt.stage else {
            return ReadStep::Wait;
        };
        reader.ended = true;
        attempt.delivered = true;
        ReadStep::Frame(self.end_frame(now, end, next))
    }

    fn end_frame(&self, now: Time, end: AttemptEnd, next: u64) -> Frame {
        let next = TokenIndex(next);
        match end {
            AttemptEnd::Done(finish) => Frame::Done { finish, next },
            AttemptEnd::Failed { failure, ran } => Frame::Failed { failure, ran, next },
            AttemptEnd::NotRun(reason) => self.not_run(now, reason),
        }
    }

    fn not_run(&self, now: Time, reason: NotRunReason) -> Frame {
        Frame::NotRun {
            reason,
            retry: self.admission.retry(),
            load: self.admission.load(now),
        }
    }

    // ---- Output buffer ----

    /// Discards delivered output of an attempt whose buffer exceeds its share, and resumes reading
    /// from the target once there is room.
    fn trim_output(&mut self, now: Time, id: AttemptId, steps: &mut Vec<AttemptStep>) {
        let share = self.limits.output_share();
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let before = attempt.output.bytes();
        attempt.output.trim_to(share, attempt.sent_until);
        let after = attempt.output.bytes();
        self.output_bytes -= before - after;
        if attempt.paused && after < share {
            attempt.paused = false;
            // The target could not produce output while reading from it was paused.
            attempt.last_active = now;
            steps.push(AttemptStep::Resume(id));
        }
    }

    fn clear_output(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            self.output_bytes -= attempt.output.bytes();
            attempt.output.clear();
        }
    }

    // ---- Ends ----

    /// Ends an attempt unless it has already ended, and starts attempts that wait for its slot.
    fn end(&mut self, now: Time, id: AttemptId, end: AttemptEnd, steps: &mut Vec<AttemptStep>) {
        if !self.live.remove(&id) {
            return;
        }
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.stage = Stage::Ended(end, now);
            attempt.paused = false;
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
                attempt.last_active = now;
                self.crashes.on_start(id, attempt.fingerprint);
                steps.push(AttemptStep::Start(dispatch));
            }
            other => attempt.stage = other,
        }
    }

    // ---- Stamps ----

    /// Returns whether an attempt with this stamp that is not in the table was never seen.
    ///
    /// A stamp is made before its attempt arrives and expires `tombstone` later, while the attempt
    /// stays in the table until `tombstone` after its end. The stamp therefore expires first.
    fn is_fresh(&self, now: Time, stamp: Stamp) -> bool {
        let age = now.since(Time::default());
        let oldest = stamp.age.saturating_add(self.limits.tombstone);
        stamp.incarnation == self.incarnation && stamp.age <= age && age < oldest
    }
}

fn trimmed_frame(attempt: &AttemptState) -> Frame {
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
        tokens: work_tokens(&dispatch.work),
        bytes: work_bytes(&dispatch.work),
    }
}

/// Estimates the memory that the work takes, in bytes.
fn work_bytes(work: &Work) -> u64 {
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

/// Estimates the number of tokens that the work adds to an engine's KV cache.
fn work_tokens(work: &Work) -> u64 {
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
