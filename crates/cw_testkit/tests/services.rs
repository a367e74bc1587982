//! Calls to plain services.

mod common;

use std::collections::BTreeMap;
use std::pin::pin;
use std::time::Duration;

use common::rig;
use common::runs;
use common::small;
use common::soon;
use common::until;
use cw_testkit::Reply;
use cw_testkit::Rig;
use cw_testkit::SERVICE;
use cw_testkit::SERVICE_ONCE;
use futures::future::Either;
use futures::future::join;
use futures::future::select;
use http::Method;
use rstest::rstest;

/// How long each execution takes after it has had its effect.
const DELAY: Duration = Duration::from_millis(600);

/// Who dies while a call runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victim {
    Service,
    Agent,
    Entry,
}

fn path(service: &str) -> String {
    format!("/v1/services/{service}/balances/7?currency=EUR")
}

fn keyed(key: &str) -> BTreeMap<String, String> {
    BTreeMap::from([("Idempotency-Key".to_owned(), key.to_owned())])
}

async fn call(
    rig: &Rig,
    entry: usize,
    service: &str,
    headers: &BTreeMap<String, String>,
    body: &str,
) -> Option<Reply> {
    let caller = rig.caller(entry);
    let path = path(service);
    let call = caller.call(Method::POST, &path, headers, body.to_owned());
    soon(call).await.ok()
}

/// Kills the part of the deployment that runs `body`.
async fn kill(rig: &Rig, victim: Victim, body: &str) {
    let ran = |n: &usize| rig.services[*n].runs().contains_key(body);
    let number = (0..rig.services.len()).find(ran).expect("it has run");
    match victim {
        Victim::Service => rig.services[number].kill().await,
        Victim::Agent => rig.service_agents[number].kill().await,
        Victim::Entry => rig.entries[0].kill().await,
    }
}

/// Returns what a call answers whose victim dies while it runs.
///
/// A call that ends before any service has run it fails the test at once, and its answer is shown.
async fn killing(
    call: impl Future<Output = Option<Reply>>,
    rig: &Rig,
    victim: Victim,
    body: &str,
) -> Option<Reply> {
    let mut call = pin!(call);
    let running = pin!(until(|| runs(rig, body) > 0));
    match select(call.as_mut(), running).await {
        Either::Left((reply, _)) => {
            assert!(runs(rig, body) > 0, "no service ran the call: {reply:?}");
            reply
        }
        Either::Right(((), call)) => join(call, kill(rig, victim, body)).await.0,
    }
}

fn set_delay(rig: &Rig) {
    rig.services.iter().for_each(|s| s.set_delay(DELAY));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn method_path_and_body_are_passed_through() {
    let rig = rig(small()).await;

    let reply = call(&rig, 0, SERVICE, &BTreeMap::new(), "who owes whom").await;

    let reply = reply.expect("the call is answered");
    let answer = reply.json();
    assert_eq!(reply.status.as_u16(), 200);
    assert_eq!(answer["method"], "POST");
    assert_eq!(answer["path"], "/balances/7?currency=EUR");
    assert_eq!(answer["body"], "who owes whom");
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deployment_is_ready_only_when_its_services_are() {
    let rig = rig(small().with_late_services()).await;

    let reply = call(&rig, 0, SERVICE, &BTreeMap::new(), "who owes whom").await;

    let reply = reply.expect("the call is answered");
    assert_eq!(reply.status.as_u16(), 200, "{reply:?}");
    rig.stop().await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotent_call_is_answered_whole_although_its_target_dies(
    #[values(Victim::Service, Victim::Agent)] victim: Victim,
) {
    let rig = rig(small()).await;
    set_delay(&rig);

    let headers = BTreeMap::new();
    let answer = call(&rig, 0, SERVICE, &headers, "who owes whom");
    let reply = killing(answer, &rig, victim, "who owes whom").await;

    let reply = reply.expect("the call is answered");
    assert_eq!(reply.status.as_u16(), 200);
    assert_eq!(reply.json()["body"], "who owes whom");
    rig.stop().await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_may_run_once_does(
    #[values(Victim::Service, Victim::Agent, Victim::Entry)] victim: Victim,
    #[values(true, false)] key: bool,
) {
    let rig = rig(small()).await;
    set_delay(&rig);
    let body = "pay the balance";
    let headers = match key {
        true => keyed("notice-1"),
        false => BTreeMap::new(),
    };

    let answer = call(&rig, 0, SERVICE_ONCE, &headers, body);
    let first = killing(answer, &rig, victim, body).await;
    if key {
        for _ in 0..3 {
            call(&rig, 1, SERVICE_ONCE, &headers, body).await;
        }
    }

    assert_eq!(runs(&rig, body), 1);
    if let Some(reply) = first.filter(|reply| reply.status.as_u16() != 200) {
        assert_ne!(reply.json()["error"]["ran"], "no");
    }
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeat_with_the_same_key_gets_the_same_answer_through_another_entry() {
    let rig = rig(small()).await;
    let headers = keyed("notice-2");

    let first = call(&rig, 0, SERVICE_ONCE, &headers, "reserve the board").await;
    let second = call(&rig, 1, SERVICE_ONCE, &headers, "reserve the board").await;

    let (first, second) = (first.expect("answered"), second.expect("answered"));
    assert_eq!(first.status.as_u16(), 200);
    assert_eq!(second.status.as_u16(), 200);
    assert_eq!(first.body, second.body);
    assert_eq!(runs(&rig, "reserve the board"), 1);
    rig.stop().await;
}
