//! Tests that invalid settings of an agent are refused with the name of the key.

use std::path::Path;

use cyclamenwharf::AgentSettings;
use rstest::rstest;

fn settings(engine: &str) -> String {
    format!(
        r#"
        host = "h1"
        zone = "z1"
        region = "r1"
        [listen]
        peers = "127.0.0.1:0"
        admin = "127.0.0.1:0"
        [target]
        id = "t1"
        kind = "engine"
        address = "127.0.0.1:1"
        [platform]
        key_value = ["127.0.0.1:2"]
        host_list = "127.0.0.1:3"
        weight_store = "127.0.0.1:4"
        [secrets]
        peers = ["secret"]
        [engine]
        {engine}
        "#
    )
}

fn read(engine: &str) -> Result<AgentSettings, String> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("agent.toml");
    std::fs::write(&file, settings(engine)).unwrap();
    AgentSettings::read(Path::new(&file)).map_err(|error| error.to_string())
}

#[rstest]
fn the_defaults_are_valid() {
    assert!(read("").is_ok());
}

#[rstest]
#[case("heartbeat = \"0s\"", "engine.heartbeat")]
#[case("heartbeat = \"1s\"", "engine.heartbeat")]
#[case("report = \"0s\"", "engine.report")]
#[case("tombstone = \"4m\"", "engine.tombstone")]
#[case("kept = \"64KiB\"", "engine.kept")]
#[case("reserve = 64", "engine.running")]
fn a_value_out_of_range_is_refused_by_name(#[case] engine: &str, #[case] key: &str) {
    let message = read(engine).expect_err("the value is out of range");

    assert!(message.contains(key), "{message}");
    assert!(message.contains("expected"), "{message}");
}
