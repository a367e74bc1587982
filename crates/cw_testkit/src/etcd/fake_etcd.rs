//! The handle of the fake etcd.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use cyclamenwharf::Clock;
use tokio::sync::watch;

use crate::server::Gate;
use crate::server::HttpServer;

use super::Backup;
use super::EtcdFaults;
use super::etcd_store::EtcdStore;

/// The state that the server and the handle share.
#[derive(Debug)]
pub(super) struct EtcdState {
    pub(super) clock: Clock,
    pub(super) changed: watch::Sender<u64>,
    store: Mutex<EtcdStore>,
    faults: Mutex<EtcdFaults>,
    calls: Mutex<BTreeMap<String, u64>>,
}

impl EtcdState {
    pub(super) fn store(&self) -> MutexGuard<'_, EtcdStore> {
        self.store.lock().expect("no panic under this lock")
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, EtcdFaults> {
        self.faults.lock().expect("no panic under this lock")
    }

    pub(super) fn count(&self, path: &str) {
        let mut calls = self.calls.lock().expect("no panic under this lock");
        *calls.entry(path.to_owned()).or_default() += 1;
    }

    /// Returns whether the response to the current write is lost, and counts it.
    pub(super) fn take_lost_response(&self) -> bool {
        let mut faults = self.faults();
        let due = faults.lost_responses > 0;
        faults.lost_responses = faults.lost_responses.saturating_sub(1);
        due
    }
}

/// A fake of the etcd key-value service.
#[derive(Debug)]
pub struct FakeEtcd {
    /// The address that the fake listens on.
    pub address: SocketAddr,
    state: Arc<EtcdState>,
    gate: Gate,
    _server: HttpServer,
}

impl FakeEtcd {
    /// Starts without keys on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(EtcdState {
            clock: Clock::default(),
            changed: watch::Sender::new(0),
            store: Mutex::default(),
            faults: Mutex::default(),
            calls: Mutex::default(),
        });
        let gate = Gate::default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = HttpServer::start(address, gate.clone(), Arc::clone(&state)).await?;
        Ok(Self {
            address: server.address,
            state,
            gate,
            _server: server,
        })
    }

    // ---- Keys

    /// Writes a key unconditionally.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let key = Bytes::copy_from_slice(key.as_bytes());
        self.state.store().put(key, value.into(), 0);
        self.state.changed.send_modify(|count| *count += 1);
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        let found = self.state.store().range(key.as_bytes(), &[]);
        found.into_iter().next().map(|(_, entry)| entry.value)
    }

    // ---- Faults

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EtcdFaults) {
        *self.state.faults() = faults;
    }

    /// Returns the gate that pauses the fake: while it is closed, requests get no response.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Returns a copy of the keys and of the revision.
    pub fn backup(&self) -> Backup {
        self.state.store().backup()
    }

    /// Restores an earlier state, as a service that is restored from a backup does.
    pub fn restore(&self, backup: &Backup) {
        self.state.store().restore(backup);
        self.state.changed.send_modify(|count| *count += 1);
    }

    // ---- Observation

    /// Returns the number of calls by path. A watch counts as one call.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        let calls = self.state.calls.lock();
        calls.expect("no panic under this lock").clone()
    }
}
