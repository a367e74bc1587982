//! A command-line tool for operators.

mod admin_client;
mod command_error;
mod output_format;
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
use crate::command_error::CommandError;
use crate::output_format::OutputFormat;

/// The name of the tool.
const NAME: &str = "cyclamenwharfctl";

/// The help text that lists the exit codes.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 internal error, 2 bad input, 3 not allowed, \
    4 not found, 5 conflict, 6 the change would break something, 7 unavailable, \
    8 outcome unknown (repeat the command), 9 timeout";

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{NAME}: {error}");
            error.exit_code()
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
                .about("Prints the completion script for a shell")
                .arg(shell),
        );
    command = command.subcommand(
        Command::new("openapi").about("Prints the OpenAPI description of the admin API"),
    );
    let mut api_commands = records::commands();
    api_commands.push(records::apply_command());
    api_commands.extend(records::drain_commands());
    api_commands.extend(status::commands());
    for api_command in api_commands {
        let api_command = api_command
            .args(AdminClient::args())
            .arg(OutputFormat::arg());
        command = command.subcommand(api_command);
    }
    command
}

async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "slo" => Ok(slo::run(args).await?),
        "settings" => settings::run(args),
        "completions" => print_completions(args),
        "openapi" => print_openapi(),
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
        name => Err(CommandError::invalid_input(format!(
            "unknown command {name}"
        ))),
    }
}

fn print_openapi() -> Result<(), CommandError> {
    let description = cyclamenwharf::admin::admin_description();
    println!(
        "{}",
        serde_json::to_string_pretty(&description).map_err(CommandError::invalid_input)?
    );
    Ok(())
}

fn print_completions(args: &ArgMatches) -> Result<(), CommandError> {
    let shell: &Shell = args.get_one("shell").expect("clap requires it");
    clap_complete::generate(*shell, &mut command(), NAME, &mut std::io::stdout());
    Ok(())
}
