//! What the platform does with a process that uses more memory than it has.

use std::fmt;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::world::Entries;
use crate::world::Record;

/// The memory that the platform leaves to a process of an entry (`memoryMb`).
const MEMORY_MB: u64 = 110;

/// The delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(1000);

/// The requests from kept connections that a machine may leave without an answer.
pub const MAX_LOST: usize = 3;

/// Ends a process that uses more memory than it has, and starts it again.
pub struct Platform {
    record: Record,
    entries: Entries,
    /// The most memory that each entry has used, in megabytes.
    most: Vec<u64>,
    kills: usize,
    /// When each entry that was ended starts again.
    restarts: Vec<Option<Instant>>,
}

impl Platform {
    pub fn new(record: &Record, entries: &Entries) -> Self {
        let count = entries.addresses.len();
        Self {
            record: record.clone(),
            entries: entries.clone(),
            most: vec![0; count],
            kills: 0,
            restarts: vec![None; count],
        }
    }

    /// Watches the entries for this long.
    pub fn watch(&mut self, time: Duration) -> Result<(), String> {
        let start = Instant::now();
        while start.elapsed() < time || self.restarts.iter().any(Option::is_some) {
            for number in 0..self.most.len() {
                self.watch_entry(number)?;
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn watch_entry(&mut self, number: usize) -> Result<(), String> {
        if let Some(at) = self.restarts[number] {
            if Instant::now() >= at {
                self.restarts[number] = None;
                self.entries.spawn(&self.record, number);
            }
            return Ok(());
        }
        if self.entries.has_ended(number) {
            return Err(format!("entry {number} has ended by itself"));
        }
        let memory = self.entries.memory_mb(number);
        self.most[number] = self.most[number].max(memory);
        if memory > MEMORY_MB {
            self.kills += 1;
            let text = format!("memory   entry {number} uses {memory} MB of {MEMORY_MB} and is killed");
            self.record.line(&text);
            self.entries.signal(&self.record, number, "KILL");
            self.restarts[number] = Some(Instant::now() + RESTART_DELAY);
        }
        Ok(())
    }
}

impl fmt::Display for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { most, kills, .. } = self;
        write!(
            f,
            "the entries used at most {most:?} MB of {MEMORY_MB} and were killed for it {kills} times"
        )
    }
}
