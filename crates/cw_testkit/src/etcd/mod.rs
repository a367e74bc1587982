//! A stand-in for the key-value service: the part of the etcd v3 JSON gateway that is used.

mod api;
mod etcd_faults;
mod etcd_store;
mod fake_etcd;
mod routes;

pub use etcd_faults::EtcdFaults;
pub use etcd_store::Backup;
pub use fake_etcd::FakeEtcd;
