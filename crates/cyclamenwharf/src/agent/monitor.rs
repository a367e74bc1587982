//! Watches the target: whether it lives, in which life, and how loaded it is.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cw_types::TargetKind;
use cw_types::Time;
use cw_wire::Load;
use cw_wire::TargetState;
use log::info;

use super::agent_state::AgentState;
use super::engine_client::EngineError;
use super::engine_json::EngineLoad;

/// How long a reading may take.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after a reading without an answer: nothing starts until the target is known to live.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// After how many readings without an answer the target counts as down.
const MISSES_MAX: u32 = 2;

/// What is remembered between readings.
#[derive(Default)]
struct Memory {
    boot: Option<u64>,
    misses: u32,
}

/// Reads the target's load for as long as the agent lives.
pub(super) async fn run(state: Arc<AgentState>) {
    let mut memory = Memory::default();
    loop {
        let before = state.look(|table, _| table.readiness().state());
        observe(&state, &mut memory).await;
        let after = state.look(|table, _| table.readiness().state());
        if before != after {
            info!(target = state.settings.target.id.as_str(); "the target is {}", word(after));
            state.report.notify_one();
        }
        let pause = match memory.misses {
            0 => state.settings.engine.report,
            _ => RETRY_PAUSE.min(state.settings.engine.report),
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = state.check.notified() => {}
        }
    }
}

fn word(state: TargetState) -> &'static str {
    match state {
        TargetState::Up => "up",
        TargetState::Down => "down",
        TargetState::Leaving => "leaving",
    }
}

async fn observe(state: &Arc<AgentState>, memory: &mut Memory) {
    let asked = state.clock.now();
    match read(state).await {
        Ok(reading) => alive(state, memory, asked, reading),
        Err(EngineError::Refused) => dead(state, memory),
        Err(_) => {
            memory.misses += 1;
            if memory.misses >= MISSES_MAX {
                state.tell(|table, now| table.on_down(now));
            }
        }
    }
}

/// A plain service tells nothing but that it takes connections.
async fn read(state: &Arc<AgentState>) -> Result<Option<EngineLoad>, EngineError> {
    if state.settings.target.kind != TargetKind::Engine {
        return state.engine.connect().await.map(|()| None);
    }
    let none: Option<&()> = None;
    let (_, body) = state.engine.control("/v1/load", none, READ_TIMEOUT).await?;
    serde_json::from_slice(&body)
        .map(Some)
        .map_err(|error| EngineError::Broken {
            message: error.to_string(),
        })
}

fn alive(state: &Arc<AgentState>, memory: &mut Memory, asked: Time, reading: Option<EngineLoad>) {
    memory.misses = 0;
    let boot = reading.as_ref().map(|reading| reading.boot);
    let reborn = memory.boot.is_some() && memory.boot != boot;
    memory.boot = boot;
    let (load, versions) = match reading {
        Some(reading) => (reading.load(), reading.versions),
        None => (Load::default(), BTreeMap::new()),
    };
    state.tell(|table, now| {
        if reborn {
            table.on_crash(now);
        }
        table.on_load(now, asked, load, versions)
    });
}

/// A target that refuses connections is not there.
fn dead(state: &Arc<AgentState>, memory: &mut Memory) {
    memory.misses = 0;
    state.tell(|table, now| {
        table.on_crash(now);
        table.on_down(now)
    });
}
