//! Tests that draining an entry or an agent interrupts no stream.

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
    let response = call_fake(admin, Method::GET, "/readyz", &json!(null)).await;
    response.status.as_u16() == 200
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_entry_interrupts_no_stream() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 300);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("the request is accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens arrive");
    let admin = deployment.entries[0].settings.listen.admin;
    let ready_before = is_ready(admin).await;

    let stream = async {
        within_timeout(reader.read_tokens(20))
            .await
            .expect("tokens arrive");
        let ready_while_draining = is_ready(admin).await;
        (
            ready_while_draining,
            within_timeout(reader.finish())
                .await
                .expect("the stream completes"),
        )
    };
    let (_, (ready_while_draining, completion)) =
        join(within_timeout(deployment.entries[0].drain()), stream).await;

    assert!(ready_before);
    assert!(!ready_while_draining);
    assert_eq!(completion.ids, expected(&request));
    assert!(completion.is_complete());
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_agent_interrupts_no_stream_and_accepts_no_new_work() {
    let deployment = start_deployment(small_spec().with_engines(2)).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 300);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("the request is accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens arrive");
    let draining = serving_engine(&deployment, &reader);
    let runs = |n: usize| deployment.engines[n].counters().requests.len();
    let before = runs(draining);

    let stream = async {
        within_timeout(reader.read_tokens(20))
            .await
            .expect("tokens arrive");
        for seed in 0..10 {
            let other = CompletionRequest::new(ROUTE_LATENCY, "another", 5).with_seed(seed);
            let completion = within_timeout(deployment.caller(1).complete(&other)).await;
            assert_eq!(
                completion.expect("the request completes").ids,
                expected(&other)
            );
        }
        within_timeout(reader.finish())
            .await
            .expect("the stream completes")
    };
    let (_, completion) = join(within_timeout(deployment.agents[draining].drain()), stream).await;

    assert_eq!(completion.ids, expected(&request));
    assert!(completion.is_complete());
    assert_eq!(runs(draining), before);
    deployment.stop().await;
}
