//! Records which target has read which prompt.
//!
//! When an entry crashes, its callers reconnect to another one with the id of their last event. The
//! engine that ran the stream still has the prompt in its cache memory, so the stream resumes there
//! within a fraction of the time that reading the prompt again takes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cw_types::Time;
use cw_wire::CachedPrompt;
use cw_wire::PromptHash;
use cw_wire::TargetHash;

/// Limits on the recorded prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptLocationLimits {
    /// How long a prompt is kept. Callers reconnect within seconds or not at all.
    pub ttl: Duration,
    /// The maximum number of records.
    pub capacity: usize,
}

impl Default for PromptLocationLimits {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(30),
            capacity: 8192,
        }
    }
}

/// The last target that read each prompt, from this entry's own requests or those of other entries.
#[derive(Clone, Debug, Default)]
pub struct PromptLocations {
    limits: PromptLocationLimits,
    prompts: BTreeMap<PromptHash, (TargetHash, Time)>,
    order: VecDeque<(Time, PromptHash)>,
}

impl PromptLocations {
    /// Creates an empty record.
    pub fn new(limits: PromptLocationLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Records that a target reads a prompt.
    pub fn record(&mut self, now: Time, read: CachedPrompt) {
        self.prompts.insert(read.prompt, (read.target, now));
        self.order.push_back((now, read.prompt));
        while self.order.len() > self.limits.capacity {
            self.evict_oldest();
        }
    }

    /// Returns the last target that read a prompt, unless the record has expired.
    pub fn find(&self, now: Time, prompt: PromptHash) -> Option<TargetHash> {
        let (target, at) = self.prompts.get(&prompt)?;
        (now.since(*at) <= self.limits.ttl).then_some(*target)
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Time) {
        while let Some((at, _)) = self.order.front()
            && now.since(*at) > self.limits.ttl
        {
            self.evict_oldest();
        }
    }

    /// Returns the prompts recorded after `since`, newest first.
    pub fn recorded_since(&self, since: Time) -> Vec<CachedPrompt> {
        self.order
            .iter()
            .rev()
            .take_while(|(at, _)| *at > since)
            .filter_map(|(at, prompt)| {
                let (target, newest) = self.prompts.get(prompt)?;
                (newest == at).then_some(CachedPrompt {
                    prompt: *prompt,
                    target: *target,
                })
            })
            .collect()
    }

    fn evict_oldest(&mut self) {
        let Some((at, prompt)) = self.order.pop_front() else {
            return;
        };
        // A prompt that was recorded again stays until its newest record is the oldest.
        if self
            .prompts
            .get(&prompt)
            .is_some_and(|(_, newest)| *newest == at)
        {
            self.prompts.remove(&prompt);
        }
    }
}
