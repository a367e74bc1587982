//! What the tasks of an agent share.

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
use cw_store::EtcdGateway;
use cw_store::KeyValueStore;
use cw_types::AttemptId;
use cw_types::Time;
use cw_wire::Dispatch;
use cw_wire::Work;
use tokio::sync::Notify;

use super::call_runner;
use super::engine_client::EngineClient;
use super::generate_runner;
use super::leaving::Leaving;
use super::metrics::Metrics;
use super::signal::Signal;
use crate::AgentSettings;
use crate::Clock;
use crate::Supervisor;

/// What the tasks of an agent share.
pub(super) struct AgentState {
    pub(super) settings: AgentSettings,
    pub(super) clock: Clock,
    pub(super) supervisor: Supervisor,
    pub(super) engine: EngineClient,
    pub(super) metrics: Metrics,
    /// Asks the monitor to look at the target now.
    pub(super) check: Notify,
    /// Asks the reporter to report now.
    pub(super) report: Notify,
    pub(super) orders: Mutex<OrderGuard>,
    /// The key-value service.
    pub(super) store: Box<dyn KeyValueStore>,
    /// Whether the planner's lease has been read in this life.
    pub(super) floored: AtomicBool,
    leaving: Mutex<Leaving>,
    table: Mutex<AttemptTable>,
    signals: Mutex<BTreeMap<AttemptId, Weak<Signal>>>,
}

/// Locks, also after a panic elsewhere: every change under these locks is whole when made.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AgentState {
    /// Returns the state of a new life.
    pub(super) fn new(
        settings: AgentSettings,
        clock: Clock,
        supervisor: Supervisor,
        table: AttemptTable,
        metrics: Metrics,
    ) -> Self {
        Self {
            engine: EngineClient::new(settings.target.address),
            store: Box::new(EtcdGateway::new(settings.platform.key_value.clone())),
            floored: AtomicBool::new(false),
            settings,
            clock,
            supervisor,
            metrics,
            check: Notify::new(),
            report: Notify::new(),
            orders: Mutex::default(),
            leaving: Mutex::default(),
            table: Mutex::new(table),
            signals: Mutex::default(),
        }
    }

    /// Looks at the table.
    pub(super) fn look<T>(&self, look: impl FnOnce(&AttemptTable, Time) -> T) -> T {
        look(&lock(&self.table), self.clock.now())
    }

    /// Lets the table decide, and does what it says.
    ///
    /// The steps are begun under the lock, so that they are begun in the order of the decisions.
    pub(super) fn decide<T>(
        self: &Arc<Self>,
        event: impl FnOnce(&mut AttemptTable, Time) -> (T, Vec<AttemptStep>),
    ) -> T {
        let mut table = lock(&self.table);
        let (answer, steps) = event(&mut table, self.clock.now());
        for step in steps {
            self.begin(step);
        }
        answer
    }

    /// Lets the table decide where nothing but the steps matters.
    pub(super) fn tell(
        self: &Arc<Self>,
        event: impl FnOnce(&mut AttemptTable, Time) -> Vec<AttemptStep>,
    ) {
        self.decide(|table, now| ((), event(table, now)));
    }

    /// Changes who says that the target is leaving.
    pub(super) fn set_leaving(self: &Arc<Self>, change: impl FnOnce(&mut Leaving)) {
        let (before, after) = {
            let mut leaving = lock(&self.leaving);
            let before = leaving.is_leaving();
            change(&mut leaving);
            (before, leaving.is_leaving())
        };
        if before != after {
            // Read under the table's lock, so that the newest change is the last one applied.
            self.tell(|table, now| table.on_leaving(now, self.leaving().is_leaving()));
            self.report.notify_one();
        }
    }

    /// Returns who says that the target is leaving.
    pub(super) fn leaving(&self) -> Leaving {
        *lock(&self.leaving)
    }

    /// Returns the signals of an attempt.
    pub(super) fn signal(&self, id: AttemptId) -> Arc<Signal> {
        let mut signals = lock(&self.signals);
        if let Some(signal) = signals.get(&id).and_then(Weak::upgrade) {
            return signal;
        }
        let signal = Arc::new(Signal::default());
        signals.insert(id, Arc::downgrade(&signal));
        signal
    }

    /// Forgets the signals that nobody holds.
    pub(super) fn forget_signals(&self) {
        lock(&self.signals).retain(|_, signal| signal.strong_count() > 0);
    }

    fn begin(self: &Arc<Self>, step: AttemptStep) {
        match step {
            AttemptStep::Start(dispatch) => self.run(*dispatch),
            AttemptStep::Abort(id) => self.signal(id).abort.cancel(),
            AttemptStep::Resume(id) => self.signal(id).resume.notify_one(),
            AttemptStep::Wake(id) => {
                self.signal(id).output.send_replace(());
            }
        }
    }

    fn run(self: &Arc<Self>, dispatch: Dispatch) {
        let state = Arc::clone(self);
        let signal = self.signal(dispatch.id);
        let Dispatch { id, rank, work, .. } = dispatch;
        match work {
            Work::Generate(work) => self.supervisor.spawn(async move {
                generate_runner::run(&state, id, rank, work, &signal).await;
            }),
            Work::Call(call) => self.supervisor.spawn(async move {
                call_runner::run(&state, id, call, &signal).await;
            }),
        }
    }
}
