//! `cyclamenwharfctl settings check`.

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

use crate::failure::Failure;

/// The table that only an agent's settings have.
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
        .help("The role; read from the file where it is left out");
    let check = Command::new("check")
        .about("Checks a settings file of the daemon")
        .args([file, role]);
    Command::new("settings")
        .about("Settings of the daemon")
        .subcommand_required(true)
        .subcommand(check)
}

/// Runs the `settings` command.
pub(crate) fn run(args: &ArgMatches) -> Result<(), Failure> {
    let Some(("check", args)) = args.subcommand() else {
        return Ok(());
    };
    let file: &PathBuf = args.get_one("file").expect("clap requires it");
    let role = match args.get_one::<String>("role").map(String::as_str) {
        Some("agent") => Role::Agent,
        Some(_) => Role::Entry,
        None => role_of(file)?,
    };
    check(file, role).map_err(Failure::input)?;
    println!("{}: ok", file.display());
    Ok(())
}

fn check(file: &Path, role: Role) -> Result<(), SettingsError> {
    match role {
        Role::Entry => EntrySettings::read(file).map(drop),
        Role::Agent => AgentSettings::read(file).map(drop),
    }
}

fn role_of(file: &Path) -> Result<Role, Failure> {
    let table: toml::Table = cyclamenwharf::read_settings(file).map_err(Failure::input)?;
    Ok(match table.contains_key(AGENT_TABLE) {
        true => Role::Agent,
        false => Role::Entry,
    })
}
