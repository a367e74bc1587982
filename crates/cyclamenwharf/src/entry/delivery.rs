//! What a generation's caller gets, and what is counted of it.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::KeptAnswer;
use cw_policy::Step;
use cw_policy::slo::Class;
use cw_policy::slo::Counts;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TargetId;
use cw_types::Time;
use log::info;
use log::warn;
use tokio::sync::mpsc;

use super::frontend::Frontend;
use super::job::Job;
use super::job::KeyUse;
use super::output::Output;
use super::output::Piece;
use super::output::ServiceAnswer;
use super::quota_gate::QuotaGuard;
use super::refusal::Refusal;

/// What a generation's caller gets, and what is counted of it.
pub(crate) struct Delivery {
    front: Arc<Frontend>,
    job: Arc<Job>,
    class: Class,
    out: mpsc::Sender<Output>,
    started: Time,
    last: Option<Time>,
    gaps: Counts,
    quota: Option<QuotaGuard>,
}

impl Delivery {
    /// Returns the delivery of `job` to `out`.
    pub(crate) fn new(
        front: Arc<Frontend>,
        job: Arc<Job>,
        out: mpsc::Sender<Output>,
        quota: Option<QuotaGuard>,
    ) -> Self {
        let class = Class {
            route: job.route.clone(),
            priority: job.priority.clone(),
        };
        let started = front.clock.now();
        Self {
            front,
            job,
            class,
            out,
            started,
            last: None,
            gaps: Counts { good: 0, total: 0 },
            quota,
        }
    }

    /// Waits until the caller is gone.
    pub(crate) async fn closed(&self) {
        self.out.closed().await;
    }

    /// Passes a step's output on to the caller, and counts it.
    pub(crate) async fn take(&mut self, now: Time, step: Step) {
        match step {
            Step::Deliver {
                first,
                attempt,
                target,
                tokens,
            } => {
                self.time(now, tokens.len());
                let piece = Piece {
                    first,
                    attempt,
                    target,
                    tokens,
                };
                self.send(Output::Piece(piece)).await;
            }
            Step::Answer {
                status,
                headers,
                body,
            } => {
                let answer = ServiceAnswer {
                    status,
                    headers,
                    body,
                };
                self.answer(now, answer).await;
            }
            Step::Finish(finish) => {
                self.front.suspicion.finished(self.job.fingerprint);
                self.end("finished");
                self.front.slo.record_completion(&self.class, true);
                self.send(Output::Finish(finish)).await;
            }
            Step::Fail { kind, ran, retry } => self.fail(kind, ran, retry).await,
            Step::Cleared => self.front.suspicion.finished(self.job.fingerprint),
            Step::Abandon => self.end("abandoned"),
            Step::Crashed { target } => self.note(&target, "an engine crashed"),
            Step::Lost { target } => self.note(&target, "an attempt is lost"),
            Step::Resumed { latency } => {
                self.front.metrics.resumed(latency);
                self.front.slo.record_resume(&self.class, latency);
            }
            Step::Dropped(reason) => self.front.metrics.dropped(reason),
            _ => {}
        }
    }

    async fn answer(&mut self, now: Time, answer: ServiceAnswer) {
        self.front.suspicion.finished(self.job.fingerprint);
        self.end("answered");
        self.front.slo.record_completion(&self.class, true);
        if let Some(KeyUse::Claimed(slot)) = &self.job.key {
            let slot = Arc::clone(slot);
            let kept = KeptAnswer {
                status: answer.status,
                headers: answer.headers.clone(),
                body: answer.body.clone(),
            };
            self.front
                .progress
                .spawn(async move { slot.keep(now, kept).await });
        }
        self.send(Output::Answer(answer)).await;
    }

    async fn fail(&mut self, kind: ErrorKind, ran: Ran, retry: Duration) {
        self.end(kind.code());
        match ran {
            Ran::No => self.front.slo.record_refusal(&self.class, true),
            Ran::Partly | Ran::Unknown => self.front.slo.record_completion(&self.class, false),
        }
        let refusal = Refusal::new(kind).with_ran(ran).with_retry(retry);
        self.send(Output::Refusal(refusal)).await;
    }

    async fn send(&mut self, output: Output) {
        // A caller that is gone is noticed by the driver.
        let _ = self.out.send(output).await;
    }

    fn time(&mut self, now: Time, count: usize) {
        self.front.metrics.tokens.inc_by(count as u64);
        if let Some(quota) = &self.quota {
            quota.produced(now, count as u64);
        }
        let Some(last) = self.last.replace(now) else {
            let took = now.since(self.started);
            self.front.metrics.first_token(&self.job.route, took);
            self.front.slo.record_first_token(&self.class, took);
            return;
        };
        let took = now.since(last);
        self.front.metrics.between_tokens(took);
        self.gaps.total += 1;
        self.gaps.good += u64::from(took <= self.front.gap);
    }

    fn note(&self, target: &TargetId, message: &str) {
        warn!(
            generation = self.job.generation.to_string(),
            workspace = self.job.workspace.as_str(),
            target = target.as_str();
            "{message}"
        );
    }

    fn end(&self, outcome: &str) {
        self.front.metrics.ended(&self.job.route, outcome);
        self.front.slo.record_token_gaps(&self.class, self.gaps);
        info!(
            generation = self.job.generation.to_string(),
            workspace = self.job.workspace.as_str(),
            outcome = outcome;
            "a generation has ended"
        );
    }
}
