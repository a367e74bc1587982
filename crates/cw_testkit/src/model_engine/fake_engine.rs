//! The handle of the fake engine.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use cw_types::ModelName;
use cw_types::VersionName;
use tokio_util::sync::CancellationToken;

use crate::server::HttpServer;

use super::EngineCounters;
use super::EngineFaults;
use super::EngineTimings;
use super::api::Versions;
use super::engine_process::EngineProcess;
use super::persistent_state::PersistentState;

/// The configuration of a fake engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// The speed and capacity of the engine.
    pub timings: EngineTimings,
    /// The versions that are loaded when the engine starts.
    pub versions: Versions,
    /// Whether the engine refuses orders with an old fencing number.
    pub fenced: bool,
    /// The address of the weight store. Without one, weights load immediately.
    pub weights: Option<SocketAddr>,
}

impl EngineSpec {
    /// Adds a version that is loaded when the engine starts.
    ///
    /// # Panics
    ///
    /// Panics if a name is not valid.
    #[must_use]
    pub fn with_version(mut self, model: &str, version: &str) -> Self {
        let model: ModelName = model.parse().expect("a valid name");
        let version: VersionName = version.parse().expect("a valid name");
        self.versions.entry(model).or_default().insert(version);
        self
    }

    /// Sets the speed and capacity of the engine.
    #[must_use]
    pub fn with_timings(mut self, timings: EngineTimings) -> Self {
        self.timings = timings;
        self
    }
}

#[derive(Debug)]
struct RunningProcess {
    server: HttpServer,
    process: Arc<EngineProcess>,
    stop: CancellationToken,
}

#[derive(Debug, Default)]
struct ProcessSlot {
    boot: u64,
    running: Option<RunningProcess>,
}

/// A fake engine. Clones are handles to the same engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// The address that the engine listens on. A restart keeps it.
    pub address: SocketAddr,
    spec: EngineSpec,
    persistent: Arc<PersistentState>,
    slot: Arc<tokio::sync::Mutex<ProcessSlot>>,
}

impl FakeEngine {
    /// Starts an engine on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(spec: EngineSpec) -> io::Result<Self> {
        let mut engine = Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            spec,
            persistent: Arc::default(),
            slot: Arc::default(),
        };
        engine.address = engine.start_process().await?;
        Ok(engine)
    }

    // ---- Faults

    /// Kills the engine: closes its port and breaks every connection.
    pub async fn kill(&self) {
        let Some(running) = self.slot.lock().await.running.take() else {
            return;
        };
        running.stop.cancel();
        // Connections break before their streams end, because otherwise the streams would seem to
        // have ended normally.
        running.server.kill().await;
        running.process.count_unfinished();
    }

    /// Kills the engine if it runs, and starts it with the next boot number and without requests,
    /// cache or loaded versions other than the initial ones.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has taken the port.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill().await;
        self.start_process().await.map(|_| ())
    }

    /// Pauses the engine. Its sockets stay open.
    pub fn pause(&self) {
        self.persistent.gate.close();
    }

    /// Resumes a paused engine.
    pub fn resume(&self) {
        self.persistent.gate.open();
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.persistent.faults() = faults;
    }

    // ---- Observation

    /// Returns the counters of the work done. The output of a running request is counted when it
    /// ends.
    pub fn counters(&self) -> EngineCounters {
        self.persistent.counters().clone()
    }

    /// Returns the number of running and waiting requests, which is zero while the engine is killed.
    pub async fn request_count(&self) -> usize {
        let slot = self.slot.lock().await;
        slot.running
            .as_ref()
            .map_or(0, |running| running.process.request_count())
    }

    // ---- Restarts

    async fn start_process(&self) -> io::Result<SocketAddr> {
        let mut slot = self.slot.lock().await;
        slot.boot += 1;
        let process = Arc::new(EngineProcess::new(
            slot.boot,
            self.spec.clone(),
            Arc::clone(&self.persistent),
        ));
        let gate = self.persistent.gate.clone();
        let server = HttpServer::start(self.address, gate, Arc::clone(&process)).await?;
        let address = server.address;
        let stop = CancellationToken::new();
        let mut engine = self.clone();
        engine.address = address;
        tokio::spawn(engine.supervise(Arc::clone(&process), stop.clone()));
        slot.running = Some(RunningProcess {
            server,
            process,
            stop,
        });
        Ok(address)
    }

    fn supervise(
        self,
        process: Arc<EngineProcess>,
        stop: CancellationToken,
    ) -> futures::future::BoxFuture<'static, ()> {
        Box::pin(async move {
            tokio::select! {
                () = stop.cancelled() => return,
                () = process.run() => {}
            }
            self.kill().await;
            tokio::time::sleep(self.spec.timings.restart_delay).await;
            // If another process has taken the port, the engine stays down.
            let _ = self.restart().await;
        })
    }
}
