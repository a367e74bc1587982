//! Tests that settings are validated when read, and that the documentation lists each of them.

use std::collections::BTreeSet;
use std::io::Write;

use cyclamenwharf::AgentSettings;
use cyclamenwharf::EntrySettings;
use rstest::rstest;
use tempfile::NamedTempFile;
use toml::Table;
use toml::Value;

const ENTRY: &str = r#"
host = "entry-1"
zone = "zone-a"
region = "region-1"

[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
admin = "127.0.0.1:8082"

[platform]
key_value = ["127.0.0.1:2379"]
host_list = "127.0.0.1:2380"
weight_store = "127.0.0.1:2381"

[secrets]
peers = ["one"]
"#;

const AGENT: &str = r#"
host = "target-1"
zone = "zone-a"
region = "region-1"

[listen]
peers = "127.0.0.1:8083"
admin = "127.0.0.1:8084"

[target]
id = "engine-1"
kind = "engine"
address = "127.0.0.1:9000"

[platform]
key_value = ["127.0.0.1:2379"]
host_list = "127.0.0.1:2380"
weight_store = "127.0.0.1:2381"

[secrets]
peers = ["one"]
"#;

const DOCUMENTATION: &str = include_str!("../../../docs/SETTINGS.md");

fn settings_file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes()).expect("room for the file");
    file
}

fn entry_error(text: &str) -> String {
    let file = settings_file(text);
    let name = file.path().display().to_string();
    let error = EntrySettings::read(file.path()).expect_err("the settings are invalid");
    let message = error.to_string();
    assert!(
        message.contains(&name),
        "the error does not name the file: {message}"
    );
    message
}

fn collect_keys(prefix: &str, table: &Table, found: &mut BTreeSet<String>) {
    for (key, value) in table {
        match value {
            Value::Table(inner) => collect_keys(&format!("{prefix}{key}."), inner, found),
            _ => {
                found.insert(format!("{prefix}{key}"));
            }
        }
    }
}

fn documented_keys(section: &str) -> BTreeSet<String> {
    let start = DOCUMENTATION.find(section).expect("the section is there") + section.len();
    let rest = &DOCUMENTATION[start..];
    let end = rest.find("\n## ").unwrap_or(rest.len());
    let rows = rest[..end].lines().filter(|line| line.starts_with("| `"));
    rows.filter_map(|row| row.split('`').nth(1))
        .map(str::to_owned)
        .collect()
}

#[rstest]
fn a_complete_file_is_read() {
    let entry =
        EntrySettings::read(settings_file(ENTRY).path()).expect("the entry's settings are valid");
    let agent =
        AgentSettings::read(settings_file(AGENT).path()).expect("the agent's settings are valid");

    assert_eq!(entry.host.to_string(), "entry-1");
    assert_eq!(agent.target.id.to_string(), "engine-1");
}

#[rstest]
#[case("colour = \"blue\"\n", "colour")]
#[case("log = { level = \"loud\" }\n", "loud")]
#[case("limits = { body = \"4\" }\n", "64KiB")]
#[case("limits = { absence = \"30\" }\n", "250ms")]
#[case("recovery = { attempts = 0 }\n", "recovery.attempts")]
fn the_error_of_an_invalid_value_contains_its_key_its_text_or_an_example(
    #[case] line: &str,
    #[case] expected: &str,
) {
    let message = entry_error(&format!("{line}{ENTRY}"));

    assert!(message.contains(expected), "{message}");
}

#[rstest]
fn a_missing_address_is_named() {
    let message = entry_error(&ENTRY.replace("admin = \"127.0.0.1:8082\"", ""));

    assert!(message.contains("admin"), "{message}");
}

#[rstest]
fn an_empty_list_of_secrets_is_refused() {
    let message = entry_error(&ENTRY.replace("[\"one\"]", "[]"));

    assert!(message.contains("secrets.peers"), "{message}");
}

#[rstest]
fn the_documentation_lists_each_setting_and_no_other() {
    let entry =
        EntrySettings::read(settings_file(ENTRY).path()).expect("the entry's settings are valid");
    let agent =
        AgentSettings::read(settings_file(AGENT).path()).expect("the agent's settings are valid");
    let (mut entry_keys, mut agent_keys) = (BTreeSet::new(), BTreeSet::new());

    collect_keys("", &Table::try_from(entry).expect("TOML"), &mut entry_keys);
    collect_keys("", &Table::try_from(agent).expect("TOML"), &mut agent_keys);

    assert_eq!(documented_keys("## Entry"), entry_keys);
    assert_eq!(documented_keys("## Agent"), agent_keys);
}
