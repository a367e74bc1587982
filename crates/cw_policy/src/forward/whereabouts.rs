//! Which target has read which prompt.
//!
//! When an entry dies, its callers come to another one with the last event that they have. The
//! engine that ran the stream still has the prompt in its cache memory, so the stream goes on there
//! within a fraction of the time that reading the prompt anew takes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cw_types::Time;
use cw_wire::CachedPrompt;
use cw_wire::PromptHash;
use cw_wire::TargetHash;

/// Bounds on what is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WhereaboutsLimits {
    /// How long a prompt is remembered: callers come back within seconds, or not at all.
    pub life: Duration,
    /// The most prompts that are remembered.
    pub capacity: usize,
}

impl Default for WhereaboutsLimits {
    fn default() -> Self {
        Self {
            life: Duration::from_secs(30),
            capacity: 8192,
        }
    }
}

/// Which target has read which prompt, by this entry's own requests and by what others say.
#[derive(Clone, Debug, Default)]
pub struct Whereabouts {
    limits: WhereaboutsLimits,
    prompts: BTreeMap<PromptHash, (TargetHash, Time)>,
    order: VecDeque<(Time, PromptHash)>,
}

impl Whereabouts {
    /// Returns an empty memory.
    pub fn new(limits: WhereaboutsLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// A target reads a prompt.
    pub fn note(&mut self, now: Time, read: CachedPrompt) {
        self.prompts.insert(read.prompt, (read.target, now));
        self.order.push_back((now, read.prompt));
        while self.order.len() > self.limits.capacity {
            self.forget_oldest();
        }
    }

    /// Returns the target that read a prompt last.
    pub fn find(&self, now: Time, prompt: PromptHash) -> Option<TargetHash> {
        let (target, at) = self.prompts.get(&prompt)?;
        (now.since(*at) <= self.limits.life).then_some(*target)
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Time) {
        while let Some((at, _)) = self.order.front()
            && now.since(*at) > self.limits.life
        {
            self.forget_oldest();
        }
    }

    /// Returns what was noted after `since`.
    pub fn noted_since(&self, since: Time) -> Vec<CachedPrompt> {
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

    fn forget_oldest(&mut self) {
        let Some((at, prompt)) = self.order.pop_front() else {
            return;
        };
        // A prompt that was noted again stays until that note is the oldest.
        if self
            .prompts
            .get(&prompt)
            .is_some_and(|(_, newest)| *newest == at)
        {
            self.prompts.remove(&prompt);
        }
    }
}
