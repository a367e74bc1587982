//! The time from an acceptance until its revision is in force on every entry.

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

use super::calls::Place;

/// The entries.
const ENTRIES: usize = 24;

/// The acceptances of each case.
const ACCEPTED: usize = 40;

/// How long entries get to find each other.
const SETTLING: Duration = Duration::from_secs(8);

/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(1);

/// How long calls take in the slow case, besides their own time.
const SLOW: Duration = Duration::from_millis(200);

/// The times of one case.
#[derive(Debug, Serialize)]
pub(super) struct InForceTimes {
    case: &'static str,
    entries: usize,
    changes: usize,
    /// From the call that accepts until every entry has it.
    p50_ms: u128,
    max_ms: u128,
}

/// Measures every case.
pub(super) async fn measure() -> Vec<InForceTimes> {
    let place = Place::start(ENTRIES).await;
    tokio::time::sleep(SETTLING).await;
    let none = EtcdFaults::default;
    let cases = [
        ("healthy", none()),
        (
            "answers 200 ms slower",
            EtcdFaults {
                delay: SLOW,
                ..none()
            },
        ),
        (
            "the acceptance's answer lost",
            EtcdFaults {
                lost_responses: 2,
                ..none()
            },
        ),
        (
            "all watches silent",
            EtcdFaults {
                silent_watches: true,
                ..none()
            },
        ),
    ];
    let mut found = Vec::new();
    for (case, faults) in cases {
        found.push(measure_case(&place, case, &faults).await);
    }
    found
}

async fn measure_case(place: &Place, case: &'static str, faults: &EtcdFaults) -> InForceTimes {
    let mut times = Vec::new();
    for n in 0..ACCEPTED {
        let before = place.controls[0].view.load().config.revision;
        let id = format!("change-{}-{n}", before.0);
        place.key_value.set_faults(EtcdFaults::default());
        let proposal = ProposeMessage {
            id: id.clone(),
            reason: String::new(),
            edits: vec![edit(n)],
        };
        call(place, n, "/v1/proposals", &proposal).await;
        place.key_value.set_faults(faults.clone());
        let start = Instant::now();
        call(place, n, &format!("/v1/proposals/{id}/accept"), &()).await;
        let everywhere = || {
            let revision = |control: &cyclamenwharf::Control| control.view.load().config.revision;
            place.controls.iter().all(|c| revision(c) > before)
        };
        while !everywhere() {
            tokio::time::sleep(LOOK).await;
        }
        times.push(start.elapsed().as_millis());
    }
    place.key_value.set_faults(EtcdFaults::default());
    times.sort_unstable();
    InForceTimes {
        case,
        entries: ENTRIES,
        changes: ACCEPTED,
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

async fn call<M: Serialize>(place: &Place, n: usize, path: &str, message: &M) {
    let admin = place.controls[n % ENTRIES].admin;
    let body = serde_json::to_vec(message).expect("JSON");
    let request = Request::post(format!("http://{admin}{path}"))
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {}", Place::SECRET))
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.expect("an answer");
    assert!(response.status().is_success(), "{}", response.status());
}
