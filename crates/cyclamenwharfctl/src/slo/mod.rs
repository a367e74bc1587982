//! `cyclamenwharfctl slo report`: how fast the service-level budgets burn.

mod html;
mod report;
mod scrape;

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use snafu::ResultExt;
use snafu::Snafu;

pub(crate) use report::Report;
pub(crate) use scrape::Sample;

/// A report that cannot be made.
#[derive(Debug, Snafu)]
pub(crate) enum SloError {
    /// No entry could be read.
    #[snafu(display("no entry could be read: {message}"))]
    Unreachable {
        /// What happened with the last one.
        message: String,
    },
    /// The report cannot be written.
    #[snafu(display("{}: {source}", file.display()))]
    Write {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The report cannot be drawn.
    #[snafu(display("the plots cannot be drawn: {message}"))]
    Draw {
        /// What happened.
        message: String,
    },
}

/// Returns the `slo` command.
pub(crate) fn command() -> Command {
    let entries = Arg::new("entry")
        .long("entry")
        .value_name("ADDRESS")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("The admin address of an entry; repeat it for each entry");
    let output = Arg::new("output")
        .long("output")
        .value_parser(PossibleValuesParser::new(["table", "json", "html"]))
        .default_value("table")
        .help("How the report is written");
    let file = Arg::new("file")
        .long("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Where the report is written, in place of standard output");
    let report = Command::new("report")
        .about("Reports how fast the service-level budgets burn, from the entries' metrics")
        .args([entries, output, file]);
    Command::new("slo")
        .about("Service levels")
        .subcommand_required(true)
        .subcommand(report)
}

/// Runs the `slo` command.
///
/// # Errors
///
/// Fails when no entry can be read or the report cannot be written.
pub(crate) async fn run(args: &ArgMatches) -> Result<(), SloError> {
    let Some(("report", args)) = args.subcommand() else {
        return Ok(());
    };
    let entries = args.get_many::<SocketAddr>("entry").into_iter().flatten();
    let report = gather(entries.copied().collect()).await?;
    let text = match args.get_one::<String>("output").map(String::as_str) {
        Some("json") => report.json(),
        Some("html") => html::page(&report)?,
        _ => report.table(),
    };
    match args.get_one::<PathBuf>("file") {
        Some(file) => std::fs::write(file, text).context(WriteSnafu { file }),
        None => {
            println!("{text}");
            Ok(())
        }
    }
}

async fn gather(entries: Vec<SocketAddr>) -> Result<Report, SloError> {
    let mut samples = Vec::new();
    let mut missing = Vec::new();
    let mut message = String::new();
    for entry in entries {
        match scrape::read(entry).await {
            Ok(sample) => samples.push(sample),
            Err(error) => {
                message = error.to_string();
                missing.push(entry);
            }
        }
    }
    if samples.is_empty() {
        return Err(SloError::Unreachable { message });
    }
    Ok(Report::of(&samples, missing))
}
