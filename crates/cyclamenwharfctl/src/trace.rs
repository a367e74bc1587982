//! The `trace` command, which lists, fetches and replays recorded decisions.

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
use crate::command_error::CommandError;

/// Returns the `trace` command.
pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The trace file");
    let generation = Arg::new("generation")
        .value_name("GENERATION")
        .required(true)
        .value_parser(value_parser!(GenerationId))
        .help("The id of the generation, which is part of the ids of its events");
    Command::new("trace")
        .about("Commands for the recorded decisions of entries with [trace] in their settings")
        .subcommand_required(true)
        .subcommand(
            Command::new("replay")
                .about("Replays a trace, compares each step and checks the recorded outcome")
                .arg(file),
        )
        .subcommand(
            Command::new("list")
                .about("Lists the generations whose traces an entry stores, oldest first")
                .args(AdminClient::args()),
        )
        .subcommand(
            Command::new("fetch")
                .about("Prints a trace")
                .arg(generation)
                .args(AdminClient::args()),
        )
}

/// Runs the `trace` command.
///
/// # Errors
///
/// Fails if a trace cannot be read, or if its replay differs from the recording.
pub(crate) async fn run(args: &ArgMatches) -> Result<(), CommandError> {
    match args.subcommand() {
        Some(("replay", args)) => replay_file(args),
        Some(("list", args)) => list(args).await,
        Some(("fetch", args)) => fetch(args).await,
        _ => Ok(()),
    }
}

fn replay_file(args: &ArgMatches) -> Result<(), CommandError> {
    let file: &PathBuf = args.get_one("file").expect("clap requires it");
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::Read {
        file: file.clone(),
        source,
    })?;
    let outcome = replay(&text).map_err(CommandError::invalid_input)?;
    let outcome = outcome.map_err(|difference| CommandError::Replay {
        file: file.clone(),
        difference: difference.to_string(),
    })?;
    println!("{}", to_json(&outcome)?);
    Ok(())
}

fn to_json(outcome: &Outcome) -> Result<String, CommandError> {
    serde_json::to_string_pretty(outcome).map_err(CommandError::invalid_input)
}

async fn list(args: &ArgMatches) -> Result<(), CommandError> {
    let names: Vec<String> = AdminClient::new(args)?.get("/v1/traces").await?;
    for name in names {
        println!("{name}");
    }
    Ok(())
}

async fn fetch(args: &ArgMatches) -> Result<(), CommandError> {
    let generation: &GenerationId = args.get_one("generation").expect("clap requires it");
    let path = format!("/v1/traces/{generation}");
    let trace: TraceMessage = AdminClient::new(args)?.get(&path).await?;
    print!("{}", trace.lines);
    Ok(())
}
