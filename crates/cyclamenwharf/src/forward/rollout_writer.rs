//! Writes how far roll-outs are to the key-value service: the state for the entries, and the status for the operator.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::budget::Backoff;
use cw_store::KeyValueStore;
use cw_store::StoreError;
use cw_store::StoreRevision;
use cw_store::Swap;
use cw_types::ServiceName;
use cw_types::StoreEra;
use cw_types::Time;
use cw_wire::RolloutStage;
use cw_wire::RolloutState;
use log::info;
use log::warn;

use super::exchange_driver::millis;
use super::forward_context::ForwardContext;
use super::rollout_decider::DECISION_PERIOD;
use super::rollout_orders::decode_state;
use super::rollout_orders::unix_millis;

/// The delay after a failed write. Each call is charged, and a roll-out that is going back has told the entries
/// already.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    max: Duration::from_millis(800),
};

/// The tries of one write, each of which but the first follows a conflict with another writer.
const MAX_TRIES: u32 = 3;

/// Returns the key of the state of a service's roll-out.
pub(super) fn state_key(service: &ServiceName) -> String {
    format!("cyclamenwharf/rollout/{service}")
}

/// What this entry knows of the keys of one service.
#[derive(Debug, Default)]
struct Keys {
    /// The revision of the state.
    state: Option<StoreRevision>,
    /// The rank of the state that certainly lies in the service.
    rank: Option<(u64, bool, u32)>,
    /// The revision of the status.
    status: Option<StoreRevision>,
    /// The status that certainly lies in the service.
    value: Option<Bytes>,
    /// Failed writes in a row.
    failures: u32,
    /// When the next write may be tried.
    next_try: Time,
}

impl Keys {
    /// Forgets what lay in the service in an earlier era, since it may have come back from a copy that lacks it.
    fn forget_before(&mut self, era: StoreEra) {
        let is_older = |revision: StoreRevision| revision.era() < era;
        if self.state.is_some_and(is_older) {
            self.rank = None;
        }
        if self.status.is_some_and(is_older) {
            self.value = None;
        }
    }
}

/// What became of the write of a state.
enum Written {
    /// It lies in the service.
    Done,
    /// Another entry has written this one, from which the roll-out goes on.
    Superseded(RolloutState),
}

/// Writes the roll-outs while this entry decides for all.
pub(super) struct RolloutWriter {
    context: Arc<ForwardContext>,
    store: Arc<dyn KeyValueStore>,
    keys: BTreeMap<ServiceName, Keys>,
}

impl RolloutWriter {
    pub(super) fn new(context: Arc<ForwardContext>, store: Arc<dyn KeyValueStore>) -> Self {
        Self {
            context,
            store,
            keys: BTreeMap::new(),
        }
    }

    /// Runs until the future is dropped. Without an order it only waits for one.
    pub(super) async fn run(mut self) {
        loop {
            let services = self.context.rollout_services();
            for service in &services {
                let result = self.write(service).await;
                self.record_result(service, result);
            }
            let changed = self.context.rollout_write.notified();
            match services.is_empty() {
                true => changed.await,
                // A timeout continues as well: this entry may have taken over, or may try again.
                false => drop(tokio::time::timeout(DECISION_PERIOD, changed).await),
            }
        }
    }

    /// Writes what was decided, puts it into force, and writes what follows from the state in force.
    async fn write(&mut self, service: &ServiceName) -> Result<(), StoreError> {
        let now = self.context.now();
        let era = self.context.state().fleet.store_era();
        self.keys(service).forget_before(era);
        let next = {
            let mut state = self.context.state();
            let next = state.rollout_writes.remove(service);
            if !state.fleet.is_writer(now) {
                return Ok(());
            }
            let current = state.rollout_state(now, service);
            next.filter(|next| current.is_none_or(|current| current.rank() < next.rank()))
        };
        if now < self.keys(service).next_try {
            return Ok(());
        }
        if let Some(next) = next {
            match self.write_state(service, next.clone()).await? {
                Written::Done => self.context.put_in_force(&next),
                Written::Superseded(other) => self.context.put_in_force(&other),
            }
        }
        self.write_current(service).await
    }

    fn keys(&mut self, service: &ServiceName) -> &mut Keys {
        self.keys.entry(service.clone()).or_default()
    }

