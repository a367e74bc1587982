//! The state that the handlers of the admin API share.

use std::sync::Arc;

use cw_types::HostId;
use prometheus::Registry;

use super::ChangeService;
use crate::Health;
use crate::TraceStore;

/// The state that the handlers share.
pub(in crate::control) struct AdminContext {
    pub(in crate::control) host: HostId,
    pub(in crate::control) health: Arc<Health>,
    pub(in crate::control) traces: Arc<TraceStore>,
    pub(in crate::control) registry: Registry,
    pub(in crate::control) secrets: Vec<String>,
    pub(in crate::control) changes: ChangeService,
}
