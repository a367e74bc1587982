//! The `settings check` command, which validates a settings file.

use std::path::Path;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use cyclamenwharf::AgentSettings;
use cyclamenwharf::EntrySettings;
use cyclamenwharf::Role;
use cyclamenwharf::SettingsError;

use crate::command_error::CommandError;

/// The settings table that only agents have.
const AGENT_TABLE: &str = "target";

/// Returns the `settings` command.
pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let role = Arg::new("role")
        .long("role")
        .value_parser(PossibleValuesParser::new(["entry", "agent"]))
        .help("The role of the process; detected from the file by default");
    let check = Command::new("check")
        .about("Checks a settings file of the daemon")
        .args([file, role]);
    Command::new("settings")
        .about("Commands for the daemon's settings")
        .subcommand_required(true)
        .subcommand(check)
}

/// Runs the `settings` command.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let Some(("check", args)) = args.subcommand() else {
        return Ok(());
    };
    let file: &PathBuf = args.get_one("file").expect("clap requires it");
    let role = match args.get_one::<String>("role").map(String::as_str) {
        Some("agent") => Role::Agent,
        Some(_) => Role::Entry,
        None => detect_role(file)?,
    };
    check(file, role).map_err(CommandError::invalid_input)?;
    println!("{}: ok", file.display());
    Ok(())
}

fn check(file: &Path, role: Role) -> Result<(), SettingsError> {
    match role {
        Role::Entry => EntrySettings::read(file).map(drop),
        Role::Agent => AgentSettings::read(file).map(drop),
    }
}

fn detect_role(file: &Path) -> Result<Role, CommandError> {
    let table: toml::Table =
        cyclamenwharf::read_settings(file).map_err(CommandError::invalid_input)?;
    Ok(match table.contains_key(AGENT_TABLE) {
        true => Role::Agent,
        false => Role::Entry,
    })
}
