//! The attempts that this entry dispatched since the targets' last reports.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::TargetId;
use cw_types::Time;

use super::RouteRequest;
use super::target_log::LoadDelta;
use super::target_log::TargetLog;
use crate::View;
use crate::prefix::CacheIndex;

/// The weight of the newest attempt in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// This entry's record of its dispatches that the targets' reports do not include yet.
#[derive(Clone, Debug, Default)]
pub struct DispatchLog {
    targets: BTreeMap<TargetId, TargetLog>,
    mean_time: Option<Duration>,
    dispatch_count: u64,
    /// The prompt prefixes that the targets are known to have cached.
    pub cache_index: CacheIndex,
}

impl DispatchLog {
    /// Records the dispatch to `target` of an attempt without a prompt.
    pub fn record_service_dispatch(&mut self, now: Time, target: &TargetId) {
        self.begin(now, target, 0);
    }

    /// Records the dispatch of `request` to `target`, which has to prefill the part of the prompt
    /// that it does not have cached.
    pub fn record_dispatch(&mut self, now: Time, target: &TargetId, request: &RouteRequest) {
        let mut holders = self.cache_index.holders(&request.blocks);
        let share = holders
            .find(|holder| holder.target == target)
            .map_or(0.0, |holder| holder.share);
        let tokens = request.tokens.0 as f64 * (1.0 - share);
        drop(holders);
        self.begin(now, target, tokens as u64);
    }

    /// Records the end of an attempt at `target`, `elapsed` after its dispatch.
    pub fn record_end(&mut self, now: Time, target: &TargetId, elapsed: Duration) {
        self.target_log(target).end(now);
        let mean = self.mean_time.unwrap_or(elapsed);
        self.mean_time =
            Some(mean.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + elapsed.mul_f64(SERVICE_TIME_WEIGHT));
    }

    /// Records that `target` refused an attempt and is not to be tried again for `retry`.
    pub fn record_refusal(&mut self, now: Time, target: &TargetId, retry: Duration) {
        self.target_log(target).refuse(now + retry);
    }

    /// Removes the dispatches that the reports in a new `view` already include.
    pub fn observe(&mut self, now: Time, view: &View) {
        self.targets.retain(|id, target_log| {
            let Some(target) = view.targets.get(id) else {
                return false;
            };
            target_log.remove_reported(target.reported_at);
            !target_log.is_empty(now)
        });
    }

    /// Returns the mean time from dispatch to end of an attempt, once one has ended.
    pub fn mean_service_time(&self) -> Option<Duration> {
        self.mean_time
    }

    /// Returns the number of dispatches, which wraps around; round robin takes its turn from it.
    pub(super) fn dispatch_count(&self) -> u64 {
        self.dispatch_count
    }

    /// Returns the change of the load of `target` since its report at `reported`.
    ///
    /// `backlog` is the prefill time that the report showed and `token_time` that of one token,
    /// both in seconds.
    pub(super) fn delta(
        &self,
        now: Time,
        target: &TargetId,
        reported: Time,
        backlog: f64,
        token_time: f64,
    ) -> LoadDelta {
        let target_log = self.targets.get(target);
        target_log
            .unwrap_or(&TargetLog::EMPTY)
            .delta(now, reported, backlog, token_time)
    }

    /// Returns the time before which `target` is not to be tried again.
    pub(super) fn busy_until(&self, target: &TargetId) -> Time {
        self.targets
            .get(target)
            .map_or(Time(0), |target_log| target_log.busy_until)
    }

    fn begin(&mut self, now: Time, target: &TargetId, tokens: u64) {
        self.dispatch_count = self.dispatch_count.wrapping_add(1);
        self.target_log(target).begin(now, tokens);
    }

    fn target_log(&mut self, target: &TargetId) -> &mut TargetLog {
        self.targets.entry(target.clone()).or_default()
    }
}
