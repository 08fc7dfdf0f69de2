//! The guard: the only way to the upstream beside this daemon.

mod permit;
mod serve;
mod table;

pub use self::{permit::Permit, serve::serve, table::Guard};
