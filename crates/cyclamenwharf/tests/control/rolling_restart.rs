//! Tests a rolling restart of every process under load.

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

use crate::admin_client::AdminClient;

/// The number of callers that send requests continuously.
const CALLERS: u64 = 4;

/// The number of tokens in each answer.
const TOKENS: u64 = 40;

/// The pause after the restart of an agent, in which old and new processes run side by side.
const RESTART_PAUSE: Duration = Duration::from_millis(1500);

/// The limit after which the restart counts as hung, far above what it takes.
const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// Sends requests until `stop` to the entry that the load balancer would choose, and returns their
/// number.
async fn send_until_stopped(
    rig: Arc<TestDeployment>,
    number: u64,
    stop: Arc<AtomicBool>,
    available_entry: Arc<AtomicUsize>,
) -> usize {
    let mut answers = 0;
    while !stop.load(Ordering::SeqCst) {
        answers += 1;
        let seed = number * 1_000_000 + answers as u64;
        let ask = CompletionRequest::new(ROUTE_LATENCY, "a digest", TOKENS).with_seed(seed);
        let entry = available_entry.load(Ordering::SeqCst);
        let mut outcome = rig.caller(entry).complete(&ask).await;
        if outcome
            .as_ref()
            .is_err_and(|e| e.code() == Some("not_ready"))
        {
            // The load balancer does not know yet that the entry is not ready, and retries at
            // another.
            let other = (entry + 1) % rig.entries.len();
            outcome = rig.caller(other).complete(&ask).await;
        }
        let answer = outcome.expect("no request is refused");
        assert!(answer.is_complete(), "truncated answer: {answer:?}");
        assert_eq!(
            answer.ids,
            ask.expected(MODEL, VERSION),
            "tokens are lost or repeated"
        );
    }
    answers
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_of_every_process_truncates_loses_and_repeats_nothing() {
    let rig = Arc::new(
        TestDeployment::start(DeploymentSpec::default())
            .await
            .expect("a deployment"),
    );
    let (stop, available_entry) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let load: Vec<_> = (0..CALLERS)
        .map(|n| {
            send_until_stopped(
                rig.clone(),
                n,
                Arc::clone(&stop),
                Arc::clone(&available_entry),
            )
        })
        .map(tokio::spawn)
        .collect();

    let restarts = async {
        for agent in rig.agents.iter().chain(&rig.service_agents) {
            agent.drain().await;
            agent.restart().await.expect("the ports are free");
            tokio::time::sleep(RESTART_PAUSE).await;
        }
        for (index, entry) in rig.entries.iter().enumerate() {
            available_entry.store((index + 1) % rig.entries.len(), Ordering::SeqCst);
            entry.drain().await;
            entry.restart().await.expect("the ports are free");
            let settings = &entry.settings;
            let operator = AdminClient::new(settings.listen.admin, &settings.secrets.peers[0]);
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
    let done = tokio::time::timeout(HANG_TIMEOUT, restarts).await;
    stop.store(true, Ordering::SeqCst);
    let mut answers = 0;
    for task in load {
        answers += task.await.expect("every answer is complete and correct");
    }

    assert!(done.is_ok(), "the restart did not end");
    println!("answers: {answers}");
    assert!(answers > 0);
    rig.stop().await;
}
