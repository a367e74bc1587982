//! Dispatching, re-attaching to and cancelling attempts over links to their agents.

use std::sync::Arc;

use cw_policy::Effect;
use cw_policy::Event;
use cw_policy::LinkId;
use cw_types::AttemptNo;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Attach;
use cw_wire::path;
use futures::FutureExt;
use log::debug;

use super::super::event_sources::ClaimFuture;
use super::super::event_sources::LinkCall;
use super::super::job::KeyUse;
use super::super::sent_attempt::SentAttempt;
use super::Driver;

impl Driver {
    pub(super) fn dispatch(
        &mut self,
        now: Time,
        link: LinkId,
        attempt: AttemptNo,
        target: &TargetId,
        resume: Option<Vec<TokenId>>,
    ) -> Option<Event> {
        let Some(sent) = self.attempts.record_dispatch(now, link, attempt, target) else {
            return Some(unreachable(link));
        };
        debug!(
            generation = self.job.generation.to_string(),
            attempt = attempt.0,
            workspace = self.job.workspace.as_str(),
            target = target.as_str();
            "dispatching the attempt"
        );
        if self.is_suspect {
            self.attempts.mark_suspect(attempt, target);
        }
        let resumed = resume.is_some();
        let so_far = resume.unwrap_or_default();
        if resumed {
            self.context.metrics.resumes.inc();
            self.context
                .metrics
                .extra_tokens
                .inc_by(so_far.len() as u64);
        }
        let claim = self.claim(now, &sent);
        let call = LinkCall {
            client: self.context.peers.client(sent.peer),
            peer: sent.peer,
            path: path::ATTEMPTS,
            message: self
                .job
                .dispatch_message(attempt, sent.stamp, so_far, resumed),
            head_timeout: self.context.settings.recovery.head,
        };
        self.sources.open(link, claim, call);
        None
    }

    /// Returns the future that writes the claim, which must succeed before the attempt is
    /// dispatched.
    ///
    /// Returns `None` when the request has no key to claim; an idempotent request with a key is
    /// only recorded in this entry.
    fn claim(&self, now: Time, sent: &SentAttempt) -> Option<ClaimFuture> {
        match &self.job.key {
            None => None,
            Some(KeyUse::Cached(key)) => {
                let fingerprint = self.job.fingerprint;
                self.context
                    .idempotency_cache
                    .record(now, key, fingerprint, sent.clone());
                None
            }
            Some(KeyUse::Claimed(request_claim)) => {
                let request_claim = Arc::clone(request_claim);
                let claim = self.job.claim(sent);
                Some(async move { request_claim.acquire(now, claim).await }.boxed())
            }
        }
    }

    pub(super) fn attach(
        &mut self,
        now: Time,
        link: LinkId,
        attempt: AttemptNo,
        target: &TargetId,
        repeat: Option<Vec<TokenId>>,
        from: TokenIndex,
    ) -> Option<Event> {
        let Some(sent) = self.attempts.record_attach(now, link, attempt, target) else {
            return Some(unreachable(link));
        };
        let client = self.context.peers.replace_client(sent.peer);
        let head_timeout = self.context.settings.recovery.reattach;
        let peer = sent.peer;
        let Some(so_far) = repeat else {
            let message = Attach {
                generation: self.job.generation,
                attempt: Some(attempt),
                workspace: self.job.workspace.clone(),
                from,
            };
            let call = LinkCall {
                client,
                peer,
                path: path::ATTACH,
                message,
                head_timeout,
            };
            self.sources.open(link, None, call);
            return None;
        };
        let mut message = self.job.dispatch_message(attempt, sent.stamp, so_far, true);
        message.repeat = true;
        message.from = from;
        let call = LinkCall {
            client,
            peer,
            path: path::ATTEMPTS,
            message,
            head_timeout,
        };
        self.sources.open(link, None, call);
        None
    }

    pub(super) fn confirm_cancel(&mut self, attempt: AttemptNo) -> Option<Event> {
        let Some(sent) = self.attempts.get(attempt).cloned() else {
            return Some(Event::CancelResult { attempt, ran: None });
        };
        let context = Arc::clone(&self.context);
        self.sources.push(async move {
            let ran = context.cancel_once(sent.peer, sent.cancel()).await;
            Event::CancelResult { attempt, ran }
        });
        None
    }
}

fn unreachable(link: LinkId) -> Event {
    Event::Closed {
        link,
        effect: Effect::None,
    }
}
