//! The deadline of a send, and the detection of a target that fails before its first answer.

use std::time::Duration;

use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::Fault;
use cw_policy::forward::Repeat;
use cw_types::Time;
use log::info;

use super::exchange_driver::ExchangeDriver;
use super::target_connection::TargetConnection;

/// How often a request that waits for its first event checks whether its target is suspected. It is
/// a small part of a normal pause.
const SUSPICION_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The delay after a successful probe of a suspected target until the next one. Each probe opens a
/// connection, which is charged.
const PROBE_PERIOD: Duration = Duration::from_millis(1000);

impl ExchangeDriver {
    /// Awaits `work` until the send is given up or the deadline has passed.
    pub(super) async fn in_time<T>(
        &self,
        give_up_at: Option<Time>,
        work: impl Future<Output = T>,
    ) -> Result<T, ExchangeEvent> {
        let deadline = self.exchange.plan().deadline;
        let until = give_up_at.map_or(deadline, |give_up_at| give_up_at.min(deadline));
        let instant = self.context.clock.instant(until);
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = tokio::time::sleep_until(instant) => {
                Err(match self.context.now() >= deadline {
                    true => ExchangeEvent::Expired,
                    false => ExchangeEvent::Lost(Fault::Silent),
                })
            }
            () = self.confirmed_down() => Err(ExchangeEvent::Lost(Fault::Silent)),
        }
    }

    /// Completes when the target is suspected and cannot be reached.
    ///
    /// Reading a prompt can take long, so silence alone does not show that the target has failed.
    async fn confirmed_down(&self) {
        let Some(placed) = self.exchange.placed() else {
            return std::future::pending().await;
        };
        if self.exchange.plan().repeat != Repeat::Resume {
            return std::future::pending().await;
        }
        let id = &placed.target;
        loop {
            tokio::time::sleep(SUSPICION_CHECK_PERIOD).await;
            let now = self.context.now();
            if !self.context.state().fleet.is_suspect(now, id) {
                continue;
            }
            let Some(address) = self.address(id) else {
                continue;
            };
            match TargetConnection::connect(address).await {
                Ok(connection) => {
                    let now = self.context.now();
                    self.context.state().fleet.record_response(now, id);
                    self.context.pool.put(now, id, connection, None);
                    tokio::time::sleep(PROBE_PERIOD).await;
                }
                Err(error) => {
                    info!(
                        request = self.request.head.id.as_str(),
                        target_id = id.as_str();
                        "failed to connect to a suspected target: {error}"
                    );
                    return;
                }
            }
        }
    }
}
