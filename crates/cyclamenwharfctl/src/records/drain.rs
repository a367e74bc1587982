//! `cyclamenwharfctl drain` and `undrain`.

use std::collections::BTreeMap;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use cyclamenwharf::admin::EditMessage;
use cyclamenwharf::admin::RecordMessage;

use super::accept_change;
use super::changes::print_change;
use super::new_id;
use super::propose_edits;
use crate::admin_client::AdminClient;
use crate::failure::Failure;

/// The kind of the records.
const KIND: &str = "drain";

/// Returns the `drain` and `undrain` commands.
pub(crate) fn drain_commands() -> [Command; 2] {
    let name = || {
        let name = Arg::new("name").value_name("TARGET|HOST").required(true);
        name.help("The target, or the host for all targets on it")
    };
    let reason = Arg::new("reason").long("reason").default_value("");
    [
        Command::new("drain")
            .about("Gives a target or host no new work, and lets it finish what it has")
            .arg(name())
            .arg(reason.help("Why, for other operators")),
        Command::new("undrain")
            .about("Gives a target or host work again")
            .arg(name()),
    ]
}

/// Runs the `drain` command.
pub(crate) async fn drain(args: &ArgMatches) -> Result<(), Failure> {
    let name: &String = args.get_one("name").expect("clap requires it");
    let reason: &String = args.get_one("reason").expect("it has a default");
    let client = AdminClient::new(args)?;
    if is_drained(&client, name).await? {
        println!("{name} is drained already");
        return Ok(());
    }
    let record = RecordMessage {
        kind: KIND.to_owned(),
        name: name.clone(),
        schema: None,
        body: BTreeMap::from([("reason".to_owned(), reason.clone().into())]),
        revision: None,
    };
    change(args, &client, EditMessage::Put(record)).await
}

/// Runs the `undrain` command.
pub(crate) async fn undrain(args: &ArgMatches) -> Result<(), Failure> {
    let name: &String = args.get_one("name").expect("clap requires it");
    let client = AdminClient::new(args)?;
    if !is_drained(&client, name).await? {
        println!("{name} is not drained");
        return Ok(());
    }
    let edit = EditMessage::Remove(format!("{KIND}/{name}"));
    change(args, &client, edit).await
}

async fn is_drained(client: &AdminClient, name: &str) -> Result<bool, Failure> {
    let path = format!("/v1/records?kind={KIND}&name={name}");
    let found: Vec<RecordMessage> = client.get(&path).await?;
    Ok(!found.is_empty())
}

async fn change(args: &ArgMatches, client: &AdminClient, edit: EditMessage) -> Result<(), Failure> {
    let id = new_id();
    propose_edits(client, &id, "", vec![edit]).await?;
    print_change(args, &accept_change(client, &id).await?);
    Ok(())
}
