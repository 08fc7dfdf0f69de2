//! Client of the platform's object API: get, list, conditional put, watch.
//!
//! Every call ends within its deadline. An answer that is lost after the call was sent is told
//! apart from a call that surely had no effect.

mod client;
mod error;
mod object;
mod pacer;

pub use crate::{
    client::Client,
    error::Error,
    object::{Expected, Listing, Object, Revision, Stored},
    pacer::Pacer,
};
