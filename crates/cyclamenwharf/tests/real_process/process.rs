//! The program as a process, and the signals that it gets.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cw_types::ByteSize;
use tempfile::TempDir;

use crate::connection::Connection;
use crate::deployment::wait_until;

/// The ports of an entry at its own loopback address.
const CALLERS_PORT: u16 = 8000;
pub(crate) const HEALTH_PORT: u16 = 8001;
const PEERS_PORT: u16 = 8002;

/// The maximum duration of a graceful shutdown.
pub(crate) const GRACE: Duration = Duration::from_secs(8);

/// The memory that an entry may use.
pub(crate) const MEMORY: ByteSize = ByteSize::mib(96);

/// How long an entry may take to tell whether it is ready.
const READY_PATIENCE: Duration = Duration::from_secs(1);

/// The time between two looks at a process that ends.
const EXIT_POLL_PERIOD: Duration = Duration::from_millis(10);

/// The number of lines of a log that a failed check prints.
const MAX_LOG_LINES: usize = 5;

/// The number of addresses that were given out.
static ADDRESSES: AtomicU8 = AtomicU8::new(0);

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    Terminate,
    Hangup,
    Kill,
    Stop,
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "TERM",
            Signal::Hangup => "HUP",
            Signal::Kill => "KILL",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
        }
    }
}

impl Signal {
    /// Returns the number of the signal, which is the same on all machines.
    fn number(self) -> u32 {
        match self {
            Signal::Hangup => 1,
            Signal::Kill => 9,
            Signal::Terminate => 15,
            Signal::Continue => 18,
            Signal::Stop => 19,
        }
    }
}

/// An entry that runs as a process of its own. Dropping it kills the process.
pub(crate) struct EntryProcess {
    child: Child,
    address: Ipv4Addr,
    directory: TempDir,
}

impl EntryProcess {
    /// Starts an entry at a loopback address of its own.
    pub(crate) fn start(store: SocketAddr) -> Self {
        // Tests that run at the same time, in this and other processes, have different addresses.
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
        let address = Ipv4Addr::new(127, 128 | high >> 1, low, 1 + number);
        let directory = tempfile::tempdir().expect("a writable directory");
        let settings = format!(
            r#"
            host = "entry-{number}"
            zone = "z0"
            store = "{store}"
            lapse = "3600ms"
            grace = "{}s"
            memory = "{MEMORY}"
            [listen]
            callers = "{address}:{CALLERS_PORT}"
            health = "{address}:{HEALTH_PORT}"
            peers = "{address}:{PEERS_PORT}"
            [budget]
            ratio = 0.8
            slack = 150
            window = "10s"
            "#,
            GRACE.as_secs()
        );
        std::fs::write(directory.path().join("settings.toml"), settings)
            .expect("a writable directory");
        Self {
            child: spawn(&directory),
            address,
            directory,
        }
    }

    /// Starts the process again after it has ended.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(&self.directory);
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        (self.address, CALLERS_PORT).into()
    }

    pub(crate) async fn wait_until_ready(&self) {
        let health = (self.address, HEALTH_PORT).into();
        wait_until("the entry is ready", async || is_ready(health).await).await;
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let kill = format!("kill -{} {}", signal.name(), self.child.id());
        let status = Command::new("sh").args(["-c", &kill]).status();
        assert!(status.is_ok(), "a shell sends signals");
    }

    /// Returns which signals the process handles itself.
    pub(crate) fn handled_signals(&self) -> Vec<Signal> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        let mask = mask.unwrap_or_default();
        let signals = [Signal::Terminate, Signal::Hangup];
        let is_handled = |signal: &Signal| mask >> (signal.number() - 1) & 1 == 1;
        signals.into_iter().filter(is_handled).collect()
    }

    /// Returns the most memory that the process has used.
    pub(crate) fn peak_memory(&self) -> ByteSize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse().ok());
        ByteSize::kib(peak.expect("the peak of a running process"))
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    pub(crate) async fn wait_for_end(&mut self) {
        while !self.has_ended() {
            tokio::time::sleep(EXIT_POLL_PERIOD).await;
        }
    }

    /// Copies the log of the process to a file.
    pub(crate) fn keep_log(&self, file: &Path) {
        std::fs::copy(self.directory.path().join("log"), file).expect("a writable directory");
    }

    /// Returns the last lines of the log that name a request.
    pub(crate) fn log_of(&self, request: &str) -> String {
        let log = std::fs::read_to_string(self.directory.path().join("log")).unwrap_or_default();
        let lines: Vec<_> = log.lines().filter(|line| line.contains(request)).collect();
        lines[lines.len().saturating_sub(MAX_LOG_LINES)..].join("\n")
    }
}

/// Returns whether the entry with this address for readiness checks answers that it is ready.
pub(crate) async fn is_ready(health: SocketAddr) -> bool {
    let mut connection = match Connection::open(health).await {
        Ok(connection) => connection,
        Err(_) => return false,
    };
    let question = format!("GET /readyz HTTP/1.1\r\nhost: {health}\r\n\r\n");
    if connection.write(&question).await.is_err() {
        return false;
    }
    connection.read_answer(READY_PATIENCE).await.status() == Some(200)
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(directory: &TempDir) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(directory.path().join("log"))
        .expect("a writable directory");
    let program = std::env::var("CW_SOAK_PROGRAM");
    let program = program.unwrap_or_else(|_| env!("CARGO_BIN_EXE_cyclamenwharf").to_owned());
    Command::new(program)
        .args(["forward", "--settings"])
        .arg(directory.path().join("settings.toml"))
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
        .expect("the program starts")
}
