//! The key-value service as etcd's version 3 JSON gateway publishes it.

mod gateway;
mod json;
mod watch;

pub use gateway::EtcdGateway;
