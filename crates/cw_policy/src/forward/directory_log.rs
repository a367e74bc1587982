//! How a few entries follow the directory for all.
//!
//! Each call to the key-value service is charged and its rate is bounded, so only some entries watch
//! it and tell the others. Datagrams may be lost: changes are told more than once, each with the
//! revision of the one before it, and an entry that finds one missing reads the directory itself.

use std::collections::VecDeque;
use std::time::Duration;

use cw_types::Time;
use cw_wire::DirectoryChange;
use cw_wire::DirectoryUpdate;

use super::Fleet;

/// How long a change is told: some messages in a row.
const TOLD: Duration = Duration::from_millis(900);

/// The most changes that are told at once; who misses some reads the directory.
const CHANGES_MAX: usize = 128;

/// What an entry does with news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NewsStep {
    /// Nothing is new.
    Nothing,
    /// These changes follow on what it knows.
    Apply(Vec<DirectoryChange>),
    /// Changes are missing: the directory must be read.
    Reread,
}

/// What an entry knows of the directory's changes.
#[derive(Clone, Debug, Default)]
pub struct DirectoryLog {
    newest: i64,
    recent: VecDeque<(Time, DirectoryChange)>,
    behind: bool,
}

impl DirectoryLog {
    /// The directory was read as a whole at this revision.
    pub fn read(&mut self, revision: i64) {
        if revision > self.newest {
            self.newest = revision;
            // What led there was not seen one by one.
            self.recent.clear();
        }
        self.behind = false;
    }

    /// A watch saw a change.
    pub fn saw(&mut self, now: Time, key: &str, value: Option<bytes::Bytes>, revision: i64) {
        let last = self.recent.back().map(|(_, change)| change);
        // One change of the service may touch several keys.
        let previous = match last {
            Some(last) if last.revision == revision => last.previous,
            _ if revision <= self.newest => return,
            _ => self.newest,
        };
        let change = DirectoryChange {
            previous,
            revision,
            key: key.to_owned(),
            value,
        };
        self.newest = revision;
        self.recent.push_back((now, change));
        while self.recent.len() > CHANGES_MAX {
            self.recent.pop_front();
        }
    }

    /// Returns what to tell the others.
    pub fn news(&mut self, now: Time, fleet: &Fleet, config: u64) -> DirectoryUpdate {
        while let Some((at, _)) = self.recent.front()
            && now.since(*at) > TOLD
        {
            self.recent.pop_front();
        }
        DirectoryUpdate {
            up: fleet.is_directory_up(),
            trusted: fleet.is_trusted(now),
            config,
            newest: self.newest,
            changes: self
                .recent
                .iter()
                .map(|(_, change)| change.clone())
                .collect(),
        }
    }

    /// Another entry tells news.
    pub fn hear(&mut self, news: &DirectoryUpdate) -> NewsStep {
        if news.newest <= self.newest {
            return NewsStep::Nothing;
        }
        let fresh: Vec<DirectoryChange> = news
            .changes
            .iter()
            .filter(|change| change.revision > self.newest)
            .cloned()
            .collect();
        let follows = fresh
            .first()
            .is_some_and(|change| change.previous <= self.newest);
        let ends = fresh
            .last()
            .is_some_and(|change| change.revision == news.newest);
        if !follows || !ends {
            self.behind = true;
            return NewsStep::Reread;
        }
        self.newest = news.newest;
        NewsStep::Apply(fresh)
    }

    /// Returns the revision of the last change that is known.
    pub fn newest(&self) -> i64 {
        self.newest
    }

    /// Returns whether changes are missing.
    pub fn is_behind(&self) -> bool {
        self.behind
    }
}
