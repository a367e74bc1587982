//! Delivery of a generation's output to its caller, with the metrics and logs of the request.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::Step;
use cw_policy::StoredAnswer;
use cw_policy::slo::Class;
use cw_policy::slo::Counts;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::TargetId;
use cw_types::Time;
use log::info;
use log::warn;
use tokio::sync::mpsc;

use super::api_error::ApiError;
use super::entry_context::EntryContext;
use super::job::Job;
use super::job::KeyUse;
use super::output::Output;
use super::output::ServiceAnswer;
use super::output::TokenChunk;
use super::shared_quotas::QuotaGuard;

/// Sends a generation's output to its caller, and records the metrics and logs of the request.
pub(crate) struct Delivery {
    context: Arc<EntryContext>,
    job: Arc<Job>,
    class: Class,
    output: mpsc::Sender<Output>,
    started: Time,
    last_tokens: Option<Time>,
    token_gaps: Counts,
    quota: Option<QuotaGuard>,
}

impl Delivery {
    /// Creates the delivery of the output of `job` to `output`.
    pub(crate) fn new(
        context: Arc<EntryContext>,
        job: Arc<Job>,
        output: mpsc::Sender<Output>,
        quota: Option<QuotaGuard>,
    ) -> Self {
        let class = Class {
            route: job.route.clone(),
            priority: job.priority.clone(),
        };
        let started = context.clock.now();
        Self {
            context,
            job,
            class,
            output,
            started,
            last_tokens: None,
            token_gaps: Counts { good: 0, total: 0 },
            quota,
        }
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.output.closed().await;
    }

    /// Sends the output of a step to the caller, and records its metrics and logs.
    pub(crate) async fn on_step(&mut self, now: Time, step: Step) {
        match step {
            Step::Deliver {
                first,
                attempt,
                target,
                tokens,
            } => {
                self.record_tokens(now, tokens.len());
                let chunk = TokenChunk {
                    first,
                    attempt,
                    target,
                    tokens,
                };
                self.send(Output::Tokens(chunk)).await;
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
                self.clear_suspicion();
                self.record_end("finished");
                self.context.slo.record_completion(&self.class, true);
                self.send(Output::Finished(finish)).await;
            }
            Step::Fail { kind, ran, retry } => self.fail(kind, ran, retry).await,
            Step::ClearSuspicion => self.clear_suspicion(),
            Step::Abandon => self.record_end("abandoned"),
            Step::Crashed { target } => self.warn(&target, "the engine crashed during an attempt"),
            Step::Lost { target } => self.warn(&target, "the attempt was lost"),
            Step::Resumed { latency } => {
                self.context.metrics.record_resume(latency);
                self.context.slo.record_resume(&self.class, latency);
            }
            Step::Dropped(reason) => self.context.metrics.record_drop(reason),
            _ => {}
        }
    }

    fn clear_suspicion(&self) {
        let suspicion = &self.context.suspicion;
        suspicion.record_completion(self.job.fingerprint);
    }

    async fn answer(&mut self, now: Time, answer: ServiceAnswer) {
        let suspicion = &self.context.suspicion;
        suspicion.record_answer(self.job.fingerprint, answer.status);
        self.record_end("answered");
        self.context.slo.record_completion(&self.class, true);
        if let Some(KeyUse::Claimed(claim)) = &self.job.key {
            let claim = Arc::clone(claim);
            let kept_answer = StoredAnswer {
                status: answer.status,
                headers: answer.headers.clone(),
                body: answer.body.clone(),
            };
            self.context
                .progress
                .spawn(async move { claim.store_answer(now, kept_answer).await });
        }
        self.send(Output::Answer(answer)).await;
    }

    async fn fail(&mut self, kind: ErrorKind, ran: Ran, retry: Duration) {
        self.record_end(kind.code());
        match ran {
            Ran::No => self.context.slo.record_refusal(&self.class, true),
            Ran::Partly | Ran::Unknown => self.context.slo.record_completion(&self.class, false),
        }
        let error = ApiError::new(kind).with_ran(ran).with_retry(retry);
        self.send(Output::Error(error)).await;
    }

    async fn send(&mut self, output: Output) {
        // The driver watches for a disconnected caller, so a failed send needs no handling here.
        let _ = self.output.send(output).await;
    }

    fn record_tokens(&mut self, now: Time, count: usize) {
        self.context.metrics.tokens.inc_by(count as u64);
        if let Some(quota) = &self.quota {
            quota.record_output(now, count as u64);
        }
        let Some(last_tokens) = self.last_tokens.replace(now) else {
            let took = now.since(self.started);
            self.context
                .metrics
                .record_first_token(&self.job.route, took);
            self.context.slo.record_first_token(&self.class, took);
            return;
        };
        let took = now.since(last_tokens);
        self.context.metrics.record_token_gap(took);
        self.token_gaps.total += 1;
        self.token_gaps.good += u64::from(took <= self.context.token_gap);
    }

    fn warn(&self, target: &TargetId, message: &str) {
        warn!(
            generation = self.job.generation.to_string(),
            workspace = self.job.workspace.as_str(),
            target = target.as_str();
            "{message}"
        );
    }

    fn record_end(&self, outcome: &str) {
        self.context.metrics.record_end(&self.job.route, outcome);
        self.context
            .slo
            .record_token_gaps(&self.class, self.token_gaps);
        info!(
            generation = self.job.generation.to_string(),
            workspace = self.job.workspace.as_str(),
            outcome = outcome;
            "generation ended"
        );
    }
}
