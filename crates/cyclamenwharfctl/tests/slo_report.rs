//! Tests that the report sums up entries, names missing data and supports each output format.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;

use rstest::rstest;

const METRICS: &str = "\
cyclamenwharf_slo_events{route=\"chat\",priority=\"fast\",objective=\"first_token\",window=\"5m\",outcome=\"good\"} 20
cyclamenwharf_slo_events{route=\"chat\",priority=\"fast\",objective=\"first_token\",window=\"5m\",outcome=\"all\"} 100
cyclamenwharf_slo_events{route=\"chat\",priority=\"fast\",objective=\"first_token\",window=\"1h\",outcome=\"good\"} 20
cyclamenwharf_slo_events{route=\"chat\",priority=\"fast\",objective=\"first_token\",window=\"1h\",outcome=\"all\"} 100
cyclamenwharf_slo_covered_seconds{window=\"5m\"} 300
cyclamenwharf_slo_covered_seconds{window=\"1h\"} 600
cyclamenwharf_slo_covered_seconds{window=\"6h\"} 600
cyclamenwharf_slo_covered_seconds{window=\"3d\"} 600
cyclamenwharf_slo_fraction{objective=\"first_token\"} 0.95
another_metric 1
";

/// Starts a server that sends `METRICS` to one client.
fn start_entry() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be listened on");
    let address = listener.local_addr().expect("a listener has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let _ = stream.read(&mut [0; 1024]);
        let length = METRICS.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(METRICS.as_bytes());
    });
    address
}

/// Returns an address that nothing listens on.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be listened on");
    listener.local_addr().expect("a listener has an address")
}

fn run_report(entries: &[SocketAddr], output: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cyclamenwharfctl"));
    command.args(["slo", "report", "--output", output]);
    for entry in entries {
        command.args(["--entry", &entry.to_string()]);
    }
    command.output().expect("the tool runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[rstest]
fn table_shows_the_burn_rate_over_all_entries_and_the_missing_data() {
    let output = run_report(&[start_entry(), start_entry(), unused_address()], "table");

    let table = stdout(&output);
    assert!(output.status.success(), "{output:?}");
    assert!(
        table.contains("16.00"),
        "80 % bad events with 5 % allowed: {table}"
    );
    assert!(table.contains("page"), "{table}");
    assert!(table.contains("Entries read: 2"), "{table}");
    assert!(table.contains("could not be read"), "{table}");
    assert!(table.contains("The 3d window is incomplete"), "{table}");
}

#[rstest]
fn json_contains_the_summed_counts() {
    let output = run_report(&[start_entry(), start_entry()], "json");

    let json: serde_json::Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    assert_eq!(json["rows"][0]["burn"]["counts"][0]["total"], 200);
    assert_eq!(json["rows"][0]["condition"], "page");
}

#[rstest]
fn html_page_embeds_its_plots() {
    let output = run_report(&[start_entry()], "html");

    let page = stdout(&output);
    assert!(page.contains("<svg"), "{page}");
    assert!(!page.contains("src="), "the page is self-contained");
}

#[rstest]
fn report_without_any_readable_entry_is_an_error() {
    let output = run_report(&[unused_address()], "table");

    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("no entry could be read"));
}
