//! Orders from the planner to engines.

use cw_macro::data;
use cw_types::AdapterName;
use cw_types::FencingNumber;
use cw_types::ModelName;
use cw_types::VersionName;

/// The operation that an order requests from an engine.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model version.
    Load {
        /// The model of the version to load.
        model: ModelName,
        /// The version to load, whose weights are at `weights`.
        version: VersionName,
        /// The location of the weights in the weight store.
        weights: String,
    },
    /// Unload a model version to which no generation is pinned.
    Unload {
        /// The model of the version to unload.
        model: ModelName,
        /// The version to unload.
        version: VersionName,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The model that the adapter applies to.
        model: ModelName,
        /// The version of the model that the adapter is loaded for.
        version: VersionName,
        /// The name of the adapter to load.
        adapter: AdapterName,
    },
    /// Change the engine's role.
    Role {
        /// The name of the role, as the engine defines it.
        role: String,
    },
}

/// An order, sent by the holder of the planner lease.
#[data(Eq)]
pub struct Order {
    /// The fencing number of the planner lease.
    pub fencing: FencingNumber,
    /// The sequence number under this fencing number, which makes the order idempotent.
    pub sequence: u64,
    /// The requested operation.
    pub kind: OrderKind,
}

/// The response to an order.
#[data(Eq)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponse {
    /// The operation is complete, now or by an earlier order.
    Done,
    /// The operation has started; a later report shows its completion.
    Begun,
    /// The order is rejected, because a higher fencing number has been seen.
    Fenced {
        /// The highest fencing number seen.
        highest: FencingNumber,
    },
    /// The order is rejected, because live generations are pinned to the version.
    Pinned {
        /// The number of pinned generations.
        generations: u32,
    },
    /// The engine rejected the operation or is down.
    Failed {
        /// The error message of the engine.
        message: String,
    },
}
