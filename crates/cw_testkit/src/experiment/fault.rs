//! Faults that experiments inject.

use std::time::Duration;

use cw_macro::data;

use crate::TestDeployment;

use super::ExperimentError;

/// One kind of fault.
#[data(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub(super) enum Fault {
    /// An engine is killed while its agent runs on.
    EngineKilled,
    /// The host of a target is lost, with both its engine and its agent.
    HostLost,
    /// An engine is paused for 3 s.
    #[serde(rename = "engine_paused_3s")]
    ShortPause,
    /// An engine is paused for 30 s.
    #[serde(rename = "engine_paused_30s")]
    LongPause,
    /// Open connections to an agent carry no more data and are never closed.
    ConnectionSilent,
    /// A sixth of all targets is lost at once.
    SixthLost,
}

/// All faults, in the order of the report.
pub(super) const FAULTS: [Fault; 6] = [
    Fault::EngineKilled,
    Fault::HostLost,
    Fault::ShortPause,
    Fault::LongPause,
    Fault::ConnectionSilent,
    Fault::SixthLost,
];

impl Fault {
    /// Returns the engines that a round affects: a sixth of them, or the busiest one.
    pub(super) async fn affected_engines(self, rig: &TestDeployment, round: usize) -> Vec<usize> {
        let engines = rig.engines.len();
        if self == Fault::SixthLost {
            return (0..engines)
                .filter(|n| (n + round).is_multiple_of(6))
                .collect();
        }
        let mut busiest = (0, 0);
        for (number, engine) in rig.engines.iter().enumerate() {
            busiest = busiest.max((engine.request_count().await, number));
        }
        vec![busiest.1]
    }

    /// Returns how often the fault is injected in a run of `rounds` rounds.
    pub(super) fn rounds(self, rounds: usize) -> usize {
        match self {
            Fault::LongPause => rounds.div_ceil(6),
            _ => rounds,
        }
    }

    /// Injects the fault.
    pub(super) async fn inject(self, rig: &TestDeployment, affected: &[usize]) {
        for &number in affected {
            match self {
                Fault::EngineKilled => rig.engines[number].kill().await,
                Fault::HostLost | Fault::SixthLost => rig.kill_host(number).await,
                Fault::ShortPause | Fault::LongPause => rig.engines[number].pause(),
                Fault::ConnectionSilent => rig.forwarders[number].stall_connections(),
            }
        }
    }

    /// Returns how long the fault lasts; `None` if it lasts until the streams have ended.
    pub(super) fn duration(self) -> Option<Duration> {
        match self {
            Fault::ShortPause => Some(Duration::from_secs(3)),
            Fault::LongPause => Some(Duration::from_secs(30)),
            _ => None,
        }
    }

    /// Ends the fault by restarting or resuming what it affected.
    pub(super) async fn clear(
        self,
        rig: &TestDeployment,
        affected: &[usize],
    ) -> Result<(), ExperimentError> {
        for &number in affected {
            let engine = &rig.engines[number];
            match self {
                Fault::EngineKilled => engine.restart().await.map_err(ExperimentError::new)?,
                Fault::HostLost | Fault::SixthLost => {
                    engine.restart().await.map_err(ExperimentError::new)?;
                    let agent = &rig.agents[number];
                    agent.restart().await.map_err(ExperimentError::new)?;
                }
                Fault::ShortPause | Fault::LongPause => engine.resume(),
                Fault::ConnectionSilent => {}
            }
        }
        Ok(())
    }
}
