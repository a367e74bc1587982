//! Callers with one idempotency key, and the key-value service that loses answers.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cw_policy::Claim;
use cw_policy::ClaimEvent;
use cw_policy::ClaimId;
use cw_policy::ClaimRevision;
use cw_policy::ClaimState;
use cw_policy::ClaimStep;
use cw_policy::ClaimWrite;
use cw_policy::Event;
use cw_policy::Generation;
use cw_policy::GenerationLimits;
use cw_policy::GenerationPlan;
use cw_policy::LinkId;
use cw_types::AttemptNo;
use cw_types::ErrorKind;
use cw_types::GenerationId;
use cw_types::TokenCount;
use cw_wire::Dispatch;
use cw_wire::Fingerprint;

use super::Ask;
use super::Caller;
use super::MOST;
use super::World;
use super::index;
use super::target;

/// A claim and the revision that wrote it.
type Held = (Claim, ClaimRevision);

/// The key-value service, as far as the key goes.
#[derive(Debug, Default)]
pub(super) struct StoreSim {
    held: Option<Held>,
    revision: i64,
    /// Writes on their way from entries that died.
    late: VecDeque<(Option<ClaimRevision>, Claim)>,
    claims: u64,
}

impl StoreSim {
    fn swap(&mut self, expected: Option<ClaimRevision>, claim: &Claim) -> ClaimEvent {
        if self.held.as_ref().map(|held| held.1) != expected {
            return self.read();
        }
        self.revision += 1;
        let revision = ClaimRevision(self.revision);
        self.held = Some((claim.clone(), revision));
        ClaimEvent::Written(revision)
    }

    fn read(&self) -> ClaimEvent {
        let held = self.held.clone();
        ClaimEvent::Current(held.map(|(claim, revision)| (Box::new(claim), revision)))
    }

    /// A write that was on its way when its entry died takes effect.
    pub(super) fn late_swap(&mut self) {
        if let Some((expected, claim)) = self.late.pop_front() {
            self.swap(expected, &claim);
        }
    }
}

/// A claim that is being written.
#[derive(Debug)]
struct Claiming {
    write: ClaimWrite,
    claim: Claim,
    step: ClaimStep,
    link: LinkId,
    agent: usize,
    dispatch: Dispatch,
}

/// What an entry knows of the key for one call.
#[derive(Debug, Default)]
pub(super) struct KeyUse {
    held: Option<Held>,
    claiming: Option<Claiming>,
}

impl World {
    /// Returns the callers whose claims are being written.
    pub(super) fn claiming(&self) -> Vec<usize> {
        let claims = |caller: &Caller| {
            let key = caller.key.as_ref();
            key.is_some_and(|key| key.claiming.is_some())
        };
        let callers = 0..self.callers.len();
        callers.filter(|&at| claims(&self.callers[at])).collect()
    }

    /// Begins to write the claim of a dispatch.
    pub(super) fn claim(&mut self, caller: usize, link: LinkId, agent: usize, dispatch: Dispatch) {
        self.store.claims += 1;
        let claim = Claim {
            id: ClaimId(self.store.claims),
            fingerprint: Fingerprint(7),
            attempt: dispatch.id,
            target: target(agent),
            agent: "127.0.0.1:1".parse().expect("an address"),
            stamp: dispatch.stamp,
            version: None,
            state: ClaimState::Open,
        };
        let key = self.callers[caller].key.as_mut().expect("it has the key");
        let expected = key.held.as_ref().map(|held| held.1);
        let mut write = ClaimWrite::new(claim.clone(), expected);
        let step = write.start();
        key.claiming = Some(Claiming {
            write,
            claim,
            step,
            link,
            agent,
            dispatch,
        });
    }

    /// The service answers: 0 as it should, 1 losing the answer, 2 losing the call, 3 refusing it.
    pub(super) fn answer_store(&mut self, at: usize, fault: u8) {
        let claiming = self.claiming();
        if claiming.is_empty() {
            return;
        }
        let caller = claiming[at % claiming.len()];
        let key = self.callers[caller].key.as_mut().expect("it has the key");
        let pending = key.claiming.as_mut().expect("it is claiming");
        let event = match (fault, &pending.step) {
            (2, _) => ClaimEvent::Unconfirmed,
            (3, ClaimStep::Swap { .. }) => ClaimEvent::Unavailable,
            (_, ClaimStep::Swap { expected, claim }) => self.store.swap(*expected, claim),
            _ => self.store.read(),
        };
        let event = match fault {
            1 => ClaimEvent::Unconfirmed,
            _ => event,
        };
        pending.step = pending.write.on_event(event);
        self.end_claim(caller);
    }

    fn end_claim(&mut self, caller: usize) {
        let key = self.callers[caller].key.as_mut().expect("it has the key");
        let Some(pending) = key.claiming.take() else {
            return;
        };
        let link = pending.link;
        let kind = match pending.step {
            ClaimStep::Acquired(revision) => {
                key.held = Some((pending.claim, revision));
                let ask = Ask::Dispatch(Box::new(pending.dispatch));
                self.open(caller, link, pending.agent, ask);
                return self.feed(caller, Event::Claimed { link });
            }
            ClaimStep::Conflict(..) => ErrorKind::InProgress,
            ClaimStep::Unavailable => ErrorKind::StoreUnavailable,
            ClaimStep::Swap { .. } | ClaimStep::Read => {
                key.claiming = Some(pending);
                return;
            }
        };
        self.feed(caller, Event::NotClaimed { link, kind });
    }

    /// A caller calls again with the key, through another entry.
    pub(super) fn call_again(&mut self) {
        self.entries += 1;
        let held = self.store.held.clone();
        let mut plan =
            GenerationPlan::generate(std::time::Duration::from_secs(10)).with_idempotent(false);
        plan.max_tokens = Some(TokenCount(MOST));
        plan.claimed = true;
        let mut id = GenerationId(1_000_000 + u128::from(self.entries));
        let mut sent = BTreeMap::new();
        if let Some((claim, _)) = &held {
            id = claim.attempt.generation;
            plan.running_target = Some(claim.target.clone());
            plan.running_attempt = claim.attempt.attempt;
            plan.next_attempt = AttemptNo(1000 * self.entries);
            sent.insert(plan.running_attempt, (index(&claim.target), claim.stamp));
        }
        self.callers.push(Caller {
            id,
            machine: Generation::new(plan.clone(), GenerationLimits::default()),
            plan,
            links: BTreeMap::new(),
            sent,
            output: Vec::new(),
            last: None,
            left: false,
            dead: false,
            key: Some(KeyUse {
                held,
                claiming: None,
            }),
            end: None,
        });
        self.feed(self.callers.len() - 1, Event::Start);
    }

    /// An entry dies, with all that it does for a caller; what it wrote may still arrive.
    pub(super) fn kill_entry(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        if caller.dead || caller.end.is_some() {
            return;
        }
        caller.dead = true;
        caller.left = true;
        let claiming = caller.key.as_mut().and_then(|key| key.claiming.take());
        if let Some(ClaimStep::Swap { expected, claim }) = claiming.map(|pending| pending.step) {
            self.store.late.push_back((expected, *claim));
        }
        let links: Vec<LinkId> = self.callers[at].links.keys().copied().collect();
        for link in links {
            self.close(at, link);
        }
    }
}
