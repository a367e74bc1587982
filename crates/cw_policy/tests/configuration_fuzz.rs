//! Random changes, failures of the key-value service and transfers between entries, checked against
//! a simple oracle: the ordered list of accepted revisions.

use std::collections::BTreeMap;

use cw_policy::configuration::AcceptFlow;
use cw_policy::configuration::Acceptance;
use cw_policy::configuration::ActiveConfig;
use cw_policy::configuration::Edit;
use cw_policy::configuration::FlowEnd;
use cw_policy::configuration::FlowEvent;
use cw_policy::configuration::FlowStep;
use cw_policy::configuration::Proposal;
use cw_policy::configuration::ProposalState;
use cw_policy::configuration::RejectDecision;
use cw_policy::configuration::SchemaSupport;
use cw_policy::configuration::Source;
use cw_policy::configuration::StoreFault;
use cw_policy::configuration::reject;
use cw_types::Actor;
use cw_types::ChangeId;
use cw_types::HostId;
use cw_types::Operator;
use cw_types::OperatorRole;
use cw_types::Record;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

/// The number of entries.
const ENTRIES: usize = 4;

/// The number of records, few so that changes conflict.
const RECORDS: u8 = 3;

/// The seed, unless the environment variable gives another.
const SEED: u64 = 6;

/// The environment variable that overrides the seed.
const SEED_VARIABLE: &str = "CYCLAMENWHARF_SEED";

/// One random operation.
#[derive(Clone, Debug)]
enum Op {
    /// Proposes a change and starts its acceptance at an entry.
    Accept { node: usize, record: u8 },
    /// Starts another acceptance of the same change at an entry.
    AcceptAgain { flow: usize, node: usize },
    /// Executes the next step of an acceptance.
    Step { flow: usize, outcome: CallOutcome },
    /// Rejects a proposal.
    Reject { flow: usize, node: usize },
    /// Delivers a delayed write.
    DeliverWrite { write: usize },
    /// Reads the snapshot of the service at an entry.
    ReadStore { node: usize },
    /// Sends the snapshot of a peer to an entry.
    AskPeer { node: usize, peer: usize },
    /// Pauses or resumes an entry.
    TogglePause { node: usize },
    /// Starts or ends an outage of the service.
    ToggleOutage,
    /// Takes a backup of the service.
    Backup,
    /// Restores the service from the backup.
    Restore,
    /// Writes the snapshot in force at an entry back to the service.
    WriteBack { node: usize },
}

/// The outcome of a call to the service.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    /// The call takes effect and is answered.
    Answered,
    /// The call is refused without effect.
    Refused,
    /// The call takes effect, and its response is lost.
    Lost,
    /// The response is lost, and the call may take effect later.
    Delayed,
}

/// The key-value service, with the number of the last write of each value.
#[derive(Clone, Debug, Default)]
struct Store {
    config: (u64, Snapshot),
    proposals: BTreeMap<ChangeId, (u64, Proposal)>,
    writes: u64,
}

impl Store {
    fn write_config(&mut self, expected: u64, snapshot: &Snapshot) -> bool {
        let is_expected = self.config.0 == expected;
        if is_expected {
            self.writes += 1;
            self.config = (self.writes, snapshot.clone());
        }
        is_expected
    }

    fn write_proposal(&mut self, expected: u64, proposal: &Proposal) -> bool {
        let found = self.proposals.get(&proposal.id);
        let is_expected = found.map_or(0, |(at, _)| *at) == expected;
        if is_expected {
            self.writes += 1;
            let value = (self.writes, proposal.clone());
            self.proposals.insert(proposal.id.clone(), value);
        }
        is_expected
    }
}

/// An operator's call to accept a change.
struct AcceptCall {
    id: ChangeId,
    node: usize,
    flow: AcceptFlow,
    step: FlowStep,
    read: (u64, u64),
}

/// A write that has not yet arrived at the service.
struct DelayedWrite {
    expected: u64,
    snapshot: Snapshot,
}

struct EverySchema;

impl SchemaSupport for EverySchema {
    fn unsupported_hosts(&self, _kind: RecordKind, _schema: SchemaVersion) -> Vec<HostId> {
        Vec::new()
    }
}

struct World {
    store: Store,
    backup: Store,
    down: bool,
    nodes: Vec<ActiveConfig>,
    paused: [bool; ENTRIES],
    flows: Vec<AcceptCall>,
    delayed: Vec<DelayedWrite>,
    /// The oracle: every accepted snapshot, in the order of revisions.
    accepted: Vec<Snapshot>,
    rejected: Vec<ChangeId>,
}

