//! Tests of generations whose engine, agent, network path or entry fails in the middle of the
//! output.

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

/// A fault of the target in the middle of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The engine is killed, but not its agent.
    Engine,
    /// The agent is killed, but not its engine.
    Agent,
    /// Both are killed.
    Host,
    /// The engine is paused and resumes after [`PAUSE`].
    Pause,
    /// The engine accepts requests but generates nothing.
    Stall,
    /// The open connections to the agent stall without being closed.
    Silence,
}

/// The duration of the engine pause.
const PAUSE: Duration = Duration::from_secs(3);

async fn inject(deployment: &TestDeployment, fault: Fault, target: usize) {
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

/// Runs one generation and injects a fault after it has started.
async fn run(deployment: &TestDeployment, request: &CompletionRequest, fault: Fault) -> Completion {
    let caller = deployment.caller(0);
    if !request.stream {
        let completion = async {
            within_timeout(caller.complete(request))
                .await
                .expect("the completion arrives")
        };
        let injection = async {
            let target = busy_engine(deployment).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            inject(deployment, fault, target).await;
        };
        return futures::future::join(completion, injection).await.0;
    }
    let mut reader = within_timeout(caller.open_stream(request))
        .await
        .expect("the request is accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens arrive");
    inject(deployment, fault, serving_engine(deployment, &reader)).await;
    within_timeout(reader.finish())
        .await
        .expect("the stream continues")
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
        .expect("the request is accepted");
    for tokens in [10, 60] {
        within_timeout(reader.read_tokens(tokens))
            .await
            .expect("tokens arrive");
        deployment.engines[serving_engine(&deployment, &reader)]
            .kill()
            .await;
    }
    let completion = within_timeout(reader.finish())
        .await
        .expect("the stream continues");

    assert_eq!(completion.ids, expected(&request));
    assert!(completion.is_complete());
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_resumes_through_another_entry() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 150);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("the request is accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens arrive");
    let received = reader.completion.clone();

    deployment.entries[0].kill().await;
    drop(reader);
    let last_event_id = received.last_event_id.as_deref().expect("events have ids");
    let resume_request = request.clone().with_header("Last-Event-ID", last_event_id);
    let rest = within_timeout(deployment.caller(1).complete(&resume_request))
        .await
        .expect("the generation resumes");

    let all = [received.ids, rest.ids].concat();
    assert_eq!(all, expected(&request));
    assert_eq!(rest.finish_reason.as_deref(), Some("length"));
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_sends_its_tokens_resumes_although_its_target_is_lost_too() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 150);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("the request is accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens arrive");
    let received = reader.completion.clone();

    deployment
        .kill_host(serving_engine(&deployment, &reader))
        .await;
    deployment.entries[0].kill().await;
    drop(reader);
    let last_event_id = received.last_event_id.as_deref().expect("events have ids");
    let resume_request = request
        .clone()
        .with_header("Last-Event-ID", last_event_id)
        .with_output_so_far(received.ids.clone());
    let rest = within_timeout(deployment.caller(1).complete(&resume_request))
        .await
        .expect("the generation resumes");

    let all = [received.ids, rest.ids].concat();
    assert_eq!(all, expected(&request));
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_cannot_resume_a_generation_of_another_workspace() {
    let deployment = start_deployment(small_spec()).await;
    let request = CompletionRequest::new(ROUTE_LATENCY, "a trip's ledger", 1500);
    let mut reader = within_timeout(deployment.caller(0).open_stream(&request))
        .await
        .expect("the request is accepted");
    within_timeout(reader.read_tokens(10))
        .await
        .expect("tokens arrive");
    let last_event_id = reader
        .completion
        .last_event_id
        .clone()
        .expect("events have ids");

    let mut other = deployment.caller(1);
    other.api_key = cw_testkit::api_key(1);
    let resume_request = request.clone().with_header("Last-Event-ID", &last_event_id);
    let refused = within_timeout(other.complete(&resume_request)).await;

    let error = refused.expect_err("the generation belongs to another workspace");
    let code = error.code().expect("the refusal has a code");
    assert!(["unknown_generation", "generation_lost"].contains(&code));
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_concurrent_requests_get_their_own_output_when_the_second_ends_first() {
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
        .expect("the request is accepted");
    let late = within_timeout(caller.complete(&second))
        .await
        .expect("the completion arrives");
    let early = within_timeout(opened.finish())
        .await
        .expect("the completion arrives");

    assert_eq!(early.ids, expected(&first));
    assert_eq!(late.ids, expected(&second));
    deployment.stop().await;
}
