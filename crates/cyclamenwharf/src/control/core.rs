//! The control state of an entry and its event handlers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::EntryPeer;
use cw_policy::View;
use cw_policy::configuration::ActiveConfig;
use cw_policy::configuration::ApplyOutcome;
use cw_policy::configuration::Source;
use cw_policy::configuration::is_watcher;
use cw_policy::membership::Members;
use cw_policy::membership::MembershipLimits;
use cw_policy::membership::MergeOutcome;
use cw_policy::membership::Processes;
use cw_policy::membership::Relay;
use cw_policy::membership::RelayGroups;
use cw_policy::membership::Urgency;
use cw_policy::membership::ago;
use cw_policy::membership::primary_relay;
use cw_store::Host;
use cw_types::HostId;
use cw_types::Revision;
use cw_types::Snapshot;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::ConfigResponse;
use cw_wire::Report;
use cw_wire::ReportBatch;
use cw_wire::ReportResponse;
use log::error;
use log::info;
use log::warn;
use tokio::sync::watch;

use super::ControlMetrics;
use super::DemandExchange;
use super::Event;
use super::PeerSender;
use super::PlannerStatus;
use super::SharedView;
use super::StoreAccess;
use crate::Health;
use crate::listed_host::host_status;
use crate::listed_host::live_entry;

/// The period of [`Core::on_tick`].
pub(super) const TICK_PERIOD: Duration = Duration::from_millis(50);

/// How often the view is published if nothing urgent has happened.
const VIEW_PERIOD: Duration = Duration::from_millis(250);

/// How often this entry announces its own state if nothing has changed.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(30);

/// How often missing state is requested from peers.
const REPAIR_PERIOD: Duration = Duration::from_millis(500);

/// The number of peers from which an entry without a configuration requests one.
const BOOTSTRAP_PEERS: usize = 4;

/// The dependencies of the control state.
pub(super) struct CoreParts {
    pub(super) own_entry: EntryPeer,
    pub(super) view: SharedView,
    pub(super) demands: Arc<DemandExchange>,
    pub(super) health: Arc<Health>,
    pub(super) metrics: ControlMetrics,
    pub(super) sender: PeerSender,
    pub(super) store_access: Arc<watch::Sender<StoreAccess>>,
    pub(super) last_config: Arc<arc_swap::ArcSwap<ActiveConfig>>,
}

/// The control state of an entry.
pub(super) struct Core {
    pub(super) parts: CoreParts,
    pub(super) active_config: ActiveConfig,
    pub(super) members: Members,
    relay: Relay,
    pub(super) processes: Processes,
    entries: Vec<EntryPeer>,
    relay_groups: RelayGroups,
    /// Peers that missed a batch, to which the next round sends the full state instead.
    resync_peers: BTreeSet<HostId>,
    pub(super) planner: PlannerStatus,
    next_round: Time,
    next_view: Time,
    next_announce: Time,
    next_repair: Time,
    /// Whether a change must be sent and published at the next tick, before the next period.
    urgent: bool,
    /// Whether the full state must be requested from a peer.
    needs_state: bool,
}

impl Core {
    /// Returns the initial state. A configuration that was in force before the task restarted
    /// remains in force.
    pub(super) fn new(parts: CoreParts, now: Time) -> Self {
        let limits = MembershipLimits::default();
        let host = parts.own_entry.host.clone();
        let entries = vec![parts.own_entry.clone()];
        let mut core = Self {
            active_config: ActiveConfig::clone(&parts.last_config.load()),
            relay: Relay::new(host.clone(), limits.silent_after),
            members: Members::new(host, limits, now),
            processes: Processes::default(),
            relay_groups: RelayGroups::default(),
            entries,
            resync_peers: BTreeSet::new(),
            planner: PlannerStatus::default(),
            next_round: now,
            next_view: now,
            next_announce: now,
            next_repair: now,
            urgent: false,
            needs_state: true,
            parts,
        };
        core.members.on_config(core.active_config.config());
        core
    }

    // ------------------------------------------------------------------------
    // Events

