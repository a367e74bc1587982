//! How long targets take to read prompts, and to answer them.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::ServiceName;

/// The weight of the newest run in a mean.
const NEWEST: f64 = 0.1;

/// How many times the usual time a prompt may take: some targets are slower than others, and other
/// prompts may be read first.
const MARGIN: f64 = 3.0;

/// What was seen of one service's targets.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    /// The time to the first event for each token of the prompt, in seconds.
    per_token: Option<f64>,
    /// The time to the first event for each token that was to be read until then, in seconds.
    per_ahead: Option<f64>,
    /// The time from the first event to the last, in seconds.
    run: Option<f64>,
}

/// The usual times of runs by service, from what was seen.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    paces: BTreeMap<ServiceName, Pace>,
}

impl RunTimes {
    /// A prompt of so many tokens was read in this time. `ahead` are the tokens that its target had
    /// to read until then, its own among them, if nothing else held it up.
    pub fn record_prompt(
        &mut self,
        service: &ServiceName,
        tokens: u64,
        ahead: Option<u64>,
        time: Duration,
    ) {
        let pace = self.paces.entry(service.clone()).or_default();
        learn(&mut pace.per_token, time, tokens);
        if let Some(ahead) = ahead {
            learn(&mut pace.per_ahead, time, ahead);
        }
    }

    /// A whole answer took this long from its first event to its last.
    pub fn record_run(&mut self, service: &ServiceName, time: Duration) {
        let pace = self.paces.entry(service.clone()).or_default();
        learn(&mut pace.run, time, 1);
    }

    /// Returns the longest time that reading a prompt should take, if any was read before.
    pub fn max_prompt_time(&self, service: &ServiceName, tokens: u64) -> Option<Duration> {
        let pace = self.paces.get(service)?.per_token?;
        Some(Duration::from_secs_f64(pace * tokens as f64 * MARGIN))
    }

    /// Returns the usual time in which a target reads so many tokens, if any were read before.
    pub fn prompt_time(&self, service: &ServiceName, tokens: u64) -> Option<Duration> {
        let pace = self.paces.get(service)?.per_ahead?;
        Some(Duration::from_secs_f64(pace * tokens as f64))
    }

    /// Returns how many tokens a target usually reads in this time, if any were read before.
    pub fn tokens_within(&self, service: &ServiceName, time: Duration) -> Option<u64> {
        let pace = self.paces.get(service)?.per_ahead?;
        Some((time.as_secs_f64() / pace.max(f64::EPSILON)) as u64)
    }

    /// Returns how long a run usually holds its memory after its first event, if any has ended.
    pub fn run_time(&self, service: &ServiceName) -> Option<Duration> {
        let run = self.paces.get(service)?.run?;
        Some(Duration::from_secs_f64(run))
    }

    /// Forgets the services that are no more.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.paces.retain(|name, _| keep(name));
    }
}

/// Takes a time for so many parts into the mean for one part.
fn learn(mean: &mut Option<f64>, time: Duration, parts: u64) {
    if parts > 0 {
        let seen = time.as_secs_f64() / parts as f64;
        let mean = mean.get_or_insert(seen);
        *mean += NEWEST * (seen - *mean);
    }
}
