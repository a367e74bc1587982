//! The work that a forwarding entry has at the targets, as announced to the other entries.

use std::time::Duration;

use cw_macro::data;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Rate;
use cw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;

use crate::CachedPrompt;
use crate::CrashNews;
use crate::DirectoryUpdate;
use crate::LimitNotice;
use crate::RolloutNotice;
use crate::StreamOrigin;
use crate::TargetHash;

/// The work that one entry has at one target.
///
/// It is encoded without the names of its fields, which are longer than the values. Entries of an
/// earlier version encode them, and decode either.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct TargetShare {
    /// Requests in progress.
    pub runs: u32,
    /// Prompt tokens of the requests whose answer has not started.
    pub unread: u64,
    /// Copies of the entry's runs that the target holds.
    pub copies: u32,
    /// Cache memory that the runs and copies occupy, in tokens.
    pub tokens: u64,
}

impl Serialize for TargetShare {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.runs, self.unread, self.copies, self.tokens).serialize(serializer)
    }
}

/// The work that one entry has at all targets. Each message replaces all earlier ones.
#[data]
pub struct OutstandingWork {
    /// The host of the entry.
    pub host: HostId,
    /// The incarnation of the entry.
    pub incarnation: Incarnation,
    /// The sequence number of the message within the incarnation.
    pub sequence: u64,
    /// The work at each target where there is any.
    pub shares: Vec<(TargetHash, TargetShare)>,
    /// Targets that closed the connection, timed out or were unreachable since the last message.
    pub lost: Vec<TargetHash>,
    /// Prompts that the entry has sent since the last message.
    pub prompts: Vec<CachedPrompt>,
    /// The time on the clock of the entry, from an origin of its own. Two messages show by it whether one of them
    /// was held up. Entries of an earlier version do not send it.
    #[serde(default)]
    pub clock: Option<Duration>,
    /// The version of the configuration in force at the entry, 0 for none. Entries of an earlier version tell it
    /// in `directory` only.
    #[serde(default)]
    pub config: u64,
    /// The streams that the entry has begun or taken up since the last message, with the software that began them.
    /// Entries of an earlier version do not send them.
    #[serde(default)]
    pub origins: Vec<StreamOrigin>,
    /// The directory changes, if the entry watches the directory.
    pub directory: Option<DirectoryUpdate>,
    /// Requests that may crash targets. Entries of an earlier version do not send it.
    #[serde(default)]
    pub crashes: CrashNews,
    /// What targets have reported of their limits. Entries of an earlier version do not send it.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
    /// The rate of requests for each service, `None` from entries of an earlier version.
    #[serde(default)]
    pub demands: Option<Vec<(ServiceName, Rate)>>,
    /// The roll-outs in progress, empty without an order. Entries of an earlier version do not send them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutNotice>,
}
