//! Divides the limits of targets among the entries, and keeps this entry to its part.
//!
//! Each entry tells the others how many requests it has for each service, and what targets have
//! reported of their limits. All divide a limit in the same way: in proportion to the demand, among few
//! more entries than it has requests a second. The demand of an entry whose messages do not arrive is
//! taken to be as large as one's own.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Rate;
use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::LimitNotice;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use super::Requirements;
use super::member::Member;
use super::target_limit::LimitReport;

/// The time over which the demand for a service is averaged. It is long enough for a few requests of
/// an entry with little traffic, and shorter than the window in which a target's requests count.
const DEMAND_TIME: Duration = Duration::from_millis(700);

/// How long a report is passed on to the other entries. Messages are sent several times a second, so
/// lost ones are made up for.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// How many more entries share a limit than it has requests a second. Each may save up one request, and
/// all of these together must stay within what the platform allows in four seconds: half as much again
/// as the limit, and five requests.
const SPARE_USERS: usize = 3;

/// The maximum number of limits in one message, which must fit into a datagram.
const MAX_NOTICES: usize = 200;

/// The mean rate of requests for a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceDemand {
    rate: f64,
    at: Time,
}

impl ServiceDemand {
    fn rate(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.rate * (-age).exp()
    }

    fn record(&mut self, now: Time) {
        self.rate = self.rate(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.at = now;
    }
}

/// When a request may be sent to an incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// The target.
    pub target: TargetId,
    /// The incarnation of the target that takes the request. A later one may have another software version.
    pub incarnation: Incarnation,
    /// When the request may be sent.
    pub at: Time,
    /// Whether the target names a limit, of which the slot is a part.
    pub is_paced: bool,
    /// Whether the target wants no requests until then.
    pub after_rest: bool,
}

impl Fleet {
    /// Records a request for a service, which raises this entry's share of the limits there.
    pub fn record_demand(&mut self, now: Time, service: &ServiceName) {
        match self.demands.get_mut(service) {
            Some(demand) => demand.record(now),
            None => {
                let mut demand = ServiceDemand::default();
                demand.record(now);
                self.demands.insert(service.clone(), demand);
            }
        }
        self.divide_limits(now, |other| other == service);
    }

