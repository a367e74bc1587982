//! Tables for people, JSON for programs.

use clap::Arg;
use clap::ArgMatches;
use clap::builder::PossibleValuesParser;
use serde::Serialize;

/// How answers are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// As a table.
    Table,
    /// As JSON.
    Json,
}

/// Rows of text under a head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Output {
    /// Returns the argument that chooses it.
    pub(crate) fn arg() -> Arg {
        Arg::new("output")
            .long("output")
            .global(true)
            .value_parser(PossibleValuesParser::new(["table", "json"]))
            .default_value("table")
            .help("How answers are written")
    }

    /// Reads the argument.
    pub(crate) fn read(args: &ArgMatches) -> Self {
        match args.get_one::<String>("output").map(String::as_str) {
            Some("json") => Output::Json,
            _ => Output::Table,
        }
    }

    /// Prints an answer.
    pub(crate) fn print<T: Serialize>(self, answer: &T, table: impl FnOnce(&T) -> Table) {
        match self {
            Output::Table => print!("{}", table(answer).text()),
            Output::Json => {
                let text = serde_json::to_string_pretty(answer).unwrap_or_default();
                println!("{text}");
            }
        }
    }
}

impl Table {
    /// Returns an empty table with a head.
    pub(crate) fn new<const N: usize>(head: [&str; N]) -> Self {
        let mut table = Self::default();
        table.row(head.map(str::to_owned));
        table
    }

    /// Adds a row.
    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Returns the text, with columns of equal width.
    pub(crate) fn text(&self) -> String {
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