    /// Makes the key-value service hold the newest state, and then the status that follows from it. An entry that
    /// takes over does not know what the one before it has written.
    async fn write_current(&mut self, service: &ServiceName) -> Result<(), StoreError> {
        let now = self.context.now();
        let (replaced, current) = {
            let mut state = self.context.state();
            let ended = |state: &mut RolloutState| state.service == *service;
            let replaced: Vec<RolloutState> =
                state.replaced_rollouts.extract_if(.., ended).collect();
            (replaced, state.rollout_state(now, service))
        };
        for ended in replaced {
            self.write_status(&ended).await?;
        }
        let Some(current) = current else {
            return Ok(());
        };
        let keys = self.keys.entry(service.clone()).or_default();
        let is_written = keys.rank == Some(current.rank());
        if !is_written
            && let Written::Superseded(other) = self.write_state(service, current.clone()).await?
        {
            self.context.put_in_force(&other);
            return Ok(());
        }
        self.write_status(&current).await
    }

    /// Writes a state unless another entry has written a newer one.
    async fn write_state(
        &mut self,
        service: &ServiceName,
        mut next: RolloutState,
    ) -> Result<Written, StoreError> {
        let key = state_key(service);
        let keys = self.keys.entry(service.clone()).or_default();
        for _ in 0..MAX_TRIES {
            next.written_ms = unix_millis();
            let value = cw_wire::encode(&next).map_err(|error| StoreError::Protocol {
                message: error.to_string(),
            })?;
            match self.store.swap(&key, keys.state, value, None).await? {
                Swap::Done(newest) => {
                    keys.state = Some(newest);
                    keys.rank = Some(next.rank());
                    return Ok(Written::Done);
                }
                Swap::Conflict(found) => {
                    keys.state = found.as_ref().map(|found| found.modified);
                    let found = found.and_then(|found| decode_state(&found));
                    match found.filter(|found| supersedes(found, &next)) {
                        Some(found) if found.rank() == next.rank() && is_same(&found, &next) => {
                            keys.rank = Some(found.rank());
                            return Ok(Written::Done);
                        }
                        Some(found) => {
                            keys.rank = Some(found.rank());
                            return Ok(Written::Superseded(found));
                        }
                        None => {}
                    }
                }
            }
        }
        Err(StoreError::Unavailable {
            message: "another writer keeps changing the key".to_owned(),
        })
    }

    /// Writes the status of a state for the operator, unless it is there already.
    async fn write_status(&mut self, state: &RolloutState) -> Result<(), StoreError> {
        let dialect = &self.context.dialect;
        let reason = match state.stage.is_final() {
            true => state.reason.as_str(),
            // The reasons of the steps on the way are in the log.
            false => "",
        };
        let value = dialect.rollout_status(&state.target, state.stage, reason);
        let keys = self.keys.entry(state.service.clone()).or_default();
        if keys.value.as_ref() == Some(&value) {
            return Ok(());
        }
        let key = dialect.rollout_status_key(&state.service);
        for _ in 0..MAX_TRIES {
            let swap = self.store.swap(&key, keys.status, value.clone(), None);
            match swap.await? {
                Swap::Done(newest) => {
                    keys.status = Some(newest);
                    keys.value = Some(value);
                    info!(
                        service = state.service.as_str(), stage:? = state.stage, order = state.order;
                        "told the operator the status of a roll-out"
                    );
                    return Ok(());
                }
                Swap::Conflict(found) => {
                    keys.status = found.as_ref().map(|found| found.modified);
                    if found.is_some_and(|found| found.value == value) {
                        keys.value = Some(value);
                        return Ok(());
                    }
                }
            }
        }
        Err(StoreError::Unavailable {
            message: "another writer keeps changing the key".to_owned(),
        })
    }

    fn record_result(&mut self, service: &ServiceName, result: Result<(), StoreError>) {
        let keys = self.keys.entry(service.clone()).or_default();
        let Err(error) = result else {
            keys.failures = 0;
            return;
        };
        self.context.metrics.record_store_message("failed");
        let now = self.context.now();
        let pause = BACKOFF.delay(keys.failures, &mut self.context.state().rng);
        keys.next_try = now + pause;
        keys.failures = keys.failures.saturating_add(1);
        // The write may have been executed, so another entry may count on what is there.
        keys.rank = None;
        keys.value = None;
        warn!(
            service = service.as_str(),
            failures = keys.failures,
            pause_ms = millis(pause);
            "failed to write a roll-out: {error}"
        );
    }
}

/// Returns whether a state that another entry has written stays. The status may already say `completed`, and
/// the operator stops the old engines then.
fn supersedes(found: &RolloutState, next: &RolloutState) -> bool {
    let is_completed = found.order == next.order && found.stage == RolloutStage::Completed;
    is_completed || found.rank() >= next.rank()
}

/// Returns whether two states of the same rank mean the same.
fn is_same(found: &RolloutState, next: &RolloutState) -> bool {
    found.stage == next.stage && found.share_permille == next.share_permille
}
