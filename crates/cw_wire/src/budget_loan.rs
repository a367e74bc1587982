//! Loans of the budget for repeated sends, as entries give them to each other.

use cw_macro::data;
use cw_types::ServiceName;

/// The question of an entry for a part of another one's budget.
#[data(Eq)]
pub struct LoanCall {
    /// The service whose budget of this entry is spent.
    pub service: ServiceName,
    /// The number of repeated sends that it could use.
    pub wanted: u32,
}

/// The answer to a [`LoanCall`].
#[data(Copy, Eq)]
pub struct LoanAnswer {
    /// The number of repeated sends that the entry lends.
    pub lent: u32,
}
