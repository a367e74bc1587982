//! The roll-out of one service, as one entry knows it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cw_types::Time;
use cw_wire::MAX_REASON_BYTES;
use cw_wire::RolloutEvidence;
use cw_wire::RolloutNotice;
use cw_wire::RolloutStage;
use cw_wire::RolloutState;
use cw_wire::RouteHash;
use cw_wire::SoftwareHash;

use super::RolloutOrder;
use super::SideChoice;
use super::comparison::Comparison;
use super::evidence_table::EvidenceTable;
use super::evidence_table::RouteTotals;

/// How long an entry without a word from the store, its own or passed on by another entry, sends requests to the
/// target version. It is well below the time in which all must have gone back, and longer than a few lost messages.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// How long after the end of a roll-out requests go to the target version alone, and entries tell each other of it. The
/// engines of the other versions have stopped then, and the directory has said so.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The time over which the rate of requests is measured. It is long enough for a few requests of a slow service and
/// short enough to see a jump of the traffic.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// The roll-out of one service, as one entry knows it.
#[derive(Clone, Debug)]
pub(super) struct ServiceRollout {
    pub(super) order: RolloutOrder,
    pub(super) software: SoftwareHash,
    pub(super) state: Option<RolloutState>,
    /// When the state was decided.
    pub(super) decided_at: Time,
    /// When the order was given.
    pub(super) started_at: Time,
    /// When this entry learned of the order.
    pub(super) known_at: Time,
    /// When the order was last found in a later era of the store, `None` if it was not.
    renewed_at: Option<Time>,
    /// When this entry, or one whose messages arrive, last reached the store.
    pub(super) contact_at: Time,
    pub(super) own: RolloutEvidence,
    pub(super) others: EvidenceTable,
    comparisons: BTreeMap<RouteHash, Comparison>,
    pooled: Comparison,
    pub(super) totals: RouteTotals,
    /// Requests to all versions and to the target version that no entry that is left has counted.
    pub(super) uncounted: Option<(u64, u64)>,
    /// The requests to all versions at earlier times, the oldest one first.
    sends: VecDeque<(Time, u64)>,
    /// Why this entry holds the target version to be bad.
    pub(super) verdict: Option<String>,
    /// Whether the service had no other version when the order came.
    pub(super) is_only: bool,
    /// An order that begins when this one has ended.
    pub(super) next: Option<(Time, RolloutOrder)>,
    /// Answers of the target version when the share was last changed.
    pub(super) step_answers: u64,
}

impl ServiceRollout {
    pub(super) fn new(now: Time, order: RolloutOrder) -> Self {
        Self {
            software: SoftwareHash::of_version(&order.service, &order.target),
            order,
            state: None,
            decided_at: now,
            started_at: now,
            known_at: now,
            renewed_at: None,
            contact_at: now,
            own: RolloutEvidence::default(),
            others: EvidenceTable::default(),
            comparisons: BTreeMap::new(),
            pooled: Comparison::default(),
            totals: RouteTotals::default(),
            uncounted: None,
            sends: VecDeque::new(),
            verdict: None,
            is_only: false,
            next: None,
            step_answers: 0,
        }
    }

    /// Goes on under a revision of the order in a later era of the store, which may lack what has become of it.
    pub(super) fn renew(&mut self, now: Time, revision: u64) {
        self.order.revision = revision;
        if let Some(state) = &mut self.state {
            state.order = revision;
        }
        self.renewed_at = Some(now);
    }

    /// Returns the stage, `None` before the first state.
    pub(super) fn stage(&self) -> Option<RolloutStage> {
        self.state.as_ref().map(|state| state.stage)
    }

    /// Returns whether the roll-out has ended.
    pub(super) fn is_ended(&self) -> bool {
        self.stage().is_some_and(RolloutStage::is_final)
    }

    /// Returns when the roll-out has to have ended.
    pub(super) fn deadline(&self) -> Time {
        self.started_at + self.order.duration
    }

    /// Returns why this entry sends nothing new to the target version although others may, `None` if it does not.
    pub(super) fn retreat(&self, now: Time) -> Option<&str> {
        if let Some(verdict) = &self.verdict {
            return Some(verdict);
        }
        (now.since(self.contact_at) > CONTACT_TIMEOUT).then_some("no word from the store")
    }

    /// Returns where a request goes that may begin anywhere.
    pub(super) fn choose(&self, now: Time, draw: f64) -> SideChoice {
        let Some(state) = &self.state else {
            return match self.is_only {
                true => SideChoice::Any,
                false => SideChoice::Old,
            };
        };
        let choice = match state.stage {
            RolloutStage::InProgress if draw < self.share() => SideChoice::New,
            RolloutStage::InProgress => SideChoice::Old,
            RolloutStage::RolledBack => return SideChoice::Old,
            RolloutStage::Finishing => SideChoice::New,
            RolloutStage::Completed if now.since(self.decided_at) > SETTLE_TIME => {
                return SideChoice::Any;
            }
            RolloutStage::Completed => return SideChoice::New,
        };
        match self.retreat(now) {
            Some(_) => SideChoice::Old,
            None => choice,
        }
    }

