//! The `apply` command, which proposes the records of a directory as one change.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::RecordMessage;

use super::RecordFile;
use super::accept_change;
use super::changes::change_id;
use super::changes::print_change;
use super::changes::print_proposal;
use super::changes::proposal_args;
use super::propose_edits;
use crate::admin_client::AdminClient;
use crate::command_error::CommandError;

/// Returns the `apply` command.
pub(crate) fn apply_command() -> Command {
    let directory = Arg::new("directory")
        .short('f')
        .long("file")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The directory with records as TOML files");
    let accept = Arg::new("accept")
        .long("accept")
        .action(ArgAction::SetTrue)
        .help("Also accepts the change");
    Command::new("apply")
        .about("Proposes the records of a directory that differ from those in force")
        .args([directory, accept])
        .args(proposal_args())
}

/// Runs the `apply` command.
pub(crate) async fn apply(args: &ArgMatches) -> Result<(), CommandError> {
    let client = AdminClient::new(args)?;
    let directory: &PathBuf = args.get_one("directory").expect("clap requires it");
    let desired = RecordFile::read_all(directory)?;
    let current: Vec<RecordMessage> = client.get("/v1/records").await?;
    let edits: Vec<_> = desired
        .into_iter()
        .filter(|record| !current.iter().any(|old| is_unchanged(old, record)))
        .map(EditMessage::Put)
        .collect();
    if edits.is_empty() {
        println!("nothing to change");
        return Ok(());
    }
    let reason = args.get_one::<String>("reason").map_or("", String::as_str);
    let proposal = propose_edits(&client, &change_id(args), reason, edits).await?;
    if !args.get_flag("accept") {
        print_proposal(args, &proposal);
        return Ok(());
    }
    print_change(args, &accept_change(&client, &proposal.id).await?);
    Ok(())
}

fn is_unchanged(old: &RecordMessage, new: &RecordMessage) -> bool {
    let schema = new.schema.or(old.schema);
    old.kind == new.kind && old.name == new.name && old.schema == schema && old.body == new.body
}
