//! Generations whose engine, agent, path or entry fails in the middle.

mod common;

use std::time::Duration;

use common::Form;
use common::busy;
use common::expected;
use common::rig;
use common::route;
use common::serving;
use common::small;
use common::soon;
use cw_testkit::Answer;
use cw_testkit::Ask;
use cw_testkit::EngineFaults;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::Rig;
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

async fn cause(rig: &Rig, fault: Fault, target: usize) {
    let engine = &rig.engines[target];
    match fault {
        Fault::Engine => engine.kill().await,
        Fault::Agent => rig.agents[target].kill().await,
        Fault::Host => rig.kill_host(target).await,
        Fault::Pause => {
            engine.pause();
            let engine = engine.clone();
            tokio::spawn(async move {
                tokio::time::sleep(PAUSE).await;
                engine.wake();
            });
        }
        Fault::Stall => engine.set_faults(EngineFaults {
            stalled: true,
            ..EngineFaults::default()
        }),
        Fault::Silence => rig.forwarders[target].silence(),
    }
}

/// Runs one generation, with a fault once it has begun.
async fn run(rig: &Rig, ask: &Ask, fault: Fault) -> Answer {
    let caller = rig.caller(0);
    if !ask.stream {
        let answer = async { soon(caller.ask(ask)).await.expect("the answer comes") };
        let faulty = async {
            let target = busy(rig).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            cause(rig, fault, target).await;
        };
        return futures::future::join(answer, faulty).await.0;
    }
    let mut reading = soon(caller.open(ask)).await.expect("it is accepted");
    soon(reading.read_tokens(10)).await.expect("tokens come");
    cause(rig, fault, serving(rig, &reading)).await;
    soon(reading.finish()).await.expect("the stream goes on")
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
    let rig = rig(small().with_forwarders()).await;
    let mut ask = Ask::new(route(recovery), "a trip's ledger", 150);
    ask.stream = form == Form::Stream;

    let answer = run(&rig, &ask, fault).await;

    assert_eq!(answer.error, None);
    assert_eq!(answer.ids, expected(&ask));
    assert_eq!(answer.finish.as_deref(), Some("length"));
    assert!(answer.closed);
    rig.stop().await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_outlives_two_engines(
    #[values(Recovery::Latency, Recovery::Thrift)] recovery: Recovery,
) {
    let rig = rig(small()).await;
    let ask = Ask::new(route(recovery), "a trip's ledger", 150);

    let mut reading = soon(rig.caller(0).open(&ask)).await.expect("accepted");
    for tokens in [10, 60] {
        soon(reading.read_tokens(tokens))
            .await
            .expect("tokens come");
        rig.engines[serving(&rig, &reading)].kill().await;
    }
    let answer = soon(reading.finish()).await.expect("the stream goes on");

    assert_eq!(answer.ids, expected(&ask));
    assert!(answer.is_whole());
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_comes_back_through_another_entry() {
    let rig = rig(small()).await;
    let ask = Ask::new(ROUTE_LATENCY, "a trip's ledger", 150);
    let mut reading = soon(rig.caller(0).open(&ask)).await.expect("accepted");
    soon(reading.read_tokens(10)).await.expect("tokens come");
    let held = reading.answer.clone();

    rig.entries[0].kill().await;
    drop(reading);
    let last = held.last_id.as_deref().expect("events have ids");
    let again = ask.clone().with_header("Last-Event-ID", last);
    let rest = soon(rig.caller(1).ask(&again)).await.expect("it goes on");

    let all = [held.ids, rest.ids].concat();
    assert_eq!(all, expected(&ask));
    assert_eq!(rest.finish.as_deref(), Some("length"));
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_holds_its_tokens_comes_back_when_its_target_is_gone_too() {
    let rig = rig(small()).await;
    let ask = Ask::new(ROUTE_LATENCY, "a trip's ledger", 150);
    let mut reading = soon(rig.caller(0).open(&ask)).await.expect("accepted");
    soon(reading.read_tokens(10)).await.expect("tokens come");
    let held = reading.answer.clone();

    rig.kill_host(serving(&rig, &reading)).await;
    rig.entries[0].kill().await;
    drop(reading);
    let last = held.last_id.as_deref().expect("events have ids");
    let again = ask
        .clone()
        .with_header("Last-Event-ID", last)
        .with_so_far(held.ids.clone());
    let rest = soon(rig.caller(1).ask(&again)).await.expect("it goes on");

    let all = [held.ids, rest.ids].concat();
    assert_eq!(all, expected(&ask));
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_caller_comes_back_to_a_generation_of_another_workspace() {
    let rig = rig(small()).await;
    let ask = Ask::new(ROUTE_LATENCY, "a trip's ledger", 1500);
    let mut reading = soon(rig.caller(0).open(&ask)).await.expect("accepted");
    soon(reading.read_tokens(10)).await.expect("tokens come");
    let last = reading.answer.last_id.clone().expect("events have ids");

    let mut other = rig.caller(1);
    other.key = cw_testkit::api_key(1);
    let again = ask.clone().with_header("Last-Event-ID", &last);
    let refused = soon(other.ask(&again)).await;

    let error = refused.expect_err("it is another workspace's");
    let code = error.code().expect("the refusal has a code");
    assert!(["unknown_generation", "generation_lost"].contains(&code));
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_equal_requests_get_an_answer_each_when_the_second_ends_first() {
    let rig = rig(small().with_engines(1)).await;
    rig.engines[0].set_faults(EngineFaults {
        reversed: true,
        ..EngineFaults::default()
    });
    let first = Ask::new(ROUTE_LATENCY, "a trip's ledger", 60).with_seed(1);
    let second = first.clone().with_seed(2);

    let caller = rig.caller(0);
    let opened = soon(caller.open(&first)).await.expect("accepted");
    let late = soon(caller.ask(&second)).await.expect("the answer comes");
    let early = soon(opened.finish()).await.expect("the answer comes");

    assert_eq!(early.ids, expected(&first));
    assert_eq!(late.ids, expected(&second));
    rig.stop().await;
}
