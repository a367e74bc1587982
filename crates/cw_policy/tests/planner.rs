//! Tests of the planner's lease and of its orders.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_policy::Liveness;
use cw_policy::TargetView;
use cw_policy::View;
use cw_policy::planner::Lease;
use cw_policy::planner::LeaseEvent;
use cw_policy::planner::LeaseStep;
use cw_policy::planner::OrderOutcome;
use cw_policy::planner::PlannedOrder;
use cw_policy::planner::Planner;
use cw_policy::planner::PlannerInput;
use cw_policy::planner::WeightsInfo;
use cw_types::ByteSize;
use cw_types::Config;
use cw_types::FencingNumber;
use cw_types::Incarnation;
use cw_types::ModelName;
use cw_types::ModelVersion;
use cw_types::Target;
use cw_types::TargetId;
use cw_types::TargetKind;
use cw_types::Time;
use cw_types::VersionName;
use cw_wire::OrderKind;
use cw_wire::OrderResponse;
use cw_wire::Pins;

const SECOND: Duration = Duration::from_secs(1);

/// The time that the weight store takes for one load.
const LOAD_TIME: Duration = Duration::from_secs(4);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn at(seconds: u64) -> Time {
    Time(1_000_000_000) + SECOND * seconds as u32
}

// ----------------------------------------------------------------------------
// The lease

const TICK: LeaseEvent = LeaseEvent::Tick { candidate: true };

/// Returns a lease that was requested and claimed at second 0.
fn held_lease() -> Lease {
    let mut lease = Lease::new(at(0));
    assert!(matches!(
        lease.on_event(at(0), TICK),
        LeaseStep::Grant { .. }
    ));
    let granted = LeaseEvent::Granted {
        requested_at: at(0),
        lease: 7,
    };
    assert_eq!(
        lease.on_event(at(0), granted),
        LeaseStep::Claim { lease: 7 }
    );
    let created = FencingNumber(41);
    lease.on_event(at(0), LeaseEvent::Claimed { created });
    lease
}

#[test]
fn claimed_lease_gives_the_fencing_number() {
    let lease = held_lease();

    assert_eq!(lease.fencing(at(1)), Some(FencingNumber(41)));
}

#[test]
fn holder_stops_by_its_own_clock_before_the_lease_can_expire() {
    let mut lease = held_lease();

    let after_pause = lease.fencing(at(5));
    lease.on_event(at(5), TICK);
    let late = LeaseEvent::Renewed {
        requested_at: at(4),
        ttl: SECOND * 6,
    };
    lease.on_event(at(5), late);

    assert_eq!(after_pause, None);
    assert_eq!(
        lease.fencing(at(5)),
        None,
        "a late renewal does not restore the lease"
    );
}

#[test]
fn renewal_counts_from_the_time_of_the_request() {
    let mut lease = held_lease();
    assert_eq!(lease.on_event(at(2), TICK), LeaseStep::Renew { lease: 7 });
    let renewed = LeaseEvent::Renewed {
        requested_at: at(2),
        ttl: SECOND * 6,
    };

    lease.on_event(at(4), renewed);

    assert!(lease.fencing(at(6)).is_some());
    assert_eq!(lease.fencing(at(7)), None);
}

#[test]
fn failed_claim_is_repeated() {
    let mut lease = Lease::new(at(0));
    lease.on_event(at(0), TICK);
    let granted = LeaseEvent::Granted {
        requested_at: at(0),
        lease: 7,
    };
    lease.on_event(at(0), granted);

    let step = lease.on_event(at(1), LeaseEvent::Failed);

    assert_eq!(step, LeaseStep::Claim { lease: 7 });
    assert_eq!(lease.fencing(at(1)), None);
}

#[test]
fn entry_revokes_its_lease_when_another_holds_the_key() {
    let mut lease = Lease::new(at(0));
    lease.on_event(at(0), TICK);
    let granted = LeaseEvent::Granted {
        requested_at: at(0),
        lease: 7,
    };
    lease.on_event(at(0), granted);

    let step = lease.on_event(at(1), LeaseEvent::HeldElsewhere);

    assert_eq!(step, LeaseStep::Revoke { lease: 7 });
    assert_eq!(lease.on_event(at(2), TICK), LeaseStep::Wait);
}

#[test]
fn grant_received_after_its_expiry_is_revoked() {
    let mut lease = Lease::new(at(0));
    lease.on_event(at(0), TICK);
    let granted = LeaseEvent::Granted {
        requested_at: at(0),
        lease: 7,
    };

    let step = lease.on_event(at(60), granted);

    assert_eq!(step, LeaseStep::Revoke { lease: 7 });
}

// ----------------------------------------------------------------------------
// Orders

