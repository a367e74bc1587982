//! Fakes of the services that the system depends on, a complete deployment on the loopback
//! address, and experiments.
//!
//! - [`FakeEngine`], [`FakeService`], [`FakeEtcd`], [`FakeHostList`] and [`FakeWeightStore`] are
//!   small fakes with fault injection.
//! - [`TestDeployment`] runs the fakes together with entries and agents in one process.
//! - [`Forwarder`] forwards connections between two processes and can stall them.
//! - [`Caller`] is an HTTP client that requests generations and reads their streams.
//! - [`experiment`] measures a deployment.

#![expect(
    clippy::disallowed_methods,
    reason = "what the programs under test send has an end"
)]

mod caller;
mod deployment;
mod etcd;
pub mod experiment;
mod fake_host_list;
mod fake_service;
mod fake_weight_store;
mod forwarder;
mod model_engine;
mod server;

pub use caller::Arrival;
pub use caller::CallError;
pub use caller::CallResponse;
pub use caller::Caller;
pub use caller::Completion;
pub use caller::CompletionReader;
pub use caller::CompletionRequest;
pub use caller::Event;
pub use deployment::DeploymentError;
pub use deployment::DeploymentSpec;
pub use deployment::EntryNode;
pub use deployment::MODEL;
pub use deployment::ROUTE_LATENCY;
pub use deployment::ROUTE_THRIFT;
pub use deployment::SERVICE;
pub use deployment::SERVICE_ONCE;
pub use deployment::TargetNode;
pub use deployment::TestDeployment;
pub use deployment::VERSION;
pub use deployment::api_key;
pub use deployment::write_settings;
pub use etcd::Backup;
pub use etcd::EtcdFaults;
pub use etcd::FakeEtcd;
pub use fake_host_list::FakeHostList;
pub use fake_service::FakeService;
pub use fake_weight_store::FakeWeightStore;
pub use forwarder::Forwarder;
pub use model_engine::EngineCounters;
pub use model_engine::EngineFaults;
pub use model_engine::EngineSpec;
pub use model_engine::EngineTimings;
pub use model_engine::FakeEngine;
pub use model_engine::POISON;
pub use model_engine::RequestCounters;
pub use model_engine::TokenSource;
pub use model_engine::prompt_ids;
pub use server::Gate;
