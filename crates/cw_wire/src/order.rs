//! Orders to engines.

use cw_macro::data;
use cw_types::AdapterName;
use cw_types::FencingNumber;
use cw_types::ModelName;
use cw_types::VersionName;

/// What an engine is told to do.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model version.
    Load {
        /// The model.
        model: ModelName,
        /// The version.
        version: VersionName,
        /// Where the weight store keeps its weights.
        weights: String,
    },
    /// Unload a model version that nothing is pinned to.
    Unload {
        /// The model.
        model: ModelName,
        /// The version.
        version: VersionName,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The version.
        version: VersionName,
        /// The adapter.
        adapter: AdapterName,
    },
    /// Change the engine's role.
    Role {
        /// The role, in the engine's own terms.
        role: String,
    },
}

/// One order, from the holder of the planner's lease.
#[data(Eq)]
pub struct Order {
    /// The fencing number of the planner's lease.
    pub fencing: FencingNumber,
    /// The order's number under this fencing number, which makes it idempotent.
    pub sequence: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// What became of an order.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponse {
    /// Done, or done before.
    Done,
    /// Begun; the report tells when it is done.
    Begun,
    /// Refused: a higher fencing number has been seen.
    Fenced {
        /// The highest one seen.
        highest: FencingNumber,
    },
    /// Refused: live generations are pinned to the version.
    Pinned {
        /// How many.
        generations: u32,
    },
    /// The engine refused or is down.
    Failed {
        /// The engine's words.
        message: String,
    },
}
