//! A small client of the API that entries serve to callers.

mod client;
mod completion;
mod completion_reader;
mod completion_request;

pub use client::CallError;
pub use client::CallResponse;
pub use client::Caller;
pub use completion::Arrival;
pub use completion::Completion;
pub use completion_reader::CompletionReader;
pub use completion_reader::Event;
pub use completion_request::CompletionRequest;
