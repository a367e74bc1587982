//! Crashes of an engine under a living agent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use cw_types::AttemptId;
use cw_types::Time;
use cw_wire::CrashReport;
use cw_wire::Fingerprint;

/// How long a crash is reported.
const REPORTED: Duration = Duration::from_secs(300);
/// The most crashes that are reported.
const CRASHES_MAX: usize = 16;

/// The attempts that an engine's crash may be due to.
///
/// A broken connection alone is no crash: only the engine's refusal of a new connection, or a
/// reading with another boot id, shows that it died.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    running: BTreeMap<AttemptId, Fingerprint>,
    broken: VecDeque<(Time, Fingerprint)>,
    crashes: VecDeque<(Time, CrashReport)>,
    sequence: u64,
}

impl CrashLog {
    /// An attempt reaches the engine.
    pub fn on_start(&mut self, id: AttemptId, fingerprint: Fingerprint) {
        self.running.insert(id, fingerprint);
    }

    /// An attempt left the engine for a reason of its own.
    pub fn on_end(&mut self, id: AttemptId) {
        self.running.remove(&id);
    }

    /// An attempt's connection to the engine broke.
    pub fn on_disconnect(&mut self, now: Time, id: AttemptId) {
        if let Some(fingerprint) = self.running.remove(&id) {
            self.broken.push_back((now, fingerprint));
        }
    }

    /// The engine has died since the last reading.
    pub fn on_crash(&mut self, now: Time) {
        self.forget(now);
        let running = std::mem::take(&mut self.running);
        let broken = self.broken.drain(..).map(|(_, fingerprint)| fingerprint);
        let suspects: BTreeSet<_> = running.into_values().chain(broken).collect();
        if suspects.is_empty() {
            return;
        }
        self.sequence += 1;
        let report = CrashReport {
            sequence: self.sequence,
            suspects: suspects.into_iter().collect(),
        };
        self.crashes.push_back((now, report));
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_front();
        }
    }

    /// The engine lives, as it says in answer to a question asked at `asked`: what broke before
    /// that was no crash.
    pub fn on_alive(&mut self, now: Time, asked: Time) {
        self.broken.retain(|&(at, _)| at > asked);
        self.forget(now);
    }

    /// Returns the crashes to report.
    pub fn reports(&self) -> Vec<CrashReport> {
        self.crashes
            .iter()
            .map(|(_, crash)| crash.clone())
            .collect()
    }

    fn forget(&mut self, now: Time) {
        while let Some((at, _)) = self.crashes.front() {
            if now.since(*at) <= REPORTED {
                break;
            }
            self.crashes.pop_front();
        }
    }
}