    /// Records the limit that an incarnation of a target names in the answer to a request that was
    /// sent at `sent_at`, `None` if it names none. Returns whether the limit has changed.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was named.
    pub fn record_limit(
        &mut self,
        now: Time,
        id: &TargetId,
        incarnation: Incarnation,
        sent_at: Time,
        rate: Option<Rate>,
    ) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        if member.listing.incarnation() != incarnation {
            return false;
        }
        let reported_at = match (rate, member.limit.rate()) {
            (None, None) => return false,
            (None, Some(_)) => sent_at,
            (Some(_), _) => now,
        };
        let is_change = member.limit.record(LimitReport { rate, reported_at });
        self.limited.insert(id.clone());
        let service = member.listing.service.clone();
        if is_change {
            self.divide_limits(now, |other| *other == service);
        }
        is_change
    }

    /// Records that an incarnation of a target wants no requests from this entry for a time.
    pub fn record_rest(
        &mut self,
        now: Time,
        id: &TargetId,
        incarnation: Incarnation,
        rest: Duration,
    ) {
        if let Some(member) = self.members.get_mut(id)
            && member.listing.incarnation() == incarnation
        {
            member.limit.record_rest(now, rest);
        }
    }

    /// Records that an incarnation of a target has run a request that was sent at `sent_at`. If it has wanted no requests before
    /// that, it takes any number now.
    pub fn record_run(&mut self, id: &TargetId, incarnation: Incarnation, sent_at: Time) {
        if let Some(member) = self.members.get_mut(id)
            && member.listing.incarnation() == incarnation
        {
            member.limit.record_run(sent_at);
        }
    }

    /// Returns what to tell the other entries of the limits of targets.
    pub fn limit_notices(&self, now: Time) -> Vec<LimitNotice> {
        let members = self.limited.iter().filter_map(|id| self.members.get(id));
        let reports = members.filter_map(|member| Some((member.hash, member.limit.report()?)));
        let recent = reports.filter(|(_, report)| now.since(report.reported_at) <= NOTICE_TIME);
        let notices = recent.map(|(target, report)| LimitNotice {
            target,
            rate: report.rate,
            age: now.since(report.reported_at),
        });
        notices.take(MAX_NOTICES).collect()
    }

    /// Returns the demand of this entry for each service.
    pub fn demand_notices(&self, now: Time) -> Vec<(ServiceName, Rate)> {
        let demands = self.demands.iter();
        demands
            .map(|(service, demand)| (service.clone(), Rate(demand.rate(now))))
            .collect()
    }

    /// Applies what another entry tells of the limits of targets.
    pub(super) fn receive_limits(&mut self, now: Time, notices: &[LimitNotice]) {
        for notice in notices {
            let report = LimitReport {
                rate: notice.rate,
                reported_at: now.before(notice.age),
            };
            let Some(id) = self.by_hash.get(&notice.target) else {
                continue;
            };
            if let Some(member) = self.members.get_mut(id) {
                member.limit.record(report);
                self.limited.insert(id.clone());
            }
        }
        self.divide_limits(now, |_| true);
    }

    /// Returns the first time at which a target that this request may be sent to takes it, `None` if
    /// there is no such target.
    pub fn next_slot(&self, now: Time, requirements: &Requirements<'_>) -> Option<Slot> {
        let usable = self
            .members
            .values()
            .filter(|member| self.is_candidate(now, member, requirements));
        let slots = usable.filter_map(|member| Some((member.limit.next_slot(now)?, member)));
        let (at, member) = slots.min_by_key(|(at, _)| *at)?;
        Some(member.slot(now, at))
    }

    /// Returns whether a request may be sent in a slot that was kept for it. What it requires of a target is asked
    /// again, since the target may have changed since then.
    pub fn may_use_slot(&self, now: Time, requirements: &Requirements<'_>, slot: &Slot) -> bool {
        let member = self.members.get(&slot.target);
        member.is_some_and(|member| {
            member.listing.incarnation() == slot.incarnation
                && self.is_candidate(now, member, requirements)
                && member.limit.rest_until() <= slot.at
        })
    }

    /// Returns the shortest time in which some target for this request takes one from any entry,
    /// `None` without such a target.
    pub fn slot_interval(&self, now: Time, requirements: &Requirements<'_>) -> Option<Duration> {
        let usable = self
            .members
            .values()
            .filter(|member| self.is_candidate(now, member, requirements));
        let rates = usable.filter_map(|member| member.limit.rate());
        let total: f64 = rates.map(|rate| rate.0).sum();
        Duration::try_from_secs_f64(1.0 / total).ok()
    }

    /// Returns whether a target takes a request of this entry now.
    pub fn has_slot(&self, now: Time, id: &TargetId) -> bool {
        let member = self.members.get(id);
        member.is_none_or(|member| member.has_slot(now))
    }

    /// Uses the next slot at a target, and returns its time.
    pub fn take_slot(&mut self, now: Time, id: &TargetId) -> Time {
        let member = self.members.get_mut(id);
        member.map_or(now, |member| member.limit.take_slot(now))
    }

    /// Keeps the next slot at a target for a request, `None` if the directory does not list the target.
    pub fn keep_slot(&mut self, now: Time, id: &TargetId) -> Option<Slot> {
        let member = self.members.get_mut(id)?;
        let at = member.limit.take_slot(now);
        Some(member.slot(now, at))
    }

    /// Gives back a slot that was kept for a request and not used.
    pub fn return_slot(&mut self, slot: &Slot) {
        let member = self.members.get_mut(&slot.target);
        let member = member.filter(|member| member.listing.incarnation() == slot.incarnation);
        if let Some(member) = member {
            member.limit.return_slot(slot);
        }
    }

    /// Divides the limits of the targets whose services are selected.
    pub(super) fn divide_limits(&mut self, now: Time, is_selected: impl Fn(&ServiceName) -> bool) {
        let has_report = |member: &Member| {
            member.limit.report().is_some() && is_selected(&member.listing.service)
        };
        let mut demands: BTreeMap<ServiceName, Vec<EntryDemand>> = BTreeMap::new();
        let limited = self.limited.iter().filter_map(|id| self.members.get(id));
        for member in limited.filter(|member| has_report(member)) {
            let service = &member.listing.service;
            if !demands.contains_key(service) {
                demands.insert(service.clone(), self.entry_demands(now, service));
            }
        }
        for id in &self.limited {
            let Some(member) = self.members.get_mut(id) else {
                continue;
            };
            if let Some(demands) = demands.get(&member.listing.service)
                && member.limit.report().is_some()
            {
                let rate = member.limit.rate().unwrap_or_default();
                let (share, phase) = own_share(&member.listing.id, rate, demands);
                member.limit.set_share(now, share, phase);
            }
        }
    }

    /// Returns the demand of each entry for a service, without any entry if none is known.
    fn entry_demands(&self, now: Time, service: &ServiceName) -> Vec<EntryDemand> {
        let own = self.demands.get(service);
        let own = own.map_or(0.0, |demand| demand.rate(now));
        let entry_demand = |host: &HostId| {
            let is_own = self.own_host.as_ref() == Some(host);
            let told = match is_own {
                true => None,
                false => self.peers.demand(host, service),
            };
            EntryDemand {
                host: xxh3_64(host.as_str().as_bytes()),
                is_own,
                rate: told.unwrap_or(own),
            }
        };
        self.entries.iter().map(entry_demand).collect()
    }
}

/// The demand of one entry for a service.
#[derive(Clone, Copy, Debug)]
struct EntryDemand {
    /// The hash of the entry's host.
    host: u64,
    /// Whether it is this entry.
    is_own: bool,
    /// The rate of its requests.
    rate: f64,
}

/// Returns this entry's share of the limit of a target, and its phase. Both are from 0 to 1.
fn own_share(target: &TargetId, rate: Rate, demands: &[EntryDemand]) -> (f64, f64) {
    if demands.is_empty() {
        return (1.0, 0.0);
    }
    let order = |entry: &EntryDemand| {
        // Entries with the same demand use different targets, if a limit is too low for all.
        xxh3_64_with_seed(target.as_str().as_bytes(), entry.host)
    };
    let mut users: Vec<(u64, EntryDemand)> =
        demands.iter().map(|entry| (order(entry), *entry)).collect();
    users.sort_by(|a, b| b.1.rate.total_cmp(&a.1.rate).then(a.0.cmp(&b.0)));
    users.truncate((rate.0 as usize).saturating_add(SPARE_USERS));
    let Some((own_order, own)) = users.iter().find(|(_, entry)| entry.is_own) else {
        return (0.0, 0.0);
    };
    let phase = *own_order as f64 / u64::MAX as f64;
    let total: f64 = users.iter().map(|(_, entry)| entry.rate).sum();
    let share = match total > 0.0 {
        true => own.rate / total,
        false => 1.0 / users.len() as f64,
    };
    (share, phase)
}
