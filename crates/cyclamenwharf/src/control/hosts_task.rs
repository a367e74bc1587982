//! The task that polls the host list.

use std::sync::Arc;
use std::time::Duration;

use cw_store::HostList;
use log::debug;
use rand::RngExt;
use tokio::sync::mpsc;

use super::Event;

/// The shortest period between two reads of the host list.
const MIN_PERIOD: Duration = Duration::from_secs(1);

/// The maximum average number of hosts read per second. Their records take about 4 KB of JSON.
const MAX_HOSTS_PER_SECOND: u32 = 24;

/// Polls the host list until the receiver of events is closed or the task is dropped.
pub(super) async fn poll_hosts(list: Arc<dyn HostList>, events: mpsc::Sender<Event>) {
    let mut period = MIN_PERIOD;
    loop {
        match list.hosts().await {
            Ok(hosts) => {
                period = poll_period(hosts.len());
                if events.send(Event::HostList(hosts)).await.is_err() {
                    return;
                }
            }
            Err(error) => debug!("cannot read the host list: {error}"),
        }
        let pause = period.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::time::sleep(pause).await;
    }
}

/// Returns the period at which a list of this many hosts is read. A longer list is read less often,
/// because each read costs more.
///
/// An entry may see a change of a host's state late. This is acceptable, because agents also read
/// the list and report to their relays when their host is leaving.
fn poll_period(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let seconds = f64::from(hosts) / f64::from(MAX_HOSTS_PER_SECOND);
    MIN_PERIOD.max(Duration::from_secs_f64(seconds))
}
