//! Tests of the calls of operators, also while the key-value service fails.

use std::time::Duration;

use crate::admin_client::AdminClient;
use crate::admin_client::put_priority;
use crate::admin_client::put_record;
use crate::test_platform::TestEntry;
use crate::test_platform::TestPlatform;
use crate::test_platform::client;
use crate::test_platform::report;
use crate::test_platform::snapshot;
use crate::test_platform::wait_until;
use cw_policy::Liveness;
use cw_testkit::EtcdFaults;
use cw_types::KeyHash;
use cw_types::Revision;
use cw_types::TargetId;
use cw_wire::ReportResponse;
use cw_wire::TargetState;
use cw_wire::path;
use cyclamenwharf::admin::AdminErrorKind;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::ProposalStatus;
use cyclamenwharf::admin::ReviewMessage;
use cyclamenwharf::admin::RollMessage;
use serde_json::json;

/// The timeout of calls, far above what they take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts two entries, and waits until they know each other and the first snapshot is in force.
async fn start_two_entries() -> (TestPlatform, TestEntry, TestEntry) {
    let platform = TestPlatform::start().await;
    platform.write_snapshot(&snapshot(1));
    let a = platform.start_entry("entry-a").await;
    let b = platform.start_entry("entry-b").await;
    for entry in [&a, &b] {
        wait_until("both know each other", || {
            entry.control.view.load().entries.len() == 2
        })
        .await;
        wait_until("the first revision is in force", || {
            entry.revision() == Revision(1)
        })
        .await;
    }
    (platform, a, b)
}

fn store_down() -> EtcdFaults {
    EtcdFaults {
        unavailable: true,
        ..EtcdFaults::default()
    }
}

#[tokio::test]
async fn accepted_change_is_in_force_on_every_entry_and_audited() {
    let (_platform, a, b) = start_two_entries().await;
    let operator = AdminClient::bootstrap(a.control.admin_address);

    let proposal = operator.propose("c1", vec![put_priority("p", 3)]).await;
    let change = operator.accept("c1").await.expect("an acceptance");

    assert_eq!(
        proposal.expect("a proposal").status,
        ProposalStatus::Pending
    );
    assert_eq!(change.revision, 2);
    for entry in [&a, &b] {
        wait_until("the change is in force", || entry.revision() == Revision(2)).await;
    }
    let history = AdminClient::bootstrap(b.control.admin_address)
        .history()
        .await;
    assert_eq!(history, [change]);
}

#[tokio::test]
async fn acceptance_with_lost_responses_takes_effect_once() {
    let (platform, a, _b) = start_two_entries().await;
    let operator = AdminClient::bootstrap(a.control.admin_address);
    operator
        .propose("c1", vec![put_priority("p", 3)])
        .await
        .expect("a proposal");
    platform.key_value.set_faults(EtcdFaults {
        lost_responses: 2,
        ..EtcdFaults::default()
    });

    let change = operator.accept("c1").await.expect("an acceptance");
    let again = operator.accept("c1").await.expect("an acceptance");

    assert_eq!(change, again);
    wait_until("the change is in force", || a.revision() == Revision(2)).await;
    assert_eq!(operator.history().await, [change]);
}

#[tokio::test]
async fn acceptance_without_the_service_is_refused_and_may_be_repeated() {
    let (platform, a, _b) = start_two_entries().await;
    let operator = AdminClient::bootstrap(a.control.admin_address);
    operator
        .propose("c1", vec![put_priority("p", 3)])
        .await
        .expect("a proposal");
    platform.key_value.set_faults(store_down());

    let refused = operator.accept("c1").await.expect_err("a refusal");
    platform.key_value.set_faults(EtcdFaults::default());
    let change = operator.accept("c1").await.expect("an acceptance");

    assert_eq!(refused.kind, AdminErrorKind::Unavailable);
    assert_eq!(change.revision, 2);
}

#[tokio::test]
async fn concurrent_acceptance_is_a_conflict_that_names_the_other_change() {
    let (_platform, a, b) = start_two_entries().await;
    let (one, two) = (
        AdminClient::bootstrap(a.control.admin_address),
        AdminClient::bootstrap(b.control.admin_address),
    );
    one.propose("one", vec![put_priority("p", 1)])
        .await
        .expect("a proposal");
    two.propose("two", vec![put_priority("p", 2)])
        .await
        .expect("a proposal");

    let (first, second) = tokio::join!(one.accept("one"), two.accept("two"));

    let refused = match (first, second) {
        (Ok(_), Err(error)) if error.message.contains("one") => error,
        (Err(error), Ok(_)) if error.message.contains("two") => error,
        other => panic!("expected one acceptance and one conflict, found {other:?}"),
    };
    assert_eq!(refused.kind, AdminErrorKind::Conflict);
}

