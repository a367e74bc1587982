//! A complete small deployment in one process, on the loopback address.

mod deployment_spec;
mod node;
mod records;
mod reserved_port;
mod settings_files;
mod test_deployment;

pub use deployment_spec::DeploymentSpec;
pub use deployment_spec::MODEL;
pub use deployment_spec::ROUTE_LATENCY;
pub use deployment_spec::ROUTE_THRIFT;
pub use deployment_spec::SERVICE;
pub use deployment_spec::SERVICE_ONCE;
pub use deployment_spec::VERSION;
pub use node::EntryNode;
pub use node::TargetNode;
pub use records::api_key;
pub use settings_files::write_settings;
pub use test_deployment::DeploymentError;
pub use test_deployment::TestDeployment;
