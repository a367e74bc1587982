//! The stored form of a claim.

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

/// The prefix of the keys of claims in the key-value service.
const KEY_PREFIX: &str = "cyclamenwharf/claims/";

/// The unique id of one write of a claim: 64 random bits.
#[data(Copy, Default, Eq, PartialOrd, Ord)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The complete response of a plain service, stored for later calls with the same idempotency key.
#[serde_as]
#[data(Eq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: BTreeMap<String, String>,
    /// The complete body, which is stored as Base64.
    #[serde_as(as = "Base64")]
    pub body: Bytes,
}

/// The state of a claimed request.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The attempt has been dispatched or is about to be.
    Open,
    /// The request has completed with this response.
    Answered(StoredAnswer),
}

/// The attempt that runs the request of an idempotency key, and its target.
#[data(Eq)]
pub struct Claim {
    /// The id of this write, by which the writer recognizes its own claim.
    pub id: ClaimId,
    /// The fingerprint of the request; a different request with the same key is refused.
    pub fingerprint: Fingerprint,
    /// The attempt that may run.
    pub attempt: AttemptId,
    /// The target that the attempt is sent to.
    pub target: TargetId,
    /// The address at which the agent of that target listens.
    pub agent: SocketAddr,
    /// The stamp of the attempt.
    pub stamp: Stamp,
    /// The version of the model, if the target is an engine.
    pub version: Option<VersionName>,
    /// The state of the request.
    pub state: ClaimState,
}

impl Claim {
    /// Returns the key under which the claim of an idempotency key is stored.
    pub fn key(workspace: &WorkspaceId, key: &str) -> String {
        // A workspace name contains no line break, so no two pairs give the same text.
        let hash = KeyHash::of(&format!("{workspace}\n{key}"));
        format!("{KEY_PREFIX}{hash}")
    }
}
