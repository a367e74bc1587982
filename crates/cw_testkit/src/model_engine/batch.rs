//! The continuous batching scheduler.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EngineCounters;
use super::EngineFaults;
use super::EngineTimings;
use super::job::Job;
use super::job::Progress;
use super::prefix_cache::CacheChange;
use super::prefix_cache::PrefixCache;

/// What the engine has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// No request is running or can be admitted.
    Idle,
    /// Compute for this time, then call [`Batch::finish`].
    Compute(Duration),
    /// Crash, because of an admitted prompt.
    Crash,
}

/// The order of admission: the priority, lowest number first, then the arrival number.
type QueueKey = (i64, u64);

/// The waiting and the running requests of one engine.
#[derive(Debug)]
pub(super) struct Batch {
    timings: EngineTimings,
    waiting: BTreeMap<QueueKey, Job>,
    running: Vec<Job>,
    cache: PrefixCache,
    changes: Vec<CacheChange>,
    arrivals: u64,
    step: Duration,
}

impl Batch {
    /// Returns an empty batch.
    pub(super) fn new(timings: EngineTimings) -> Self {
        Self {
            timings,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            cache: PrefixCache::default(),
            changes: Vec::new(),
            arrivals: 0,
            step: Duration::ZERO,
        }
    }

    // ---- Requests

    /// Queues a request. Returns false if the queue is full or the request exceeds the cache.
    pub(super) fn push(&mut self, job: Job, priority: i64) -> bool {
        if self.waiting.len() >= self.timings.max_queue || job.size() > self.timings.cache_tokens {
            return false;
        }
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), job);
        true
    }

    /// Cancels the request with this id, if there is one.
    pub(super) fn abort(&mut self, id: &str, counters: &mut EngineCounters) {
        self.remove(counters, |job| job.id == id);
    }

    fn remove(&mut self, counters: &mut EngineCounters, mut is_removed: impl FnMut(&Job) -> bool) {
        let waiting_before = self.waiting.len();
        self.waiting.retain(|_, job| !is_removed(job));
        counters.cancelled += (waiting_before - self.waiting.len()) as u64;
        let removed: Vec<Job> = self.running.extract_if(.., |job| is_removed(job)).collect();
        counters.cancelled += removed.len() as u64;
        for job in removed {
            self.finish_job(job, counters);
        }
    }

    // ---- Steps

    /// Starts a step: drops cancelled requests, admits waiting ones and returns what to do next.
    pub(super) fn begin(&mut self, counters: &mut EngineCounters) -> Step {
        self.remove(counters, Job::is_cancelled);
        let mut prefill = 0;
        while let Some(job) = self.pop_admissible() {
            if job.poison {
                counters.crashes += 1;
                counters.count_run(&job.id, 0, 0);
                self.running.push(job);
                return Step::Crash;
            }
            prefill += self.admit(job, counters);
        }
        if self.running.is_empty() {
            return Step::Idle;
        }
        let sequences = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let decode = self.timings.step + self.timings.per_sequence * sequences;
        self.step = decode + self.timings.per_token * u32::try_from(prefill).unwrap_or(u32::MAX);
        Step::Compute(self.step)
    }

    /// Finishes a step, in which each running request generates a token.
    pub(super) fn finish(&mut self, faults: &EngineFaults, counters: &mut EngineCounters) {
        if faults.stalled {
            return;
        }
        let last = self.running.len().saturating_sub(1);
        let mut finished = Vec::new();
        for (index, mut job) in std::mem::take(&mut self.running).into_iter().enumerate() {
            let stalled = faults
                .stall_after
                .is_some_and(|count| job.generated >= count);
            let progress = match stalled || faults.reversed && index < last {
                true => Progress::Blocked,
                false => job.advance(),
            };
            match progress {
                Progress::Finished => finished.push(job),
                Progress::Running | Progress::Blocked => self.running.push(job),
            }
        }
        for job in finished {
            self.finish_job(job, counters);
        }
    }

    fn pop_admissible(&mut self) -> Option<Job> {
        let (key, job) = self.waiting.first_key_value()?;
        let has_slot = self.running.len() < self.timings.max_batch;
        let fits = self.running_tokens() + job.size() <= self.timings.cache_tokens;
        let key = *key;
        (has_slot && fits)
            .then(|| self.waiting.remove(&key))
            .flatten()
    }

    fn admit(&mut self, job: Job, counters: &mut EngineCounters) -> u64 {
        let total = job.tokens.len() as u64;
        // The last token is always computed, because its output is the next token.
        let cached = self.cache.lookup(&job.tokens).min(total.saturating_sub(1));
        counters.count_run(&job.id, total - cached, cached);
        let resumed = (job.tokens.len() - job.prompt_len) as u64;
        let expected = job.source.ids(resumed);
        if job.tokens[job.prompt_len..] != expected {
            counters.output_mismatches += 1;
        }
        self.store_in_cache(&job);
        job.send_usage(cached);
        self.running.push(job);
        total - cached
    }

    fn finish_job(&mut self, job: Job, counters: &mut EngineCounters) {
        counters.count_output(&job.id, job.generated);
        self.store_in_cache(&job);
    }

    fn store_in_cache(&mut self, job: &Job) {
        let room = self
            .timings
            .cache_tokens
            .saturating_sub(self.running_tokens());
        let changes = self.cache.store(&job.tokens, room);
        self.changes.extend(changes);
    }

    // ---- State

    /// Counts the output of all running requests and drops them, when the engine stops.
    pub(super) fn count_unfinished(&mut self, counters: &mut EngineCounters) {
        for job in self.running.drain(..) {
            counters.count_output(&job.id, job.generated);
        }
    }

    /// Returns the changes of the prefix cache since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of running requests.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of prompt tokens of all waiting requests.
    pub(super) fn waiting_prompt_tokens(&self) -> u64 {
        self.waiting
            .values()
            .map(|job| job.tokens.len() as u64)
            .sum()
    }

    /// Returns the number of tokens in the cache, including those of running requests.
    pub(super) fn cached_tokens(&self) -> u64 {
        (self.running_tokens() + self.cache.tokens()).min(self.timings.cache_tokens)
    }

    /// Returns the duration of the latest step.
    pub(super) fn step(&self) -> Duration {
        self.step
    }

    fn running_tokens(&self) -> u64 {
        self.running.iter().map(Job::size).sum()
    }
}
