//! The control state and what it does with each event.

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
use super::PlannerStatus;
use super::Sender;
use super::SharedView;
use super::StoreUse;
use crate::Health;
use crate::listed_host::host_status;
use crate::listed_host::live_entry;

/// How often the state looks at the clock.
pub(super) const TICK: Duration = Duration::from_millis(50);

/// How often the view is made anew although nothing urgent happened.
const VIEW_PERIOD: Duration = Duration::from_millis(250);

/// How often this entry tells of itself although nothing changed.
const STATE_PERIOD: Duration = Duration::from_secs(30);

/// How often peers are asked for a configuration that this entry lacks.
const REPAIR_PERIOD: Duration = Duration::from_millis(500);

/// How many peers are asked at a start.
const START_PEERS: usize = 4;

/// What the control state is built from.
pub(super) struct CoreParts {
    pub(super) own: EntryPeer,
    pub(super) view: SharedView,
    pub(super) demands: Arc<DemandExchange>,
    pub(super) health: Arc<Health>,
    pub(super) metrics: ControlMetrics,
    pub(super) sender: Sender,
    pub(super) usage: Arc<watch::Sender<StoreUse>>,
    pub(super) seed: Arc<arc_swap::ArcSwap<ActiveConfig>>,
}

/// The control state of an entry.
pub(super) struct Core {
    pub(super) parts: CoreParts,
    pub(super) in_force: ActiveConfig,
    pub(super) members: Members,
    relay: Relay,
    pub(super) processes: Processes,
    entries: Vec<EntryPeer>,
    grid: RelayGroups,
    behind: BTreeSet<HostId>,
    pub(super) planner: PlannerStatus,
    next_round: Time,
    next_view: Time,
    next_state: Time,
    next_repair: Time,
    /// Whether news waits that must not wait for the next round or view.
    urgent: bool,
    /// Whether all reports are to be asked of a peer.
    incomplete: bool,
}

impl Core {
    /// Returns the state at a start, with what an earlier life of the task left in force.
    pub(super) fn new(parts: CoreParts, now: Time) -> Self {
        let limits = MembershipLimits::default();
        let host = parts.own.host.clone();
        let entries = vec![parts.own.clone()];
        let mut core = Self {
            in_force: ActiveConfig::clone(&parts.seed.load()),
            relay: Relay::new(host.clone(), limits.silent_after),
            members: Members::new(host, limits, now),
            processes: Processes::default(),
            grid: RelayGroups::default(),
            entries,
            behind: BTreeSet::new(),
            planner: PlannerStatus::default(),
            next_round: now,
            next_view: now,
            next_state: now,
            next_repair: now,
            urgent: false,
            incomplete: true,
            parts,
        };
        core.members.on_config(core.in_force.config());
        core
    }

    // ------------------------------------------------------------------------
    // Events

