//! Tests the output and the exit codes of the tool with a small deployment.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::process::Output;

use cw_testkit::DeploymentSpec;
use cw_testkit::TestDeployment;
use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;

/// The path of the built tool.
const TOOL: &str = env!("CARGO_BIN_EXE_cyclamenwharfctl");

/// Runs the tool with the first entry and its first peer key.
async fn run(rig: &TestDeployment, args: &[&str]) -> Output {
    let settings = &rig.entries[0].settings;
    run_with_key(rig, &settings.secrets.peers[0], args).await
}

async fn run_with_key(rig: &TestDeployment, key: &str, args: &[&str]) -> Output {
    let admin = rig.entries[0].settings.listen.admin.to_string();
    let (key, args) = (key.to_owned(), args.iter().map(|arg| (*arg).to_owned()));
    let args: Vec<_> = args.collect();
    let run = move || {
        std::process::Command::new(TOOL)
            .args(args)
            .env("CYCLAMENWHARF_ADMIN", admin)
            .env("CYCLAMENWHARF_KEY", key)
            .output()
            .expect("the tool runs")
    };
    tokio::task::spawn_blocking(run).await.expect("no panic")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write_file(directory: &Path, name: &str, text: &str) -> String {
    let file = directory.join(name);
    std::fs::write(&file, text).expect("a writable directory");
    file.to_string_lossy().into_owned()
}

fn write_priority(directory: &Path, rank: u8) -> String {
    let text = format!("kind = \"priority\"\nname = \"batch\"\n\n[body]\nrank = {rank}\n");
    write_file(directory, "batch.toml", &text)
}

async fn start_rig() -> TestDeployment {
    let spec = DeploymentSpec {
        engines: 2,
        services: 0,
        entries: 1,
        ..DeploymentSpec::default()
    };
    TestDeployment::start(spec).await.expect("a deployment")
}

/// Runs the tool with an entry that answers each request with `body`.
fn run_with_response(body: &'static str, args: &[&str]) -> Output {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.expect("a connection");
            let _ = socket.read(&mut [0; 4096]);
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}");
            let _ = write!(socket, "{head}\r\n\r\n{body}");
        }
    });
    std::process::Command::new(TOOL)
        .args(args)
        .env("CYCLAMENWHARF_ADMIN", address)
        .env("CYCLAMENWHARF_KEY", "key")
        .output()
        .expect("the tool runs")
}

/// Guards against an operator who looks for a dead entry although it answers.
#[test]
fn a_response_that_cannot_be_parsed_is_not_reported_as_no_response() {
    let output = run_with_response("not json", &["status"]);

    assert_eq!(exit_code(&output), 1, "{}", stderr(&output));
    assert!(stderr(&output).contains("cannot parse the response"));
}

