//! Budgets for sending a request more than once, and backoff.
//!
//! First tries feed the budgets of their route and target; each further send spends from both, so
//! refusals cannot multiply load.

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