impl World {
    fn new() -> Self {
        Self {
            store: Store::default(),
            backup: Store::default(),
            down: false,
            nodes: vec![ActiveConfig::default(); ENTRIES],
            paused: [false; ENTRIES],
            flows: Vec::new(),
            delayed: Vec::new(),
            accepted: Vec::new(),
            rejected: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Accept { node, record } => self.propose(node, record),
            Op::AcceptAgain { flow, node } => self.accept_again(flow, node),
            Op::Step { flow, outcome } => self.step(flow, outcome),
            Op::Reject { flow, node } => self.reject(flow, node),
            Op::DeliverWrite { write } => self.deliver_write(write),
            Op::ReadStore { node } => self.read_store(node),
            Op::AskPeer { node, peer } => self.ask_peer(node, peer),
            Op::TogglePause { node } => self.paused[node] = !self.paused[node],
            Op::ToggleOutage => self.down = !self.down,
            Op::Backup => self.backup = self.store.clone(),
            Op::Restore => self.restore(),
            Op::WriteBack { node } => self.write_back(node),
        }
        self.check();
    }

    // ------------------------------------------------------------------------
    // Operators

    fn propose(&mut self, node: usize, record: u8) {
        if self.down {
            return;
        }
        let number = self.store.writes;
        let id: ChangeId = format!("change-{}-{number}", self.flows.len())
            .parse()
            .expect("a valid name");
        let body = json!({ "rank": number % 200 });
        let edit = Edit::Put(Record {
            kind: RecordKind::Priority,
            name: format!("p{record}"),
            schema: SchemaVersion(1),
            body: body.as_object().expect("an object").clone(),
        });
        let proposer: Actor = "alice".parse().expect("a valid name");
        let snapshot = self.store.config.1.clone();
        let proposal = Proposal::new(id.clone(), proposer, 1, vec![edit], &snapshot);
        self.store.write_proposal(0, &proposal);
        self.start(id, node);
    }

    fn accept_again(&mut self, flow: usize, node: usize) {
        if let Some(call) = pick(&self.flows, flow) {
            let id = call.id.clone();
            self.start(id, node);
        }
    }

    fn start(&mut self, id: ChangeId, node: usize) {
        if self.paused[node] || !self.nodes[node].is_known() && !self.accepted.is_empty() {
            return;
        }
        self.flows.push(AcceptCall {
            id,
            node,
            flow: AcceptFlow::new(),
            step: FlowStep::Read,
            read: (0, 0),
        });
    }

    /// Returns the highest revision in force at any entry.
    fn highest(&self) -> Revision {
        let revisions = self.nodes.iter().map(ActiveConfig::revision);
        revisions.max().unwrap_or_default()
    }

    fn reject(&mut self, flow: usize, node: usize) {
        let is_unavailable = self.down || self.paused[node];
        let Some(call) = pick(&self.flows, flow).filter(|_| !is_unavailable) else {
            return;
        };
        let Some((at, proposal)) = self.store.proposals.get(&call.id).cloned() else {
            return;
        };
        let carol: Actor = "carol".parse().expect("a valid name");
        let decision = reject(self.nodes[node].snapshot(), &proposal, &carol);
        if let RejectDecision::Write(rejected) = decision {
            self.store.write_proposal(at, &rejected);
            self.rejected.push(proposal.id);
        }
    }

    fn step(&mut self, flow: usize, outcome: CallOutcome) {
        let live: Vec<_> = (0..self.flows.len())
            .filter(|n| !matches!(self.flows[*n].step, FlowStep::End(_)))
            .filter(|n| !self.paused[self.flows[*n].node])
            .collect();
        let Some(index) = pick(&live, flow).copied() else {
            return;
        };
        let outcome = if self.down {
            CallOutcome::Refused
        } else {
            outcome
        };
        let event = match self.flows[index].step.clone() {
            FlowStep::Read => self.read(index, outcome),
            FlowStep::MarkAccepting(marked) => self.mark(index, &marked, outcome),
            FlowStep::WriteSnapshot(next) => self.write(index, &next, outcome),
            FlowStep::End(_) => return,
        };
        let accepter: Actor = "bob".parse().expect("a valid name");
        let by = Acceptance {
            accepter: &accepter,
            operator: &Operator {
                keys: Vec::new(),
                role: OperatorRole::Accepter,
                self_approval: false,
            },
            at: 2,
            readers: &EverySchema,
            in_use: &[],
        };
        let call = &mut self.flows[index];
        call.step = call.flow.on_event(event, &by);
    }

