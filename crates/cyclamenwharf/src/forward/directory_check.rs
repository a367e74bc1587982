//! Asks the key-value service whenever what this entry knows of it is too old, or older than what another entry
//! has announced.

use std::time::Duration;

use cw_policy::budget::Backoff;
use cw_policy::forward::FreshnessStep;
use cw_policy::forward::ReadPatience;
use cw_policy::forward::ReadStep;
use cw_policy::forward::Topic;
use cw_store::StoreError;
use cw_store::TransferProgress;
use log::info;
use log::warn;

use super::crash_evidence_state::CRASHES_KEY;
use super::crash_evidence_state::restore_evidence;
use super::directory_query::CHANGES_TIMEOUT;
use super::directory_sync::DirectorySync;
use super::exchange_driver::millis;
use super::recent_run_state::RUNS_KEY;
use super::recent_run_state::restore_no_runs;
use super::recent_run_state::restore_runs;

/// The delay after failed calls. The service charges for failed calls too, and its data must be
/// applied within seconds of its recovery.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    max: Duration::from_millis(800),
};

/// How long a check waits for the service before it asks the other entries as well. The service usually answers
/// within milliseconds.
const PEER_DELAY: Duration = Duration::from_millis(150);

/// How often an entry looks whether more of the answer to a read has come.
const PROGRESS_POLL_PERIOD: Duration = Duration::from_millis(50);

/// How long an entry that has just started asks the service for the evidence of crashes and for recent runs, and
/// other entries for a newer configuration. It refuses all requests meanwhile, and some may not answer.
const START_TIMEOUT: Duration = Duration::from_millis(300);

/// What a read of the recent runs has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunsRead {
    /// There are some, which are restored.
    Restored,
    /// There are none, as far as the service still knows in the era of its answers.
    Absent,
    /// They were not read.
    Unknown,
}

impl DirectorySync {
    /// Asks the service whenever the knowledge of this entry is too old, or older than that of another one.
    pub(super) async fn keep_fresh(&self) {
        loop {
            let behind = self.context.directory_behind.notified();
            tokio::pin!(behind);
            behind.as_mut().enable();
            match self.next_step() {
                FreshnessStep::Rest(until) => {
                    let until = self.context.clock.instant(until);
                    // A timeout continues as well: the next step is due.
                    let _ = tokio::time::timeout_at(until, behind).await;
                }
                FreshnessStep::Check => self.check().await,
            }
        }
    }

    /// Returns whether another entry has announced newer data than this one has.
    fn is_behind(&self) -> bool {
        let now = self.context.now();
        let state = self.context.state();
        match self.topic {
            Topic::Config => state.is_config_behind(),
            Topic::Targets => state.directory_log.is_behind(now),
        }
    }

    fn next_step(&self) -> FreshnessStep {
        let is_behind = self.is_behind();
        let now = self.context.now();
        let mut state = self.context.state();
        let behind_at = match self.topic {
            Topic::Config => None,
            Topic::Targets => state.directory_log.behind_at(),
        };
        match state.freshness(self.topic).next_step(now, is_behind) {
            FreshnessStep::Rest(until) => {
                let behind_at = behind_at.filter(|at| *at > now);
                FreshnessStep::Rest(behind_at.map_or(until, |at| at.min(until)))
            }
            FreshnessStep::Check => FreshnessStep::Check,
        }
    }

    /// Asks the service, and the other entries if it does not answer soon or does not have what they know.
    async fn check(&self) {
        if self.may_ask_for_changes() && self.query_missing_changes().await {
            return;
        }
        let announced = self.context.state().fleet.newest_config();
        let progress = TransferProgress::default();
        let read = self.read_service(&progress);
        tokio::pin!(read);
        let result = match tokio::time::timeout(PEER_DELAY, read.as_mut()).await {
            Ok(result) => result,
            Err(_) => tokio::select! {
                result = read.as_mut() => result,
                () = self.query_peers_while_silent(&progress) => Err(StoreError::OutcomeUnknown {
                    message: "another entry answered sooner".to_owned(),
                }),
            },
        };
        match &result {
            // What was announced while a long answer came is read next.
            Ok(()) if self.is_older_than(announced) => self.record_older_read(),
            Ok(()) => {
                self.record_current();
                return;
            }
            Err(error) => self.record_failure(error),
        }
        self.query_peers().await;
        let now = self.context.now();
        let mut state = self.context.state();
        let state = &mut *state;
        let failures = state.freshness(self.topic).failures();
        let pause = BACKOFF.delay(failures, &mut state.rng);
        info!(
            topic:? = self.topic,
            failures = failures + 1,
            pause_ms = millis(pause),
            result:? = result;
            "failed to bring the knowledge of the key-value service up to date"
        );
        state.freshness(self.topic).record_failure(now, pause);
    }

    /// Returns whether this entry lacks what other entries had announced when it asked the service.
    fn is_older_than(&self, announced: u64) -> bool {
        match self.topic {
            Topic::Config => self.context.state().config_version() < announced,
            Topic::Targets => self.is_behind(),
        }
    }

