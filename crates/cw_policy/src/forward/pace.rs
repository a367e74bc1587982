//! The pace at which requests go to a target that has just started or was lost.

use std::time::Duration;

use cw_types::Time;

/// The time after which another entry joins those that choose a starting target. Entries tell each other
/// their load about as often, so it knows the choices of those before it.
const TURN: Duration = Duration::from_millis(200);

/// The number of entries that join with each answer that has begun at the target.
const ENTRIES_PER_ANSWER: u32 = 2;

/// The largest room of a starting target, in prompts. One that reads a prompt while the next one is there does
/// not wait for an entry, and more than that does not become known in time.
const MAX_ROOM: u32 = 2;

/// The time after which a target has no pace any more. By then, each entry knows the load that all others
/// have there, even if most messages were lost.
const SPAN: Duration = Duration::from_secs(2);

/// The time to the beginning of an answer, as a multiple of that of the mean target, above which a target
/// is slower than its peers. Targets of one service usually differ by less.
const SLOW_RATIO: f64 = 1.5;

/// What is known of a target since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// The target is like its peers.
    #[default]
    Found,
    /// The target has started, or has responded again, at this time.
    Starting(Time),
    /// The target was lost, and may be tried again from this time on.
    Lost(Time),
}

/// The load of a target that decides its pace.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PaceLoad {
    /// The number of entries that are nearer to the target than this one.
    pub(super) rank: usize,
    /// The requests of this entry at the target.
    pub(super) runs: u32,
    /// The requests of all entries at the target.
    pub(super) requests: u32,
    /// The prompt tokens of those whose answer has not begun.
    pub(super) unread: u64,
    /// The prompt tokens of the request to be placed.
    pub(super) prompt: u64,
}

/// The pace of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    stage: Stage,
    /// The answers to this entry's requests that have begun since then.
    answers: u32,
    /// Whether the last of them began later than at the mean target.
    is_slow: bool,
}

impl Pace {
    /// Creates the pace of a target that has just started.
    pub(super) fn starting(now: Time) -> Self {
        Self {
            stage: Stage::Starting(now),
            ..Self::default()
        }
    }

    /// Records that the target could not be reached, and may be tried again at `retry_at`.
    pub(super) fn record_loss(&mut self, retry_at: Time) {
        *self = Self {
            stage: Stage::Lost(retry_at),
            ..Self::default()
        };
    }

    /// Records a broken connection, which takes back what answers gave.
    pub(super) fn record_break(&mut self, now: Time) {
        if let Stage::Starting(_) = self.stage {
            *self = Self::starting(now);
        }
    }

    /// Records a response of the target.
    pub(super) fn record_response(&mut self, now: Time) {
        if let Stage::Lost(_) = self.stage {
            *self = Self::starting(now);
        }
    }

    /// Records that an answer has begun, after a multiple of the time of the mean target.
    pub(super) fn record_answer(&mut self, ratio: f64) {
        self.answers += 1;
        self.is_slow = ratio > SLOW_RATIO;
    }

    /// Returns whether a request of this entry fits the pace of the target.
    pub(super) fn has_room(&self, now: Time, load: PaceLoad) -> bool {
        let (since, begun) = match self.stage {
            Stage::Found => return true,
            Stage::Starting(since) if self.is_slow => (since, 0),
            Stage::Starting(since) => (since, load.begun().max(self.answers)),
            Stage::Lost(_) if load.runs > 0 => return false,
            Stage::Lost(since) => (since, 0),
        };
        let age = now.since(since);
        if age >= SPAN {
            return true;
        }
        let turns = age.as_millis() / TURN.as_millis();
        let joined = 1 + turns + u128::from(begun.saturating_mul(ENTRIES_PER_ANSWER));
        let room = load
            .prompt
            .saturating_mul(u64::from((begun + 1).min(MAX_ROOM)));
        (load.rank as u128) < joined && load.unread.saturating_add(load.prompt) <= room
    }
}

impl PaceLoad {
    /// Returns the estimated number of requests whose answer has begun. Prompts are taken to be as long as
    /// that of the request to be placed.
    fn begun(&self) -> u32 {
        let reading = self.unread.div_ceil(self.prompt.max(1));
        let reading = u32::try_from(reading).unwrap_or(u32::MAX);
        self.requests.saturating_sub(reading)
    }
}
