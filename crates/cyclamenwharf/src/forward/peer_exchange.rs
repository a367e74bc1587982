//! Exchanges load and directory changes with the other entries.
//!
//! Datagrams suffice: each message replaces the previous one, and the next message makes up for a
//! lost one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::forward::Topic;
use cw_store::StoreRevision;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Time;
use cw_wire::CrashNews;
use cw_wire::DirectoryUpdate;
use cw_wire::OutstandingWork;
use cw_wire::decode;
use cw_wire::encode;
use log::debug;
use log::info;
use tokio::net::UdpSocket;

use super::forward_context::ForwardContext;
use super::forward_context::ForwardState;
use super::target_records::AppliedUpdate;
use super::target_records::apply_directory_update;

/// The longest time between two messages to all entries. A loss triggers one at once, and a new prompt
/// one to the entries near its target.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(200);

/// The addition to [`MAX_SEND_INTERVAL`] for each other entry, so that the total work grows only
/// linearly with the number of entries.
const INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);

/// The shortest time between two messages.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(5);

/// The maximum number of targets in a message, which must fit into one datagram.
const MAX_SHARES: usize = 1000;

/// The maximum number of streams in a message, which must fit into one datagram.
const MAX_ORIGINS: usize = 1000;

/// The maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// The entries that a message goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// All other entries.
    All,
    /// Those near the targets that this entry has just sent prompts to, which choose these targets as readily as
    /// this one, and the keepers of the streams that have just begun. The others hear of both with the next
    /// regular message.
    Near,
}

/// Sends messages to the other entries and receives theirs.
pub(super) struct PeerExchange {
    pub(super) context: Arc<ForwardContext>,
    pub(super) socket: Arc<UdpSocket>,
    pub(super) incarnation: Incarnation,
}

impl PeerExchange {
    /// Sends messages to the other entries until the future is dropped.
    pub(super) async fn run_sender(self) {
        let mut sequence = 0;
        let mut last_to_all = Time::default();
        loop {
            tokio::time::sleep(MIN_SEND_INTERVAL).await;
            let audience = self.next_audience(last_to_all).await;
            let entries = self.receivers(audience);
            if entries.is_empty() {
                continue;
            }
            sequence += 1;
            let now = self.context.now();
            let message = self.build_message(now, sequence, last_to_all, audience);
            if audience == Audience::All {
                last_to_all = now;
            }
            match encode(&message) {
                Ok(bytes) => self.send(&bytes, entries).await,
                Err(error) => info!("failed to encode a message to the other entries: {error}"),
            }
        }
    }

    /// Waits until a message is due, and returns to whom.
    async fn next_audience(&self, last_to_all: Time) -> Audience {
        let now = self.context.now();
        let (is_watcher, count, announcement) = {
            let state = self.context.state();
            let is_watcher = state.fleet.is_any_watcher(now);
            let announcement = state.crashes.next_announcement();
            (is_watcher, state.entry_list.len(), announcement)
        };
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        // Watchers keep the short interval for any number of entries, so that none of them is
        // taken for failed.
        let interval = match is_watcher {
            true => MAX_SEND_INTERVAL,
            false => MAX_SEND_INTERVAL + INTERVAL_PER_ENTRY.saturating_mul(count),
        };
        let due = last_to_all + interval;
        let due = announcement.map_or(due, |at| due.min(at));
        let due = self.context.clock.instant(due);
        tokio::select! {
            biased;
            () = self.context.peer_update.notified() => Audience::All,
            // The other entries must learn that this one is alive.
            () = tokio::time::sleep_until(due) => Audience::All,
            () = self.context.prompt_update.notified() => Audience::Near,
        }
    }

    /// Returns the addresses of the entries that a message goes to.
    fn receivers(&self, audience: Audience) -> Vec<SocketAddr> {
        let now = self.context.now();
        let mut state = self.context.state();
        let prompted = std::mem::take(&mut state.prompted_targets);
        let begun = std::mem::take(&mut state.begun_streams);
        let others = state.entry_list.others(now);
        if audience == Audience::All {
            return others.into_values().collect();
        }
        let near = (prompted.iter()).flat_map(|target| state.fleet.entries_near(target));
        let keepers = (begun.iter()).flat_map(|stream| state.fleet.stream_keepers(*stream));
        let near: BTreeSet<&HostId> = near.chain(keepers).collect();
        let known = others.iter().filter(|(host, _)| near.contains(host));
        known.map(|(_, address)| *address).collect()
    }

