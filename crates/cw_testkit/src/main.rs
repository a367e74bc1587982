//! The development command-line tool: `cyclamenwharf-dev up|settings|record|experiment`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use cw_testkit::DeploymentSpec;
use cw_testkit::ROUTE_LATENCY;
use cw_testkit::TestDeployment;
use cw_testkit::api_key;
use cw_testkit::experiment;
use cw_testkit::experiment::Report;
use cw_testkit::write_settings;

fn command() -> Command {
    let directory = Arg::new("directory")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The directory to write to");
    Command::new("cyclamenwharf-dev")
        .about("Runs a demo deployment with fake engines, and experiments")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("up").about("Starts a small demo deployment on the loopback address"),
        )
        .subcommand(
            Command::new("settings")
                .about("Writes the settings files of a small deployment")
                .arg(directory.clone()),
        )
        .subcommand(
            Command::new("record")
                .about("Records the traces that the tests replay")
                .arg(directory),
        )
        .subcommand(experiment_command())
}

/// Name and description of each experiment, and whether it repeats its faults over several rounds.
const EXPERIMENTS: [(&str, &str, bool); 8] = [
    (
        "engine-death",
        "Kills engines in the middle of streams",
        true,
    ),
    (
        "faults",
        "Injects each kind of fault in the middle of streams",
        true,
    ),
    (
        "overhead",
        "Compares calls through an entry and its agents with direct calls to engines",
        false,
    ),
    (
        "routing",
        "Compares the routing policy with its baselines",
        false,
    ),
    (
        "overload",
        "Offers up to twice the load that the engines can serve",
        false,
    ),
    ("zone-loss", "Fails an availability zone under load", false),
    (
        "capacity",
        "Measures how the cost of control traffic and decisions grows with the deployment",
        false,
    ),
    (
        "in-force",
        "Measures how long an accepted configuration change takes to be in force",
        false,
    ),
];

fn experiment_command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The file to write the report to");
    let rounds = Arg::new("rounds")
        .long("rounds")
        .value_name("N")
        .default_value("12")
        .value_parser(value_parser!(usize))
        .help("The number of times that each fault is injected");
    let subcommand = |(name, about, in_rounds): (&'static str, &'static str, bool)| {
        let command = Command::new(name).about(about).arg(json.clone());
        match in_rounds {
            true => command.arg(rounds.clone()),
            false => command,
        }
    };
    Command::new("experiment")
        .about("Measures a deployment on the loopback address")
        .subcommand_required(true)
        .subcommands(EXPERIMENTS.map(subcommand))
        .subcommand(all_command())
        .subcommand(tables_command())
}

fn all_command() -> Command {
    let directory = Arg::new("dir")
        .long("dir")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The directory to write the reports to");
    Command::new("all")
        .about("Runs all experiments and writes their reports and tables")
        .arg(directory)
        .arg(page_arg())
}

fn tables_command() -> Command {
    let reports = Arg::new("reports")
        .value_name("FILE")
        .num_args(1..)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The report files to read");
    Command::new("tables")
        .about("Writes the tables of existing reports")
        .arg(reports)
        .arg(page_arg())
}

fn page_arg() -> Arg {
    Arg::new("page")
        .long("page")
        .value_name("FILE")
        .default_value("docs/MEASUREMENTS.md")
        .value_parser(value_parser!(PathBuf))
        .help("The Markdown page to write the tables to")
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts its threads");
    let result = runtime.block_on(async {
        match matches.subcommand() {
            Some(("up", _)) => up().await,
            Some(("settings", args)) => settings(args).await,
            Some(("record", args)) => record(args).await,
            Some(("experiment", args)) => run_experiment(args).await,
            _ => Err("unknown subcommand".to_owned()),
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

async fn record(args: &ArgMatches) -> Result<(), String> {
    let directory: &PathBuf = args.get_one("directory").expect("clap requires it");
    let recorded = experiment::record_traces(directory).await;
    recorded.map_err(|error| error.to_string())
}

fn small_deployment() -> DeploymentSpec {
    DeploymentSpec::default().with_services(1)
}

async fn up() -> Result<(), String> {
    let deployment = TestDeployment::start(small_deployment())
        .await
        .map_err(|e| e.to_string())?;
    println!("This is a demo deployment, not for production: everything runs in one process,");
    println!("the engines are fakes, and no data is persisted.");
    println!();
    for entry in &deployment.entries {
        println!("callers:  http://{}", entry.caller_address());
    }
    println!(
        "admin:    http://{}",
        deployment.entries[0].settings.listen.admin
    );
    println!("API key:  {}", api_key(0));
    println!();
    println!("{}", curl_command(&deployment));
    println!();
    println!("Press Ctrl-C to stop.");
    tokio::signal::ctrl_c().await.map_err(|e| e.to_string())?;
    deployment.stop().await;
    println!("stopped");
    Ok(())
}

fn curl_command(deployment: &TestDeployment) -> String {
    let entry = deployment.entries[0].caller_address();
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
    let deployment = TestDeployment::start(small_deployment())
        .await
        .map_err(|e| e.to_string())?;
    let written = write_settings(&deployment, directory).map_err(|e| e.to_string());
    deployment.stop().await;
    written
}

async fn run_experiment(args: &ArgMatches) -> Result<(), String> {
    let (name, args) = args.subcommand().expect("clap requires it");
    match name {
        "all" => return run_all(args).await,
        "tables" => return write_tables(args),
        _ => {}
    }
    let file: &PathBuf = args.get_one("json").expect("clap requires it");
    let rounds = args.try_get_one("rounds").ok().flatten();
    let report = experiment_report(name, rounds.copied().unwrap_or_default()).await?;
    report.write(file).map_err(|e| e.to_string())
}

/// The number of times that `all` injects each fault.
const ALL_ROUNDS: usize = 6;

async fn run_all(args: &ArgMatches) -> Result<(), String> {
    let directory: &PathBuf = args.get_one("dir").expect("clap requires it");
    let page: &PathBuf = args.get_one("page").expect("the argument has a default");
    std::fs::create_dir_all(directory).map_err(|e| e.to_string())?;
    for (name, _, _) in EXPERIMENTS {
        let report = experiment_report(name, ALL_ROUNDS).await?;
        let file = directory.join(format!("{name}.json"));
        report.write(&file).map_err(|e| e.to_string())?;
        experiment::write_table(page, &report).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn write_tables(args: &ArgMatches) -> Result<(), String> {
    let page: &PathBuf = args.get_one("page").expect("the argument has a default");
    let files = args.get_many::<PathBuf>("reports").into_iter().flatten();
    for file in files {
        let report = Report::read(file).map_err(|e| e.to_string())?;
        experiment::write_table(page, &report).map_err(|e| e.to_string())?;
    }
    Ok(())
}

async fn experiment_report(name: &str, rounds: usize) -> Result<Report, String> {
    match name {
        "engine-death" => experiment::engine_death(rounds).await,
        "faults" => experiment::faults(rounds).await,
        "overhead" => experiment::overhead().await,
        "routing" => experiment::routing().await,
        "overload" => experiment::overload().await,
        "zone-loss" => experiment::zone_loss().await,
        "capacity" => experiment::capacity().await,
        "in-force" => experiment::in_force().await,
        _ => return Err(format!("unknown experiment {name}")),
    }
    .map_err(|error| error.to_string())
}
