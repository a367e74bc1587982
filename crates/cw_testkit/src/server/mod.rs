//! A small HTTP server that can be killed, paused and started again.

mod gate;
mod gated_io;
mod http_server;
mod reply;

pub use gate::Gate;
pub(crate) use gated_io::GatedIo;
pub(crate) use http_server::Handler;
pub(crate) use http_server::HttpServer;
pub(crate) use reply::Cut;
pub(crate) use reply::Reply;
pub(crate) use reply::empty;
pub(crate) use reply::json;
pub(crate) use reply::read_bytes;
pub(crate) use reply::read_json;
pub(crate) use reply::stream;
