//! Paths of the interfaces between processes.

/// `POST` of a [`crate::Dispatch`] to an agent; answered by frames.
pub const ATTEMPTS: &str = "/peer/v1/attempts";
/// `POST` of an [`crate::Attach`] to an agent; answered by frames.
pub const ATTACH: &str = "/peer/v1/attach";
/// `POST` of an [`crate::Ack`] to an agent.
pub const ACK: &str = "/peer/v1/ack";
/// `POST` of a [`crate::Cancel`] to an agent; answered by [`crate::Cancelled`].
pub const CANCEL: &str = "/peer/v1/cancel";
/// `POST` of an [`crate::Order`] to an agent; answered by [`crate::OrderResponse`].
pub const ORDERS: &str = "/peer/v1/orders";
/// `POST` of a [`crate::Report`] to an entry that relays; answered by [`crate::ReportResponse`].
pub const REPORTS: &str = "/peer/v1/reports";
/// `POST` of a [`crate::ReportBatch`] to an entry.
pub const BATCHES: &str = "/peer/v1/batches";
/// `POST` of a [`crate::ConfigRequest`] to an entry; answered by [`crate::ConfigResponse`].
pub const CONFIG: &str = "/peer/v1/config";
/// `POST` of nothing to an entry; answered by a [`crate::ReportBatch`] of all that it knows.
pub const STATE: &str = "/peer/v1/state";

/// The header that carries the secret shared by the processes.
pub const SECRET_HEADER: &str = "x-cyclamenwharf-secret";
