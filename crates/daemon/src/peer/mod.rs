//! Calls between daemons, by capnp-rpc.

mod convert;
mod heard;
mod link;
mod server;
mod watch;

pub use self::{
    convert::{read_answer, read_estimate, write_request},
    link::{Link, Links},
    server::{owned, serve_body, serve_peers},
};
