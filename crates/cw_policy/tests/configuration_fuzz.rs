//! Records, a key-value service that fails, and relays, against a simple oracle: the ordered list
//! of accepted revisions.

use std::collections::BTreeMap;

use cw_policy::configuration::AcceptFlow;
use cw_policy::configuration::Acceptance;
use cw_policy::configuration::Edit;
use cw_policy::configuration::Fault;
use cw_policy::configuration::FlowEnd;
use cw_policy::configuration::FlowEvent;
use cw_policy::configuration::FlowStep;
use cw_policy::configuration::InForce;
use cw_policy::configuration::Proposal;
use cw_policy::configuration::ProposalState;
use cw_policy::configuration::Readers;
use cw_policy::configuration::Rejection;
use cw_policy::configuration::Source;
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

/// The entries.
const NODES: usize = 4;

/// The records that changes fight over.
const RECORDS: u8 = 3;

/// The seed, unless the variable below gives another.
const SEED: u64 = 6;

/// The variable that gives another seed.
const SEED_VARIABLE: &str = "CYCLAMENWHARF_SEED";

/// What happens next.
#[derive(Clone, Debug)]
enum Op {
    /// A change is proposed and its acceptance begins at an entry.
    Accept { node: usize, record: u8 },
    /// The same change is accepted again through another entry.
    AcceptAgain { flow: usize, node: usize },
    /// One acceptance makes its next step.
    Step { flow: usize, luck: Luck },
    /// A proposal is rejected.
    Reject { flow: usize, node: usize },
    /// A write whose answer was lost arrives.
    Arrive { write: usize },
    /// An entry reads the service.
    Follow { node: usize },
    /// An entry asks another one.
    Ask { node: usize, peer: usize },
    /// An entry is paused, or wakes up.
    Pause { node: usize },
    /// The service goes down, or comes back.
    Outage,
    /// A backup of the service is taken.
    Backup,
    /// The service is restored from the backup.
    Restore,
    /// An entry writes back what is in force.
    PutBack { node: usize },
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug)]
enum Luck {
    /// It is answered.
    Fine,
    /// It is refused.
    Refused,
    /// It has its effect, and the answer is lost.
    Lost,
    /// The answer is lost, and it may have its effect later.
    Late,
}

/// The key-value service: each value with the number of its last write.
#[derive(Clone, Debug, Default)]
struct Store {
    config: (u64, Snapshot),
    proposals: BTreeMap<ChangeId, (u64, Proposal)>,
    writes: u64,
}

impl Store {
    fn write_config(&mut self, expected: u64, snapshot: &Snapshot) -> bool {
        let fits = self.config.0 == expected;
        if fits {
            self.writes += 1;
            self.config = (self.writes, snapshot.clone());
        }
        fits
    }

    fn write_proposal(&mut self, expected: u64, proposal: &Proposal) -> bool {
        let found = self.proposals.get(&proposal.id);
        let fits = found.map_or(0, |(at, _)| *at) == expected;
        if fits {
            self.writes += 1;
            let value = (self.writes, proposal.clone());
            self.proposals.insert(proposal.id.clone(), value);
        }
        fits
    }
}

/// One call of an operator to accept a change.
struct Running {
    id: ChangeId,
    node: usize,
    flow: AcceptFlow,
    step: FlowStep,
    read: (u64, u64),
}

/// A write on its way.
struct Flying {
    expected: u64,
    snapshot: Snapshot,
}

struct Everyone;

impl Readers for Everyone {
    fn unable(&self, _kind: RecordKind, _schema: SchemaVersion) -> Vec<HostId> {
        Vec::new()
    }
}

struct World {
    store: Store,
    backup: Store,
    down: bool,
    nodes: Vec<InForce>,
    paused: [bool; NODES],
    flows: Vec<Running>,
    flying: Vec<Flying>,
    /// The oracle.
    accepted: Vec<Snapshot>,
    rejected: Vec<ChangeId>,
}

