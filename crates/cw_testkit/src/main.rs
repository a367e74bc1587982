//! The developers' tool: `cyclamenwharf-dev up|settings|experiment`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::Rig;
use cw_testkit::RigSpec;
use cw_testkit::api_key;
use cw_testkit::write_settings;

fn command() -> Command {
    let directory = Arg::new("directory")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The directory to write to");
    Command::new("cyclamenwharf-dev")
        .about("Stand-ins, a deployment for a look, and experiments")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(Command::new("up").about("Starts a small deployment on loopback, for a look"))
        .subcommand(
            Command::new("settings")
                .about("Writes the settings files of a small deployment")
                .arg(directory),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Runtime::new().expect("the system has threads");
    let result = runtime.block_on(async {
        match matches.subcommand() {
            Some(("up", _)) => up().await,
            Some(("settings", args)) => settings(args).await,
            _ => Err("unknown command".to_owned()),
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn small() -> RigSpec {
    RigSpec::default().with_services(1)
}

async fn up() -> Result<(), String> {
    let rig = Rig::start(small()).await.map_err(|e| e.to_string())?;
    println!("This deployment is for a look, not for use: everything runs in one process,");
    println!("the engines are stand-ins, and nothing is kept.");
    println!();
    for entry in &rig.entries {
        println!("callers:  http://{}", entry.callers());
    }
    println!("admin:    http://{}", rig.entries[0].settings.listen.admin);
    println!("API key:  {}", api_key(0));
    println!();
    println!("{}", curl(&rig));
    println!();
    println!("Ctrl-C stops it.");
    tokio::signal::ctrl_c().await.map_err(|e| e.to_string())?;
    rig.stop().await;
    println!("stopped");
    Ok(())
}

fn curl(rig: &Rig) -> String {
    let entry = rig.entries[0].callers();
    let key = api_key(0);
    format!(
        "curl -N http://{entry}/v1/completions -H 'Authorization: Bearer {key}' \
         -H 'Content-Type: application/json' \
         -d '{{\"model\":\"{ROUTE_LATENCY}\",\"prompt\":\"Who owes whom?\",\
         \"max_tokens\":32,\"stream\":true}}'"
    )
}

async fn settings(args: &ArgMatches) -> Result<(), String> {
    let directory: &PathBuf = args.get_one("directory").expect("clap requires it");
    let rig = Rig::start(small()).await.map_err(|e| e.to_string())?;
    let written = write_settings(&rig, directory).map_err(|e| e.to_string());
    rig.stop().await;
    written
}