    fn build_message(
        &self,
        now: Time,
        sequence: u64,
        last_to_all: Time,
        audience: Audience,
    ) -> OutstandingWork {
        let mut state = self.context.state();
        let state = &mut *state;
        let config = state.config_version();
        // The changes fill the link of a small host, so one watcher sends them. The others tell which is
        // their last, and have them for entries that miss some.
        let sends_changes = audience == Audience::All && state.fleet.is_writer(now);
        let ages = [Topic::Config, Topic::Targets].map(|topic| state.freshness(topic).own_age(now));
        let directory = state.fleet.is_any_watcher(now).then(|| {
            let update = match sends_changes {
                true => state.directory_log.update(now, &state.fleet, config),
                false => state.directory_log.digest(now, &state.fleet, config),
            };
            DirectoryUpdate {
                config_age: ages[0],
                targets_age: ages[1],
                ..update
            }
        });
        let left_out = state.directory_log.left_out();
        if sends_changes && left_out > 0 {
            info!(
                left_out = left_out,
                newest = state.directory_log.newest();
                "some directory changes do not fit into a message"
            );
        }
        let mut shares = state.fleet.shares();
        shares.truncate(MAX_SHARES);
        OutstandingWork {
            host: self.context.settings.host.clone(),
            incarnation: self.incarnation,
            sequence,
            shares,
            clock: Some(now.since(Time::default())),
            config,
            directory,
            prompts: state.own_prompts.recorded_since(last_to_all),
            origins: (state.origins.own_since(last_to_all))
                .take(MAX_ORIGINS)
                .collect(),
            lost: state.fleet.lost_since(last_to_all),
            // Each announcement is made a few times, to all.
            crashes: match audience {
                Audience::All => state.crashes.news(now),
                Audience::Near => CrashNews::default(),
            },
            limits: state.fleet.limit_notices(now),
            demands: Some(state.fleet.demand_notices(now)),
            rollouts: state.rollouts.notices(now),
        }
    }

    async fn send(&self, bytes: &[u8], peers: Vec<SocketAddr>) {
        for peer in peers {
            if let Err(error) = self.socket.send_to(bytes, peer).await {
                debug!(peer = peer.to_string(); "failed to send a message to an entry: {error}");
            }
        }
    }

    /// Receives messages of the other entries until the future is dropped.
    pub(super) async fn run_receiver(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // If a peer has no listener, the next read fails, which is no error of this
                    // entry.
                    debug!("failed to receive a message: {error}");
                    continue;
                }
            };
            match decode::<OutstandingWork>(&buffer[..length]) {
                Ok(message) => self.receive(&message, from),
                Err(error) => info!("received an invalid message from another entry: {error}"),
            }
        }
    }

    /// Applies what another entry that watches the directory tells of it.
    fn receive_directory(
        &self,
        now: Time,
        state: &mut ForwardState,
        message: &OutstandingWork,
        update: &DirectoryUpdate,
        from: SocketAddr,
    ) {
        let host = &message.host;
        if update.config <= state.config_version()
            && let Some(as_of) = state.fleet.confirmation(host, Topic::Config)
        {
            state.freshness(Topic::Config).confirm_told(as_of);
        }
        let targets_at = state.fleet.confirmation(host, Topic::Targets);
        if let Some(as_of) = targets_at {
            state.fleet.record_directory_told(as_of, update.trusted);
        }
        let is_watcher = state.fleet.is_watcher(now, Topic::Targets);
        let is_up = state.fleet.is_directory_up();
        // An entry that cannot reach the directory has no valid data, and a watcher that can reach
        // it has newer data of its own.
        if !update.up || (is_watcher && is_up) {
            return;
        }
        if apply_directory_update(&self.context, now, state, update) == AppliedUpdate::Missing {
            state.directory_source = Some(from);
            self.context.directory_behind.notify_waiters();
            return;
        }
        if let Some(as_of) = targets_at {
            state.directory_log.record_known(update.known);
            state.freshness(Topic::Targets).confirm_told(as_of);
            let era = StoreRevision(update.known).era();
            state.fleet.confirm_targets(as_of, era);
        }
    }

    /// Applies the crashes that another entry tells. Crashes that both have seen are told back, with
    /// the requests of this entry.
    fn receive_crashes(&self, now: Time, state: &mut ForwardState, message: &OutstandingWork) {
        if message.crashes.is_empty() || !state.crashes.receive(now, &message.crashes) {
            return;
        }
        self.context.crashes_changed.notify_one();
        info!(
            entry = message.host.as_str(),
            crashes = message.crashes.crashes.len(),
            cleared = message.crashes.cleared.len();
            "received evidence of requests that crash targets"
        );
    }

    fn receive(&self, message: &OutstandingWork, from: SocketAddr) {
        let now = self.context.now();
        let mut state = self.context.state();
        state.entry_list.record_message(now, &message.host, from);
        let before = state.fleet.peer_count();
        if !state.fleet.knows_peer(&message.host, message.incarnation) {
            state.crashes.record_new_entry(now);
        }
        if state.fleet.receive_peer(now, message) {
            if let Some(update) = &message.directory {
                self.receive_directory(now, &mut state, message, update, from);
            }
            for prompt in &message.prompts {
                state.peer_prompts.record(now, *prompt);
            }
            for origin in &message.origins {
                if state.origins.record_told(now, *origin) {
                    self.context.software_changed.notify_one();
                }
            }
            self.receive_crashes(now, &mut state, message);
            self.context.receive_rollouts(now, &mut state, message);
            if state.is_config_behind() {
                self.context.directory_behind.notify_waiters();
            }
        }
        if state.fleet.peer_count() > before {
            self.context.update_entries(now, &mut state);
            info!(entry = message.host.as_str(); "received the first message from another entry");
        }
    }
}
