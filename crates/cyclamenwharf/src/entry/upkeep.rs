//! What an entry's traffic needs from time to time.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::queue::TargetPool;
use cw_types::RouteTarget;
use cw_types::Time;

use super::frontend::Frontend;

/// How often the queue is looked after.
const QUEUE_PERIOD: Duration = Duration::from_millis(10);

/// How often demands on quotas are exchanged, in periods of the queue.
const EXCHANGE_PERIODS: u64 = 20;

/// The most waiting requests of a target pool that go on in one period.
const STARTS: usize = 16;

/// Looks after the queue and the quotas for as long as the entry runs.
pub(crate) async fn run(front: Arc<Frontend>) {
    let mut clock = tokio::time::interval(QUEUE_PERIOD);
    clock.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for period in 0_u64.. {
        clock.tick().await;
        let now = front.clock.now();
        for pool in front.line.tick(now) {
            start_waiting(&front, now, &pool);
        }
        if period % EXCHANGE_PERIODS == 0 {
            front.quotas.exchange(now, &front.view.load());
            let waiting = i64::try_from(front.line.len()).unwrap_or(i64::MAX);
            front.metrics.waiting.set(waiting);
        }
    }
}

/// Lets as many requests of a target pool go on as the targets seem to have room for.
fn start_waiting(front: &Frontend, now: Time, pool: &TargetPool) {
    let view = front.view.load_full();
    let room = front.router.room(now, &view, &RouteTarget::from(pool));
    // Without targets they go on too, and are told so.
    for _ in 0..room.unwrap_or(STARTS).min(STARTS) {
        if !front.line.start_one(now, pool) {
            return;
        }
    }
}