    /// Handles one event.
    pub(super) fn on_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Report { report, reply } => {
                let _ = reply.send(self.on_report(now, *report));
            }
            Event::Batch(batch) => self.on_batch(now, &batch),
            Event::SendFailed(host) => {
                self.resync_peers.insert(host);
            }
            Event::ConfigRequested { have, reply } => {
                let _ = reply.send(self.active_config.response_to(have));
            }
            Event::StateRequested { reply } => {
                let _ = reply.send(self.full_state(now));
            }
            Event::StoreSnapshot(snapshot) => self.on_store(now, *snapshot),
            Event::PeerConfig { peer, response } => self.on_peer_config(now, &peer, *response),
            Event::HostList(hosts) => self.on_hosts(hosts),
            Event::PlannerStatus(status) => self.planner = status,
            Event::Inspect { reply } => {
                let _ = reply.send(self.inspect(now));
            }
        }
    }

    fn on_report(&mut self, now: Time, report: Report) -> ReportResponse {
        self.parts.metrics.reports.inc();
        let drained = self.active_config.config().is_drained(&report.target);
        if self.relay.on_report(now, report.clone()) == Urgency::Immediate {
            self.urgent = true;
        }
        self.members.on_report(now, Duration::ZERO, report);
        ReportResponse {
            revision: self.active_config.revision(),
            drained,
        }
    }

    fn on_batch(&mut self, now: Time, batch: &ReportBatch) {
        self.parts.metrics.batches.inc();
        self.relay.on_batch(now, batch);
        if self.members.on_batch(now, batch) == MergeOutcome::MissingReport {
            self.needs_state = true;
        }
        for state in &batch.processes {
            self.processes.on_state(now, state);
        }
        for (age, demand) in &batch.demands {
            self.parts.demands.receive(ago(now, *age), demand.clone());
        }
        if batch.revision > self.active_config.revision() {
            self.request_config(&batch.relay);
        }
    }

    fn on_store(&mut self, now: Time, snapshot: Option<Snapshot>) {
        // A deleted key counts as an empty history.
        let outcome = match snapshot {
            None if !self.active_config.is_known() => return,
            None => self.active_config.apply(Source::Store, Snapshot::default()),
            Some(snapshot) => self.active_config.apply(Source::Store, snapshot),
        };
        self.on_apply(now, outcome);
    }

    fn on_peer_config(&mut self, now: Time, peer: &HostId, response: ConfigResponse) {
        if response == ConfigResponse::Current(Revision::default()) {
            return;
        }
        let outcome = self.active_config.apply_response(response);
        if outcome == ApplyOutcome::NeedsSnapshot {
            self.request_config(peer);
        }
        self.on_apply(now, outcome);
    }

    fn on_apply(&mut self, now: Time, outcome: ApplyOutcome) {
        let alarm = self.active_config.alarm().is_some();
        self.parts.metrics.alarm.set(i64::from(alarm));
        match outcome {
            ApplyOutcome::Applied(errors) => {
                for error in &errors {
                    warn!("cannot read an accepted record: {error}");
                }
                self.parts
                    .metrics
                    .unreadable_records
                    .set(errors.len() as i64);
                self.on_applied(now);
            }
            ApplyOutcome::Rejected(alarm) => error!("rejected a configuration: {alarm}"),
            ApplyOutcome::Unchanged | ApplyOutcome::Stale | ApplyOutcome::NeedsSnapshot => {}
        }
    }

    fn on_applied(&mut self, now: Time) {
        let revision = self.active_config.revision();
        info!(revision = revision.0; "applied a configuration");
        self.parts.metrics.revision.set(revision.0 as i64);
        self.parts
            .last_config
            .store(Arc::new(self.active_config.clone()));
        self.members.on_config(self.active_config.config());
        self.parts.health.set_configured();
        // The other entries and the traffic threads get the new configuration without delay.
        self.next_announce = now;
        self.urgent = true;
    }

    fn on_hosts(&mut self, hosts: Vec<Host>) {
        let statuses: BTreeMap<_, _> = hosts
            .iter()
            .map(|h| (h.host.clone(), host_status(h)))
            .collect();
        let own = &self.parts.own_entry;
        let mut entries: Vec<_> = hosts.iter().filter_map(live_entry).collect();
        entries.retain(|entry| entry.host != own.host);
        entries.push(own.clone());
        entries.sort_by(|a, b| a.host.cmp(&b.host));
        self.processes
            .retain(|host| *host == own.host || statuses.contains_key(host));
        self.members.on_hosts(statuses, entries.len());
        if entries == self.entries {
            return;
        }
        self.relay_groups = RelayGroups::new(&own.host, &entries);
        let store_access = match is_watcher(&own.host, &own.zone, &entries) {
            true => StoreAccess::Direct,
            false => StoreAccess::ThroughPeers,
        };
        self.entries = entries;
        self.urgent = true;
        self.parts.store_access.send_if_modified(|old| {
            let changed = *old != store_access;
            *old = store_access;
            changed
        });
    }

    // ------------------------------------------------------------------------
    // Time

    /// Sends, publishes and requests what is due.
    pub(super) fn on_tick(&mut self, now: Time) {
        self.members.on_tick(now);
        if now >= self.next_announce {
            self.next_announce = now + ANNOUNCE_PERIOD;
            let state = self.process_state();
            self.processes.on_state(now, &state);
            self.relay.on_state(now, &state);
        }
        if now >= self.next_round || self.urgent {
            self.send_round(now);
        }
        if now >= self.next_view || self.urgent {
            self.next_view = now + VIEW_PERIOD;
            self.publish(now);
        }
        self.urgent = false;
        if now >= self.next_repair {
            self.next_repair = now + REPAIR_PERIOD;
            self.repair();
        }
    }

    fn send_round(&mut self, now: Time) {
        self.next_round = now + Relay::period(self.entries.len());
        for silence in self.relay.silent(now, self.members.running_since()) {
            let host = self.members.host().clone();
            self.members.on_silence(now, &host, &silence);
        }
        if let Some(demand) = self.parts.demands.own() {
            self.relay.on_demand(now, demand);
        }
        let revision = self.active_config.revision();
        let (own, entries) = (&self.parts.own_entry.host, &self.entries);
        let config = self.active_config.config();
        let is_primary = |target: &TargetId| {
            let region = config.targets.get(target).map(|target| &target.region);
            let primary = region.and_then(|region| primary_relay(target, region, entries));
            primary.is_none_or(|primary| primary == own)
        };
        let batches = self.relay.round(
            now,
            &self.members,
            revision,
            &self.relay_groups,
            &is_primary,
        );
        let resync_peers = std::mem::take(&mut self.resync_peers);
        let needs_resync = |peer: &EntryPeer| resync_peers.contains(&peer.host);
        for (peers, batch) in [
            (&self.relay_groups.group_peers, batches.group),
            (&self.relay_groups.forward_peers, batches.forwarded),
        ] {
            let Some(batch) = batch else { continue };
            let (resync, synced): (Vec<_>, Vec<_>) = peers.iter().cloned().partition(needs_resync);
            self.parts.sender.send_batch(&synced, batch);
            if !resync.is_empty() {
                self.parts.sender.send_batch(&resync, self.full_state(now));
            }
        }
    }

    fn publish(&self, now: Time) {
        self.parts.view.store(Arc::new(View {
            config: self.active_config.config().clone(),
            targets: self.members.view(now),
            entries: self.entries.clone(),
        }));
    }

    fn request_config(&self, host: &HostId) {
        if let Some(peer) = self.entries.iter().find(|entry| entry.host == *host) {
            let have = self.active_config.revision();
            self.parts.sender.request_config(peer, have);
        }
    }

    /// Requests missing state from peers.
    fn repair(&mut self) {
        let own = &self.parts.own_entry.host;
        let others: Vec<_> = self.entries.iter().filter(|e| e.host != *own).collect();
        if !self.active_config.is_known() {
            for peer in sample_peers(&others, BOOTSTRAP_PEERS) {
                self.parts.sender.request_config(peer, Revision::default());
            }
        }
        if self.needs_state {
            for peer in sample_peers(&others, 1) {
                self.needs_state = false;
                self.parts.sender.request_state(peer);
            }
        }
    }
}

fn sample_peers<'a>(peers: &[&'a EntryPeer], count: usize) -> Vec<&'a EntryPeer> {
    use rand::seq::IndexedRandom;
    peers.sample(&mut rand::rng(), count).copied().collect()
}
