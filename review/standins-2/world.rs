//! A small deployment: the store, the entries and the record of a run.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Outcome;
use crate::client::Request;
use crate::store::Store;

/// The program and the settings of the deploy file.
const PROGRAM: &str = "target/release/cyclamenwharf";
const TEMPLATE: &str = "deploy/entry.toml";

/// The address of an entry before it has one.
const UNASSIGNED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        // Without the line the verdict still counts.
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
    }
}

/// A process of the project.
pub struct Entry {
    pub host: String,
    pub callers: SocketAddr,
    health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Entry {
    /// Writes the settings, with free ports.
    fn assign_ports(&mut self, store: SocketAddr) {
        let [callers, health, metrics] = [(); 3].map(|()| free_port());
        let peers = free_peer_port();
        let text = settings_text(&self.host, store, callers, health, peers, metrics);
        fs::write(&self.settings, text).expect("the settings of an entry");
        (self.callers, self.health) = (callers, health);
    }

    /// Returns whether the process has ended by itself.
    fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn spawn(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log of an entry");
        let errors = log.try_clone().expect("the log of an entry");
        let child = Command::new(PROGRAM)
            .arg("forward")
            .arg("--settings")
            .arg(&self.settings)
            .arg("--memory")
            .arg("110MiB")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("start an entry"));
    }

    /// Ends the process with SIGKILL.
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_ready(&self) -> bool {
        let check = Request {
            id: "ready".to_owned(),
            method: "GET",
            path: "/readyz".to_owned(),
            headers: Vec::new(),
            body: String::new(),
            deadline: Duration::from_secs(1),
        };
        client::call(self.health, &check).status() == 200
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct World {
    pub store: Arc<Store>,
    pub recorder: Recorder,
    pub entries: Vec<Entry>,
    folder: PathBuf,
    outcomes: Arc<Mutex<Vec<(usize, Outcome)>>>,
    calls: Vec<JoinHandle<()>>,
}

impl World {
    pub fn create(recorder: &Recorder) -> Self {
        let folder = std::env::temp_dir().join(format!("standins-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            store: Store::start(),
            recorder: recorder.clone(),
            entries: Vec::new(),
            folder,
            outcomes: Arc::default(),
            calls: Vec::new(),
        }
    }

    /// Adds entries, and waits until they are ready.
    pub fn start_entries(&mut self, count: usize) {
        for number in 1..=count {
            let host = format!("edge-zone-a-{number}");
            let mut entry = Entry {
                settings: self.folder.join(format!("{host}.toml")),
                log: self.folder.join(format!("{host}.log")),
                host,
                callers: UNASSIGNED,
                health: UNASSIGNED,
                child: None,
            };
            entry.assign_ports(self.store.address);
            entry.spawn();
            self.entries.push(entry);
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !self.entries.iter().all(Entry::is_ready) {
            if Instant::now() > until {
                self.fail("the entries are not ready after 15 s");
            }
            for entry in &mut self.entries {
                // Another program may have taken a port meanwhile.
                if entry.has_ended() {
                    entry.assign_ports(self.store.address);
                    entry.spawn();
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        // The entries find each other meanwhile.
        thread::sleep(Duration::from_millis(1500));
    }

    /// Ends the run of a case that could not run.
    pub fn fail(&self, reason: &str) -> ! {
        self.recorder
            .note(&format!("the case could not run: {reason}"));
        eprintln!("the case could not run: {reason}");
        panic!("{reason}");
    }

    /// Sends a request to an entry from a thread of its own.
    pub fn send(&mut self, entry: usize, request: Request) {
        let address = self.entries[entry].callers;
        let host = self.entries[entry].host.clone();
        let outcomes = Arc::clone(&self.outcomes);
        let recorder = self.recorder.clone();
        recorder.note(&format!("client sends {} to {host}", request.id));
        self.calls.push(thread::spawn(move || {
            let outcome = client::call(address, &request);
            recorder.note(&format!(
                "client got for {}: {}",
                request.id,
                outcome.describe()
            ));
            let mut outcomes = outcomes.lock().expect("the outcomes");
            outcomes.push((entry, outcome));
        }));
    }

    /// Waits for all answers, and returns them with the numbers of the entries.
    pub fn finish(&mut self) -> Vec<(usize, Outcome)> {
        for call in self.calls.drain(..) {
            // A call that has failed has no outcome.
            let _ = call.join();
        }
        self.outcomes.lock().expect("the outcomes").clone()
    }

    /// Keeps the logs of the entries beside the record, if that is asked for.
    pub fn keep_logs(&self) {
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for entry in &self.entries {
                let name = format!("{}.log", entry.host);
                let _ = fs::copy(&entry.log, Path::new(&folder).join(name));
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.keep_logs();
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a free port")
}

/// Returns an address whose port is free for TCP and for UDP.
fn free_peer_port() -> SocketAddr {
    loop {
        let address = free_port();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Fills in the template of the deploy file, with the figures of a small deployment.
fn settings_text(
    host: &str,
    store: SocketAddr,
    callers: SocketAddr,
    health: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
) -> String {
    let template = fs::read_to_string(TEMPLATE).expect("the template of the settings");
    let start = template.find("{{#bounds.exposureShare}}");
    let end = template.find("{{/bounds.exposureShare}}");
    let mut text = match (start, end) {
        (Some(start), Some(end)) => {
            let rest = &template[end + "{{/bounds.exposureShare}}".len()..];
            format!("{}{rest}", &template[..start])
        }
        _ => template,
    };
    let values = [
        ("{{nodeName}}", host.to_owned()),
        ("{{zone}}", "zone-a".to_owned()),
        ("{{platform.address}}", store.to_string()),
        ("{{heartbeatMs}}", "1200".to_owned()),
        ("{{bounds.graceS}}", "8".to_owned()),
        ("{{bounds.configApplyMs}}", "2000".to_owned()),
        ("{{bounds.drainMs}}", "2000".to_owned()),
        ("{{listen.front}}", callers.to_string()),
        ("{{listen.ready}}", health.to_string()),
        ("{{ip}}:{{internalPorts.0}}", peers.to_string()),
        ("{{ip}}:{{internalPorts.1}}", metrics.to_string()),
        ("{{bounds.retryRatio}}", "0.8".to_owned()),
        ("{{bounds.retrySlack}}", "150".to_owned()),
        ("{{bounds.retryWindowS}}", "10".to_owned()),
    ];
    for (name, value) in values {
        text = text.replace(name, &value);
    }
    text
}
