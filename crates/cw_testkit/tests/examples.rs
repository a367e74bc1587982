//! Tests that the example settings files show the defaults.

use std::path::PathBuf;

use cyclamenwharf::AgentSettings;
use cyclamenwharf::EngineSettings;
use cyclamenwharf::EntrySettings;
use cyclamenwharf::LimitSettings;
use cyclamenwharf::LogSettings;

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[test]
fn the_example_of_an_entry_shows_the_defaults() {
    let settings = EntrySettings::read(&example("entry.toml")).expect("the example is valid");

    assert_eq!(settings.limits, LimitSettings::default());
    assert_eq!(settings.recovery, Default::default());
    assert_eq!(settings.routing, Default::default());
    assert_eq!(settings.slo, Default::default());
    assert_eq!(settings.trace, Default::default());
    assert_eq!(settings.log, LogSettings::default());
}

#[test]
fn the_example_of_an_agent_shows_the_defaults() {
    let settings = AgentSettings::read(&example("agent.toml")).expect("the example is valid");

    assert_eq!(settings.engine, EngineSettings::default());
    assert_eq!(settings.log, LogSettings::default());
}
