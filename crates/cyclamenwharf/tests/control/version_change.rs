//! Tests a change of the model version under load, through the admin API and the planner.

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

use crate::admin_client::AdminClient;
use crate::admin_client::put_record;

/// The number of callers that send requests continuously.
const CALLERS: u64 = 4;

/// The number of tokens in each answer.
const TOKENS: u64 = 30;

/// The limit after which the change counts as hung, far above what it takes.
const HANG_TIMEOUT: Duration = Duration::from_secs(90);

/// Sends requests until `stop`, and checks that each answer is complete and from one version.
async fn send_until_stopped(
    rig: Arc<TestDeployment>,
    number: u64,
    stop: Arc<AtomicBool>,
    counts: Arc<[AtomicUsize; 2]>,
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
        counts[index].fetch_add(1, Ordering::SeqCst);
    }
}

/// Returns how many targets have loaded a version, according to the admin API.
async fn count_holders(operator: &AdminClient, version: &str) -> usize {
    let status = operator.status().await;
    let holds = |target: &&cyclamenwharf::admin::TargetMessage| {
        let versions = target.versions.get(MODEL);
        versions.is_some_and(|versions| versions.iter().any(|held| held == version))
    };
    status.targets.iter().filter(holds).count()
}

async fn apply_change(operator: &AdminClient, id: &str, edits: Vec<EditMessage>) {
    operator.propose(id, edits).await.expect("a proposal");
    operator.accept(id).await.expect("an acceptance");
}

fn put_route(name: &str, recovery: &str) -> EditMessage {
    let to = json!({ "model": { "model": MODEL, "version": "v2", "adapter": null } });
    let body = json!({ "to": to, "priority": "normal", "recovery": recovery });
    put_record("route", name, body)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_change_under_load_has_no_error_and_no_mixed_answer() {
    let rig = Arc::new(
        TestDeployment::start(DeploymentSpec::default())
            .await
            .expect("a deployment"),
    );
    let settings = &rig.entries[0].settings;
    let operator = AdminClient::new(settings.listen.admin, &settings.secrets.peers[0]);
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let load: Vec<_> = (0..CALLERS)
        .map(|n| send_until_stopped(rig.clone(), n, Arc::clone(&stop), Arc::clone(&counts)))
        .map(tokio::spawn)
        .collect();
    let engines = rig.engines.len();

    let change = async {
        let version = json!({
            "model": MODEL, "version": "v2", "weights": "settlement-v1", "targets": engines,
        });
        let load = put_record("model_version", "settlement-v2", version);
        apply_change(&operator, "load-v2", vec![load]).await;
        while count_holders(&operator, "v2").await < engines {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let edits = vec![
            put_route(ROUTE_LATENCY, "latency"),
            put_route(ROUTE_THRIFT, "thrift"),
        ];
        apply_change(&operator, "to-v2", edits).await;
        let removal = EditMessage::Remove("model_version/settlement-v1".to_owned());
        let mut outcome = operator.propose("drop-v1", vec![removal]).await.map(drop);
        while outcome.is_ok() && operator.accept("drop-v1").await.is_err() {
            // The removal is refused while generations are pinned to the version.
            tokio::time::sleep(Duration::from_millis(50)).await;
            outcome = Ok(());
        }
        while count_holders(&operator, "v1").await > 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let done = tokio::time::timeout(HANG_TIMEOUT, change).await;
    stop.store(true, Ordering::SeqCst);
    for task in load {
        task.await.expect("every answer is complete");
    }

    assert!(done.is_ok(), "the change did not end");
    let counts: &[AtomicUsize; 2] = &counts;
    println!("answers by version: {counts:?}");
    assert!(counts.iter().all(|count| count.load(Ordering::SeqCst) > 0));
    rig.stop().await;
}
