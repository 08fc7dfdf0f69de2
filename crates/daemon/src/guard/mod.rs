//! Guards the local upstream: every request to it passes the ownership, admission and idempotency
//! checks here.

mod estimate;
mod handover;
mod permit;
mod sampler;
mod serve;
mod table;

pub use self::{
    handover::{Handover, UncertainSlices},
    permit::Permit,
    serve::serve,
    table::{ANSWER_RETENTION, Guard},
};
