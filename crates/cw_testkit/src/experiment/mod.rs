//! Experiments that measure a deployment on loopback.

mod capacity;
mod concurrent_requests;
mod engine_death;
mod engine_work;
mod fault;
mod open_loop_load;
mod overhead;
mod overload;
mod page;
mod process;
mod record_traces;
mod recovery;
mod report;
mod routing;
mod summary;
mod tally;
mod zone_loss;

pub use capacity::capacity;
pub use capacity::in_force;
pub use engine_death::engine_death;
pub use engine_death::faults;
pub use overhead::overhead;
pub use overload::overload;
pub use page::write_table;
pub use record_traces::record_traces;
pub use report::ExperimentError;
pub use report::Report;
pub use routing::routing;
pub use summary::Summary;
pub use tally::Tally;
pub use zone_loss::zone_loss;
