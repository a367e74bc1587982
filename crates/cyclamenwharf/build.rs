//! Records the commit that the program is built from, so that a log tells which sources were running.

use std::path::Path;
use std::process::Command;

/// What the program states if it is not built from a checkout.
const UNKNOWN: &str = "unknown";

fn main() {
    let commit = git(&["rev-parse", "--short=12", "HEAD"]);
    println!(
        "cargo::rustc-env=CYCLAMENWHARF_COMMIT={}",
        commit.as_deref().unwrap_or(UNKNOWN)
    );
    // The log of the head has a new line for each commit and each checkout.
    let log = git(&["rev-parse", "--git-path", "logs/HEAD"]);
    if let Some(log) = log.filter(|log| Path::new(log).exists()) {
        println!("cargo::rerun-if-changed={log}");
    }
    println!("cargo::rerun-if-changed=build.rs");
}

/// Returns what git prints, `None` without git or a checkout.
fn git(args: &[&str]) -> Option<String> {
    let output = Command::new("git").args(args).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    let text = text.trim();
    (output.status.success() && !text.is_empty()).then(|| text.to_owned())
}
