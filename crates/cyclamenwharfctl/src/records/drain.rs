//! The `drain` and `undrain` commands.

use std::collections::BTreeMap;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::RecordMessage;

use super::accept_change;
use super::changes::print_change;
use super::propose_edits;
use super::random_id;
use crate::admin_client::AdminClient;
use crate::command_error::CommandError;

/// The kind of the records that drain a target or host.
const DRAIN_KIND: &str = "drain";

/// Returns the `drain` and `undrain` commands.
pub(crate) fn drain_commands() -> [Command; 2] {
    let name = || {
        let name = Arg::new("name").value_name("TARGET|HOST").required(true);
        name.help("The target, or a host to select all targets on it")
    };
    let reason = Arg::new("reason").long("reason").default_value("");
    [
        Command::new("drain")
            .about("Stops new work on a target or host, which still finishes its running work")
            .arg(name())
            .arg(reason.help("The reason, shown to other operators")),
        Command::new("undrain")
            .about("Allows new work on a target or host again")
            .arg(name()),
    ]
}

/// Runs the `drain` command.
pub(crate) async fn drain(args: &ArgMatches) -> Result<(), CommandError> {
    let name: &String = args.get_one("name").expect("clap requires it");
    let reason: &String = args.get_one("reason").expect("clap sets the default");
    let client = AdminClient::new(args)?;
    if is_drained(&client, name).await? {
        println!("{name} is already drained");
        return Ok(());
    }
    let record = RecordMessage {
        kind: DRAIN_KIND.to_owned(),
        name: name.clone(),
        schema: None,
        body: BTreeMap::from([("reason".to_owned(), reason.clone().into())]),
        revision: None,
    };
    apply_edit(args, &client, EditMessage::Put(record)).await
}

/// Runs the `undrain` command.
pub(crate) async fn undrain(args: &ArgMatches) -> Result<(), CommandError> {
    let name: &String = args.get_one("name").expect("clap requires it");
    let client = AdminClient::new(args)?;
    if !is_drained(&client, name).await? {
        println!("{name} is not drained");
        return Ok(());
    }
    let edit = EditMessage::Remove(format!("{DRAIN_KIND}/{name}"));
    apply_edit(args, &client, edit).await
}

async fn is_drained(client: &AdminClient, name: &str) -> Result<bool, CommandError> {
    let path = format!("/v1/records?kind={DRAIN_KIND}&name={name}");
    let records: Vec<RecordMessage> = client.get(&path).await?;
    Ok(!records.is_empty())
}

async fn apply_edit(
    args: &ArgMatches,
    client: &AdminClient,
    edit: EditMessage,
) -> Result<(), CommandError> {
    let id = random_id();
    propose_edits(client, &id, "", vec![edit]).await?;
    print_change(args, &accept_change(client, &id).await?);
    Ok(())
}
