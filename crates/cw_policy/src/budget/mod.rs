//! Budgets for sending a request more than once, and backoff.
//!
//! The first send of a request adds to the budgets of its route and target; each extra send spends
//! from both, so that refusals cannot multiply the load.

mod backoff;
mod bucket;
mod budgets;
mod service_budgets;

pub use backoff::Backoff;
pub use budgets::BudgetSettings;
pub use budgets::Budgets;
pub use budgets::ExtraSend;
pub use service_budgets::ServiceBudgets;
pub use service_budgets::SharedBudget;
