//! A pool of idle connections to targets.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cw_store::BodyMemory;
use cw_types::TargetId;
use cw_types::Time;

use super::target_connection::ConnectError;
use super::target_connection::TargetConnection;

/// How long an idle connection is kept if the target states no limit. It is well below the usual
/// default of servers, which is five seconds or more.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The share of the target's own limit for which a connection is kept. The target must not close it
/// while a request is in transit.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;

/// How long a connection must have been idle before it is reused, because a stray second answer to
/// its previous request would arrive within milliseconds.
const REUSE_DELAY: Duration = Duration::from_millis(5);

/// The part of the memory for all answers that those of one target may take is one half, so that a target in trouble
/// leaves the other half to the others.
const TARGET_MEMORY_DIVISOR: usize = 2;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    since: Time,
    until: Time,
}

impl IdleConnection {
    /// Returns whether the connection stays in the pool. It need not be ready: a target may answer before it has read
    /// the request, whose rest is still being written then.
    fn is_kept(&self, now: Time) -> bool {
        now < self.until && !self.connection.is_closed()
    }
}

/// The idle connections by target, and the memory that the answers of each target may take.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    idle: Mutex<BTreeMap<TargetId, VecDeque<IdleConnection>>>,
    memory: BodyMemory,
    shares: Mutex<BTreeMap<TargetId, BodyMemory>>,
}

/// A connection, and whether it has carried a request before.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pub(super) connection: TargetConnection,
    pub(super) reused: bool,
}

impl ConnectionPool {
    /// Creates an empty pool. The answers of all targets together may take `memory`.
    pub(super) fn new(memory: BodyMemory) -> Self {
        Self {
            idle: Mutex::default(),
            memory,
            shares: Mutex::default(),
        }
    }

    /// Returns the memory that the answers of one target may take.
    pub(super) fn memory(&self, id: &TargetId) -> BodyMemory {
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        let share = shares.entry(id.clone()).or_insert_with(|| {
            let limit = self.memory.limit() / TARGET_MEMORY_DIVISOR;
            self.memory.share(limit)
        });
        share.clone()
    }

    /// Returns the connection to a target that has been idle the longest, or a new one.
    pub(super) async fn take(
        &self,
        now: Time,
        id: &TargetId,
        address: SocketAddr,
    ) -> Result<PooledConnection, ConnectError> {
        if let Some(connection) = self.take_idle(now, id) {
            return Ok(PooledConnection {
                connection,
                reused: true,
            });
        }
        let connection = TargetConnection::connect(address).await?;
        Ok(PooledConnection {
            connection,
            reused: false,
        })
    }

    /// Adds a connection to the pool. `idle` is the time for which the target keeps it open.
    pub(super) fn put(
        &self,
        now: Time,
        id: &TargetId,
        connection: TargetConnection,
        idle: Option<Duration>,
    ) {
        let keep = idle.map_or(DEFAULT_IDLE_TIMEOUT, |idle| {
            idle.mul_f64(IDLE_TIMEOUT_SHARE)
        });
        let idle = IdleConnection {
            connection,
            since: now,
            until: now + keep,
        };
        self.lock().entry(id.clone()).or_default().push_back(idle);
    }

    /// Closes expired connections, and those to targets that no longer exist.
    pub(super) fn close_expired(&self, now: Time, keep: impl Fn(&TargetId) -> bool) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.is_kept(now));
        }
        idle.retain(|id, connections| keep(id) && !connections.is_empty());
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        shares.retain(|id, share| keep(id) || share.used() > 0);
    }

    /// Returns whether an idle connection to a target is still open.
    pub(super) fn has_ready(&self, id: &TargetId) -> bool {
        let idle = self.lock();
        let mut connections = idle.get(id).into_iter().flatten();
        connections.any(|idle| idle.connection.is_ready())
    }

    /// Closes the idle connections to a target.
    pub(super) fn close(&self, id: &TargetId) {
        self.lock().remove(id);
    }

    fn take_idle(&self, now: Time, id: &TargetId) -> Option<TargetConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(id)?;
        connections.retain(|idle| idle.is_kept(now));
        let mut ready = connections.iter();
        let ready = ready.position(|idle| idle.connection.is_ready())?;
        let is_too_recent = connections[ready].since + REUSE_DELAY > now;
        match is_too_recent {
            true => None,
            false => connections.remove(ready).map(|idle| idle.connection),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<TargetId, VecDeque<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
