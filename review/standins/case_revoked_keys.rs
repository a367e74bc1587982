//! All keys are taken away, one after the other.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::client::Caller;
use crate::client::Outcome;
use crate::world::put_config;

/// The time after an acknowledgement in which a configuration comes into force.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);

/// The time between the removals of two keys.
const GAP: Duration = Duration::from_millis(1500);

const DEADLINE: Duration = Duration::from_millis(1000);

pub fn play(case: &Case) -> Result<Verdict, String> {
    let (record, store) = (&case.record, &case.store);
    put_config(record, store, 3, &[("huka270", &["key-a"]), ("dowe118", &["key-b"])]);
    let engines = case.plain_engines(2, Duration::from_millis(30));
    engines.map_err(|error| error.to_string())?;
    let entries = case.entries(2)?;
    let call = |key: &str| {
        let results = entries.addresses.iter().map(|addresses| {
            let mut caller = Caller::new(addresses.front, key);
            caller.call(record, "POST", "/once/x", DEADLINE)
        });
        results.collect::<Vec<_>>()
    };
    // Before any change, both keys are served and an unknown one is refused.
    for (key, expected) in [("key-a", 200), ("key-b", 200), ("key-never", 401)] {
        let is_expected = |outcome: &Outcome| matches!(outcome, Outcome::Answered(status, ..) if *status == expected);
        if !call(key).iter().all(|(_, outcome)| is_expected(outcome)) {
            return Err(format!("{key} was not answered with {expected} before the change"));
        }
    }
    if case.has_trouble {
        put_config(record, store, 7, &[("huka270", &[]), ("dowe118", &["key-b"])]);
        thread::sleep(GAP);
        put_config(record, store, 12, &[("huka270", &[]), ("dowe118", &[])]);
    } else {
        put_config(record, store, 7, &[("huka270", &["key-c"]), ("dowe118", &["key-b"])]);
        thread::sleep(GAP);
        put_config(record, store, 12, &[("huka270", &["key-c"]), ("dowe118", &["key-b", "key-d"])]);
    }
    let acknowledged = Instant::now();
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let (mut never_held, mut revoked, mut sent) = (Vec::new(), Vec::new(), 0);
    while acknowledged.elapsed() < Duration::from_secs(12) {
        let removed: &[&str] = if case.has_trouble { &["key-a", "key-b"] } else { &["key-a"] };
        for (id, _) in call("key-never") {
            sent += 1;
            if !record.runs_of(&id).is_empty() {
                never_held.push(id);
            }
        }
        for key in removed {
            for (id, _) in call(key) {
                sent += 1;
                if !record.runs_of(&id).is_empty() {
                    revoked.push(id);
                }
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    Ok(match never_held.is_empty() && revoked.is_empty() {
        true => Verdict::Held(format!("{sent} requests with keys that are not in force, none of which ran")),
        false => Verdict::Broken(format!(
            "ROUTE: {} requests ran whose key no configuration ever held; CONFIG: {} requests ran whose key was dropped \
             more than {CONFIG_APPLY:?} before; of {sent} sent",
            never_held.len(),
            revoked.len(),
        )),
    })
}
