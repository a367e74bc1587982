//! The state shared by the tasks of an agent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;

use cw_policy::AttemptStep;
use cw_policy::AttemptTable;
use cw_policy::OrderGuard;
use cw_store::BodyMemory;
use cw_store::EtcdGateway;
use cw_store::KeyValueStore;
use cw_types::AttemptId;
use cw_types::Time;
use tokio::sync::Notify;

use super::agent_metrics::AgentMetrics;
use super::attempt_signals::AttemptSignals;
use super::leaving_state::LeavingState;
use super::peer_api::MAX_BODIES_BYTES;
use super::target_client::TargetClient;
use crate::AgentSettings;
use crate::Clock;
use crate::Supervisor;

/// The state shared by the tasks of an agent.
pub(super) struct AgentState {
    pub(super) settings: AgentSettings,
    pub(super) clock: Clock,
    pub(super) supervisor: Supervisor,
    pub(super) target_client: TargetClient,
    pub(super) metrics: AgentMetrics,
    /// The memory that the messages of entries may take while they are read.
    pub(super) message_memory: BodyMemory,
    /// Requests an immediate reading of the target by the monitor.
    pub(super) check_target: Notify,
    /// Requests an immediate report by the reporter.
    pub(super) report_now: Notify,
    pub(super) orders: Mutex<OrderGuard>,
    /// The client of the key-value service.
    pub(super) store: Box<dyn KeyValueStore>,
    /// Whether this process has read the planner's lease.
    pub(super) lease_read: AtomicBool,
    leaving: Mutex<LeavingState>,
    table: Mutex<AttemptTable>,
    signals: Mutex<BTreeMap<AttemptId, Weak<AttemptSignals>>>,
}

/// Locks a mutex, also after a panic in another thread: no change under these locks is partial.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AgentState {
    /// Returns the state of a new agent process.
    pub(super) fn new(
        settings: AgentSettings,
        clock: Clock,
        supervisor: Supervisor,
        table: AttemptTable,
        metrics: AgentMetrics,
    ) -> Self {
        Self {
            message_memory: BodyMemory::new(MAX_BODIES_BYTES),
            target_client: TargetClient::new(settings.target.address),
            store: Box::new(EtcdGateway::new(settings.platform.key_value.clone())),
            lease_read: AtomicBool::new(false),
            settings,
            clock,
            supervisor,
            metrics,
            check_target: Notify::new(),
            report_now: Notify::new(),
            orders: Mutex::default(),
            leaving: Mutex::default(),
            table: Mutex::new(table),
            signals: Mutex::default(),
        }
    }

    /// Reads the attempt table.
    pub(super) fn read_table<T>(&self, read: impl FnOnce(&AttemptTable, Time) -> T) -> T {
        read(&lock(&self.table), self.clock.now())
    }

    /// Applies an event to the attempt table, executes the resulting steps and returns the answer.
    ///
    /// The steps are started under the lock, so that they start in the order of the decisions.
    pub(super) fn update_table<T>(
        self: &Arc<Self>,
        event: impl FnOnce(&mut AttemptTable, Time) -> (T, Vec<AttemptStep>),
    ) -> T {
        let mut table = lock(&self.table);
        let (answer, steps) = event(&mut table, self.clock.now());
        for step in steps {
            self.execute(step);
        }
        answer
    }

    /// Applies an event that has no answer to the attempt table, and executes the resulting steps.
    pub(super) fn apply_event(
        self: &Arc<Self>,
        event: impl FnOnce(&mut AttemptTable, Time) -> Vec<AttemptStep>,
    ) {
        self.update_table(|table, now| ((), event(table, now)));
    }

    /// Updates the leaving state, and publishes a change of whether the target is leaving.
    pub(super) fn update_leaving(self: &Arc<Self>, change: impl FnOnce(&mut LeavingState)) {
        let (before, after) = {
            let mut leaving = lock(&self.leaving);
            let before = leaving.is_leaving();
            change(&mut leaving);
            (before, leaving.is_leaving())
        };
        if before != after {
            // The state is read under the table's lock, so that the newest change is applied last.
            self.apply_event(|table, now| table.on_leaving(now, self.leaving().is_leaving()));
            self.report_now.notify_one();
        }
    }

    /// Returns the leaving state.
    pub(super) fn leaving(&self) -> LeavingState {
        *lock(&self.leaving)
    }

    /// Returns the signals of an attempt.
    pub(super) fn signals(&self, id: AttemptId) -> Arc<AttemptSignals> {
        let mut signals = lock(&self.signals);
        if let Some(signal) = signals.get(&id).and_then(Weak::upgrade) {
            return signal;
        }
        let signal = Arc::new(AttemptSignals::default());
        signals.insert(id, Arc::downgrade(&signal));
        signal
    }

    /// Removes the signals that no task uses.
    pub(super) fn remove_unused_signals(&self) {
        lock(&self.signals).retain(|_, signal| signal.strong_count() > 0);
    }
}
