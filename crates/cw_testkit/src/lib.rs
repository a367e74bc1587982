//! Stand-ins for what surrounds the system, a whole deployment on loopback, and experiments.
//!
//! - [`Engine`], [`PlainService`], [`KeyValue`], [`HostList`] and [`WeightStore`] are small
//!   stand-ins with faults to switch on.
//! - [`Rig`] runs them with entries and agents in one process.
//! - [`Forwarder`] stands between two processes and loses track of connections.
//! - [`Caller`] asks for generations and reads their streams.
//! - [`experiment`] measures a deployment.

mod caller;
mod deployment;
mod etcd;
pub mod experiment;
mod forwarder;
mod host_list;
mod model_engine;
mod plain_service;
mod server;
mod weight_store;

pub use caller::Answer;
pub use caller::Arrival;
pub use caller::Ask;
pub use caller::CallError;
pub use caller::Caller;
pub use caller::Event;
pub use caller::Reading;
pub use caller::Reply;
pub use deployment::EntryNode;
pub use deployment::MODEL;
pub use deployment::ROUTE_LATENCY;
pub use deployment::ROUTE_THRIFT;
pub use deployment::Rig;
pub use deployment::RigError;
pub use deployment::RigSpec;
pub use deployment::SERVICE;
pub use deployment::SERVICE_ONCE;
pub use deployment::TargetNode;
pub use deployment::VERSION;
pub use deployment::api_key;
pub use deployment::write_settings;
pub use etcd::Backup;
pub use etcd::KeyValue;
pub use etcd::StoreFaults;
pub use forwarder::Forwarder;
pub use host_list::HostList;
pub use model_engine::Engine;
pub use model_engine::EngineCounters;
pub use model_engine::EngineFaults;
pub use model_engine::EngineSpec;
pub use model_engine::EngineTimings;
pub use model_engine::POISON;
pub use model_engine::RequestCounters;
pub use model_engine::TokenSource;
pub use model_engine::prompt_ids;
pub use plain_service::PlainService;
pub use server::Gate;
pub use weight_store::WeightStore;
