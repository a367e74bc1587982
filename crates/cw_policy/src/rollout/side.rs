//! The two sides of a roll-out.

/// The side of a roll-out that a target belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// Any version but that of the order.
    Old,
    /// The version of the order.
    New,
}

/// Where a request that may begin anywhere goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SideChoice {
    /// To any version: the service has no roll-out.
    Any,
    /// To any version but that of the order.
    Old,
    /// To the version of the order alone.
    New,
}