    fn read(&mut self, index: usize, outcome: CallOutcome) -> FlowEvent {
        if !matches!(outcome, CallOutcome::Answered) {
            return FlowEvent::Failed(StoreFault::Unavailable);
        }
        let held = self.highest();
        let call = &mut self.flows[index];
        let proposal = self.store.proposals.get(&call.id).cloned();
        let written = proposal.as_ref().map_or(0, |(at, _)| *at);
        call.read = (written, self.store.config.0);
        FlowEvent::Read {
            proposal: proposal.map(|(_, proposal)| proposal),
            snapshot: Box::new(self.store.config.1.clone()),
            held,
        }
    }

    fn mark(&mut self, index: usize, marked: &Proposal, outcome: CallOutcome) -> FlowEvent {
        let expected = self.flows[index].read.0;
        match outcome {
            CallOutcome::Answered => {
                FlowEvent::Written(self.store.write_proposal(expected, marked))
            }
            CallOutcome::Refused => FlowEvent::Failed(StoreFault::Unavailable),
            CallOutcome::Lost => {
                self.store.write_proposal(expected, marked);
                FlowEvent::Failed(StoreFault::Lost)
            }
            CallOutcome::Delayed => FlowEvent::Failed(StoreFault::Lost),
        }
    }

    fn write(&mut self, index: usize, next: &Snapshot, outcome: CallOutcome) -> FlowEvent {
        let expected = self.flows[index].read.1;
        match outcome {
            CallOutcome::Answered => FlowEvent::Written(self.commit(expected, next)),
            CallOutcome::Refused => FlowEvent::Failed(StoreFault::Unavailable),
            CallOutcome::Lost => {
                self.commit(expected, next);
                FlowEvent::Failed(StoreFault::Lost)
            }
            CallOutcome::Delayed => {
                let snapshot = next.clone();
                self.delayed.push(DelayedWrite { expected, snapshot });
                FlowEvent::Failed(StoreFault::Lost)
            }
        }
    }

    fn commit(&mut self, expected: u64, next: &Snapshot) -> bool {
        let written = self.store.write_config(expected, next);
        if written {
            self.accepted.push(next.clone());
        }
        written
    }

    fn deliver_write(&mut self, write: usize) {
        if self.down || self.delayed.is_empty() {
            return;
        }
        let index = write % self.delayed.len();
        let DelayedWrite { expected, snapshot } = self.delayed.swap_remove(index);
        self.commit(expected, &snapshot);
    }

    // ------------------------------------------------------------------------
    // Entries

    fn read_store(&mut self, node: usize) {
        if !self.down && !self.paused[node] && self.store.config.0 > 0 {
            let snapshot = self.store.config.1.clone();
            self.nodes[node].apply(Source::Store, snapshot);
        }
    }

    fn ask_peer(&mut self, node: usize, peer: usize) {
        if node != peer && !self.paused[node] && !self.paused[peer] {
            let response = self.nodes[peer].response_to(self.nodes[node].revision());
            self.nodes[node].apply_response(response);
        }
    }

    // ------------------------------------------------------------------------
    // The service

    /// Restores the backup, if the newest accepted revision is in force at every entry: otherwise it
    /// could be lost. Delayed writes from before the restore can no longer take effect.
    fn restore(&mut self) {
        let newest = self.accepted.last().map(|snapshot| snapshot.revision);
        let is_in_force_everywhere = self
            .nodes
            .iter()
            .all(|node| Some(node.revision()) == newest);
        if !is_in_force_everywhere || self.backup.config.0 == 0 {
            return;
        }
        let writes = self.store.writes + 1;
        self.store = self.backup.clone();
        self.store.writes = writes;
        self.store.config.0 = writes;
        self.delayed.clear();
        // Only the service stores rejections, so restoring a backup from before one loses it.
        let is_kept = |id: &ChangeId| {
            let kept = self.store.proposals.get(id);
            kept.is_some_and(|(_, p)| matches!(p.state, ProposalState::Rejected(_)))
        };
        self.rejected.retain(is_kept);
        for call in &mut self.flows {
            call.read.1 = 0;
        }
    }

