//! The tool against a small deployment, by its output and exit codes.

use std::path::Path;
use std::process::Output;

use cw_testkit::DeploymentSpec;
use cw_testkit::TestDeployment;
use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;

/// The tool of this build.
const TOOL: &str = env!("CARGO_BIN_EXE_cyclamenwharfctl");

/// Runs the tool against an entry.
async fn run(rig: &TestDeployment, args: &[&str]) -> Output {
    let settings = &rig.entries[0].settings;
    run_as(rig, &settings.secrets.peers[0], args).await
}

async fn run_as(rig: &TestDeployment, key: &str, args: &[&str]) -> Output {
    let admin = rig.entries[0].settings.listen.admin.to_string();
    let (key, args) = (key.to_owned(), args.iter().map(|arg| (*arg).to_owned()));
    let args: Vec<_> = args.collect();
    let work = move || {
        std::process::Command::new(TOOL)
            .args(args)
            .env("CYCLAMENWHARF_ADMIN", admin)
            .env("CYCLAMENWHARF_KEY", key)
            .output()
            .expect("the tool runs")
    };
    tokio::task::spawn_blocking(work).await.expect("no panic")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write(directory: &Path, name: &str, text: &str) -> String {
    let file = directory.join(name);
    std::fs::write(&file, text).expect("a writable directory");
    file.to_string_lossy().into_owned()
}

fn priority(directory: &Path, rank: u8) -> String {
    let text = format!("kind = \"priority\"\nname = \"batch\"\n\n[body]\nrank = {rank}\n");
    write(directory, "batch.toml", &text)
}

async fn rig() -> TestDeployment {
    let spec = DeploymentSpec {
        engines: 2,
        services: 0,
        entries: 1,
        ..DeploymentSpec::default()
    };
    TestDeployment::start(spec).await.expect("a deployment")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_goes_from_file_to_force_and_back() {
    let rig = rig().await;
    let directory = TempDir::new().expect("a directory");
    let place = directory.path().to_string_lossy().into_owned();
    priority(directory.path(), 1);

    let applied = run(&rig, &["apply", "-f", &place, "--accept"]).await;
    let waited = run(&rig, &["wait", "--revision", "2"]).await;
    let again = run(&rig, &["apply", "-f", &place]).await;
    let file = priority(directory.path(), 9);
    let proposed = run(&rig, &["propose", "-f", &file, "--id", "c2"]).await;
    let diff = run(&rig, &["diff", "c2"]).await;
    let accepted = run(&rig, &["accept", "c2", "--output", "json"]).await;
    let history = run(&rig, &["history", "priority/batch"]).await;

    assert_eq!(code(&applied), 0, "{}", errors(&applied));
    assert_eq!(code(&waited), 0, "{}", errors(&waited));
    assert!(text(&again).contains("nothing to change"));
    assert_eq!(code(&proposed), 0, "{}", errors(&proposed));
    assert!(text(&diff).contains("rank: 1 -> 9"), "{}", text(&diff));
    let change: Value = serde_json::from_str(&text(&accepted)).expect("JSON");
    assert_eq!(change["revision"], 3);
    assert_eq!(text(&history).lines().count(), 3);
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_target_shows_in_the_status_until_it_is_undrained() {
    let rig = rig().await;
    let target = rig.agents[0].settings.target.id.to_string();

    let drained = run(&rig, &["drain", &target, "--reason", "a test"]).await;
    let shown = run(&rig, &["status"]).await;
    let undrained = run(&rig, &["undrain", &target]).await;
    let later = run(&rig, &["status"]).await;

    assert_eq!(code(&drained), 0, "{}", errors(&drained));
    assert!(text(&shown).contains("(drained)"), "{}", text(&shown));
    assert_eq!(code(&undrained), 0, "{}", errors(&undrained));
    assert!(!text(&later).contains("(drained)"), "{}", text(&later));
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_code_says_what_kind_of_error_it_is() {
    let rig = rig().await;
    let remove = |key| ["propose", "--id", "bad", "--remove", key];

    let not_allowed = run_as(&rig, "nobody", &["status"]).await;
    let not_found = run(&rig, &["accept", "nothing"]).await;
    let proposed = run(&rig, &remove("priority/normal")).await;
    let other = run(&rig, &remove("priority/high")).await;
    let breaks = run(&rig, &["accept", "bad"]).await;
    let timeout = run(&rig, &["wait", "--revision", "99", "--timeout", "0s"]).await;
    rig.stop().await;
    let unavailable = run(&rig, &["status"]).await;

    assert_eq!(code(&not_allowed), 3);
    assert_eq!(code(&not_found), 4);
    assert_eq!(code(&proposed), 0);
    assert_eq!(code(&other), 5, "another change has the id");
    assert_eq!(code(&breaks), 6, "{}", errors(&breaks));
    assert!(errors(&breaks).contains("route"), "{}", errors(&breaks));
    assert_eq!(code(&timeout), 9);
    assert_eq!(code(&unavailable), 7);
}

#[rstest]
#[case::unknown_key("host = \"h\"\nnonsense = 1\n", "nonsense")]
#[case::not_toml("host = ", "TOML")]
fn settings_check_names_what_is_wrong(#[case] settings: &str, #[case] expected: &str) {
    let directory = TempDir::new().expect("a directory");
    let file = write(directory.path(), "entry.toml", settings);

    let output = std::process::Command::new(TOOL)
        .args(["settings", "check", &file])
        .output()
        .expect("the tool runs");

    assert_eq!(code(&output), 2);
    assert!(errors(&output).contains("entry.toml"));
    assert!(errors(&output).contains(expected), "{}", errors(&output));
}

#[test]
fn settings_of_the_examples_are_right() {
    for name in ["entry.toml", "agent.toml"] {
        let file = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(name);
        let output = std::process::Command::new(TOOL)
            .args(["settings", "check", &file.to_string_lossy()])
            .output()
            .expect("the tool runs");

        assert_eq!(code(&output), 0, "{}", errors(&output));
    }
}
