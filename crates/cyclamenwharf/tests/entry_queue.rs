//! Requests wait at an entry for a target that has room.

mod entry_kit;

use cw_wire::Reason;
use entry_kit::Script;
use entry_kit::Setup;
use entry_kit::complete;
use entry_kit::text;
use rstest::rstest;

const STREAM: &str = r#"{"model":"chat","prompt":"hi","max_tokens":20,"stream":true}"#;

/// Both engines are full until they are asked again, and remember the attempts they refused.
#[rstest]
#[tokio::test]
async fn a_request_that_full_targets_refused_runs_when_they_have_room() {
    let full = Script::Refuse(Reason::Busy);
    let setup = Setup::engines(2, &[full, full, Script::Run]);
    let entry = setup.entry();

    let reply = complete(&entry, &[], STREAM).await;

    assert_eq!(reply.status, 200);
    assert_eq!(reply.streamed_text(), text(20));
    let engines = setup.engines.iter();
    let mut ids: Vec<_> = engines
        .flat_map(|engine| engine.state.lock().unwrap().dispatches.clone())
        .map(|dispatch| (dispatch.id.attempt, dispatch.patience))
        .collect();
    ids.sort();
    let count = ids.len();
    ids.dedup_by_key(|id| id.0);
    assert_eq!((count, ids.len()), (3, 3), "attempt numbers are used twice");
    assert!(ids[2].1 < ids[0].1, "patience grows: {ids:?}");
}

/// A caller that leaves while it waits is not dispatched when there is room again.
#[rstest]
#[tokio::test]
async fn a_caller_that_leaves_while_it_waits_is_not_run() {
    let full = Script::Refuse(Reason::Busy);
    let setup = Setup::engines(1, &[full, Script::Run]);
    let entry = setup.entry();
    let other = {
        let limit = std::time::Duration::from_millis(500);
        let call = complete(&entry, &[], STREAM);
        tokio::time::timeout(limit, call).await
    };

    let reply = complete(&entry, &[], STREAM).await;

    assert!(other.is_err(), "the first call was answered");
    assert_eq!(reply.streamed_text(), text(20));
    assert_eq!(setup.dispatched(), 2);
}
