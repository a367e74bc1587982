//! A stand-in for the key-value service: the part of the etcd v3 JSON gateway that is used.

mod api;
mod faults;
mod key_value;
mod routes;
mod tree;

pub use faults::StoreFaults;
pub use key_value::KeyValue;
pub use tree::Backup;
