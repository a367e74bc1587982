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
use super::life::Life;

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
pub(super) struct Lasting {
    pub(super) gate: Gate,
    counters: Mutex<EngineCounters>,
    faults: Mutex<EngineFaults>,
}

impl Lasting {
    pub(super) fn counters(&self) -> MutexGuard<'_, EngineCounters> {
        self.counters.lock().expect("no panic under this lock")
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, EngineFaults> {
        self.faults.lock().expect("no panic under this lock")
    }

    pub(super) fn take_error(&self) -> bool {
        let mut faults = self.faults();
        let due = faults.errors > 0;
        faults.errors = faults.errors.saturating_sub(1);
        due
    }
}

#[derive(Debug)]
struct Running {
    server: HttpServer,
    life: Arc<Life>,
    stop: CancellationToken,
}

#[derive(Debug, Default)]
struct Lives {
    boot: u64,
    running: Option<Running>,
}

/// A stand-in engine; clones are handles to the same one.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Where it listens, in all its lives.
    pub address: SocketAddr,
    spec: EngineSpec,
    lasting: Arc<Lasting>,
    lives: Arc<tokio::sync::Mutex<Lives>>,
}

impl Engine {
    /// Starts an engine on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(spec: EngineSpec) -> io::Result<Self> {
        let mut engine = Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            spec,
            lasting: Arc::default(),
            lives: Arc::default(),
        };
        engine.address = engine.begin().await?;
        Ok(engine)
    }

    // ---- Faults

    /// Kills the engine: its port closes and every connection breaks.
    pub async fn kill(&self) {
        let Some(running) = self.lives.lock().await.running.take() else {
            return;
        };
        running.stop.cancel();
        // Connections break before their streams end, or they would seem to have ended well.
        running.server.kill().await;
        running.life.end();
    }

    /// Starts a killed engine again, with a new boot number and empty memory.
    ///
    /// # Errors
    ///
    /// Fails when its port was taken meanwhile.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill().await;
        self.begin().await.map(|_| ())
    }

    /// Stops the engine where it is; its sockets stay open.
    pub fn pause(&self) {
        self.lasting.gate.close();
    }

    /// Lets a paused engine go on.
    pub fn wake(&self) {
        self.lasting.gate.open();
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.lasting.faults() = faults;
    }

    // ---- Observation

    /// Returns what it has done; output of running requests is counted when they end.
    pub fn counters(&self) -> EngineCounters {
        self.lasting.counters().clone()
    }

    /// Returns how many requests run or wait; none when it is dead.
    pub async fn busy(&self) -> usize {
        let lives = self.lives.lock().await;
        lives.running.as_ref().map_or(0, |now| now.life.busy())
    }

    // ---- Lives

    async fn begin(&self) -> io::Result<SocketAddr> {
        let mut lives = self.lives.lock().await;
        lives.boot += 1;
        let life = Arc::new(Life::new(
            lives.boot,
            self.spec.clone(),
            Arc::clone(&self.lasting),
        ));
        let gate = self.lasting.gate.clone();
        let server = HttpServer::start(self.address, gate, Arc::clone(&life)).await?;
        let address = server.address;
        let stop = CancellationToken::new();
        let mut engine = self.clone();
        engine.address = address;
        tokio::spawn(engine.live(Arc::clone(&life), stop.clone()));
        lives.running = Some(Running { server, life, stop });
        Ok(address)
    }

    fn live(
        self,
        life: Arc<Life>,
        stop: CancellationToken,
    ) -> futures::future::BoxFuture<'static, ()> {
        Box::pin(async move {
            tokio::select! {
                () = stop.cancelled() => return,
                () = life.run() => {}
            }
            self.kill().await;
            tokio::time::sleep(self.spec.timings.restart).await;
            // An engine whose port was taken meanwhile stays dead.
            let _ = self.restart().await;
        })
    }
}
