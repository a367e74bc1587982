//! Tests that work that is not idempotent runs at most once, through any entry and when answers of
//! the key-value service are lost.

#![expect(
    clippy::disallowed_methods,
    reason = "what the programs under test send has an end"
)]

mod entry_kit;

use cw_types::Ran;
use cyclamenwharf::EntryHandle;
use entry_kit::Reply;
use entry_kit::Script;
use entry_kit::Setup;
use entry_kit::memory_store::Fault;
use entry_kit::send;
use rstest::rstest;

const AUTH: (&str, &str) = ("authorization", "Bearer key-of-workspace-a");
const IDEMPOTENCY_KEY: (&str, &str) = ("idempotency-key", "loan-1");

fn non_idempotent_services(scripts: &[Script]) -> Setup {
    let mut setup = Setup::services(2, scripts);
    setup.idempotent = false;
    setup
}

async fn call_with_key(entry: &EntryHandle) -> Reply {
    send(
        entry,
        "POST",
        "/v1/services/loans/x",
        &[AUTH, IDEMPOTENCY_KEY],
        "board 7",
    )
    .await
}

#[rstest]
#[tokio::test]
async fn a_second_call_through_another_entry_gets_the_stored_answer() {
    let setup = non_idempotent_services(&[Script::Run]);
    let (first, second) = (setup.entry(), setup.entry());

    let before = call_with_key(&first).await;
    let after = call_with_key(&second).await;

    assert_eq!(
        (before.status, before.body.as_str()),
        (201, "half and half")
    );
    assert_eq!((after.status, after.body.as_str()), (201, "half and half"));
    assert_eq!(setup.dispatched(), 1);
}

#[rstest]
#[tokio::test]
async fn an_answer_too_large_for_the_claim_comes_from_the_agent() {
    let setup = non_idempotent_services(&[Script::LargeBody(20_000), Script::Run]);
    let (first, second) = (setup.entry(), setup.entry());

    let before = call_with_key(&first).await;
    let after = call_with_key(&second).await;

    assert_eq!(before.body.len(), 20_000);
    assert_eq!(after.status, 201);
    assert_eq!(setup.dispatched(), 1);
}

#[rstest]
#[tokio::test]
async fn a_second_call_gets_outcome_unknown_when_no_agent_knows_the_attempt() {
    let setup = non_idempotent_services(&[Script::LargeBody(20_000), Script::Run]);
    let (first, second) = (setup.entry(), setup.entry());
    call_with_key(&first).await;
    for agent in &setup.services {
        agent
            .state
            .lock()
            .expect("no test panics here")
            .forgets_attempts = true;
    }

    let after = call_with_key(&second).await;

    assert_eq!(
        (after.status, after.code().as_str()),
        (409, "outcome_unknown")
    );
    assert_eq!(setup.dispatched(), 1);
}

#[rstest]
#[case::after_its_effect(Fault::ResponseLost)]
#[case::before_its_effect(Fault::RequestLost)]
#[tokio::test]
async fn a_lost_store_response_makes_the_work_run_exactly_once(#[case] fault: Fault) {
    let setup = non_idempotent_services(&[Script::Run]);
    let entry = setup.entry();
    setup.store.inject_faults(&[fault]);

    let reply = call_with_key(&entry).await;

    assert_eq!(reply.status, 201);
    assert_eq!(setup.dispatched(), 1);
}

#[rstest]
#[tokio::test]
async fn without_the_store_the_work_is_refused_as_not_run() {
    let setup = non_idempotent_services(&[Script::Run]);
    let entry = setup.entry();
    setup.store.set_down(true);

    let reply = call_with_key(&entry).await;

    assert_eq!(
        (reply.status, reply.code().as_str()),
        (503, "store_unavailable")
    );
    assert_eq!(reply.json()["error"]["ran"], "no");
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(setup.dispatched(), 0);
}

#[rstest]
#[tokio::test]
async fn a_key_that_belongs_to_another_request_is_refused() {
    let setup = non_idempotent_services(&[Script::Run]);
    let entry = setup.entry();
    call_with_key(&entry).await;

    let path = "/v1/services/loans/x";
    let reply = send(&entry, "POST", path, &[AUTH, IDEMPOTENCY_KEY], "board 8").await;

    assert_eq!((reply.status, reply.code().as_str()), (422, "key_reused"));
    assert_eq!(setup.dispatched(), 1);
}

#[rstest]
#[case::proven_not_run(Ran::No, 201, 1)]
#[case::no_proof(Ran::Unknown, 409, 0)]
#[tokio::test]
async fn a_claim_whose_entry_died_before_the_dispatch_is_resolved(
    #[case] proof: Ran,
    #[case] status: u16,
    #[case] dispatched: usize,
) {
    let setup = non_idempotent_services(&[Script::Run]);
    for agent in &setup.services {
        agent.state.lock().expect("no test panics here").ran = proof;
    }
    let first = std::sync::Arc::new(setup.entry());
    setup.store.inject_faults(&[Fault::NoResponse]);
    let caller = {
        let first = std::sync::Arc::clone(&first);
        tokio::spawn(async move { call_with_key(&first).await })
    };
    while setup.store.len() == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    first.kill();
    caller.abort();
    let second = setup.entry();

    let reply = call_with_key(&second).await;

    assert_eq!(reply.status, status);
    assert_eq!(setup.dispatched(), dispatched);
    let cancels = |agent: &entry_kit::FakeAgent| {
        let state = agent.state.lock().expect("no test panics here");
        state.cancels.len()
    };
    assert_eq!(setup.services.iter().map(cancels).sum::<usize>(), 1);
}

#[rstest]
#[tokio::test]
async fn a_refused_claim_moves_to_the_target_that_runs_it() {
    let setup =
        non_idempotent_services(&[Script::Refuse(cw_wire::NotRunReason::Leaving), Script::Run]);
    let (first, second) = (setup.entry(), setup.entry());

    let before = call_with_key(&first).await;
    let after = call_with_key(&second).await;

    assert_eq!((before.status, after.status), (201, 201));
    assert_eq!(setup.dispatched(), 2);
}

#[rstest]
#[tokio::test]
async fn a_repeated_idempotent_request_with_a_key_shares_the_first_run_in_the_same_entry() {
    let setup = Setup::engines(2, &[Script::Run]);
    let entry = setup.entry();
    let body = r#"{"model":"chat","prompt":"hi","max_tokens":20,"stream":true}"#;

    let first = entry_kit::complete(&entry, &[IDEMPOTENCY_KEY], body).await;
    let second = entry_kit::complete(&entry, &[IDEMPOTENCY_KEY], body).await;

    assert_eq!(first.streamed_text(), entry_kit::text(20));
    assert_eq!(second.streamed_text(), entry_kit::text(20));
    assert_eq!(setup.dispatched(), 1);
}
