//! Tests of the real program as a process of its own, judged by what callers and targets see.
//!
//! The store and the engines are the fakes of the tests of the users' platform.

#![expect(
    clippy::disallowed_methods,
    reason = "what the programs under test send has an end"
)]

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "../../../../platform/tests/path/caller.rs"]
mod caller;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "../../../../platform/tests/path/deployment.rs"]
mod deployment;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "../../../../platform/tests/path/endless_server.rs"]
mod endless_server;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "../../../../platform/tests/path/fake_engine.rs"]
mod fake_engine;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "../../../../platform/tests/path/fake_store.rs"]
mod fake_store;
#[path = "../../../../platform/tests/path/process_requests.rs"]
mod process_requests;
#[path = "../../../../platform/tests/path/serve.rs"]
mod serve;

mod connection;
mod memory;
mod process;
mod shutdown;
mod soak;
