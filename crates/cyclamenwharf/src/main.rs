//! The command line of the daemon: `cyclamenwharf entry|agent|forward --settings FILE`, and
//! `cyclamenwharf config check FILE`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use cw_platform::PlatformDialect;
use cw_platform::PlatformStore;
use cw_types::ByteSize;
use cw_types::ByteSizeError;
use cyclamenwharf::Agent;
use cyclamenwharf::AgentSettings;
use cyclamenwharf::Entry;
use cyclamenwharf::EntrySettings;
use cyclamenwharf::ForwardParts;
use cyclamenwharf::ForwardSettings;
use cyclamenwharf::Forwarder;
use cyclamenwharf::InForce;
use cyclamenwharf::JsonLogger;
use cyclamenwharf::check_config;
use cyclamenwharf::render_findings;
use log::error;
use log::info;
use tokio::runtime::Runtime;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code if the settings are invalid or the process cannot be set up.
const EXIT_SETTINGS: u8 = 2;

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The TOML file with the settings");
    let memory = Arg::new("memory")
        .long("memory")
        .value_name("SIZE")
        .value_parser(parse_memory)
        .help(
            "The memory that the process may use, such as 110MiB, instead of that in the settings",
        );
    Command::new("cyclamenwharf")
        .about("Serves long generations on engines that fail")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("entry")
                .about("Accepts requests from callers")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("agent")
                .about("Runs attempts on a single target")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("forward")
                .about("Passes opaque requests through to the targets of a service")
                .args([settings, memory]),
        )
        .subcommand(
            Command::new("config")
                .about("Works with configurations of forwarded traffic")
                .subcommand_required(true)
                .subcommand(config_check_command()),
        )
}

fn parse_memory(text: &str) -> Result<ByteSize, String> {
    let memory: ByteSize = text
        .parse()
        .map_err(|error: ByteSizeError| error.to_string())?;
    match memory < ForwardSettings::MIN_MEMORY {
        true => Err(format!("less than {}", ForwardSettings::MIN_MEMORY)),
        false => Ok(memory),
    }
}

fn config_check_command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The configuration");
    let in_force = Arg::new("in-force")
        .long("in-force")
        .value_name("FILE")
        .conflicts_with("store")
        .value_parser(value_parser!(PathBuf))
        .help("The version in force, as a file");
    let store = Arg::new("store")
        .long("store")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("The key-value service that has the version in force");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Prints the findings as JSON");
    Command::new("check")
        .about("Checks a configuration before it is sent; exits with 1 if it has errors, with 2 if it cannot be read")
        .args([file, in_force, store, json])
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("entry", args)) => run_entry(args),
        Some(("agent", args)) => run_agent(args),
        Some(("forward", args)) => run_forward(args),
        Some(("config", args)) => match args.subcommand() {
            Some(("check", args)) => run_config_check(args),
            _ => ExitCode::FAILURE,
        },
        _ => ExitCode::FAILURE,
    }
}

fn settings_file(args: &ArgMatches) -> &PathBuf {
    args.get_one("settings").expect("clap requires it")
}

fn exit_with_error(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_SETTINGS)
}

fn run_entry(args: &ArgMatches) -> ExitCode {
    let settings = match EntrySettings::read(settings_file(args)) {
        Ok(settings) => settings,
        Err(error) => return exit_with_error(&error),
    };
    run_on_runtime(Runtime::new(), settings.log.level.into(), async {
        let mut end = EndSignals::register();
        let entry = Entry::start(settings).await.map_err(|e| e.to_string())?;
        info!(callers = entry.callers.to_string(); "the entry has started");
        end.recv().await;
        info!("the entry is draining");
        entry.drain().await;
        Ok(())
    })
}

fn run_agent(args: &ArgMatches) -> ExitCode {
    let settings = match AgentSettings::read(settings_file(args)) {
        Ok(settings) => settings,
        Err(error) => return exit_with_error(&error),
    };
    run_on_runtime(Runtime::new(), settings.log.level.into(), async {
        let mut end = EndSignals::register();
        let agent = Agent::start(settings).await.map_err(|e| e.to_string())?;
        info!(peers = agent.peers.to_string(); "the agent has started");
        end.recv().await;
        info!("the agent is draining");
        agent.drain().await;
        Ok(())
    })
}

fn run_forward(args: &ArgMatches) -> ExitCode {
    let file = settings_file(args);
    let mut settings = match ForwardSettings::read(file) {
        Ok(settings) => settings,
        Err(error) => return exit_with_error(&error),
    };
    if let Some(memory) = args.get_one("memory") {
        settings.memory = *memory;
    }
    // A single thread suffices: a forwarding entry mostly waits for I/O, and its hosts have one
    // core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    run_on_runtime(runtime, settings.log.level.into(), async {
        // A signal that comes before its handler ends the process, and with it the connections that it has.
        let mut end = EndSignals::register();
        check_settings_on_hangup(file.clone());
        let parts = ForwardParts {
            dialect: Arc::new(PlatformDialect),
            store: Arc::new(PlatformStore::new(settings.store)),
        };
        let entry = Forwarder::start(settings, parts).map_err(|e| e.to_string())?;
        info!(
            callers = entry.callers.to_string(),
            version = env!("CARGO_PKG_VERSION"),
            commit = env!("CYCLAMENWHARF_COMMIT");
            "the forwarding entry has started"
        );
        end.recv().await;
        info!("the forwarding entry is draining");
        entry.drain().await;
        Ok(())
    })
}

fn run_config_check(args: &ArgMatches) -> ExitCode {
    let file: &PathBuf = args.get_one("file").expect("clap requires it");
    let in_force = match (args.get_one::<PathBuf>("in-force"), args.get_one("store")) {
        (Some(file), _) => InForce::File(file.clone()),
        (None, Some(address)) => InForce::Store(Box::new(PlatformStore::new(*address))),
        (None, None) => InForce::Unknown,
    };
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&error),
    };
    match runtime.block_on(check_config(file, in_force, &PlatformDialect)) {
        Ok(check) => {
            let findings = check.findings();
            print!("{}", render_findings(&findings, args.get_flag("json")));
            match check.has_errors() {
                true => ExitCode::FAILURE,
                false => ExitCode::SUCCESS,
            }
        }
        Err(error) => exit_with_error(&error),
    }
}

/// Validates the settings file on each `SIGHUP`.
///
/// All settings describe the host, so changes take effect only at the next start.
fn check_settings_on_hangup(file: PathBuf) {
    let mut hangup = signal(SignalKind::hangup()).expect("the runtime handles signals");
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match ForwardSettings::read(&file) {
                Ok(_) => info!("settings were read again; changes take effect at the next start"),
                Err(error) => error!("the settings file is no longer valid: {error}"),
            }
        }
    });
}

fn run_on_runtime(
    runtime: std::io::Result<Runtime>,
    level: log::LevelFilter,
    work: impl Future<Output = Result<(), String>>,
) -> ExitCode {
    if let Err(error) = JsonLogger::install(level) {
        return exit_with_error(&error);
    }
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&error),
    };
    let code = match runtime.block_on(work) {
        Ok(()) => {
            info!("the process ends");
            ExitCode::SUCCESS
        }
        Err(message) => {
            error!("{message}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}

/// The signals that end a process in order.
struct EndSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl EndSignals {
    /// Handles the signals from now on.
    fn register() -> Self {
        Self {
            terminate: signal(SignalKind::terminate()).expect("the runtime handles signals"),
            interrupt: signal(SignalKind::interrupt()).expect("the runtime handles signals"),
        }
    }

    /// Waits for a signal that came since the registration.
    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