/// Guards against scripts that take a report whose entries are unreachable, or whose file cannot be
/// written, for an internal error.
#[rstest]
#[case(&["slo", "report", "--entry", "127.0.0.1:1"], 7)]
fn a_failed_report_has_the_exit_code_of_its_cause(#[case] args: &[&str], #[case] expected: i32) {
    let output = run_with_response("", args);

    assert_eq!(exit_code(&output), expected, "{}", stderr(&output));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_proposed_from_files_accepted_and_listed() {
    let rig = start_rig().await;
    let directory = TempDir::new().expect("a directory");
    let directory_path = directory.path().to_string_lossy().into_owned();
    write_priority(directory.path(), 1);

    let applied = run(&rig, &["apply", "-f", &directory_path, "--accept"]).await;
    let waited = run(&rig, &["wait", "--revision", "2"]).await;
    let reapplied = run(&rig, &["apply", "-f", &directory_path]).await;
    let file = write_priority(directory.path(), 9);
    let proposed = run(&rig, &["propose", "-f", &file, "--id", "c2"]).await;
    let diff = run(&rig, &["diff", "c2"]).await;
    let accepted = run(&rig, &["accept", "c2", "--output", "json"]).await;
    let history = run(&rig, &["history", "priority/batch"]).await;

    assert_eq!(exit_code(&applied), 0, "{}", stderr(&applied));
    assert_eq!(exit_code(&waited), 0, "{}", stderr(&waited));
    assert!(stdout(&reapplied).contains("nothing to change"));
    assert_eq!(exit_code(&proposed), 0, "{}", stderr(&proposed));
    assert!(stdout(&diff).contains("rank: 1 -> 9"), "{}", stdout(&diff));
    let change: Value = serde_json::from_str(&stdout(&accepted)).expect("JSON");
    assert_eq!(change["revision"], 3);
    assert_eq!(stdout(&history).lines().count(), 3);
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_a_target_as_drained_until_it_is_undrained() {
    let rig = start_rig().await;
    let target = rig.agents[0].settings.target.id.to_string();

    let drained = run(&rig, &["drain", &target, "--reason", "a test"]).await;
    let status_drained = run(&rig, &["status"]).await;
    let undrained = run(&rig, &["undrain", &target]).await;
    let status_undrained = run(&rig, &["status"]).await;

    assert_eq!(exit_code(&drained), 0, "{}", stderr(&drained));
    assert!(
        stdout(&status_drained).contains("(drained)"),
        "{}",
        stdout(&status_drained)
    );
    assert_eq!(exit_code(&undrained), 0, "{}", stderr(&undrained));
    assert!(
        !stdout(&status_undrained).contains("(drained)"),
        "{}",
        stdout(&status_undrained)
    );
    rig.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_code_depends_on_the_kind_of_error() {
    let rig = start_rig().await;
    let remove = |key| ["propose", "--id", "bad", "--remove", key];

    let not_allowed = run_with_key(&rig, "nobody", &["status"]).await;
    let not_found = run(&rig, &["accept", "nothing"]).await;
    let proposed = run(&rig, &remove("priority/normal")).await;
    let duplicate_id = run(&rig, &remove("priority/high")).await;
    let broken_route = run(&rig, &["accept", "bad"]).await;
    let timeout = run(&rig, &["wait", "--revision", "99", "--timeout", "0s"]).await;
    rig.stop().await;
    let unavailable = run(&rig, &["status"]).await;

    assert_eq!(exit_code(&not_allowed), 3);
    assert_eq!(exit_code(&not_found), 4);
    assert_eq!(exit_code(&proposed), 0);
    assert_eq!(
        exit_code(&duplicate_id),
        5,
        "another change already has this id"
    );
    assert_eq!(exit_code(&broken_route), 6, "{}", stderr(&broken_route));
    assert!(
        stderr(&broken_route).contains("route"),
        "{}",
        stderr(&broken_route)
    );
    assert_eq!(exit_code(&timeout), 9);
    assert_eq!(exit_code(&unavailable), 7);
}

#[rstest]
#[case::unknown_key("host = \"h\"\nnonsense = 1\n", "nonsense")]
#[case::not_toml("host = ", "TOML")]
fn settings_check_reports_the_invalid_part(#[case] settings: &str, #[case] expected: &str) {
    let directory = TempDir::new().expect("a directory");
    let file = write_file(directory.path(), "entry.toml", settings);

    let output = std::process::Command::new(TOOL)
        .args(["settings", "check", &file])
        .output()
        .expect("the tool runs");

    assert_eq!(exit_code(&output), 2);
    assert!(stderr(&output).contains("entry.toml"));
    assert!(stderr(&output).contains(expected), "{}", stderr(&output));
}

#[test]
fn example_settings_are_valid() {
    for name in ["entry.toml", "agent.toml"] {
        let file = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(name);
        let output = std::process::Command::new(TOOL)
            .args(["settings", "check", &file.to_string_lossy()])
            .output()
            .expect("the tool runs");

        assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    }
}
