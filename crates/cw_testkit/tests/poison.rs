//! Tests that a prompt which crashes every engine that runs it is refused after a bounded number
//! of crashes, and that other requests are not refused.

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

/// The maximum number of engine crashes that one call may cause.
const MAX_CRASHES_PER_CALL: u64 = 2;
/// The maximum number of engine crashes that all repeats may cause together, through any entry.
const MAX_CRASHES_IN_TOTAL: u64 = 3;
/// The number of streams that run at the same time as the crashing prompt.
const BYSTANDERS: u64 = 32;

fn crashes(deployment: &TestDeployment) -> u64 {
    let crashes = deployment
        .engines
        .iter()
        .map(|engine| engine.counters().crashes);
    crashes.sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_prompt_is_refused_at_the_bound_and_other_requests_are_not() {
    let deployment = start_deployment(small_spec().with_engines(8)).await;
    let bystander =
        |seed| CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 400).with_seed(seed);
    let bystanders: Vec<_> = (0..BYSTANDERS)
        .map(|seed| {
            let caller = deployment
                .caller(usize::try_from(seed % 2).expect("an entry index fits into usize"));
            tokio::spawn(async move { caller.complete(&bystander(seed)).await })
        })
        .collect();
    let poison = CompletionRequest::new(ROUTE_LATENCY, POISON, 20);

    let first = within_timeout(deployment.caller(0).complete(&poison)).await;
    let crashes_of_first = crashes(&deployment);
    for entry in [1, 0, 1, 0] {
        let refused = within_timeout(deployment.caller(entry).complete(&poison)).await;
        assert!(!refused.is_ok_and(|completion| completion.is_complete()));
    }
    let total_crashes = crashes(&deployment);

    assert!(!first.is_ok_and(|completion| completion.is_complete()));
    assert!(
        crashes_of_first <= MAX_CRASHES_PER_CALL,
        "{crashes_of_first}"
    );
    assert!(total_crashes <= MAX_CRASHES_IN_TOTAL, "{total_crashes}");
    for (seed, stream) in (0..).zip(bystanders) {
        let completion = within_timeout(stream)
            .await
            .expect("the task does not panic")
            .expect("the request is not refused");
        assert_eq!(completion.ids, expected(&bystander(seed)));
    }
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prompt_whose_engine_is_killed_twice_is_not_refused() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 150);

    for entry in [0, 1] {
        let mut reader = within_timeout(deployment.caller(entry).open_stream(&request))
            .await
            .expect("the request is accepted");
        within_timeout(reader.read_tokens(40))
            .await
            .expect("tokens arrive");
        deployment.engines[serving_engine(&deployment, &reader)]
            .kill()
            .await;
        let completion = within_timeout(reader.finish())
            .await
            .expect("the stream continues");

        assert_eq!(completion.error, None);
        assert_eq!(completion.ids, expected(&request));
    }
    deployment.stop().await;
}
