//! Reporting of the target's state to relays.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::EntryPeer;
use cw_policy::membership::relays;
use cw_store::Host;
use cw_wire::Report;
use cw_wire::ReportResponse;
use cw_wire::path;
use futures::future::join_all;
use log::debug;
use tokio::sync::watch;

use super::agent_state::AgentState;
use crate::PeerClient;
use crate::listed_host::live_entry;

/// The timeout for a relay's response.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends reports periodically, and immediately on changes.
pub(super) async fn run(state: Arc<AgentState>, mut hosts: watch::Receiver<Arc<Vec<Host>>>) {
    let secret = state.settings.secrets.peers.first();
    let client = PeerClient::new(secret.map(String::as_str).unwrap_or_default());
    let mut sequence = 0;
    loop {
        sequence += 1;
        let list = hosts.borrow_and_update().clone();
        send_report(&state, &client, &list, &new_report(&state, sequence)).await;
        tokio::select! {
            () = tokio::time::sleep(state.settings.engine.report) => {}
            () = state.report_now.notified() => {}
            Ok(()) = hosts.changed() => {}
        }
    }
}

fn new_report(state: &AgentState, sequence: u64) -> Report {
    let revision = state.leaving().revision();
    state.read_table(|table, now| Report {
        target: state.settings.target.id.clone(),
        host: state.settings.host.clone(),
        incarnation: table.incarnation(),
        sequence,
        state: table.readiness().state(),
        load: table.load(now),
        versions: table.readiness().versions(),
        pinned: table.pins(),
        crashes: table.crashes(),
        revision,
    })
}

async fn send_report(
    state: &Arc<AgentState>,
    client: &PeerClient,
    hosts: &[Host],
    report: &Report,
) {
    let settings = &state.settings;
    let entries: Vec<EntryPeer> = hosts.iter().filter_map(live_entry).collect();
    let relays = relays(&settings.target.id, &settings.region, &entries);
    let calls = relays
        .iter()
        .map(|entry| client.call(entry.peer_address, path::REPORTS, report, REPORT_TIMEOUT));
    for answer in join_all(calls).await {
        match answer {
            Ok(ReportResponse { revision, drained }) => {
                state.update_leaving(|leaving| leaving.on_relay(revision, drained));
            }
            Err(error) => debug!("cannot send a report to a relay: {error}"),
        }
    }
}
