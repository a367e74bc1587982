//! What this entry itself did since the targets' reports.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::TargetId;
use cw_types::Time;

use super::RouteRequest;
use super::account::Account;
use super::account::Delta;
use crate::View;
use crate::prefix::Overlap;

/// The weight of the newest attempt in the mean time that attempts take.
const HOLD_WEIGHT: f64 = 0.05;

/// This entry's own record of what it sent to targets, which their reports do not show yet.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<TargetId, Account>,
    hold: Option<Duration>,
    turn: u64,
    /// Which prompts the targets are known to have cached.
    pub overlap: Overlap,
}

impl Ledger {
    /// Records that an attempt without a prompt was sent to `target`.
    pub fn dispatched(&mut self, now: Time, target: &TargetId) {
        self.begin(now, target, 0);
    }

    /// Records that the attempt of `request` was sent to `target`, which has to process what it
    /// does not have of the prompt.
    pub fn sent(&mut self, now: Time, target: &TargetId, request: &RouteRequest) {
        let mut holders = self.overlap.holders(&request.blocks);
        let share = holders
            .find(|holder| holder.target == target)
            .map_or(0.0, |holder| holder.share);
        let tokens = request.tokens.0 as f64 * (1.0 - share);
        drop(holders);
        self.begin(now, target, tokens as u64);
    }

    /// Records that an attempt that was sent to `target` has ended, `held` after it was sent.
    pub fn ended(&mut self, now: Time, target: &TargetId, held: Duration) {
        self.account(target).end(now);
        let mean = self.hold.unwrap_or(held);
        self.hold = Some(mean.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT));
    }

    /// Records that `target` refused an attempt and asked for `retry` before the next one.
    pub fn refused(&mut self, now: Time, target: &TargetId, retry: Duration) {
        self.account(target).refuse(now + retry);
    }

    /// Forgets what the reports in a new `view` already show.
    pub fn observe(&mut self, now: Time, view: &View) {
        self.accounts.retain(|id, account| {
            let Some(target) = view.targets.get(id) else {
                return false;
            };
            account.forget(target.reported_at);
            !account.is_empty(now)
        });
    }

    /// Returns the mean time that an attempt takes, once one has ended.
    pub fn hold(&self) -> Option<Duration> {
        self.hold
    }

    /// Returns how many attempts were sent, as a turn for round robin.
    pub(super) fn turn(&self) -> u64 {
        self.turn
    }

    /// Returns what `target` has now, where it showed a `backlog` of prompts at `reported`.
    pub(super) fn delta(
        &self,
        now: Time,
        target: &TargetId,
        reported: Time,
        backlog: f64,
        cost: f64,
    ) -> Delta {
        let account = self.accounts.get(target);
        account
            .unwrap_or(&Account::EMPTY)
            .delta(now, reported, backlog, cost)
    }

    /// Returns until when `target` asked not to be tried.
    pub(super) fn busy_until(&self, target: &TargetId) -> Time {
        self.accounts
            .get(target)
            .map_or(Time(0), |account| account.busy_until)
    }

    fn begin(&mut self, now: Time, target: &TargetId, tokens: u64) {
        self.turn = self.turn.wrapping_add(1);
        self.account(target).begin(now, tokens);
    }

    fn account(&mut self, target: &TargetId) -> &mut Account {
        self.accounts.entry(target.clone()).or_default()
    }
}