    /// Returns the share of the state, from 0 to 1.
    pub(super) fn share(&self) -> f64 {
        let state = self.state.as_ref();
        state.map_or(0.0, |state| f64::from(state.share_permille) / 1000.0)
    }

    /// Applies a state of this order. Returns whether it is newer than the one that was known.
    pub(super) fn receive_state(&mut self, now: Time, state: &RolloutState) -> bool {
        let known = self.state.as_ref();
        let is_ended = known.is_some_and(|known| known.stage.is_final());
        if is_ended || known.is_some_and(|known| known.rank() >= state.rank()) {
            return false;
        }
        self.started_at = self.started_at.min(now.before(state.age));
        self.decided_at = now.before(state.decided_age);
        self.state = Some(state.clone());
        self.step_answers = self.totals.new.ended();
        true
    }

    /// Compares the sides by the newest evidence of all entries.
    pub(super) fn compare(&mut self, now: Time) {
        let routes = self.others.totals(&self.own);
        let mut all = RouteTotals::default();
        for (route, totals) in &routes {
            all.merge(totals);
            let comparison = self.comparisons.entry(*route).or_default();
            comparison.apply(now, totals, true);
            if let Some(cause) = comparison.verdict() {
                self.verdict.get_or_insert_with(|| cause.to_owned());
            }
        }
        self.pooled.apply(now, &all, false);
        if let Some(cause) = self.pooled.verdict() {
            self.verdict.get_or_insert_with(|| cause.to_owned());
        }
        self.totals = all;
        let sent = self.totals.old.sends + self.totals.new.sends;
        while self.sends.len() > 1 && now.since(self.sends[1].0) >= RATE_WINDOW {
            self.sends.pop_front();
        }
        if self.sends.back().is_none_or(|(_, before)| *before != sent) {
            self.sends.push_back((now, sent));
        }
    }

    /// Returns the strongest evidence against the target version.
    pub(super) fn evidence(&self) -> f64 {
        let routes = self.comparisons.values().map(Comparison::evidence);
        routes.fold(self.pooled.evidence(), f64::max)
    }

    /// Returns the rate of requests of late, in requests a second.
    pub(super) fn recent_rate(&self, now: Time) -> f64 {
        let (Some(first), Some(last)) = (self.sends.front(), self.sends.back()) else {
            return 0.0;
        };
        let time = now.since(first.0).as_secs_f64();
        match time > 0.0 {
            true => (last.1 - first.1) as f64 / time,
            false => 0.0,
        }
    }

    /// Returns the requests to all versions and to the target version since the order.
    pub(super) fn sent(&self) -> (u64, u64) {
        let (all, new) = self.uncounted.unwrap_or_default();
        let sends = (self.totals.old.sends, self.totals.new.sends);
        (all + sends.0 + sends.1, new + sends.1)
    }

    /// Returns what to tell the other entries, `None` if the roll-out has ended long ago.
    pub(super) fn notice(&self, now: Time) -> Option<RolloutNotice> {
        let told_from = self.renewed_at.max(Some(self.decided_at));
        if self.is_ended() && told_from.is_some_and(|from| now.since(from) > SETTLE_TIME) {
            return None;
        }
        let state = self.state.clone().map(|state| RolloutState {
            age: now.since(self.started_at),
            decided_age: now.since(self.decided_at),
            ..state
        });
        Some(RolloutNotice {
            service: self.order.service.clone(),
            order: self.order.revision,
            state,
            evidence: self.own.clone(),
            contact_age: now.since(self.contact_at),
            verdict: self.verdict.clone(),
        })
    }

    /// Returns the state that follows the present one.
    pub(super) fn next_state(
        &self,
        now: Time,
        stage: RolloutStage,
        share: f64,
        reason: &str,
    ) -> RolloutState {
        let (sent_all, sent_new) = self.sent();
        let mut reason = reason.to_owned();
        let length = reason.floor_char_boundary(MAX_REASON_BYTES);
        reason.truncate(length);
        RolloutState {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            order: self.order.revision,
            step: self.state.as_ref().map_or(1, |state| state.step + 1),
            stage,
            share_permille: (share * 1000.0).floor() as u16,
            reason,
            duration: self.order.duration,
            age: now.since(self.started_at),
            sent_new,
            sent_all,
            decided_age: Duration::ZERO,
            written_ms: 0,
        }
    }
}
