//! What callers, targets and the directory say, in the product's own terms.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::CopyName;
use cw_policy::forward::Demand;
use cw_policy::forward::ForwardConfig;
use cw_policy::forward::Listing;
use cw_policy::forward::ReportedLoad;
use cw_types::ErrorKind;
use cw_types::TargetId;
use cw_types::WorkspaceId;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;

/// What a caller says of its request, beside method, path and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The id of this call; the caller's next one has another.
    pub id: String,
    /// The host that the caller names, without a port.
    pub host: String,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// What the request takes up at its target.
    pub demand: Demand,
    /// What tells the request's prompt from others.
    pub prompt_key: Option<String>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What goes with a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRequestHead<'a> {
    /// The id of the call.
    pub id: &'a str,
    /// The target that is to run it, and no other.
    pub target: &'a TargetId,
    /// The workspace of the caller.
    pub workspace: Option<&'a WorkspaceId>,
    /// The time that is left.
    pub remaining: Duration,
    /// Its rank, for targets that know ranks; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The version of the weights that began the answer.
    pub weight_version: Option<u64>,
    /// Where the target sends a copy of the run.
    pub copy_address: Option<SocketAddr>,
    /// The copy that the target goes on from.
    pub resume_from: Option<&'a CopyName>,
}

/// What a target says of its answer, beside status and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetResponseHead {
    /// The id of the call that it answers.
    pub id: Option<String>,
    /// Whether it is the target's own answer to a request that ran.
    pub from_target: bool,
    /// Whether the target proves that it did not run the request.
    pub not_executed: bool,
    /// Whether another target has the address.
    pub wrong_target: bool,
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// How long the target keeps an idle connection.
    pub idle_timeout: Option<Duration>,
    /// Whether the target closes the connection.
    pub close: bool,
    /// The version of its weights.
    pub weight_version: Option<u64>,
}

/// Translates between a platform's messages and the types of a forwarding entry.
///
/// It decides nothing: two dialects differ in names and encodings only.
pub trait Dialect: Send + Sync {
    /// Reads what a caller says of its request.
    ///
    /// # Errors
    ///
    /// Says what is missing, or no value of its kind.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, String>;

    /// Returns the headers of a request as a target gets it.
    fn target_headers(&self, caller: &HeaderMap, send: &TargetRequestHead<'_>) -> HeaderMap;

    /// Returns the call that asks a target to copy the memory of its run `id` to another one.
    fn copy_request(&self, id: &str, to: SocketAddr) -> Request<Bytes>;

    /// Returns the call that tells a target that a copy it had made is of no more use.
    fn drop_copy_request(&self, name: &str) -> Request<Bytes>;

    /// Reads the name of a copy from the answer to such a call.
    ///
    /// # Errors
    ///
    /// Says why there is no copy, or none that can be named to targets.
    fn parse_copy_response(&self, status: StatusCode, body: &[u8]) -> Result<String, String>;

    /// Reads what a target says of its answer.
    fn parse_response(&self, head: &response::Parts) -> TargetResponseHead;

    /// Returns the headers of an answer as the caller gets it.
    fn caller_headers(&self, target: &HeaderMap) -> HeaderMap;

    /// Returns the head of an answer of the entry's own.
    fn error_response(
        &self,
        kind: ErrorKind,
        retry_after: Option<Duration>,
        id: Option<&str>,
    ) -> Response<()>;

    /// The key of the configuration.
    fn config_key(&self) -> &str;

    /// What the keys of targets begin with; the rest is the target's id.
    fn targets_prefix(&self) -> &str;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Says what cannot be read.
    fn parse_config(&self, value: &[u8]) -> Result<ForwardConfig, String>;

    /// Reads the directory's entry of a target.
    ///
    /// # Errors
    ///
    /// Says what cannot be read; such an entry names no target.
    fn parse_listing(&self, id: &str, value: &[u8]) -> Result<Listing, String>;
}