/// A deployment of engines that execute every order at once.
struct Deployment {
    view: View,
    weights: BTreeMap<String, WeightsInfo>,
    pins: BTreeMap<TargetId, Pins>,
    planner: Planner,
}

fn model() -> ModelName {
    name("m")
}

fn version(label: &str, targets: u32) -> ModelVersion {
    ModelVersion {
        model: model(),
        version: name(label),
        weights: format!("weights-{label}"),
        adapters: BTreeSet::new(),
        targets,
        keep: SECOND * 30,
    }
}

impl Deployment {
    /// Returns `count` engines that hold v1, and a planner with fencing number 5.
    fn new(count: usize) -> Self {
        let mut planner = Planner::default();
        planner.on_lease(Some(FencingNumber(5)));
        let weight = WeightsInfo {
            size: ByteSize::mib(400),
            rate: ByteSize::mib(100),
        };
        let weights = ["v1", "v2"].map(|v| (format!("weights-{v}"), weight));
        let mut deployment = Self {
            view: View::default(),
            weights: weights.into(),
            pins: BTreeMap::new(),
            planner,
        };
        for n in 0..count {
            let id: TargetId = name(&format!("t{n}"));
            deployment.view.targets.insert(id.clone(), engine(n));
            deployment.pins.insert(id, Pins::new());
        }
        deployment
    }

    fn require(&mut self, versions: &[ModelVersion]) {
        let named = |v: &ModelVersion| (v.version.to_string(), v.clone());
        let config = Config {
            versions: versions.iter().map(named).collect(),
            ..Config::default()
        };
        self.view.config = config.into();
    }

    fn plan(&mut self, now: Time) -> Vec<PlannedOrder> {
        let input = PlannerInput {
            view: &self.view,
            weights: &self.weights,
            pins: &self.pins,
        };
        self.planner.plan(now, input)
    }

    fn target_view(&mut self, id: &TargetId) -> &mut TargetView {
        self.view.targets.get_mut(id).expect("a known target")
    }

    fn execute(&mut self, now: Time, planned: &PlannedOrder) {
        let target_view = self.target_view(&planned.target);
        let versions = target_view.versions.entry(model()).or_default();
        match &planned.order.kind {
            OrderKind::Load { version, .. } => drop(versions.insert(version.clone())),
            OrderKind::Unload { version, .. } => drop(versions.remove(version)),
            OrderKind::LoadAdapter { .. } | OrderKind::Role { .. } => {}
        }
        let done = OrderOutcome::Response(OrderResponse::Done);
        let sequence = planned.order.sequence;
        self.planner
            .on_outcome(now, &planned.target, sequence, done);
    }

    fn holders(&self, version: &str) -> usize {
        let version: VersionName = name(version);
        let holds = |view: &&TargetView| {
            let versions = view.versions.get(&model());
            versions.is_some_and(|versions| versions.contains(&version))
        };
        self.view.targets.values().filter(holds).count()
    }
}

fn engine(n: usize) -> TargetView {
    TargetView {
        target: Target {
            agent: "127.0.0.1:1".parse().expect("an address"),
            host: name(&format!("h{n}")),
            zone: name("a"),
            region: name("r"),
            kind: TargetKind::Engine,
            fenced: true,
            versions: BTreeMap::new(),
        },
        liveness: Liveness::Alive,
        incarnation: Incarnation(1),
        load: Default::default(),
        reported_at: at(0),
        alive_since: at(0),
        versions: [(model(), [name("v1")].into())].into(),
        crashes: Vec::new(),
    }
}

fn pin(deployment: &mut Deployment, id: &str, version: &str) {
    let pins = [(model(), [(name(version), 1)].into())].into();
    deployment.pins.insert(name(id), pins);
}

#[test]
fn without_the_lease_there_are_no_orders() {
    let mut deployment = Deployment::new(2);
    deployment.require(&[version("v2", 2)]);
    deployment.planner.on_lease(None);

    assert_eq!(deployment.plan(at(0)), []);
}

#[test]
fn loads_start_no_faster_than_the_weight_store_serves_them() {
    let mut deployment = Deployment::new(4);
    deployment.require(&[version("v1", 4), version("v2", 4)]);

    let mut starts = Vec::new();
    for second in 0..20 {
        for planned in deployment.plan(at(second)) {
            starts.push(second);
            deployment.execute(at(second), &planned);
        }
    }

    assert_eq!(starts.len(), 4);
    for pair in starts.windows(2) {
        assert!(SECOND * (pair[1] - pair[0]) as u32 >= LOAD_TIME);
    }
}

#[test]
fn unknown_weights_are_not_loaded() {
    let mut deployment = Deployment::new(2);
    deployment.require(&[version("v2", 2)]);
    deployment.weights.clear();

    assert_eq!(deployment.plan(at(0)), []);
}

