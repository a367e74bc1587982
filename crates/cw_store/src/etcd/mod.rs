//! A client for the JSON gateway of etcd's version 3 API.

mod gateway;
mod json;
mod watch_reader;

pub use gateway::EtcdGateway;
