//! The stand-ins of the second review: the store, the engines and the callers around the project's own entries.

mod case_build_version;
mod case_crashing_part;
mod case_foreign_entry;
mod case_silent_leaver;
mod case_spoiled_stream;
mod client;
mod engine;
mod generation_service;
mod http;
mod json;
mod plain_service;
mod store;
mod world;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::Path;
use std::process::ExitCode;

use world::Recorder;
use world::Verdict;
use world::World;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run: fn(&mut World, bool) -> Verdict = match case.as_str() {
        "crashing-part" => case_crashing_part::run,
        "build-version" => case_build_version::run,
        "foreign-entry" => case_foreign_entry::run,
        "spoiled-stream" => case_spoiled_stream::run,
        "silent-leaver" => case_silent_leaver::run,
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    let Ok(recorder) = Recorder::create(&Path::new(&folder).join("record.txt")) else {
        eprintln!("cannot write record.txt in {folder}");
        return ExitCode::from(2);
    };
    recorder.note(match trouble {
        true => "with the disruption",
        false => "without the disruption",
    });
    let done = catch_unwind(AssertUnwindSafe(|| {
        let mut world = World::create(&recorder);
        run(&mut world, trouble)
    }));
    match done {
        Ok(Verdict::Held) => {
            recorder.note("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(text)) => {
            recorder.note(&format!("the rule was broken: {text}"));
            println!("the rule was broken: {text}");
            ExitCode::from(1)
        }
        Err(_) => ExitCode::from(2),
    }
}
