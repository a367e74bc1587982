//! A small HTTP server that can be killed, paused and restarted.

mod gate;
mod gated_io;
mod http_response;
mod http_server;

pub use gate::Gate;
pub(crate) use gated_io::GatedIo;
pub(crate) use http_response::HttpResponse;
pub(crate) use http_response::NoResponse;
pub(crate) use http_response::empty_response;
pub(crate) use http_response::json_response;
pub(crate) use http_response::read_bytes;
pub(crate) use http_response::read_json;
pub(crate) use http_response::stream_response;
pub(crate) use http_server::Handler;
pub(crate) use http_server::HttpServer;
