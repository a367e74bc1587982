//! The software that a request which may begin anywhere is restricted to.

use cw_wire::SoftwareHash;

/// The software that a request which may begin anywhere is restricted to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SoftwareFilter {
    /// Any software.
    #[default]
    Any,
    /// This software alone.
    Only(SoftwareHash),
    /// Any software but this.
    Except(SoftwareHash),
}

impl SoftwareFilter {
    /// Returns whether the request may begin at a target with this software.
    pub fn accepts(self, software: SoftwareHash) -> bool {
        match self {
            Self::Any => true,
            Self::Only(required) => software == required,
            Self::Except(avoided) => software != avoided,
        }
    }
}
