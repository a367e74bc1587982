//! Tests of calls to plain services whose service, agent or entry is killed while they run.

mod common;

use std::collections::BTreeMap;
use std::pin::pin;
use std::time::Duration;

use common::run_count;
use common::small_spec;
use common::start_deployment;
use common::wait_until;
use common::within_timeout;
use cw_testkit::CallResponse;
use cw_testkit::SERVICE;
use cw_testkit::SERVICE_ONCE;
use cw_testkit::TestDeployment;
use futures::future::Either;
use futures::future::join;
use futures::future::select;
use http::Method;
use rstest::rstest;

/// The time from the effect of a call until its response.
const DELAY: Duration = Duration::from_millis(600);

/// The process that is killed while a call runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victim {
    Service,
    Agent,
    Entry,
}

fn path(service: &str) -> String {
    format!("/v1/services/{service}/balances/7?currency=EUR")
}

fn idempotency_key(key: &str) -> BTreeMap<String, String> {
    BTreeMap::from([("Idempotency-Key".to_owned(), key.to_owned())])
}

async fn call(
    deployment: &TestDeployment,
    entry: usize,
    service: &str,
    headers: &BTreeMap<String, String>,
    body: &str,
) -> Option<CallResponse> {
    let caller = deployment.caller(entry);
    let path = path(service);
    let call = caller.call(Method::POST, &path, headers, body.to_owned());
    within_timeout(call).await.ok()
}

/// Kills the service, the agent or the entry that runs the call with `body`.
async fn kill(deployment: &TestDeployment, victim: Victim, body: &str) {
    let ran = |n: &usize| deployment.services[*n].runs().contains_key(body);
    let number = (0..deployment.services.len())
        .find(ran)
        .expect("a service has run the call");
    match victim {
        Victim::Service => deployment.services[number].kill().await,
        Victim::Agent => deployment.service_agents[number].kill().await,
        Victim::Entry => deployment.entries[0].kill().await,
    }
}

/// Returns the response to a call during which `victim` is killed.
///
/// If the call ends before any service has run it, the test fails and shows the response.
async fn respond_during_kill(
    call: impl Future<Output = Option<CallResponse>>,
    deployment: &TestDeployment,
    victim: Victim,
    body: &str,
) -> Option<CallResponse> {
    let mut call = pin!(call);
    let running = pin!(wait_until(|| run_count(deployment, body) > 0));
    match select(call.as_mut(), running).await {
        Either::Left((response, _)) => {
            assert!(
                run_count(deployment, body) > 0,
                "no service ran the call: {response:?}"
            );
            response
        }
        Either::Right(((), call)) => join(call, kill(deployment, victim, body)).await.0,
    }
}

fn set_delay(deployment: &TestDeployment) {
    deployment.services.iter().for_each(|s| s.set_delay(DELAY));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn method_path_and_body_are_passed_through() {
    let deployment = start_deployment(small_spec()).await;

    let response = call(&deployment, 0, SERVICE, &BTreeMap::new(), "who owes whom").await;

    let response = response.expect("the call completes");
    let echo = response.json();
    assert_eq!(response.status.as_u16(), 200);
    assert_eq!(echo["method"], "POST");
    assert_eq!(echo["path"], "/balances/7?currency=EUR");
    assert_eq!(echo["body"], "who owes whom");
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deployment_is_ready_only_when_its_services_are() {
    let deployment = start_deployment(small_spec().with_late_services()).await;

    let response = call(&deployment, 0, SERVICE, &BTreeMap::new(), "who owes whom").await;

    let response = response.expect("the call completes");
    assert_eq!(response.status.as_u16(), 200, "{response:?}");
    deployment.stop().await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotent_call_is_answered_whole_although_its_target_dies(
    #[values(Victim::Service, Victim::Agent)] victim: Victim,
) {
    let deployment = start_deployment(small_spec()).await;
    set_delay(&deployment);

    let headers = BTreeMap::new();
    let response = call(&deployment, 0, SERVICE, &headers, "who owes whom");
    let response = respond_during_kill(response, &deployment, victim, "who owes whom").await;

    let response = response.expect("the call completes");
    assert_eq!(response.status.as_u16(), 200);
    assert_eq!(response.json()["body"], "who owes whom");
    deployment.stop().await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_may_run_once_does(
    #[values(Victim::Service, Victim::Agent, Victim::Entry)] victim: Victim,
    #[values(true, false)] key: bool,
) {
    let deployment = start_deployment(small_spec()).await;
    set_delay(&deployment);
    let body = "pay the balance";
    let headers = match key {
        true => idempotency_key("notice-1"),
        false => BTreeMap::new(),
    };

    let response = call(&deployment, 0, SERVICE_ONCE, &headers, body);
    let first = respond_during_kill(response, &deployment, victim, body).await;
    if key {
        for _ in 0..3 {
            call(&deployment, 1, SERVICE_ONCE, &headers, body).await;
        }
    }

    assert_eq!(run_count(&deployment, body), 1);
    if let Some(response) = first.filter(|response| response.status.as_u16() != 200) {
        assert_ne!(response.json()["error"]["ran"], "no");
    }
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeat_with_the_same_key_gets_the_same_response_through_another_entry() {
    let deployment = start_deployment(small_spec()).await;
    let headers = idempotency_key("notice-2");

    let first = call(&deployment, 0, SERVICE_ONCE, &headers, "reserve the board").await;
    let second = call(&deployment, 1, SERVICE_ONCE, &headers, "reserve the board").await;

    let (first, second) = (
        first.expect("the first call completes"),
        second.expect("the second call completes"),
    );
    assert_eq!(first.status.as_u16(), 200);
    assert_eq!(second.status.as_u16(), 200);
    assert_eq!(first.body, second.body);
    assert_eq!(run_count(&deployment, "reserve the board"), 1);
    deployment.stop().await;
}
