//! The store of model weights.

use cw_macro::data;
use cw_types::ByteSize;
use futures::future::BoxFuture;

use crate::StoreError;

/// What the store says of one set of weights.
#[data(Copy, Eq)]
pub struct WeightInfo {
    /// Its size.
    pub size: ByteSize,
    /// How many bytes a second the store gives out to all readers together.
    pub rate: ByteSize,
}

/// A rate-limited store, from which engines read their weights.
pub trait WeightStore: Send + Sync {
    /// Describes a set of weights.
    fn describe<'a>(&'a self, weights: &'a str) -> BoxFuture<'a, Result<WeightInfo, StoreError>>;
}