impl World {
    fn new() -> Self {
        Self {
            store: Store::default(),
            backup: Store::default(),
            down: false,
            nodes: vec![InForce::default(); NODES],
            paused: [false; NODES],
            flows: Vec::new(),
            flying: Vec::new(),
            accepted: Vec::new(),
            rejected: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Accept { node, record } => self.propose(node, record),
            Op::AcceptAgain { flow, node } => self.accept_again(flow, node),
            Op::Step { flow, luck } => self.step(flow, luck),
            Op::Reject { flow, node } => self.reject(flow, node),
            Op::Arrive { write } => self.arrive(write),
            Op::Follow { node } => self.follow(node),
            Op::Ask { node, peer } => self.ask(node, peer),
            Op::Pause { node } => self.paused[node] = !self.paused[node],
            Op::Outage => self.down = !self.down,
            Op::Backup => self.backup = self.store.clone(),
            Op::Restore => self.restore(),
            Op::PutBack { node } => self.put_back(node),
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
        if let Some(running) = pick(&self.flows, flow) {
            let id = running.id.clone();
            self.start(id, node);
        }
    }

    fn start(&mut self, id: ChangeId, node: usize) {
        if self.paused[node] || !self.nodes[node].is_known() && !self.accepted.is_empty() {
            return;
        }
        self.flows.push(Running {
            id,
            node,
            flow: AcceptFlow::new(),
            step: FlowStep::Read,
            read: (0, 0),
        });
    }

    /// The highest revision that entries have told each other of.
    fn highest(&self) -> Revision {
        let revisions = self.nodes.iter().map(InForce::revision);
        revisions.max().unwrap_or_default()
    }

    fn reject(&mut self, flow: usize, node: usize) {
        let away = self.down || self.paused[node];
        let Some(running) = pick(&self.flows, flow).filter(|_| !away) else {
            return;
        };
        let Some((at, proposal)) = self.store.proposals.get(&running.id).cloned() else {
            return;
        };
        let carol: Actor = "carol".parse().expect("a valid name");
        let decision = reject(self.nodes[node].snapshot(), &proposal, &carol);
        if let Rejection::Write(rejected) = decision {
            self.store.write_proposal(at, &rejected);
            self.rejected.push(proposal.id);
        }
    }

    fn step(&mut self, flow: usize, luck: Luck) {
        let live: Vec<_> = (0..self.flows.len())
            .filter(|n| !matches!(self.flows[*n].step, FlowStep::End(_)))
            .filter(|n| !self.paused[self.flows[*n].node])
            .collect();
        let Some(index) = pick(&live, flow).copied() else {
            return;
        };
        let luck = if self.down { Luck::Refused } else { luck };
        let event = match self.flows[index].step.clone() {
            FlowStep::Read => self.read(index, luck),
            FlowStep::Mark(marked) => self.mark(index, &marked, luck),
            FlowStep::Write(next) => self.write(index, &next, luck),
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
            readers: &Everyone,
            in_use: &[],
        };
        let running = &mut self.flows[index];
        running.step = running.flow.on_event(event, &by);
    }

    fn read(&mut self, index: usize, luck: Luck) -> FlowEvent {
        if !matches!(luck, Luck::Fine) {
            return FlowEvent::Failed(Fault::Unavailable);
        }
        let held = self.highest();
        let running = &mut self.flows[index];
        let proposal = self.store.proposals.get(&running.id).cloned();
        let written = proposal.as_ref().map_or(0, |(at, _)| *at);
        running.read = (written, self.store.config.0);
        FlowEvent::Read {
            proposal: proposal.map(|(_, proposal)| proposal),
            snapshot: Box::new(self.store.config.1.clone()),
            held,
        }
    }

    fn mark(&mut self, index: usize, marked: &Proposal, luck: Luck) -> FlowEvent {
        let expected = self.flows[index].read.0;
        match luck {
            Luck::Fine => FlowEvent::Written(self.store.write_proposal(expected, marked)),
            Luck::Refused => FlowEvent::Failed(Fault::Unavailable),
            Luck::Lost => {
                self.store.write_proposal(expected, marked);
                FlowEvent::Failed(Fault::Lost)
            }
            Luck::Late => FlowEvent::Failed(Fault::Lost),
        }
    }

    fn write(&mut self, index: usize, next: &Snapshot, luck: Luck) -> FlowEvent {
        let expected = self.flows[index].read.1;
        match luck {
            Luck::Fine => FlowEvent::Written(self.commit(expected, next)),
            Luck::Refused => FlowEvent::Failed(Fault::Unavailable),
            Luck::Lost => {
                self.commit(expected, next);
                FlowEvent::Failed(Fault::Lost)
            }
            Luck::Late => {
                let snapshot = next.clone();
                self.flying.push(Flying { expected, snapshot });
                FlowEvent::Failed(Fault::Lost)
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

    fn arrive(&mut self, write: usize) {
        if self.down || self.flying.is_empty() {
            return;
        }
        let index = write % self.flying.len();
        let Flying { expected, snapshot } = self.flying.swap_remove(index);
        self.commit(expected, &snapshot);
    }

    // ------------------------------------------------------------------------
    // Entries

    fn follow(&mut self, node: usize) {
        if !self.down && !self.paused[node] && self.store.config.0 > 0 {
            let snapshot = self.store.config.1.clone();
            self.nodes[node].take(Source::Store, snapshot);
        }
    }

    fn ask(&mut self, node: usize, peer: usize) {
        if node != peer && !self.paused[node] && !self.paused[peer] {
            let answer = self.nodes[peer].answer(self.nodes[node].revision());
            self.nodes[node].take_answer(answer);
        }
    }

    // ------------------------------------------------------------------------
    // The service

    /// Goes back to the backup. What was accepted since must have spread before, since nobody
    /// else knows of it; and writes of before do not survive the restore.
    fn restore(&mut self) {
        let newest = self.accepted.last().map(|snapshot| snapshot.revision);
        let spread = self
            .nodes
            .iter()
            .all(|node| Some(node.revision()) == newest);
        if !spread || self.backup.config.0 == 0 {
            return;
        }
        let writes = self.store.writes + 1;
        self.store = self.backup.clone();
        self.store.writes = writes;
        self.store.config.0 = writes;
        self.flying.clear();
        // A rejection is kept by the service alone, and a restore from before it loses it.
        let is_kept = |id: &ChangeId| {
            let kept = self.store.proposals.get(id);
            kept.is_some_and(|(_, p)| matches!(p.state, ProposalState::Rejected(_)))
        };
        self.rejected.retain(is_kept);
        for running in &mut self.flows {
            running.read.1 = 0;
        }
    }

    fn put_back(&mut self, node: usize) {
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
            assert_eq!(pair[1].revision, pair[0].revision.next(), "a fork");
        }
        for node in &self.nodes {
            let revision = node.revision();
            if revision > Revision::default() {
                let index = usize::try_from(revision.0).expect("small") - 1;
                assert_eq!(
                    **node.snapshot(),
                    self.accepted[index],
                    "not what was accepted"
                );
            }
        }
        for running in &self.flows {
            if let FlowStep::End(end) = &running.step {
                self.check_end(&running.id, end);
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
        let others = self.flows.iter().filter(|flow| flow.id == *id).count();
        let no = matches!(
            end,
            FlowEnd::Refused(_) | FlowEnd::Unavailable | FlowEnd::NotFound
        );
        if no && others == 1 {
            assert_eq!(count, 0, "{id} was answered as not accepted");
        }
    }

    /// How often the oracle has a change as its newest.
    fn count(&self, id: &ChangeId) -> usize {
        let newest = |snapshot: &&Snapshot| snapshot.changes.last().is_some_and(|c| c.id == *id);
        self.accepted.iter().filter(newest).count()
    }

    /// Everything works again: all entries must come to the newest accepted revision.
    fn heal(&mut self) {
        self.down = false;
        self.paused = [false; NODES];
        while !self.flying.is_empty() {
            self.arrive(0);
        }
        for node in 0..NODES {
            self.put_back(node);
        }
        for node in 0..NODES {
            self.follow(node);
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

fn luck() -> impl Strategy<Value = Luck> {
    prop_oneof![
        6 => Just(Luck::Fine),
        1 => Just(Luck::Refused),
        2 => Just(Luck::Lost),
        2 => Just(Luck::Late),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let node = || 0..NODES;
    let any = || 0..1000_usize;
    prop_oneof![
        6 => (node(), 0..RECORDS).prop_map(|(node, record)| Op::Accept { node, record }),
        2 => (any(), node()).prop_map(|(flow, node)| Op::AcceptAgain { flow, node }),
        24 => (any(), luck()).prop_map(|(flow, luck)| Op::Step { flow, luck }),
        1 => (any(), node()).prop_map(|(flow, node)| Op::Reject { flow, node }),
        2 => any().prop_map(|write| Op::Arrive { write }),
        8 => node().prop_map(|node| Op::Follow { node }),
        8 => (node(), node()).prop_map(|(node, peer)| Op::Ask { node, peer }),
        1 => node().prop_map(|node| Op::Pause { node }),
        1 => Just(Op::Outage),
        1 => Just(Op::Backup),
        1 => Just(Op::Restore),
        2 => node().prop_map(|node| Op::PutBack { node }),
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
    fn what_was_accepted_is_in_force_once_and_never_reverts(
        ops in proptest::collection::vec(op(), 1..250),
    ) {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        world.heal();
    }
}
