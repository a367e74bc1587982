//! Fixtures for the routing tests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_policy::Liveness;
use cw_policy::TargetView;
use cw_policy::View;
use cw_policy::routing::RouteRequest;
use cw_types::Incarnation;
use cw_types::RouteTarget;
use cw_types::Target;
use cw_types::TargetId;
use cw_types::TargetKind;
use cw_types::Time;
use cw_types::TokenCount;
use cw_wire::Load;

/// Returns the present time of the tests, so late that all targets have ramped up.
pub(crate) fn now() -> Time {
    Time(1_000_000_000)
}

/// Returns the id of target number `number`.
pub(crate) fn id(number: usize) -> TargetId {
    format!("t{number:03}").parse().expect("a valid name")
}

/// Returns an idle engine in one of three availability zones.
pub(crate) fn engine(number: usize) -> TargetView {
    let versions = BTreeMap::from([(
        "m".parse().expect("a valid name"),
        BTreeSet::from(["v1".parse().expect("a valid name")]),
    )]);
    TargetView {
        target: Target {
            agent: "127.0.0.1:1".parse().expect("a valid address"),
            host: format!("h{number}").parse().expect("a valid name"),
            zone: format!("z{}", number % 3).parse().expect("a valid name"),
            region: "r0".parse().expect("a valid name"),
            kind: TargetKind::Engine,
            fenced: true,
            versions: BTreeMap::new(),
        },
        liveness: Liveness::Alive,
        incarnation: Incarnation(1),
        load: Load {
            limit: 16,
            ..Load::default()
        },
        reported_at: Time(now().0 - 100_000),
        alive_since: Time(0),
        versions,
        crashes: Vec::new(),
    }
}

/// Returns a view of `count` idle engines.
pub(crate) fn view(count: usize) -> View {
    View {
        targets: (0..count).map(|n| (id(n), engine(n))).collect(),
        ..View::default()
    }
}

/// Returns a request for the model that all engines serve, from availability zone `z0`.
pub(crate) fn request(workspace: &str) -> RouteRequest {
    let to = RouteTarget::Model {
        model: "m".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        adapter: None,
    };
    let workspace = workspace.parse().expect("a valid name");
    let zone = "z0".parse().expect("a valid name");
    let region = "r0".parse().expect("a valid name");
    RouteRequest::new(to, workspace, zone, region).with_prompt(Vec::new(), TokenCount(500))
}
