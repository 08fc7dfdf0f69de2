//! Calls between daemons over capnp-rpc.

mod convert;
mod inbound;
mod activity;
mod link;
mod server;
mod attempt_log;

pub use self::{
    convert::{read_answer, read_estimate, write_request},
    link::{Link, Links},
    server::{bucket_ownership, decompress, serve_body, serve_peers},
};
