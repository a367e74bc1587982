//! The operators' command-line tool.

mod admin_client;
mod failure;
mod output;
mod records;
mod settings;
mod slo;
mod status;
mod trace;

use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

use crate::admin_client::AdminClient;
use crate::failure::Failure;
use crate::output::Output;

/// The name of the tool.
const NAME: &str = "cyclamenwharfctl";

/// What the tool tells of its exit codes.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 internal error, 2 bad input, 3 not allowed, \
    4 not found, 5 conflict, 6 the change would break something, 7 unavailable, \
    8 outcome unknown (repeat the command), 9 timeout";

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{NAME}: {failure}");
            failure.code()
        }
    }
}

fn command() -> Command {
    let shell = Arg::new("shell")
        .required(true)
        .value_parser(value_parser!(Shell));
    let mut command = Command::new(NAME)
        .about("Operates cyclamenwharf")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .subcommand(slo::command())
        .subcommand(settings::command())
        .subcommand(trace::command())
        .subcommand(
            Command::new("completions")
                .about("Writes completions for a shell")
                .arg(shell),
        );
    command = command.subcommand(
        Command::new("openapi").about("Writes the OpenAPI description of the operators' interface"),
    );
    let mut calls = records::commands();
    calls.push(records::apply_command());
    calls.extend(records::drain_commands());
    calls.extend(status::commands());
    for call in calls {
        let call = call.args(AdminClient::args()).arg(Output::arg());
        command = command.subcommand(call);
    }
    command
}

async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "slo" => Ok(slo::run(args).await?),
        "settings" => settings::run(args),
        "completions" => complete(args),
        "openapi" => describe(),
        "status" => status::status(args).await,
        "trace" => trace::run(args).await,
        "wait" => status::wait(args).await,
        "drain" => records::drain(args).await,
        "undrain" => records::undrain(args).await,
        "apply" => records::apply(args).await,
        "propose" => records::propose(args).await,
        "proposals" => records::proposals(args).await,
        "show" => records::show(args).await,
        "diff" => records::diff(args).await,
        "accept" => records::accept(args).await,
        "reject" => records::reject(args).await,
        "history" => records::history(args).await,
        "records" => records::records(args).await,
        "roll-forward" => records::roll_forward(args).await,
        "put-back" => records::put_back(args).await,
        name => Err(Failure::input(format!("unknown command {name}"))),
    }
}

fn describe() -> Result<(), Failure> {
    let description = cyclamenwharf::admin::admin_description();
    println!(
        "{}",
        serde_json::to_string_pretty(&description).map_err(Failure::input)?
    );
    Ok(())
}

fn complete(args: &ArgMatches) -> Result<(), Failure> {
    let shell: &Shell = args.get_one("shell").expect("clap requires it");
    clap_complete::generate(*shell, &mut command(), NAME, &mut std::io::stdout());
    Ok(())
}
