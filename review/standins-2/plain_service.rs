//! A plain service whose requests can't be repeated, and the rule for engines that say that they are leaving.

use std::time::Duration;

use crate::client::Outcome;
use crate::client::Request;
use crate::engine::Arrivals;
use crate::engine::Plan;
use crate::world::Verdict;
use crate::world::World;

/// The bound of the rule.
const DRAIN: Duration = Duration::from_millis(2000);

pub const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-work","host":"app.example","pathPrefix":"/work/","routeKind":"non_idempotent","timeoutMs":4000,"latencyTargetMs":1000,"priority":1,"service":"app","maxAttempts":1,"anonymous":true}],"services":[{"name":"app","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

pub fn plan(id: &str) -> Plan {
    Plan {
        id: id.to_owned(),
        service: "app".to_owned(),
        zone: "zone-a".to_owned(),
        version: "v1".to_owned(),
        slots: 32,
        queue: 32,
        work: Duration::from_millis(500),
        events: 0,
        pause: Duration::ZERO,
        poison: None,
        spoiled: 0.0,
    }
}

pub fn request(number: usize) -> Request {
    Request {
        id: format!("{number:08x}"),
        method: "POST",
        path: "/work/2f".to_owned(),
        headers: Vec::new(),
        body: format!("order {number}"),
        deadline: Duration::from_millis(4000),
    }
}

/// Judges the rule for the answers with `Server-Leaving` that each machine has passed on.
pub fn judge(
    world: &World,
    outcomes: &[(usize, Outcome)],
    arrivals: &Arrivals,
    leaver: &str,
) -> Verdict {
    let mut broken = Vec::new();
    let mut lost = 0;
    let mut bound = 0;
    for entry in 0..world.entries.len() {
        let own = || outcomes.iter().filter(|(number, _)| *number == entry);
        let told = own().filter(|(_, outcome)| {
            let head = outcome.head.as_ref();
            head.is_some_and(|head| head.header("Server-Leaving") == Some("1"))
        });
        let Some(passed_at) = told.map(|(_, outcome)| outcome.ended_at).min() else {
            // No request of this machine was at the engine when it began to leave, so the rule does not bind it.
            let host = &world.entries[entry].host;
            let text = format!("{host} has passed on no answer with Server-Leaving");
            world.recorder.note(&text);
            continue;
        };
        bound += 1;
        world.recorder.note_at(
            passed_at,
            &format!(
                "{} had passed on an answer with Server-Leaving",
                world.entries[entry].host
            ),
        );
        for (_, outcome) in own() {
            let reached = arrivals.all().into_iter().find(|arrival| {
                arrival.id == outcome.id && arrival.engine == leaver && arrival.ran
            });
            if let Some(arrival) = reached
                && outcome.sent_at > passed_at + DRAIN
            {
                lost += usize::from(!outcome.is_served());
                broken.push((arrival.at, outcome.id.clone()));
            }
        }
    }
    if bound == 0 {
        world.fail("no machine has passed on an answer with Server-Leaving");
    }
    broken.sort();
    for (at, id) in &broken {
        world.recorder.note_at(
            *at,
            &format!("{id} reaches {leaver}, sent too late after Server-Leaving"),
        );
    }
    match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "{} requests sent later than {} ms after an answer with Server-Leaving reached {leaver}; {lost} of them got no success",
            broken.len(),
            DRAIN.as_millis()
        )),
    }
}
