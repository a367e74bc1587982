//! The handling of frames from agents.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::Time;
use cw_types::TokenIndex;
use cw_wire::Failure;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::Token;

use super::DropReason;
use super::Generation;
use super::LinkId;
use super::Step;
use super::tracked_attempt::Phase;

impl Generation {
    pub(super) fn on_frame(
        &mut self,
        now: Time,
        link: LinkId,
        frame: Frame,
        steps: &mut Vec<Step>,
    ) {
        let Some(tracked) = self.linked_attempt(link) else {
            steps.push(Step::Dropped(DropReason::ClosedLink));
            return;
        };
        tracked.last_frame = now;
        tracked.phase = Phase::Streaming;
        let attempt = tracked.attempt;
        match frame {
            Frame::Accepted { .. } => {}
            Frame::Tokens { first, tokens } => self.on_tokens(now, attempt, first, tokens, steps),
            Frame::Head { status, headers } => self.on_head(now, attempt, status, headers, steps),
            Frame::Body { offset, bytes } => self.on_body(now, attempt, offset, &bytes, steps),
            Frame::Heartbeat { quiet } => self.on_heartbeat(now, attempt, quiet, steps),
            Frame::Done { finish, next } => self.on_done(now, attempt, finish, next, steps),
            Frame::Failed { failure, ran, .. } => self.on_failed(now, attempt, failure, ran, steps),
            Frame::NotRun { reason, retry, .. } => {
                self.on_not_run(now, attempt, reason, retry, steps)
            }
        }
    }

    // ---- Output of engines ----

    fn on_tokens(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        first: TokenIndex,
        mut tokens: Vec<Token>,
        steps: &mut Vec<Step>,
    ) {
        if self.is_superseded(attempt) {
            steps.push(Step::Dropped(DropReason::OtherAttempt));
            return;
        }
        let next = self.next_index();
        if first > next {
            return self.on_gap(now, attempt, steps);
        }
        let received = usize::try_from(next.0 - first.0).unwrap_or(usize::MAX);
        if received > 0 {
            steps.push(Step::Dropped(DropReason::Repeated));
        }
        if received >= tokens.len() {
            return;
        }
        tokens.drain(..received);
        self.select_writer(now, attempt, steps);
        self.output.extend(tokens.iter().map(|token| token.id));
        self.clear_suspicion(steps);
        self.deliver_tokens(attempt, next, tokens, steps);
        self.ack_output(attempt, steps);
    }

    /// Delivers the tokens that the caller lacks; a reconnecting caller already has the first ones.
    fn deliver_tokens(
        &mut self,
        attempt: AttemptNo,
        first: TokenIndex,
        mut tokens: Vec<Token>,
        steps: &mut Vec<Step>,
    ) {
        let from = self.plan.resume_index.max(first);
        let received = usize::try_from(from.0 - first.0).unwrap_or(usize::MAX);
        if received >= tokens.len() {
            return;
        }
        tokens.drain(..received);
        let Some(tracked) = self.attempts.get(&attempt) else {
            return;
        };
        steps.push(Step::Deliver {
            first: from,
            attempt,
            target: tracked.target.clone(),
            tokens,
        });
    }

    fn ack_output(&mut self, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let next = TokenIndex(
            self.next_index()
                .0
                .saturating_sub(self.limits.resend_window),
        );
        if next.0 < self.acked_index.0 + self.limits.resend_window {
            return;
        }
        let Some(tracked) = self.attempts.get(&attempt) else {
            return;
        };
        self.acked_index = next;
        steps.push(Step::Ack {
            attempt,
            target: tracked.target.clone(),
            next,
        });
    }

    fn is_superseded(&self, attempt: AttemptNo) -> bool {
        self.writer.is_some_and(|writer| writer != attempt)
    }

    /// Makes an attempt the writer and cancels all others.
    fn select_writer(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        if let Some(tracked) = self.attempts.get_mut(&attempt) {
            tracked.last_output = now;
            tracked.has_output = true;
            tracked.stalled = false;
            tracked.reattach_count = 0;
        }
        if self.writer == Some(attempt) && self.attempts.len() == 1 && self.lost_at.is_none() {
            return;
        }
        self.writer = Some(attempt);
        let others: Vec<AttemptNo> = self.attempts.keys().copied().collect();
        for other in others.into_iter().filter(|&other| other != attempt) {
            self.cancel_attempt(other, steps);
        }
        self.pending_choices = 0;
        self.checking_crashes = false;
        self.retry_at = None;
        self.busy_targets.clear();
        self.lost_targets.clear();
        if let Some(lost) = self.lost_at.take() {
            let latency = now.since(lost);
            steps.push(Step::Resumed { latency });
        }
    }

    fn on_done(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        finish: FinishReason,
        next: TokenIndex,
        steps: &mut Vec<Step>,
    ) {
        if self.is_superseded(attempt) {
            steps.push(Step::Dropped(DropReason::OtherAttempt));
            return;
        }
        if self.is_call() {
            return self.deliver_response(now, attempt, steps);
        }
        if next > self.next_index() {
            return self.on_gap(now, attempt, steps);
        }
        self.select_writer(now, attempt, steps);
        steps.push(Step::Finish(finish));
        self.end();
    }

    fn on_heartbeat(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        quiet: Duration,
        steps: &mut Vec<Step>,
    ) {
        let Some(tracked) = self.attempts.get(&attempt) else {
            return;
        };
        let limit = tracked.output_timeout(&self.limits, self.plan.start_timeout);
        if !self.is_call() && !tracked.stalled && quiet >= limit {
            self.on_stalled(now, attempt, quiet, steps);
        }
    }

    // ---- Responses of plain services ----

    fn on_head(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        status: u16,
        headers: BTreeMap<String, String>,
        steps: &mut Vec<Step>,
    ) {
        if self.is_superseded(attempt) {
            steps.push(Step::Dropped(DropReason::OtherAttempt));
            return;
        }
        self.select_writer(now, attempt, steps);
        if self.response.head.is_none() {
            self.response.head = Some((status, headers));
        }
    }

    fn on_body(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        offset: u64,
        bytes: &Bytes,
        steps: &mut Vec<Step>,
    ) {
        if self.is_superseded(attempt) {
            steps.push(Step::Dropped(DropReason::OtherAttempt));
            return;
        }
        let next = self.response.body.len() as u64;
        if offset > next || self.response.head.is_none() {
            return self.on_gap(now, attempt, steps);
        }
        let received = usize::try_from(next - offset).unwrap_or(usize::MAX);
        if received > 0 {
            steps.push(Step::Dropped(DropReason::Repeated));
        }
        if received < bytes.len() {
            self.response.body.extend_from_slice(&bytes[received..]);
        }
    }

    fn deliver_response(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let Some((status, headers)) = self.response.head.take() else {
            return self.on_gap(now, attempt, steps);
        };
        let body = self.response.body.split().freeze();
        steps.push(Step::Answer {
            status,
            headers,
            body,
        });
        self.end();
    }

    // ---- Failures ----

    fn on_failed(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        failure: Failure,
        ran: Ran,
        steps: &mut Vec<Step>,
    ) {
        match failure {
            Failure::TargetLost => self.on_crashed(now, attempt, ran, steps),
            Failure::TargetError if ran != Ran::No => {
                self.remove_attempt(attempt);
                self.fail(ErrorKind::TargetFailed, ran, Duration::ZERO, steps);
            }
            Failure::Trimmed => self.on_trimmed(now, attempt, steps),
            Failure::TargetError | Failure::TargetStalled | Failure::Cancelled => {
                self.lose_attempt(now, attempt, ran, steps);
            }
        }
    }
}
