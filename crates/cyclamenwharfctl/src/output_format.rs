//! Prints responses as tables for people or as JSON for programs.

use clap::Arg;
use clap::ArgMatches;
use clap::builder::PossibleValuesParser;
use serde::Serialize;

/// The format in which responses are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// A table with aligned columns.
    Table,
    /// Indented JSON.
    Json,
}

/// A table of text; its first row is the header.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl OutputFormat {
    /// Returns the `--output` argument.
    pub(crate) fn arg() -> Arg {
        Arg::new("output")
            .long("output")
            .global(true)
            .value_parser(PossibleValuesParser::new(["table", "json"]))
            .default_value("table")
            .help("The output format")
    }

    /// Returns the format that the arguments select.
    pub(crate) fn from_args(args: &ArgMatches) -> Self {
        match args.get_one::<String>("output").map(String::as_str) {
            Some("json") => OutputFormat::Json,
            _ => OutputFormat::Table,
        }
    }

    /// Prints `response` as JSON, or as the table that `table` makes of it.
    pub(crate) fn print<T: Serialize>(self, response: &T, table: impl FnOnce(&T) -> Table) {
        match self {
            OutputFormat::Table => print!("{}", table(response).render()),
            OutputFormat::Json => {
                let text = serde_json::to_string_pretty(response).unwrap_or_default();
                println!("{text}");
            }
        }
    }
}

impl Table {
    /// Creates a table with a header and no other row.
    pub(crate) fn new<const N: usize>(header: [&str; N]) -> Self {
        let mut table = Self::default();
        table.add_row(header.map(str::to_owned));
        table
    }

    /// Adds a row below the others.
    pub(crate) fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Returns the table as text, with each column padded to its widest cell.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let line = |row: &Vec<String>| {
            let padded = row.iter().zip(&widths);
            let cells: Vec<_> = padded
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            format!("{}\n", cells.join("  ").trim_end())
        };
        self.rows.iter().map(line).collect()
    }
}
