//! The attempts of one generation: where they were sent, and what their targets said.

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

use super::frontend::Frontend;
use super::job::Job;
use super::sent::Sent;

/// The attempts of one generation.
pub(crate) struct Attempts {
    front: Arc<Frontend>,
    job: Arc<Job>,
    request: RouteRequest,
    sent: BTreeMap<AttemptNo, Sent>,
    links: BTreeMap<LinkId, AttemptNo>,
    suspects: BTreeSet<AttemptNo>,
}

impl Attempts {
    /// Returns the attempts of `job`: none yet.
    pub(crate) fn new(front: Arc<Frontend>, job: Arc<Job>, request: RouteRequest) -> Self {
        Self {
            front,
            job,
            request,
            sent: BTreeMap::new(),
            links: BTreeMap::new(),
            suspects: BTreeSet::new(),
        }
    }

    /// Returns where an attempt was sent.
    pub(crate) fn get(&self, attempt: AttemptNo) -> Option<&Sent> {
        self.sent.get(&attempt)
    }

    /// Records that an attempt goes to a target, and returns where that is.
    ///
    /// The stamp is that of the newest report, and the attempt keeps it.
    pub(crate) fn send(
        &mut self,
        now: Time,
        link: LinkId,
        attempt: AttemptNo,
        target: &TargetId,
    ) -> Option<Sent> {
        let sent = self.locate(now, attempt, target)?;
        self.front.router.sent(now, target, &self.request);
        self.sent.insert(attempt, sent.clone());
        self.links.insert(link, attempt);
        Some(sent)
    }

    /// Records a new link to an attempt, and returns where that runs.
    pub(crate) fn attach(
        &mut self,
        now: Time,
        link: LinkId,
        attempt: AttemptNo,
        target: &TargetId,
    ) -> Option<Sent> {
        let known = self.sent.get(&attempt).cloned();
        let known = known.or_else(|| self.job.known.clone());
        let sent = known.or_else(|| self.locate(now, attempt, target))?;
        self.sent.insert(attempt, sent.clone());
        self.links.insert(link, attempt);
        Some(sent)
    }

    /// Marks an attempt as one that may crash its target.
    pub(crate) fn suspect(&mut self, attempt: AttemptNo, target: &TargetId) {
        if self.suspects.insert(attempt) {
            self.front.suspicion.place(target);
        }
    }

    /// Records that an attempt has left its target.
    pub(crate) fn release(&mut self, now: Time, attempt: AttemptNo) -> Option<Sent> {
        let sent = self.sent.remove(&attempt)?;
        self.front
            .router
            .ended(now, &sent.target, now.since(sent.at));
        self.unplace(attempt, &sent);
        Some(sent)
    }

    /// Records that all attempts have left their targets.
    pub(crate) fn release_all(&mut self, now: Time) {
        let attempts: Vec<AttemptNo> = self.sent.keys().copied().collect();
        for attempt in attempts {
            self.release(now, attempt);
        }
    }

    /// Learns from a frame what became of its attempt.
    pub(crate) fn learn(&mut self, now: Time, event: &Event) {
        let Event::Frame { link, frame } = event else {
            return;
        };
        let Some(&attempt) = self.links.get(link) else {
            return;
        };
        match frame {
            Frame::Accepted { cached, .. } => {
                if let Some(sent) = self.sent.get(&attempt) {
                    let router = &self.front.router;
                    router.accepted(&sent.target, &self.request, *cached);
                }
            }
            // The agent may have forgotten it; whether it was run is asked for by its id.
            Frame::NotRun {
                reason: NotRunReason::Unknown,
                ..
            } => {}
            Frame::NotRun { retry, .. } => {
                let Some(sent) = self.sent.remove(&attempt) else {
                    return;
                };
                self.front.router.refused(now, &sent.target, *retry);
                self.unplace(attempt, &sent);
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
                    self.front.router.crashed(&sent.target);
                }
            }
            _ => {}
        }
    }

    fn unplace(&mut self, attempt: AttemptNo, sent: &Sent) {
        if self.suspects.remove(&attempt) {
            self.front.suspicion.unplace(&sent.target);
        }
    }

    fn locate(&self, now: Time, attempt: AttemptNo, target: &TargetId) -> Option<Sent> {
        let view = self.front.view.load();
        let found = view.targets.get(target)?;
        Some(Sent {
            id: self.job.attempt(attempt),
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
