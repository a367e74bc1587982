//! The operators' command-line tool.

mod slo;

use std::process::ExitCode;

use clap::Command;

#[tokio::main]
async fn main() -> ExitCode {
    let command = Command::new("cyclamenwharfctl")
        .about("Operates cyclamenwharf")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(slo::command());
    let matches = command.get_matches();
    let Some(("slo", args)) = matches.subcommand() else {
        return ExitCode::FAILURE;
    };
    match slo::run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
