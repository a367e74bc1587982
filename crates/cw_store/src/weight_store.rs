//! The interface of the store that holds model weights.

use cw_macro::data;
use cw_types::ByteSize;
use futures::future::BoxFuture;

use crate::StoreError;

/// The size and read rate of one set of weights.
#[data(Copy, Eq)]
pub struct WeightInfo {
    /// The size of the weights.
    pub size: ByteSize,
    /// The bytes per second that the store serves to all readers together.
    pub rate: ByteSize,
}

/// A rate-limited store from which engines load their weights.
pub trait WeightStore: Send + Sync {
    /// Returns the size and read rate of the set of weights named `weights`.
    fn describe<'a>(&'a self, weights: &'a str) -> BoxFuture<'a, Result<WeightInfo, StoreError>>;
}
