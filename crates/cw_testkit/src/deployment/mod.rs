//! A whole small deployment in one process, on loopback.

mod node;
mod records;
mod rig;
mod rig_spec;
mod settings_files;

pub use node::EntryNode;
pub use node::TargetNode;
pub use records::api_key;
pub use rig::Rig;
pub use rig::RigError;
pub use rig_spec::MODEL;
pub use rig_spec::ROUTE_LATENCY;
pub use rig_spec::ROUTE_THRIFT;
pub use rig_spec::RigSpec;
pub use rig_spec::SERVICE;
pub use rig_spec::SERVICE_ONCE;
pub use rig_spec::VERSION;
pub use settings_files::write_settings;
