//! The `status` and `wait` commands.

use std::time::Duration;
use std::time::Instant;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use cyclamenwharf::admin::StatusMessage;

use crate::admin_client::AdminClient;
use crate::command_error::CommandError;
use crate::output_format::OutputFormat;
use crate::output_format::Table;

/// The interval between two status calls of the `wait` command.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the `status` and `wait` commands.
pub(crate) fn commands() -> [Command; 2] {
    let revision = Arg::new("revision")
        .long("revision")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("The revision that must be in force on every entry");
    let timeout = Arg::new("timeout")
        .long("timeout")
        .default_value("30s")
        .value_parser(humantime::parse_duration)
        .help("How long to wait");
    [
        Command::new("status").about(
            "Shows the revision in force by process, the targets with their state, and the planner",
        ),
        Command::new("wait")
            .about("Waits until a revision is in force on every entry")
            .args([revision, timeout]),
    ]
}

/// Runs the `status` command.
pub(crate) async fn status(args: &ArgMatches) -> Result<(), CommandError> {
    let status: StatusMessage = AdminClient::new(args)?.get("/v1/status").await?;
    match OutputFormat::from_args(args) {
        OutputFormat::Json => OutputFormat::Json.print(&status, |_| Table::default()),
        OutputFormat::Table => print!("{}", render(&status)),
    }
    Ok(())
}

/// Runs the `wait` command.
pub(crate) async fn wait(args: &ArgMatches) -> Result<(), CommandError> {
    let client = AdminClient::new(args)?;
    let revision = args.get_one::<u64>("revision").copied().unwrap_or_default();
    let timeout = args.get_one::<Duration>("timeout").copied();
    let deadline = Instant::now() + timeout.unwrap_or_default();
    loop {
        let status: StatusMessage = client.get("/v1/status").await?;
        if status.everywhere >= revision && status.revision >= revision {
            println!("revision {} is in force everywhere", status.everywhere);
            return Ok(());
        }
        if Instant::now() >= deadline {
            let message = format!(
                "revision {} is in force everywhere, {revision} is not",
                status.everywhere
            );
            return Err(CommandError::Timeout { message });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn render(status: &StatusMessage) -> String {
    let mut summary = Table::new([
        "ENTRY ASKED",
        "REVISION",
        "EVERYWHERE",
        "PLANNER",
        "FENCING",
    ]);
    summary.add_row([
        status.host.clone(),
        status.revision.to_string(),
        status.everywhere.to_string(),
        status.planner.holder.clone().unwrap_or("none".to_owned()),
        status.planner.fencing.to_string(),
    ]);
    let mut entries = Table::new(["ENTRY", "REVISION", "AGE"]);
    for process in &status.processes {
        entries.add_row([
            process.host.clone(),
            process.revision.to_string(),
            format!("{}ms", process.age_ms),
        ]);
    }
    let mut text = format!(
        "{}\n{}\n{}",
        summary.render(),
        entries.render(),
        target_table(status).render()
    );
    if let Some(alarm) = &status.alarm {
        text.push_str(&format!("\nALARM: {alarm}\n"));
    }
    text
}

fn target_table(status: &StatusMessage) -> Table {
    let mut table = Table::new([
        "TARGET", "HOST", "ZONE", "STATE", "RUNNING", "REVISION", "VERSIONS",
    ]);
    for target in &status.targets {
        let versions = target.versions.iter();
        let versions = versions.map(|(model, versions)| format!("{model}:{}", versions.join(",")));
        let drained = if target.drained { " (drained)" } else { "" };
        table.add_row([
            target.id.clone(),
            target.host.clone(),
            target.zone.clone(),
            format!("{}{drained}", target.liveness),
            target.running.to_string(),
            target.revision.to_string(),
            versions.collect::<Vec<_>>().join(" "),
        ]);
    }
    table
}
