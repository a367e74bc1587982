//! A rolling restart of every process under load.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cw_testkit::CompletionRequest;
use cw_testkit::DeploymentSpec;
use cw_testkit::MODEL;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::TestDeployment;
use cw_testkit::VERSION;

use crate::admin::Operator;

/// The callers that ask all the time.
const CALLERS: u64 = 4;

/// The tokens of each answer.
const TOKENS: u64 = 40;

/// How long an old and a new process run side by side before the next is restarted.
const PAUSE: Duration = Duration::from_millis(1500);

/// A hang guard, far above what the restart takes.
const GUARD: Duration = Duration::from_secs(120);

/// Asks until `stop` through the entry that the balancer would choose.
async fn ask_until(
    rig: Arc<TestDeployment>,
    number: u64,
    stop: Arc<AtomicBool>,
    balancer: Arc<AtomicUsize>,
) -> usize {
    let mut answers = 0;
    while !stop.load(Ordering::SeqCst) {
        answers += 1;
        let seed = number * 1_000_000 + answers as u64;
        let ask = CompletionRequest::new(ROUTE_LATENCY, "a digest", TOKENS).with_seed(seed);
        let entry = balancer.load(Ordering::SeqCst);
        let mut outcome = rig.caller(entry).complete(&ask).await;
        if outcome
            .as_ref()
            .is_err_and(|e| e.code() == Some("not_ready"))
        {
            // The balancer had not seen yet that the entry is not ready, and sends it on.
            let other = (entry + 1) % rig.entries.len();
            outcome = rig.caller(other).complete(&ask).await;
        }
        let answer = outcome.expect("no request is refused");
        assert!(answer.is_complete(), "cut: {answer:?}");
        assert_eq!(answer.ids, ask.expected(MODEL, VERSION), "lost or doubled");
    }
    answers
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_of_every_process_cuts_loses_and_doubles_nothing() {
    let rig = Arc::new(
        TestDeployment::start(DeploymentSpec::default())
            .await
            .expect("a deployment"),
    );
    let (stop, balancer) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let load: Vec<_> = (0..CALLERS)
        .map(|n| ask_until(rig.clone(), n, Arc::clone(&stop), Arc::clone(&balancer)))
        .map(tokio::spawn)
        .collect();

    let work = async {
        for agent in rig.agents.iter().chain(&rig.service_agents) {
            agent.drain().await;
            agent.restart().await.expect("the ports are free");
            tokio::time::sleep(PAUSE).await;
        }
        for (index, entry) in rig.entries.iter().enumerate() {
            balancer.store((index + 1) % rig.entries.len(), Ordering::SeqCst);
            entry.drain().await;
            entry.restart().await.expect("the ports are free");
            let settings = &entry.settings;
            let operator = Operator::new(settings.listen.admin, &settings.secrets.peers[0]);
            let mut alive = 0;
            while alive < rig.engines.len() {
                tokio::time::sleep(Duration::from_millis(50)).await;
                let status = operator.status().await;
                let targets = status.targets.iter();
                alive = targets
                    .filter(|t| t.liveness == "alive" && !t.versions.is_empty())
                    .count();
            }
        }
    };
    let done = tokio::time::timeout(GUARD, work).await;
    stop.store(true, Ordering::SeqCst);
    let mut answers = 0;
    for one in load {
        answers += one.await.expect("every answer is whole and right");
    }

    assert!(done.is_ok(), "the restart did not end");
    println!("answers: {answers}");
    assert!(answers > 0);
    rig.stop().await;
}
