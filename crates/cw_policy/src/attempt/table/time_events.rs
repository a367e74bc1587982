//! The expiry of attempts and of their output.

use cw_types::AttemptId;
use cw_types::Time;
use cw_wire::NotRunReason;

use super::AttemptEnd;
use super::AttemptStep;
use super::AttemptTable;

impl AttemptTable {
    /// Expires waiting attempts, unread attempts, kept output and tombstones.
    pub fn on_tick(&mut self, now: Time) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        for id in self.admission.expired(now) {
            self.end(
                now,
                id,
                AttemptEnd::NotRun(NotRunReason::Expired),
                &mut steps,
            );
        }
        for id in self.abandoned(now) {
            self.cancel_live(now, id, &mut steps);
        }
        self.expire_output(now);
        self.expire_attempts(now);
        steps
    }

    /// Returns the live idempotent attempts that had no reader for the retention time.
    fn abandoned(&self, now: Time) -> Vec<AttemptId> {
        let abandoned = |id: &AttemptId| {
            self.attempts.get(id).is_some_and(|attempt| {
                let unread = now.since(attempt.unread_since) >= self.limits.retention;
                attempt.idempotent && attempt.readers == 0 && unread
            })
        };
        self.live.iter().copied().filter(abandoned).collect()
    }

    fn expire_output(&mut self, now: Time) {
        while let Some(&(at, id)) = self.retained.front() {
            if now.since(at) < self.limits.retention {
                break;
            }
            self.retained.pop_front();
            self.clear_output(id);
        }
    }

    fn expire_attempts(&mut self, now: Time) {
        while let Some(&(at, id)) = self.ended.front() {
            if now.since(at) < self.limits.tombstone {
                break;
            }
            self.ended.pop_front();
            self.clear_output(id);
            self.attempts.remove(&id);
        }
    }

    /// Discards output of ended attempts, delivered and oldest first, until the rest fits the limit.
    pub(super) fn evict_output(&mut self) {
        while self.output_bytes > self.limits.output_bytes.as_usize() {
            let delivered = |&(_, id): &(Time, AttemptId)| {
                self.attempts
                    .get(&id)
                    .is_some_and(|attempt| attempt.delivered)
            };
            let at = self.retained.iter().position(delivered).unwrap_or(0);
            let Some((_, id)) = self.retained.remove(at) else {
                return;
            };
            self.clear_output(id);
        }
    }
}
