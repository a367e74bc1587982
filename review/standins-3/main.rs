//! Stand-ins of the platform, the engines and the clients, and the cases that are played with them.
//!
//! `standins CASE RECORD` plays a case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` in the environment it plays the same without the disruption.

mod case_drill;
mod case_foreign_entry;
mod case_hot_request;
mod case_rest;
mod case_slot_wait;
mod client;
mod engine;
mod http;
mod json;
mod record;
mod store;
mod streams;
mod world;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(file)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{file}: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {case}, disruption: {has_trouble}"));
    let result = match case.as_str() {
        "drill" => case_drill::run(&record, has_trouble),
        "foreign-entry" => case_foreign_entry::run(&record, has_trouble),
        "hot-request" => case_hot_request::run(&record, has_trouble),
        "rest" => case_rest::run(&record, has_trouble),
        "slot-wait" => case_slot_wait::run(&record, has_trouble),
        _ => Err(std::io::Error::other("there is no such case")),
    };
    let (code, text) = match result {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
