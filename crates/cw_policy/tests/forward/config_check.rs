//! Tests of the check of a configuration before it is sent.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_policy::forward::CallerLimits;
use cw_policy::forward::ConfigCheck;
use cw_policy::forward::ForwardConfig;
use cw_policy::forward::ForwardRoute;
use cw_policy::forward::ForwardService;
use cw_policy::forward::KeyHolder;
use cw_policy::forward::Repeat;
use cw_policy::forward::Severity;
use cw_types::KeyHash;
use rstest::rstest;

use crate::fixtures::name;

fn route(text: &str) -> ForwardRoute {
    ForwardRoute {
        name: name(text),
        host: "a.example".to_owned(),
        prefix: format!("/{text}/"),
        services: vec![(name("llm"), 1)],
        repeat: Repeat::Resume,
        streaming: true,
        timeout: Duration::from_secs(25),
        objective: Duration::from_secs(4),
        max_pause: Some(Duration::from_millis(700)),
        attempts: 5,
        priority: 2,
        open: false,
    }
}

fn service() -> ForwardService {
    ForwardService {
        connections: 100,
        memory: Some(88_000),
        copies: true,
        copy_lifetime: Duration::from_secs(4),
    }
}

fn config(version: u64, routes: Vec<ForwardRoute>, key: &str) -> ForwardConfig {
    let limits = CallerLimits {
        max_body: 1 << 20,
        idle_timeout: Duration::from_secs(15),
    };
    let holder = KeyHolder {
        workspace: name("w1"),
        priority: None,
    };
    let services = BTreeMap::from([(name("llm"), service())]);
    let keys = BTreeMap::from([(KeyHash::of(key), holder)]);
    ForwardConfig::new(version, routes, services, limits).with_keys(keys)
}

fn texts(check: &ConfigCheck, severity: Severity) -> Vec<String> {
    let findings = check.findings().into_iter();
    let findings = findings.filter(|finding| finding.severity == severity);
    findings
        .map(|finding| format!("{}: {}", finding.place, finding.text))
        .collect()
}

#[test]
fn a_sound_configuration_has_no_findings() {
    let check = ConfigCheck::of(&config(7, vec![route("a"), route("b")], "secret"));

    assert!(check.findings().is_empty(), "{:?}", check.findings());
}

#[rstest]
#[case(ForwardRoute { prefix: "/b/".to_owned(), ..route("a") }, "route b: it can never match")]
#[case(ForwardRoute { prefix: "/a".to_owned(), ..route("a") }, "route a: the prefix /a has no slash")]
#[case(ForwardRoute { objective: Duration::from_secs(26), ..route("a") }, "route a: the latency objective")]
#[case(ForwardRoute { max_pause: Some(Duration::from_secs(25)), ..route("a") }, "route a: the longest pause")]
#[case(ForwardRoute { attempts: 0, ..route("a") }, "route a: no target may run")]
#[case(ForwardRoute { services: vec![(name("llm"), 0)], ..route("a") }, "route a: no service has a weight")]
#[case(ForwardRoute { services: vec![(name("other"), 1)], ..route("a") }, "route a: there is no service other")]
fn what_cannot_work_is_an_error(#[case] wrong: ForwardRoute, #[case] expected: &str) {
    let check = ConfigCheck::of(&config(7, vec![wrong, route("b")], "secret"));

    let errors = texts(&check, Severity::Error);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].starts_with(expected), "{errors:?}");
    assert!(check.has_errors());
}

#[test]
fn what_has_no_effect_is_a_warning() {
    let mut once = route("a");
    once.repeat = Repeat::Never;
    once.services = vec![(name("llm"), 1), (name("llm"), 0)];

    let check = ConfigCheck::of(&config(7, vec![once], "secret"));

    assert_eq!(texts(&check, Severity::Warning).len(), 2);
    assert!(!check.has_errors());
}

#[test]
fn differences_from_the_version_in_force_are_listed_without_keys() {
    let in_force = config(7, vec![route("a"), route("b")], "old-secret");
    let faster = ForwardRoute {
        timeout: Duration::from_secs(20),
        ..route("a")
    };
    let config = config(8, vec![faster, route("c")], "new-secret");

    let check = ConfigCheck::of(&config).against(&config, &in_force);

    let expected = [
        "route a: timeout 25s becomes 20s",
        "route b: removed",
        "route c: added",
        "workspace w1: 1 keys added and 1 removed",
    ];
    assert_eq!(texts(&check, Severity::Difference), expected);
    assert!(!format!("{check:?}").contains("secret"));
}

#[test]
fn a_version_that_is_not_higher_is_an_error() {
    let in_force = config(7, vec![route("a")], "secret");

    let check = ConfigCheck::of(&in_force).against(&in_force, &in_force);

    assert_eq!(
        texts(&check, Severity::Error),
        ["version 7: it is not higher than 7, the one in force"]
    );
}

/// Guards against a configuration that shuts everybody out, of which the check said nothing.
#[test]
fn routes_that_nobody_may_use_are_errors() {
    let mut open = route("b");
    open.open = true;
    let config = config(7, vec![route("a"), open], "secret").with_keys(BTreeMap::new());

    let check = ConfigCheck::of(&config);

    let errors = texts(&check, Severity::Error);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].starts_with("route a: all its requests are refused"));
}

#[test]
fn keys_that_are_not_required_any_more_are_a_warning() {
    let in_force = config(7, vec![route("a")], "secret");
    let open = ForwardConfig::new(
        8,
        vec![route("a")],
        BTreeMap::from([(name("llm"), service())]),
        in_force.limits(),
    );

    let check = ConfigCheck::of(&open).against(&open, &in_force);

    let warnings = texts(&check, Severity::Warning);
    assert!(
        warnings
            .iter()
            .any(|text| text.starts_with("keys: no request needs one")),
        "{warnings:?}"
    );
}
