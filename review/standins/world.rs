//! A small deployment on loopback: the store, engines and entries, and the record of what was seen.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Client;
use crate::store::Store;

/// The program under review, as the build of the deploy file leaves it.
const PROGRAM: &str = "target/release/cyclamenwharf";

/// How long the deployment may take to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    file: PathBuf,
    /// The entry to which each attempt at a stream was sent.
    entries: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
    /// The engine and the address of the backup of each run of a stream.
    backups: Arc<Mutex<Vec<(String, String)>>>,
    /// The runs of each client attempt: the engine, and when it began.
    runs: Arc<Mutex<BTreeMap<String, Vec<(String, Duration)>>>>,
}

impl Record {
    pub fn new(file: PathBuf) -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
            file,
            entries: Arc::default(),
            backups: Arc::default(),
            runs: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}", self.now().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    /// Records that an engine has begun to work on an attempt.
    pub fn run(&self, id: &str, engine: &str) {
        self.line(&format!("run      {id} at {engine}"));
        let mut runs = self.runs.lock().unwrap();
        let of_id = runs.entry(id.to_owned()).or_default();
        of_id.push((engine.to_owned(), self.now()));
    }

    /// Returns the engines that have run an attempt.
    pub fn runs_of(&self, id: &str) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let of_id = runs.get(id).into_iter().flatten();
        of_id.map(|(engine, _)| engine.clone()).collect()
    }

    pub fn sent_to(&self, id: &str, front: SocketAddr) {
        self.entries.lock().unwrap().insert(id.to_owned(), front);
    }

    /// Returns the entry to which an attempt at a stream was sent.
    pub fn entry_of(&self, id: &str) -> Option<SocketAddr> {
        self.entries.lock().unwrap().get(id).copied()
    }

    pub fn backup(&self, engine: &str, address: &str) {
        let pair = (engine.to_owned(), address.to_owned());
        self.backups.lock().unwrap().push(pair);
    }

    /// Returns the engine and the address of the backup of each run.
    pub fn backups(&self) -> Vec<(String, String)> {
        self.backups.lock().unwrap().clone()
    }

    pub fn write(&self) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        let _ = fs::write(&self.file, text);
    }
}

/// A process of the program under review.
struct Process {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

/// The addresses of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// The entries of the deployment.
#[derive(Clone)]
pub struct Entries {
    processes: Arc<Mutex<Vec<Process>>>,
    pub addresses: Vec<EntryAddresses>,
}

/// A folder for settings and logs, which is removed at the end.
fn temporary_folder() -> PathBuf {
    let name = format!("review-standins-{}", std::process::id());
    std::env::temp_dir().join(name)
}

/// Returns the loopback address of the entries, which other cases that are played at the same time do not use.
fn entry_ip() -> Ipv4Addr {
    let id = std::process::id();
    let part = |divisor: u32| u8::try_from(id / divisor % 250).unwrap_or(0) + 1;
    Ipv4Addr::new(127, 1 + part(250 * 250) % 100, part(250), part(1))
}

/// The first port that is tried for an entry. It lies below those that the system gives to connections.
const FIRST_PORT: u16 = 20_000;

/// Returns a port that is free for TCP and UDP and comes after `last`.
fn free_port(last: &mut u16) -> u16 {
    loop {
        *last += 1;
        let address = (entry_ip(), *last);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return *last;
        }
    }
}

