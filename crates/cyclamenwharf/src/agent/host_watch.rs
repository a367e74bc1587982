//! Reads the host list.

use std::sync::Arc;
use std::time::Duration;

use cw_store::Host;
use cw_store::HostList;
use cw_store::HostState;
use log::debug;
use tokio::sync::watch;

use super::agent_state::AgentState;

/// How often the host list is read.
const PERIOD: Duration = Duration::from_secs(2);

/// Reads the host list for as long as the agent lives, and publishes it.
pub(super) async fn run(
    state: Arc<AgentState>,
    list: Arc<dyn HostList>,
    hosts: watch::Sender<Arc<Vec<Host>>>,
) {
    loop {
        match list.hosts().await {
            Ok(found) => {
                take(&state, &found);
                hosts.send_replace(Arc::new(found));
            }
            // The last list is better than none.
            Err(error) => debug!("the host list cannot be read: {error}"),
        }
        tokio::time::sleep(PERIOD).await;
    }
}

fn take(state: &Arc<AgentState>, hosts: &[Host]) {
    let own = hosts.iter().find(|host| host.host == state.settings.host);
    if let Some(own) = own {
        let listed = own.state == HostState::Leaving;
        state.set_leaving(|leaving| leaving.listed = listed);
    }
}
