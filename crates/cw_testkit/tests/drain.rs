//! Processes that leave.

mod common;

use std::net::SocketAddr;

use common::call;
use common::expected;
use common::rig;
use common::serving;
use common::small;
use common::soon;
use cw_testkit::Ask;
use cw_testkit::ROUTE_LATENCY;
use futures::future::join;
use http::Method;
use serde_json::json;

async fn is_ready(admin: SocketAddr) -> bool {
    let reply = call(admin, Method::GET, "/readyz", &json!(null)).await;
    reply.status.as_u16() == 200
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_drains_cuts_nothing() {
    let rig = rig(small()).await;
    let ask = Ask::new(ROUTE_LATENCY, "a trip's ledger", 300);
    let mut reading = soon(rig.caller(0).open(&ask)).await.expect("accepted");
    soon(reading.read_tokens(10)).await.expect("tokens come");
    let admin = rig.entries[0].settings.listen.admin;
    let ready = is_ready(admin).await;

    let stream = async {
        soon(reading.read_tokens(20)).await.expect("tokens come");
        let still = is_ready(admin).await;
        (still, soon(reading.finish()).await.expect("it is whole"))
    };
    let (_, (still, answer)) = join(soon(rig.entries[0].drain()), stream).await;

    assert!(ready);
    assert!(!still);
    assert_eq!(answer.ids, expected(&ask));
    assert!(answer.is_whole());
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_that_drains_cuts_nothing_and_takes_nothing_new() {
    let rig = rig(small().with_engines(2)).await;
    let ask = Ask::new(ROUTE_LATENCY, "a trip's ledger", 300);
    let mut reading = soon(rig.caller(0).open(&ask)).await.expect("accepted");
    soon(reading.read_tokens(10)).await.expect("tokens come");
    let leaving = serving(&rig, &reading);
    let runs = |n: usize| rig.engines[n].counters().requests.len();
    let before = runs(leaving);

    let stream = async {
        soon(reading.read_tokens(20)).await.expect("tokens come");
        for seed in 0..10 {
            let other = Ask::new(ROUTE_LATENCY, "another", 5).with_seed(seed);
            let answer = soon(rig.caller(1).ask(&other)).await;
            assert_eq!(answer.expect("it is answered").ids, expected(&other));
        }
        soon(reading.finish()).await.expect("it is whole")
    };
    let (_, answer) = join(soon(rig.agents[leaving].drain()), stream).await;

    assert_eq!(answer.ids, expected(&ask));
    assert!(answer.is_whole());
    assert_eq!(runs(leaving), before);
    rig.stop().await;
}
