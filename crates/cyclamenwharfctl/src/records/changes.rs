//! Commands for single changes.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use cyclamenwharf::admin::AcceptMessage;
use cyclamenwharf::admin::ChangeMessage;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::ProposalMessage;
use cyclamenwharf::admin::RecordMessage;
use cyclamenwharf::admin::ReviewMessage;
use cyclamenwharf::admin::RollMessage;

use super::RecordFile;
use super::accept_change;
use super::new_id;
use super::propose_edits;
use super::tables;
use crate::admin_client::AdminClient;
use crate::failure::Failure;
use crate::output::Output;

/// Returns the commands for single changes.
pub(crate) fn commands() -> Vec<Command> {
    let id = || Arg::new("id").value_name("CHANGE").required(true);
    vec![
        propose_command(),
        Command::new("proposals").about("Lists the proposals that are kept"),
        Command::new("show").about("Shows a proposal").arg(id()),
        Command::new("diff")
            .about("Shows what a proposal changes, and why it would be refused now")
            .arg(id()),
        Command::new("accept").about("Accepts a change").arg(id()),
        Command::new("reject").about("Rejects a change").arg(id()),
        history_command(),
        records_command(),
        roll_command(),
        Command::new("put-back")
            .about("Writes what is in force back to a service that went back to older records"),
    ]
}

/// Returns the arguments of every command that proposes.
pub(super) fn proposal_args() -> [Arg; 2] {
    let reason = Arg::new("reason").long("reason").default_value("");
    let id = Arg::new("id").long("id").value_name("CHANGE");
    [
        reason.help("Why, for other operators"),
        id.help("The id of the change; a new one where it is left out"),
    ]
}

fn propose_command() -> Command {
    let file = Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
        .help("A record as a TOML file; repeat it for more");
    let remove = Arg::new("remove")
        .long("remove")
        .value_name("KIND/NAME")
        .action(ArgAction::Append)
        .help("A record to remove; repeat it for more");
    Command::new("propose")
        .about("Proposes a change")
        .args([file, remove])
        .args(proposal_args())
}

fn history_command() -> Command {
    let key = Arg::new("key").value_name("KIND/NAME");
    Command::new("history")
        .about("Lists the accepted changes that are remembered")
        .arg(key.help("Only changes of this record"))
}

fn records_command() -> Command {
    let kind = Arg::new("kind").value_name("KIND");
    let name = Arg::new("name").value_name("NAME").requires("kind");
    Command::new("records")
        .about("Lists the records in force")
        .args([kind, name])
}

fn roll_command() -> Command {
    let key = Arg::new("key").value_name("KIND/NAME").required(true);
    let revision = Arg::new("revision")
        .long("revision")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("The revision whose body is wanted");
    Command::new("roll-forward")
        .about("Proposes an earlier body of a record as a new revision")
        .args([key, revision])
        .args(proposal_args())
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

/// Returns the id that was given, or a new one.
pub(super) fn id_of(args: &ArgMatches) -> String {
    args.get_one("id").cloned().unwrap_or_else(new_id)
}

pub(crate) async fn propose(args: &ArgMatches) -> Result<(), Failure> {
    let client = AdminClient::new(args)?;
    let files = args.get_many::<PathBuf>("file").into_iter().flatten();
    let mut edits = files
        .map(|file| RecordFile::read(file).map(EditMessage::Put))
        .collect::<Result<Vec<_>, _>>()?;
    let removed = args.get_many::<String>("remove").into_iter().flatten();
    edits.extend(removed.cloned().map(EditMessage::Remove));
    let reason = text(args, "reason");
    let proposal = propose_edits(&client, &id_of(args), reason, edits).await?;
    print_proposal(args, &proposal);
    Ok(())
}

pub(crate) async fn proposals(args: &ArgMatches) -> Result<(), Failure> {
    let found: Vec<ProposalMessage> = AdminClient::new(args)?.get("/v1/proposals").await?;
    Output::read(args).print(&found, |found| tables::of_proposals(found));
    Ok(())
}

pub(crate) async fn show(args: &ArgMatches) -> Result<(), Failure> {
    print_proposal(args, &review(args).await?.proposal);
    Ok(())
}

pub(crate) async fn diff(args: &ArgMatches) -> Result<(), Failure> {
    Output::read(args).print(&review(args).await?, tables::of_review);
    Ok(())
}

pub(crate) async fn accept(args: &ArgMatches) -> Result<(), Failure> {
    let client = AdminClient::new(args)?;
    let change = accept_change(&client, text(args, "id")).await?;
    print_change(args, &change);
    Ok(())
}

pub(crate) async fn reject(args: &ArgMatches) -> Result<(), Failure> {
    let path = format!("/v1/proposals/{}/reject", text(args, "id"));
    let client = AdminClient::new(args)?;
    let proposal = client.post(&path, &AcceptMessage::default()).await?;
    print_proposal(args, &proposal);
    Ok(())
}

pub(crate) async fn history(args: &ArgMatches) -> Result<(), Failure> {
    let path = match args.get_one::<String>("key") {
        Some(key) => format!("/v1/history?key={key}"),
        None => "/v1/history".to_owned(),
    };
    let found: Vec<ChangeMessage> = AdminClient::new(args)?.get(&path).await?;
    Output::read(args).print(&found, |found| tables::of_changes(found));
    Ok(())
}

pub(crate) async fn records(args: &ArgMatches) -> Result<(), Failure> {
    let path = match (
        args.get_one::<String>("kind"),
        args.get_one::<String>("name"),
    ) {
        (Some(kind), Some(name)) => format!("/v1/records?kind={kind}&name={name}"),
        (Some(kind), None) => format!("/v1/records?kind={kind}"),
        (None, _) => "/v1/records".to_owned(),
    };
    let found: Vec<RecordMessage> = AdminClient::new(args)?.get(&path).await?;
    Output::read(args).print(&found, |found| tables::of_records(found));
    Ok(())
}

pub(crate) async fn roll_forward(args: &ArgMatches) -> Result<(), Failure> {
    let message = RollMessage {
        id: id_of(args),
        key: text(args, "key").to_owned(),
        revision: args.get_one::<u64>("revision").copied().unwrap_or_default(),
        reason: text(args, "reason").to_owned(),
    };
    let client = AdminClient::new(args)?;
    let proposal = client.post("/v1/roll-forward", &message).await?;
    print_proposal(args, &proposal);
    Ok(())
}

pub(crate) async fn put_back(args: &ArgMatches) -> Result<(), Failure> {
    let client = AdminClient::new(args)?;
    let revision: u64 = client
        .post("/v1/put-back", &AcceptMessage::default())
        .await?;
    println!("revision {revision} is in the key-value service again");
    Ok(())
}

async fn review(args: &ArgMatches) -> Result<ReviewMessage, Failure> {
    let path = format!("/v1/proposals/{}", text(args, "id"));
    AdminClient::new(args)?.get(&path).await
}

/// Prints one proposal.
pub(super) fn print_proposal(args: &ArgMatches, proposal: &ProposalMessage) {
    let table = |one: &ProposalMessage| tables::of_proposals(std::slice::from_ref(one));
    Output::read(args).print(proposal, table);
}

/// Prints one accepted change.
pub(super) fn print_change(args: &ArgMatches, change: &ChangeMessage) {
    let table = |one: &ChangeMessage| tables::of_changes(std::slice::from_ref(one));
    Output::read(args).print(change, table);
}
