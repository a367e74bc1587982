//! The platform's services behind traits.
//!
//! - [`KeyValueStore`]: compare-and-swap, leases and watches.
//! - [`HostList`]: which hosts are live and which are leaving.
//! - [`WeightStore`]: how fast model weights may be read.
//!
//! - [`Dialect`]: what callers, targets and the directory say to a forwarding entry.
//!
//! Each is one trait, so that another deployment's service is one more implementation.
//! [`EtcdGateway`], [`HttpHostList`] and [`HttpWeightStore`] are those of today's platform.

mod dialect;
mod etcd;
mod host_list;
mod http_client;
mod http_host_list;
mod http_weight_store;
mod key_value;
mod weight_store;

pub use dialect::Dialect;
pub use dialect::RequestHead;
pub use dialect::TargetRequestHead;
pub use dialect::TargetResponseHead;
pub use etcd::EtcdGateway;
pub use host_list::Host;
pub use host_list::HostList;
pub use host_list::HostRole;
pub use host_list::HostState;
pub use http_client::HttpClient;
pub use http_client::HttpResponse;
pub use http_client::parse_json;
pub use http_host_list::HttpHostList;
pub use http_weight_store::HttpWeightStore;
pub use key_value::KeyValueStore;
pub use key_value::LeaseId;
pub use key_value::ModRevision;
pub use key_value::StoreError;
pub use key_value::Swap;
pub use key_value::Versioned;
pub use key_value::WatchEvent;
pub use weight_store::WeightInfo;
pub use weight_store::WeightStore;
