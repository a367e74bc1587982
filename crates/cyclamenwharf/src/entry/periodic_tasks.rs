//! Periodic tasks of an entry: the queue and the exchange of quota demands.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::queue::TargetPool;
use cw_types::RouteTarget;
use cw_types::Time;

use super::entry_context::EntryContext;

/// The interval between runs of the queue.
const QUEUE_PERIOD: Duration = Duration::from_millis(10);

/// The interval between exchanges of quota demands, in queue periods.
const EXCHANGE_PERIODS: u64 = 20;

/// The maximum number of queued requests of one target pool that start in one period.
const MAX_STARTS: usize = 16;

/// Runs the periodic tasks for as long as the entry runs.
pub(crate) async fn run(context: Arc<EntryContext>) {
    let mut interval = tokio::time::interval(QUEUE_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for period in 0_u64.. {
        interval.tick().await;
        let now = context.clock.now();
        for pool in context.queue.refuse_expired(now) {
            start_waiting(&context, now, &pool);
        }
        if period % EXCHANGE_PERIODS == 0 {
            context.quotas.exchange_demands(now, &context.view.load());
            let waiting = i64::try_from(context.queue.len()).unwrap_or(i64::MAX);
            context.metrics.waiting.set(waiting);
        }
    }
}

/// Starts as many queued requests of a target pool as its targets have spare capacity for.
fn start_waiting(context: &EntryContext, now: Time, pool: &TargetPool) {
    let view = context.view.load_full();
    let capacity = context
        .router
        .capacity(now, &view, &RouteTarget::from(pool));
    // Without targets the requests start too, so that they fail with the error for it.
    for _ in 0..capacity.unwrap_or(MAX_STARTS).min(MAX_STARTS) {
        if !context.queue.start_one(now, pool) {
            return;
        }
    }
}
