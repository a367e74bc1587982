//! Processes that leave.

mod common;

use std::net::SocketAddr;

use common::call_fake;
use common::expected;
use common::serving_engine;
use common::small_spec;
use common::start_deployment;
use common::within_timeout;
use cw_testkit::CompletionRequest;
use cw_testkit::ROUTE_LATENCY;
use futures::future::join;
use http::Method;
use serde_json::json;

async fn is_ready(admin: SocketAddr) -> bool {
    let reply = call_fake(admin, Method::GET, "/readyz", &json!(null)).await;
    reply.status.as_u16() == 200
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_drains_cuts_nothing() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 300);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens come");
    let admin = deployment.entries[0].settings.listen.admin;
    let ready = is_ready(admin).await;

    let stream = async {
        within_timeout(reader.read_tokens(20))
            .await
            .expect("tokens come");
        let still = is_ready(admin).await;
        (
            still,
            within_timeout(reader.finish()).await.expect("it is whole"),
        )
    };
    let (_, (still, completion)) =
        join(within_timeout(deployment.entries[0].drain()), stream).await;

    assert!(ready);
    assert!(!still);
    assert_eq!(completion.ids, expected(&request));
    assert!(completion.is_complete());
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_that_drains_cuts_nothing_and_takes_nothing_new() {
    let deployment = start_deployment(small_spec().with_engines(2)).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 300);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens come");
    let leaving = serving_engine(&deployment, &reader);
    let runs = |n: usize| deployment.engines[n].counters().requests.len();
    let before = runs(leaving);

    let stream = async {
        within_timeout(reader.read_tokens(20))
            .await
            .expect("tokens come");
        for seed in 0..10 {
            let other = CompletionRequest::new(ROUTE_LATENCY, "another", 5).with_seed(seed);
            let completion = within_timeout(deployment.caller(1).complete(&other)).await;
            assert_eq!(completion.expect("it is answered").ids, expected(&other));
        }
        within_timeout(reader.finish()).await.expect("it is whole")
    };
    let (_, completion) = join(within_timeout(deployment.agents[leaving].drain()), stream).await;

    assert_eq!(completion.ids, expected(&request));
    assert!(completion.is_complete());
    assert_eq!(runs(leaving), before);
    deployment.stop().await;
}
