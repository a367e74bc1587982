//! Roll-outs: the requests of a service move from its present software to that of an order, and back if the new
//! version is bad.
//!
//! One entry decides and writes the state of a roll-out to the store; all entries keep to the share in it at each
//! choice of a target, and all of them have the evidence of all.
//!
//! - [`Rollouts`]: the roll-outs that an entry knows, by service; the interface of this module.
//! - [`RolloutOrder`]: what an operator asks for. [`OrderStep`]: what becomes of an order.
//! - [`Side`]: the target version, or any other. [`SideChoice`]: where a request may begin.
//! - [`RunOutcome`]: what one run shows about its version.
//! - [`RunLength`]: how long the runs of a service last.
//! - [`ExposureLimits`]: the requests that a bad version may get.
//! - `ExposurePlan`: the ramp as an area under the bound. `Comparison`: the two sides at the same time, by sequential
//!   tests.
//! - [`RolloutInputs`] and [`RolloutStep`]: what a decision depends on, and what to do next.

mod comparison;
mod decision;
mod evidence_table;
mod exposure_limits;
mod exposure_plan;
mod own_evidence;
mod rollout_order;
mod rollout_step;
mod rollouts;
mod run_length;
mod run_outcome;
mod sequential_test;
mod service_rollout;
mod side;
mod side_totals;

pub use exposure_limits::ExposureLimits;
pub use rollout_order::OrderStep;
pub use rollout_order::RolloutOrder;
pub use rollout_step::RolloutInputs;
pub use rollout_step::RolloutStep;
pub use rollout_step::RolloutView;
pub use rollouts::Rollouts;
pub use run_length::RunLength;
pub use run_outcome::RunEnd;
pub use run_outcome::RunOutcome;
pub use side::Side;
pub use side::SideChoice;
