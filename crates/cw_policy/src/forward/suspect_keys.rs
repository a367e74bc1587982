//! What a request has in common with other attempts and other requests that may crash targets.

use std::sync::Arc;

use cw_wire::Fingerprint;
use cw_wire::PartHash;
use cw_wire::Suspect;

/// The maximum number of parts of a prompt that are told apart. Prompts of the known deployments have up to
/// four.
const MAX_PARTS: usize = 16;

/// What a request has in common with other attempts and other requests: itself, and the parts of its prompt that
/// others share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectKeys(Arc<[Suspect]>);

impl SuspectKeys {
    /// Creates the keys of a request whose prompt shares these parts with others.
    pub fn new(request: Fingerprint, parts: impl IntoIterator<Item = PartHash>) -> Self {
        let parts = parts.into_iter().take(MAX_PARTS).map(Suspect::Part);
        Self(
            [Suspect::Request(request)]
                .into_iter()
                .chain(parts)
                .collect(),
        )
    }

    /// Returns all of them, the request itself first.
    pub fn iter(&self) -> impl Iterator<Item = Suspect> {
        self.0.iter().copied()
    }

    /// Returns whether a suspect is one of them.
    pub fn contains(&self, suspect: &Suspect) -> bool {
        self.0.contains(suspect)
    }
}

impl From<Fingerprint> for SuspectKeys {
    fn from(request: Fingerprint) -> Self {
        Self::new(request, [])
    }
}
