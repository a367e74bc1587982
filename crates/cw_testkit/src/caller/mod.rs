//! A small client of the callers' interface.

mod answer;
mod ask;
mod client;
mod reading;

pub use answer::Answer;
pub use answer::Arrival;
pub use ask::Ask;
pub use client::CallError;
pub use client::Caller;
pub use client::Reply;
pub use reading::Event;
pub use reading::Reading;
