//! Monitoring of the target: whether it is running, whether it restarted, and its load.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cw_types::TargetKind;
use cw_types::Time;
use cw_wire::Load;
use cw_wire::TargetState;
use log::info;

use super::agent_state::AgentState;
use super::engine_json::EngineLoad;
use super::target_client::TargetClientError;

/// The timeout for reading the load.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay after a failed reading. It is short, as nothing starts before the target responds.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The number of consecutive failed readings after which the target counts as down.
const MAX_FAILURES: u32 = 2;

/// The state that is kept between readings.
#[derive(Default)]
struct MonitorState {
    boot: Option<u64>,
    failures: u32,
}

/// Reads the target's load periodically, and on request.
pub(super) async fn run(state: Arc<AgentState>) {
    let mut monitor = MonitorState::default();
    loop {
        let before = state.read_table(|table, _| table.readiness().state());
        check_target(&state, &mut monitor).await;
        let after = state.read_table(|table, _| table.readiness().state());
        if before != after {
            info!(target = state.settings.target.id.as_str(); "the target is {}", label(after));
            state.report_now.notify_one();
        }
        let pause = match monitor.failures {
            0 => state.settings.engine.report,
            _ => RETRY_DELAY.min(state.settings.engine.report),
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = state.check_target.notified() => {}
        }
    }
}

fn label(state: TargetState) -> &'static str {
    match state {
        TargetState::Up => "up",
        TargetState::Down => "down",
        TargetState::Leaving => "leaving",
    }
}

async fn check_target(state: &Arc<AgentState>, monitor: &mut MonitorState) {
    let requested_at = state.clock.now();
    match read_load(state).await {
        Ok(reading) => on_reading(state, monitor, requested_at, reading),
        Err(TargetClientError::Refused) => on_refused(state, monitor),
        Err(_) => {
            monitor.failures += 1;
            if monitor.failures >= MAX_FAILURES {
                state.apply_event(|table, now| table.on_down(now));
            }
        }
    }
}

/// Reads the load of an engine. A plain service only shows that it accepts connections.
async fn read_load(state: &Arc<AgentState>) -> Result<Option<EngineLoad>, TargetClientError> {
    if state.settings.target.kind != TargetKind::Engine {
        return state.target_client.check_connection().await.map(|()| None);
    }
    let none: Option<&()> = None;
    let (_, body) = state
        .target_client
        .control("/v1/load", none, READ_TIMEOUT)
        .await?;
    serde_json::from_slice(&body)
        .map(Some)
        .map_err(|error| TargetClientError::Broken {
            message: error.to_string(),
        })
}

fn on_reading(
    state: &Arc<AgentState>,
    monitor: &mut MonitorState,
    requested_at: Time,
    reading: Option<EngineLoad>,
) {
    monitor.failures = 0;
    let boot = reading.as_ref().map(|reading| reading.boot);
    let restarted = monitor.boot.is_some() && monitor.boot != boot;
    monitor.boot = boot;
    let (load, versions) = match reading {
        Some(reading) => (reading.load(), reading.versions),
        None => (Load::default(), BTreeMap::new()),
    };
    state.apply_event(|table, now| {
        if restarted {
            table.on_crash(now);
        }
        table.on_load(now, requested_at, load, versions)
    });
}

/// Handles a target that refuses connections: its process is not running.
fn on_refused(state: &Arc<AgentState>, monitor: &mut MonitorState) {
    monitor.failures = 0;
    state.apply_event(|table, now| {
        table.on_crash(now);
        table.on_down(now)
    });
}
