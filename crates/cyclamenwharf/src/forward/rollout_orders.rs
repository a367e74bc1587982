//! Takes the operator's orders to move services to other software versions, and what other entries tell of them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use cw_policy::rollout::OrderStep;
use cw_policy::rollout::RolloutOrder;
use cw_store::Versioned;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::ServiceName;
use cw_types::Time;
use cw_wire::OutstandingWork;
use cw_wire::RolloutEvidence;
use cw_wire::RolloutNotice;
use cw_wire::RolloutState;
use http::Method;
use log::info;
use log::warn;

use super::directory_sync::DirectorySync;
use super::forward_context::ForwardContext;
use super::forward_context::ForwardState;
use super::peer_api::ROLLOUTS_PATH;
use super::rollout_writer::state_key;

impl DirectorySync {
    /// Takes the order in an item of the operator, if it is one and can be parsed.
    pub(super) fn apply_order(&self, item: &Versioned) {
        if let Some(order) = self.parse_order(item) {
            self.context.record_order(order, None);
        }
    }

    /// Reads how far the ordered roll-outs are, before the first configuration lets requests in. Without a state the
    /// target version gets nothing.
    pub(super) async fn restore_rollouts(&self, items: &[Versioned]) {
        for order in items.iter().filter_map(|item| self.parse_order(item)) {
            let found = match self.store.get(&state_key(&order.service)).await {
                Ok(found) => found,
                Err(error) => {
                    info!(service = order.service.as_str(); "failed to read the state of a roll-out: {error}");
                    continue;
                }
            };
            let state = found.and_then(|item| decode_state(&item));
            self.context.record_order(order, state);
        }
    }

    /// Asks another entry for the roll-outs, before its configuration lets requests in.
    pub(super) async fn query_rollouts(&self, entry: &str, address: SocketAddr) {
        let call = self
            .entries
            .call(Method::GET, address, ROLLOUTS_PATH, Bytes::new());
        let notices = match call.await {
            Ok(answer) => cw_wire::decode::<Vec<RolloutNotice>>(&answer.body),
            Err(error) => {
                info!(entry = entry; "failed to query an entry for roll-outs: {error}");
                return;
            }
        };
        match (notices, entry.parse()) {
            (Ok(notices), Ok(host)) => self.context.adopt_rollouts(&host, notices),
            (Err(error), _) => {
                info!(entry = entry; "failed to decode the roll-outs of an entry: {error}");
            }
            (_, Err(_)) => {}
        }
    }

    fn parse_order(&self, item: &Versioned) -> Option<RolloutOrder> {
        let dialect = &self.context.dialect;
        if !item.key.starts_with(dialect.rollouts_prefix()) {
            return None;
        }
        let revision = u64::try_from(item.modified.0).unwrap_or_default();
        match dialect.parse_rollout_order(&item.key, &item.value, revision) {
            Ok(order) => Some(order),
            Err(error) => {
                warn!(key = item.key.as_str(); "the order of a roll-out cannot be read, and changes nothing: {error}");
                None
            }
        }
    }
}

impl ForwardState {
    /// Returns the newest state of a service's roll-out, `None` before the first one.
    pub(super) fn rollout_state(&self, now: Time, service: &ServiceName) -> Option<RolloutState> {
        let mut notices = self.rollouts.notices(now).into_iter();
        notices.find(|notice| notice.service == *service)?.state
    }
}

impl ForwardContext {
    /// Records an order, and the state that was found in the key-value service.
    pub(super) fn record_order(&self, order: RolloutOrder, found: Option<RolloutState>) {
        let now = self.now();
        let mut state = self.state();
        let service = order.service.as_str().to_owned();
        let (target, revision) = (order.target.to_string(), order.revision);
        let duration_s = order.duration.as_secs_f64();
        let step = state.rollouts.record_order(now, order, found);
        if step == OrderStep::Known {
            return;
        }
        if let OrderStep::Replaces(ended) = &step {
            state.replaced_rollouts.push(ended.clone());
        }
        state.settled_rollouts.clear();
        drop(state);
        info!(
            service = service.as_str(),
            target = target.as_str(),
            order = revision,
            duration_s = duration_s,
            step:? = step;
            "took the order of a roll-out"
        );
        self.announce_rollouts();
    }

    /// Makes the decider look at the roll-outs at once, and tells the other entries of them.
    pub(super) fn announce_rollouts(&self) {
        self.rollouts_changed.notify_one();
        self.rollout_write.notify_one();
        self.peer_update.notify_one();
    }

    /// Adopts the roll-outs of another entry. Its evidence comes with its messages.
    fn adopt_rollouts(&self, host: &HostId, notices: Vec<RolloutNotice>) {
        let now = self.now();
        let mut state = self.state();
        for mut notice in notices {
            notice.evidence = RolloutEvidence::default();
            let incarnation = Incarnation::default();
            (state.rollouts).receive_notice(now, host, incarnation, &notice);
        }
        drop(state);
        self.rollouts_changed.notify_one();
    }

    /// Applies what another entry reports about roll-outs.
    pub(super) fn receive_rollouts(
        &self,
        now: Time,
        state: &mut ForwardState,
        message: &OutstandingWork,
    ) {
        for notice in &message.rollouts {
            if !(state.rollouts).receive_notice(now, &message.host, message.incarnation, notice) {
                continue;
            }
            let told = notice.state.as_ref();
            info!(
                service = notice.service.as_str(),
                entry = message.host.as_str(),
                order = notice.order,
                step = told.map_or(0, |told| told.step),
                stage:? = told.map(|told| told.stage),
                share_permille = told.map_or(0, |told| told.share_permille),
                reason = told.map_or("", |told| told.reason.as_str());
                "another entry has told of a roll-out"
            );
            self.announce_rollouts();
        }
    }
}

/// Returns the state of a roll-out that lies in the key-value service, `None` if it cannot be decoded.
pub(super) fn decode_state(item: &Versioned) -> Option<RolloutState> {
    match cw_wire::decode::<RolloutState>(&item.value) {
        Ok(state) if state.written_ms == 0 => Some(state),
        Ok(state) => {
            let age = unix_millis().saturating_sub(state.written_ms);
            Some(state.aged(Duration::from_millis(age)))
        }
        Err(error) => {
            warn!(key = item.key.as_str(); "failed to decode the state of a roll-out: {error}");
            None
        }
    }
}

/// Returns the Unix time in milliseconds. All entries start anew after a power loss, and only this clock goes on.
pub(super) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, super::exchange_driver::millis)
}
