//! What a forwarding entry has at the targets, told to the other entries.

use cw_macro::data;
use cw_types::HostId;
use cw_types::Incarnation;

use crate::CachedPrompt;
use crate::DirectoryUpdate;
use crate::TargetHash;

/// What one entry has at one target.
#[data(Copy, Default, Eq)]
pub struct TargetShare {
    /// Requests that it has there.
    pub runs: u32,
    /// Tokens in the prompts of those whose answer has not begun.
    pub unread: u64,
    /// Copies of its runs that the target keeps.
    pub copies: u32,
    /// Cache memory that runs and copies take, in tokens.
    pub tokens: u64,
}

/// What one entry has at all targets. The newest message replaces all earlier ones.
#[data(Eq)]
pub struct OutstandingWork {
    /// The entry's host.
    pub host: HostId,
    /// The entry's life.
    pub incarnation: Incarnation,
    /// The number of the message within that life.
    pub sequence: u64,
    /// Where it has anything.
    pub shares: Vec<(TargetHash, TargetShare)>,
    /// Targets that broke off, went silent or could not be reached since the last message.
    pub lost: Vec<TargetHash>,
    /// Prompts that it has sent since the last message.
    pub prompts: Vec<CachedPrompt>,
    /// What it knows of the directory, if it watches it.
    pub directory: Option<DirectoryUpdate>,
}
