//! Recorded decisions: list, fetch and replay them.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use cw_policy::trace::Outcome;
use cw_policy::trace::replay;
use cw_types::GenerationId;
use cyclamenwharf::admin::TraceMessage;

use crate::admin_client::AdminClient;
use crate::failure::Failure;

/// Returns the `trace` command.
pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The trace");
    let generation = Arg::new("generation")
        .value_name("GENERATION")
        .required(true)
        .value_parser(value_parser!(GenerationId))
        .help("The generation's id, as in the ids of its events");
    Command::new("trace")
        .about("Recorded decisions of entries whose settings have [trace]")
        .subcommand_required(true)
        .subcommand(
            Command::new("replay")
                .about("Replays a trace, compares each step and checks the stated outcome")
                .arg(file),
        )
        .subcommand(
            Command::new("list")
                .about("Lists the generations whose traces an entry keeps, oldest first")
                .args(AdminClient::args()),
        )
        .subcommand(
            Command::new("fetch")
                .about("Writes a trace to standard output")
                .arg(generation)
                .args(AdminClient::args()),
        )
}

/// Runs the `trace` command.
///
/// # Errors
///
/// Fails when a trace cannot be read, or its replay differs.
pub(crate) async fn run(args: &ArgMatches) -> Result<(), Failure> {
    match args.subcommand() {
        Some(("replay", args)) => replay_file(args),
        Some(("list", args)) => list(args).await,
        Some(("fetch", args)) => fetch(args).await,
        _ => Ok(()),
    }
}

fn replay_file(args: &ArgMatches) -> Result<(), Failure> {
    let file: &PathBuf = args.get_one("file").expect("clap requires it");
    let text = std::fs::read_to_string(file).map_err(|source| Failure::Read {
        file: file.clone(),
        source,
    })?;
    let outcome = replay(&text).map_err(Failure::input)?;
    let outcome = outcome.map_err(|difference| Failure::Replay {
        file: file.clone(),
        difference: difference.to_string(),
    })?;
    println!("{}", summary(&outcome)?);
    Ok(())
}

fn summary(outcome: &Outcome) -> Result<String, Failure> {
    serde_json::to_string_pretty(outcome).map_err(Failure::input)
}

async fn list(args: &ArgMatches) -> Result<(), Failure> {
    let names: Vec<String> = AdminClient::new(args)?.get("/v1/traces").await?;
    for name in names {
        println!("{name}");
    }
    Ok(())
}

async fn fetch(args: &ArgMatches) -> Result<(), Failure> {
    let generation: &GenerationId = args.get_one("generation").expect("clap requires it");
    let path = format!("/v1/traces/{generation}");
    let trace: TraceMessage = AdminClient::new(args)?.get(&path).await?;
    print!("{}", trace.lines);
    Ok(())
}
