//! The stand-in's handle.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use cw_types::ModelName;
use cw_types::VersionName;
use tokio_util::sync::CancellationToken;

use crate::server::Gate;
use crate::server::HttpServer;

use super::EngineCounters;
use super::EngineFaults;
use super::EngineTimings;
use super::api::Versions;
use super::engine_process::EngineProcess;

/// What a stand-in engine is like.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// How fast it is.
    pub timings: EngineTimings,
    /// What it has loaded when it starts.
    pub versions: Versions,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Where it reads weights; without a store they are there at once.
    pub weights: Option<SocketAddr>,
}

impl EngineSpec {
    /// Adds a version that is loaded from the start.
    ///
    /// # Panics
    ///
    /// Panics when a name breaks the rules for names.
    #[must_use]
    pub fn with_version(mut self, model: &str, version: &str) -> Self {
        let model: ModelName = model.parse().expect("a valid name");
        let version: VersionName = version.parse().expect("a valid name");
        self.versions.entry(model).or_default().insert(version);
        self
    }

    /// Sets how fast it is.
    #[must_use]
    pub fn with_timings(mut self, timings: EngineTimings) -> Self {
        self.timings = timings;
        self
    }
}

/// What outlives an engine's death, for those who watch it.
#[derive(Debug, Default)]
pub(super) struct PersistentState {
    pub(super) gate: Gate,
    counters: Mutex<EngineCounters>,
    faults: Mutex<EngineFaults>,
}

impl PersistentState {
    pub(super) fn counters(&self) -> MutexGuard<'_, EngineCounters> {
        self.counters.lock().expect("no panic under this lock")
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, EngineFaults> {
        self.faults.lock().expect("no panic under this lock")
    }

    pub(super) fn take_next_error(&self) -> bool {
        let mut faults = self.faults();
        let due = faults.next_errors > 0;
        faults.next_errors = faults.next_errors.saturating_sub(1);
        due
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

/// A stand-in engine; clones are handles to the same one.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Where it listens, in all its slot.
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
    /// Fails when no port is free.
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

    /// Kills the engine: its port closes and every connection breaks.
    pub async fn kill(&self) {
        let Some(running) = self.slot.lock().await.running.take() else {
            return;
        };
        running.stop.cancel();
        // Connections break before their streams end, or they would seem to have ended well.
        running.server.kill().await;
        running.process.count_unfinished();
    }

    /// Starts a killed engine again, with a new boot number and empty memory.
    ///
    /// # Errors
    ///
    /// Fails when its port was taken meanwhile.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill().await;
        self.start_process().await.map(|_| ())
    }

    /// Stops the engine where it is; its sockets stay open.
    pub fn pause(&self) {
        self.persistent.gate.close();
    }

    /// Lets a paused engine go on.
    pub fn resume(&self) {
        self.persistent.gate.open();
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.persistent.faults() = faults;
    }

    // ---- Observation

    /// Returns what it has done; output of running requests is counted when they end.
    pub fn counters(&self) -> EngineCounters {
        self.persistent.counters().clone()
    }

    /// Returns how many requests run or wait; none when it is dead.
    pub async fn request_count(&self) -> usize {
        let slot = self.slot.lock().await;
        slot.running
            .as_ref()
            .map_or(0, |running| running.process.request_count())
    }

    // ---- Lives

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
            // An engine whose port was taken meanwhile stays dead.
            let _ = self.restart().await;
        })
    }
}
