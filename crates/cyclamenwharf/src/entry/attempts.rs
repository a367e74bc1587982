//! The attempts of one generation: where each was sent, and how its target responded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use cw_policy::Event;
use cw_policy::LinkId;
use cw_policy::routing::RouteRequest;
use cw_types::AttemptNo;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::Failure;
use cw_wire::Frame;
use cw_wire::NotRunReason;
use cw_wire::Stamp;

use super::entry_context::EntryContext;
use super::job::Job;
use super::sent_attempt::SentAttempt;

/// The attempts of one generation.
pub(crate) struct Attempts {
    context: Arc<EntryContext>,
    job: Arc<Job>,
    request: RouteRequest,
    sent: BTreeMap<AttemptNo, SentAttempt>,
    links: BTreeMap<LinkId, AttemptNo>,
    suspects: BTreeSet<AttemptNo>,
}

impl Attempts {
    /// Returns an empty set of attempts for `job`.
    pub(crate) fn new(context: Arc<EntryContext>, job: Arc<Job>, request: RouteRequest) -> Self {
        Self {
            context,
            job,
            request,
            sent: BTreeMap::new(),
            links: BTreeMap::new(),
            suspects: BTreeSet::new(),
        }
    }

    /// Returns where an attempt was sent, if it is still on its target.
    pub(crate) fn get(&self, attempt: AttemptNo) -> Option<&SentAttempt> {
        self.sent.get(&attempt)
    }

    /// Records that an attempt is sent to `target`, and returns where it is sent.
    ///
    /// The attempt keeps the stamp of the target's newest report. Returns `None` when the view has
    /// no such target.
    pub(crate) fn record_dispatch(
        &mut self,
        now: Time,
        link: LinkId,
        attempt: AttemptNo,
        target: &TargetId,
    ) -> Option<SentAttempt> {
        let sent = self.locate(now, attempt, target)?;
        self.context
            .router
            .record_dispatch(now, target, &self.request);
        self.sent.insert(attempt, sent.clone());
        self.links.insert(link, attempt);
        Some(sent)
    }

    /// Records a new link to an existing attempt, and returns where that attempt runs.
    pub(crate) fn record_attach(
        &mut self,
        now: Time,
        link: LinkId,
        attempt: AttemptNo,
        target: &TargetId,
    ) -> Option<SentAttempt> {
        let known = self.sent.get(&attempt).cloned();
        let known = known.or_else(|| self.job.joined.clone());
        let sent = known.or_else(|| self.locate(now, attempt, target))?;
        self.sent.insert(attempt, sent.clone());
        self.links.insert(link, attempt);
        Some(sent)
    }

    /// Marks an attempt as one whose request may crash the target.
    pub(crate) fn mark_suspect(&mut self, attempt: AttemptNo, target: &TargetId) {
        if self.suspects.insert(attempt) {
            self.context.suspicion.add_suspect(target);
        }
    }

    /// Records that an attempt no longer runs on its target.
    pub(crate) fn release(&mut self, now: Time, attempt: AttemptNo) -> Option<SentAttempt> {
        let sent = self.sent.remove(&attempt)?;
        self.context
            .router
            .record_end(now, &sent.target, now.since(sent.at));
        self.remove_suspect(attempt, &sent);
        Some(sent)
    }

    /// Records that no attempt runs on its target any longer.
    pub(crate) fn release_all(&mut self, now: Time) {
        let attempts: Vec<AttemptNo> = self.sent.keys().copied().collect();
        for attempt in attempts {
            self.release(now, attempt);
        }
    }

    /// Updates the state of an attempt from a frame that arrived for it; ignores other events.
    pub(crate) fn on_event(&mut self, now: Time, event: &Event) {
        let Event::Frame { link, frame } = event else {
            return;
        };
        let Some(&attempt) = self.links.get(link) else {
            return;
        };
        match frame {
            Frame::Accepted { cached, .. } => {
                if let Some(sent) = self.sent.get(&attempt) {
                    let router = &self.context.router;
                    router.record_accepted(&sent.target, &self.request, *cached);
                }
            }
            // The agent may have dropped its record of the attempt, so the entry asks separately,
            // by the attempt's id, whether it was run.
            Frame::NotRun {
                reason: NotRunReason::Unknown,
                ..
            } => {}
            Frame::NotRun { retry, .. } => {
                let Some(sent) = self.sent.remove(&attempt) else {
                    return;
                };
                self.context
                    .router
                    .record_refusal(now, &sent.target, *retry);
                self.remove_suspect(attempt, &sent);
            }
            Frame::Done { .. } | Frame::Failed { .. } => {
                let sent = self.release(now, attempt);
                let crashed = matches!(
                    frame,
                    Frame::Failed {
                        failure: Failure::TargetLost,
                        ..
                    }
                );
                if let Some(sent) = sent.filter(|_| crashed) {
                    self.context.router.record_crash(&sent.target);
                }
            }
            _ => {}
        }
    }

    fn remove_suspect(&mut self, attempt: AttemptNo, sent: &SentAttempt) {
        if self.suspects.remove(&attempt) {
            self.context.suspicion.remove_suspect(&sent.target);
        }
    }

    fn locate(&self, now: Time, attempt: AttemptNo, target: &TargetId) -> Option<SentAttempt> {
        let view = self.context.view.load();
        let found = view.targets.get(target)?;
        Some(SentAttempt {
            id: self.job.attempt_id(attempt),
            target: target.clone(),
            peer: found.target.agent,
            stamp: Stamp {
                incarnation: found.incarnation,
                age: found.load.age,
            },
            at: now,
        })
    }
}
