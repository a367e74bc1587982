//! Reads the host list.

use std::sync::Arc;
use std::time::Duration;

use cw_store::HostList;
use log::debug;
use rand::RngExt;
use tokio::sync::mpsc;

use super::Event;

/// How often the list is read.
const PERIOD: Duration = Duration::from_secs(1);

/// Reads the list again and again until the task is dropped.
pub(super) async fn follow_hosts(list: Arc<dyn HostList>, events: mpsc::Sender<Event>) {
    loop {
        match list.hosts().await {
            Ok(hosts) => {
                if events.send(Event::Hosts(hosts)).await.is_err() {
                    return;
                }
            }
            Err(error) => debug!("the host list fails: {error}"),
        }
        let pause = PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::time::sleep(pause).await;
    }
}