    /// Records that the knowledge of this entry is up to date.
    fn record_current(&self) {
        let mut state = self.context.state();
        let freshness = state.freshness(self.topic);
        let failures = freshness.failures();
        freshness.record_success();
        if failures > 0 {
            info!(
                topic:? = self.topic,
                failures = failures;
                "the knowledge of the key-value service is up to date again"
            );
        }
    }

    /// Returns whether there is time to ask another entry for missing changes before the service.
    fn may_ask_for_changes(&self) -> bool {
        let now = self.context.now();
        let mut state = self.context.state();
        let time_left = state.freshness(self.topic).time_left(now);
        self.topic == Topic::Targets && time_left >= CHANGES_TIMEOUT
    }

    /// Reads all data of the topic. A watch may stand still without an error, so the changes that one reports do
    /// not suffice.
    async fn read_service(&self, progress: &TransferProgress) -> Result<(), StoreError> {
        let started = self.context.now();
        let (timeout, is_first) = {
            let mut state = self.context.state();
            let is_first = self.topic == Topic::Config && state.config.is_none();
            (state.freshness(self.topic).check_timeout(), is_first)
        };
        let read = async {
            let read = self.store.fresh_snapshot(self.prefix(), progress);
            let read = tokio::select! {
                read = read => read,
                () = self.wait_for_silence(timeout, progress) => Err(StoreError::OutcomeUnknown {
                    message: format!(
                        "no answer after {} bytes within {timeout:?}",
                        progress.bytes()
                    ),
                }),
            };
            (read, self.context.now())
        };
        let others = async {
            if !is_first {
                return RunsRead::Unknown;
            }
            // The service may have come back from an older copy, which the others know better.
            let queries =
                futures::future::join(self.restore_crash_evidence(), self.query_at_start());
            let queries = tokio::time::timeout(START_TIMEOUT, queries);
            // Another entry that does not answer must not hide what the service has answered.
            let restored = tokio::time::timeout(START_TIMEOUT, self.restore_recent_runs());
            let (queries, restored) = futures::future::join(queries, restored).await;
            if queries.is_err() || restored.is_err() {
                info!("what is asked for before the first configuration did not all come in time");
            }
            restored.unwrap_or(RunsRead::Unknown)
        };
        let ((read, ended), runs) = futures::future::join(read, others).await;
        let (items, revision) = read?;
        if runs == RunsRead::Absent {
            restore_no_runs(&self.context, revision);
        }
        self.record_success();
        if is_first {
            let restore = self.restore_rollouts(&items);
            if tokio::time::timeout(START_TIMEOUT, restore).await.is_err() {
                info!("the states of the roll-outs did not come in time");
            }
        }
        self.apply_snapshot(&items, revision);
        self.confirm(started, revision);
        let mut state = self.context.state();
        let freshness = state.freshness(self.topic);
        freshness.record_read_time(ended.since(started));
        Ok(())
    }

    /// Returns when a read has been silent for so long that it is given up.
    async fn wait_for_silence(&self, max_silence: Duration, progress: &TransferProgress) {
        let mut patience = ReadPatience::new(self.context.now(), max_silence);
        loop {
            let now = self.context.now();
            patience.record_bytes(now, progress.bytes());
            let ReadStep::Wait(until) = patience.next_step(now) else {
                return;
            };
            let pause = now.until(until).min(PROGRESS_POLL_PERIOD);
            tokio::time::sleep(pause).await;
        }
    }

    /// Reads the evidence against requests that crash targets, before the first configuration lets
    /// requests in. If that fails, requests are served all the same, and the evidence follows.
    async fn restore_crash_evidence(&self) {
        let found = match self.store.get(CRASHES_KEY).await {
            Ok(found) => found,
            Err(error) => {
                info!("failed to read the evidence of requests that crash targets: {error}");
                return;
            }
        };
        if let Some(item) = found {
            self.apply_crash_evidence("the key-value service", &item.value);
        }
    }

    /// Reads which software began the streams that callers may take up at once, before the first configuration
    /// lets requests in.
    async fn restore_recent_runs(&self) -> RunsRead {
        match self.store.get(RUNS_KEY).await {
            Ok(None) => RunsRead::Absent,
            Ok(Some(item)) => {
                match restore_runs(&self.context, &item, "before the first configuration") {
                    Ok(()) => RunsRead::Restored,
                    Err(error) => {
                        warn!("failed to decode the recent runs: {error}");
                        RunsRead::Unknown
                    }
                }
            }
            Err(error) => {
                info!("failed to read the recent runs: {error}");
                RunsRead::Unknown
            }
        }
    }

    pub(super) fn apply_crash_evidence(&self, source: &str, value: &[u8]) {
        if let Err(error) = restore_evidence(&self.context, value) {
            warn!(
                source = source;
                "failed to decode the evidence of requests that crash targets: {error}"
            );
        }
    }

    /// Logs that the service has older data than another entry, since it has come back from an older copy or does
    /// not have the newest change yet.
    fn record_older_read(&self) {
        let state = self.context.state();
        info!(
            topic:? = self.topic,
            version = state.config_version(),
            announced = state.fleet.newest_config(),
            revision = state.directory_log.newest();
            "the key-value service has older data than another entry"
        );
    }
}
