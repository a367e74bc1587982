//! A small deployment: the store with a configuration, and entries as processes of their own.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::own_ip;
use crate::record::Record;
use crate::store::Store;

/// The route of streams.
pub const STREAM_PATH: &str = "/lohu930/2f";
/// The service of streams.
pub const STREAM_SERVICE: &str = "huvo11a";
/// The route of requests that run once at most.
pub const UNSAFE_PATH: &str = "/pule252/2f";
/// The route of requests that may be repeated.
pub const SAFE_PATH: &str = "/puxa403/2f";
/// The service of both.
pub const PLAIN_SERVICE: &str = "wuno96b";

/// An entry: a process that this one has started.
#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Entry {
    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let second = Duration::from_secs(1);
            let mut connection = Connection::connect(self.health, second)?;
            connection.stream.set_read_timeout(Some(second))?;
            connection
                .write(b"GET /readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")?;
            Ok(connection.read_head()?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    // The command of the deploy file.
    Command::new("target/release/cyclamenwharf")
        .args(["forward", "--settings"])
        .arg(settings)
        .args(["--memory", "110MiB"])
        .env("CYCLAMENWHARF_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// The deployment.
#[derive(Debug)]
pub struct World {
    pub store: Arc<Store>,
    pub entries: Vec<Entry>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

impl World {
    pub fn start(record: &Arc<Record>) -> io::Result<Self> {
        let name = format!("review-standins-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let store = Store::start()?;
        Ok(Self {
            store,
            entries: Vec::new(),
            record: Arc::clone(record),
            folder,
        })
    }

    /// Writes the configuration as the operator does.
    pub fn configure(&self, version: u64, slots: u64) {
        let route = |name: &str, path: &str, kind: &str, rest: &str, service: &str| {
            let prefix = path.trim_end_matches("2f");
            format!(
                "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"pathPrefix\":\"{prefix}\",\
                 \"routeKind\":\"{kind}\",{rest},\"service\":\"{service}\",\"anonymous\":false}}"
            )
        };
        let stream = "\"timeoutMs\":25000,\"latencyTargetMs\":4500,\"priority\":1,\"maxAttempts\":5,\
                      \"sticky\":true,\"resumable\":true,\"gapTargetMs\":700";
        let plain = "\"timeoutMs\":1000,\"latencyTargetMs\":150,\"priority\":2,\"maxAttempts\":2";
        let routes = [
            route(
                "r-px5pa2y",
                STREAM_PATH,
                "streaming",
                stream,
                STREAM_SERVICE,
            ),
            route(
                "r-un5afe1",
                UNSAFE_PATH,
                "non_idempotent",
                plain,
                PLAIN_SERVICE,
            ),
            route("r-5afe002", SAFE_PATH, "idempotent", plain, PLAIN_SERVICE),
        ];
        let services = format!(
            "{{\"name\":\"{STREAM_SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":360,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{slots},\"kvCapacity\":900000,\
             \"kvBytes\":18432,\"linkMbps\":180000.0,\"moves\":false,\"backups\":false,\"stride\":8,\
             \"most\":12,\"models\":[{{\"name\":\"m\"}}]}}}},\
             {{\"name\":\"{PLAIN_SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":100,\
             \"protocol\":\"h1\",\"tls\":false}}"
        );
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{services}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
             \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"xd9dnn2ctnfzs989anu6\"],\
             \"priority\":1}}]}}",
            routes.join(",")
        );
        self.store.put("op/config", &config);
    }

    /// Starts an entry with the settings of a small deployment.
    pub fn start_entry(&mut self, name: &str) -> io::Result<()> {
        let [callers, health, peers, metrics] = free_addresses()?;
        let store = self.store.address;
        let settings = format!(
            "host = \"{name}\"\nzone = \"hall-odet\"\nstore = \"{store}\"\n\
             lapse = \"1200ms 1200ms 1200ms\"\ngrace = \"8s\"\nin_force = \"2000ms\"\n\
             drain = \"2000ms\"\n\n[listen]\ncallers = \"{callers}\"\nhealth = \"{health}\"\n\
             peers = \"{peers}\"\nmetrics = \"{metrics}\"\n\n[budget]\nratio = 0.8\nslack = 150\n\
             window = \"10s\"\n\n[log]\nlevel = \"info\"\n"
        );
        let file = self.folder.join(format!("{name}.toml"));
        let log = self.folder.join(format!("{name}.log"));
        fs::write(&file, settings)?;
        let child = spawn(&file, &log)?;
        self.entries.push(Entry {
            name: name.to_owned(),
            callers,
            health,
            settings: file,
            log,
            child,
        });
        Ok(())
    }

    /// Waits until all entries are ready, and returns whether they are in time.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.entries.iter().all(Entry::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Copies the logs of the entries to a folder, for a look at a failure.
    fn keep_logs(&self, folder: &str) {
        for entry in &self.entries {
            let _ = fs::copy(&entry.log, format!("{folder}/{}.log", entry.name));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            self.keep_logs(&folder);
        }
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns addresses whose ports are free, for UDP too.
fn free_addresses() -> io::Result<[SocketAddr; 4]> {
    let any = SocketAddr::from((own_ip(), 0));
    let bind = || TcpListener::bind(any);
    let listeners = [bind()?, bind()?, bind()?, bind()?];
    let mut addresses = [any; 4];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
