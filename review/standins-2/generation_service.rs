//! A service of model engines, whose streams name the parts of their prompts.

use std::time::Duration;

use crate::client::Outcome;
use crate::client::Request;
use crate::engine::Plan;

pub const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-gen","host":"app.example","pathPrefix":"/gen/","routeKind":"streaming","timeoutMs":20000,"latencyTargetMs":4500,"priority":1,"service":"llm","maxAttempts":5,"anonymous":false,"sticky":true,"resumable":true,"gapTargetMs":700},{"name":"r-once","host":"app.example","pathPrefix":"/once/","routeKind":"streaming","timeoutMs":20000,"latencyTargetMs":4500,"priority":1,"service":"llm","maxAttempts":1,"anonymous":false,"sticky":true,"resumable":false,"gapTargetMs":700}],"services":[{"name":"llm","healthPath":"/healthz","maxConns":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":88000,"kvBytes":18432,"linkMbps":180000.0,"moves":false,"backups":false,"stride":8,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":4.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1}]}"#;

pub fn engine_plan(number: usize, poison: Option<&str>) -> Plan {
    Plan {
        id: format!("i-{number}"),
        service: "llm".to_owned(),
        zone: "zone-a".to_owned(),
        version: "v1".to_owned(),
        slots: 12,
        queue: 36,
        work: Duration::from_millis(300),
        events: 20,
        pause: Duration::from_millis(50),
        poison: poison.map(|part| (part.to_owned(), Duration::from_secs(2))),
        spoiled: 0.0,
    }
}

/// A stream of the route with this prefix. That of `/gen/` may be resumed, that of `/once/` may run once only.
pub fn stream(prefix: &str, id: String, parts: &str) -> Request {
    Request {
        method: "POST",
        path: format!("{prefix}2f"),
        headers: vec![
            ("Authorization", "Token key-a".to_owned()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Usage", "400,40".to_owned()),
            ("X-Prefix-Hash", format!("{parts},{id}:100")),
        ],
        body: format!("prompt of {id}"),
        deadline: Duration::from_millis(20000),
        id,
    }
}

/// Returns the ids of the events that a caller got, in their order.
pub fn event_ids(outcome: &Outcome) -> Vec<u64> {
    let text = String::from_utf8_lossy(&outcome.body).into_owned();
    let lines = text.lines();
    lines
        .filter_map(|line| line.strip_prefix("id: "))
        .filter_map(|id| id.parse().ok())
        .collect()
}
