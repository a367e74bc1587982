//! Calls with one idempotency key, and a simulated key-value service that loses replies.

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

use super::Caller;
use super::MAX_TOKENS;
use super::Request;
use super::World;
use super::target_id;
use super::target_index;

/// A claim and the revision that wrote it.
type StoredClaim = (Claim, ClaimRevision);

/// A simulated key-value service with one key.
#[derive(Debug, Default)]
pub(super) struct StoreSim {
    value: Option<StoredClaim>,
    revision: i64,
    /// The writes that were in flight when their entries crashed.
    late_writes: VecDeque<(Option<ClaimRevision>, Claim)>,
    claim_count: u64,
}

impl StoreSim {
    fn compare_and_swap(&mut self, expected: Option<ClaimRevision>, claim: &Claim) -> ClaimEvent {
        if self.value.as_ref().map(|stored| stored.1) != expected {
            return self.read();
        }
        self.revision += 1;
        let revision = ClaimRevision(self.revision);
        self.value = Some((claim.clone(), revision));
        ClaimEvent::Written(revision)
    }

    fn read(&self) -> ClaimEvent {
        let stored = self.value.clone();
        ClaimEvent::Current(stored.map(|(claim, revision)| (Box::new(claim), revision)))
    }

    /// Applies a write that was in flight when its entry crashed.
    pub(super) fn apply_late_write(&mut self) {
        if let Some((expected, claim)) = self.late_writes.pop_front() {
            self.compare_and_swap(expected, &claim);
        }
    }
}

/// A claim that is being written, and the dispatch that awaits it.
#[derive(Debug)]
struct PendingClaim {
    write: ClaimWrite,
    claim: Claim,
    step: ClaimStep,
    link: LinkId,
    agent: usize,
    dispatch: Dispatch,
}

/// The state of the idempotency key at an entry, for one call.
#[derive(Debug, Default)]
pub(super) struct KeyState {
    /// The stored claim that the entry last read or wrote.
    stored: Option<StoredClaim>,
    pending: Option<PendingClaim>,
}

impl World {
    /// Returns the indices of the callers whose claims are being written.
    pub(super) fn claiming_callers(&self) -> Vec<usize> {
        let claims = |caller: &Caller| {
            let key = caller.key.as_ref();
            key.is_some_and(|key| key.pending.is_some())
        };
        let callers = 0..self.callers.len();
        callers.filter(|&at| claims(&self.callers[at])).collect()
    }

    /// Starts to write the claim of a dispatch.
    pub(super) fn start_claim(
        &mut self,
        caller: usize,
        link: LinkId,
        agent: usize,
        dispatch: Dispatch,
    ) {
        self.store.claim_count += 1;
        let claim = Claim {
            id: ClaimId(self.store.claim_count),
            fingerprint: Fingerprint(7),
            attempt: dispatch.id,
            target: target_id(agent),
            agent: "127.0.0.1:1".parse().expect("a valid address"),
            stamp: dispatch.stamp,
            version: None,
            state: ClaimState::Open,
        };
        let key = self.callers[caller]
            .key
            .as_mut()
            .expect("the caller has the key");
        let expected = key.stored.as_ref().map(|stored| stored.1);
        let mut write = ClaimWrite::new(claim.clone(), expected);
        let step = write.start();
        key.pending = Some(PendingClaim {
            write,
            claim,
            step,
            link,
            agent,
            dispatch,
        });
    }

    /// Answers a call to the service. Fault 0 is none, 1 loses the reply, 2 loses the call, and 3
    /// refuses a write.
    pub(super) fn answer_store(&mut self, at: usize, fault: u8) {
        let claiming = self.claiming_callers();
        if claiming.is_empty() {
            return;
        }
        let caller = claiming[at % claiming.len()];
        let key = self.callers[caller]
            .key
            .as_mut()
            .expect("the caller has the key");
        let pending = key.pending.as_mut().expect("a claim is pending");
        let event = match (fault, &pending.step) {
            (2, _) => ClaimEvent::Unconfirmed,
            (3, ClaimStep::Swap { .. }) => ClaimEvent::Unavailable,
            (_, ClaimStep::Swap { expected, claim }) => {
                self.store.compare_and_swap(*expected, claim)
            }
            _ => self.store.read(),
        };
        let event = match fault {
            1 => ClaimEvent::Unconfirmed,
            _ => event,
        };
        pending.step = pending.write.on_event(event);
        self.finish_claim(caller);
    }

    fn finish_claim(&mut self, caller: usize) {
        let key = self.callers[caller]
            .key
            .as_mut()
            .expect("the caller has the key");
        let Some(pending) = key.pending.take() else {
            return;
        };
        let link = pending.link;
        let kind = match pending.step {
            ClaimStep::Acquired(revision) => {
                key.stored = Some((pending.claim, revision));
                let request = Request::Dispatch(Box::new(pending.dispatch));
                self.open_link(caller, link, pending.agent, request);
                return self.feed(caller, Event::Claimed { link });
            }
            ClaimStep::Conflict(..) => ErrorKind::InProgress,
            ClaimStep::Unavailable => ErrorKind::StoreUnavailable,
            ClaimStep::Swap { .. } | ClaimStep::Read => {
                key.pending = Some(pending);
                return;
            }
        };
        self.feed(caller, Event::NotClaimed { link, kind });
    }

    /// Repeats the call with the key through another entry.
    pub(super) fn call_again(&mut self) {
        self.takeovers += 1;
        let stored = self.store.value.clone();
        let mut plan =
            GenerationPlan::generate(std::time::Duration::from_secs(10)).with_idempotent(false);
        plan.max_tokens = Some(TokenCount(MAX_TOKENS));
        plan.claimed = true;
        let mut id = GenerationId(1_000_000 + u128::from(self.takeovers));
        let mut sent = BTreeMap::new();
        if let Some((claim, _)) = &stored {
            id = claim.attempt.generation;
            plan.running_target = Some(claim.target.clone());
            plan.running_attempt = claim.attempt.attempt;
            plan.next_attempt = AttemptNo(1000 * self.takeovers);
            sent.insert(
                plan.running_attempt,
                (target_index(&claim.target), claim.stamp),
            );
        }
        self.callers.push(Caller {
            id,
            machine: Generation::new(plan.clone(), GenerationLimits::default()),
            plan,
            links: BTreeMap::new(),
            sent,
            output: Vec::new(),
            last_delivery: None,
            disconnected: false,
            entry_dead: false,
            key: Some(KeyState {
                stored,
                pending: None,
            }),
            end_step: None,
        });
        self.feed(self.callers.len() - 1, Event::Start);
    }

    /// Crashes the entry of a caller; a write in flight may still take effect.
    pub(super) fn kill_entry(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        if caller.entry_dead || caller.end_step.is_some() {
            return;
        }
        caller.entry_dead = true;
        caller.disconnected = true;
        let claiming = caller.key.as_mut().and_then(|key| key.pending.take());
        if let Some(ClaimStep::Swap { expected, claim }) = claiming.map(|pending| pending.step) {
            self.store.late_writes.push_back((expected, *claim));
        }
        let links: Vec<LinkId> = self.callers[at].links.keys().copied().collect();
        for link in links {
            self.close_link(at, link);
        }
    }
}