#[test]
fn old_version_stays_everywhere_until_unpinned_for_its_retention_time() {
    let mut deployment = Deployment::new(3);
    deployment.require(&[version("v2", 3)]);
    pin(&mut deployment, "t1", "v1");
    let mut second = 0;
    while deployment.holders("v2") < 3 {
        for planned in deployment.plan(at(second)) {
            deployment.execute(at(second), &planned);
        }
        second += 1;
    }

    for later in second..second + 300 {
        assert_eq!(deployment.plan(at(later)), [], "a generation is pinned");
    }
    let unpinned = second + 300;
    deployment.pins.insert(name("t1"), Pins::new());
    let mut unloads = Vec::new();
    for later in unpinned..unpinned + 60 {
        for planned in deployment.plan(at(later)) {
            unloads.push(later);
            deployment.execute(at(later), &planned);
        }
    }

    assert_eq!(deployment.holders("v1"), 0);
    assert!(unloads.iter().all(|at| *at >= unpinned + 30), "{unloads:?}");
}

#[test]
fn target_that_has_not_reported_its_pins_keeps_the_old_version() {
    let mut deployment = Deployment::new(2);
    deployment.require(&[version("v2", 2)]);
    deployment.pins.remove(&name("t0"));
    for id in ["t0", "t1"] {
        let target_view = deployment.target_view(&name(id));
        target_view.versions = [(model(), [name("v1"), name("v2")].into())].into();
    }

    for second in 0..100 {
        assert_eq!(deployment.plan(at(second)), []);
    }
}

#[test]
fn lost_response_repeats_the_order_with_its_sequence_number() {
    let mut deployment = Deployment::new(1);
    deployment.require(&[version("v2", 1)]);
    let first = deployment.plan(at(0));
    let (target, sequence) = (first[0].target.clone(), first[0].order.sequence);

    deployment
        .planner
        .on_outcome(at(1), &target, sequence, OrderOutcome::Lost);
    let again = deployment.plan(at(3));

    assert_eq!(again, first);
}

#[test]
fn begun_order_is_not_repeated_and_unrelated_responses_are_ignored() {
    let mut deployment = Deployment::new(1);
    deployment.require(&[version("v2", 1)]);
    let first = deployment.plan(at(0)).remove(0);
    let (target, sequence) = (first.target.clone(), first.order.sequence);
    let begun = OrderOutcome::Response(OrderResponse::Begun);
    let failed = OrderOutcome::Response(OrderResponse::Failed {
        message: "late".to_owned(),
    });

    deployment
        .planner
        .on_outcome(at(1), &target, sequence, begun);
    deployment
        .planner
        .on_outcome(at(1), &target, sequence + 9, failed);

    assert_eq!(deployment.plan(at(4)), []);
    assert_eq!(deployment.planner.in_progress(), 1);
}

#[test]
fn planner_fenced_by_a_later_one_stops() {
    let mut deployment = Deployment::new(2);
    deployment.require(&[version("v2", 2)]);
    let first = deployment.plan(at(0)).remove(0);
    let fenced = OrderOutcome::Response(OrderResponse::Fenced {
        highest: FencingNumber(6),
    });

    let sequence = first.order.sequence;
    deployment
        .planner
        .on_outcome(at(1), &first.target, sequence, fenced);

    assert!(deployment.planner.is_fenced());
    assert_eq!(deployment.plan(at(30)), []);
}

#[test]
fn new_fencing_number_restarts_the_sequence() {
    let mut deployment = Deployment::new(2);
    deployment.require(&[version("v2", 2)]);
    deployment.plan(at(0));

    deployment.planner.on_lease(Some(FencingNumber(9)));
    let orders = deployment.plan(at(1));

    assert_eq!(orders[0].order.fencing, FencingNumber(9));
    assert_eq!(orders[0].order.sequence, 1);
}

#[test]
fn leaving_target_gets_no_orders() {
    let mut deployment = Deployment::new(1);
    deployment.require(&[version("v2", 1)]);
    deployment.target_view(&name("t0")).liveness = Liveness::Leaving;

    assert_eq!(deployment.plan(at(0)), []);
}

#[test]
fn version_change_keeps_the_old_capacity_at_every_moment() {
    let mut deployment = Deployment::new(36);
    deployment.require(&[version("v2", 36)]);

    let mut second = 0;
    while deployment.holders("v1") > 0 {
        assert!(second < 3600, "the version change does not finish");
        for planned in deployment.plan(at(second)) {
            let unload = matches!(planned.order.kind, OrderKind::Unload { .. });
            assert!(!unload || deployment.holders("v2") == 36);
            deployment.execute(at(second), &planned);
        }
        second += 1;
    }

    assert_eq!(deployment.holders("v2"), 36);
}
