//! The trait that parses and builds a platform's messages, and the types it converts them to.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::forward::CopyName;
use cw_policy::forward::Demand;
use cw_policy::forward::ForwardConfig;
use cw_policy::forward::Listing;
use cw_policy::forward::ReportedLoad;
use cw_policy::rollout::RolloutOrder;
use cw_types::ErrorKind;
use cw_types::Incarnation;
use cw_types::Rate;
use cw_types::ServiceName;
use cw_types::SoftwareVersion;
use cw_types::TargetId;
use cw_types::WorkspaceId;
use cw_wire::RolloutStage;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;

/// The parsed header fields of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The id of this call; each call of a caller has a different one.
    pub id: String,
    /// The `Host` of the request, without a port.
    pub host: String,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The resources that the request uses at its target.
    pub demand: Demand,
    /// The key that identifies the request's prompt.
    pub prompt_key: Option<String>,
    /// The names of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<String>,
    /// The id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// The id of the caller's attempt that brought the first event of the stream, if the caller names it.
    pub first_attempt: Option<String>,
}

/// The values that the forwarder adds to the headers of a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRequestHead<'a> {
    /// The request id.
    pub id: &'a str,
    /// The only target that may run the request.
    pub target: &'a TargetId,
    /// The caller's workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// The time until the request's deadline.
    pub remaining: Duration,
    /// The priority, for targets that support priorities; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// The version of the model weights that generated the first part of the response.
    pub weight_version: Option<u64>,
    /// The address to which the target sends a copy of the run.
    pub copy_address: Option<SocketAddr>,
    /// The copy from which the target resumes the run.
    pub resume_from: Option<&'a CopyName>,
}

/// The parsed header fields of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetResponseHead {
    /// The id of the request that it responds to.
    pub id: Option<String>,
    /// Whether the target itself produced the response by running the request.
    pub from_target: bool,
    /// Whether the target proves that it did not run the request.
    pub not_executed: bool,
    /// Whether another target now uses the address.
    pub wrong_target: bool,
    /// The target's reported load.
    pub load: Option<ReportedLoad>,
    /// The limit that the target names on the requests that it takes from all entries together.
    pub rate_limit: Option<Rate>,
    /// Whether the target says that it is leaving.
    pub leaving: bool,
    /// How long the target, which has turned the request away, wants none from this entry.
    pub rest: Option<Duration>,
    /// How long the target keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the target closes the connection.
    pub close: bool,
    /// The version of the target's model weights.
    pub weight_version: Option<u64>,
}

/// Translates between a platform's messages and the types of a forwarding entry.
///
/// A dialect makes no decisions: two dialects differ only in names and encodings.
pub trait Dialect: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails with a message that names the missing or invalid header.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, String>;

    /// Builds the headers of a request to a target from the caller's headers and `send`.
    fn target_headers(&self, caller: &HeaderMap, send: &TargetRequestHead<'_>) -> HeaderMap;

    /// Builds the request that makes a target copy the memory of its run `id` to the target at
    /// `to`.
    fn copy_request(&self, id: &str, to: SocketAddr) -> Request<Bytes>;

    /// Builds the request that makes a target release the copy `name`, which is no longer needed.
    fn drop_copy_request(&self, name: &str) -> Request<Bytes>;

    /// Parses the name of a copy from the response to a [`copy_request`](Self::copy_request).
    ///
    /// # Errors
    ///
    /// Fails with the reason why no copy was made, or why its name cannot be sent to targets.
    fn parse_copy_response(&self, status: StatusCode, body: &[u8]) -> Result<String, String>;

    /// Builds the request that asks a target what it is.
    fn identity_request(&self) -> Request<Bytes>;

    /// Parses the incarnation of a target from the response to an [`identity_request`](Self::identity_request),
    /// `None` if the target does not tell it.
    fn parse_identity(&self, body: &[u8]) -> Option<Incarnation>;

    /// Parses the headers of a target's response.
    fn parse_response(&self, head: &response::Parts) -> TargetResponseHead;

    /// Builds the headers of a response to the caller from the target's headers.
    fn caller_headers(&self, target: &HeaderMap) -> HeaderMap;

    /// Builds the status and headers of an error response that the entry itself produces.
    fn error_response(
        &self,
        kind: ErrorKind,
        retry_after: Option<Duration>,
        id: Option<&str>,
    ) -> Response<()>;

    /// Returns the key of the configuration.
    fn config_key(&self) -> &str;

    /// Returns the key prefix of all that the operator writes: the configuration, and the orders of roll-outs.
    fn operator_prefix(&self) -> &str;

    /// Returns the key prefix of the orders of roll-outs; the rest of a key is the service.
    fn rollouts_prefix(&self) -> &str;

    /// Returns the key of the status of a service's roll-out.
    fn rollout_status_key(&self, service: &ServiceName) -> String;

    /// Builds the status of a roll-out, which says why it has come so far and no further.
    fn rollout_status(&self, target: &SoftwareVersion, stage: RolloutStage, reason: &str) -> Bytes;

    /// Parses the order of a roll-out, which was written at a revision of the key-value service.
    ///
    /// # Errors
    ///
    /// Fails with a message that names the invalid part; the order then changes nothing.
    fn parse_rollout_order(
        &self,
        key: &str,
        value: &[u8],
        revision: u64,
    ) -> Result<RolloutOrder, String>;

    /// Returns the key prefix of the directory's targets; the rest of a key is the target's id.
    fn targets_prefix(&self) -> &str;

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// Fails with a message that names the invalid part.
    fn parse_config(&self, value: &[u8]) -> Result<ForwardConfig, String>;

    /// Parses the directory's listing of a target.
    ///
    /// # Errors
    ///
    /// Fails with a message that names the invalid part; the listing then describes no target.
    fn parse_listing(&self, id: &str, value: &[u8]) -> Result<Listing, String>;
}
