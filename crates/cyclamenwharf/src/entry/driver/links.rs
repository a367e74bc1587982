//! The links of a driver's attempts.

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

use super::super::inputs::Claiming;
use super::super::inputs::LinkCall;
use super::super::job::KeyUse;
use super::super::sent::Sent;
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
        let Some(sent) = self.attempts.send(now, link, attempt, target) else {
            return Some(unreachable(link));
        };
        debug!(
            generation = self.job.generation.to_string(),
            attempt = attempt.0,
            workspace = self.job.workspace.as_str(),
            target = target.as_str();
            "an attempt is dispatched"
        );
        if self.suspect {
            self.attempts.suspect(attempt, target);
        }
        let resumed = resume.is_some();
        let so_far = resume.unwrap_or_default();
        if resumed {
            self.front.metrics.resumes.inc();
            self.front.metrics.extra.inc_by(so_far.len() as u64);
        }
        let claim = self.claim(now, &sent);
        let call = LinkCall {
            client: self.front.peers.client(sent.peer),
            peer: sent.peer,
            path: path::ATTEMPTS,
            message: self.job.dispatch(attempt, sent.stamp, so_far, resumed),
            limit: self.front.settings.recovery.head,
        };
        self.inputs.open(link, claim, call);
        None
    }

    /// Returns what must succeed before an attempt is dispatched, if its key is claimed.
    fn claim(&self, now: Time, sent: &Sent) -> Option<Claiming> {
        match &self.job.key {
            None => None,
            Some(KeyUse::Shared(key)) => {
                let fingerprint = self.job.fingerprint;
                self.front.keys.record(now, key, fingerprint, sent.clone());
                None
            }
            Some(KeyUse::Claimed(slot)) => {
                let slot = Arc::clone(slot);
                let claim = self.job.claim(sent);
                Some(async move { slot.take(now, claim).await }.boxed())
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
        let Some(sent) = self.attempts.attach(now, link, attempt, target) else {
            return Some(unreachable(link));
        };
        let client = self.front.peers.renew(sent.peer);
        let limit = self.front.settings.recovery.reattach;
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
                limit,
            };
            self.inputs.open(link, None, call);
            return None;
        };
        let mut message = self.job.dispatch(attempt, sent.stamp, so_far, true);
        message.repeat = true;
        message.from = from;
        let call = LinkCall {
            client,
            peer,
            path: path::ATTEMPTS,
            message,
            limit,
        };
        self.inputs.open(link, None, call);
        None
    }

    pub(super) fn prove(&mut self, attempt: AttemptNo) -> Option<Event> {
        let Some(sent) = self.attempts.get(attempt).cloned() else {
            return Some(Event::CancelResult { attempt, ran: None });
        };
        let front = Arc::clone(&self.front);
        self.inputs.wait(async move {
            let ran = front.prove(sent.peer, sent.cancel()).await;
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