    /// Takes one event.
    pub(super) fn on_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Report { report, answer } => {
                let _ = answer.send(self.on_report(now, *report));
            }
            Event::Batch(batch) => self.on_batch(now, &batch),
            Event::SendFailed(host) => {
                self.behind.insert(host);
            }
            Event::ConfigAsked { have, answer } => {
                let _ = answer.send(self.in_force.response_to(have));
            }
            Event::StateAsked { answer } => {
                let _ = answer.send(self.whole(now));
            }
            Event::Store(snapshot) => self.on_store(now, *snapshot),
            Event::PeerConfig { peer, answer } => self.on_peer_config(now, &peer, *answer),
            Event::Hosts(hosts) => self.on_hosts(hosts),
            Event::Planner(status) => self.planner = status,
            Event::Inspect { answer } => {
                let _ = answer.send(self.inspect(now));
            }
        }
    }

    fn on_report(&mut self, now: Time, report: Report) -> ReportResponse {
        self.parts.metrics.reports.inc();
        let drained = self.in_force.config().is_drained(&report.target);
        if self.relay.on_report(now, report.clone()) == Urgency::Immediate {
            self.urgent = true;
        }
        self.members.on_report(now, Duration::ZERO, report);
        ReportResponse {
            revision: self.in_force.revision(),
            drained,
        }
    }

    fn on_batch(&mut self, now: Time, batch: &ReportBatch) {
        self.parts.metrics.batches.inc();
        self.relay.on_batch(now, batch);
        if self.members.on_batch(now, batch) == MergeOutcome::MissingReport {
            self.incomplete = true;
        }
        for state in &batch.processes {
            self.processes.on_state(now, state);
        }
        for (age, demand) in &batch.demands {
            self.parts.demands.hear(ago(now, *age), demand.clone());
        }
        if batch.revision > self.in_force.revision() {
            self.ask_config(&batch.relay);
        }
    }

    fn on_store(&mut self, now: Time, snapshot: Option<Snapshot>) {
        // A key that is gone is the empty history.
        let taking = match snapshot {
            None if !self.in_force.is_known() => return,
            None => self.in_force.apply(Source::Store, Snapshot::default()),
            Some(snapshot) => self.in_force.apply(Source::Store, snapshot),
        };
        self.on_taking(now, taking);
    }

    fn on_peer_config(&mut self, now: Time, peer: &HostId, answer: ConfigResponse) {
        if answer == ConfigResponse::Current(Revision::default()) {
            return;
        }
        let taking = self.in_force.apply_response(answer);
        if taking == ApplyOutcome::NeedsSnapshot {
            self.ask_config(peer);
        }
        self.on_taking(now, taking);
    }

    fn on_taking(&mut self, now: Time, taking: ApplyOutcome) {
        let alarm = self.in_force.alarm().is_some();
        self.parts.metrics.alarm.set(i64::from(alarm));
        match taking {
            ApplyOutcome::Applied(errors) => {
                for error in &errors {
                    warn!("an accepted record cannot be read: {error}");
                }
                self.parts.metrics.unreadable.set(errors.len() as i64);
                self.on_applied(now);
            }
            ApplyOutcome::Rejected(alarm) => error!("the configuration is held: {alarm}"),
            ApplyOutcome::Unchanged | ApplyOutcome::Stale | ApplyOutcome::NeedsSnapshot => {}
        }
    }

    fn on_applied(&mut self, now: Time) {
        let revision = self.in_force.revision();
        info!(revision = revision.0; "a configuration is in force");
        self.parts.metrics.revision.set(revision.0 as i64);
        self.parts.seed.store(Arc::new(self.in_force.clone()));
        self.members.on_config(self.in_force.config());
        self.parts.health.set_configured();
        // The others learn it at once, and so does the traffic.
        self.next_state = now;
        self.urgent = true;
    }

    fn on_hosts(&mut self, hosts: Vec<Host>) {
        let marks: BTreeMap<_, _> = hosts
            .iter()
            .map(|h| (h.host.clone(), host_status(h)))
            .collect();
        let own = &self.parts.own;
        let mut entries: Vec<_> = hosts.iter().filter_map(live_entry).collect();
        entries.retain(|entry| entry.host != own.host);
        entries.push(own.clone());
        entries.sort_by(|a, b| a.host.cmp(&b.host));
        self.processes
            .retain(|host| *host == own.host || marks.contains_key(host));
        self.members.on_hosts(marks, entries.len());
        if entries == self.entries {
            return;
        }
        self.grid = RelayGroups::new(&own.host, &entries);
        let usage = match is_watcher(&own.host, &own.zone, &entries) {
            true => StoreUse::Watch,
            false => StoreUse::Rest,
        };
        self.entries = entries;
        self.urgent = true;
        self.parts.usage.send_if_modified(|old| {
            let changed = *old != usage;
            *old = usage;
            changed
        });
    }

    // ------------------------------------------------------------------------
    // Time

    /// Does what is due.
    pub(super) fn on_tick(&mut self, now: Time) {
        self.members.on_tick(now);
        if now >= self.next_state {
            self.next_state = now + STATE_PERIOD;
            let state = self.state();
            self.processes.on_state(now, &state);
            self.relay.on_state(now, &state);
        }
        if now >= self.next_round || self.urgent {
            self.round(now);
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

    fn round(&mut self, now: Time) {
        self.next_round = now + Relay::period(self.entries.len());
        for silence in self.relay.silent(now, self.members.running_since()) {
            let host = self.members.host().clone();
            self.members.on_silence(now, &host, &silence);
        }
        if let Some(demand) = self.parts.demands.own() {
            self.relay.on_demand(now, demand);
        }
        let revision = self.in_force.revision();
        let (own, entries) = (&self.parts.own.host, &self.entries);
        let config = self.in_force.config();
        let is_first = |target: &TargetId| {
            let region = config.targets.get(target).map(|target| &target.region);
            let first = region.and_then(|region| primary_relay(target, region, entries));
            first.is_none_or(|first| first == own)
        };
        let sendings = self
            .relay
            .round(now, &self.members, revision, &self.grid, &is_first);
        let behind = std::mem::take(&mut self.behind);
        let is_behind = |peer: &EntryPeer| behind.contains(&peer.host);
        for (peers, batch) in [
            (&self.grid.group_peers, sendings.group),
            (&self.grid.forward_peers, sendings.forwarded),
        ] {
            let Some(batch) = batch else { continue };
            let (late, rest): (Vec<_>, Vec<_>) = peers.iter().cloned().partition(is_behind);
            self.parts.sender.send(&rest, batch);
            if !late.is_empty() {
                self.parts.sender.send(&late, self.whole(now));
            }
        }
    }

    fn publish(&self, now: Time) {
        self.parts.view.store(Arc::new(View {
            config: self.in_force.config().clone(),
            targets: self.members.view(now),
            entries: self.entries.clone(),
        }));
    }

    fn ask_config(&self, host: &HostId) {
        if let Some(peer) = self.entries.iter().find(|entry| entry.host == *host) {
            let have = self.in_force.revision();
            self.parts.sender.ask_config(peer, have);
        }
    }

    /// Asks peers for what is missing here.
    fn repair(&mut self) {
        let own = &self.parts.own.host;
        let others: Vec<_> = self.entries.iter().filter(|e| e.host != *own).collect();
        if !self.in_force.is_known() {
            for peer in pick(&others, START_PEERS) {
                self.parts.sender.ask_config(peer, Revision::default());
            }
        }
        if self.incomplete {
            for peer in pick(&others, 1) {
                self.incomplete = false;
                self.parts.sender.ask_state(peer);
            }
        }
    }
}

fn pick<'a>(peers: &[&'a EntryPeer], count: usize) -> Vec<&'a EntryPeer> {
    use rand::seq::IndexedRandom;
    peers.sample(&mut rand::rng(), count).copied().collect()
}
