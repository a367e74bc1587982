//! Polling of the host list.

use std::sync::Arc;
use std::time::Duration;

use cw_store::Host;
use cw_store::HostList;
use cw_store::HostState;
use log::debug;
use tokio::sync::watch;

use super::agent_state::AgentState;

/// The period of reading the host list.
const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Reads the host list periodically and publishes it to `hosts`.
pub(super) async fn run(
    state: Arc<AgentState>,
    list: Arc<dyn HostList>,
    hosts: watch::Sender<Arc<Vec<Host>>>,
) {
    loop {
        match list.hosts().await {
            Ok(listed_hosts) => {
                update_leaving_state(&state, &listed_hosts);
                hosts.send_replace(Arc::new(listed_hosts));
            }
            // The previous list stays in use.
            Err(error) => debug!("cannot read the host list: {error}"),
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

fn update_leaving_state(state: &Arc<AgentState>, hosts: &[Host]) {
    let own = hosts.iter().find(|host| host.host == state.settings.host);
    if let Some(own) = own {
        let host_leaving = own.state == HostState::Leaving;
        state.update_leaving(|leaving| leaving.host_leaving = host_leaving);
    }
}
