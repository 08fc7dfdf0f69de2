//! Protocol between daemons: Cap'n Proto datagrams for leases and heartbeats, capnp-rpc for the
//! rest.

pub mod datagram;
#[allow(missing_docs, clippy::all, clippy::unimplemented)]
#[rustfmt::skip]
pub mod schema_capnp;
pub mod signal;

pub use crate::datagram::{Body, Datagram, Error};
pub use crate::schema_capnp as schema;
