//! How long targets take to read prompts.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::ServiceName;

/// The weight of the newest prompt in the mean.
const NEWEST: f64 = 0.1;

/// How many times the usual time a prompt may take: some targets are slower than others, and other
/// prompts may be read first.
const MARGIN: f64 = 3.0;

/// The usual time to read one token of a prompt, by service, from what was seen.
#[derive(Clone, Debug, Default)]
pub struct PromptPace {
    /// In seconds.
    per_token: BTreeMap<ServiceName, f64>,
}

impl PromptPace {
    /// A prompt of so many tokens was read in this time.
    pub fn read(&mut self, service: &ServiceName, tokens: u64, time: Duration) {
        if tokens == 0 {
            return;
        }
        let seen = time.as_secs_f64() / tokens as f64;
        let pace = self.per_token.entry(service.clone()).or_insert(seen);
        *pace += NEWEST * (seen - *pace);
    }

    /// Returns the longest time that reading a prompt should take, if any was read before.
    pub fn most(&self, service: &ServiceName, tokens: u64) -> Option<Duration> {
        let pace = self.per_token.get(service)?;
        Some(Duration::from_secs_f64(pace * tokens as f64 * MARGIN))
    }

    /// Forgets the services that are no more.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.per_token.retain(|name, _| keep(name));
    }
}
