//! HTTP paths of the interfaces between processes.

/// `POST` a [`crate::Dispatch`] to an agent; the response is a stream of frames.
pub const ATTEMPTS: &str = "/peer/v1/attempts";
/// `POST` an [`crate::Attach`] to an agent; the response is a stream of frames.
pub const ATTACH: &str = "/peer/v1/attach";
/// `POST` an [`crate::Ack`] to an agent.
pub const ACK: &str = "/peer/v1/ack";
/// `POST` a [`crate::Cancel`] to an agent; the response is a [`crate::Cancelled`].
pub const CANCEL: &str = "/peer/v1/cancel";
/// `POST` an [`crate::Order`] to an agent; the response is a [`crate::OrderResponse`].
pub const ORDERS: &str = "/peer/v1/orders";
/// `POST` a [`crate::Report`] to a relay entry; the response is a [`crate::ReportResponse`].
pub const REPORTS: &str = "/peer/v1/reports";
/// `POST` a [`crate::ReportBatch`] to an entry.
pub const BATCHES: &str = "/peer/v1/batches";
/// `POST` a [`crate::ConfigRequest`] to an entry; the response is a [`crate::ConfigResponse`].
pub const CONFIG: &str = "/peer/v1/config";
/// `POST` an empty message to an entry; the response is a [`crate::ReportBatch`] with its complete
/// state.
pub const STATE: &str = "/peer/v1/state";

/// The HTTP header with the secret that the processes share.
pub const SECRET_HEADER: &str = "x-cyclamenwharf-secret";
