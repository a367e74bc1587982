//! What a claim says.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use cw_macro::data;
use cw_types::AttemptId;
use cw_types::KeyHash;
use cw_types::TargetId;
use cw_types::VersionName;
use cw_types::WorkspaceId;
use cw_wire::Fingerprint;
use cw_wire::Stamp;
use serde_with::base64::Base64;
use serde_with::serde_as;

/// The prefix of the keys of claims.
const PREFIX: &str = "cyclamenwharf/claims/";

/// One write of a claim, unique for all time: 64 random bits.
#[data(Copy, Default, Eq, PartialOrd, Ord)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The whole answer of a plain service, kept for later calls with the same key.
#[serde_as]
#[data(Eq)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: BTreeMap<String, String>,
    /// The body.
    #[serde_as(as = "Base64")]
    pub body: Bytes,
}

/// What is known of a claimed request.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Its attempt was, or was about to be, dispatched.
    Open,
    /// It was run to its end.
    Answered(KeptAnswer),
}

/// Who runs the request of an idempotency key, and where.
#[data(Eq)]
pub struct Claim {
    /// This write of it, by which its writer knows it again.
    pub id: ClaimId,
    /// What the request asks: another request with the same key is refused.
    pub fingerprint: Fingerprint,
    /// The attempt that may run.
    pub attempt: AttemptId,
    /// The target it is for.
    pub target: TargetId,
    /// Where the agent of that target listens.
    pub agent: SocketAddr,
    /// The stamp of the attempt.
    pub stamp: Stamp,
    /// The version of the model, for an engine.
    pub version: Option<VersionName>,
    /// What is known.
    pub state: ClaimState,
}

impl Claim {
    /// Returns the key under which the claim of an idempotency key is kept.
    pub fn key(workspace: &WorkspaceId, key: &str) -> String {
        // A name has no line break, so no two pairs give the same text.
        let hash = KeyHash::of(&format!("{workspace}\n{key}"));
        format!("{PREFIX}{hash}")
    }
}