#[tokio::test]
async fn restored_service_raises_an_alarm_until_the_snapshot_is_put_back() {
    let (platform, a, b) = start_two_entries().await;
    let operator = AdminClient::bootstrap(a.control.admin_address);
    let backup = platform.key_value.backup();
    for (id, rank) in [("c1", 1), ("c2", 2)] {
        let proposed = operator.propose(id, vec![put_priority("p", rank)]).await;
        proposed.expect("a proposal");
        operator.accept(id).await.expect("an acceptance");
    }
    wait_until("the change is in force", || b.revision() == Revision(3)).await;

    platform.key_value.restore(&backup);
    let other = operator.propose("c3", vec![put_priority("q", 1)]).await;
    other.expect("a proposal");
    let refused = operator.accept("c3").await.expect_err("a refusal");

    assert_eq!(refused.kind, AdminErrorKind::Reverted);
    let mut alarm = None;
    while alarm.is_none() {
        alarm = operator.status().await.alarm;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((a.revision(), b.revision()), (Revision(3), Revision(3)));
    let put_back: u64 = operator.post("/v1/put-back", &()).await.expect("put back");
    assert_eq!(put_back, 3);
    let mut accepted = operator.accept("c3").await;
    while accepted.is_err() {
        // The alarm remains until the watch delivers the snapshot that was written back.
        tokio::time::sleep(Duration::from_millis(20)).await;
        accepted = operator.accept("c3").await;
    }
    assert_eq!(accepted.expect("an acceptance").revision, 4);
}

#[tokio::test]
async fn change_is_in_force_although_all_watches_are_silent() {
    let (platform, a, b) = start_two_entries().await;
    platform.key_value.set_faults(EtcdFaults {
        silent_watches: true,
        ..EtcdFaults::default()
    });

    platform.write_snapshot(&snapshot(5));

    for entry in [&a, &b] {
        wait_until("the change is in force", || entry.revision() == Revision(5)).await;
    }
}

#[tokio::test]
async fn roles_are_enforced() {
    let (_platform, a, _b) = start_two_entries().await;
    let first = AdminClient::bootstrap(a.control.admin_address);
    let record = |name: &str, role: &str| {
        let key = KeyHash::of(name).to_string();
        put_record("operator", name, json!({ "keys": [key], "role": role }))
    };
    let edits = vec![
        record("rita", "reader"),
        record("paul", "proposer"),
        record("anna", "accepter"),
    ];
    first.propose("operators", edits).await.expect("a proposal");
    first.accept("operators").await.expect("an acceptance");
    wait_until("the change is in force", || a.revision() == Revision(2)).await;
    let [rita, paul, anna] =
        ["rita", "paul", "anna"].map(|key| AdminClient::new(a.control.admin_address, key));

    let by_unknown_key = AdminClient::new(a.control.admin_address, "nobody")
        .get::<serde_json::Value>("/v1/status")
        .await;
    let by_shared_secret = first.get::<serde_json::Value>("/v1/status").await;
    let by_reader = rita.propose("c1", vec![put_priority("p", 1)]).await;
    let own_proposal = anna.propose("c2", vec![put_priority("p", 1)]).await;
    let own_acceptance = anna.accept("c2").await;
    let by_proposer = paul.propose("c3", vec![put_priority("p", 1)]).await;
    let accepted_by_proposer = paul.accept("c3").await;
    let accepted = anna.accept("c3").await;

    let kind = |error: cyclamenwharf::admin::ErrorMessage| error.kind;
    assert_eq!(
        by_unknown_key.map_err(kind),
        Err(AdminErrorKind::Unauthorized)
    );
    assert_eq!(
        by_shared_secret.map_err(kind),
        Err(AdminErrorKind::Unauthorized)
    );
    assert_eq!(by_reader.map_err(kind), Err(AdminErrorKind::Forbidden));
    assert!(own_proposal.is_ok());
    assert_eq!(own_acceptance.map_err(kind), Err(AdminErrorKind::Forbidden));
    assert!(by_proposer.is_ok());
    assert_eq!(
        accepted_by_proposer.map_err(kind),
        Err(AdminErrorKind::Forbidden)
    );
    let change = accepted.expect("an acceptance");
    assert_eq!(
        (change.proposer.as_str(), change.accepter.as_str()),
        ("paul", "anna")
    );
}

#[tokio::test]
async fn drained_host_is_leaving_everywhere_and_its_agent_is_informed() {
    let (_platform, a, b) = start_two_entries().await;
    let operator = AdminClient::bootstrap(a.control.admin_address);
    let id: TargetId = "target-1".parse().expect("a valid name");
    let up = report(1, TargetState::Up);
    let before: ReportResponse = client()
        .call(b.control.peer_address, path::REPORTS, &up, CALL_TIMEOUT)
        .await
        .expect("a response");

    let drain = put_record("drain", "host-1", json!({ "reason": "a new disk" }));
    operator
        .propose("c1", vec![drain])
        .await
        .expect("a proposal");
    operator.accept("c1").await.expect("an acceptance");

    for entry in [&a, &b] {
        let leaving = || {
            let view = entry.control.view.load();
            view.targets[&id].liveness == Liveness::Leaving
        };
        wait_until("the target is leaving", leaving).await;
    }
    let next = report(2, TargetState::Up);
    let after: ReportResponse = client()
        .call(b.control.peer_address, path::REPORTS, &next, CALL_TIMEOUT)
        .await
        .expect("a response");
    assert!(!before.drained);
    assert!(after.drained);
}

#[tokio::test]
async fn roll_forward_restores_an_earlier_body_as_a_new_revision() {
    let (_platform, a, _b) = start_two_entries().await;
    let operator = AdminClient::bootstrap(a.control.admin_address);
    for (id, rank) in [("c1", 1), ("c2", 2)] {
        let proposed = operator.propose(id, vec![put_priority("p", rank)]).await;
        proposed.expect("a proposal");
        operator.accept(id).await.expect("an acceptance");
    }
    let roll = RollMessage {
        id: "back".to_owned(),
        key: "priority/p".to_owned(),
        revision: 2,
        reason: String::new(),
    };

    let proposed: cyclamenwharf::admin::ProposalMessage = operator
        .post("/v1/roll-forward", &roll)
        .await
        .expect("a proposal");
    let change = operator.accept("back").await.expect("an acceptance");

    assert_eq!(proposed.edits.len(), 1);
    let EditMessage::Put(record) = &proposed.edits[0] else {
        panic!("expected a record");
    };
    assert_eq!(record.body["rank"], json!(1));
    assert_eq!(change.revision, 4);
}

#[tokio::test]
async fn rejected_change_stays_rejected_and_review_says_why() {
    let (_platform, a, _b) = start_two_entries().await;
    let operator = AdminClient::bootstrap(a.control.admin_address);
    operator
        .propose("c1", vec![put_priority("p", 1)])
        .await
        .expect("a proposal");

    let rejected = operator.reject("c1").await.expect("a rejection");
    let refused = operator.accept("c1").await.expect_err("a refusal");
    let review: ReviewMessage = operator.get("/v1/proposals/c1").await.expect("a review");

    assert_eq!(rejected.status, ProposalStatus::Rejected);
    assert_eq!(refused.kind, AdminErrorKind::Conflict);
    assert!(review.refusal.is_some_and(|why| why.contains("rejected")));
}

#[tokio::test]
async fn schema_that_no_process_can_read_is_refused_with_the_names_of_the_processes() {
    let (_platform, a, _b) = start_two_entries().await;
    let operator = AdminClient::bootstrap(a.control.admin_address);
    let edit = match put_priority("p", 1) {
        EditMessage::Put(record) => EditMessage::Put(cyclamenwharf::admin::RecordMessage {
            schema: Some(9),
            ..record
        }),
        remove => remove,
    };
    operator
        .propose("c1", vec![edit])
        .await
        .expect("a proposal");
    let mut known = 0;
    while known < 2 {
        known = operator.status().await.processes.len();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let refused = operator.accept("c1").await.expect_err("a refusal");

    assert_eq!(refused.kind, AdminErrorKind::Unreadable);
    for host in ["entry-a", "entry-b"] {
        assert!(refused.message.contains(host), "{}", refused.message);
    }
}

#[tokio::test]
async fn entry_accepts_no_change_while_the_stored_history_has_diverged() {
    let (platform, a, _b) = start_two_entries().await;
    let operator = AdminClient::bootstrap(a.control.admin_address);
    let proposed = operator.propose("ours", vec![put_priority("p", 1)]).await;
    proposed.expect("a proposal");
    operator.accept("ours").await.expect("an acceptance");
    wait_until("ours is in force", || a.revision() == Revision(2)).await;
    let mut other = snapshot(3);
    for (id, revision) in [("theirs-2", 2), ("theirs-3", 3)] {
        other.changes.push(cw_types::Change {
            id: id.parse().expect("a valid name"),
            revision: Revision(revision),
            proposer: "x".parse().expect("a valid name"),
            accepter: "y".parse().expect("a valid name"),
            touched: Vec::new(),
            accepted_at: 0,
        });
    }
    platform.write_snapshot(&other);
    while operator.status().await.alarm.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let proposed = operator.propose("next", vec![put_priority("q", 1)]).await;
    proposed.expect("a proposal");

    let refused = operator.accept("next").await.expect_err("a refusal");

    assert_eq!(refused.kind, AdminErrorKind::Reverted);
    assert_eq!(a.revision(), Revision(2));
}
