//! Commands that propose, review and accept single changes.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use cyclamenwharf::admin::ChangeMessage;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::ProposalMessage;
use cyclamenwharf::admin::RecordMessage;
use cyclamenwharf::admin::ReviewMessage;
use cyclamenwharf::admin::RollMessage;

use super::RecordFile;
use super::accept_change;
use super::propose_edits;
use super::random_id;
use super::tables;
use crate::admin_client::AdminClient;
use crate::command_error::CommandError;
use crate::output_format::OutputFormat;

/// Returns the commands of this module.
pub(crate) fn commands() -> Vec<Command> {
    let id = || Arg::new("id").value_name("CHANGE").required(true);
    vec![
        propose_command(),
        Command::new("proposals").about("Lists the stored proposals"),
        Command::new("show").about("Shows a proposal").arg(id()),
        Command::new("diff")
            .about("Shows what a proposal changes, and why it would be rejected at present")
            .arg(id()),
        Command::new("accept").about("Accepts a proposal").arg(id()),
        Command::new("reject").about("Rejects a proposal").arg(id()),
        history_command(),
        records_command(),
        roll_forward_command(),
        Command::new("put-back").about(
            "Restores the records in force in a key-value service that has reverted to older ones",
        ),
    ]
}

/// Returns the arguments of all commands that propose a change.
pub(super) fn proposal_args() -> [Arg; 2] {
    let reason = Arg::new("reason").long("reason").default_value("");
    let id = Arg::new("id").long("id").value_name("CHANGE");
    [
        reason.help("The reason for the change, shown to other operators"),
        id.help("The id of the change; a random id by default"),
    ]
}

fn propose_command() -> Command {
    let file = Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
        .help("A TOML file with a record; may be repeated");
    let remove = Arg::new("remove")
        .long("remove")
        .value_name("KIND/NAME")
        .action(ArgAction::Append)
        .help("A record to remove; may be repeated");
    Command::new("propose")
        .about("Proposes a change")
        .args([file, remove])
        .args(proposal_args())
}

fn history_command() -> Command {
    let key = Arg::new("key").value_name("KIND/NAME");
    Command::new("history")
        .about("Lists the accepted changes in the stored history")
        .arg(key.help("Lists only the changes of this record"))
}

fn records_command() -> Command {
    let kind = Arg::new("kind").value_name("KIND");
    let name = Arg::new("name").value_name("NAME").requires("kind");
    Command::new("records")
        .about("Lists the records in force")
        .args([kind, name])
}

fn roll_forward_command() -> Command {
    let key = Arg::new("key").value_name("KIND/NAME").required(true);
    let revision = Arg::new("revision")
        .long("revision")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("The revision with the earlier body");
    Command::new("roll-forward")
        .about("Proposes an earlier body of a record as a new revision")
        .args([key, revision])
        .args(proposal_args())
}

fn arg_or_empty<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

/// Returns the id from the arguments, or a random one.
pub(super) fn change_id(args: &ArgMatches) -> String {
    args.get_one("id").cloned().unwrap_or_else(random_id)
}

pub(crate) async fn propose(args: &ArgMatches) -> Result<(), CommandError> {
    let client = AdminClient::new(args)?;
    let files = args.get_many::<PathBuf>("file").into_iter().flatten();
    let mut edits = files
        .map(|file| RecordFile::read(file).map(EditMessage::Put))
        .collect::<Result<Vec<_>, _>>()?;
    let removed_keys = args.get_many::<String>("remove").into_iter().flatten();
    edits.extend(removed_keys.cloned().map(EditMessage::Remove));
    let reason = arg_or_empty(args, "reason");
    let proposal = propose_edits(&client, &change_id(args), reason, edits).await?;
    print_proposal(args, &proposal);
    Ok(())
}

pub(crate) async fn proposals(args: &ArgMatches) -> Result<(), CommandError> {
    let response: Vec<ProposalMessage> = AdminClient::new(args)?.get("/v1/proposals").await?;
    OutputFormat::from_args(args).print(&response, |response| tables::proposal_table(response));
    Ok(())
}

pub(crate) async fn show(args: &ArgMatches) -> Result<(), CommandError> {
    print_proposal(args, &get_review(args).await?.proposal);
    Ok(())
}

pub(crate) async fn diff(args: &ArgMatches) -> Result<(), CommandError> {
    OutputFormat::from_args(args).print(&get_review(args).await?, tables::review_table);
    Ok(())
}

pub(crate) async fn accept(args: &ArgMatches) -> Result<(), CommandError> {
    let client = AdminClient::new(args)?;
    let change = accept_change(&client, arg_or_empty(args, "id")).await?;
    print_change(args, &change);
    Ok(())
}

pub(crate) async fn reject(args: &ArgMatches) -> Result<(), CommandError> {
    let path = format!("/v1/proposals/{}/reject", arg_or_empty(args, "id"));
    let client = AdminClient::new(args)?;
    let proposal = client.post_empty(&path).await?;
    print_proposal(args, &proposal);
    Ok(())
}

pub(crate) async fn history(args: &ArgMatches) -> Result<(), CommandError> {
    let path = match args.get_one::<String>("key") {
        Some(key) => format!("/v1/history?key={key}"),
        None => "/v1/history".to_owned(),
    };
    let response: Vec<ChangeMessage> = AdminClient::new(args)?.get(&path).await?;
    OutputFormat::from_args(args).print(&response, |response| tables::change_table(response));
    Ok(())
}

pub(crate) async fn records(args: &ArgMatches) -> Result<(), CommandError> {
    let path = match (
        args.get_one::<String>("kind"),
        args.get_one::<String>("name"),
    ) {
        (Some(kind), Some(name)) => format!("/v1/records?kind={kind}&name={name}"),
        (Some(kind), None) => format!("/v1/records?kind={kind}"),
        (None, _) => "/v1/records".to_owned(),
    };
    let response: Vec<RecordMessage> = AdminClient::new(args)?.get(&path).await?;
    OutputFormat::from_args(args).print(&response, |response| tables::record_table(response));
    Ok(())
}

pub(crate) async fn roll_forward(args: &ArgMatches) -> Result<(), CommandError> {
    let message = RollMessage {
        id: change_id(args),
        key: arg_or_empty(args, "key").to_owned(),
        revision: args.get_one::<u64>("revision").copied().unwrap_or_default(),
        reason: arg_or_empty(args, "reason").to_owned(),
    };
    let client = AdminClient::new(args)?;
    let proposal = client.post("/v1/roll-forward", &message).await?;
    print_proposal(args, &proposal);
    Ok(())
}

pub(crate) async fn put_back(args: &ArgMatches) -> Result<(), CommandError> {
    let client = AdminClient::new(args)?;
    let revision: u64 = client.post_empty("/v1/put-back").await?;
    println!("revision {revision} is restored in the key-value service");
    Ok(())
}

async fn get_review(args: &ArgMatches) -> Result<ReviewMessage, CommandError> {
    let path = format!("/v1/proposals/{}", arg_or_empty(args, "id"));
    AdminClient::new(args)?.get(&path).await
}

/// Prints one proposal in the selected format.
pub(super) fn print_proposal(args: &ArgMatches, proposal: &ProposalMessage) {
    let table = |one: &ProposalMessage| tables::proposal_table(std::slice::from_ref(one));
    OutputFormat::from_args(args).print(proposal, table);
}

/// Prints one accepted change in the selected format.
pub(super) fn print_change(args: &ArgMatches, change: &ChangeMessage) {
    let table = |one: &ChangeMessage| tables::change_table(std::slice::from_ref(one));
    OutputFormat::from_args(args).print(change, table);
}
