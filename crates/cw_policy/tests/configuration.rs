//! Tests of the acceptance of changes and the application of snapshots.

use cw_policy::configuration::AcceptDecision;
use cw_policy::configuration::Acceptance;
use cw_policy::configuration::ActiveConfig;
use cw_policy::configuration::Alarm;
use cw_policy::configuration::ApplyOutcome;
use cw_policy::configuration::Breakage;
use cw_policy::configuration::Edit;
use cw_policy::configuration::Proposal;
use cw_policy::configuration::ProposalState;
use cw_policy::configuration::Refusal;
use cw_policy::configuration::SchemaSupport;
use cw_policy::configuration::Source;
use cw_policy::configuration::accept;
use cw_policy::configuration::apply_delta;
use cw_policy::configuration::is_watcher;
use cw_policy::configuration::make_delta;
use cw_types::Actor;
use cw_types::Change;
use cw_types::HostId;
use cw_types::Operator;
use cw_types::OperatorRole;
use cw_types::Record;
use cw_types::RecordKey;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Support of schema versions up to this one by all live processes.
struct ReadsUpTo(u32);

impl SchemaSupport for ReadsUpTo {
    fn unsupported_hosts(&self, _kind: RecordKind, schema: SchemaVersion) -> Vec<HostId> {
        match schema.0 > self.0 {
            true => vec![name("entry-old")],
            false => Vec::new(),
        }
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn operator(self_approval: bool) -> Operator {
    Operator {
        keys: Vec::new(),
        role: OperatorRole::Accepter,
        self_approval,
    }
}

fn record(kind: RecordKind, name: &str, schema: u32, body: Value) -> Record {
    let Value::Object(body) = body else {
        panic!("the body is not an object");
    };
    Record {
        kind,
        name: name.to_owned(),
        schema: SchemaVersion(schema),
        body,
    }
}

fn priority(name: &str, rank: u8) -> Record {
    record(RecordKind::Priority, name, 1, json!({ "rank": rank }))
}

fn propose(snapshot: &Snapshot, id: &str, edits: Vec<Edit>) -> Proposal {
    Proposal::new(name(id), name("alice"), 1, edits, snapshot)
}

fn decide(
    snapshot: &Snapshot,
    proposal: &Proposal,
    accepter: &str,
    self_approval: bool,
) -> AcceptDecision {
    let accepter: Actor = name(accepter);
    let by = Acceptance {
        accepter: &accepter,
        operator: &operator(self_approval),
        at: 2,
        readers: &ReadsUpTo(2),
        in_use: &[],
    };
    accept(snapshot, proposal, &by)
}

/// Returns the snapshot after a second person accepts the edits.
fn accepted(snapshot: &Snapshot, id: &str, edits: Vec<Edit>) -> Snapshot {
    match decide(snapshot, &propose(snapshot, id, edits), "bob", false) {
        AcceptDecision::Write(next) => *next,
        other => panic!("expected an acceptance, found {other:?}"),
    }
}

fn put(record: Record) -> Edit {
    Edit::Put(record)
}

fn with_route() -> Snapshot {
    let target = json!({
        "agent": "127.0.0.1:1", "host": "h1", "zone": "a", "region": "r", "kind": "engine",
        "versions": { "m": ["v1"] },
    });
    let route = json!({
        "to": { "model": { "model": "m", "version": "v1" } },
        "priority": "normal",
    });
    let edits = vec![
        put(priority("normal", 1)),
        put(record(RecordKind::Target, "t1", 1, target)),
        put(record(RecordKind::Route, "r1", 1, route)),
    ];
    accepted(&Snapshot::default(), "first", edits)
}

#[test]
fn accepted_change_creates_the_next_revision_and_a_change_record() {
    let next = accepted(&Snapshot::default(), "c1", vec![put(priority("p", 1))]);

    assert_eq!(next.revision, Revision(1));
    let change = next.changes.last().expect("a change record");
    assert_eq!(change.proposer, name("alice"));
    assert_eq!(change.accepter, name("bob"));
    assert_eq!(change.touched, [priority("p", 1).key()]);
}

/// Guards against removing proposals that still count: one that nobody has decided on, and one whose
/// change is in the history, which restoring an earlier state reads.
#[rstest]
#[case::pending("old", ProposalState::Pending, false)]
#[case::in_history("c1", ProposalState::Accepting(name("bob")), false)]
#[case::rejected("old", ProposalState::Rejected(name("bob")), true)]
#[case::accepted_before_the_history("old", ProposalState::Accepting(name("bob")), true)]
fn only_decided_proposals_older_than_the_history_are_obsolete(
    #[case] id: &str,
    #[case] state: ProposalState,
    #[case] expected: bool,
) {
    let edits = || vec![put(priority("batch", 1))];
    let snapshot = accepted(&Snapshot::default(), "c1", edits());
    let proposal = Proposal {
        state,
        ..propose(&Snapshot::default(), id, edits())
    };

    assert_eq!(proposal.is_obsolete(&snapshot), expected);
}

#[test]
fn acceptance_is_idempotent_on_the_change_id() {
    let proposal = propose(&Snapshot::default(), "c1", vec![put(priority("p", 1))]);
    let AcceptDecision::Write(next) = decide(&Snapshot::default(), &proposal, "bob", false) else {
        panic!("expected an acceptance");
    };

    let again = decide(&next, &proposal, "bob", false);

    assert_eq!(
        again,
        AcceptDecision::AlreadyAccepted(next.changes[0].clone())
    );
}

#[test]
fn race_ends_in_a_conflict_that_names_the_other_change() {
    let empty = Snapshot::default();
    let late = propose(&empty, "late", vec![put(priority("p", 2))]);
    let next = accepted(&empty, "early", vec![put(priority("p", 1))]);

    let decision = decide(&next, &late, "bob", false);

    let AcceptDecision::Refused(Refusal::Conflict { key, other, .. }) = decision else {
        panic!("expected a conflict, found {decision:?}");
    };
    assert_eq!(key, priority("p", 1).key());
    assert_eq!(other, Some(name("early")));
}

#[test]
fn race_with_a_removal_ends_in_a_conflict() {
    let first = accepted(&Snapshot::default(), "c1", vec![put(priority("p", 1))]);
    let late = propose(&first, "late", vec![put(priority("p", 2))]);
    let key = priority("p", 1).key();
    let next = accepted(&first, "removal", vec![Edit::Remove(key)]);

    let decision = decide(&next, &late, "bob", false);

    assert!(matches!(
        decision,
        AcceptDecision::Refused(Refusal::Conflict { .. })
    ));
}

#[test]
fn changes_of_different_records_do_not_conflict() {
    let empty = Snapshot::default();
    let other = propose(&empty, "other", vec![put(priority("q", 2))]);
    let next = accepted(&empty, "early", vec![put(priority("p", 1))]);

    let decision = decide(&next, &other, "bob", false);

    assert!(matches!(decision, AcceptDecision::Write(_)));
}

#[rstest]
#[case::another_person("bob", false, true)]
#[case::same_person("alice", false, false)]
#[case::same_person_who_may("alice", true, true)]
fn accepter_is_another_person_unless_allowed(
    #[case] accepter: &str,
    #[case] self_approval: bool,
    #[case] allowed: bool,
) {
    let empty = Snapshot::default();
    let proposal = propose(&empty, "c1", vec![put(priority("p", 1))]);

    let decision = decide(&empty, &proposal, accepter, self_approval);

    assert_eq!(matches!(decision, AcceptDecision::Write(_)), allowed);
}

#[test]
fn drain_needs_no_second_person() {
    let empty = Snapshot::default();
    let drain = record(RecordKind::Drain, "t1", 1, json!({ "reason": "hot" }));
    let proposal = propose(&empty, "c1", vec![put(drain)]);

    let decision = decide(&empty, &proposal, "alice", false);

    assert!(matches!(decision, AcceptDecision::Write(_)));
}

#[test]
fn proposer_may_not_accept() {
    let empty = Snapshot::default();
    let proposal = propose(&empty, "c1", vec![put(priority("p", 1))]);
    let by = Acceptance {
        accepter: &name("carol"),
        operator: &Operator {
            role: OperatorRole::Proposer,
            ..operator(true)
        },
        at: 2,
        readers: &ReadsUpTo(2),
        in_use: &[],
    };

    let decision = accept(&empty, &proposal, &by);

    assert!(matches!(
        decision,
        AcceptDecision::Refused(Refusal::Role { .. })
    ));
}

#[test]
fn rejected_change_is_not_accepted() {
    let empty = Snapshot::default();
    let mut proposal = propose(&empty, "c1", vec![put(priority("p", 1))]);
    proposal.state = ProposalState::Rejected(name("carol"));

    let decision = decide(&empty, &proposal, "bob", false);

    assert_eq!(
        decision,
        AcceptDecision::Refused(Refusal::Rejected { by: name("carol") })
    );
}

#[test]
fn schema_that_a_live_process_cannot_read_is_refused_with_its_host() {
    let empty = Snapshot::default();
    let new = record(RecordKind::Workspace, "w", 3, json!({ "keys": [] }));
    let proposal = propose(&empty, "c1", vec![put(new)]);

    let decision = decide(&empty, &proposal, "bob", false);

    let AcceptDecision::Refused(Refusal::Unreadable { hosts, schema, .. }) = decision else {
        panic!("expected a refusal, found {decision:?}");
    };
    assert_eq!(hosts, [name::<HostId>("entry-old")]);
    assert_eq!(schema, SchemaVersion(3));
}

#[rstest]
#[case::no_target("target/t1")]
#[case::no_priority("priority/normal")]
fn change_that_breaks_a_route_is_refused(#[case] removed: &str) {
    let current = with_route();
    let key: RecordKey = name(removed);
    let proposal = propose(&current, "c1", vec![Edit::Remove(key)]);

    let decision = decide(&current, &proposal, "bob", false);

    let AcceptDecision::Refused(Refusal::Breaks { breakages }) = decision else {
        panic!("expected a refusal, found {decision:?}");
    };
    let expected = match removed {
        "target/t1" => Breakage::NoTarget { route: name("r1") },
        _ => Breakage::NoPriority { route: name("r1") },
    };
    assert!(breakages.contains(&expected), "{breakages:?}");
}

#[test]
fn route_to_a_version_that_nothing_holds_is_refused() {
    let current = with_route();
    let route = json!({
        "to": { "model": { "model": "m", "version": "v2" } },
        "priority": "normal",
    });
    let edit = put(record(RecordKind::Route, "r1", 1, route));
    let proposal = propose(&current, "c1", vec![edit]);

    let decision = decide(&current, &proposal, "bob", false);

    let breakages = vec![Breakage::NoVersion {
        route: name("r1"),
        version: name("v2"),
    }];
    assert_eq!(
        decision,
        AcceptDecision::Refused(Refusal::Breaks { breakages })
    );
}

/// Guards against a route that the removal of its last workspace opens to all.
#[rstest]
#[case(Some(json!([])), true)]
#[case(None, false)]
fn the_last_workspace_of_a_route_is_not_taken_away(
    #[case] workspaces: Option<Value>,
    #[case] is_refused: bool,
) {
    let workspace = record(RecordKind::Workspace, "w1", 1, json!({ "keys": [] }));
    let current = accepted(&with_route(), "c1", vec![put(workspace)]);
    let route = |workspaces: Option<Value>| {
        let mut route = json!({
            "to": { "model": { "model": "m", "version": "v1" } },
            "priority": "normal",
        });
        if let Some(workspaces) = workspaces {
            route["workspaces"] = workspaces;
        }
        put(record(RecordKind::Route, "r1", 1, route))
    };
    let limited = accepted(&current, "c2", vec![route(Some(json!(["w1"])))]);
    let proposal = propose(&limited, "c3", vec![route(workspaces)]);

    let decision = decide(&limited, &proposal, "bob", false);

    let opened = vec![Breakage::OpenToAll { route: name("r1") }];
    let refusal = AcceptDecision::Refused(Refusal::Breaks { breakages: opened });
    assert_eq!(decision == refusal, is_refused, "{decision:?}");
}

#[test]
fn applied_delta_gives_the_same_snapshot() {
    let one = accepted(&Snapshot::default(), "c1", vec![put(priority("p", 1))]);
    let two = accepted(&one, "c2", vec![put(priority("q", 1))]);
    let key = priority("p", 1).key();
    let three = accepted(&two, "c3", vec![Edit::Remove(key)]);

    let delta = make_delta(&three, Revision(1)).expect("changes back to revision 1");

    assert_eq!(apply_delta(&one, &delta), Ok(three.clone()));
    assert!(apply_delta(&two, &delta).is_err());
}

#[test]
fn lower_revision_raises_an_alarm_until_the_service_catches_up() {
    let one = accepted(&Snapshot::default(), "c1", vec![put(priority("p", 1))]);
    let two = accepted(&one, "c2", vec![put(priority("q", 1))]);
    let mut active_config = ActiveConfig::default();
    active_config.apply(Source::Store, two.clone());

    let outcome = active_config.apply(Source::Store, one);

    let alarm = Alarm::Reverted {
        found: Revision(1),
        held: Revision(2),
    };
    assert_eq!(outcome, ApplyOutcome::Rejected(alarm.clone()));
    assert_eq!(active_config.alarm(), Some(&alarm));
    assert_eq!(active_config.revision(), Revision(2));
    assert_eq!(
        active_config.apply(Source::Store, two),
        ApplyOutcome::Unchanged
    );
    assert_eq!(active_config.alarm(), None);
}

#[test]
fn diverged_history_raises_an_alarm() {
    let one = accepted(&Snapshot::default(), "c1", vec![put(priority("p", 1))]);
    let local = accepted(&one, "local", vec![put(priority("q", 1))]);
    let diverged = accepted(&one, "diverged", vec![put(priority("q", 2))]);
    let diverged = accepted(&diverged, "diverged-2", vec![put(priority("q", 3))]);
    let mut active_config = ActiveConfig::default();
    active_config.apply(Source::Store, local.clone());

    let outcome = active_config.apply(Source::Store, diverged);

    assert!(matches!(
        outcome,
        ApplyOutcome::Rejected(Alarm::Diverged { .. })
    ));
    assert_eq!(**active_config.snapshot(), local);
}

#[test]
fn unreadable_record_is_stored_and_keeps_its_previous_value() {
    let one = accepted(&Snapshot::default(), "c1", vec![put(priority("p", 7))]);
    let mut two = one.clone();
    two.revision = Revision(2);
    let newer = record(RecordKind::Priority, "p", 9, json!({ "level": "x" }));
    two.records
        .insert(newer.key(), (Revision(2), newer.clone()));
    let mut active_config = ActiveConfig::default();
    active_config.apply(Source::Store, one);

    let outcome = active_config.apply(Source::Store, two);

    assert!(matches!(&outcome, ApplyOutcome::Applied(errors) if errors.len() == 1));
    assert_eq!(active_config.config().priorities[&name("p")].rank, 7);
    assert_eq!(active_config.snapshot().records[&newer.key()].1, newer);
}

#[test]
fn snapshot_of_the_planned_size_is_below_a_megabyte() {
    const LIMIT: usize = 1_000_000;
    let mut records = Vec::new();
    for n in 0..420 {
        let body = json!({
            "keys": ["ab".repeat(32), "cd".repeat(32)],
            "quota": { "concurrent": 64, "requests": "50/s", "tokens": "20000/s" },
            "weight": 10,
        });
        records.push(record(
            RecordKind::Workspace,
            &format!("workspace-{n}"),
            2,
            body,
        ));
    }
    for n in 0..660 {
        let body = json!({
            "agent": format!("10.20.30.40:{}", 10_000 + n), "host": format!("host-{n:05}"),
            "zone": "region-1-zone-a", "region": "region-1", "kind": "engine", "fenced": true,
            "versions": { "model-one": ["2026-12-01"] },
        });
        records.push(record(
            RecordKind::Target,
            &format!("target-{n:05}"),
            1,
            body,
        ));
    }
    let revision = Revision(1_800);
    let change = |n: usize| Change {
        id: name(&format!("change-{n:016x}")),
        revision: Revision(n as u64 + 1),
        proposer: name("first.last@example.org"),
        accepter: name("other.person@example.org"),
        touched: vec![records[n].key(), records[n + 1].key()],
        accepted_at: 1_800_000_000,
    };
    let snapshot = Snapshot {
        revision,
        changes: (0..1000).map(change).collect(),
        records: records
            .iter()
            .map(|record| (record.key(), (revision, record.clone())))
            .collect(),
    };
    let snapshot = snapshot.trimmed();

    let size = serde_json::to_vec(&snapshot)
        .expect("serialized JSON")
        .len();

    println!("snapshot: {size} bytes, {} changes", snapshot.changes.len());
    assert_eq!(snapshot.records.len(), 1080);
    assert!(size < LIMIT, "{size} bytes");
}

#[test]
fn each_zone_has_two_watchers_among_many_entries() {
    let entries: Vec<_> = (0..100)
        .map(|n| cw_policy::EntryPeer {
            host: name(&format!("entry-{n}")),
            zone: name(if n % 2 == 0 { "a" } else { "b" }),
            region: name("r"),
            peer_address: "127.0.0.1:1".parse().expect("an address"),
        })
        .collect();

    let watchers = entries
        .iter()
        .filter(|entry| is_watcher(&entry.host, &entry.zone, &entries));

    assert_eq!(watchers.count(), 4);
}
