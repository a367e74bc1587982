//! A fake of the key-value service. It implements the part of the etcd v3 JSON gateway that the
//! system uses.

mod api;
mod etcd_faults;
mod etcd_store;
mod fake_etcd;
mod routes;

pub use etcd_faults::EtcdFaults;
pub use etcd_store::Backup;
pub use fake_etcd::FakeEtcd;
