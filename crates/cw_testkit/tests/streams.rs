//! Generations whose engine, agent, path or entry fails in the middle.

mod common;

use std::time::Duration;

use common::Form;
use common::busy_engine;
use common::expected;
use common::route;
use common::serving_engine;
use common::small_spec;
use common::start_deployment;
use common::within_timeout;
use cw_testkit::Completion;
use cw_testkit::CompletionRequest;
use cw_testkit::EngineFaults;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::TestDeployment;
use cw_types::Recovery;
use rstest::rstest;

/// What happens to the target in the middle of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The engine is killed under its agent.
    Engine,
    /// The agent is killed beside its engine.
    Agent,
    /// Both are killed.
    Host,
    /// The engine is paused and wakes again.
    Pause,
    /// The engine takes requests and produces nothing.
    Stall,
    /// The path to the agent loses track of its connections.
    Silence,
}

/// How long a paused engine stays so.
const PAUSE: Duration = Duration::from_secs(3);

async fn cause(deployment: &TestDeployment, fault: Fault, target: usize) {
    let engine = &deployment.engines[target];
    match fault {
        Fault::Engine => engine.kill().await,
        Fault::Agent => deployment.agents[target].kill().await,
        Fault::Host => deployment.kill_host(target).await,
        Fault::Pause => {
            engine.pause();
            let engine = engine.clone();
            tokio::spawn(async move {
                tokio::time::sleep(PAUSE).await;
                engine.resume();
            });
        }
        Fault::Stall => engine.set_faults(EngineFaults {
            stalled: true,
            ..EngineFaults::default()
        }),
        Fault::Silence => deployment.forwarders[target].stall_connections(),
    }
}

/// Runs one generation, with a fault once it has begun.
async fn run(deployment: &TestDeployment, request: &CompletionRequest, fault: Fault) -> Completion {
    let caller = deployment.caller(0);
    if !request.stream {
        let completion = async {
            within_timeout(caller.complete(request))
                .await
                .expect("the answer comes")
        };
        let faulty = async {
            let target = busy_engine(deployment).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            cause(deployment, fault, target).await;
        };
        return futures::future::join(completion, faulty).await.0;
    }
    let mut reader = within_timeout(caller.open_stream(request))
        .await
        .expect("it is accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens come");
    cause(deployment, fault, serving_engine(deployment, &reader)).await;
    within_timeout(reader.finish())
        .await
        .expect("the stream goes on")
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_token_is_missing_or_repeated_after(
    #[values(
        Fault::Engine,
        Fault::Agent,
        Fault::Host,
        Fault::Pause,
        Fault::Stall,
        Fault::Silence
    )]
    fault: Fault,
    #[values(Recovery::Latency, Recovery::Thrift)] recovery: Recovery,
    #[values(Form::Stream, Form::Whole)] form: Form,
) {
    let deployment = start_deployment(small_spec().with_forwarders()).await;
    let mut request = CompletionRequest::new(route(recovery), "a trip's ledger", 150);
    request.stream = form == Form::Stream;

    let completion = run(&deployment, &request, fault).await;

    assert_eq!(completion.error, None);
    assert_eq!(completion.ids, expected(&request));
    assert_eq!(completion.finish_reason.as_deref(), Some("length"));
    assert!(completion.closed);
    deployment.stop().await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_outlives_two_engines(
    #[values(Recovery::Latency, Recovery::Thrift)] recovery: Recovery,
) {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(route(recovery), "a trip's ledger", 150);

    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("accepted");
    for tokens in [10, 60] {
        within_timeout(reader.read_tokens(tokens))
            .await
            .expect("tokens come");
        deployment.engines[serving_engine(&deployment, &reader)]
            .kill()
            .await;
    }
    let completion = within_timeout(reader.finish())
        .await
        .expect("the stream goes on");

    assert_eq!(completion.ids, expected(&request));
    assert!(completion.is_complete());
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_comes_back_through_another_entry() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 150);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens come");
    let held = reader.completion.clone();

    deployment.entries[0].kill().await;
    drop(reader);
    let last = held.last_event_id.as_deref().expect("events have ids");
    let again = request.clone().with_header("Last-Event-ID", last);
    let rest = within_timeout(deployment.caller(1).complete(&again))
        .await
        .expect("it goes on");

    let all = [held.ids, rest.ids].concat();
    assert_eq!(all, expected(&request));
    assert_eq!(rest.finish_reason.as_deref(), Some("length"));
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_holds_its_tokens_comes_back_when_its_target_is_gone_too() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 150);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens come");
    let held = reader.completion.clone();

    deployment
        .kill_host(serving_engine(&deployment, &reader))
        .await;
    deployment.entries[0].kill().await;
    drop(reader);
    let last = held.last_event_id.as_deref().expect("events have ids");
    let again = request
        .clone()
        .with_header("Last-Event-ID", last)
        .with_output_so_far(held.ids.clone());
    let rest = within_timeout(deployment.caller(1).complete(&again))
        .await
        .expect("it goes on");

    let all = [held.ids, rest.ids].concat();
    assert_eq!(all, expected(&request));
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_caller_comes_back_to_a_generation_of_another_workspace() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 1500);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens come");
    let last = reader
        .completion
        .last_event_id
        .clone()
        .expect("events have ids");

    let mut other = deployment.caller(1);
    other.api_key = cw_testkit::api_key(1);
    let again = request.clone().with_header("Last-Event-ID", &last);
    let refused = within_timeout(other.complete(&again)).await;

    let error = refused.expect_err("it is another workspace's");
    let code = error.code().expect("the refusal has a code");
    assert!(["unknown_generation", "generation_lost"].contains(&code));
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_equal_requests_get_an_answer_each_when_the_second_ends_first() {
    let deployment = start_deployment(small_spec().with_engines(1)).await;
    deployment.engines[0].set_faults(EngineFaults {
        reversed: true,
        ..EngineFaults::default()
    });
    let first = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 60).with_seed(1);
    let second = first.clone().with_seed(2);

    let caller = deployment.caller(0);
    let opened = within_timeout(caller.open_stream(&first))
        .await
        .expect("accepted");
    let late = within_timeout(caller.complete(&second))
        .await
        .expect("the answer comes");
    let early = within_timeout(opened.finish())
        .await
        .expect("the answer comes");

    assert_eq!(early.ids, expected(&first));
    assert_eq!(late.ids, expected(&second));
    deployment.stop().await;
}
