//! Reads the host list.

use std::sync::Arc;
use std::time::Duration;

use cw_store::HostList;
use log::debug;
use rand::RngExt;
use tokio::sync::mpsc;

use super::Event;

/// How often a short list is read.
const PERIOD_MIN: Duration = Duration::from_secs(1);

/// How many hosts are read a second at most, on average: some 4 KB of JSON.
const HOSTS_PER_SECOND: u32 = 24;

/// Reads the list again and again until the task is dropped.
pub(super) async fn follow_hosts(list: Arc<dyn HostList>, events: mpsc::Sender<Event>) {
    let mut period = PERIOD_MIN;
    loop {
        match list.hosts().await {
            Ok(hosts) => {
                period = period_of(hosts.len());
                if events.send(Event::Hosts(hosts)).await.is_err() {
                    return;
                }
            }
            Err(error) => debug!("the host list fails: {error}"),
        }
        let pause = period.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::time::sleep(pause).await;
    }
}

/// Returns how often a list of so many hosts is read: a long one costs more with each read.
///
/// Agents read the list themselves and tell their relays when they are to leave, so entries may
/// learn late of a mark.
fn period_of(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let seconds = f64::from(hosts) / f64::from(HOSTS_PER_SECOND);
    PERIOD_MIN.max(Duration::from_secs_f64(seconds))
}
