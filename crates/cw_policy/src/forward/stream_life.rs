//! How long callers may take up the streams that have begun.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::Time;

/// The shortest time for which what began a stream is remembered. Callers wait no longer for a stream if their route
/// allows less.
pub const MIN_STREAM_LIFE: Duration = Duration::from_secs(30);

/// The longest time from the beginning of a stream until its caller takes it up, over all streams that may be in progress.
///
/// It follows the longest timeout of the routes. A stream keeps the timeout of the configuration under which it began, so
/// a shorter one counts only after the streams of the longer one have ended.
#[derive(Clone, Debug, Default)]
pub struct StreamLife {
    current: Option<Duration>,
    /// The longer lives of earlier configurations, and until when streams of that life may be in progress.
    earlier: BTreeMap<Duration, Time>,
}

impl StreamLife {
    /// Records a configuration that comes into force, by the longest timeout of its routes.
    pub fn record_timeout(&mut self, now: Time, timeout: Duration) {
        let life = timeout.max(MIN_STREAM_LIFE);
        if let Some(current) = self.current.replace(life) {
            self.record_earlier(now, current);
        }
    }

    /// Records a life that streams before this moment may have, such as what entries before a restart have persisted.
    pub fn record_earlier(&mut self, now: Time, life: Duration) {
        let until = self.earlier.entry(life).or_default();
        *until = (*until).max(now + life);
        self.earlier.retain(|_, until| *until > now);
    }

    /// Returns the longest life.
    pub fn longest(&self, now: Time) -> Duration {
        let in_progress = self.earlier.iter().filter(|(_, until)| **until > now);
        let earlier = in_progress.map(|(life, _)| *life);
        earlier.chain(self.current).max().unwrap_or(MIN_STREAM_LIFE)
    }
}
