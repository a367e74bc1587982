//! Faults that experiments cause.

use std::time::Duration;

use cw_macro::data;

use crate::TestDeployment;

use super::ExperimentError;

/// One kind of fault.
#[data(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub(super) enum Fault {
    /// An engine is killed under its agent.
    EngineKilled,
    /// A target's host is lost, engine and agent together.
    HostLost,
    /// An engine is paused for 3 s.
    #[serde(rename = "engine_paused_3s")]
    ShortPause,
    /// An engine is paused for 30 s.
    #[serde(rename = "engine_paused_30s")]
    LongPause,
    /// The connections to an agent go silent for good.
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
    /// Returns the engines that are hit in a round: a sixth of them, or the one that runs most.
    pub(super) async fn victims(self, rig: &TestDeployment, round: usize) -> Vec<usize> {
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

    /// Returns how often the fault is caused, of `rounds`.
    pub(super) fn rounds(self, rounds: usize) -> usize {
        match self {
            Fault::LongPause => rounds.div_ceil(6),
            _ => rounds,
        }
    }

    /// Causes the fault.
    pub(super) async fn cause(self, rig: &TestDeployment, victims: &[usize]) {
        for &victim in victims {
            match self {
                Fault::EngineKilled => rig.engines[victim].kill().await,
                Fault::HostLost | Fault::SixthLost => rig.kill_host(victim).await,
                Fault::ShortPause | Fault::LongPause => rig.engines[victim].pause(),
                Fault::ConnectionSilent => rig.forwarders[victim].stall_connections(),
            }
        }
    }

    /// Returns how long the fault lasts when its end is a part of it.
    pub(super) fn lasts(self) -> Option<Duration> {
        match self {
            Fault::ShortPause => Some(Duration::from_secs(3)),
            Fault::LongPause => Some(Duration::from_secs(30)),
            _ => None,
        }
    }

    /// Ends the fault.
    pub(super) async fn end(
        self,
        rig: &TestDeployment,
        victims: &[usize],
    ) -> Result<(), ExperimentError> {
        for &victim in victims {
            let engine = &rig.engines[victim];
            match self {
                Fault::EngineKilled => engine.restart().await.map_err(ExperimentError::new)?,
                Fault::HostLost | Fault::SixthLost => {
                    engine.restart().await.map_err(ExperimentError::new)?;
                    let agent = &rig.agents[victim];
                    agent.restart().await.map_err(ExperimentError::new)?;
                }
                Fault::ShortPause | Fault::LongPause => engine.resume(),
                Fault::ConnectionSilent => {}
            }
        }
        Ok(())
    }
}
