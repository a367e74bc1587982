//! The time from the acceptance of a configuration change until every entry uses it.

use std::time::Duration;
use std::time::Instant;

use crate::EtcdFaults;
use bytes::Bytes;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::ProposeMessage;
use cyclamenwharf::admin::RecordMessage;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::json;

use super::call_rate::ControlCluster;

/// The number of entries.
const ENTRY_COUNT: usize = 24;

/// The number of changes that are accepted in each case.
const CHANGES: usize = 40;

/// How long entries have to discover each other before the first change.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(8);

/// How often the entries' revisions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The delay that is added to each call in the slow case.
const ADDED_DELAY: Duration = Duration::from_millis(200);

/// The propagation times of one case.
#[derive(Debug, Serialize)]
pub(super) struct PropagationTimes {
    case: &'static str,
    entries: usize,
    changes: usize,
    /// The median time from the accepting call until every entry has the revision.
    p50_ms: u128,
    max_ms: u128,
}

/// Measures every case.
pub(super) async fn measure() -> Vec<PropagationTimes> {
    let cluster = ControlCluster::start(ENTRY_COUNT).await;
    tokio::time::sleep(DISCOVERY_PERIOD).await;
    let no_faults = EtcdFaults::default;
    let cases = [
        ("healthy", no_faults()),
        (
            "answers 200 ms slower",
            EtcdFaults {
                delay: ADDED_DELAY,
                ..no_faults()
            },
        ),
        (
            "the acceptance's answer lost",
            EtcdFaults {
                lost_responses: 2,
                ..no_faults()
            },
        ),
        (
            "all watches silent",
            EtcdFaults {
                silent_watches: true,
                ..no_faults()
            },
        ),
    ];
    let mut rows = Vec::new();
    for (case, faults) in cases {
        rows.push(measure_case(&cluster, case, &faults).await);
    }
    rows
}

async fn measure_case(
    cluster: &ControlCluster,
    case: &'static str,
    faults: &EtcdFaults,
) -> PropagationTimes {
    let mut times = Vec::new();
    for n in 0..CHANGES {
        let before = cluster.controls[0].view.load().config.revision;
        let id = format!("change-{}-{n}", before.0);
        cluster.key_value.set_faults(EtcdFaults::default());
        let proposal = ProposeMessage {
            id: id.clone(),
            reason: String::new(),
            edits: vec![edit(n)],
        };
        post(cluster, n, "/v1/proposals", &proposal).await;
        cluster.key_value.set_faults(faults.clone());
        let start = Instant::now();
        post(cluster, n, &format!("/v1/proposals/{id}/accept"), &()).await;
        let applied_everywhere = || {
            let revision = |control: &cyclamenwharf::Control| control.view.load().config.revision;
            cluster.controls.iter().all(|c| revision(c) > before)
        };
        while !applied_everywhere() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        times.push(start.elapsed().as_millis());
    }
    cluster.key_value.set_faults(EtcdFaults::default());
    times.sort_unstable();
    PropagationTimes {
        case,
        entries: ENTRY_COUNT,
        changes: CHANGES,
        p50_ms: times[times.len() / 2],
        max_ms: times[times.len() - 1],
    }
}

fn edit(n: usize) -> EditMessage {
    EditMessage::Put(RecordMessage {
        kind: "priority".to_owned(),
        name: "p".to_owned(),
        schema: None,
        body: [("rank".to_owned(), json!(n))].into(),
        revision: None,
    })
}

async fn post<M: Serialize>(cluster: &ControlCluster, n: usize, path: &str, message: &M) {
    let admin = cluster.controls[n % ENTRY_COUNT].admin_address;
    let body = serde_json::to_vec(message).expect("a message serializes to JSON");
    let request = Request::post(format!("http://{admin}{path}"))
        .header("content-type", "application/json")
        .header(
            "authorization",
            format!("Bearer {}", ControlCluster::SECRET),
        )
        .body(Full::new(Bytes::from(body)))
        .expect("a valid request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.expect("a response");
    assert!(response.status().is_success(), "{}", response.status());
}
