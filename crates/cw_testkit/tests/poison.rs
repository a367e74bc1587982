//! A request that crashes each engine that runs it.

mod common;

use common::expected;
use common::rig;
use common::small;
use common::soon;
use cw_testkit::Ask;
use cw_testkit::POISON;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::Rig;

/// The most engines that one call may kill.
const KILLED_BY_CALL: u64 = 2;
/// The most engines that all repeats may kill, through any entry.
const KILLED_BY_ALL: u64 = 3;
/// The streams that run beside it.
const BYSTANDERS: u64 = 32;

fn crashes(rig: &Rig) -> u64 {
    let crashes = rig.engines.iter().map(|engine| engine.counters().crashes);
    crashes.sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn it_is_refused_at_the_bound_and_nobody_else_is() {
    let rig = rig(small().with_engines(8)).await;
    let bystander = |seed| Ask::new(ROUTE_LATENCY, "a trip's ledger", 400).with_seed(seed);
    let bystanders: Vec<_> = (0..BYSTANDERS)
        .map(|seed| {
            let caller = rig.caller(usize::try_from(seed % 2).expect("small"));
            tokio::spawn(async move { caller.ask(&bystander(seed)).await })
        })
        .collect();
    let poison = Ask::new(ROUTE_LATENCY, POISON, 20);

    let first = soon(rig.caller(0).ask(&poison)).await;
    let killed_first = crashes(&rig);
    for entry in [1, 0, 1, 0] {
        let refused = soon(rig.caller(entry).ask(&poison)).await;
        assert!(!refused.is_ok_and(|answer| answer.is_whole()));
    }
    let killed = crashes(&rig);

    assert!(!first.is_ok_and(|answer| answer.is_whole()));
    assert!(killed_first <= KILLED_BY_CALL, "{killed_first}");
    assert!(killed <= KILLED_BY_ALL, "{killed}");
    for (seed, stream) in (0..).zip(bystanders) {
        let answer = soon(stream).await.expect("no panic").expect("not refused");
        assert_eq!(answer.ids, expected(&bystander(seed)));
    }
    rig.stop().await;
}
