//! What time brings.

use cw_types::AttemptId;
use cw_types::Time;
use cw_wire::NotRunReason;

use super::AttemptStep;
use super::AttemptTable;
use super::End;

impl AttemptTable {
    /// Time has passed.
    pub fn on_tick(&mut self, now: Time) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        for id in self.admission.expired(now) {
            self.end(now, id, End::NotRun(NotRunReason::Expired), &mut steps);
        }
        for id in self.abandoned(now) {
            self.cancel_live(now, id, &mut steps);
        }
        self.forget_output(now);
        self.forget_attempts(now);
        steps
    }

    /// Returns the live idempotent attempts that nobody has read for the retention time.
    fn abandoned(&self, now: Time) -> Vec<AttemptId> {
        let abandoned = |id: &AttemptId| {
            self.attempts.get(id).is_some_and(|attempt| {
                let alone = now.since(attempt.alone) >= self.limits.retention;
                attempt.idempotent && attempt.readers == 0 && alone
            })
        };
        self.live.iter().copied().filter(abandoned).collect()
    }

    fn forget_output(&mut self, now: Time) {
        while let Some(&(at, id)) = self.retained.front() {
            if now.since(at) < self.limits.retention {
                break;
            }
            self.retained.pop_front();
            self.clear_output(id);
        }
    }

    fn forget_attempts(&mut self, now: Time) {
        while let Some(&(at, id)) = self.ended.front() {
            if now.since(at) < self.limits.tombstone {
                break;
            }
            self.ended.pop_front();
            self.clear_output(id);
            self.attempts.remove(&id);
        }
    }

    /// Forgets ended attempts' output, delivered and oldest first, until the rest fits.
    pub(super) fn evict(&mut self) {
        while self.kept > self.limits.kept.as_usize() {
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
