//! What a generation does with the frames of its attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::Time;
use cw_types::TokenIndex;
use cw_wire::Failure;
use cw_wire::Finish;
use cw_wire::Frame;
use cw_wire::Token;

use super::DropReason;
use super::Generation;
use super::LinkId;
use super::Step;
use super::tracked_attempt::Phase;

impl Generation {
    pub(super) fn frame(&mut self, now: Time, link: LinkId, frame: Frame, steps: &mut Vec<Step>) {
        let Some(track) = self.track_of(link) else {
            steps.push(Step::Dropped(DropReason::ClosedLink));
            return;
        };
        track.heard = now;
        track.phase = Phase::Flowing;
        let attempt = track.attempt;
        match frame {
            Frame::Accepted { .. } => {}
            Frame::Tokens { first, tokens } => self.tokens(now, attempt, first, tokens, steps),
            Frame::Head { status, headers } => self.head(now, attempt, status, headers, steps),
            Frame::Body { offset, bytes } => self.body(now, attempt, offset, &bytes, steps),
            Frame::Heartbeat { quiet } => self.heartbeat(now, attempt, quiet, steps),
            Frame::Done { finish, next } => self.done(now, attempt, finish, next, steps),
            Frame::Failed { failure, ran, .. } => self.failed(now, attempt, failure, ran, steps),
            Frame::NotRun { reason, retry, .. } => self.not_run(now, attempt, reason, retry, steps),
        }
    }

    // ---- Output of an engine ----

    fn tokens(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        first: TokenIndex,
        mut tokens: Vec<Token>,
        steps: &mut Vec<Step>,
    ) {
        if self.is_other(attempt) {
            steps.push(Step::Dropped(DropReason::OtherAttempt));
            return;
        }
        let next = self.next_index();
        if first > next {
            return self.gap(now, attempt, steps);
        }
        let known = usize::try_from(next.0 - first.0).unwrap_or(usize::MAX);
        if known > 0 {
            steps.push(Step::Dropped(DropReason::Repeated));
        }
        if known >= tokens.len() {
            return;
        }
        tokens.drain(..known);
        self.elect(now, attempt, steps);
        self.output.extend(tokens.iter().map(|token| token.id));
        self.clear(steps);
        self.deliver(attempt, next, tokens, steps);
        self.ack(attempt, steps);
    }

    /// Passes on what the caller does not have; one that comes back has the beginning.
    fn deliver(
        &mut self,
        attempt: AttemptNo,
        first: TokenIndex,
        mut tokens: Vec<Token>,
        steps: &mut Vec<Step>,
    ) {
        let from = self.plan.resume_index.max(first);
        let known = usize::try_from(from.0 - first.0).unwrap_or(usize::MAX);
        if known >= tokens.len() {
            return;
        }
        tokens.drain(..known);
        let Some(track) = self.tracks.get(&attempt) else {
            return;
        };
        steps.push(Step::Deliver {
            first: from,
            attempt,
            target: track.target.clone(),
            tokens,
        });
    }

    fn ack(&mut self, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let next = TokenIndex(
            self.next_index()
                .0
                .saturating_sub(self.limits.resend_window),
        );
        if next.0 < self.acked.0 + self.limits.resend_window {
            return;
        }
        let Some(track) = self.tracks.get(&attempt) else {
            return;
        };
        self.acked = next;
        steps.push(Step::Ack {
            attempt,
            target: track.target.clone(),
            next,
        });
    }

    fn is_other(&self, attempt: AttemptNo) -> bool {
        self.writer.is_some_and(|writer| writer != attempt)
    }

    /// Makes an attempt the writer, and ends all others.
    fn elect(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        if let Some(track) = self.tracks.get_mut(&attempt) {
            track.moved = now;
            track.begun = true;
            track.stalled = false;
            track.reattached = 0;
        }
        if self.writer == Some(attempt) && self.tracks.len() == 1 && self.lost_at.is_none() {
            return;
        }
        self.writer = Some(attempt);
        let others: Vec<AttemptNo> = self.tracks.keys().copied().collect();
        for other in others.into_iter().filter(|&other| other != attempt) {
            self.drop_track(other, steps);
        }
        self.wanted = 0;
        self.judging = false;
        self.retry_at = None;
        self.busy.clear();
        self.lost.clear();
        if let Some(lost) = self.lost_at.take() {
            let latency = now.since(lost);
            steps.push(Step::Resumed { latency });
        }
    }

    fn done(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        finish: Finish,
        next: TokenIndex,
        steps: &mut Vec<Step>,
    ) {
        if self.is_other(attempt) {
            steps.push(Step::Dropped(DropReason::OtherAttempt));
            return;
        }
        if self.is_call() {
            return self.answer(now, attempt, steps);
        }
        if next > self.next_index() {
            return self.gap(now, attempt, steps);
        }
        self.elect(now, attempt, steps);
        steps.push(Step::Finish(finish));
        self.end();
    }

    fn heartbeat(&mut self, now: Time, attempt: AttemptNo, quiet: Duration, steps: &mut Vec<Step>) {
        let Some(track) = self.tracks.get(&attempt) else {
            return;
        };
        let limit = track.quiet_limit(&self.limits, self.plan.patience);
        if !self.is_call() && !track.stalled && quiet >= limit {
            self.stalled(now, attempt, quiet, steps);
        }
    }

    // ---- Answer of a plain service ----

    fn head(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        status: u16,
        headers: BTreeMap<String, String>,
        steps: &mut Vec<Step>,
    ) {
        if self.is_other(attempt) {
            steps.push(Step::Dropped(DropReason::OtherAttempt));
            return;
        }
        self.elect(now, attempt, steps);
        if self.held.head.is_none() {
            self.held.head = Some((status, headers));
        }
    }

    fn body(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        offset: u64,
        bytes: &Bytes,
        steps: &mut Vec<Step>,
    ) {
        if self.is_other(attempt) {
            steps.push(Step::Dropped(DropReason::OtherAttempt));
            return;
        }
        let next = self.held.body.len() as u64;
        if offset > next || self.held.head.is_none() {
            return self.gap(now, attempt, steps);
        }
        let known = usize::try_from(next - offset).unwrap_or(usize::MAX);
        if known > 0 {
            steps.push(Step::Dropped(DropReason::Repeated));
        }
        if known < bytes.len() {
            self.held.body.extend_from_slice(&bytes[known..]);
        }
    }

    fn answer(&mut self, now: Time, attempt: AttemptNo, steps: &mut Vec<Step>) {
        let Some((status, headers)) = self.held.head.take() else {
            return self.gap(now, attempt, steps);
        };
        let body = self.held.body.split().freeze();
        steps.push(Step::Answer {
            status,
            headers,
            body,
        });
        self.end();
    }

    // ---- Ends ----

    fn failed(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        failure: Failure,
        ran: Ran,
        steps: &mut Vec<Step>,
    ) {
        match failure {
            Failure::TargetLost => self.crashed(now, attempt, ran, steps),
            Failure::TargetError if ran != Ran::No => {
                self.remove(attempt);
                self.fail(ErrorKind::TargetFailed, ran, Duration::ZERO, steps);
            }
            Failure::Trimmed => self.trimmed(now, attempt, steps),
            Failure::TargetError | Failure::TargetStalled | Failure::Cancelled => {
                self.lose(now, attempt, ran, steps);
            }
        }
    }
}
