//! Traits for the platform's services, and their clients.
//!
//! - [`KeyValueStore`]: compare-and-swap, leases and watches.
//! - [`HostList`]: which hosts are live and which are shutting down.
//! - [`WeightStore`]: how large model weights are and how fast they can be read.
//! - [`Dialect`]: the messages of callers, targets and the directory to a forwarding entry.
//!
//! What comes from elsewhere may have no end. [`BodyBuffer`] reads each body that is collected, up to a limit of its
//! own, and [`BodyMemory`] limits what all of them take together. [`check_final_status`] tells answers from what is
//! none.
//!
//! Each service is a trait, so that a deployment with other services only adds implementations.
//! [`EtcdGateway`], [`HttpHostList`] and [`HttpWeightStore`] are the clients in this crate.

mod body_buffer;
mod body_memory;
mod dialect;
mod etcd;
mod final_status;
mod host_list;
mod http_client;
mod http_host_list;
mod http_weight_store;
mod key_value_store;
mod transfer_progress;
mod weight_store;

pub use body_buffer::BodyBuffer;
pub use body_buffer::BodyError;
pub use body_memory::BodyMemory;
pub use body_memory::HeldMemory;
pub use body_memory::OutOfMemory;
pub use cw_types::StoreRevision;
pub use dialect::Dialect;
pub use dialect::RequestHead;
pub use dialect::TargetRequestHead;
pub use dialect::TargetResponseHead;
pub use etcd::EtcdGateway;
pub use final_status::NoFinalStatus;
pub use final_status::check_final_status;
pub use host_list::Host;
pub use host_list::HostList;
pub use host_list::HostRole;
pub use host_list::HostState;
pub use http_client::HttpClient;
pub use http_client::HttpResponse;
pub use http_client::parse_json;
pub use http_host_list::HttpHostList;
pub use http_weight_store::HttpWeightStore;
pub use key_value_store::KeyValueStore;
pub use key_value_store::LeaseId;
pub use key_value_store::StoreError;
pub use key_value_store::Swap;
pub use key_value_store::Versioned;
pub use key_value_store::WatchEvent;
pub use transfer_progress::TransferProgress;
pub use weight_store::WeightInfo;
pub use weight_store::WeightStore;