/// Fills the template of the deploy file with the settings of one machine.
fn settings(name: &str, zone: &str, store: SocketAddr, ports: [u16; 4]) -> String {
    let template = fs::read_to_string("deploy/entry.toml").expect("the template of the deploy file");
    let values = [
        ("nodeName", name.to_owned()),
        ("zone", zone.to_owned()),
        ("platform.address", store.to_string()),
        ("heartbeatMs", "1200".to_owned()),
        ("bounds.graceS", "8".to_owned()),
        ("bounds.configApplyMs", "2000".to_owned()),
        ("bounds.drainMs", "2000".to_owned()),
        ("bounds.retryRatio", "0.8".to_owned()),
        ("bounds.retrySlack", "150".to_owned()),
        ("bounds.retryWindowS", "10".to_owned()),
        ("listen.front", format!("{}:{}", entry_ip(), ports[0])),
        ("listen.ready", format!("{}:{}", entry_ip(), ports[1])),
        ("ip", entry_ip().to_string()),
        ("internalPorts.0", ports[2].to_string()),
        ("internalPorts.1", ports[3].to_string()),
    ];
    let mut text = template;
    // The deployment has no bounds for roll-outs, so their section is left out.
    if let (Some(from), Some(to)) = (text.find("{{#"), text.find("{{/")) {
        let end = to + text[to..].find("}}").map_or(0, |at| at + 2);
        text.replace_range(from..end, "");
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    assert!(!text.contains("{{"), "the template has an unknown field: {text}");
    text
}

impl Entries {
    /// Starts entries with the command of the deploy file.
    pub fn start(record: &Record, store: SocketAddr, count: usize) -> Self {
        let folder = temporary_folder();
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut entries = Self {
            processes: Arc::default(),
            addresses: Vec::new(),
        };
        let mut last = FIRST_PORT;
        for number in 0..count {
            let name = format!("edge-{number}");
            let ports = [(); 4].map(|()| free_port(&mut last));
            let file = folder.join(format!("{name}.toml"));
            let zone = format!("z{}", number % 3);
            fs::write(&file, settings(&name, &zone, store, ports)).expect("a settings file");
            entries.addresses.push(EntryAddresses {
                front: SocketAddr::from((entry_ip(), ports[0])),
                ready: SocketAddr::from((entry_ip(), ports[1])),
            });
            entries.processes.lock().unwrap().push(Process {
                child: None,
                settings: file,
                log: folder.join(format!("{name}.log")),
            });
            entries.spawn(record, number);
        }
        entries
    }

    /// Starts the process of an entry.
    pub fn spawn(&self, record: &Record, number: usize) {
        let mut processes = self.processes.lock().unwrap();
        let process = &mut processes[number];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&process.log)
            .expect("a log file");
        let child = Command::new(PROGRAM)
            .args(["forward", "--settings"])
            .arg(&process.settings)
            .env("CYCLAMENWHARF_NODE_FILE", &process.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file is built");
        record.line(&format!("start    entry {number}, process {}", child.id()));
        process.child = Some(child);
    }

    /// Sends a signal to an entry.
    pub fn signal(&self, record: &Record, number: usize, name: &str) {
        if let Some(id) = self.process_id(number) {
            record.line(&format!("signal   {name} to entry {number}"));
            let _ = Command::new("kill").args(["-s", name, &id.to_string()]).status();
        }
    }

    pub fn process_id(&self, number: usize) -> Option<u32> {
        let processes = self.processes.lock().unwrap();
        processes[number].child.as_ref().map(Child::id)
    }

    /// Returns whether the process of an entry has ended.
    pub fn has_ended(&self, number: usize) -> bool {
        let mut processes = self.processes.lock().unwrap();
        let child = processes[number].child.as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the resident memory of an entry in megabytes, 0 if it has ended.
    pub fn memory_mb(&self, number: usize) -> u64 {
        let Some(id) = self.process_id(number) else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let words = line.and_then(|line| line.split_whitespace().nth(1));
        words.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1000
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let check = || -> std::io::Result<u16> {
            let mut client = Client::connect(self.addresses[number].ready)?;
            client.set_timeout(Duration::from_secs(1))?;
            client.send("GET", "/readyz", &[("Host", "platform")], b"")?;
            Ok(client.read_head()?.status)
        };
        check().is_ok_and(|status| status == 200)
    }

    /// Records the last lines that each entry has logged.
    pub fn record_logs(&self, record: &Record) {
        for process in self.processes.lock().unwrap().iter() {
            let log = fs::read_to_string(&process.log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            for line in lines.iter().rev().take(20).rev() {
                record.line(&format!("log      {line}"));
            }
        }
    }

    /// Waits until all entries are ready.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if (0..self.addresses.len()).all(|number| self.is_ready(number)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all processes, and removes their files.
    pub fn end(&self) {
        for process in self.processes.lock().unwrap().iter_mut() {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for process in self.processes.lock().unwrap().iter() {
                let name = process.log.file_name().unwrap_or_default();
                let _ = fs::copy(&process.log, PathBuf::from(&folder).join(name));
            }
        }
        let _ = fs::remove_dir_all(temporary_folder());
        let _ = std::io::stdout().flush();
    }
}

/// A configuration with a streaming, a non-idempotent and an idempotent route.
pub fn config(version: u64, tenants: &[(&str, &[&str])]) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","pathPrefix":"{prefix}","routeKind":"{kind}","service":"{service}","anonymous":false,{more}}}"#
        )
    };
    let stream = r#""timeoutMs":25000,"latencyTargetMs":4500,"priority":1,"maxAttempts":5,"sticky":true,"resumable":true,"gapTargetMs":700"#;
    let once = r#""timeoutMs":1000,"latencyTargetMs":150,"priority":2,"maxAttempts":1"#;
    let again = r#""timeoutMs":1000,"latencyTargetMs":150,"priority":2,"maxAttempts":2"#;
    let routes = [
        route("r-stream", "/stream/", "streaming", "llm", stream),
        route("r-once", "/once/", "non_idempotent", "app", once),
        route("r-again", "/again/", "idempotent", "app", again),
    ];
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!(r#""{key}""#)).collect();
            format!(r#"{{"name":"{name}","apiKeys":[{}]}}"#, keys.join(","))
        })
        .collect();
    let (routes, tenants) = (routes.join(","), tenants.join(","));
    let llm = r#"{"name":"llm","maxConns":150,"healthPath":"/healthz","engine":{"slots":12,"kvCapacity":88000,"kvBytes":18432,"linkMbps":180000,"backups":true,"handleTtlS":4.0}}"#;
    let app = r#"{"name":"app","maxConns":100,"healthPath":"/healthz"}"#;
    let limits = r#"{"maxHeaderBytes":16384,"maxBodyBytes":200000,"headerTimeoutMs":3000,"idleTimeoutMs":10000}"#;
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{llm},{app}],"limits":{limits},"tenants":[{tenants}]}}"#
    )
}

/// Writes a configuration as the operator does.
pub fn put_config(record: &Record, store: &Store, version: u64, tenants: &[(&str, &[&str])]) {
    store.put("op/config", &config(version, tenants));
    record.line(&format!("config   version {version} acknowledged, tenants {tenants:?}"));
}
