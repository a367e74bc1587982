//! Crashes of an engine while its agent keeps running.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use cw_types::AttemptId;
use cw_types::Time;
use cw_wire::CrashReport;
use cw_wire::Fingerprint;

/// How long a crash is reported.
const REPORT_RETENTION: Duration = Duration::from_secs(300);
/// The maximum number of crashes that are reported.
const MAX_CRASHES: usize = 16;

/// The crashes of an engine, with the attempts that may have caused them.
///
/// A broken connection alone does not count as a crash: only a refused new connection, or a load
/// sample with another boot id, proves that the engine crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    running: BTreeMap<AttemptId, Fingerprint>,
    disconnected: VecDeque<(Time, Fingerprint)>,
    crashes: VecDeque<(Time, CrashReport)>,
    sequence: u64,
}

impl CrashLog {
    /// Handles the start of an attempt at the engine.
    pub fn on_start(&mut self, id: AttemptId, fingerprint: Fingerprint) {
        self.running.insert(id, fingerprint);
    }

    /// Handles an end without a crash of the engine, so that the attempt is not a suspect of a later
    /// crash.
    pub fn on_end(&mut self, id: AttemptId) {
        self.running.remove(&id);
    }

    /// Handles a broken connection of an attempt to the engine.
    pub fn on_disconnect(&mut self, now: Time, id: AttemptId) {
        if let Some(fingerprint) = self.running.remove(&id) {
            self.disconnected.push_back((now, fingerprint));
        }
    }

    /// Handles a crash since the last load sample, and records its suspects.
    pub fn on_crash(&mut self, now: Time) {
        self.expire_reports(now);
        let running = std::mem::take(&mut self.running);
        let disconnected = self
            .disconnected
            .drain(..)
            .map(|(_, fingerprint)| fingerprint);
        let suspects: BTreeSet<_> = running.into_values().chain(disconnected).collect();
        if suspects.is_empty() {
            return;
        }
        self.sequence += 1;
        let report = CrashReport {
            sequence: self.sequence,
            suspects: suspects.into_iter().collect(),
        };
        self.crashes.push_back((now, report));
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Handles an answer to a load request sent at `asked`.
    ///
    /// The engine was alive then, so connections that broke before are not due to a crash.
    pub fn on_alive(&mut self, now: Time, asked: Time) {
        self.disconnected.retain(|&(at, _)| at > asked);
        self.expire_reports(now);
    }

    /// Returns the crashes to report.
    pub fn reports(&self) -> Vec<CrashReport> {
        self.crashes
            .iter()
            .map(|(_, crash)| crash.clone())
            .collect()
    }

    fn expire_reports(&mut self, now: Time) {
        while let Some((at, _)) = self.crashes.front() {
            if now.since(*at) <= REPORT_RETENTION {
                break;
            }
            self.crashes.pop_front();
        }
    }
}
