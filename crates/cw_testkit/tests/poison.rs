//! A request that crashes each engine that runs it.

mod common;

use common::expected;
use common::serving_engine;
use common::small_spec;
use common::start_deployment;
use common::within_timeout;
use cw_testkit::CompletionRequest;
use cw_testkit::POISON;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::TestDeployment;

/// The most engines that one call may kill.
const KILLED_BY_CALL: u64 = 2;
/// The most engines that all repeats may kill, through any entry.
const KILLED_BY_ALL: u64 = 3;
/// The streams that run beside it.
const BYSTANDERS: u64 = 32;

fn crashes(deployment: &TestDeployment) -> u64 {
    let crashes = deployment
        .engines
        .iter()
        .map(|engine| engine.counters().crashes);
    crashes.sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn it_is_refused_at_the_bound_and_nobody_else_is() {
    let deployment = start_deployment(small_spec().with_engines(8)).await;
    let bystander =
        |seed| CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 400).with_seed(seed);
    let bystanders: Vec<_> = (0..BYSTANDERS)
        .map(|seed| {
            let caller = deployment.caller(usize::try_from(seed % 2).expect("small"));
            tokio::spawn(async move { caller.complete(&bystander(seed)).await })
        })
        .collect();
    let poison = CompletionRequest::new(ROUTE_LATENCY, POISON, 20);

    let first = within_timeout(deployment.caller(0).complete(&poison)).await;
    let killed_first = crashes(&deployment);
    for entry in [1, 0, 1, 0] {
        let refused = within_timeout(deployment.caller(entry).complete(&poison)).await;
        assert!(!refused.is_ok_and(|completion| completion.is_complete()));
    }
    let killed = crashes(&deployment);

    assert!(!first.is_ok_and(|completion| completion.is_complete()));
    assert!(killed_first <= KILLED_BY_CALL, "{killed_first}");
    assert!(killed <= KILLED_BY_ALL, "{killed}");
    for (seed, stream) in (0..).zip(bystanders) {
        let completion = within_timeout(stream)
            .await
            .expect("no panic")
            .expect("not refused");
        assert_eq!(completion.ids, expected(&bystander(seed)));
    }
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prompt_that_meets_a_dying_engine_twice_is_not_refused() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 150);

    for entry in [0, 1] {
        let mut reader = within_timeout(deployment.caller(entry).open_stream(&request))
            .await
            .expect("accepted");
        within_timeout(reader.read_tokens(40))
            .await
            .expect("tokens come");
        deployment.engines[serving_engine(&deployment, &reader)]
            .kill()
            .await;
        let completion = within_timeout(reader.finish())
            .await
            .expect("the stream goes on");

        assert_eq!(completion.error, None);
        assert_eq!(completion.ids, expected(&request));
    }
    deployment.stop().await;
}
