//! The `slo report` command, which reports the burn rates of the error budgets.

mod entry_metrics;
mod html;
mod report;

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

pub(crate) use entry_metrics::EntryMetrics;
pub(crate) use report::Report;

/// The error of a failed report.
#[derive(Debug, Snafu)]
pub(crate) enum SloError {
    /// No entry could be read.
    #[snafu(display("no entry could be read: {message}"))]
    Unreachable {
        /// The error of the last entry.
        message: String,
    },
    /// The report cannot be written to its file.
    #[snafu(display("{}: {source}", file.display()))]
    Write {
        /// The path that the report was to be written to.
        file: PathBuf,
        /// The I/O error of the write.
        source: std::io::Error,
    },
    /// A plot of the report cannot be drawn.
    #[snafu(display("the plots cannot be drawn: {message}"))]
    Draw {
        /// The error of the plotting library.
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
        .help("The admin address of an entry; repeat the option for each entry");
    let output = Arg::new("output")
        .long("output")
        .value_parser(PossibleValuesParser::new(["table", "json", "html"]))
        .default_value("table")
        .help("The output format");
    let file = Arg::new("file")
        .long("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The file that the report is written to instead of standard output");
    let report = Command::new("report")
        .about("Reports the burn rates of the error budgets from the entries' metrics")
        .args([entries, output, file]);
    Command::new("slo")
        .about("Commands for service levels")
        .subcommand_required(true)
        .subcommand(report)
}

/// Runs the `slo` command.
///
/// # Errors
///
/// Fails if no entry can be read, or if the report cannot be drawn or written.
pub(crate) async fn run(args: &ArgMatches) -> Result<(), SloError> {
    let Some(("report", args)) = args.subcommand() else {
        return Ok(());
    };
    let entries = args.get_many::<SocketAddr>("entry").into_iter().flatten();
    let report = read_entries(entries.copied().collect()).await?;
    let text = match args.get_one::<String>("output").map(String::as_str) {
        Some("json") => report.json(),
        Some("html") => html::render(&report)?,
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

async fn read_entries(entries: Vec<SocketAddr>) -> Result<Report, SloError> {
    let mut metrics = Vec::new();
    let mut missing = Vec::new();
    let mut message = String::new();
    for entry in entries {
        match entry_metrics::read(entry).await {
            Ok(entry_metrics) => metrics.push(entry_metrics),
            Err(error) => {
                message = error.to_string();
                missing.push(entry);
            }
        }
    }
    if metrics.is_empty() {
        return Err(SloError::Unreachable { message });
    }
    Ok(Report::from_metrics(&metrics, missing))
}