    fn write_back(&mut self, node: usize) {
        let held = self.nodes[node].snapshot().clone();
        let (at, found) = self.store.config.clone();
        if !self.down && !self.paused[node] && held.revision > found.revision {
            self.store.write_config(at, &held);
        }
    }

    // ------------------------------------------------------------------------
    // Checks

    fn check(&self) {
        for pair in self.accepted.windows(2) {
            assert_eq!(
                pair[1].revision,
                pair[0].revision.next(),
                "the accepted revisions are not consecutive"
            );
        }
        for node in &self.nodes {
            let revision = node.revision();
            if revision > Revision::default() {
                let index = usize::try_from(revision.0).expect("small") - 1;
                assert_eq!(
                    **node.snapshot(),
                    self.accepted[index],
                    "the snapshot in force is not the accepted one"
                );
            }
        }
        for call in &self.flows {
            if let FlowStep::End(end) = &call.step {
                self.check_end(&call.id, end);
            }
        }
        for id in &self.rejected {
            assert_eq!(self.count(id), 0, "{id} was rejected and accepted");
        }
    }

    fn check_end(&self, id: &ChangeId, end: &FlowEnd) {
        let count = self.count(id);
        assert!(count <= 1, "{id} was accepted {count} times");
        if let FlowEnd::Accepted(change) = end {
            assert_eq!(change.id, *id);
            assert_eq!(count, 1, "{id} was answered as accepted");
        }
        let calls = self.flows.iter().filter(|flow| flow.id == *id).count();
        let is_negative = matches!(
            end,
            FlowEnd::Refused(_) | FlowEnd::Unavailable | FlowEnd::NotFound
        );
        if is_negative && calls == 1 {
            assert_eq!(count, 0, "{id} was answered as not accepted");
        }
    }

    /// Returns how many accepted snapshots have the change as their newest.
    fn count(&self, id: &ChangeId) -> usize {
        let newest = |snapshot: &&Snapshot| snapshot.changes.last().is_some_and(|c| c.id == *id);
        self.accepted.iter().filter(newest).count()
    }

    /// Ends all failures; every entry must then reach the newest accepted revision.
    fn recover(&mut self) {
        self.down = false;
        self.paused = [false; ENTRIES];
        while !self.delayed.is_empty() {
            self.deliver_write(0);
        }
        for node in 0..ENTRIES {
            self.write_back(node);
        }
        for node in 0..ENTRIES {
            self.read_store(node);
        }
        self.check();
        let newest = self.accepted.last().map(|snapshot| snapshot.revision);
        for node in &self.nodes {
            assert_eq!(node.revision(), newest.unwrap_or_default());
            assert_eq!(node.alarm(), None);
        }
    }
}

fn pick<T>(items: &[T], index: usize) -> Option<&T> {
    items.get(index.checked_rem(items.len())?)
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        6 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::Refused),
        2 => Just(CallOutcome::Lost),
        2 => Just(CallOutcome::Delayed),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let node = || 0..ENTRIES;
    let any = || 0..1000_usize;
    prop_oneof![
        6 => (node(), 0..RECORDS).prop_map(|(node, record)| Op::Accept { node, record }),
        2 => (any(), node()).prop_map(|(flow, node)| Op::AcceptAgain { flow, node }),
        24 => (any(), call_outcome()).prop_map(|(flow, outcome)| Op::Step { flow, outcome }),
        1 => (any(), node()).prop_map(|(flow, node)| Op::Reject { flow, node }),
        2 => any().prop_map(|write| Op::DeliverWrite { write }),
        8 => node().prop_map(|node| Op::ReadStore { node }),
        8 => (node(), node()).prop_map(|(node, peer)| Op::AskPeer { node, peer }),
        1 => node().prop_map(|node| Op::TogglePause { node }),
        1 => Just(Op::ToggleOutage),
        1 => Just(Op::Backup),
        1 => Just(Op::Restore),
        2 => node().prop_map(|node| Op::WriteBack { node }),
    ]
}

fn seed() -> u64 {
    let given = std::env::var(SEED_VARIABLE).ok();
    let seed = given.and_then(|text| text.parse().ok()).unwrap_or(SEED);
    println!("seed: {SEED_VARIABLE}={seed}");
    seed
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(seed()),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_changes_come_into_force_once_and_never_revert(
        ops in proptest::collection::vec(op(), 1..250),
    ) {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        world.recover();
    }
}
