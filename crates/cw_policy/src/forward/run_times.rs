//! Estimates how long targets take to read prompts and to generate answers.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::ServiceName;

/// The weight of the newest sample in an exponential moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// The maximum time for reading a prompt, as a multiple of the mean. Some targets are slower than
/// others, and other prompts may be read first.
const MAX_FACTOR: f64 = 3.0;

/// The mean times of one service's targets.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTimes {
    /// The time to the first event per token of the prompt, in seconds.
    per_token: Option<f64>,
    /// The time to the first event per token that the target had queued to read, in seconds.
    per_queued: Option<f64>,
    /// The time from the first event to the last, in seconds.
    run: Option<f64>,
    /// The number of events.
    events: Option<f64>,
}

/// The mean times of runs by service, measured on this entry's own requests.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    services: BTreeMap<ServiceName, ServiceTimes>,
}

impl RunTimes {
    /// Records that a prompt of `tokens` tokens was read in `time`.
    ///
    /// `ahead` is the number of tokens that the target had queued to read, including this prompt.
    /// It is `None` if anything but reading delayed the run.
    pub fn record_prompt(
        &mut self,
        service: &ServiceName,
        tokens: u64,
        ahead: Option<u64>,
        time: Duration,
    ) {
        let times = self.services.entry(service.clone()).or_default();
        update_mean(&mut times.per_token, time, tokens);
        if let Some(ahead) = ahead {
            update_mean(&mut times.per_queued, time, ahead);
        }
    }

    /// Records the time of a complete answer from its first event to its last, and the number of its events.
    pub fn record_run(&mut self, service: &ServiceName, time: Duration, events: u64) {
        let times = self.services.entry(service.clone()).or_default();
        update_mean(&mut times.run, time, 1);
        let mean = times.events.get_or_insert(events as f64);
        *mean += NEWEST_WEIGHT * (events as f64 - *mean);
    }

    /// Returns the maximum expected time for reading a prompt, `None` before the first sample.
    pub fn max_prompt_time(&self, service: &ServiceName, tokens: u64) -> Option<Duration> {
        let per_token = self.services.get(service)?.per_token?;
        Some(Duration::from_secs_f64(
            per_token * tokens as f64 * MAX_FACTOR,
        ))
    }

    /// Returns the mean time in which a target reads `tokens` tokens, `None` before the first
    /// sample.
    pub fn prompt_time(&self, service: &ServiceName, tokens: u64) -> Option<Duration> {
        let per_queued = self.services.get(service)?.per_queued?;
        Some(Duration::from_secs_f64(per_queued * tokens as f64))
    }

    /// Returns how many tokens a target reads in `time` on average, `None` before the first sample.
    pub fn tokens_within(&self, service: &ServiceName, time: Duration) -> Option<u64> {
        let per_queued = self.services.get(service)?.per_queued?;
        Some((time.as_secs_f64() / per_queued.max(f64::EPSILON)) as u64)
    }

    /// Returns how long a run holds its memory after its first event on average, `None` before the
    /// first sample.
    pub fn run_time(&self, service: &ServiceName) -> Option<Duration> {
        let run = self.services.get(service)?.run?;
        Some(Duration::from_secs_f64(run))
    }

    /// Returns how long the rest of a run takes on average that has sent `events` events, zero before the first sample.
    pub fn rest_time(&self, service: &ServiceName, events: u64) -> Duration {
        let times = self.services.get(service).copied().unwrap_or_default();
        let (Some(run), Some(mean)) = (times.run, times.events) else {
            return Duration::ZERO;
        };
        let rest = (1.0 - events as f64 / mean.max(1.0)).max(0.0);
        Duration::from_secs_f64(run * rest)
    }

    /// Drops the times of the services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| keep(name));
    }
}

/// Updates the mean time per part with a sample of `time` for `parts` parts.
fn update_mean(mean: &mut Option<f64>, time: Duration, parts: u64) {
    if parts > 0 {
        let sample = time.as_secs_f64() / parts as f64;
        let mean = mean.get_or_insert(sample);
        *mean += NEWEST_WEIGHT * (sample - *mean);
    }
}
