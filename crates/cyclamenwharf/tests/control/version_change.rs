//! A change of version under load, through the operators' interface and the planner.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cw_testkit::CompletionRequest;
use cw_testkit::DeploymentSpec;
use cw_testkit::MODEL;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::ROUTE_THRIFT;
use cw_testkit::TestDeployment;
use cyclamenwharf::admin::EditMessage;
use serde_json::json;

use crate::admin::Operator;
use crate::admin::put;

/// The callers that ask all the time.
const CALLERS: u64 = 4;

/// The tokens of each answer.
const TOKENS: u64 = 30;

/// A hang guard, far above what the change takes.
const GUARD: Duration = Duration::from_secs(90);

/// Asks until `stop`, and checks that each answer is whole and of one version.
async fn ask_until(
    rig: Arc<TestDeployment>,
    number: u64,
    stop: Arc<AtomicBool>,
    seen: Arc<[AtomicUsize; 2]>,
) {
    let caller = rig.caller(number as usize % 2);
    let mut seed = number * 1_000_000;
    while !stop.load(Ordering::SeqCst) {
        seed += 1;
        let ask = CompletionRequest::new(ROUTE_LATENCY, "a settlement", TOKENS).with_seed(seed);
        let answer = caller
            .complete(&ask)
            .await
            .expect("no error in a planned change");
        assert!(answer.is_complete(), "{answer:?}");
        let versions = ["v1", "v2"].map(|version| ask.expected(MODEL, version));
        let index = versions.iter().position(|ids| *ids == answer.ids);
        let index = index.expect("the tokens of one version");
        seen[index].fetch_add(1, Ordering::SeqCst);
    }
}

/// The targets that hold a version, as operators see it.
async fn holders(operator: &Operator, version: &str) -> usize {
    let status = operator.status().await;
    let holds = |target: &&cyclamenwharf::admin::TargetMessage| {
        let versions = target.versions.get(MODEL);
        versions.is_some_and(|versions| versions.iter().any(|held| held == version))
    };
    status.targets.iter().filter(holds).count()
}

async fn change(operator: &Operator, id: &str, edits: Vec<EditMessage>) {
    operator.propose(id, edits).await.expect("a proposal");
    operator.accept(id).await.expect("an acceptance");
}

fn route(name: &str, recovery: &str) -> EditMessage {
    let to = json!({ "model": { "model": MODEL, "version": "v2", "adapter": null } });
    let body = json!({ "to": to, "priority": "normal", "recovery": recovery });
    put("route", name, body)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_change_under_load_has_no_error_and_no_mixed_answer() {
    let rig = Arc::new(
        TestDeployment::start(DeploymentSpec::default())
            .await
            .expect("a deployment"),
    );
    let settings = &rig.entries[0].settings;
    let operator = Operator::new(settings.listen.admin, &settings.secrets.peers[0]);
    let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let load: Vec<_> = (0..CALLERS)
        .map(|n| ask_until(rig.clone(), n, Arc::clone(&stop), Arc::clone(&seen)))
        .map(tokio::spawn)
        .collect();
    let engines = rig.engines.len();

    let work = async {
        let version = json!({
            "model": MODEL, "version": "v2", "weights": "settlement-v1", "targets": engines,
        });
        let load = put("model_version", "settlement-v2", version);
        change(&operator, "load-v2", vec![load]).await;
        while holders(&operator, "v2").await < engines {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let edits = vec![
            route(ROUTE_LATENCY, "latency"),
            route(ROUTE_THRIFT, "thrift"),
        ];
        change(&operator, "to-v2", edits).await;
        let removal = EditMessage::Remove("model_version/settlement-v1".to_owned());
        let mut outcome = operator.propose("drop-v1", vec![removal]).await.map(drop);
        while outcome.is_ok() && operator.accept("drop-v1").await.is_err() {
            // Refused while generations are still pinned to it.
            tokio::time::sleep(Duration::from_millis(50)).await;
            outcome = Ok(());
        }
        while holders(&operator, "v1").await > 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let done = tokio::time::timeout(GUARD, work).await;
    stop.store(true, Ordering::SeqCst);
    for one in load {
        one.await.expect("every answer is whole");
    }

    assert!(done.is_ok(), "the change did not end");
    let seen: &[AtomicUsize; 2] = &seen;
    println!("answers by version: {seen:?}");
    assert!(seen.iter().all(|count| count.load(Ordering::SeqCst) > 0));
    rig.stop().await;
}
