//! Tests of route matching and keys.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_policy::forward::CallerLimits;
use cw_policy::forward::ForwardConfig;
use cw_policy::forward::ForwardRoute;
use cw_policy::forward::KeyHolder;
use cw_policy::forward::Rank;
use cw_policy::forward::Repeat;
use cw_types::ErrorKind;
use cw_types::KeyHash;
use rstest::rstest;

use crate::fixtures::name;

fn route(route: &str, prefix: &str) -> ForwardRoute {
    ForwardRoute {
        name: name(route),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        services: vec![(name("heavy"), 90), (name("light"), 10)],
        repeat: Repeat::Never,
        streaming: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        max_pause: None,
        attempts: 1,
        priority: 2,
        open: route == "open",
    }
}

fn config() -> ForwardConfig {
    let routes = vec![
        route("outer", "/a/"),
        route("inner", "/a/b/"),
        route("open", "/open/"),
    ];
    let limits = CallerLimits {
        max_body: 1 << 20,
        idle_timeout: Duration::from_secs(15),
    };
    let holder = KeyHolder {
        workspace: name("w1"),
        priority: Some(0),
    };
    let keys = BTreeMap::from([(KeyHash::of("secret"), holder)]);
    ForwardConfig::new(7, routes, BTreeMap::new(), limits).with_keys(keys)
}

#[rstest]
#[case("/a/x", "outer")]
#[case("/a/b/x", "inner")]
#[case("/a/bx", "outer")]
fn the_longest_prefix_matches_a_request(#[case] path: &str, #[case] expected: &str) {
    let admitted = config().admit("a.example", path, Some("secret")).unwrap();

    assert_eq!(admitted.route.name.as_str(), expected);
}

#[rstest]
#[case("a.example", "/b/", Some("secret"), ErrorKind::UnknownModel)]
#[case("a.example", "/a", Some("secret"), ErrorKind::UnknownModel)]
#[case("b.example", "/a/x", Some("secret"), ErrorKind::UnknownModel)]
#[case("a.example", "/a/x", Some("guess"), ErrorKind::Unauthorized)]
#[case("a.example", "/a/x", None, ErrorKind::Unauthorized)]
fn what_is_not_configured_is_refused(
    #[case] host: &str,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] kind: ErrorKind,
) {
    assert_eq!(config().admit(host, path, key), Err(kind));
}

#[test]
fn a_key_determines_the_workspace_and_its_priority() {
    let admitted = config().admit("a.example", "/a/x", Some("secret")).unwrap();

    assert_eq!(admitted.workspace, Some(name("w1")));
    assert_eq!(admitted.priority, 0);
}

#[test]
fn an_open_route_needs_no_key() {
    let admitted = config().admit("a.example", "/open/x", None).unwrap();

    assert_eq!(admitted.workspace, None);
    assert_eq!(admitted.priority, 2);
}

/// Guards against the removal of the last key that opens all routes.
#[rstest]
#[case(None)]
#[case(Some("secret"))]
fn a_configuration_without_any_key_admits_nobody(#[case] key: Option<&str>) {
    let config = config().with_keys(BTreeMap::new());

    let admitted = config.admit("a.example", "/a/x", key);

    assert_eq!(admitted, Err(ErrorKind::Unauthorized));
    assert!(config.admit("a.example", "/open/x", key).is_ok());
}

#[test]
fn a_configuration_that_requires_no_keys_admits_everybody() {
    let config = ForwardConfig::new(
        7,
        vec![route("outer", "/a/")],
        BTreeMap::new(),
        config().limits(),
    );

    let admitted = config.admit("a.example", "/a/x", None).unwrap();

    assert_eq!(admitted.workspace, None);
}

/// Guards against a route whose services all have lost their weight, and whose requests all go to the last of them.
#[rstest]
#[case(0.0)]
#[case(0.999)]
fn services_without_a_weight_get_no_requests(#[case] draw: f64) {
    let mut route = route("outer", "/a/");
    route.services = vec![(name("heavy"), 0), (name("light"), 0)];

    assert_eq!(route.service(draw), None);
}

#[rstest]
#[case(0.0, "heavy")]
#[case(0.899, "heavy")]
#[case(0.901, "light")]
#[case(0.999, "light")]
fn services_are_drawn_by_weight(#[case] draw: f64, #[case] expected: &str) {
    let service = route("outer", "/a/").service(draw).cloned().unwrap();

    assert_eq!(service.as_str(), expected);
}

/// Returns the priority that engines of `heavy` get for a request of workspace `w1` on a route.
fn engine_priority(config: &ForwardConfig, path: &str) -> u8 {
    let admitted = config.admit("a.example", path, Some("secret")).unwrap();
    let rank = Rank {
        priority: admitted.priority,
        route: admitted.route.priority,
    };
    config.engine_priority(&name("heavy"), rank)
}

/// All workspaces have the same priority of their own and compete on an urgent and a usual route: an engine that got
/// that priority alone would read their prompts in any order.
#[test]
fn engines_get_the_order_of_routes_within_a_priority() {
    let mut urgent = route("urgent", "/u/");
    urgent.priority = 0;
    let holder = |workspace: &str, priority| KeyHolder {
        workspace: name(workspace),
        priority: Some(priority),
    };
    let keys = BTreeMap::from([
        (KeyHash::of("secret"), holder("w1", 1)),
        (KeyHash::of("first"), holder("w0", 0)),
    ]);
    let two = ForwardConfig::new(
        7,
        vec![urgent, route("usual", "/s/")],
        BTreeMap::new(),
        config().limits(),
    )
    .with_keys(keys);

    let (first, second) = (engine_priority(&two, "/u/"), engine_priority(&two, "/s/"));

    assert!(first < second, "{first} {second}");
    let above = Rank {
        priority: 0,
        route: 2,
    };
    assert!(two.engine_priority(&name("heavy"), above) < first);
}

/// Guards against a change for services whose routes have one priority.
#[test]
fn engines_get_the_priority_that_holds_where_routes_do_not_differ() {
    assert_eq!(engine_priority(&config(), "/a/x"), 0);
}
